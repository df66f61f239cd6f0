//! One play: instances, engines and callers over some tens of seconds.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{Millis, PoolId, RequestId, TeamId, Timestamp};
use sl_route::{
    Arrival, AttemptEnd, Document, Effect, Event, Fault, Limits, Notes, RetryPolicy, Route,
    ServerKey, ServerRecord, ServerState, Service, State, Team, budget, document::EngineLimits,
    event,
};

use super::{
    engine::{EVENT_TOKENS, Engine, Job, MEMORY_TOKENS, SLOTS, Seen},
    policy::Policy,
    tally::{End, Tally},
    traffic::{self, Asked, KINDS, Load},
};

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The seed of everything.
    pub seed: u64,
    /// What callers do.
    pub load: Load,
    /// How instances hear of each other.
    pub policy: Policy,
    /// Instances.
    pub instances: usize,
    /// Engines.
    pub engines: usize,
    /// For how long callers come.
    pub within: Millis,
}

/// Something that happens at a time.
enum What {
    Come { call: usize },
    Arrive { call: usize, instance: usize },
    AtEngine { engine: usize, job: Job },
    Read { engine: usize, life: u64 },
    StreamEnds { engine: usize, life: u64, instance: usize, request: u64 },
    Leave { call: usize },
    Tell { instance: usize },
    Hear { instance: usize, from: usize, notes: Notes },
    Tick,
    Lose,
    Restore,
}

struct Due {
    at: Timestamp,
    number: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A caller's request over all its tries.
struct Call {
    asked: Asked,
    instance: usize,
    is_over: bool,
}

struct Play {
    options: Options,
    rng: ChaCha8Rng,
    now: Timestamp,
    number: u64,
    due: BinaryHeap<Reverse<Due>>,
    instances: Vec<State>,
    /// Whether an instance will tell the others soon.
    will_tell: Vec<bool>,
    engines: Vec<Engine>,
    keys: HashMap<ServerKey, usize>,
    seen: Seen,
    calls: Vec<Call>,
    tally: Tally,
}

/// The engines' service.
const SERVICE: &str = "model";

/// How fast engines read, in tokens per millisecond; they differ more than twofold.
const SPEEDS: [f64; 3] = [34.0, 34.0, 82.0];

/// The way between any two processes.
const WAY: Millis = Millis(1);

/// A caller that does not heed when to come back does so after this.
const AT_ONCE: Millis = Millis(50);

/// How often instances look at what is due.
const TICK: Millis = Millis(100);

/// When everything starts.
const START: Timestamp = Timestamp::from_micros(1_000_000);

/// Plays `options` out.
pub fn play(options: Options) -> Tally {
    let mut play = Play::new(options);
    play.plan();
    let end = START.after(options.within).after(Millis(10_000));
    while let Some(Reverse(due)) = play.due.pop() {
        if due.at > end {
            break;
        }
        play.now = due.at;
        play.happen(due.what);
    }
    play.finish()
}

fn speed(engine: usize) -> f64 {
    SPEEDS[engine % SPEEDS.len()]
}

fn document(options: Options) -> Document {
    let slots = options.policy.slots(SLOTS, options.instances as u32);
    let engine = EngineLimits {
        slots,
        kv_capacity_tokens: MEMORY_TOKENS,
        tokens_per_event: f64::from(EVENT_TOKENS),
        fetch_ms_per_token: None,
    };
    let name = SERVICE.to_owned();
    let service = Service { name, max_connections: 1_000, engine: Some(engine) };
    let all: f64 = (0..options.engines).map(speed).sum();
    let limits = Limits { tokens_per_s: Some(all * 1_000.0 * 0.8), ..Limits::default() };
    Document::new(1, [], [service], limits, [])
}

fn record(engine: usize) -> ServerRecord {
    ServerRecord {
        id: format!("e{engine}").into(),
        started_at_ms: 1,
        service: PoolId::of(SERVICE),
        address: ([10, 0, 0, 1], engine as u16 + 1).into(),
        data_centre: "here".into(),
        slots: SLOTS,
        state: ServerState::Ready,
    }
}

fn instance(options: Options, at: usize) -> State {
    let budget = budget::Options { ratio: 0.2, allowance: 160.0, window: Millis(10_000) };
    let mut state = State::new(
        sl_route::Options {
            instance: at as u32,
            data_centre: "here".to_owned(),
            seed: options.seed ^ at as u64,
            limits: event::InstanceLimits { budget, max_in_flight: 10_000 },
            share_window: Millis(4_000),
        },
        START,
    );
    state.step(START, Event::Document(Arc::new(document(options))));
    for engine in 0..options.engines {
        state.step(START, Event::ServerListed(record(engine)));
    }
    state.step(START, Event::InstanceCount(options.instances));
    state
}

fn route(kind: usize) -> Arc<Route> {
    let kind = KINDS[kind];
    Arc::new(Route {
        name: kind.name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}", kind.name),
        services: vec![(PoolId::of(SERVICE), 1)],
        retry_policy: RetryPolicy::Stream,
        timeout: kind.deadline,
        target_latency: kind.objective,
        max_attempts: 2,
        priority: 1,
        allows_anonymous: false,
        target_gap: None,
    })
}

