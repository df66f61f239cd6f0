//! The simulation of instances, engines and callers over some tens of seconds.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{Incarnation, InstanceId, Millis, RequestId, ServiceId, TeamId, Timestamp};
use sl_edge::arrivals::{MessageArrivals, PeerArrival};
use sl_route::{
    AllowedRegions, Arrival, AttemptEnd, Decision, Effect, Event, Fault, Notes, ServerKey, State,
    Team, note::Note,
};

use super::{
    cache::ProcessedParts,
    engine::{Engine, Job},
    fleet::{self, EVACUATED_DATA_CENTRE, SERVICE, START},
    policy::{GossipTiming, Policy},
    queue::{ScheduledEvent, SimEvent},
    step_engine::{self, StepEngine, Stream},
    tally::{Outcome, Tally},
    traffic::{self, CallerRequest, Load},
};

/// Options of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the requests, and of all decisions that are random.
    pub seed: u64,
    /// The load that callers generate.
    pub load: Load,
    /// How instances learn about the requests of other instances.
    pub policy: Policy,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of data centres, each with an equal part of the instances and engines.
    pub data_centres: usize,
    /// Milliseconds of waiting time that one megabyte between data centres is worth.
    pub data_centre_cost_ms_per_mb: f64,
    /// Whether routes are balanced against each other under contention.
    pub balances_routes: bool,
    /// How long callers send new requests.
    pub duration: Millis,
}

impl Options {
    /// Index of the data centre of an instance or engine with this index.
    pub(super) fn data_centre(self, index: usize) -> usize {
        index % self.data_centres
    }
}

/// A caller's request with its state over all retries.
struct Call {
    caller_request: CallerRequest,
    data_centre: usize,
    /// The instance to which the request was sent last.
    instance: usize,
    is_finished: bool,
    /// How long after the request was sent first its first token arrived, in milliseconds; kept
    /// until the stream ends where its end counts.
    first_token_after_ms: Option<u64>,
    /// The time between two tokens that was expected when the request was sent to an engine last,
    /// in milliseconds.
    expected_token_interval_ms: f64,
}

struct Simulation {
    options: Options,
    rng: ChaCha8Rng,
    now: Timestamp,
    sequence: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    instances: Vec<State>,
    /// For each instance, the messages of its peers that have arrived.
    arrivals: Vec<MessageArrivals>,
    /// For each instance, the number of its last message.
    last_message: Vec<u64>,
    /// For each instance, whether the sending of its notes is scheduled.
    is_send_scheduled: Vec<bool>,
    /// Empty if the engines work in steps.
    engines: Vec<Engine>,
    /// Empty if the engines do not work in steps.
    step_engines: Vec<StepEngine>,
    /// Indexes of the engines by the keys of all their incarnations.
    engine_by_key: HashMap<ServerKey, usize>,
    processed_parts: ProcessedParts,
    calls: Vec<Call>,
    is_evacuated: bool,
    tally: Tally,
}

/// Network delay between any two processes.
const NETWORK_DELAY: Millis = Millis(1);

/// Further delay between two data centres, one way.
const DATA_CENTRE_DELAY_MICROS: u64 = 500;

/// Bytes of one event of a stream, as placement assumes them.
const EVENT_BYTES: u64 = 65;

/// The delay after which a caller retries if it does not honour `Retry-After`.
const IMPATIENT_RETRY_DELAY: Millis = Millis(50);

/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Millis = Millis(100);

/// When what would arrive at `at` arrives in another data centre.
fn across(at: Timestamp) -> Timestamp {
    Timestamp::from_micros(at.as_micros() + DATA_CENTRE_DELAY_MICROS)
}

/// How long a simulation goes on after the last deadline of a request.
const DRAIN_MARGIN: Millis = Millis(2_000);

/// Runs a simulation.
pub fn simulate(options: Options) -> Tally {
    let mut simulation = Simulation::new(options);
    simulation.schedule_load();
    let timeouts = options.load.kinds().iter().map(|it| it.timeout.0);
    let drain = Millis(timeouts.max().unwrap_or_default() + DRAIN_MARGIN.0);
    let end = START.after(options.duration).after(drain);
    while let Some(Reverse(scheduled)) = simulation.queue.pop() {
        if scheduled.at > end {
            break;
        }
        simulation.now = scheduled.at;
        simulation.handle(scheduled.event);
    }
    simulation.into_tally()
}

