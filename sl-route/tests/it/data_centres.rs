//! A model of a fleet in three data centres: instances that exchange notes, engines that prefill
//! one prompt after the other, and callers that reach the instances of their own data centre.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{Millis, RequestId, Timestamp, hash};
use sl_route::{
    Arrival, AttemptEnd, Decision, Effect, Event, Fault, Notes, Prompt, RetryPolicy, ServerKey,
    ServerRecord, State, cache::Cache, locality::LeaveReason,
};

use crate::testbed::{ENGINE, START, arrival, at, document, options, prompt, record};

pub const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

const INSTANCES: usize = 9;
const ENGINES: usize = 12;
const NOTE_INTERVAL_MS: u64 = 5;
const NOTE_DELAY_MS: u64 = 2;
const TICK_INTERVAL_MS: u64 = 100;
const ENGINE_TOKENS_PER_MS: f64 = 40.0;
const PROMPT_OVERHEAD_MS: f64 = 2.0;
const STREAM_MS: u64 = 1_500;
const SUBJECTS: u32 = 108;

/// A kind of request: its part of all requests, its shared and own prompt tokens, and the bytes of
/// its body. The bodies are those that were observed (docs/work-2026-12-04.md, part 4).
struct Kind {
    weight: u32,
    shared_tokens: u32,
    own_tokens: u32,
    body_bytes: u64,
}

const KINDS: [Kind; 3] = [
    Kind { weight: 164, shared_tokens: 12_000, own_tokens: 3_500, body_bytes: 17_000 },
    Kind { weight: 225, shared_tokens: 6_000, own_tokens: 2_500, body_bytes: 9_200 },
    Kind { weight: 280, shared_tokens: 400, own_tokens: 1_000, body_bytes: 1_500 },
];

/// A load on the fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// Requests a second of all callers.
    pub requests_per_s: f64,
    /// How many of a hundred callers are in each data centre.
    pub callers: [u32; 3],
    /// When half of the engines of the first data centre are gone, in milliseconds.
    pub loss_ms: std::ops::Range<u64>,
    pub duration_ms: u64,
    /// Whether prompts have parts in common, which engines cache.
    pub shares_parts: bool,
}

/// What became of one request.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    pub arrived_ms: u64,
    /// Index into [`DATA_CENTRES`].
    pub data_centre: usize,
    pub body_bytes: u64,
    /// Whether it was sent to another data centre; `None` if it was refused.
    pub has_left: Option<bool>,
    /// Why the latest attempt was sent to another data centre.
    pub left: Option<LeaveReason>,
    /// Milliseconds from the arrival to the first token.
    pub first_token_ms: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// A hash of each placement with its estimates.
    pub digest: u64,
    pub requests: Vec<Served>,
}

impl Outcome {
    fn since(&self, since_ms: u64) -> impl Iterator<Item = &Served> {
        self.requests.iter().filter(move |it| it.arrived_ms >= since_ms)
    }

    pub fn refused(&self, since_ms: u64) -> usize {
        self.since(since_ms).filter(|it| it.has_left.is_none()).count()
    }

    /// The bytes of the bodies that were sent to other data centres.
    pub fn bytes_across(&self, since_ms: u64) -> u64 {
        let left = self.since(since_ms).filter(|it| it.has_left == Some(true));
        left.map(|it| it.body_bytes).sum()
    }

    /// The sum of all times to the first token, in milliseconds.
    pub fn waited_ms(&self, since_ms: u64) -> u64 {
        self.since(since_ms).filter_map(|it| it.first_token_ms).sum()
    }
}

struct Job {
    instance: usize,
    request: RequestId,
    prompt: Prompt,
}

struct ModelEngine {
    record: ServerRecord,
    cache: Cache,
    queue: VecDeque<Job>,
    /// When the prefill of the first queued prompt is complete.
    done_at: Option<Timestamp>,
    is_up: bool,
}

struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Timestamp,
    instances: Vec<State>,
    engines: Vec<ModelEngine>,
    messages: VecDeque<(Timestamp, usize, usize, Notes)>,
    ends: VecDeque<(Timestamp, usize, RequestId)>,
    prompts: Vec<Prompt>,
    outcome: Outcome,
}

/// Runs a scenario on instances whose options are changed by `configure`.
pub fn run(scenario: Scenario, configure: impl Fn(&mut sl_route::Options)) -> Outcome {
    let mut fleet = Fleet::new(scenario, configure);
    for elapsed_ms in 0..fleet.scenario.duration_ms + 4_000 {
        fleet.now = at(elapsed_ms);
        fleet.advance(elapsed_ms);
    }
    fleet.outcome
}

