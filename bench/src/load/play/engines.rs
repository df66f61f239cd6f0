//! Attempts at engines, from their arrival there to the end of their streams, and engines that fail.

use sl_base::{Millis, RequestId, Timestamp};
use sl_route::{AttemptEnd, Event, Fault, PromptPart, effect::Target};

use super::{NETWORK_DELAY, Simulation};
use crate::load::{
    engine::{Job, TRANSFER_MS_PER_TOKEN, TRANSFER_OVERHEAD_MS},
    fleet::{self, EVACUATED_DATA_CENTRE, START},
    processor::Work,
    queue::SimEvent,
    step_engine::{self, Stream},
    tally::Outcome,
};

/// Further delay between two data centres, one way.
const DATA_CENTRE_DELAY_MICROS: u64 = 500;

/// How many times longer the tokens of a transfer take between two data centres.
const ACROSS_TRANSFER_FACTOR: f64 = 2.0;

/// Bytes of one event of a stream, as placement assumes them.
const EVENT_BYTES: u64 = 65;

/// When what would arrive at `at` arrives in another data centre.
fn across(at: Timestamp) -> Timestamp {
    Timestamp::from_micros(at.as_micros() + DATA_CENTRE_DELAY_MICROS)
}

impl Simulation {
    pub(super) fn send_attempt(&mut self, instance: usize, request: RequestId, target: &Target) {
        let call = &self.calls[request.0 as usize];
        let prompt = call.caller_request.prompt.clone();
        let fetch_from = target.fetch_from.map(fleet::engine_at);
        let is_resumed = self.options.load.has_transfers() && call.is_finished;
        let job = Job { instance, request: request.0, prompt, fetch_from, is_resumed };
        let Some(&engine) = self.engine_by_key.get(&target.server) else {
            return;
        };
        let is_evacuated =
            self.is_evacuated && self.options.data_centre(engine) == EVACUATED_DATA_CENTRE;
        self.tally.sent_to_evacuated += u32::from(is_evacuated);
        let mut arrives_at = self.now.after(NETWORK_DELAY);
        if self.is_across(instance, engine) {
            arrives_at = across(arrives_at);
            let kind = call.caller_request.kind;
            self.tally.bytes_across += self.options.load.kinds()[kind].body_bytes;
        }
        self.schedule_at(arrives_at, SimEvent::AttemptArrives { engine, job });
    }

    /// Whether an instance and an engine are in different data centres.
    pub(super) fn is_across(&self, instance: usize, engine: usize) -> bool {
        self.options.data_centre(instance) != self.options.data_centre(engine)
    }

    /// When the first event that an engine sends now arrives at the instance of the job. Counts the
    /// bytes of all events of the response if the two are in different data centres.
    pub(super) fn first_event_arrives_at(&mut self, engine: usize, job: &Job) -> Timestamp {
        let arrives_at = self.now.after(NETWORK_DELAY);
        if !self.is_across(job.instance, engine) {
            return arrives_at;
        }
        let output_tokens = self.calls[job.request as usize].caller_request.output_tokens;
        let events = output_tokens / fleet::tokens_per_event(self.options.load);
        self.tally.bytes_across += u64::from(events) * EVENT_BYTES;
        across(arrives_at)
    }

    pub(super) fn receive_attempt(&mut self, engine: usize, job: Job) {
        if self.has_caller_left(&job) {
            return;
        }
        if self.options.load.has_step_engines() {
            return self.receive_step_attempt(engine, job);
        }
        if self.engines[engine].is_down {
            self.tally.attempts_at_lost_engines += 1;
            return self.fail_attempt(&job, Fault::ConnectionRefused, false);
        }
        if !self.engines[engine].has_slot() {
            return self.fail_attempt(&job, Fault::Full, false);
        }
        match job.fetch_from {
            Some(from) => self.start_transfer(engine, from, job),
            None => self.enqueue(engine, job),
        }
    }

    fn has_caller_left(&self, job: &Job) -> bool {
        self.calls[job.request as usize].is_finished && !job.is_resumed
    }

