//! A model of a fleet: reducer states that exchange notes, some of which are lost, and servers
//! that crash when they begin a response to a bad request. There is no network.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{Millis, RequestId, Timestamp};
use sl_route::{
    Arrival, AttemptEnd, Decision, Effect, Event, Failure, Fault, Notes, Prompt, PromptPart,
    RetryPolicy, State, crash_causes::Cause, crash_record::CrashRecord, effect::Target,
};

use crate::testbed::{START, arrival, document, options, record};

/// The size of the fleet and what happens to it.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub instances: usize,
    pub engines: usize,
    /// What the servers are, and with it whether requests have prompts.
    pub servers: Servers,
    /// What the requests that crash servers have in common.
    pub bad: Bad,
    /// How far the response to a bad request has come when its server crashes.
    pub crash_phase: CrashPhase,
    /// How many different sound requests there are, each of which arrives again and again;
    /// `None` if all are different.
    pub sound_requests: Option<u32>,
    /// The number of crashes after which no more than a few bad requests may be sent.
    pub crashes_free: u32,
    /// How often a bad request arrives; `None` for never.
    pub bad_interval: Option<Millis>,
    /// How often a sound request arrives.
    pub sound_interval: Millis,
    /// Of 100 messages from one instance to another, how many are lost.
    pub lost_percent: u32,
    /// How often an instance starts again with an empty state; `None` for never.
    pub restart_interval: Option<Millis>,
    /// How often all instances start again at the same moment; `None` for never.
    pub fleet_restart_interval: Option<Millis>,
    /// How often a rack with [`RACK_ENGINES`] engines fails; `None` for never.
    pub rack_interval: Option<Millis>,
    /// Of 100 requests at each of the first [`BREAKING_ENGINES`] engines, how many responses
    /// the engine breaks off.
    pub broken_percent: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Servers {
    Engines,
    Plain,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// They share one prompt part, and are otherwise all different.
    Part,
    /// They are the same request, which arrives again and again.
    Request,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPhase {
    /// Nothing has been received.
    NoResponse,
    /// The head has been received.
    HeadOnly,
    /// The first event has been received.
    Started,
}

/// What the engines and callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub crashes: u32,
    /// Attempts of bad requests that reached servers later than [`CONTACT`] after the crash with
    /// the number `crashes_free`, sent by instances that had been running for as long.
    pub late_bad_attempts: u32,
    pub sound_requests: u32,
    /// Sound requests that were sent to an engine when they arrived.
    pub sound_sent: u32,
    /// Bars of sound prompt parts, each counted at every instance.
    pub sound_bars: u32,
    /// Sound requests that were answered as if they crashed servers.
    pub sound_failed: u32,
}

/// How long instances may take to learn of a crash.
pub const CONTACT: Millis = Millis(3_000);

/// How long a crashed engine is away.
const RESTART_TIME: Millis = Millis(5_000);

/// How long after its crash the entry of an engine is removed.
const LEASE: Millis = Millis(1_500);

/// The engines that fail together.
const RACK_ENGINES: usize = 4;

/// The engines that break off responses.
const BREAKING_ENGINES: usize = 3;

const STEP: Millis = Millis(5);
const TICK_INTERVAL: Millis = Millis(100);
const NOTE_DELAY: Millis = Millis(15);

/// How long the store takes to have a record, from when it has to change.
const STORE_DELAY: Millis = Millis(200);

/// How long after its start an instance gets an answer from a peer.
const FETCH_DELAY: Millis = Millis(200);

/// The model of all requests.
const MODEL: &str = "m";

/// The part under which engines crash.
const BAD_PART: &str = "bad";

/// The number of different sound parts, beside the first one.
const SOUND_PARTS: u32 = 5;

/// The fingerprint of the bad request, if there is only one.
const BAD_FINGERPRINT: u64 = u64::MAX;

/// The time from the beginning of a sound response to its first event.
const FIRST_EVENT_DELAY: Millis = Millis(30);

