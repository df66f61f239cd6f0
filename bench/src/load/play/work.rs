//! The work of instances: at once, or as their processors get to it.

use rand::RngExt;
use sl_base::{Millis, RequestId, TeamId};
use sl_route::Event;

use super::Simulation;
use crate::load::{
    endings::Ending, processor::Work, queue::SimEvent, tally::Outcome, traffic::team_name,
};

/// The largest random part of the delay that a rejected caller is asked to wait.
const RETRY_SPREAD: Millis = Millis(200);

/// How often the balancer checks whether an instance is ready.
const READINESS_INTERVAL: Millis = Millis(1_000);

impl Simulation {
    /// Gives an instance something to do.
    pub(super) fn submit(&mut self, instance: usize, work: Work) {
        let Some(costs) = self.options.processor else {
            return self.perform(instance, work);
        };
        let buffer = costs.buffer(self.options.instances);
        if self.processors[instance].push(work, buffer) {
            self.start_work(instance);
        }
    }

    /// Passes an event to the reducer of an instance in its turn.
    pub(super) fn submit_event(&mut self, instance: usize, event: Event) {
        self.submit(instance, Work::Step(event));
    }

    fn start_work(&mut self, instance: usize) {
        let Some(costs) = self.options.processor else {
            return;
        };
        let instances = self.options.instances;
        let micros = |work: &Work| costs.micros(work, instances);
        if let Some(done_at) = self.processors[instance].start(self.now, micros) {
            self.schedule_at(done_at, SimEvent::WorkDone { instance });
        }
    }

    pub(super) fn finish_work(&mut self, instance: usize) {
        if let Some(work) = self.processors[instance].finish() {
            self.perform(instance, work);
        }
        self.start_work(instance);
    }

    fn perform(&mut self, instance: usize, work: Work) {
        match work {
            Work::Request { call, attempt } => self.read_request(instance, call, attempt),
            Work::FirstToken { call, transit_micros } => {
                self.pass_first_token_on(instance, call, transit_micros);
            }
            Work::Step(event) => self.step(instance, event),
            Work::Message { from, sequence, notes } => {
                self.receive_notes(instance, from, sequence, notes);
            }
            Work::Tick { due } => {
                let late_ms = self.now.millis_since(due);
                if let Some(processor) = self.processors.get_mut(instance) {
                    processor.load_shedder.record_tick(self.now, late_ms);
                }
                self.step(instance, Event::Tick);
            }
        }
    }

    /// Rejects the request if the instance runs late, and decides on it otherwise.
    fn read_request(&mut self, instance: usize, call: usize, attempt: u32) {
        if self.calls[call].is_finished || self.attempt(call) != attempt {
            return;
        }
        self.calls[call].is_read = true;
        if self.should_reject(instance, call) {
            let spread = self.rng.random_range(0..=RETRY_SPREAD.0);
            let delay = self.processors[instance].retry_delay(self.now);
            let retry_after = Millis(delay.0 + spread);
            return self.handle_refusal(RequestId(call as u64), retry_after, Ending::Shed);
        }
        self.decide_request(instance, call);
    }

    fn should_reject(&mut self, instance: usize, call: usize) -> bool {
        let Some(processor) = self.processors.get_mut(instance) else {
            return false;
        };
        let team = TeamId::of(&team_name(self.calls[call].caller_request.team));
        let standing = self.instances[instance].standing(self.now, team);
        processor.load_shedder.should_reject(standing)
    }

    fn pass_first_token_on(&mut self, instance: usize, call: usize, transit_micros: u64) {
        if self.calls[call].is_finished {
            return;
        }
        let after_ms = (self.micros_since_sent(call) + transit_micros) / MICROS_PER_MILLI;
        self.record_first_token(call, after_ms);
        self.finish_call(call, Outcome::FirstToken { after_ms });
        self.step(instance, Event::ResponseStarted { request: RequestId(call as u64) });
    }

    /// Schedules the first check of each instance's readiness, spread over the interval.
    pub(super) fn schedule_readiness_checks(&mut self) {
        for instance in 0..self.processors.len() {
            let offset = READINESS_INTERVAL.0 * instance as u64 / self.processors.len() as u64;
            self.schedule_after(Millis(offset), SimEvent::CheckReadiness { instance });
        }
    }

    pub(super) fn check_readiness(&mut self, instance: usize) {
        let is_ready = !self.processors[instance].load_shedder.is_shedding(self.now);
        self.balancer.record_check(instance, is_ready);
        self.tally.checks_out_of_rotation += u32::from(!self.balancer.is_in_rotation(instance));
        self.schedule_after(READINESS_INTERVAL, SimEvent::CheckReadiness { instance });
    }
}

const MICROS_PER_MILLI: u64 = 1_000;
