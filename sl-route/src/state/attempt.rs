//! Attempts: sending, their ends, and what follows.

use sl_base::{Millis, RequestId, Timestamp};

use super::State;
use crate::{
    AttemptEnd, Decision, Effect, Failure, Fault, Refusal, RetryPolicy, ServerKey,
    effect::{NextStep, Target},
    note::{AttemptKey, Note},
    place::Placement,
    request::{CurrentAttempt, InFlightRequest},
    server::{Server, ServerKind},
};

/// An attempt is not made with less time than this left.
const ATTEMPT_TIME_MIN: Millis = Millis(20);

/// A first byte that is later than this many times its expectation is given up on, where
/// another server may be tried.
const FIRST_BYTE_TIMEOUT_FACTOR: f64 = 3.0;

/// Nobody is given up on sooner than this after the expected time.
const FIRST_BYTE_TIMEOUT_SLACK: Millis = Millis(400);

/// The lowest status by which a server says that it failed.
const SERVER_ERROR_STATUS_MIN: u16 = 500;

impl State {
    pub(super) fn send(&mut self, now: Timestamp, mut held: InFlightRequest, placement: Placement) {
        let request = held.arrival.request;
        self.next_attempt += 1;
        let origin = AttemptKey { instance: self.options.instance, attempt: self.next_attempt };
        let charge = if held.charged.is_none() { State::charge(&held.arrival) } else { None };
        held.charged = held.charged.or(charge);
        let parts = held.arrival.prompt.as_ref().map_or_else(Vec::new, |it| it.parts.clone());
        let fetch_from = placement.fetch.and_then(|it| self.servers.get(&it.from));
        let fetch_from = fetch_from.map(|it| it.record.address);
        let Some(server) = self.servers.get_mut(&placement.server) else {
            return;
        };
        server.record_sent(now, origin, placement.prefill_tokens);
        let fetch = placement.fetch.map(|it| (it.from, it.duration_ms.round() as u32));
        self.record_transfer(now, placement.server, fetch);
        let Some(server) = self.servers.get_mut(&placement.server) else {
            return;
        };
        server.record_cached_parts(now, &parts);
        held.attempts += 1;
        held.tried.push(placement.server);
        held.current = Some(CurrentAttempt {
            server: placement.server,
            key: origin,
            sent_at: now,
            expected_ms: placement.expected_ms,
            has_begun: false,
        });
        let may_retry = held.attempts < held.arrival.route.max_attempts;
        let target = Target {
            server: placement.server,
            id: server.record.id.clone(),
            address: server.record.address,
            fetch_from,
            response_deadline: first_byte_deadline(now, &held, &placement, may_retry),
            may_retry,
        };
        let decision = Decision::AttemptSent {
            request,
            server: target.id.clone(),
            attempt: held.attempts,
            expected_ms: placement.expected_ms,
            backlog_ms: placement.backlog_ms,
            prefill_tokens: placement.prefill_tokens,
            fetch_tokens: placement.fetch.map_or(0, |it| it.tokens),
            candidates: placement.candidates,
            view_age_ms: placement.info_age_ms,
        };
        if let Some((team, tokens)) = charge {
            self.shares.record_granted(now, team, tokens);
        }
        self.queue_note(Note::AttemptSent {
            server: placement.server,
            attempt: origin.attempt,
            tokens: placement.prefill_tokens,
            charge,
            parts,
            fetch,
        });
        self.requests.insert(request, held);
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Send { request, target });
    }

    /// Notes that `to` fetches from another engine, and in how many milliseconds that ends.
    pub(super) fn record_transfer(
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
                engine.record_transfer(now, f64::from(millis));
            }
        }
    }

    pub(super) fn on_begun(&mut self, now: Timestamp, request: RequestId) {
        let Some(current) = self.requests.get_mut(&request).and_then(|it| it.current.as_mut())
        else {
            return;
        };
        if std::mem::replace(&mut current.has_begun, true) {
            return;
        }
        let CurrentAttempt { server, key: origin, sent_at, expected_ms, .. } = *current;
        let took_ms = now.millis_since(sent_at);
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_response_start(now, origin);
            server.health.record_success(now);
            if let ServerKind::Plain(plain) = &mut server.kind {
                plain.record_response_time(took_ms);
            }
            let server = server.record.id.clone();
            let decision = Decision::ResponseStarted { request, server, took_ms, expected_ms };
            self.effects.push(Effect::Log(decision));
        }
        self.queue_note(Note::ResponseStarted { server, attempt: origin.attempt });
    }

    pub(super) fn on_caller_gone(&mut self, now: Timestamp, request: RequestId) {
        if let Some(mut held) = self.requests.remove(&request) {
            self.end_current_attempt(now, &mut held, None);
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: Timestamp, request: RequestId, end: AttemptEnd) {
        let Some(mut held) = self.requests.remove(&request) else {
            return;
        };
        let pace_micros = match end {
            AttemptEnd::Completed { event_interval_micros: pace_micros, .. } => pace_micros,
            AttemptEnd::Failed { .. } => None,
        };
        self.end_current_attempt(now, &mut held, pace_micros);
        match end {
            AttemptEnd::Completed { status, .. } => self.on_answered(now, &held, status),
            AttemptEnd::Failed { fault, is_partially_delivered: is_delivering } => {
                self.on_attempt_failed(now, held, fault, is_delivering);
            }
        }
    }

    fn end_current_attempt(
        &mut self,
        now: Timestamp,
        held: &mut InFlightRequest,
        pace_micros: Option<u32>,
    ) {
        let Some(CurrentAttempt { server, key: origin, has_begun, .. }) = held.current else {
            return;
        };
        // A team got nothing from a server that never began its request.
        let returned = if has_begun { None } else { held.charged.take() };
        if let Some((team, tokens)) = returned {
            self.shares.record_refund(now, team, tokens);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_end(now, origin);
            server.record_event_interval(now, pace_micros);
        }
        self.queue_note(Note::AttemptEnded {
            server,
            attempt: origin.attempt,
            event_interval_micros: pace_micros,
            refunded: returned,
        });
    }

    fn on_answered(&mut self, now: Timestamp, held: &InFlightRequest, status: u16) {
        self.crashes.clear(held.arrival.fingerprint);
        if let Some(current) = held.current
            && let Some(server) = self.servers.get_mut(&current.server)
        {
            if status < SERVER_ERROR_STATUS_MIN {
                server.health.record_success(now);
            } else {
                server.health.record_failure(now, Fault::ServerError);
            }
        }
    }

    fn on_attempt_failed(
        &mut self,
        now: Timestamp,
        mut held: InFlightRequest,
        fault: Fault,
        is_delivering: bool,
    ) {
        self.record_fault(now, &held, fault);
        if fault == Fault::NotConnected {
            // Nothing reached a server, so this was no attempt.
            held.attempts -= 1;
        }
        held.may_have_run |= !fault.proves_not_run();
        let server = held.current.and_then(|it| self.servers.get(&it.server));
        let server = server.map(|it| it.record.id.clone());
        held.current = None;
        let retried = self.may_retry(now, &held, fault, is_delivering);
        let placement = if retried { self.choose_retry_server(now, &held) } else { None };
        let then = match (&placement, fault) {
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
        match placement {
            Some(placement) => {
                if held.attempts > 0 {
                    self.budget.try_take(now, held.arrival.service);
                }
                self.send(now, held, placement);
            }
            None => self.report_failure(now, &held, fault, then),
        }
    }

    fn report_failure(
        &mut self,
        now: Timestamp,
        held: &InFlightRequest,
        fault: Fault,
        then: NextStep,
    ) {
        let request = held.arrival.request;
        match then {
            NextStep::ForwardServerError => {
                self.effects.push(Effect::ForwardServerError { request })
            }
            NextStep::Refuse => self.refuse(now, held, Refusal::TurnedAway, f64::INFINITY, 0.0),
            NextStep::Fail | NextStep::Retry => self.fail_request(request, failure_reason(fault)),
        }
    }

    fn record_fault(&mut self, now: Timestamp, held: &InFlightRequest, fault: Fault) {
        let Some(current) = held.current else {
            return;
        };
        if fault == Fault::ConnectionLost && !current.has_begun {
            let fingerprint = held.arrival.fingerprint;
            self.queue_note(Note::ServerCrashed { fingerprint });
            self.record_crash(now, fingerprint);
        }
        if fault == Fault::DeadlineExceeded {
            return;
        }
        let Some(server) = self.servers.get_mut(&current.server) else {
            return;
        };
        if !server.health.record_failure(now, fault) {
            return;
        }
        let for_ms = server.health.avoided_until().remaining(now).0;
        let decision = Decision::ServerAvoided {
            server: server.record.id.clone(),
            fault,
            failure_rate: server.health.failure_rate(now),
            for_ms,
        };
        self.effects.push(Effect::Log(decision));
        if !matches!(fault, Fault::Full) {
            let for_ms = u32::try_from(for_ms).unwrap_or(u32::MAX);
            self.queue_note(Note::ServerAvoided { server: current.server, for_ms });
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
        let has_time = !end_by.is_due(now.after(ATTEMPT_TIME_MIN));
        let has_attempt = held.attempts < held.arrival.route.max_attempts;
        let is_barred = self.crashes.is_barred(now, held.arrival.fingerprint);
        if !is_safe || !is_open || !has_time || !has_attempt || is_barred {
            return false;
        }
        held.attempts == 0 || self.budget.available(now, held.arrival.service) >= 1.0
    }

    fn choose_retry_server(&mut self, now: Timestamp, held: &InFlightRequest) -> Option<Placement> {
        let left = held.arrival.deadline().remaining(now).0 as f64;
        self.choose_server(now, held, left).ok()
    }
}

/// When the answer has to have begun: late enough that a server which only has much to do
/// is not given up on, early enough that another one can still answer.
fn first_byte_deadline(
    now: Timestamp,
    held: &InFlightRequest,
    placement: &Placement,
    may_retry: bool,
) -> Timestamp {
    let end_by = held.arrival.deadline();
    if !may_retry || !held.arrival.route.retry_policy.allows_rerun() {
        return end_by;
    }
    let timeout = match held.arrival.prompt {
        Some(_) => Millis(
            (placement.expected_ms * FIRST_BYTE_TIMEOUT_FACTOR) as u64 + FIRST_BYTE_TIMEOUT_SLACK.0,
        ),
        None => {
            let expected = placement.expected_ms * FIRST_BYTE_TIMEOUT_FACTOR;
            Millis(expected.max(held.arrival.route.target_latency.0 as f64) as u64)
        }
    };
    now.after(timeout).min(end_by)
}

fn failure_reason(fault: Fault) -> Failure {
    match fault {
        Fault::ResponseTimeout | Fault::DeadlineExceeded => Failure::Timeout,
        Fault::InvalidResponse => Failure::InvalidResponse,
        _ => Failure::ConnectionLost,
    }
}
