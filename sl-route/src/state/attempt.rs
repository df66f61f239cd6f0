//! Attempts: sending a request to a server, handling the outcome, retrying.

use sl_base::{Millis, RequestId, Timestamp};

use super::{State, silence::silent_at};
use crate::{
    AttemptEnd, Decision, Effect, Failure, Fault, Refusal, RetryPolicy, ServerKey,
    activity::TokenOutcome,
    admission::AdmissionLimits,
    breaker::ProbeDraw,
    effect::{NextStep, RetryDenial, Target},
    estimates::AttemptKind,
    note::{AttemptKey, Note},
    place::{LowestEstimates, Placement, PlacementError},
    request::{CurrentAttempt, InFlightRequest},
    response_times::WorkKind,
    server::{Server, ServerKind},
};

/// No attempt is made with less time than this before the request's deadline.
const ATTEMPT_TIME_MIN: Millis = Millis(20);

/// The lowest status of a server error.
const SERVER_ERROR_STATUS_MIN: u16 = 500;

impl State {
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        mut in_flight: InFlightRequest,
        placement: Placement,
    ) {
        let request = in_flight.arrival.request;
        self.last_attempt += 1;
        let key = AttemptKey { instance: self.options.instance, attempt: self.last_attempt };
        let charge =
            if in_flight.charged.is_none() { State::charge(&in_flight.arrival) } else { None };
        in_flight.charged = in_flight.charged.or(charge);
        let parts = in_flight.arrival.prompt.as_ref().map_or_else(Vec::new, |it| it.parts.clone());
        let fetch_from = placement.fetch.and_then(|it| self.servers.get(&it.from));
        let fetch_from = fetch_from.map(|it| it.record.address);
        let Some(server) = self.servers.get_mut(&placement.server) else {
            return;
        };
        // The end of an own attempt is always known.
        server.record_sent(now, key, placement.prefill_tokens, Timestamp::NEVER);
        let is_cold = server.is_cold(now);
        server.record_own_send(now);
        server.breaker.record_sent(now);
        let fetch = placement.fetch.map(|it| (it.from, it.duration_ms.round() as u32));
        self.record_transfer(now, placement.server, fetch);
        let Some(server) = self.servers.get_mut(&placement.server) else {
            return;
        };
        server.record_cached_parts(now, &parts);
        if let ServerKind::Plain(plain) = &mut server.kind {
            plain.response_times.record_sent(now, WorkKind::of(&in_flight.arrival.route));
        }
        in_flight.attempts += 1;
        in_flight.tried.push(placement.server);
        let kind = AttemptKind::new(in_flight.attempts, placement.fetch.is_some());
        if in_flight.arrival.prompt.is_some() {
            self.estimates.record_sent(kind, placement.prefill_tokens);
        }
        in_flight.current = Some(CurrentAttempt {
            server: placement.server,
            key,
            sent_at: now,
            expected_ms: placement.expected_ms,
            kind,
            response_started_at: None,
            was_silent: false,
        });
        let may_retry = in_flight.attempts < in_flight.arrival.route.max_attempts;
        let target = Target {
            server: placement.server,
            id: server.record.id.clone(),
            address: server.record.address,
            fetch_from,
            silent_at: silent_at(now, &in_flight, &placement, may_retry),
            may_retry,
        };
        let decision = self.sent_decision(&in_flight, &target, &placement, is_cold);
        if let Some((team, tokens)) = charge {
            self.shares.record_granted(now, team, tokens);
            self.record_outcome(&in_flight.arrival, TokenOutcome::Granted);
        }
        let stream = self.recorded_stream(&in_flight.arrival, placement.server);
        self.queue_note(Note::AttemptSent {
            server: placement.server,
            attempt: key.attempt,
            prefill_tokens: placement.prefill_tokens,
            charge,
            parts,
            fetch,
            stream,
        });
        self.requests.insert(request, in_flight);
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Send { request, target });
    }

    /// The log entry of an attempt that is sent to `target`.
    fn sent_decision(
        &self,
        in_flight: &InFlightRequest,
        target: &Target,
        placement: &Placement,
        is_cold: bool,
    ) -> Decision {
        Decision::AttemptSent {
            request: in_flight.arrival.request,
            server: target.id.clone(),
            attempt: in_flight.attempts,
            expected_ms: placement.expected_ms,
            expected_end_ms: placement.expected_ms + placement.decode_ms,
            backlog_ms: placement.backlog_ms,
            prefill_tokens: placement.prefill_tokens,
            fetch_tokens: placement.fetch.map_or(0, |it| it.tokens),
            candidates: placement.candidates,
            view_age_ms: placement.view_age_ms,
            is_cold,
            data_centre_share: self.data_centre_share(in_flight.arrival.service),
            left_data_centre: placement.left_data_centre,
            body_bytes: in_flight.arrival.body_bytes,
        }
    }

    /// Logs how far the expected times of attempts held, once a second.
    pub(super) fn report_estimates(&mut self, now: Timestamp) {
        for (kind, counts) in self.estimates.take_report(now) {
            self.effects.push(Effect::Log(Decision::AttemptEstimates { kind, counts }));
        }
    }

    /// Records the transfer from another engine to `to`, given as the source and the
    /// milliseconds until it is complete.
    pub(super) fn record_transfer(
        &mut self,
        now: Timestamp,
        to: ServerKey,
        fetch: Option<(ServerKey, u32)>,
    ) {
        let Some((from, duration_ms)) = fetch else {
            return;
        };
        for key in [from, to] {
            if let Some(Server { kind: ServerKind::Engine(engine), .. }) =
                self.servers.get_mut(&key)
            {
                engine.record_transfer(now, f64::from(duration_ms));
            }
        }
    }

    pub(super) fn on_response_started(&mut self, now: Timestamp, request: RequestId) {
        let Some(mut in_flight) = self.requests.remove(&request) else {
            return;
        };
        let started = in_flight.current.as_mut().filter(|it| it.response_started_at.is_none());
        let started = started.map(|it| {
            it.response_started_at = Some(now);
            *it
        });
        if let Some(current) = started {
            self.record_stream_start(&mut in_flight, current.server);
        }
        let work = WorkKind::of(&in_flight.arrival.route);
        self.requests.insert(request, in_flight);
        let Some(CurrentAttempt { server, key, sent_at, expected_ms, kind, .. }) = started else {
            return;
        };
        let took_ms = now.millis_since(sent_at);
        self.crash_detector.record_alive(now, server);
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_response_start(now, key);
            server.health.record_success(now);
            server.breaker.record_response(now);
            match &mut server.kind {
                ServerKind::Plain(plain) => {
                    plain.response_times.record_response(now, work, sent_at);
                }
                ServerKind::Engine(_) => self.estimates.record_started(kind, expected_ms, took_ms),
            }
            let kind = server.kind.engine().map(|_| kind);
            let server = server.record.id.clone();
            let decision =
                Decision::ResponseStarted { request, server, kind, took_ms, expected_ms };
            self.effects.push(Effect::Log(decision));
        }
        self.queue_note(Note::ResponseStarted { server, attempt: key.attempt });
    }

    pub(super) fn on_caller_disconnected(&mut self, now: Timestamp, request: RequestId) {
        if let Some(mut in_flight) = self.requests.remove(&request) {
            self.end_current_attempt(now, &mut in_flight, None);
            self.record_given_up(&in_flight);
        }
    }

    /// Counts the tokens of a request that has ended without a first token, if none were granted that
    /// count still.
    fn record_given_up(&mut self, in_flight: &InFlightRequest) {
        if in_flight.charged.is_none() {
            self.record_outcome(&in_flight.arrival, TokenOutcome::GivenUp);
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: Timestamp, request: RequestId, end: AttemptEnd) {
        let Some(mut in_flight) = self.requests.remove(&request) else {
            return;
        };
        let event_interval_micros = match end {
            AttemptEnd::Completed { event_interval_micros, .. } => event_interval_micros,
            AttemptEnd::Failed { .. } => None,
        };
        self.end_current_attempt(now, &mut in_flight, event_interval_micros);
        match end {
            AttemptEnd::Completed { status, .. } => {
                self.on_attempt_completed(now, &in_flight, status)
            }
            AttemptEnd::Failed { fault, is_partially_delivered } => {
                self.on_attempt_failed(now, in_flight, fault, is_partially_delivered);
            }
        }
    }

    fn end_current_attempt(
        &mut self,
        now: Timestamp,
        in_flight: &mut InFlightRequest,
        event_interval_micros: Option<u32>,
    ) {
        let Some(current) = in_flight.current else {
            return;
        };
        let CurrentAttempt { server, key, .. } = current;
        // Without a first byte the team got nothing, so its charge is refunded.
        let refunded = if current.has_response_started() { None } else { in_flight.charged.take() };
        if let Some((team, tokens)) = refunded {
            self.shares.record_refund(now, team, tokens);
            self.record_outcome(&in_flight.arrival, TokenOutcome::Lost);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.record_event_interval(now, key, event_interval_micros);
            server.record_end(now, key);
            // The entry may have been removed and listed again while the attempt ran.
            server.own_in_flight = server.own_in_flight.saturating_sub(1);
        }
        self.queue_note(Note::AttemptEnded {
            server,
            attempt: key.attempt,
            event_interval_micros,
            refunded,
        });
    }

    fn on_attempt_completed(&mut self, now: Timestamp, in_flight: &InFlightRequest, status: u16) {
        let Some(current) = in_flight.current else {
            return;
        };
        self.crash_detector.record_alive(now, current.server);
        self.record_completed(now, in_flight, status);
        if let Some(server) = self.servers.get_mut(&current.server) {
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
        mut in_flight: InFlightRequest,
        fault: Fault,
        is_partially_delivered: bool,
    ) {
        self.record_loss(now, &in_flight, fault);
        self.record_fault(now, &in_flight, fault);
        match fault {
            // The request did not reach the server; the attempt does not count.
            Fault::NotConnected | Fault::ConnectionRefused => in_flight.attempts -= 1,
            // It reached another one, which did not run it; only the retry budget counts that.
            Fault::WrongServer => {
                in_flight.attempts -= 1;
                in_flight.misdirected += 1;
            }
            _ => {}
        }
        in_flight.may_have_run |= !fault.proves_not_run();
        let server = in_flight.current.and_then(|it| self.servers.get(&it.server));
        let server = server.map(|it| it.record.id.clone());
        in_flight.current = None;
        let mut placement = self.place_retry(now, &in_flight, fault, is_partially_delivered);
        if placement.is_err() && fault.proves_not_run() {
            placement = self.place_return(now, &mut in_flight).or(placement);
        }
        let next = match (&placement, fault) {
            (Ok(_), _) => NextStep::Retry,
            (Err(_), Fault::ServerError) => NextStep::ForwardServerError,
            (Err(_), _) if !in_flight.may_have_run && !is_partially_delivered => NextStep::Refuse,
            (Err(_), _) => NextStep::Fail,
        };
        let request = in_flight.arrival.request;
        if let Some(server) = server {
            let denial = placement.as_ref().err().copied();
            let decision = Decision::AttemptFailed { request, server, fault, next, denial };
            self.effects.push(Effect::Log(decision));
        }
        match placement {
            Ok(placement) => self.retry(now, in_flight, placement),
            Err(_) => self.report_failure(now, &in_flight, fault, next),
        }
    }

    fn retry(&mut self, now: Timestamp, in_flight: InFlightRequest, placement: Placement) {
        if in_flight.has_arrived() {
            self.budget.try_take(now, in_flight.arrival.service);
        }
        self.send(now, in_flight, placement);
    }

    fn report_failure(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        fault: Fault,
        next: NextStep,
    ) {
        let request = in_flight.arrival.request;
        if next != NextStep::Refuse {
            self.record_given_up(in_flight);
        }
        match next {
            NextStep::ForwardServerError => {
                self.effects.push(Effect::ForwardServerError { request })
            }
            NextStep::Refuse => {
                self.refuse(now, in_flight, Refusal::TurnedAway, LowestEstimates::NONE, 0.0)
            }
            NextStep::Fail | NextStep::Retry => self.fail_request(request, failure_reason(fault)),
        }
    }

    fn record_fault(&mut self, now: Timestamp, in_flight: &InFlightRequest, fault: Fault) {
        let Some(current) = in_flight.current else {
            return;
        };
        if fault == Fault::DeadlineExceeded && !current.has_response_started() {
            self.record_unanswered(now, in_flight, current);
        }
        // The silence of an attempt counts once, when it is noticed.
        let was_counted = fault == Fault::ResponseTimeout && current.was_silent;
        if fault != Fault::DeadlineExceeded && !was_counted {
            self.record_server_failure(now, current.server, fault);
        }
        if fault == Fault::ConnectionRefused {
            self.record_refused_connection(now, current.server);
        }
    }

    /// Records that a plain server had not begun to respond when the request was due.
    fn record_unanswered(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        current: CurrentAttempt,
    ) {
        if let Some(server) = self.servers.get_mut(&current.server)
            && let ServerKind::Plain(plain) = &mut server.kind
        {
            let work = WorkKind::of(&in_flight.arrival.route);
            plain.response_times.record_unanswered(now, work, current.sent_at);
        }
    }

    fn probe_draw(&self, server: ServerKey) -> ProbeDraw {
        ProbeDraw { server, instance: self.options.instance, instances: self.instances }
    }

    /// Opens the breaker of a server that refused a connection, here and at the peers.
    fn record_refused_connection(&mut self, now: Timestamp, key: ServerKey) {
        let draw = self.probe_draw(key);
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let Some(refusals) = server.breaker.record_refused(now, draw) else {
            return;
        };
        let probe_at = server.breaker.own_probe_at().unwrap_or(now);
        let decision = Decision::ServerAvoided {
            server: server.record.id.clone(),
            fault: Fault::ConnectionRefused,
            failure_rate: server.health.failure_rate(now),
            for_ms: probe_at.remaining(now).0,
        };
        self.effects.push(Effect::Log(decision));
        self.queue_note(Note::ConnectionRefused { server: key, refusals });
    }

    /// Opens the breaker of a server that refused connections of a peer.
    pub(super) fn on_peer_refused(&mut self, now: Timestamp, key: ServerKey, refusals: u32) {
        let draw = self.probe_draw(key);
        self.crash_detector.record_unreachable(key);
        if let Some(server) = self.servers.get_mut(&key) {
            server.breaker.record_peer_refused(now, refusals, draw);
        }
    }

    /// Records a failure in the health of a server, and tells the peers if it is avoided now.
    pub(super) fn record_server_failure(&mut self, now: Timestamp, key: ServerKey, fault: Fault) {
        let Some(server) = self.servers.get_mut(&key) else {
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
            self.queue_note(Note::ServerAvoided { server: key, for_ms });
        }
    }

    /// Selects another server for a request whose attempt ended with `fault`.
    pub(super) fn place_retry(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        fault: Fault,
        is_partially_delivered: bool,
    ) -> Result<Placement, RetryDenial> {
        let arrival = &in_flight.arrival;
        let policy = arrival.route.retry_policy;
        let may_run_again =
            fault.proves_not_run() && !in_flight.may_have_run || policy.allows_rerun();
        let can_resume = !is_partially_delivered || policy == RetryPolicy::ResumableStream;
        if !may_run_again || !can_resume {
            return Err(RetryDenial::NotRepeatable);
        }
        let deadline = arrival.deadline();
        if deadline.is_due(now.after(ATTEMPT_TIME_MIN)) {
            return Err(RetryDenial::NoTime);
        }
        if in_flight.attempts >= arrival.route.max_attempts {
            return Err(RetryDenial::NoAttemptLeft);
        }
        if self.is_barred(now, arrival) {
            return Err(RetryDenial::Barred);
        }
        if in_flight.has_arrived() && self.budget.available(now, arrival.service) < 1.0 {
            return Err(RetryDenial::BudgetUsed);
        }
        let limits = AdmissionLimits::until_deadline(deadline.remaining(now).0 as f64);
        self.choose_server(now, in_flight, limits).map_err(|error| match error {
            PlacementError::NoServer if in_flight.origin.is_some() => RetryDenial::VersionGone,
            _ => RetryDenial::NoServer,
        })
    }
}

fn failure_reason(fault: Fault) -> Failure {
    match fault {
        Fault::ResponseTimeout | Fault::DeadlineExceeded => Failure::Timeout,
        Fault::InvalidResponse | Fault::UnmatchedRejection => Failure::InvalidResponse,
        _ => Failure::ConnectionLost,
    }
}