impl Fleet {
    fn new(scenario: Scenario, configure: impl Fn(&mut sl_route::Options)) -> Fleet {
        let mut fleet = Fleet {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: START,
            instances: Vec::new(),
            engines: (0..ENGINES).map(model_engine).collect(),
            messages: VecDeque::new(),
            ends: VecDeque::new(),
            prompts: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        };
        for index in 0..INSTANCES {
            let mut options = options(index as u32);
            options.data_centre = DATA_CENTRES[index % DATA_CENTRES.len()].to_owned();
            options.seed = fleet.scenario.seed ^ index as u64;
            options.limits.max_in_flight = 10_000;
            configure(&mut options);
            let mut state = State::new(options, START);
            state.step(START, Event::Document(document(1)));
            for engine in &fleet.engines {
                state.step(START, Event::ServerListed(engine.record.clone()));
            }
            state.step(START, Event::InstanceCount(INSTANCES));
            fleet.instances.push(state);
        }
        fleet
    }

    fn advance(&mut self, elapsed_ms: u64) {
        let loss_ms = self.scenario.loss_ms.clone();
        if !loss_ms.is_empty() && elapsed_ms == loss_ms.start {
            self.lose_half_of_first_data_centre();
        }
        if !loss_ms.is_empty() && elapsed_ms == loss_ms.end {
            self.restore_engines();
        }
        if elapsed_ms.is_multiple_of(TICK_INTERVAL_MS) {
            (0..INSTANCES).for_each(|it| self.step(it, Event::Tick));
        }
        self.deliver_notes(elapsed_ms);
        (0..ENGINES).for_each(|it| self.advance_engine(it));
        self.end_streams();
        if elapsed_ms < self.scenario.duration_ms {
            let mut expected = self.scenario.requests_per_s / 1_000.0;
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.arrive();
                }
                expected -= 1.0;
            }
        }
    }

    fn arrive(&mut self) {
        let data_centre = self.draw(self.scenario.callers);
        let kind = &KINDS[self.draw(KINDS.map(|it| it.weight))];
        let subject = self.rng.random_range(0..SUBJECTS);
        let number = self.outcome.requests.len() as u64;
        let shared = format!("{}-{subject}", kind.shared_tokens);
        let own = format!("own-{number}");
        let mut prompt = prompt(&shared, kind.shared_tokens, &own, kind.own_tokens);
        if !self.scenario.shares_parts {
            prompt.parts.remove(0);
            prompt.input_tokens = kind.own_tokens;
        }
        self.prompts.push(prompt.clone());
        let arrival = arrival(self.now, number, RetryPolicy::Stream, Some(prompt));
        let arrival = Arrival { body_bytes: kind.body_bytes, ..arrival };
        let instance = data_centre + DATA_CENTRES.len() * self.rng.random_range(0..3);
        self.outcome.requests.push(Served {
            arrived_ms: self.now.millis_since(START) as u64,
            data_centre,
            body_bytes: kind.body_bytes,
            has_left: None,
            left: None,
            first_token_ms: None,
        });
        self.step(instance, Event::RequestArrived(Box::new(arrival)));
    }

    fn draw(&mut self, weights: [u32; 3]) -> usize {
        let drawn = self.rng.random_range(0..weights.iter().sum());
        let (first, second) = (weights[0], weights[0] + weights[1]);
        usize::from(drawn >= first) + usize::from(drawn >= second)
    }

    fn step(&mut self, instance: usize, event: Event) {
        let effects = self.instances[instance].step(self.now, event);
        let mut sent = None;
        for effect in effects {
            match effect {
                Effect::Log(Decision::AttemptSent {
                    request,
                    expected_ms,
                    backlog_ms,
                    left_data_centre,
                    ..
                }) => {
                    self.outcome.requests[request.0 as usize].left = left_data_centre;
                    self.record(expected_ms.to_bits());
                    self.record(backlog_ms.to_bits());
                }
                Effect::Send { request, target } => sent = Some((request, target.server)),
                Effect::Refuse { request, retry_after, .. } => {
                    self.record(request.0);
                    self.record(retry_after.0);
                    self.outcome.requests[request.0 as usize].has_left = None;
                }
                _ => {}
            }
        }
        if let Some((request, server)) = sent {
            self.record(request.0);
            self.record(server.0);
            self.send(instance, request, server);
        }
    }

    fn record(&mut self, value: u64) {
        self.outcome.digest = hash::weight(self.outcome.digest, value);
    }

    fn send(&mut self, instance: usize, request: RequestId, server: ServerKey) {
        let number = request.0 as usize;
        let Some(engine) = self.engines.iter().position(|it| it.record.key() == server) else {
            return;
        };
        let has_left = engine % DATA_CENTRES.len() != self.outcome.requests[number].data_centre;
        self.outcome.requests[number].has_left = Some(has_left);
        let prompt = self.prompts[number].clone();
        self.engines[engine].queue.push_back(Job { instance, request, prompt });
    }

    fn advance_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if !engine.is_up {
            return;
        }
        if engine.done_at.is_some_and(|it| it.is_due(self.now)) {
            engine.done_at = None;
            if let Some(Job { instance, request, .. }) = engine.queue.pop_front() {
                self.ends.push_back((self.now.after(Millis(STREAM_MS)), instance, request));
                let served = &mut self.outcome.requests[request.0 as usize];
                let waited_ms = self.now.millis_since(at(served.arrived_ms)) as u64;
                served.first_token_ms.get_or_insert(waited_ms);
                self.step(instance, Event::ResponseStarted { request });
            }
        }
        let engine = &mut self.engines[index];
        if let (None, Some(job)) = (engine.done_at, engine.queue.front()) {
            let cached = engine.cache.cached_prefix_tokens(&job.prompt);
            engine.cache.record_use(self.now, &job.prompt.parts);
            let tokens = job.prompt.input_tokens.saturating_sub(cached);
            let millis = f64::from(tokens) / ENGINE_TOKENS_PER_MS + PROMPT_OVERHEAD_MS;
            engine.done_at = Some(self.now.after(Millis(millis.round() as u64)));
        }
    }

    fn end_streams(&mut self) {
        while self.ends.front().is_some_and(|it| it.0.is_due(self.now)) {
            let Some((_, instance, request)) = self.ends.pop_front() else {
                return;
            };
            let end = AttemptEnd::Completed { status: 200, event_interval_micros: None };
            self.step(instance, Event::AttemptEnded { request, end });
        }
    }

    fn deliver_notes(&mut self, elapsed_ms: u64) {
        if elapsed_ms.is_multiple_of(NOTE_INTERVAL_MS) {
            for from in 0..INSTANCES {
                let notes = self.instances[from].take_notes();
                for to in (0..INSTANCES).filter(|it| *it != from) {
                    let due_at = self.now.after(Millis(NOTE_DELAY_MS));
                    self.messages.push_back((due_at, from, to, notes.clone()));
                }
            }
        }
        while self.messages.front().is_some_and(|it| it.0.is_due(self.now)) {
            let Some((_, from, to, notes)) = self.messages.pop_front() else {
                return;
            };
            self.step(to, Event::NotesReceived { from: from as u32, notes });
        }
    }
}

