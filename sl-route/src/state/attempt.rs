//! Attempts: sending, their ends, and what follows.

use sl_base::{Millis, RequestId, Timestamp};

use super::State;
use crate::{
    AttemptEnd, Decision, Effect, Failure, Fault, Refusal, RetryPolicy, ServerKey,
    effect::{NextStep, Target},
    note::{AttemptKey, Note},
    place::Choice,
    request::{CurrentAttempt, InFlightRequest},
    server::{Server, ServerKind},
};

/// An attempt is not made with less time than this left.
const ATTEMPT_MIN: Millis = Millis(20);

/// A first byte that is later than this many times its expectation is given up on, where
/// another server may be tried.
const LATE_FACTOR: f64 = 3.0;

/// Nobody is given up on sooner than this after the expected time.
const LATE_SLACK: Millis = Millis(400);

/// The lowest status by which a server says that it failed.
const SERVER_ERRORS: u16 = 500;

impl State {
    pub(super) fn send(&mut self, now: Timestamp, mut held: InFlightRequest, choice: Choice) {
        let request = held.arrival.request;
        self.next_attempt += 1;
        let origin = AttemptKey { instance: self.options.instance, attempt: self.next_attempt };
        let charge = if held.charged.is_none() { State::charge(&held.arrival) } else { None };
        held.charged = held.charged.or(charge);
        let parts = held.arrival.prompt.as_ref().map_or_else(Vec::new, |it| it.parts.clone());
        let fetch_from = choice.fetch.and_then(|it| self.servers.get(&it.from));
        let fetch_from = fetch_from.map(|it| it.record.address);
        let Some(server) = self.servers.get_mut(&choice.server) else {
            return;
        };
        server.record_sent(now, origin, choice.to_read);
        let fetch = choice.fetch.map(|it| (it.from, it.takes_ms.round() as u32));
        self.transfers(now, choice.server, fetch);
        let Some(server) = self.servers.get_mut(&choice.server) else {
            return;
        };
        server.record_cached_parts(now, &parts);
        held.attempts += 1;
        held.tried.push(choice.server);
        held.current = Some(CurrentAttempt {
            server: choice.server,
            key: origin,
            sent_at: now,
            expected_ms: choice.expected_ms,
            has_response_started: false,
        });
        let may_retry = held.attempts < held.arrival.route.max_attempts;
        let target = Target {
            server: choice.server,
            id: server.record.id.clone(),
            address: server.record.address,
            fetch_from,
            response_deadline: begin_by(now, &held, &choice, may_retry),
            may_retry,
        };
        let decision = Decision::AttemptSent {
            request,
            server: target.id.clone(),
            attempt: held.attempts,
            expected_ms: choice.expected_ms,
            backlog_ms: choice.backlog_ms,
            prefill_tokens: choice.to_read,
            fetch_tokens: choice.fetch.map_or(0, |it| it.tokens),
            candidates: choice.candidates,
            view_age_ms: choice.heard_ms,
        };
        if let Some((team, tokens)) = charge {
            self.shares.given(now, team, tokens);
        }
        self.tell(Note::AttemptSent {
            server: choice.server,
            attempt: origin.attempt,
            tokens: choice.to_read,
            charge,
            parts,
            fetch,
        });
        self.requests.insert(request, held);
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Send { request, target });
    }

    /// Notes that `to` fetches from another engine, and in how many milliseconds that ends.
    pub(super) fn transfers(
        &mut self,
        now: Timestamp,
        to: ServerKey,
        fetch: Option<(ServerKey, u32)>,
    ) {
        let Some((from, millis)) = fetch else {
            return;
        };
        for key in [from, to] {
            if let Some(Server { kind: ServerKind::Engine(engine), .. }) =
                self.servers.get_mut(&key)
            {
                engine.transfers(now, f64::from(millis));
            }
        }
    }

    pub(super) fn begun(&mut self, now: Timestamp, request: RequestId) {
        let Some(current) = self.requests.get_mut(&request).and_then(|it| it.current.as_mut())
        else {
            return;
        };
        if std::mem::replace(&mut current.has_response_started, true) {
            return;
        }
        let CurrentAttempt { server, key: origin, sent_at, expected_ms, .. } = *current;
        let took_ms = now.millis_since(sent_at);
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_response_start(now, origin);
            server.health.worked(now);
            if let ServerKind::Plain(plain) = &mut server.kind {
                plain.record_response_time(took_ms);
            }
            let server = server.record.id.clone();
            let decision = Decision::ResponseStarted { request, server, took_ms, expected_ms };
            self.effects.push(Effect::Log(decision));
        }
        self.tell(Note::ResponseStarted { server, attempt: origin.attempt });
    }

    pub(super) fn caller_gone(&mut self, now: Timestamp, request: RequestId) {
        if let Some(mut held) = self.requests.remove(&request) {
            self.end_current(now, &mut held, None);
        }
    }

    pub(super) fn ended(&mut self, now: Timestamp, request: RequestId, end: AttemptEnd) {
        let Some(mut held) = self.requests.remove(&request) else {
            return;
        };
        let pace_micros = match end {
            AttemptEnd::Completed { event_interval_micros: pace_micros, .. } => pace_micros,
            AttemptEnd::Failed { .. } => None,
        };
        self.end_current(now, &mut held, pace_micros);
        match end {
            AttemptEnd::Completed { status, .. } => self.answered(now, &held, status),
            AttemptEnd::Failed { fault, is_partially_delivered: is_delivering } => {
                self.failed(now, held, fault, is_delivering);
            }
        }
    }

    fn end_current(
        &mut self,
        now: Timestamp,
        held: &mut InFlightRequest,
        pace_micros: Option<u32>,
    ) {
        let Some(CurrentAttempt { server, key: origin, has_response_started: has_begun, .. }) =
            held.current
        else {
            return;
        };
        // A team got nothing from a server that never began its request.
        let returned = if has_begun { None } else { held.charged.take() };
        if let Some((team, tokens)) = returned {
            self.shares.returned(now, team, tokens);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_end(now, origin);
            server.record_event_interval(now, pace_micros);
        }
        self.tell(Note::AttemptEnded {
            server,
            attempt: origin.attempt,
            event_interval_micros: pace_micros,
            refunded: returned,
        });
    }

    fn answered(&mut self, now: Timestamp, held: &InFlightRequest, status: u16) {
        self.strikes.survived(held.arrival.fingerprint);
        if let Some(current) = held.current
            && let Some(server) = self.servers.get_mut(&current.server)
        {
            if status < SERVER_ERRORS {
                server.health.worked(now);
            } else {
                server.health.failed(now, Fault::ServerError);
            }
        }
    }

    fn failed(
        &mut self,
        now: Timestamp,
        mut held: InFlightRequest,
        fault: Fault,
        is_delivering: bool,
    ) {
        self.blame(now, &held, fault);
        if fault == Fault::NotConnected {
            // Nothing reached a server, so this was no attempt.
            held.attempts -= 1;
        }
        held.may_have_run |= !fault.proves_not_run();
        let server = held.current.and_then(|it| self.servers.get(&it.server));
        let server = server.map(|it| it.record.id.clone());
        held.current = None;
        let retried = self.may_retry(now, &held, fault, is_delivering);
        let choice = if retried { self.retry_choice(now, &held) } else { None };
        let then = match (&choice, fault) {
            (Some(_), _) => NextStep::Retry,
            (None, Fault::ServerError) => NextStep::ForwardServerError,
            (None, _) if !held.may_have_run && !is_delivering => NextStep::Refuse,
            (None, _) => NextStep::Fail,
        };
        let request = held.arrival.request;
        if let Some(server) = server {
            let decision = Decision::AttemptFailed { request, server, fault, next: then };
            self.effects.push(Effect::Log(decision));
        }
        match choice {
            Some(choice) => {
                if held.attempts > 0 {
                    self.budget.take(now, held.arrival.service);
                }
                self.send(now, held, choice);
            }
            None => self.finish(now, &held, fault, then),
        }
    }

    fn finish(&mut self, now: Timestamp, held: &InFlightRequest, fault: Fault, then: NextStep) {
        let request = held.arrival.request;
        match then {
            NextStep::ForwardServerError => {
                self.effects.push(Effect::ForwardServerError { request })
            }
            NextStep::Refuse => self.refuse(now, held, Refusal::TurnedAway, f64::INFINITY, 0.0),
            NextStep::Fail | NextStep::Retry => self.give_up(request, failure(fault)),
        }
    }

    fn blame(&mut self, now: Timestamp, held: &InFlightRequest, fault: Fault) {
        let Some(current) = held.current else {
            return;
        };
        if fault == Fault::ConnectionLost && !current.has_response_started {
            let fingerprint = held.arrival.fingerprint;
            self.tell(Note::ServerCrashed { fingerprint });
            self.struck(now, fingerprint);
        }
        if fault == Fault::DeadlineExceeded {
            return;
        }
        let Some(server) = self.servers.get_mut(&current.server) else {
            return;
        };
        if !server.health.failed(now, fault) {
            return;
        }
        let for_ms = server.health.avoid_until().remaining(now).0;
        let decision = Decision::ServerAvoided {
            server: server.record.id.clone(),
            fault,
            failure_rate: server.health.failing(now),
            for_ms,
        };
        self.effects.push(Effect::Log(decision));
        if !matches!(fault, Fault::Full) {
            let for_ms = u32::try_from(for_ms).unwrap_or(u32::MAX);
            self.tell(Note::ServerAvoided { server: current.server, for_ms });
        }
    }

    fn may_retry(
        &mut self,
        now: Timestamp,
        held: &InFlightRequest,
        fault: Fault,
        delivering: bool,
    ) -> bool {
        let repeat = held.arrival.route.retry_policy;
        let is_safe = fault.proves_not_run() && !held.may_have_run || repeat.allows_rerun();
        let is_open = !delivering || repeat == RetryPolicy::ResumableStream;
        let end_by = held.arrival.deadline();
        let has_time = !end_by.is_due(now.after(ATTEMPT_MIN));
        let has_attempt = held.attempts < held.arrival.route.max_attempts;
        let is_barred = self.strikes.is_barred(now, held.arrival.fingerprint);
        if !is_safe || !is_open || !has_time || !has_attempt || is_barred {
            return false;
        }
        held.attempts == 0 || self.budget.left(now, held.arrival.service) >= 1.0
    }

    fn retry_choice(&mut self, now: Timestamp, held: &InFlightRequest) -> Option<Choice> {
        let left = held.arrival.deadline().remaining(now).0 as f64;
        self.choose(now, held, left).ok()
    }
}

/// When the answer has to have begun: late enough that a server which only has much to do
/// is not given up on, early enough that another one can still answer.
fn begin_by(now: Timestamp, held: &InFlightRequest, choice: &Choice, may_retry: bool) -> Timestamp {
    let end_by = held.arrival.deadline();
    if !may_retry || !held.arrival.route.retry_policy.allows_rerun() {
        return end_by;
    }
    let patience = match held.arrival.prompt {
        Some(_) => Millis((choice.expected_ms * LATE_FACTOR) as u64 + LATE_SLACK.0),
        None => {
            let expected = choice.expected_ms * LATE_FACTOR;
            Millis(expected.max(held.arrival.route.target_latency.0 as f64) as u64)
        }
    };
    now.after(patience).min(end_by)
}

fn failure(fault: Fault) -> Failure {
    match fault {
        Fault::ResponseTimeout | Fault::DeadlineExceeded => Failure::Timeout,
        Fault::InvalidResponse => Failure::InvalidResponse,
        _ => Failure::ConnectionLost,
    }
}