    fn enqueue(&mut self, engine: usize, job: Job) {
        let processed_at = self.engines[engine].enqueue(self.now, job, &self.processed_parts);
        self.schedule_prompt_end(engine, processed_at);
    }

    /// Moves what `from` caches of the prompt by now, after the transfers that both engines have in progress.
    fn start_transfer(&mut self, engine: usize, from: usize, job: Job) {
        let held = self.engines[from].cache.cached_prefix(&job.prompt);
        let own = self.engines[engine].cache.cached_prefix(&job.prompt).len();
        let parts = held.get(own..).unwrap_or_default().to_vec();
        let tokens: u32 = parts.iter().map(|it| it.tokens).sum();
        let millis = self.transfer_ms(engine, from, tokens);
        let pending = [engine, from].map(|it| self.engines[it].transfers_done_at);
        let starts_at = pending.into_iter().fold(self.now, Timestamp::max);
        let done_at = starts_at.after(Millis(millis.ceil() as u64));
        for index in [engine, from] {
            self.engines[index].transfers_done_at = done_at;
        }
        let generation = self.engines[engine].generation;
        self.schedule_at(done_at, SimEvent::PartsMoved { engine, generation, parts, job });
    }

    /// Milliseconds that a transfer of `tokens` between two engines takes.
    fn transfer_ms(&self, engine: usize, from: usize, tokens: u32) -> f64 {
        let is_across = self.options.data_centre(engine) != self.options.data_centre(from);
        let factor = if is_across { ACROSS_TRANSFER_FACTOR } else { 1.0 };
        TRANSFER_OVERHEAD_MS + f64::from(tokens) * TRANSFER_MS_PER_TOKEN * factor
    }

    pub(super) fn finish_transfer(
        &mut self,
        engine: usize,
        generation: u64,
        parts: &[PromptPart],
        job: Job,
    ) {
        if self.engines[engine].generation != generation {
            return self.fail_attempt(&job, Fault::ConnectionLost, false);
        }
        if self.has_caller_left(&job) {
            return;
        }
        self.engines[engine].cache.insert(parts);
        self.enqueue(engine, job);
    }

    pub(super) fn receive_step_attempt(&mut self, engine: usize, job: Job) {
        if !self.step_engines[engine].has_slot() {
            return self.fail_attempt(&job, Fault::Full, false);
        }
        let output_tokens = self.calls[job.request as usize].caller_request.output_tokens;
        self.step_engines[engine].enqueue(job, output_tokens);
        self.start_step(engine);
    }

    pub(super) fn start_step(&mut self, engine: usize) {
        let ends_at = self.step_engines[engine].start_step(self.now, &self.processed_parts);
        if let Some(ends_at) = ends_at {
            self.schedule_at(ends_at, SimEvent::StepEnds { engine });
        }
    }

    pub(super) fn finish_step(&mut self, engine: usize) {
        let result = self.step_engines[engine].finish_step(self.now);
        for job in result.started {
            self.processed_parts.0.extend(job.prompt.shared_parts().iter().map(|it| it.key));
            let arrives_at = self.first_event_arrives_at(engine, &job);
            let call = &mut self.calls[job.request as usize];
            let sent_at = START.after(Millis(call.caller_request.sent_at_ms));
            let after_ms = arrives_at.millis_since(sent_at) as u64;
            call.first_token_after_ms = Some(after_ms);
            let request = RequestId(job.request);
            self.submit_event(job.instance, Event::ResponseStarted { request });
        }
        for stream in result.ended {
            self.finish_step_stream(&stream);
        }
        self.start_step(engine);
    }

    pub(super) fn finish_step_stream(&mut self, stream: &Stream) {
        let call = stream.job.request as usize;
        self.record_pace_error(stream);
        let interval_ms = stream.token_interval_ms(self.now);
        let interval_micros =
            interval_ms.map(|it| (it * f64::from(step_engine::TOKENS_PER_EVENT * 1_000)) as u32);
        if let Some(after_ms) = self.calls[call].first_token_after_ms {
            self.finish_call(call, Outcome::FirstToken { after_ms });
        }
        self.finish_stream(stream.job.instance, stream.job.request, interval_micros);
    }

