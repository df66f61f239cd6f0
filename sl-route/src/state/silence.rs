//! Attempts on servers that send nothing for some time. Silence is no proof of a failure, so an
//! attempt is given up only for another server that takes over.

use sl_base::{Millis, RequestId, Timestamp};

use super::State;
use crate::{
    AttemptEnd, Decision, Effect, Fault,
    admission::AdmissionLimits,
    effect::RetryDenial,
    place::{self, Placement, Requirements},
    request::InFlightRequest,
};

/// Factor on the expected time to the first byte after which a server counts as silent, if the
/// request may be sent to another one.
const SILENCE_FACTOR: f64 = 3.0;

/// Added to that time for model requests, so that no server counts as silent sooner than this
/// after the expected first byte.
const SILENCE_SLACK: Millis = Millis(400);

/// How often a server is looked for that takes over from a silent one.
const SILENCE_CHECK_INTERVAL: Millis = Millis(250);

impl State {
    /// Moves the request to another server if one takes over. Silence is no proof of a failure,
    /// so the attempt continues otherwise.
    pub(super) fn on_attempt_silent(
        &mut self,
        now: Timestamp,
        request: RequestId,
        is_partially_delivered: bool,
    ) {
        let Some(mut in_flight) = self.requests.remove(&request) else {
            return;
        };
        let fault = Fault::ResponseTimeout;
        let placement = self.place_move(now, &in_flight, is_partially_delivered);
        if placement.is_ok() {
            in_flight.silent_server = in_flight.current.map(|it| it.server);
        }
        self.requests.insert(request, in_flight);
        match placement {
            Ok(_) => {
                let end = AttemptEnd::Failed { fault, is_partially_delivered };
                self.on_attempt_ended(now, request, end);
            }
            Err(denial) => self.keep_waiting(now, request, denial),
        }
    }

    /// Selects the server that takes over from a silent one. Half of the retry budget is left to
    /// requests that failed, as most silent servers go on.
    fn place_move(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        is_partially_delivered: bool,
    ) -> Result<Placement, RetryDenial> {
        if !self.budget.is_half_left(now, in_flight.arrival.service) {
            return Err(RetryDenial::BudgetUsed);
        }
        self.place_retry(now, in_flight, Fault::ResponseTimeout, is_partially_delivered)
    }

    fn keep_waiting(&mut self, now: Timestamp, request: RequestId, denial: RetryDenial) {
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let until = now.after(SILENCE_CHECK_INTERVAL).min(in_flight.arrival.deadline());
        self.effects.push(Effect::KeepWaiting { request, until });
        let Some(current) = in_flight.current.as_mut() else {
            return;
        };
        if std::mem::replace(&mut current.was_silent, true) {
            return;
        }
        let server = current.server;
        self.record_server_failure(now, server, Fault::ResponseTimeout);
        if let Some(server) = self.servers.get(&server) {
            let server = server.record.id.clone();
            let decision = Decision::AttemptSilent { request, server, denial };
            self.effects.push(Effect::Log(decision));
        }
    }

    /// Selects the server that was silent before, for a request that no other server has taken
    /// over. The request was sent there already, so this is no attempt on a further server.
    pub(super) fn place_return(
        &mut self,
        now: Timestamp,
        in_flight: &mut InFlightRequest,
    ) -> Result<Placement, RetryDenial> {
        let arrival = &in_flight.arrival;
        if self.is_barred(now, arrival) {
            return Err(RetryDenial::Barred);
        }
        if self.budget.available(now, arrival.service) < 1.0 {
            return Err(RetryDenial::BudgetUsed);
        }
        let server = in_flight.silent_server.take().and_then(|it| self.servers.get(&it));
        let server = server.ok_or(RetryDenial::NoServer)?;
        let remaining_ms = in_flight.arrival.deadline().remaining(now).0 as f64;
        let limits = AdmissionLimits::until_deadline(remaining_ms);
        let required = Requirements { tried: &[], ..self.requirements(now, in_flight, limits) };
        place::choose(now, std::iter::once(server), required).map_err(|_| RetryDenial::NoServer)
    }
}

/// When the server of an attempt counts as silent: late enough for a busy server to respond,
/// early enough to leave time for an attempt on another server.
pub(super) fn silent_at(
    now: Timestamp,
    in_flight: &InFlightRequest,
    placement: &Placement,
    may_retry: bool,
) -> Timestamp {
    let deadline = in_flight.arrival.deadline();
    if !may_retry || !in_flight.arrival.route.retry_policy.allows_rerun() {
        return deadline;
    }
    let timeout = match in_flight.arrival.prompt {
        Some(_) => {
            let expected = placement.expected_ms * SILENCE_FACTOR;
            Millis((expected as u64).saturating_add(SILENCE_SLACK.0))
        }
        None => {
            let expected = placement.expected_ms * SILENCE_FACTOR;
            Millis(expected.max(in_flight.arrival.route.target_latency.0 as f64) as u64)
        }
    };
    now.after(timeout).min(deadline)
}
