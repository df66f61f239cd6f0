//! The requests that a connection to a backend server has carried last.
//!
//! A server may send a second copy of a response late, where the response to the next request
//! is due. The copy is recognised by its attempt id, so a connection that has carried the id of
//! a request does not carry that id again.

use std::collections::VecDeque;

/// The latest requests on one connection, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SentRequests(VecDeque<SentRequest>);

#[derive(Debug)]
struct SentRequest {
    /// A copy: the id in the head of the request would keep the memory of the head in use.
    attempt_id: Box<[u8]>,
    method: Box<[u8]>,
}

/// Number of requests that are remembered for a connection.
const REQUESTS_MAX: usize = 4;

impl SentRequests {
    /// Records a request before it is sent.
    pub(crate) fn record(&mut self, attempt_id: &[u8], method: &[u8]) {
        if self.0.len() == REQUESTS_MAX {
            self.0.pop_front();
        }
        let request = SentRequest { attempt_id: attempt_id.into(), method: method.into() };
        self.0.push_back(request);
    }

    /// Whether one of the latest requests had this attempt id.
    pub(crate) fn contains(&self, attempt_id: &[u8]) -> bool {
        self.0.iter().any(|it| *it.attempt_id == *attempt_id)
    }

    /// The method of the latest request that had this attempt id; `None` if none of those that
    /// are remembered had it. Whether a response has a body depends on the method.
    pub(crate) fn method(&self, attempt_id: &[u8]) -> Option<&[u8]> {
        let request = self.0.iter().rfind(|it| *it.attempt_id == *attempt_id)?;
        Some(&request.method)
    }
}
