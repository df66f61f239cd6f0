//! What happens to a request at its arrival and while it waits.

use sl_base::{Code, Millis, RequestId, Timestamp};

use crate::{
    Effect, State,
    event::Arrival,
    request::{Caller, Phase},
    state::Stop,
};

/// When a caller is told to come back where nothing better is known.
pub(crate) const COME_BACK: Millis = Millis(1_000);

impl State {
    pub(crate) fn arrived(&mut self, now: Timestamp, arrival: Arrival) {
        if let Some(code) = self.refusal(&arrival) {
            self.refuse(arrival.request, code);
            return;
        }
        self.requests.insert(now, arrival, Phase::Waiting);
        self.enqueue(arrival);
    }

    pub(crate) fn enqueue(&mut self, arrival: Arrival) {
        self.waiting
            .entry(arrival.policy.pool)
            .or_default()
            .push(arrival.request);
    }

    pub(crate) fn caller_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.caller = Caller::Gone;
        let idempotent = request.arrival.policy.idempotent;
        match request.phase {
            Phase::Waiting | Phase::Claiming => self.forget_waiting(id),
            // A non-idempotent request runs on, so that its outcome becomes known.
            Phase::Running(running) if idempotent => {
                self.effects.push(Effect::Abort {
                    attempt: running.attempt,
                });
            }
            Phase::Running(_) => {}
        }
    }

    /// Gives their final answer to requests whose deadline came while they waited.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let late: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|it| it.phase == Phase::Waiting && it.queue_by.is_due(now))
            .map(|it| it.arrival.request)
            .collect();
        for id in late {
            self.forget_waiting(id);
            self.refuse(id, Code::QueueTimeout);
        }
    }

    pub(crate) fn first_expiry(&self) -> Timestamp {
        let waiting = self.requests.iter().filter(|it| it.phase == Phase::Waiting);
        waiting
            .map(|it| it.queue_by)
            .min()
            .unwrap_or(Timestamp::NEVER)
    }

    pub(crate) fn refuse(&mut self, request: RequestId, code: Code) {
        let retry_after = match code {
            Code::QueueFull
            | Code::QueueBytesFull
            | Code::QueueTimeout
            | Code::NoServer
            | Code::ConnectFailed
            | Code::Draining
            | Code::Isolated
            | Code::NoConfiguration
            | Code::ClaimUnavailable
            | Code::Overloaded => Some(COME_BACK),
            _ => None,
        };
        self.effects.push(Effect::Answer {
            request,
            code,
            retry_after,
        });
    }

    fn refusal(&self, arrival: &Arrival) -> Option<Code> {
        if self.stop != Stop::No {
            return Some(Code::Draining);
        }
        if !self.spread.has_config() {
            return Some(Code::NoConfiguration);
        }
        if self.requests.len() >= self.options.requests_max {
            return Some(Code::Overloaded);
        }
        None
    }

    fn forget_waiting(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(id)
            && let Some(queue) = self.waiting.get_mut(&request.arrival.policy.pool)
        {
            queue.retain(|&it| it != id);
        }
    }
}