    pub(super) fn record_pace_error(&mut self, stream: &Stream) {
        let expected_ms = self.calls[stream.job.request as usize].expected_token_interval_ms;
        if let Some(actual_ms) = stream.token_interval_ms(self.now) {
            self.tally.pace_errors.push((expected_ms - actual_ms).abs() / actual_ms);
        }
    }

    pub(super) fn schedule_prompt_end(&mut self, engine: usize, processed_at: Option<Timestamp>) {
        if let Some(processed_at) = processed_at {
            let generation = self.engines[engine].generation;
            self.schedule_at(processed_at, SimEvent::PromptProcessed { engine, generation });
        }
    }

    fn fail_attempt(&mut self, job: &Job, fault: Fault, is_partially_delivered: bool) {
        let end = AttemptEnd::Failed { fault, is_partially_delivered };
        let request = RequestId(job.request);
        self.submit_event(job.instance, Event::AttemptEnded { request, end });
    }

    pub(super) fn finish_prompt(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let Some((job, stream_duration, event_interval_micros)) =
            self.engines[engine].finish_prompt()
        else {
            return;
        };
        self.processed_parts.0.extend(job.prompt.shared_parts().iter().map(|it| it.key));
        let call = job.request as usize;
        let arrives_at = self.first_event_arrives_at(engine, &job);
        if job.is_resumed {
            let request = RequestId(job.request);
            self.submit_event(job.instance, Event::ResponseStarted { request });
        } else if !self.calls[call].is_finished {
            self.record_begun(call);
            let transit_micros = arrives_at.micros_since(self.now);
            self.submit(job.instance, Work::FirstToken { call, transit_micros });
        }
        let Job { instance, request, .. } = job;
        self.schedule_after(
            stream_duration,
            SimEvent::StreamEnds { engine, generation, instance, request, event_interval_micros },
        );
        let processed_at = self.engines[engine].process_next(self.now, &self.processed_parts);
        self.schedule_prompt_end(engine, processed_at);
    }

    pub(super) fn finish_stream(
        &mut self,
        instance: usize,
        request: u64,
        event_interval_micros: Option<u32>,
    ) {
        let end = AttemptEnd::Completed { status: 200, event_interval_micros };
        self.submit_event(instance, Event::AttemptEnded { request: RequestId(request), end });
    }

    pub(super) fn fail_engines(&mut self, every: usize) {
        for engine in (0..self.options.engines).step_by(every) {
            let running = std::mem::take(&mut self.engines[engine].running);
            for job in self.engines[engine].fail() {
                self.fail_attempt(&job, Fault::ConnectionLost, false);
            }
            if self.options.load.has_transfers() {
                running.iter().for_each(|it| self.fail_attempt(it, Fault::ConnectionLost, true));
            }
            self.tally.engine_losses += 1;
            if self.options.lease == Millis(0) {
                self.remove_entry(engine);
            }
        }
        if self.options.lease > Millis(0) {
            self.schedule_after(self.options.lease, SimEvent::EntriesLapse { every });
        }
    }

    pub(super) fn lapse_entries(&mut self, every: usize) {
        for engine in (0..self.options.engines).step_by(every) {
            if self.engines[engine].is_down {
                self.remove_entry(engine);
            }
        }
    }

    fn remove_entry(&mut self, engine: usize) {
        let id = fleet::record(self.options, engine).id;
        for instance in 0..self.options.instances {
            self.submit_event(instance, Event::ServerRemoved { id: id.clone() });
        }
    }

    pub(super) fn restore_engines(&mut self, every: usize) {
        for engine in (0..self.options.engines).step_by(every) {
            self.engines[engine].is_down = false;
            for instance in 0..self.options.instances {
                let mut record = fleet::record(self.options, engine);
                record.started_at_ms = self.now.as_micros();
                self.engine_by_key.insert(record.key(), engine);
                self.submit_event(instance, Event::ServerListed(record));
            }
        }
    }
}
