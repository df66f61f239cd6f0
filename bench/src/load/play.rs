//! The simulation of instances, engines and callers over some tens of seconds.

mod callers;
mod engines;
mod gossip;
mod work;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sl_base::{Millis, Timestamp};
use sl_edge::arrivals::MessageArrivals;
use sl_route::{Decision, Effect, Event, ServerKey, State};

use super::{
    balancer::Balancer,
    cache::ProcessedParts,
    endings::Ending,
    engine::Engine,
    fleet::{self, EVACUATED_DATA_CENTRE, START},
    options::Options,
    processor::{Processor, Work},
    queue::{ScheduledEvent, SimEvent},
    step_engine::StepEngine,
    tally::{Outcome, Tally},
    traffic::CallerRequest,
};

/// A caller's request with its state over all retries.
struct Call {
    caller_request: CallerRequest,
    data_centre: usize,
    /// The address of the caller, by which the balancer selects an instance.
    caller: u64,
    /// The instance to which the request was sent last.
    instance: usize,
    is_finished: bool,
    /// Whether an attempt has arrived at an instance and has not ended.
    is_attempt_open: bool,
    /// Whether the instance has read the attempt.
    is_read: bool,
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
    /// Empty if the work of instances takes no time.
    processors: Vec<Processor>,
    balancer: Balancer,
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

/// Interval of [`Event::Tick`].
const TICK_INTERVAL: Millis = Millis(100);

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
            processors: fleet::processors(options),
            balancer: Balancer::new(options),
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

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::SendRequest { call } => self.send_request(call),
            SimEvent::RequestArrives { call, instance } => self.receive_request(call, instance),
            SimEvent::CallerGivesUp { call, attempt } => self.give_up_unread(call, attempt),
            SimEvent::AttemptArrives { engine, job } => self.receive_attempt(engine, job),
            SimEvent::PartsMoved { engine, generation, parts, job } => {
                self.finish_transfer(engine, generation, &parts, job);
            }
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
                let is_whole = self.engines[engine].generation == generation;
                if is_whole {
                    self.engines[engine].finish_stream(instance, request);
                }
                if is_whole || !self.options.load.has_transfers() {
                    self.finish_stream(instance, request, Some(event_interval_micros));
                }
            }
            SimEvent::StepEnds { engine } => self.finish_step(engine),
            SimEvent::CallerDisconnects { call } => self.disconnect_caller(call),
            SimEvent::SendNotes { instance } => self.send_notes(instance),
            SimEvent::NotesArrive { instance, from, sequence, notes } => {
                self.submit(instance, Work::Message { from, sequence, notes });
            }
            SimEvent::Tick => self.tick(),
            SimEvent::WorkDone { instance } => self.finish_work(instance),
            SimEvent::CheckReadiness { instance } => self.check_readiness(instance),
            SimEvent::Evacuate => {
                self.is_evacuated = true;
                self.step_all(|data_centre| Event::EvacuationRequested { data_centre });
            }
            SimEvent::EndEvacuation => {
                self.is_evacuated = false;
                self.step_all(|data_centre| Event::EvacuationLifted { data_centre });
            }
            SimEvent::EnginesFail { every } => self.fail_engines(every),
            SimEvent::EntriesLapse { every } => self.lapse_entries(every),
            SimEvent::EnginesRecover { every } => self.restore_engines(every),
        }
    }

    /// Passes an event to the reducer of an instance and applies the resulting effects.
    fn step(&mut self, instance: usize, event: Event) {
        let effects = self.instances[instance].step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send { request, target } => self.send_attempt(instance, request, &target),
                Effect::Refuse { request, retry_after, .. } => {
                    self.handle_refusal(request, retry_after, Ending::Refused)
                }
                Effect::Fail { request, .. } | Effect::ForwardServerError { request } => {
                    self.end_attempt(request.0 as usize, Ending::Failed);
                    self.finish_call(request.0 as usize, Outcome::Failed);
                }
                Effect::Log(decision) => self.record_decision(&decision),
                Effect::KeepWaiting { .. }
                | Effect::ListCache { .. }
                | Effect::CheckHealth { .. } => {}
            }
        }
        self.schedule_notes(instance);
    }

    fn record_decision(&mut self, decision: &Decision) {
        if let Decision::RequestRefused { route_admitted, .. } = decision {
            self.tally.refusals_contended += u32::from(*route_admitted < 1.0);
        }
        if let Decision::AttemptEstimates { kind, counts } = decision {
            let [expected, actual] =
                &mut self.tally.first_token_sums[usize::from(kind.is_fetched())];
            *expected += counts.expected_ms;
            *actual += counts.took_ms;
        }
        if let Decision::AttemptSent { request, expected_ms, expected_end_ms, .. } = decision {
            let call = &mut self.calls[request.0 as usize];
            let tokens = call.caller_request.prompt.likely_output_tokens();
            call.expected_token_interval_ms =
                (expected_end_ms - expected_ms) / f64::from(tokens.max(1));
        }
    }

    fn tick(&mut self) {
        for instance in 0..self.options.instances {
            self.submit(instance, Work::Tick { due: self.now });
        }
        self.schedule_after(TICK_INTERVAL, SimEvent::Tick);
    }

    /// Passes an event about the evacuated data centre to all instances.
    fn step_all(&mut self, event: impl Fn(Arc<str>) -> Event) {
        let data_centre = fleet::data_centre_name(EVACUATED_DATA_CENTRE);
        for instance in 0..self.options.instances {
            self.submit_event(instance, event(data_centre.clone()));
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
