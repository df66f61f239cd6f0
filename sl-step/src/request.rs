//! Requests under way, from their arrival to their final answer.

use std::collections::BTreeMap;

use sl_base::{AttemptId, RequestId, ServerId, Timestamp};

use crate::event::Arrival;

/// Every request that has no final answer yet, found by request and by attempt.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    by_id: BTreeMap<RequestId, Request>,
    by_attempt: BTreeMap<AttemptId, RequestId>,
    bytes: u64,
    next_attempt: u64,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    /// When waiting ends without a dispatch.
    pub(crate) queue_by: Timestamp,
    /// When everything ends.
    pub(crate) total_by: Timestamp,
    pub(crate) phase: Phase,
    /// Attempts that were made, the current one included.
    pub(crate) tries: u8,
    /// The server of the last attempt that failed; another one is tried first.
    pub(crate) avoid: Option<ServerId>,
    /// Whether the caller is still there.
    pub(crate) caller: Caller,
    /// Whether a claim on its key was granted to it.
    pub(crate) claimed: bool,
    /// Whether an earlier attempt may have reached a backend server.
    pub(crate) may_have_run: bool,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its key is being claimed.
    Claiming,
    /// It waits for a slot.
    Waiting,
    /// A backend server runs it.
    Running(Running),
}

/// The attempt of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) attempt: AttemptId,
    pub(crate) server: ServerId,
    pub(crate) since: Timestamp,
    /// Whether the answer is on its way to the caller.
    pub(crate) answering: bool,
}

/// Whether somebody waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    Waiting,
    Gone,
}

impl Requests {
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Bytes of bodies that are held.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn insert(&mut self, now: Timestamp, arrival: Arrival, phase: Phase) -> &Request {
        let policy = &arrival.policy;
        let request = Request {
            arrival,
            queue_by: now.after(policy.queue_within),
            total_by: now.after(policy.total_within),
            phase,
            tries: 0,
            avoid: None,
            caller: Caller::Waiting,
            claimed: false,
            may_have_run: false,
        };
        self.bytes += arrival.bytes;
        let place = self.by_id.entry(arrival.request).or_insert(request);
        *place = request;
        place
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn by_attempt_mut(&mut self, attempt: AttemptId) -> Option<&mut Request> {
        self.by_id.get_mut(self.by_attempt.get(&attempt)?)
    }

    /// Starts an attempt on `server` and gives its id.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        id: RequestId,
        server: ServerId,
    ) -> Option<(AttemptId, &Request)> {
        let request = self.by_id.get_mut(&id)?;
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.by_attempt.insert(attempt, id);
        request.tries = request.tries.saturating_add(1);
        request.phase = Phase::Running(Running { attempt, server, since: now, answering: false });
        Some((attempt, request))
    }

    /// Forgets an attempt that ended; the request stays.
    pub(crate) fn end_attempt(&mut self, attempt: AttemptId) -> Option<(Request, Running)> {
        let id = self.by_attempt.remove(&attempt)?;
        let request = self.by_id.get(&id)?;
        match request.phase {
            Phase::Running(running) if running.attempt == attempt => Some((*request, running)),
            _ => None,
        }
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.by_id.remove(&id)?;
        self.bytes -= request.arrival.bytes;
        if let Phase::Running(running) = request.phase {
            self.by_attempt.remove(&running.attempt);
        }
        Some(request)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.by_id.values()
    }
}