/// The same of a bad request whose response starts before its server crashes.
const BAD_FIRST_EVENT_DELAY: Millis = Millis(10);

pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Timestamp,
    instances: Vec<State>,
    /// When each instance is regarded as informed after its start.
    in_touch_at: Vec<Timestamp>,
    engines: Vec<Engine>,
    attempts: BTreeMap<RequestId, Attempt>,
    is_bad: BTreeMap<RequestId, bool>,
    bad_fingerprints: BTreeSet<u64>,
    messages: VecDeque<Message>,
    cache_fetch: Option<CacheFetch>,
    /// The crash record in the store.
    crash_record: Option<CrashRecord>,
    /// The crash record that the first instance is writing, and when the store has it.
    record_write: Option<(Timestamp, CrashRecord)>,
    last_request: u64,
    crash_limit_at: Timestamp,
    outcome: Outcome,
}

struct Engine {
    run: u32,
    removed_at: Timestamp,
    back_at: Timestamp,
}

/// An attempt on its way through an engine.
struct Attempt {
    instance: usize,
    /// The engine, or `None` if the connection is refused.
    engine: Option<usize>,
    begins_at: Timestamp,
    crashes_at: Timestamp,
    breaks_at: Timestamp,
    first_event_at: Timestamp,
    has_started: bool,
    ends_at: Timestamp,
    sends_no_head: bool,
}

/// The request of an instance that has just started for what a peer knows.
struct CacheFetch {
    due_at: Timestamp,
    index: usize,
    peer: usize,
}

struct Message {
    due_at: Timestamp,
    from: usize,
    to: usize,
    notes: Notes,
}

impl Fleet {
    pub fn new(scenario: Scenario, seed: u64) -> Fleet {
        let engine = || Engine { run: 1, removed_at: Timestamp::NEVER, back_at: Timestamp::NEVER };
        let mut fleet = Fleet {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            instances: Vec::new(),
            in_touch_at: vec![START; scenario.instances],
            engines: (0..scenario.engines).map(|_| engine()).collect(),
            attempts: BTreeMap::new(),
            is_bad: BTreeMap::new(),
            bad_fingerprints: BTreeSet::new(),
            messages: VecDeque::new(),
            cache_fetch: None,
            crash_record: None,
            record_write: None,
            last_request: 0,
            crash_limit_at: Timestamp::NEVER,
            outcome: Outcome::default(),
        };
        fleet.instances = (0..scenario.instances).map(|it| fleet.new_instance(it)).collect();
        fleet
    }

    /// Runs the fleet for a time.
    pub fn run(mut self, span: Millis) -> Outcome {
        let end = self.now.after(span);
        while !end.is_due(self.now) {
            self.now = self.now.after(STEP);
            self.restart_instance();
            self.restart_fleet();
            self.fail_rack();
            self.update_engines();
            self.advance_attempts();
            self.arrive();
            self.exchange_notes();
            self.write_crash_record();
            if self.is_time(TICK_INTERVAL) {
                (0..self.instances.len()).for_each(|it| self.step(it, Event::Tick));
            }
        }
        self.outcome
    }

    fn is_time(&self, interval: Millis) -> bool {
        let millis = self.now.millis_since(START) as u64;
        millis.is_multiple_of(interval.0)
    }

    fn new_instance(&self, index: usize) -> State {
        let mut state = State::new(options(index as u32), self.now);
        state.step(self.now, Event::Document(document(1)));
        state.step(self.now, Event::InstanceCount(self.scenario.instances));
        if let Some(record) = &self.crash_record {
            state.step(self.now, Event::CrashRecordListed(Some(record.clone())));
        }
        for (index, engine) in self.engines.iter().enumerate() {
            if engine.removed_at == Timestamp::NEVER && engine.back_at == Timestamp::NEVER {
                let id = engine_id(index, engine.run);
                state.step(self.now, Event::ServerListed(record(&id, self.service())));
            }
        }
        state
    }

