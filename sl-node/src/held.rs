//! The requests that the reducer decides on, with what it does not need to see: headers,
//! body, and the way back to the caller.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use sl_base::{AttemptId, RequestId, Timestamp, status::TeamStatus};
use sl_front::{CallerRequest, Job, Label, Part, Refusal};
use sl_step::event::Arrival;
use tokio::sync::{mpsc, oneshot};

/// Every request between its arrival and its final answer.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    held: HashMap<RequestId, Held>,
    running: HashMap<AttemptId, Running>,
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) label: Label,
    pub(crate) arrival: Arrival,
    pub(crate) arrived: Timestamp,
    pub(crate) first_byte: Option<Timestamp>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) answer: mpsc::Sender<Part>,
    pub(crate) is_running: bool,
}

/// One attempt.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) request: RequestId,
    /// Dropping it breaks the attempt off.
    pub(crate) abort: Option<oneshot::Sender<()>>,
}

impl Requests {
    pub(crate) fn insert(&mut self, now: Timestamp, job: Job) {
        let held = Held {
            label: job.label,
            arrival: job.arrival,
            arrived: now,
            first_byte: None,
            request: Arc::new(job.request),
            answer: job.answer,
            is_running: false,
        };
        self.held.insert(held.arrival.request, held);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Held> {
        self.held.get(&id)
    }

    pub(crate) fn by_attempt(&mut self, attempt: AttemptId) -> Option<&mut Held> {
        self.held.get_mut(&self.running.get(&attempt)?.request)
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Held> {
        self.held.remove(&id)
    }

    /// Notes that an attempt begins; the receiver ends when it is to be broken off.
    pub(crate) fn begin(
        &mut self,
        attempt: AttemptId,
        request: RequestId,
    ) -> oneshot::Receiver<()> {
        let (abort, aborted) = oneshot::channel();
        let running = Running { request, abort: Some(abort) };
        self.running.insert(attempt, running);
        if let Some(held) = self.held.get_mut(&request) {
            held.is_running = true;
        }
        aborted
    }

    pub(crate) fn abort(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.abort = None;
        }
    }

    /// Notes that an attempt ended, and gives its request.
    pub(crate) fn end(&mut self, attempt: AttemptId) -> Option<RequestId> {
        let request = self.running.remove(&attempt)?.request;
        if let Some(held) = self.held.get_mut(&request) {
            held.is_running = false;
        }
        Some(request)
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn attempts(&self) -> usize {
        self.running.len()
    }

    /// What waits and runs, by the team's name.
    pub(crate) fn by_team(&self) -> Vec<TeamStatus> {
        let mut teams: BTreeMap<String, TeamStatus> = BTreeMap::new();
        for held in self.held.values() {
            let team = teams.entry(held.label.team.clone()).or_default();
            if held.is_running {
                team.running += 1;
            } else {
                team.waiting += 1;
                team.waiting_bytes += held.arrival.bytes;
            }
        }
        let named = teams.into_iter();
        named.map(|(name, it)| TeamStatus { name, ..it }).collect()
    }
}

impl Held {
    /// Gives the caller its final answer, behind what is on its way already.
    pub(crate) fn fail(self, refusal: Refusal) {
        let part = Part::Failed(refusal);
        if let Err(mpsc::error::TrySendError::Full(part)) = self.answer.try_send(part) {
            tokio::spawn(async move {
                // The caller may go away meanwhile; then no one wants the answer.
                let _ = self.answer.send(part).await;
            });
        }
    }
}
