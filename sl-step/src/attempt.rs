//! What follows from an attempt's progress and end: settling, retry, or the final answer.

use sl_base::{AttemptId, Code, RequestId, Timestamp};
use sl_claim::Settled;
use sl_slots::Outcome;

use crate::{
    State,
    event::AttemptEnd,
    request::{Caller, Phase, Request, Running},
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
        if let Some(request) = self.requests.by_attempt_mut(attempt) {
            self.fair.progress(request.arrival.request, units);
        }
    }

    pub(crate) fn ended(&mut self, now: Timestamp, attempt: AttemptId, end: AttemptEnd) {
        let Some((request, running)) = self.requests.end_attempt(attempt) else {
            return;
        };
        let id = request.arrival.request;
        self.slots.release(now, running.server, outcome_of(now, &running, end));
        self.moved.insert(request.arrival.policy.pool);
        self.judge_by_end(now, &request, &running, end);
        let next = next(now, &request, running.answering, end);
        if next == Next::Retry {
            self.retry(now, id, end);
            return;
        }
        self.fair.settle(id, units_of(end).unwrap_or(request.arrival.hint));
        if request.claimed {
            self.claims.settle(now, id, settled_by(&request, end));
        }
        self.requests.remove(id);
        match (next, request.caller) {
            (Next::Answer(code), Caller::Waiting) => self.refuse(&request.arrival, code),
            (Next::Done, _) if matches!(end, AttemptEnd::Complete { .. }) => {}
            (_, Caller::Gone) => self.refuse(&request.arrival, Code::CallerGoneRunning),
            (Next::Done | Next::Retry, Caller::Waiting) => {}
        }
    }

    /// Counts a connection that died as a strike, an answer as the request's acquittal.
    fn judge_by_end(
        &mut self,
        now: Timestamp,
        request: &Request,
        running: &Running,
        end: AttemptEnd,
    ) {
        let (team, fingerprint) = (request.arrival.team, request.arrival.fingerprint);
        match end {
            AttemptEnd::Complete { .. } => self.strikes.complete(team, fingerprint),
            AttemptEnd::LostBeforeAnswer | AttemptEnd::LostMidway { .. } => {
                self.strikes.strike(now, team, fingerprint, running.server);
                if self.strikes.is_barred(now, team, fingerprint) {
                    let known = self.config.team(team).map(|it| it.name.clone());
                    let name = known.unwrap_or_else(|| team.to_string());
                    self.note("requests barred: they crash servers", name);
                    self.refuse_barred(now);
                }
            }
            _ => {}
        }
    }

    fn retry(&mut self, now: Timestamp, id: RequestId, end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Phase::Running(running) = request.phase {
            request.avoid = Some(running.server);
        }
        request.may_have_run |= end != AttemptEnd::NotSent;
        request.phase = Phase::Waiting;
        let request = *request;
        self.requeue(now, &request);
    }
}

fn outcome_of(now: Timestamp, running: &Running, end: AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::Complete { units, .. } => {
            Outcome::Ran { units, micros: now.micros_since(running.since) }
        }
        AttemptEnd::NotSent => Outcome::Refused,
        _ => Outcome::Other,
    }
}

fn units_of(end: AttemptEnd) -> Option<u64> {
    match end {
        AttemptEnd::NotSent => Some(0),
        AttemptEnd::Complete { units, .. }
        | AttemptEnd::LostMidway { units }
        | AttemptEnd::IdleTimeout { units }
        | AttemptEnd::TotalTimeout { units }
        | AttemptEnd::Aborted { units } => Some(units),
        AttemptEnd::LostBeforeAnswer | AttemptEnd::FirstByteTimeout | AttemptEnd::Crossed => None,
    }
}

fn settled_by(request: &Request, end: AttemptEnd) -> Settled {
    match end {
        AttemptEnd::Complete { status, .. } => Settled::Ran { status },
        AttemptEnd::NotSent if !request.may_have_run => Settled::NotRun,
        _ => Settled::Unknown,
    }
}

/// Decides by what the end proves: a request of which no byte left may always be sent
/// again, one that may have run only if it is idempotent and no answer has begun.
fn next(now: Timestamp, request: &Request, answering: bool, end: AttemptEnd) -> Next {
    let code = match end {
        AttemptEnd::Complete { .. } | AttemptEnd::Aborted { .. } => return Next::Done,
        AttemptEnd::NotSent if request.may_have_run => Code::ConnectionLost,
        AttemptEnd::NotSent => Code::ConnectFailed,
        AttemptEnd::LostBeforeAnswer | AttemptEnd::LostMidway { .. } => Code::ConnectionLost,
        AttemptEnd::FirstByteTimeout => Code::FirstByteTimeout,
        AttemptEnd::IdleTimeout { .. } => Code::IdleTimeout,
        AttemptEnd::TotalTimeout { .. } => Code::TotalTimeout,
        AttemptEnd::Crossed => Code::CrossedAnswer,
    };
    if request.caller != Caller::Waiting || answering || request.queue_by.is_due(now) {
        return Next::Answer(code);
    }
    let policy = &request.arrival.policy;
    let again = match end {
        AttemptEnd::NotSent => request.tries < UNSENT_TRIES_MAX,
        _ => policy.idempotent && request.tries <= policy.retries,
    };
    if again { Next::Retry } else { Next::Answer(code) }
}

/// The code for a request that waits for another try: not run only if none may have run.
pub(crate) fn honest(code: Code, request: &Request) -> Code {
    if request.may_have_run { Code::ConnectionLost } else { code }
}