    fn restart_instance(&mut self) {
        if self.scenario.restart_interval.is_some_and(|it| self.is_time(it)) {
            let index = self.rng.random_range(0..self.instances.len());
            self.attempts.retain(|_, it| it.instance != index);
            self.instances[index] = self.new_instance(index);
            self.in_touch_at[index] = self.now.after(CONTACT);
            let peer = (index + 1) % self.instances.len();
            self.cache_fetch =
                Some(CacheFetch { due_at: self.now.after(FETCH_DELAY), index, peer });
        }
        if let Some(CacheFetch { index, peer, .. }) =
            self.cache_fetch.take_if(|it| it.due_at.is_due(self.now))
        {
            let caches = self.instances[peer].engine_caches(self.now, None).0;
            self.step(index, Event::PeerCaches(caches));
        }
    }

    /// Starts all instances again with empty states, so that no peer has anything to tell.
    fn restart_fleet(&mut self) {
        if !self.scenario.fleet_restart_interval.is_some_and(|it| self.is_time(it)) {
            return;
        }
        self.attempts.clear();
        self.messages.clear();
        self.cache_fetch = None;
        self.record_write = None;
        for index in 0..self.instances.len() {
            self.instances[index] = self.new_instance(index);
            self.in_touch_at[index] = self.now.after(CONTACT);
        }
    }

    /// The first instance writes the crash record for all; what a kill interrupts is not written.
    fn write_crash_record(&mut self) {
        if let Some((_, record)) = self.record_write.take_if(|it| it.0.is_due(self.now)) {
            self.crash_record = Some(record.clone());
            self.step_all(&Event::CrashRecordListed(Some(record)));
        }
        if self.record_write.is_none() {
            let wanted = self.instances[0].wanted_crash_record(self.now);
            self.record_write = wanted.map(|it| (self.now.after(STORE_DELAY), it));
        }
    }

