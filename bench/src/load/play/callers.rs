//! What callers do: they send requests, send them again after a refusal, and leave at the deadline.

use std::sync::Arc;

use rand::RngExt;
use sl_base::{Millis, RequestId, ServiceId, TeamId, Timestamp};
use sl_route::{AllowedRegions, Arrival, Event, Team};

use super::{Call, NETWORK_DELAY, Simulation};
use crate::load::{
    endings::Ending,
    fleet::{self, SERVICE, START},
    options::Options,
    processor::Work,
    queue::SimEvent,
    step_engine::Stream,
    tally::Outcome,
    traffic::{self, CallerRequest, Load},
};

/// The delay after which a caller retries if it does not honour `Retry-After`.
const IMPATIENT_RETRY_DELAY: Millis = Millis(50);

/// The part of the time left that a caller spends on an instance that has not read its request, and that it
/// honours `Retry-After` up to.
const PATIENCE_DIVISOR: u64 = 3;

/// The longest time that a caller spends on an instance that has not read its request.
const PATIENCE_MAX: Millis = Millis(1_000);

const MICROS_PER_MILLI: u64 = 1_000;

impl Simulation {
    /// Draws and schedules all requests, and schedules the failure of engines if the load has
    /// one.
    pub(super) fn schedule_load(&mut self) {
        let Options { load, engines, duration, .. } = self.options;
        let mut micros = 0;
        loop {
            let requests_per_s = load.requests_per_s(micros / MICROS_PER_MILLI, engines);
            let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / requests_per_s;
            micros += (gap * 1e6) as u64;
            if micros / MICROS_PER_MILLI >= duration.0 {
                break;
            }
            let caller_request =
                traffic::draw_request(&mut self.rng, load, micros / MICROS_PER_MILLI, engines);
            let call = self.calls.len();
            let team = caller_request.team;
            let data_centre = load.draw_data_centre(&mut self.rng, team, self.options.data_centres);
            let caller = load.caller_address(team, data_centre);
            self.calls.push(Call {
                caller_request,
                data_centre,
                caller,
                instance: 0,
                is_finished: false,
                is_attempt_open: false,
                is_read: false,
                first_token_after_ms: None,
                expected_token_interval_ms: 0.0,
            });
            self.schedule_at(
                Timestamp::from_micros(START.as_micros() + micros),
                SimEvent::SendRequest { call },
            );
        }
        self.schedule_at(START, SimEvent::Tick);
        self.schedule_readiness_checks();
        if load == Load::Evacuated {
            let [start, end] = [Load::DISTURBANCE_MS.start, Load::DISTURBANCE_MS.end];
            self.schedule_at(START.after(Millis(start)), SimEvent::Evacuate);
            self.schedule_at(START.after(Millis(end)), SimEvent::EndEvacuation);
        }
        for loss in load.engine_losses() {
            self.schedule_at(
                START.after(Millis(loss.at_ms.start)),
                SimEvent::EnginesFail { every: loss.every },
            );
            self.schedule_at(
                START.after(Millis(loss.at_ms.end)),
                SimEvent::EnginesRecover { every: loss.every },
            );
        }
    }

    pub(super) fn send_request(&mut self, call: usize) {
        let instance = self.draw_instance(call);
        let kind = &self.options.load.kinds()[self.calls[call].caller_request.kind];
        let is_first_try =
            self.calls[call].caller_request.retries_left == self.options.load.retries();
        if is_first_try {
            let sent_at = START.after(Millis(self.calls[call].caller_request.sent_at_ms));
            self.schedule_at(sent_at.after(kind.timeout), SimEvent::CallerDisconnects { call });
        }
        self.calls[call].instance = instance;
        let lookup_delay = self.options.policy.lookup_delay();
        self.schedule_after(
            Millis(NETWORK_DELAY.0 + lookup_delay.0),
            SimEvent::RequestArrives { call, instance },
        );
    }

    /// The instance that the balancer selects, the one that the callers of the team reach, or one drawn
    /// of the data centre.
    pub(super) fn draw_instance(&mut self, call: usize) -> usize {
        let Options { load, instances, data_centres, .. } = self.options;
        let Call { data_centre, caller, ref caller_request, .. } = self.calls[call];
        if load.has_balancer() {
            return self.balancer.select(data_centre, caller, self.attempt(call));
        }
        if let Some(instance) = load.instance_of_team(caller_request.team, instances) {
            return instance;
        }
        let count = (instances - data_centre).div_ceil(data_centres);
        data_centre + data_centres * self.rng.random_range(0..count)
    }

    pub(super) fn receive_request(&mut self, call: usize, instance: usize) {
        if self.calls[call].is_finished {
            return;
        }
        let call_state = &mut self.calls[call];
        call_state.is_attempt_open = true;
        call_state.is_read = false;
        let CallerRequest { team, ref prompt, .. } = call_state.caller_request;
        let tokens = prompt.charge();
        self.tally.team_tokens.record_asked(self.now, team, tokens);
        self.tally.all_endings.record_asked(team, tokens);
        let attempt = self.attempt(call);
        if self.options.processor.is_some() {
            let patience = Millis((self.time_left(call).0 / PATIENCE_DIVISOR).min(PATIENCE_MAX.0));
            self.schedule_after(patience, SimEvent::CallerGivesUp { call, attempt });
        }
        self.submit(instance, Work::Request { call, attempt });
    }