impl Fleet {
    fn lose_half_of_first_data_centre(&mut self) {
        for index in lost_engines() {
            self.engines[index].is_up = false;
            self.engines[index].done_at = None;
            let jobs = std::mem::take(&mut self.engines[index].queue);
            let id = self.engines[index].record.id.clone();
            (0..INSTANCES).for_each(|it| self.step(it, Event::ServerRemoved { id: id.clone() }));
            for Job { instance, request, .. } in jobs {
                let fault = Fault::ConnectionLost;
                let end = AttemptEnd::Failed { fault, is_partially_delivered: false };
                self.step(instance, Event::AttemptEnded { request, end });
            }
        }
    }

    fn restore_engines(&mut self) {
        for index in lost_engines() {
            let record = engine_record(index, 2);
            self.engines[index] = ModelEngine { record: record.clone(), ..model_engine(index) };
            (0..INSTANCES).for_each(|it| self.step(it, Event::ServerListed(record.clone())));
        }
    }
}

/// Every second engine of the first data centre.
fn lost_engines() -> impl Iterator<Item = usize> {
    (0..ENGINES).step_by(2 * DATA_CENTRES.len())
}

fn engine_record(index: usize, started_at_ms: u64) -> ServerRecord {
    ServerRecord {
        started_at_ms,
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
        ..record(&format!("e{index}"), "model")
    }
}

fn model_engine(index: usize) -> ModelEngine {
    ModelEngine {
        record: engine_record(index, 1),
        cache: Cache::new(u64::from(ENGINE.kv_capacity_tokens)),
        queue: VecDeque::new(),
        done_at: None,
        is_up: true,
    }
}
