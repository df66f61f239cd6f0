//! What follows from an attempt's progress and end: settling, retry, or the final answer.

use sl_base::{AttemptId, Code, RequestId, Timestamp};

use crate::{
    State,
    event::AttemptEnd,
    request::{Caller, Phase, Request},
};

/// Tries for a request of which no byte left; they do no harm, but must end.
const UNSENT_TRIES_MAX: u8 = 8;

/// What to do with a request whose attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Done,
    Retry,
    Answer(Code),
}

impl State {
    pub(crate) fn answering(&mut self, attempt: AttemptId) {
        if let Some(request) = self.requests.by_attempt_mut(attempt)
            && let Phase::Running(running) = &mut request.phase
        {
            running.answering = true;
        }
    }

    pub(crate) fn progress(&mut self, attempt: AttemptId, units: u64) {
        if let Some(request) = self.requests.by_attempt_mut(attempt)
            && let Phase::Running(running) = &mut request.phase
        {
            running.charged = running.charged.max(units);
        }
    }

    pub(crate) fn ended(&mut self, now: Timestamp, attempt: AttemptId, end: AttemptEnd) {
        let Some((request, running)) = self.requests.end_attempt(attempt) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&running.server) {
            server.in_use = server.in_use.saturating_sub(1);
        }
        let id = request.arrival.request;
        match next(now, &request, running.answering, end) {
            Next::Done => self.forget(id),
            Next::Retry => self.retry(id),
            Next::Answer(code) => {
                self.forget(id);
                if request.caller == Caller::Waiting {
                    self.refuse(id, code);
                }
            }
        }
    }

    fn retry(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Phase::Running(running) = request.phase {
            request.avoid = Some(running.server);
        }
        request.phase = Phase::Waiting;
        let arrival = request.arrival;
        self.enqueue(arrival);
    }

    fn forget(&mut self, id: RequestId) {
        self.requests.remove(id);
    }
}

/// Decides by what the end proves: a request of which no byte left may always be sent
/// again, one that may have run only if it is idempotent and no answer has begun.
fn next(now: Timestamp, request: &Request, answering: bool, end: AttemptEnd) -> Next {
    let code = match end {
        AttemptEnd::Complete { .. } | AttemptEnd::Aborted { .. } => return Next::Done,
        AttemptEnd::NotSent => Code::ConnectFailed,
        AttemptEnd::LostBeforeAnswer | AttemptEnd::LostMidway { .. } => Code::ConnectionLost,
        AttemptEnd::FirstByteTimeout => Code::FirstByteTimeout,
        AttemptEnd::IdleTimeout { .. } => Code::IdleTimeout,
        AttemptEnd::TotalTimeout { .. } => Code::TotalTimeout,
        AttemptEnd::Crossed => Code::CrossedAnswer,
    };
    if request.caller != Caller::Waiting || answering || request.total_by.is_due(now) {
        return Next::Answer(code);
    }
    let policy = &request.arrival.policy;
    let again = match end {
        AttemptEnd::NotSent => request.tries < UNSENT_TRIES_MAX,
        _ => policy.idempotent && request.tries <= policy.retries,
    };
    if again {
        Next::Retry
    } else {
        Next::Answer(code)
    }
}