impl Play {
    fn new(options: Options) -> Play {
        Play {
            options,
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            now: START,
            number: 0,
            due: BinaryHeap::new(),
            instances: (0..options.instances).map(|it| instance(options, it)).collect(),
            will_tell: vec![false; options.instances],
            engines: (0..options.engines).map(|it| Engine::new(speed(it))).collect(),
            keys: (0..options.engines).map(|it| (record(it).key(), it)).collect(),
            seen: Seen::default(),
            calls: Vec::new(),
            tally: Tally::new(),
        }
    }

    fn at(&mut self, at: Timestamp, what: What) {
        self.number += 1;
        self.due.push(Reverse(Due { at, number: self.number, what }));
    }

    fn after(&mut self, wait: Millis, what: What) {
        self.at(self.now.after(wait), what);
    }

    /// Draws all that callers ask for, and plans the disturbance.
    fn plan(&mut self) {
        let Options { load, engines, within, .. } = self.options;
        let mut micros = 0;
        loop {
            let rate = load.rate(micros / MICROS, engines);
            let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            micros += (gap * 1e6) as u64;
            if micros / MICROS >= within.0 {
                break;
            }
            let asked = traffic::draw(&mut self.rng, load, micros / MICROS, engines);
            let call = self.calls.len();
            self.calls.push(Call { asked, instance: 0, is_over: false });
            self.at(Timestamp::from_micros(START.as_micros() + micros), What::Come { call });
        }
        self.at(START, What::Tick);
        if load == Load::HalfLost {
            self.at(START.after(Millis(Load::DISTURBED.start)), What::Lose);
            self.at(START.after(Millis(Load::DISTURBED.end)), What::Restore);
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Come { call } => self.come(call),
            What::Arrive { call, instance } => self.arrive(call, instance),
            What::AtEngine { engine, job } => self.at_engine(engine, job),
            What::Read { engine, life } => self.read(engine, life),
            What::StreamEnds { engine, life, instance, request } => {
                self.stream_ends(engine, life, instance, request);
            }
            What::Leave { call } => self.leave(call),
            What::Tell { instance } => self.tell(instance),
            What::Hear { instance, from, notes } => {
                self.step(instance, Event::NotesReceived { from: from as u32, notes });
            }
            What::Tick => self.tick(),
            What::Lose => self.lose(),
            What::Restore => self.restore(),
        }
    }

    fn come(&mut self, call: usize) {
        let instance = self.rng.random_range(0..self.options.instances);
        let kind = &KINDS[self.calls[call].asked.kind];
        let came = START.after(Millis(self.calls[call].asked.at_ms));
        if came >= self.now {
            self.at(came.after(kind.deadline), What::Leave { call });
        }
        self.calls[call].instance = instance;
        let question = self.options.policy.question();
        self.after(Millis(WAY.0 + question.0), What::Arrive { call, instance });
    }

    fn arrive(&mut self, call: usize, instance: usize) {
        if self.calls[call].is_over {
            return;
        }
        let asked = self.calls[call].asked.clone();
        let name = format!("team-{}", asked.team);
        let team = Team { id: TeamId::of(&name), name, priority: 1 };
        let deadline = START.after(Millis(asked.at_ms)).after(KINDS[asked.kind].deadline);
        self.tally.shared_tokens +=
            asked.prompt.shared_parts().iter().map(|it| u64::from(it.tokens)).sum::<u64>();
        let arrival = Arrival {
            request: RequestId(call as u64),
            route: route(asked.kind),
            service: PoolId::of(SERVICE),
            team: Some(Arc::new(team)),
            arrived_at: self.now,
            caller_deadline: deadline,
            prompt: Some(asked.prompt),
            fingerprint: call as u64,
        };
        self.step(instance, Event::RequestArrived(Box::new(arrival)));
    }