impl Simulation {
    fn new(options: Options) -> Simulation {
        let Options { load, engines, .. } = options;
        let (engines, step_engines) =
            if load.has_step_engines() { (0, engines) } else { (engines, 0) };
        Simulation {
            options,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            now: START,
            sequence: 0,
            queue: BinaryHeap::new(),
            instances: (0..options.instances).map(|it| fleet::instance(options, it)).collect(),
            arrivals: (0..options.instances).map(|_| MessageArrivals::default()).collect(),
            last_message: vec![0; options.instances],
            is_send_scheduled: vec![false; options.instances],
            engines: (0..engines)
                .map(|it| Engine::new(fleet::engine_tokens_per_ms(load, it)))
                .collect(),
            step_engines: (0..step_engines).map(|_| StepEngine::default()).collect(),
            engine_by_key: (0..options.engines)
                .map(|it| (fleet::record(options, it).key(), it))
                .collect(),
            processed_parts: ProcessedParts::default(),
            calls: Vec::new(),
            is_evacuated: false,
            tally: Tally::new(load),
        }
    }

    fn schedule_at(&mut self, at: Timestamp, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { at, sequence: self.sequence, event }));
    }

    fn schedule_after(&mut self, wait: Millis, event: SimEvent) {
        self.schedule_at(self.now.after(wait), event);
    }

    /// Draws and schedules all requests, and schedules the failure of engines if the load has
    /// one.
    fn schedule_load(&mut self) {
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

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::SendRequest { call } => self.send_request(call),
            SimEvent::RequestArrives { call, instance } => self.receive_request(call, instance),
            SimEvent::AttemptArrives { engine, job } => self.receive_attempt(engine, job),
            SimEvent::PromptProcessed { engine, generation } => {
                self.finish_prompt(engine, generation)
            }
            SimEvent::StreamEnds {
                engine,
                generation,
                instance,
                request,
                event_interval_micros,
            } => {
                if self.engines[engine].generation == generation {
                    self.engines[engine].finish_stream();
                }
                self.finish_stream(instance, request, Some(event_interval_micros));
            }
            SimEvent::StepEnds { engine } => self.finish_step(engine),
            SimEvent::CallerDisconnects { call } => self.disconnect_caller(call),
            SimEvent::SendNotes { instance } => self.send_notes(instance),
            SimEvent::NotesArrive { instance, from, sequence, notes } => {
                self.receive_notes(instance, from, sequence, notes);
            }
            SimEvent::Tick => self.tick(),
            SimEvent::Evacuate => {
                self.is_evacuated = true;
                self.step_all(|data_centre| Event::EvacuationRequested { data_centre });
            }
            SimEvent::EndEvacuation => {
                self.is_evacuated = false;
                self.step_all(|data_centre| Event::EvacuationLifted { data_centre });
            }
            SimEvent::EnginesFail { every } => self.fail_engines(every),
            SimEvent::EnginesRecover { every } => self.restore_engines(every),
        }
    }

    fn send_request(&mut self, call: usize) {
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
    fn draw_instance(&mut self, call: usize) -> usize {
        let Options { load, instances, data_centres, .. } = self.options;
        let Call { data_centre, ref caller_request, .. } = self.calls[call];
        if let Some(instance) = load.instance_of_team(caller_request.team, instances) {
            return instance;
        }
        let count = (instances - data_centre).div_ceil(data_centres);
        data_centre + data_centres * self.rng.random_range(0..count)
    }

    fn receive_request(&mut self, call: usize, instance: usize) {
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

    /// Passes an event to the reducer of an instance and applies the resulting effects.
    fn step(&mut self, instance: usize, event: Event) {
        let effects = self.instances[instance].step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send { request, target } => {
                    self.send_attempt(instance, request, target.server)
                }
                Effect::Refuse { request, retry_after, .. } => {
                    self.handle_refusal(request, retry_after)
                }
                Effect::Fail { request, .. } | Effect::ForwardServerError { request } => {
                    self.finish_call(request.0 as usize, Outcome::Failed);
                }
                Effect::Log(decision) => self.record_decision(&decision),
                Effect::KeepWaiting { .. } | Effect::ListCache { .. } => {}
            }
        }
        self.schedule_notes(instance);
    }

    fn record_decision(&mut self, decision: &Decision) {
        if let Decision::RequestRefused { route_admitted, .. } = decision {
            self.tally.refusals_contended += u32::from(*route_admitted < 1.0);
        }
        if let Decision::AttemptSent { request, expected_ms, expected_end_ms, .. } = decision {
            let call = &mut self.calls[request.0 as usize];
            let tokens = call.caller_request.prompt.likely_output_tokens();
            call.expected_token_interval_ms =
                (expected_end_ms - expected_ms) / f64::from(tokens.max(1));
        }
    }

    fn schedule_notes(&mut self, instance: usize) {
        if !self.instances[instance].has_notes() {
            return;
        }
        match self.options.policy.gossip_timing() {
            None => drop(self.instances[instance].take_notes()),
            Some(gossip_timing) if !self.is_send_scheduled[instance] => {
                self.is_send_scheduled[instance] = true;
                self.schedule_after(gossip_timing.interval, SimEvent::SendNotes { instance });
            }
            Some(_) => {}
        }
    }

    fn send_notes(&mut self, from: usize) {
        self.is_send_scheduled[from] = false;
        let notes = self.instances[from].take_notes();
        let Some(gossip_timing) = self.options.policy.gossip_timing() else {
            return;
        };
        for notes in notes.notes.chunks(gossip_timing.datagram_notes) {
            self.last_message[from] += 1;
            self.send_datagram(from, gossip_timing, notes);
        }
    }

    fn send_datagram(&mut self, from: usize, timing: GossipTiming, notes: &[Note]) {
        let sequence = self.last_message[from];
        for instance in (0..self.options.instances).filter(|it| *it != from) {
            let jitter = match timing.jitter {
                // Nothing is drawn, so that the other draws do not depend on messages.
                Millis(0) => 0,
                Millis(max) => self.rng.random_range(0..=max),
            };
            let notes = Notes { notes: notes.to_vec() };
            self.schedule_after(
                Millis(timing.delay.0 + jitter),
                SimEvent::NotesArrive { instance, from, sequence, notes },
            );
        }
    }

    /// Receives a message as the daemon does: one that was overtaken is dropped.
    fn receive_notes(&mut self, instance: usize, from: usize, sequence: u64, notes: Notes) {
        let sender = InstanceId(from as u32);
        match self.arrivals[instance].record(sender, Incarnation(1), sequence) {
            PeerArrival::New { .. } => {
                self.step(instance, Event::NotesReceived { from: from as u32, notes });
            }
            PeerArrival::Overtaken | PeerArrival::Repeated => {}
        }
    }

    fn send_attempt(&mut self, instance: usize, request: RequestId, server: ServerKey) {
        let call = &self.calls[request.0 as usize];
        let job = Job { instance, request: request.0, prompt: call.caller_request.prompt.clone() };
        let Some(&engine) = self.engine_by_key.get(&server) else {
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
    fn is_across(&self, instance: usize, engine: usize) -> bool {
        self.options.data_centre(instance) != self.options.data_centre(engine)
    }

    /// When the first event that an engine sends now arrives at the instance of the job. Counts the
    /// bytes of all events of the response if the two are in different data centres.
    fn first_event_arrives_at(&mut self, engine: usize, job: &Job) -> Timestamp {
        let arrives_at = self.now.after(NETWORK_DELAY);
        if !self.is_across(job.instance, engine) {
            return arrives_at;
        }
        let output_tokens = self.calls[job.request as usize].caller_request.output_tokens;
        let events = output_tokens / fleet::tokens_per_event(self.options.load);
        self.tally.bytes_across += u64::from(events) * EVENT_BYTES;
        across(arrives_at)
    }

    fn handle_refusal(&mut self, request: RequestId, retry_after: Millis) {
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
    fn record_begun(&mut self, call: usize, after_ms: u64) {
        let CallerRequest { kind, team, ref prompt, .. } = self.calls[call].caller_request;
        let tokens = &mut self.tally.team_tokens;
        tokens.record_begun(self.now, team, prompt.charge());
        if after_ms > self.options.load.kinds()[kind].target_latency.0 {
            tokens.record_short(self.now, team);
        }
    }

    fn finish_call(&mut self, call: usize, outcome: Outcome) {
        let call = &mut self.calls[call];
        if !std::mem::replace(&mut call.is_finished, true) {
            self.tally.record(&call.caller_request, outcome);
        }
    }

    fn receive_attempt(&mut self, engine: usize, job: Job) {
        if self.calls[job.request as usize].is_finished {
            return;
        }
        if self.options.load.has_step_engines() {
            return self.receive_step_attempt(engine, job);
        }
        if self.engines[engine].is_down {
            return self.fail_attempt(&job, Fault::NotConnected);
        }
        if !self.engines[engine].has_slot() {
            return self.fail_attempt(&job, Fault::Full);
        }
        let processed_at = self.engines[engine].enqueue(self.now, job, &self.processed_parts);
        self.schedule_prompt_end(engine, processed_at);
    }

    fn receive_step_attempt(&mut self, engine: usize, job: Job) {
        if !self.step_engines[engine].has_slot() {
            return self.fail_attempt(&job, Fault::Full);
        }
        let output_tokens = self.calls[job.request as usize].caller_request.output_tokens;
        self.step_engines[engine].enqueue(job, output_tokens);
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let ends_at = self.step_engines[engine].start_step(self.now, &self.processed_parts);
        if let Some(ends_at) = ends_at {
            self.schedule_at(ends_at, SimEvent::StepEnds { engine });
        }
    }

    fn finish_step(&mut self, engine: usize) {
        let result = self.step_engines[engine].finish_step(self.now);
        for job in result.started {
            self.processed_parts.0.extend(job.prompt.shared_parts().iter().map(|it| it.key));
            let arrives_at = self.first_event_arrives_at(engine, &job);
            let call = &mut self.calls[job.request as usize];
            let sent_at = START.after(Millis(call.caller_request.sent_at_ms));
            let after_ms = arrives_at.millis_since(sent_at) as u64;
            call.first_token_after_ms = Some(after_ms);
            self.step(job.instance, Event::ResponseStarted { request: RequestId(job.request) });
        }
        for stream in result.ended {
            self.finish_step_stream(&stream);
        }
        self.start_step(engine);
    }

    fn finish_step_stream(&mut self, stream: &Stream) {
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

    fn record_pace_error(&mut self, stream: &Stream) {
        let expected_ms = self.calls[stream.job.request as usize].expected_token_interval_ms;
        if let Some(actual_ms) = stream.token_interval_ms(self.now) {
            self.tally.pace_errors.push((expected_ms - actual_ms).abs() / actual_ms);
        }
    }

    fn schedule_prompt_end(&mut self, engine: usize, processed_at: Option<Timestamp>) {
        if let Some(processed_at) = processed_at {
            let generation = self.engines[engine].generation;
            self.schedule_at(processed_at, SimEvent::PromptProcessed { engine, generation });
        }
    }

    fn fail_attempt(&mut self, job: &Job, fault: Fault) {
        let end = AttemptEnd::Failed { fault, is_partially_delivered: false };
        let request = RequestId(job.request);
        self.step(job.instance, Event::AttemptEnded { request, end });
    }

    fn finish_prompt(&mut self, engine: usize, generation: u64) {
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
        if !self.calls[call].is_finished {
            let sent_at = START.after(Millis(self.calls[call].caller_request.sent_at_ms));
            let after_ms = arrives_at.millis_since(sent_at) as u64;
            self.record_begun(call, after_ms);
            self.finish_call(call, Outcome::FirstToken { after_ms });
            self.step(job.instance, Event::ResponseStarted { request: RequestId(job.request) });
        }
        let Job { instance, request, .. } = job;
        self.schedule_after(
            stream_duration,
            SimEvent::StreamEnds { engine, generation, instance, request, event_interval_micros },
        );
        let processed_at = self.engines[engine].process_next(self.now, &self.processed_parts);
        self.schedule_prompt_end(engine, processed_at);
    }

    fn finish_stream(&mut self, instance: usize, request: u64, event_interval_micros: Option<u32>) {
        let end = AttemptEnd::Completed { status: 200, event_interval_micros };
        self.step(instance, Event::AttemptEnded { request: RequestId(request), end });
    }

    fn disconnect_caller(&mut self, call: usize) {
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

    fn tick(&mut self) {
        for instance in 0..self.options.instances {
            self.step(instance, Event::Tick);
        }
        self.schedule_after(TICK_INTERVAL, SimEvent::Tick);
    }

    /// Passes an event about the evacuated data centre to all instances.
    fn step_all(&mut self, event: impl Fn(Arc<str>) -> Event) {
        let data_centre = fleet::data_centre_name(EVACUATED_DATA_CENTRE);
        for instance in 0..self.options.instances {
            self.step(instance, event(data_centre.clone()));
        }
    }

    fn fail_engines(&mut self, every: usize) {
        for engine in (0..self.options.engines).step_by(every) {
            for job in self.engines[engine].fail() {
                self.fail_attempt(&job, Fault::ConnectionLost);
            }
            for instance in 0..self.options.instances {
                self.step(
                    instance,
                    Event::ServerRemoved { id: fleet::record(self.options, engine).id },
                );
            }
        }
    }

    fn restore_engines(&mut self, every: usize) {
        for engine in (0..self.options.engines).step_by(every) {
            self.engines[engine].is_down = false;
            for instance in 0..self.options.instances {
                let mut record = fleet::record(self.options, engine);
                record.started_at_ms = self.now.as_micros();
                self.engine_by_key.insert(record.key(), engine);
                self.step(instance, Event::ServerListed(record));
            }
        }
    }

    fn into_tally(self) -> Tally {
        let caches = self.engines.iter().map(|it| &it.cache);
        let caches = caches.chain(self.step_engines.iter().map(|it| &it.cache));
        let reprocessed_tokens = caches.map(|it| it.reprocessed_tokens).sum();
        let processing_ms = self.engines.iter().map(|it| it.processing_ms);
        let processing_ms: f64 =
            processing_ms.chain(self.step_engines.iter().map(|it| it.processing_ms)).sum();
        let available_ms = self.options.duration.0 as f64 * self.options.engines as f64;
        self.tally.finish(reprocessed_tokens, processing_ms / available_ms)
    }
}

const MICROS_PER_MILLI: u64 = 1_000;
