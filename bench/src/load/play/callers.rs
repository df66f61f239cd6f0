//! What callers do: they send requests, send them again after a refusal, and leave at the deadline.

use std::sync::Arc;

use rand::RngExt;
use sl_base::{Millis, RequestId, ServiceId, TeamId, Timestamp};
use sl_route::{AllowedRegions, Arrival, Event, Team};

use super::{Call, NETWORK_DELAY, Simulation};
use crate::load::{
    fleet::{self, SERVICE, START},
    options::Options,
    queue::SimEvent,
    step_engine::Stream,
    tally::Outcome,
    traffic::{self, CallerRequest, Load},
};

/// The delay after which a caller retries if it does not honour `Retry-After`.
const IMPATIENT_RETRY_DELAY: Millis = Millis(50);

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
            let data_centre = load.draw_data_centre(&mut self.rng, self.options.data_centres);
            self.calls.push(Call {
                caller_request,
                data_centre,
                instance: 0,
                is_finished: false,
                first_token_after_ms: None,
                expected_token_interval_ms: 0.0,
            });
            self.schedule_at(
                Timestamp::from_micros(START.as_micros() + micros),
                SimEvent::SendRequest { call },
            );
        }
        self.schedule_at(START, SimEvent::Tick);
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

    /// The instance that the callers of the team reach, or one drawn of the data centre.
    pub(super) fn draw_instance(&mut self, call: usize) -> usize {
        let Options { load, instances, data_centres, .. } = self.options;
        let Call { data_centre, ref caller_request, .. } = self.calls[call];
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
        let caller_request = self.calls[call].caller_request.clone();
        let name = format!("team-{}", caller_request.team);
        let allowed_regions = AllowedRegions::default();
        let team = Team { id: TeamId::of(&name), name, priority: 1, allowed_regions };
        let deadline = START
            .after(Millis(caller_request.sent_at_ms))
            .after(self.options.load.kinds()[caller_request.kind].timeout);
        self.tally.shared_tokens +=
            caller_request.prompt.shared_parts().iter().map(|it| u64::from(it.tokens)).sum::<u64>();
        let tokens = caller_request.prompt.charge();
        self.tally.team_tokens.record_asked(self.now, caller_request.team, tokens);
        let arrival = Arrival {
            request: RequestId(call as u64),
            route: fleet::route(self.options.load, caller_request.kind),
            service: ServiceId::of(SERVICE),
            team: Some(Arc::new(team)),
            arrived_at: self.now,
            caller_deadline: deadline,
            prompt: Some(caller_request.prompt),
            body_bytes: self.options.load.kinds()[caller_request.kind].body_bytes,
            fingerprint: call as u64,
            stream: None,
        };
        self.step(instance, Event::RequestArrived(Box::new(arrival)));
    }

    pub(super) fn handle_refusal(&mut self, request: RequestId, retry_after: Millis) {
        self.tally.refusals += 1;
        let honours_retry_after = self.options.load.honours_retry_after();
        let wait = if honours_retry_after { retry_after } else { IMPATIENT_RETRY_DELAY };
        let call = &mut self.calls[request.0 as usize];
        self.tally.team_tokens.record_short(self.now, call.caller_request.team);
        let disconnects_at = START
            .after(Millis(call.caller_request.sent_at_ms))
            .after(self.options.load.kinds()[call.caller_request.kind].timeout);
        if call.caller_request.retries_left == 0 || self.now.after(wait) >= disconnects_at {
            return self.finish_call(request.0 as usize, Outcome::Refused);
        }
        call.caller_request.retries_left -= 1;
        self.schedule_after(wait, SimEvent::SendRequest { call: request.0 as usize });
    }

    /// Counts the tokens of a request whose first token arrived `after_ms` after it was sent first.
    pub(super) fn record_begun(&mut self, call: usize, after_ms: u64) {
        let CallerRequest { kind, team, ref prompt, .. } = self.calls[call].caller_request;
        let tokens = &mut self.tally.team_tokens;
        tokens.record_begun(self.now, team, prompt.charge());
        if after_ms > self.options.load.kinds()[kind].target_latency.0 {
            tokens.record_short(self.now, team);
        }
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
        self.step(instance, Event::CallerDisconnected { request: RequestId(call as u64) });
    }
}