    fn step(&mut self, instance: usize, event: Event) {
        let effects = self.instances[instance].step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Send { request, target } => self.begin_attempt(instance, request, &target),
                Effect::Log(Decision::Barred(bar)) => {
                    self.outcome.sound_bars += u32::from(!self.is_bad_cause(bar.cause));
                }
                Effect::Fail { request, reason: Failure::CrashesServers } => {
                    let is_bad = self.is_bad.get(&request).copied().unwrap_or(false);
                    self.outcome.sound_failed += u32::from(!is_bad);
                }
                _ => {}
            }
        }
    }

    /// Whether a bar of the cause bars bad requests only. With a bad part, each request with it is
    /// bad as well.
    fn is_bad_cause(&self, cause: Cause) -> bool {
        match cause {
            Cause::Part(part) => part == PromptPart::new(MODEL, BAD_PART, 0).key,
            Cause::Request(fingerprint) => self.bad_fingerprints.contains(&fingerprint),
        }
    }

    fn step_all(&mut self, event: &Event) {
        (0..self.instances.len()).for_each(|it| self.step(it, event.clone()));
    }

    fn update_engines(&mut self) {
        for index in 0..self.engines.len() {
            if self.engines[index].removed_at.is_due(self.now) {
                self.engines[index].removed_at = Timestamp::NEVER;
                let id = engine_id(index, self.engines[index].run).into();
                self.step_all(&Event::ServerRemoved { id });
            }
            if self.engines[index].back_at.is_due(self.now) {
                self.engines[index].back_at = Timestamp::NEVER;
                self.engines[index].run += 1;
                let id = engine_id(index, self.engines[index].run);
                self.step_all(&Event::ServerListed(record(&id, self.service())));
            }
        }
    }

    fn begin_attempt(&mut self, instance: usize, request: RequestId, target: &Target) {
        let is_target = |it: &usize| {
            let engine = &self.engines[*it];
            self.is_up(*it) && *target.id == engine_id(*it, engine.run)
        };
        let engine = (0..self.engines.len()).find(is_target);
        let is_bad = self.is_bad.get(&request).copied().unwrap_or(false);
        let limit_at = self.crash_limit_at.max(self.in_touch_at[instance]);
        if is_bad && engine.is_some() && limit_at.is_due(self.now) {
            self.outcome.late_bad_attempts += 1;
        }
        let begins_at = self.now.after(Millis(self.rng.random_range(20..150)));
        let crash_delay = Millis(self.rng.random_range(50..120));
        let first_event_at = match (is_bad, self.scenario.crash_phase) {
            (false, _) => begins_at.after(FIRST_EVENT_DELAY),
            (true, CrashPhase::Started) => begins_at.after(BAD_FIRST_EVENT_DELAY),
            (true, _) => Timestamp::NEVER,
        };
        let is_broken = engine.is_some_and(|it| it < BREAKING_ENGINES)
            && self.rng.random_range(0..100) < self.scenario.broken_percent;
        let break_delay = Millis(self.rng.random_range(0..300));
        let attempt = Attempt {
            instance,
            engine,
            begins_at,
            crashes_at: if is_bad { begins_at.after(crash_delay) } else { Timestamp::NEVER },
            breaks_at: if is_broken { begins_at.after(break_delay) } else { Timestamp::NEVER },
            first_event_at,
            has_started: false,
            ends_at: first_event_at.after(Millis(self.rng.random_range(300..3_000))),
            sends_no_head: is_bad && self.scenario.crash_phase == CrashPhase::NoResponse,
        };
        self.attempts.insert(request, attempt);
    }

    fn advance_attempts(&mut self) {
        let requests: Vec<RequestId> = self.attempts.keys().copied().collect();
        for request in requests {
            let Some(attempt) = self.attempts.get_mut(&request) else {
                continue;
            };
            let instance = attempt.instance;
            let Some(engine) = attempt.engine else {
                self.end(request, failed(Fault::NotConnected, false));
                continue;
            };
            if attempt.crashes_at.is_due(self.now) {
                self.crash(engine);
            } else if attempt.breaks_at.is_due(self.now) {
                let end = failed(Fault::TruncatedResponse, attempt.has_started);
                self.end(request, end);
            } else if attempt.ends_at.is_due(self.now) {
                let event_interval_micros = Some(20_000);
                self.end(request, AttemptEnd::Completed { status: 200, event_interval_micros });
            } else if attempt.first_event_at.is_due(self.now) && !attempt.has_started {
                attempt.has_started = true;
                self.step(instance, Event::ResponseStarted { request });
            }
        }
    }

    fn fail_rack(&mut self) {
        if self.scenario.rack_interval.is_some_and(|it| self.is_time(it)) {
            let first = self.rng.random_range(0..self.engines.len());
            let rack = (0..RACK_ENGINES).map(|it| (first + it) % self.engines.len());
            let rack: Vec<usize> = rack.collect();
            for engine in rack.into_iter().filter(|it| self.is_up(*it)).collect::<Vec<_>>() {
                self.crash(engine);
            }
        }
    }

    fn is_up(&self, engine: usize) -> bool {
        self.engines[engine].back_at == Timestamp::NEVER
    }

    /// Ends a run of an engine with all its attempts.
    fn crash(&mut self, engine: usize) {
        self.engines[engine].back_at = self.now.after(RESTART_TIME);
        self.engines[engine].removed_at = self.now.after(LEASE);
        self.outcome.crashes += 1;
        if self.outcome.crashes == self.scenario.crashes_free {
            self.crash_limit_at = self.now.after(CONTACT);
        }
        let is_lost = |it: &&RequestId| self.attempts[it].engine == Some(engine);
        let lost: Vec<RequestId> = self.attempts.keys().filter(is_lost).copied().collect();
        for request in lost {
            let attempt = &self.attempts[&request];
            let has_head = attempt.begins_at.is_due(self.now) && !attempt.sends_no_head;
            let fault = match (has_head, self.rng.random_range(0..2)) {
                (true, _) => Fault::TruncatedResponse,
                (false, 0) => Fault::ConnectionLost,
                (false, _) => Fault::StaleConnection,
            };
            let is_partially_delivered = attempt.has_started;
            self.end(request, failed(fault, is_partially_delivered));
        }
    }

    fn end(&mut self, request: RequestId, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.step(attempt.instance, Event::AttemptEnded { request, end });
        }
    }

    fn arrive(&mut self) {
        if self.is_time(self.scenario.sound_interval) {
            self.arrive_one(false);
        }
        if self.scenario.bad_interval.is_some_and(|it| self.is_time(it)) {
            self.arrive_one(true);
        }
    }

    fn arrive_one(&mut self, is_bad: bool) {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        let fingerprint = self.draw_fingerprint(is_bad, request);
        let has_prompt = self.scenario.servers == Servers::Engines;
        let prompt = has_prompt.then(|| self.draw_prompt(is_bad, fingerprint));
        let policies = match self.scenario.servers {
            Servers::Engines => [RetryPolicy::Stream, RetryPolicy::ResumableStream],
            Servers::Plain => [RetryPolicy::NonIdempotent, RetryPolicy::Idempotent],
        };
        let policy = policies[self.rng.random_range(0..policies.len())];
        let arrival = Arrival { fingerprint, ..arrival(self.now, request.0, policy, prompt) };
        let instance = self.rng.random_range(0..self.instances.len());
        self.is_bad.insert(request, is_bad);
        if is_bad {
            self.bad_fingerprints.insert(fingerprint);
        }
        self.step(instance, Event::RequestArrived(Box::new(arrival)));
        if !is_bad {
            self.outcome.sound_requests += 1;
            self.outcome.sound_sent += u32::from(self.attempts.contains_key(&request));
        }
    }

    fn service(&self) -> &'static str {
        match self.scenario.servers {
            Servers::Engines => "model",
            Servers::Plain => "app",
        }
    }

    fn draw_fingerprint(&mut self, is_bad: bool, request: RequestId) -> u64 {
        match (is_bad, self.scenario.bad, self.scenario.sound_requests) {
            (true, Bad::Request, _) => BAD_FINGERPRINT,
            (false, _, Some(different)) => self.rng.random_range(0..different).into(),
            _ => u64::from(u32::MAX) + request.0,
        }
    }

    /// A prompt of which all parts but the bad one, and the last, are shared with sound requests.
    fn draw_prompt(&mut self, is_bad: bool, fingerprint: u64) -> Prompt {
        let sound = format!("sound-{}", fingerprint % u64::from(SOUND_PARTS));
        let own = format!("own-{fingerprint}");
        let mut ids = vec!["first", &sound, &own];
        if is_bad && self.scenario.bad == Bad::Part {
            ids.insert(1, BAD_PART);
        }
        let parts: Vec<PromptPart> = ids.iter().map(|it| PromptPart::new(MODEL, it, 100)).collect();
        let input_tokens = parts.iter().map(|it| it.tokens).sum();
        Prompt { parts, input_tokens, max_output_tokens: 100, expected_output_tokens: None }
    }

    fn exchange_notes(&mut self) {
        for from in 0..self.instances.len() {
            if !self.instances[from].has_notes() {
                continue;
            }
            let notes = self.instances[from].take_notes();
            for to in (0..self.instances.len()).filter(|it| *it != from) {
                if self.rng.random_range(0..100) >= self.scenario.lost_percent {
                    let due_at = self.now.after(NOTE_DELAY);
                    self.messages.push_back(Message { due_at, from, to, notes: notes.clone() });
                }
            }
        }
        while self.messages.front().is_some_and(|it| it.due_at.is_due(self.now)) {
            let Some(Message { from, to, notes, .. }) = self.messages.pop_front() else {
                return;
            };
            self.step(to, Event::NotesReceived { from: from as u32, notes });
        }
    }
}

fn engine_id(index: usize, run: u32) -> String {
    format!("engine-{index}-{run}")
}

fn failed(fault: Fault, is_partially_delivered: bool) -> AttemptEnd {
    AttemptEnd::Failed { fault, is_partially_delivered }
}