    /// Passes a request that has been read to the reducer.
    pub(super) fn decide_request(&mut self, instance: usize, call: usize) {
        let caller_request = self.calls[call].caller_request.clone();
        let name = traffic::team_name(caller_request.team);
        let allowed_regions = AllowedRegions::default();
        let team = Team { id: TeamId::of(&name), name, priority: 1, allowed_regions };
        self.tally.shared_tokens +=
            caller_request.prompt.shared_parts().iter().map(|it| u64::from(it.tokens)).sum::<u64>();
        let arrival = Arrival {
            request: RequestId(call as u64),
            route: fleet::route(self.options.load, caller_request.kind),
            service: ServiceId::of(SERVICE),
            team: Some(Arc::new(team)),
            arrived_at: self.now,
            caller_deadline: self.deadline(call),
            prompt: Some(caller_request.prompt),
            body_bytes: self.options.load.kinds()[caller_request.kind].body_bytes,
            fingerprint: call as u64,
            stream: None,
        };
        self.step(instance, Event::RequestArrived(Box::new(arrival)));
    }

    /// Ends an attempt that was not run, and lets the caller retry after the delay that it was told.
    pub(super) fn handle_refusal(
        &mut self,
        request: RequestId,
        retry_after: Millis,
        ending: Ending,
    ) {
        self.tally.refusals += 1;
        let call = request.0 as usize;
        let honours_retry_after = self.options.load.honours_retry_after();
        let wait = if honours_retry_after { retry_after } else { IMPATIENT_RETRY_DELAY };
        let wait = match self.options.processor {
            Some(_) => wait.min(Millis(self.time_left(call).0 / PATIENCE_DIVISOR)),
            None => wait,
        };
        self.end_attempt(call, ending);
        self.retry(call, wait, Outcome::Refused);
    }

    /// Sends a request again after a delay, or ends it if the caller has no retry or no time left.
    fn retry(&mut self, call: usize, wait: Millis, outcome: Outcome) {
        let team = self.calls[call].caller_request.team;
        self.tally.team_tokens.record_short(self.now, team);
        let is_too_late = self.now.after(wait) >= self.deadline(call);
        let caller_request = &mut self.calls[call].caller_request;
        if caller_request.retries_left == 0 || is_too_late {
            return self.finish_call(call, outcome);
        }
        caller_request.retries_left -= 1;
        self.schedule_after(wait, SimEvent::SendRequest { call });
    }

    /// Ends an attempt that its instance has not read in time.
    pub(super) fn give_up_unread(&mut self, call: usize, attempt: u32) {
        let is_current = self.attempt(call) == attempt && self.calls[call].is_attempt_open;
        if self.calls[call].is_finished || !is_current || self.calls[call].is_read {
            return;
        }
        self.end_attempt(call, Ending::Unread);
        self.retry(call, Millis(0), Outcome::Failed);
    }

    /// Counts where an attempt ended.
    pub(super) fn end_attempt(&mut self, call: usize, ending: Ending) {
        let call = &mut self.calls[call];
        if std::mem::replace(&mut call.is_attempt_open, false) {
            let CallerRequest { team, ref prompt, .. } = call.caller_request;
            self.tally.all_endings.record(team, prompt.charge(), ending);
        }
    }

    /// The number of times that the caller has retried.
    pub(super) fn attempt(&self, call: usize) -> u32 {
        self.options.load.retries() - self.calls[call].caller_request.retries_left
    }

    fn deadline(&self, call: usize) -> Timestamp {
        let CallerRequest { kind, sent_at_ms, .. } = self.calls[call].caller_request;
        START.after(Millis(sent_at_ms)).after(self.options.load.kinds()[kind].timeout)
    }

    fn time_left(&self, call: usize) -> Millis {
        self.deadline(call).remaining(self.now)
    }

    pub(super) fn micros_since_sent(&self, call: usize) -> u64 {
        self.now.micros_since(START.after(Millis(self.calls[call].caller_request.sent_at_ms)))
    }

    /// Counts the tokens of a request that an engine has begun.
    pub(super) fn record_begun(&mut self, call: usize) {
        let CallerRequest { team, ref prompt, .. } = self.calls[call].caller_request;
        self.tally.team_tokens.record_begun(self.now, team, prompt.charge());
    }

    /// Counts a request whose first token arrived `after_ms` after it was sent first.
    pub(super) fn record_first_token(&mut self, call: usize, after_ms: u64) {
        let CallerRequest { kind, team, .. } = self.calls[call].caller_request;
        let is_late = after_ms > self.options.load.kinds()[kind].target_latency.0;
        if is_late {
            self.tally.team_tokens.record_short(self.now, team);
        }
        self.end_attempt(call, if is_late { Ending::Late } else { Ending::Served });
    }

    pub(super) fn finish_call(&mut self, call: usize, outcome: Outcome) {
        let call = &mut self.calls[call];
        if !std::mem::replace(&mut call.is_finished, true) {
            self.tally.record(&call.caller_request, outcome);
        }
    }

    pub(super) fn disconnect_caller(&mut self, call: usize) {
        if self.calls[call].is_finished {
            return;
        }
        let instance = self.calls[call].instance;
        let has_started = self.calls[call].first_token_after_ms.is_some();
        let outcome = if has_started { Outcome::Unfinished } else { Outcome::Failed };
        let ending = if self.calls[call].is_read { Ending::Deadline } else { Ending::Unread };
        self.end_attempt(call, ending);
        self.finish_call(call, outcome);
        for engine in &mut self.engines {
            engine.cancel_queued(instance, call as u64);
        }
        let cancelled: Vec<Stream> = self
            .step_engines
            .iter_mut()
            .filter_map(|it| it.cancel(instance, call as u64))
            .collect();
        for stream in cancelled {
            self.record_pace_error(&stream);
        }
        let request = RequestId(call as u64);
        self.submit_event(instance, Event::CallerDisconnected { request });
    }
}
