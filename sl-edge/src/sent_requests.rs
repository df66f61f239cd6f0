//! The requests that a connection to a backend server has carried.
//!
//! A server may send another copy of a response late, where the response to a later request is
//! due. The copy is recognised by its attempt id, so a connection that has carried the id of a
//! request does not carry that id again. Callers choose the ids, so the requests of two callers may
//! have the same one.

use std::hash::{BuildHasher, RandomState};

/// All requests on one connection, oldest first.
#[derive(Debug, Default)]
pub struct SentRequests {
    /// The keys are random, so that callers cannot choose ids with equal hashes.
    hasher: RandomState,
    requests: Vec<SentRequest>,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    /// Hash of the attempt id, which takes less memory than the id.
    id_hash: u64,
    method: SentMethod,
}

/// What the method of a request says on its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentMethod {
    /// The response has no body, whatever length it states.
    Head,
    /// The response has the body that its head states.
    Other,
}

/// Number of requests that a connection carries at most.
pub const REQUESTS_MAX: usize = 500;

impl SentRequests {
    /// Records a request before it is sent.
    pub fn record(&mut self, attempt_id: &[u8], method: &[u8]) {
        let id_hash = self.hasher.hash_one(attempt_id);
        self.requests.push(SentRequest { id_hash, method: SentMethod::of(method) });
    }

    /// Whether the connection must not carry further requests, as their ids would need more memory.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= REQUESTS_MAX
    }

    /// Whether one of the requests had this attempt id.
    pub fn contains(&self, attempt_id: &[u8]) -> bool {
        self.method(attempt_id).is_some()
    }

    /// The method of the request that had this attempt id; `None` if none had it.
    pub fn method(&self, attempt_id: &[u8]) -> Option<SentMethod> {
        let id_hash = self.hasher.hash_one(attempt_id);
        self.requests.iter().rfind(|it| it.id_hash == id_hash).map(|it| it.method)
    }
}

impl SentMethod {
    fn of(method: &[u8]) -> SentMethod {
        if method == b"HEAD" { SentMethod::Head } else { SentMethod::Other }
    }

    /// A method whose responses end as those of the request do.
    pub fn as_bytes(self) -> &'static [u8] {
        match self {
            SentMethod::Head => b"HEAD",
            SentMethod::Other => b"GET",
        }
    }
}