    /// Has an instance take an event, and does what it wants done.
    fn step(&mut self, instance: usize, event: Event) {
        let effects = self.instances[instance].step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send { request, target } => self.send(instance, request, target.server),
                Effect::Refuse { request, retry_after, .. } => self.refused(request, retry_after),
                Effect::Fail { request, .. } | Effect::ForwardServerError { request } => {
                    self.over(request.0 as usize, End::Failed);
                }
                Effect::ListCache { .. } | Effect::Log(_) => {}
            }
        }
        self.plan_to_tell(instance);
    }

    fn plan_to_tell(&mut self, instance: usize) {
        if !self.instances[instance].has_notes() {
            return;
        }
        match self.options.policy.exchange() {
            None => drop(self.instances[instance].take_notes()),
            Some(exchange) if !self.will_tell[instance] => {
                self.will_tell[instance] = true;
                self.after(exchange.pace, What::Tell { instance });
            }
            Some(_) => {}
        }
    }

    fn tell(&mut self, from: usize) {
        self.will_tell[from] = false;
        let notes = self.instances[from].take_notes();
        let Some(exchange) = self.options.policy.exchange() else {
            return;
        };
        for instance in (0..self.options.instances).filter(|it| *it != from) {
            let notes = notes.clone();
            self.after(exchange.way, What::Hear { instance, from, notes });
        }
    }

    fn send(&mut self, instance: usize, request: RequestId, server: ServerKey) {
        let call = &self.calls[request.0 as usize];
        let job = Job { instance, request: request.0, prompt: call.asked.prompt.clone() };
        if let Some(&engine) = self.keys.get(&server) {
            self.after(WAY, What::AtEngine { engine, job });
        }
    }

    fn refused(&mut self, request: RequestId, retry_after: Millis) {
        self.tally.refusals += 1;
        let heeds = self.options.load.heeds();
        let wait = if heeds { retry_after } else { AT_ONCE };
        let call = &mut self.calls[request.0 as usize];
        let leaves = START.after(Millis(call.asked.at_ms)).after(KINDS[call.asked.kind].deadline);
        if call.asked.tries_left == 0 || self.now.after(wait) >= leaves {
            return self.over(request.0 as usize, End::Refused);
        }
        call.asked.tries_left -= 1;
        self.after(wait, What::Come { call: request.0 as usize });
    }

    fn over(&mut self, call: usize, end: End) {
        let call = &mut self.calls[call];
        if !std::mem::replace(&mut call.is_over, true) {
            let Asked { kind, team, at_ms, .. } = call.asked;
            self.tally.ended(kind, team, at_ms, end);
        }
    }

    fn at_engine(&mut self, engine: usize, job: Job) {
        if self.calls[job.request as usize].is_over {
            return;
        }
        if self.engines[engine].is_lost {
            return self.failed(&job, Fault::NotConnected);
        }
        if !self.engines[engine].has_slot() {
            return self.failed(&job, Fault::Full);
        }
        let done = self.engines[engine].take(self.now, job, &self.seen);
        self.plan_read(engine, done);
    }

    fn plan_read(&mut self, engine: usize, done: Option<Timestamp>) {
        if let Some(done) = done {
            let life = self.engines[engine].life;
            self.at(done, What::Read { engine, life });
        }
    }

    fn failed(&mut self, job: &Job, fault: Fault) {
        let end = AttemptEnd::Failed { fault, is_partially_delivered: false };
        let request = RequestId(job.request);
        self.step(job.instance, Event::AttemptEnded { request, end });
    }

    fn read(&mut self, engine: usize, life: u64) {
        if self.engines[engine].life != life {
            return;
        }
        let Some((job, stream)) = self.engines[engine].begun() else {
            return;
        };
        self.seen.0.extend(job.prompt.shared_parts().iter().map(|it| it.key));
        let call = job.request as usize;
        if !self.calls[call].is_over {
            let came = START.after(Millis(self.calls[call].asked.at_ms));
            let after_ms = self.now.after(WAY).millis_since(came) as u64;
            self.over(call, End::FirstToken { after_ms });
            self.step(job.instance, Event::ResponseStarted { request: RequestId(job.request) });
        }
        let Job { instance, request, .. } = job;
        self.after(stream, What::StreamEnds { engine, life, instance, request });
        let done = self.engines[engine].read_next(self.now, &self.seen);
        self.plan_read(engine, done);
    }

    fn stream_ends(&mut self, engine: usize, life: u64, instance: usize, request: u64) {
        if self.engines[engine].life == life {
            self.engines[engine].ended();
        }
        let end = AttemptEnd::Completed { status: 200, event_interval_micros: None };
        self.step(instance, Event::AttemptEnded { request: RequestId(request), end });
    }

    fn leave(&mut self, call: usize) {
        if self.calls[call].is_over {
            return;
        }
        let instance = self.calls[call].instance;
        self.over(call, End::Failed);
        for engine in &mut self.engines {
            engine.drop_waiting(instance, call as u64);
        }
        self.step(instance, Event::CallerDisconnected { request: RequestId(call as u64) });
    }

    fn tick(&mut self) {
        for instance in 0..self.options.instances {
            self.step(instance, Event::Tick);
        }
        self.after(TICK, What::Tick);
    }

    fn lose(&mut self) {
        for engine in (0..self.options.engines).step_by(2) {
            for job in self.engines[engine].lose() {
                self.failed(&job, Fault::ConnectionLost);
            }
            for instance in 0..self.options.instances {
                self.step(instance, Event::ServerRemoved { id: record(engine).id });
            }
        }
    }

    fn restore(&mut self) {
        for engine in (0..self.options.engines).step_by(2) {
            self.engines[engine].is_lost = false;
            for instance in 0..self.options.instances {
                let mut record = record(engine);
                record.started_at_ms = 2;
                self.keys.insert(record.key(), engine);
                self.step(instance, Event::ServerListed(record));
            }
        }
    }

    fn finish(self) -> Tally {
        let read_again = self.engines.iter().map(|it| it.read_again).sum();
        let busy: f64 = self.engines.iter().map(|it| it.busy_ms).sum();
        let all = self.options.within.0 as f64 * self.options.engines as f64;
        self.tally.finish(read_again, busy / all)
    }
}

/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;
