//! A cold server gets few requests, from all instances together.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use sl_base::{Millis, RequestId, Timestamp};
use sl_route::{
    AttemptEnd, Decision, Document, Effect, Event, Fault, Limits, Notes, Refusal, RetryPolicy,
    ServerKey, ServerNotice, ServerRecord, Service, State,
    document::WarmupLimits,
    effect::Target,
    note::Note,
    warmup::{SendPlan, WarmupBound, is_sender},
};

use crate::testbed::{ENGINE, START, arrival, at, complete, options, prompt, record, sent_target};

/// The users' rule for each second: one and a half times the stated requests, and 5.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
const WINDOW: Millis = Millis(1_000);

/// How long a server is cold after its start.
const WARMUP: Millis = Millis(3_000);

/// How often a server writes its entry.
const ENTRY_INTERVAL: Millis = Millis(1_200);

/// What happens to the fleet and its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// One server is cold when it is listed.
    Start,
    /// One server turns cold, and says so in its next entry and in its responses.
    TurnsCold,
    /// One server crashes, refuses connections and comes back under its id.
    ComesBack,
    /// A data centre with many servers comes back.
    DataCentre,
}

/// A fleet before warm servers and some that are cold.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    instances: usize,
    per_second: f64,
    disturbance: Disturbance,
    /// Instances that hear of nothing from one second before the disturbance on.
    cut_off: usize,
    /// How often an instance starts again with an empty state; `None` for never.
    restart_interval: Option<Millis>,
    /// How often an instance enters the list or leaves it; `None` for never.
    list_change_interval: Option<Millis>,
    /// Whether all instances start again when the disturbance begins.
    restarts_all: bool,
}

const SCENARIO: Scenario = Scenario {
    instances: 66,
    per_second: 6.6,
    disturbance: Disturbance::Start,
    cut_off: 0,
    restart_interval: None,
    list_change_interval: None,
    restarts_all: false,
};

const DISTURBED_AT: Millis = Millis(4_000);
const SPAN: Millis = Millis(9_000);
const STEP: Millis = Millis(5);
const TICK_INTERVAL: Millis = Millis(100);
const RESPONSE_TIME: Millis = Millis(40);

/// Requests a second of the callers of each instance: several times what it may send to a cold server,
/// also of those that it would send there if the server were warm.
const LOAD_PER_INSTANCE: u64 = 12;

const WARM_SERVERS: usize = 2;

/// The servers of a data centre.
const DATA_CENTRE_SERVERS: usize = 20;

/// How long a crashed server refuses connections.
const DOWN_TIME: Millis = Millis(1_500);

/// How long a change takes to reach an instance, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 10..400;

struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Timestamp,
    instances: Vec<State>,
    servers: Vec<ModelServer>,
    listed: Vec<u32>,
    /// What is on its way to instances, by arrival.
    messages: BTreeMap<(Timestamp, u64), (usize, Message)>,
    last_message: u64,
    attempts: BTreeMap<RequestId, Attempt>,
    last_request: u64,
    /// Whether an instance was told that a run of a server is cold.
    told: HashMap<(usize, ServerKey), bool>,
    /// When requests were sent to each cold server by instances that had been told.
    sends: Vec<Vec<Timestamp>>,
    /// Requests that each server got after it was warm again.
    warm_sends: Vec<u32>,
    refused: u32,
}

#[derive(Clone)]
enum Message {
    Entry(ServerRecord),
    Listed(Vec<u32>),
    Notes(usize, Notes),
}

struct ModelServer {
    id: Arc<str>,
    run: u64,
    sequence: u64,
    cold_until: Timestamp,
    is_cold_type: bool,
    is_up: bool,
    is_listed: bool,
    write_at: Timestamp,
}

struct Attempt {
    instance: usize,
    server: usize,
    key: ServerKey,
    sent_at: Timestamp,
    ends_at: Timestamp,
}

impl ModelServer {
    fn record(&self, now: Timestamp) -> ServerRecord {
        ServerRecord {
            started_at_ms: self.run,
            sequence: self.sequence,
            warmup_left: self.cold_until.remaining(now),
            ..record(&self.id, "app")
        }
    }

    fn is_cold(&self, now: Timestamp) -> bool {
        !self.cold_until.is_due(now)
    }
}

fn cold_document(per_second: f64) -> Arc<Document> {
    let warmup = Some(WarmupLimits { duration: WARMUP, per_second });
    let services = [("app", None), ("model", Some(ENGINE))].map(|(name, engine)| Service {
        name: name.to_owned(),
        max_connections: 100,
        engine,
        warmup,
        health_path: Some("/healthz".into()),
    });
    Arc::new(Document::new(1, [], services, Limits::default(), []))
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Fleet {
        let cold = match scenario.disturbance {
            Disturbance::DataCentre => DATA_CENTRE_SERVERS,
            _ => 1,
        };
        let is_new = matches!(scenario.disturbance, Disturbance::Start | Disturbance::DataCentre);
        let server = |index: usize| ModelServer {
            id: format!("server-{index}").into(),
            run: 1,
            sequence: 1,
            cold_until: START,
            is_cold_type: index < cold,
            is_up: index >= cold || !is_new,
            is_listed: index >= cold || !is_new,
            write_at: START.after(Millis(37 * index as u64)),
        };
        let servers: Vec<ModelServer> = (0..cold + WARM_SERVERS).map(server).collect();
        let mut fleet = Fleet {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            instances: Vec::new(),
            sends: vec![Vec::new(); servers.len()],
            warm_sends: vec![0; servers.len()],
            servers,
            listed: (0..scenario.instances as u32).collect(),
            messages: BTreeMap::new(),
            last_message: 0,
            attempts: BTreeMap::new(),
            last_request: 0,
            told: HashMap::new(),
            refused: 0,
        };
        fleet.instances = (0..scenario.instances).map(|it| fleet.new_instance(it)).collect();
        fleet
    }

    /// An instance that starts, to which the store's contents are on the way.
    fn new_instance(&mut self, index: usize) -> State {
        let seed = self.rng.random_range(0..u64::MAX);
        let mut state = State::new(sl_route::Options { seed, ..options(index as u32) }, self.now);
        state.step(self.now, Event::Document(cold_document(self.scenario.per_second)));
        let entries = self.servers.iter().filter(|it| it.is_listed).map(|it| it.record(self.now));
        let entries: Vec<ServerRecord> = entries.collect();
        for entry in entries {
            let key = (index, entry.key());
            self.told.insert(key, entry.warmup_left.0 > 0);
            state.step(self.now, Event::ServerListed(entry));
        }
        let listed = Message::Listed(self.listed.clone());
        self.post(index, listed);
        state
    }

    fn run(mut self) -> Fleet {
        let end = START.after(SPAN);
        while !end.is_due(self.now) {
            self.now = self.now.after(STEP);
            if self.is_at(DISTURBED_AT) {
                self.disturb();
            }
            if self.is_at(Millis(DISTURBED_AT.0 + DOWN_TIME.0)) {
                self.bring_back();
            }
            self.change_instances();
            self.write_entries();
            self.deliver();
            self.end_attempts();
            self.arrive();
            if self.is_time(TICK_INTERVAL) {
                (0..self.instances.len()).for_each(|it| self.tick(it));
            }
            self.exchange_notes();
        }
        self
    }

    fn is_at(&self, time: Millis) -> bool {
        self.now == START.after(time)
    }

    fn is_time(&self, interval: Millis) -> bool {
        (self.now.millis_since(START) as u64).is_multiple_of(interval.0)
    }

    fn is_cut_off(&self, instance: usize) -> bool {
        let cut_at = START.after(DISTURBED_AT).before(WINDOW);
        instance < self.scenario.cut_off && cut_at.is_due(self.now)
    }

    fn disturb(&mut self) {
        if self.scenario.restarts_all {
            self.attempts.clear();
            (0..self.instances.len()).for_each(|it| self.restart(it));
        }
        let until = self.now.after(WARMUP);
        let now = self.now;
        for server in self.servers.iter_mut().filter(|it| it.is_cold_type) {
            match self.scenario.disturbance {
                Disturbance::Start | Disturbance::DataCentre => {
                    server.is_up = true;
                    server.is_listed = true;
                    server.run += 1;
                    server.cold_until = until;
                    server.write_at = now;
                }
                // The next entry that is due tells.
                Disturbance::TurnsCold => server.cold_until = until,
                Disturbance::ComesBack => {
                    server.is_up = false;
                    server.write_at = Timestamp::NEVER;
                }
            }
        }
    }

    fn bring_back(&mut self) {
        let (now, until) = (self.now, self.now.after(WARMUP));
        for server in self.servers.iter_mut().filter(|it| !it.is_up) {
            server.is_up = true;
            server.run += 1;
            server.cold_until = until;
            server.write_at = now;
        }
    }

    fn restart(&mut self, index: usize) {
        self.attempts.retain(|_, it| it.instance != index);
        self.told.retain(|(instance, _), _| *instance != index);
        self.messages.retain(|_, (to, _)| *to != index);
        self.instances[index] = self.new_instance(index);
    }

    fn change_instances(&mut self) {
        if self.scenario.restart_interval.is_some_and(|it| self.is_time(it)) {
            let index = self.rng.random_range(0..self.instances.len());
            if !self.is_cut_off(index) {
                self.restart(index);
            }
        }
        if self.scenario.list_change_interval.is_some_and(|it| self.is_time(it)) {
            let id = self.rng.random_range(0..self.instances.len()) as u32;
            match self.listed.binary_search(&id) {
                Ok(place) => drop(self.listed.remove(place)),
                Err(place) => self.listed.insert(place, id),
            }
            for to in 0..self.instances.len() {
                self.post(to, Message::Listed(self.listed.clone()));
            }
        }
    }

    fn post(&mut self, to: usize, message: Message) {
        self.last_message += 1;
        let due_at = self.now.after(Millis(self.rng.random_range(DELAY_MS)));
        self.messages.insert((due_at, self.last_message), (to, message));
    }

    fn write_entries(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if !server.is_listed || !server.write_at.is_due(now) {
                continue;
            }
            server.write_at = now.after(ENTRY_INTERVAL);
            server.sequence += 1;
            let entry = server.record(now);
            for to in 0..self.instances.len() {
                self.post(to, Message::Entry(entry.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.messages.first_entry().filter(|it| it.key().0.is_due(self.now))
        {
            let (to, message) = first.remove();
            if self.is_cut_off(to) {
                continue;
            }
            match message {
                Message::Entry(entry) => {
                    self.tell(to, entry.key(), entry.warmup_left.0 > 0);
                    self.step(to, Event::ServerListed(entry));
                }
                Message::Listed(listed) => self.step(to, Event::InstancesListed(listed)),
                Message::Notes(from, notes) => {
                    let from = from as u32;
                    for note in &notes.notes {
                        if let Note::ServerCold { server, .. } = note {
                            self.tell(to, *server, true);
                        }
                    }
                    self.step(to, Event::NotesReceived { from, notes });
                }
            }
        }
    }

    fn tell(&mut self, instance: usize, server: ServerKey, is_cold: bool) {
        let told = self.told.entry((instance, server)).or_default();
        *told |= is_cold;
    }

    /// Records that an instance has found out by itself that a server is cold.
    fn learn(&mut self, instance: usize, server: &str) {
        let keys: Vec<ServerKey> = self.instances[instance]
            .servers()
            .map(|it| (&it.record.id, it.key))
            .filter(|(id, _)| ***id == *server)
            .map(|it| it.1)
            .collect();
        keys.into_iter().for_each(|it| self.tell(instance, it, true));
    }

    /// Passes on the notes about cold servers; others may be lost.
    fn exchange_notes(&mut self) {
        for from in 0..self.instances.len() {
            if !self.instances[from].has_notes() {
                continue;
            }
            let mut notes = self.instances[from].take_notes();
            notes.notes.retain(|it| matches!(it, Note::ServerCold { .. }));
            if notes.notes.is_empty() || self.is_cut_off(from) {
                continue;
            }
            for to in (0..self.instances.len()).filter(|it| *it != from) {
                self.post(to, Message::Notes(from, notes.clone()));
            }
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.is_cut_off(index) {
            self.step(index, Event::StoreContact(self.now));
        }
        self.step(index, Event::Tick);
    }

    fn step(&mut self, instance: usize, event: Event) {
        for effect in self.instances[instance].step(self.now, event) {
            match effect {
                Effect::Send { request, target } => self.send(instance, request, &target),
                Effect::Refuse { .. } => self.refused += 1,
                Effect::Log(Decision::ServerCold { server, .. }) => {
                    self.learn(instance, &server);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, instance: usize, request: RequestId, target: &Target) {
        let server = self.servers.iter().position(|it| it.id == target.id).unwrap();
        let state = &self.servers[server];
        let is_told = self.told.get(&(instance, target.server)) == Some(&true);
        if state.is_cold_type && state.is_up && state.is_cold(self.now) {
            if is_told {
                self.sends[server].push(self.now);
            }
        } else if START.after(DISTURBED_AT).after(WARMUP).is_due(self.now) {
            self.warm_sends[server] += 1;
        }
        let key = target.server;
        let (sent_at, ends_at) = (self.now, self.now.after(RESPONSE_TIME));
        self.attempts.insert(request, Attempt { instance, server, key, sent_at, ends_at });
    }

    fn end_attempts(&mut self) {
        let ended: Vec<RequestId> = self
            .attempts
            .iter()
            .filter(|(_, it)| it.ends_at.is_due(self.now))
            .map(|(&request, _)| request)
            .collect();
        for request in ended {
            let Some(Attempt { instance, server, key, sent_at, .. }) =
                self.attempts.remove(&request)
            else {
                continue;
            };
            let server = &self.servers[server];
            let (is_up, cold_until) = (server.is_up, server.cold_until);
            if !is_up {
                let was_sent_before = !START.after(DISTURBED_AT).is_due(sent_at);
                let fault =
                    if was_sent_before { Fault::ConnectionLost } else { Fault::NotConnected };
                let end = AttemptEnd::Failed { fault, is_partially_delivered: false };
                self.step(instance, Event::AttemptEnded { request, end });
                continue;
            }
            if server.record(self.now).key() == key && server.is_cold(self.now) {
                self.tell(instance, key, true);
                let notice = ServerNotice::Cold { until: cold_until };
                self.step(instance, Event::ServerNotice { server: key, notice });
            }
            self.step(instance, Event::ResponseStarted { request });
            let end = AttemptEnd::Completed { status: 200, event_interval_micros: None };
            self.step(instance, Event::AttemptEnded { request, end });
        }
    }

    fn arrive(&mut self) {
        let per_second = LOAD_PER_INSTANCE * self.instances.len() as u64;
        let per_step = per_second * STEP.0;
        let count =
            per_step / 1_000 + u64::from(self.rng.random_range(0..1_000) < per_step % 1_000);
        for _ in 0..count {
            self.last_request += 1;
            let index = self.rng.random_range(0..self.instances.len());
            let arrival = arrival(self.now, self.last_request, RetryPolicy::Idempotent, None);
            self.step(index, Event::RequestArrived(Box::new(arrival)));
        }
    }

    /// The most requests that a cold server got in any second.
    fn most_in_window(&self) -> usize {
        let most = |times: &Vec<Timestamp>| {
            let in_window = |from: &Timestamp| {
                times.iter().filter(|it| from <= it && **it < from.after(WINDOW)).count()
            };
            times.iter().map(in_window).max().unwrap_or(0)
        };
        self.sends.iter().map(most).max().unwrap_or(0)
    }
}

fn check(scenario: Scenario) {
    let allowed = ALLOWED_FACTOR * scenario.per_second + ALLOWED_EXTRA;
    for seed in 0..3 {
        let fleet = Fleet::new(scenario, seed).run();
        let most = fleet.most_in_window();
        assert!(most as f64 <= allowed, "seed {seed}: {most} in a second, allowed {allowed}");
        assert_eq!(fleet.refused, 0, "seed {seed}: refused although warm servers take requests");
        for (server, sends) in fleet.sends.iter().enumerate() {
            if fleet.servers[server].is_cold_type && !scenario.restarts_all {
                assert!(!sends.is_empty(), "seed {seed}: server {server} got nothing while cold");
            }
        }
    }
}

// Guards against cold servers that crash because each instance decides on its own how much they get.
#[rstest]
#[case::start(SCENARIO)]
#[case::faster(Scenario { per_second: 8.4, ..SCENARIO })]
#[case::large(Scenario { instances: 295, ..SCENARIO })]
#[case::large_and_faster(Scenario { instances: 295, per_second: 8.4, ..SCENARIO })]
#[case::small(Scenario { instances: 8, ..SCENARIO })]
#[case::small_and_faster(Scenario { instances: 8, per_second: 8.4, ..SCENARIO })]
#[case::turns_cold(Scenario { disturbance: Disturbance::TurnsCold, ..SCENARIO })]
#[case::large_turns_cold(Scenario {
    instances: 295, per_second: 8.4, disturbance: Disturbance::TurnsCold, ..SCENARIO
})]
#[case::comes_back(Scenario { disturbance: Disturbance::ComesBack, ..SCENARIO })]
#[case::large_comes_back(Scenario {
    instances: 295, per_second: 8.4, disturbance: Disturbance::ComesBack, ..SCENARIO
})]
#[case::data_centre(Scenario { disturbance: Disturbance::DataCentre, ..SCENARIO })]
#[case::large_data_centre(Scenario {
    instances: 295, per_second: 8.4, disturbance: Disturbance::DataCentre, ..SCENARIO
})]
fn a_cold_server_gets_few_requests_under_load(#[case] scenario: Scenario) {
    check(scenario);
}

// Guards against a limit that only holds while all instances know each other.
#[rstest]
#[case::cut_off(Scenario { cut_off: 20, ..SCENARIO })]
#[case::large_cut_off(Scenario { instances: 295, cut_off: 90, per_second: 8.4, ..SCENARIO })]
#[case::cut_off_turns_cold(Scenario {
    cut_off: 20, disturbance: Disturbance::TurnsCold, ..SCENARIO
})]
#[case::large_cut_off_comes_back(Scenario {
    instances: 295, cut_off: 90, disturbance: Disturbance::ComesBack, ..SCENARIO
})]
#[case::restarts(Scenario { restart_interval: Some(Millis(100)), ..SCENARIO })]
#[case::large_restarts(Scenario {
    instances: 295, restart_interval: Some(Millis(50)), per_second: 8.4, ..SCENARIO
})]
#[case::restarts_and_turns_cold(Scenario {
    restart_interval: Some(Millis(100)), disturbance: Disturbance::TurnsCold, ..SCENARIO
})]
#[case::list_changes(Scenario { list_change_interval: Some(Millis(50)), ..SCENARIO })]
#[case::large_list_changes(Scenario {
    instances: 295, list_change_interval: Some(Millis(20)), per_second: 8.4, ..SCENARIO
})]
#[case::all_restart(Scenario { restarts_all: true, ..SCENARIO })]
#[case::large_all_restart(Scenario {
    instances: 295, restarts_all: true, disturbance: Disturbance::DataCentre, ..SCENARIO
})]
#[case::everything(Scenario {
    cut_off: 15,
    restart_interval: Some(Millis(150)),
    list_change_interval: Some(Millis(100)),
    disturbance: Disturbance::ComesBack,
    ..SCENARIO
})]
fn a_cold_server_gets_few_requests_under_failures(#[case] scenario: Scenario) {
    check(scenario);
}

// Guards against a server that stays limited after its warm-up.
#[test]
fn a_server_gets_its_share_when_it_is_warm() {
    let fleet = Fleet::new(SCENARIO, 0).run();
    let seconds = (SPAN.0 - DISTURBED_AT.0 - WARMUP.0) / 1_000;
    let usual = LOAD_PER_INSTANCE * 66 * seconds / (WARM_SERVERS as u64 + 1);
    assert!(u64::from(fleet.warm_sends[0]) > usual / 2, "{} of {usual}", fleet.warm_sends[0]);
}

// Guards against a log that grows with each entry that only counts down.
#[test]
fn an_entry_that_counts_down_logs_nothing() {
    let mut state = lone_instance();
    let entry =
        |sequence, left| ServerRecord { sequence, warmup_left: Millis(left), ..record("a", "app") };
    let first = state.step(START, Event::ServerListed(entry(1, 3_000)));
    assert!(first.iter().any(|it| matches!(it, Effect::Log(Decision::ServerCold { .. }))));
    let second = state.step(at(1_200), Event::ServerListed(entry(2, 1_800)));
    assert_eq!(second, []);
}

/// An instance that is the only one of its fleet, and knows it.
fn lone_instance() -> State {
    let mut state = State::new(options(1), START);
    state.step(START, Event::Document(cold_document(6.6)));
    state.step(START, Event::InstancesListed(vec![1]));
    state
}

fn cold_record(left_ms: u64) -> ServerRecord {
    ServerRecord { warmup_left: Millis(left_ms), ..record("a", "app") }
}

fn is_sent(state: &mut State, millis: u64, number: u64) -> bool {
    let arrival = arrival(at(millis), number, RetryPolicy::Idempotent, None);
    let effects = state.step(at(millis), Event::RequestArrived(Box::new(arrival)));
    sent_target(&effects).is_some()
}

/// Requests that are sent between two times, with one arriving each 10 ms.
fn sent_between(state: &mut State, from_ms: u64, until_ms: u64) -> usize {
    let times = (from_ms..until_ms).step_by(10);
    let mut sent = 0;
    for millis in times {
        state.step(at(millis), Event::StoreContact(at(millis)));
        sent += usize::from(is_sent(state, millis, millis));
    }
    sent
}

// Guards against requests of an instance that may have sent some just before it started again.
#[test]
fn an_instance_that_has_just_started_sends_nothing_to_a_cold_server() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(600_000)));
    assert_eq!(sent_between(&mut state, 0, 2_000), 0);
    assert!(sent_between(&mut state, 2_000, 4_000) > 0);
}

// Guards against senders that don't know that others have taken their place.
#[test]
fn an_instance_without_contact_sends_nothing_to_a_cold_server() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(600_000)));
    assert!(sent_between(&mut state, 2_000, 4_000) > 0);
    assert!(!is_sent(&mut state, 6_100, 1_000_000));
    state.step(at(6_200), Event::StoreContact(at(6_200)));
    assert!(is_sent(&mut state, 6_200, 1_000_001));
}

// Guards against an instance whose list is missing, which would take itself for the only one.
#[test]
fn an_instance_that_does_not_know_the_listed_ones_sends_nothing_to_a_cold_server() {
    let mut state = State::new(options(1), START);
    state.step(START, Event::Document(cold_document(6.6)));
    state.step(START, Event::ServerListed(cold_record(600_000)));
    assert_eq!(sent_between(&mut state, 2_000, 4_000), 0);
}

// Guards against callers that are held, or told that their request ran, while the only server is
// cold.
#[test]
fn a_request_that_no_server_takes_is_refused_at_once() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(600_000)));
    let arrival = arrival(at(100), 1, RetryPolicy::Idempotent, None);
    let effects = state.step(at(100), Event::RequestArrived(Box::new(arrival)));
    let refused = effects.iter().find_map(|it| match it {
        Effect::Refuse { reason, retry_after, .. } => Some((*reason, *retry_after)),
        _ => None,
    });
    let (reason, retry_after) = refused.unwrap();
    assert_eq!(reason, Refusal::TurnedAway);
    assert!(retry_after >= Millis(100), "{retry_after}");
}

// Guards against a server that counts as cold for its whole former warm-up although it says that it
// is warm.
#[test]
fn a_later_entry_without_warm_up_ends_it() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(600_000)));
    let warm = ServerRecord { sequence: 2, ..cold_record(0) };
    state.step(at(100), Event::ServerListed(warm));
    assert!(is_sent(&mut state, 110, 1));
}

// Guards against an entry from before the server turned cold, or before an evacuation ended, that
// arrives late; and against one that is listed again after an outage.
#[test]
fn an_entry_that_may_be_older_does_not_end_a_warm_up() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(0)));
    let key = cold_record(0).key();
    state.step(at(50), Event::StoreContact(at(50)));
    state.mark_cold(key, at(30_000));
    state.step(at(100), Event::Tick);
    let before = ServerRecord { sequence: 2, ..cold_record(0) };
    state.step(at(200), Event::ServerListed(before.clone()));
    assert!(!is_sent(&mut state, 300, 1));
    state.step(at(1_500), Event::ServerListed(before));
    assert!(!is_sent(&mut state, 1_600, 2));
    let after = ServerRecord { sequence: 3, ..cold_record(0) };
    state.step(at(1_700), Event::ServerListed(after));
    assert!(is_sent(&mut state, 1_800, 3));
}

// Guards against peers that find out by the requests that they send to it.
#[test]
fn peers_learn_that_a_server_is_cold() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(0)));
    let server = cold_record(0).key();
    state.take_notes();
    let notice = ServerNotice::Cold { until: at(3_000) };
    state.step(at(10), Event::ServerNotice { server, notice });
    let cold = |notes: &Notes| notes.notes.contains(&Note::ServerCold { server, for_ms: 2_990 });
    let notes = state.take_notes();
    assert!(cold(&notes), "{notes:?}");
    let mut peer = State::new(options(2), START);
    peer.step(START, Event::Document(cold_document(6.6)));
    peer.step(START, Event::InstancesListed(vec![1, 2]));
    peer.step(START, Event::ServerListed(cold_record(0)));
    peer.step(at(20), Event::NotesReceived { from: 1, notes });
    assert!(!is_sent(&mut peer, 30, 1));
}

// Guards against a run that came back after a crash, and gets the load of a warm server until it has
// written its entry.
#[test]
fn a_server_that_may_have_restarted_is_cold_until_it_writes_its_entry() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(0)));
    for number in [1, 2] {
        assert!(is_sent(&mut state, 10, number));
    }
    let failed = |fault| AttemptEnd::Failed { fault, is_partially_delivered: false };
    for (number, fault) in [(1, Fault::ConnectionLost), (2, Fault::NotConnected)] {
        let request = RequestId(number);
        state.step(at(20), Event::AttemptEnded { request, end: failed(fault) });
    }
    state.step(at(400), Event::Tick);
    assert!(!is_sent(&mut state, 500, 4));
    let rewritten = ServerRecord { sequence: 2, ..cold_record(0) };
    state.step(at(600), Event::ServerListed(rewritten));
    assert!(is_sent(&mut state, 700, 5));
}

// Guards against an effect on services that state no warm-up.
#[test]
fn a_service_without_warm_up_has_no_cold_servers() {
    let mut state = State::new(options(1), START);
    state.step(START, Event::Document(crate::testbed::document(1)));
    let effects = state.step(START, Event::ServerListed(cold_record(3_000)));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Log(Decision::ServerCold { .. }))));
    assert!(is_sent(&mut state, 10, 1));
}

// Guards against work for an engine that it can't bear yet.
#[test]
fn the_cache_of_a_cold_engine_is_listed_when_it_is_warm() {
    let mut state = lone_instance();
    let engine = ServerRecord { warmup_left: WARMUP, ..record("e", "model") };
    state.step(START, Event::ServerListed(engine));
    let lists =
        |effects: Vec<Effect>| effects.iter().any(|it| matches!(it, Effect::ListCache { .. }));
    let mut listed_at = None;
    for millis in (0..5_000).step_by(100) {
        if lists(state.step(at(millis), Event::Tick)) {
            listed_at = listed_at.or(Some(millis));
        }
    }
    assert!(listed_at.is_some_and(|it| it >= WARMUP.0), "{listed_at:?}");
}

// Guards against a cold engine that takes model requests as a warm one.
#[test]
fn a_cold_engine_takes_no_request_of_an_instance_that_is_no_sender() {
    let server = record("e", "model");
    let listed: Vec<u32> = (1..=66).collect();
    let id = sl_base::ServerId::of("e").0;
    let other = listed.iter().copied().find(|it| !is_sender(id, *it, &listed, 7)).unwrap();
    let mut state = State::new(options(other), START);
    state.step(START, Event::Document(cold_document(6.6)));
    state.step(START, Event::InstancesListed(listed));
    state.step(START, Event::ServerListed(ServerRecord { warmup_left: WARMUP, ..server }));
    state.step(at(2_500), Event::StoreContact(at(2_500)));
    let arrival = arrival(at(2_500), 1, RetryPolicy::Stream, Some(prompt("s", 100, "o", 10)));
    let effects = state.step(at(2_500), Event::RequestArrived(Box::new(arrival)));
    assert!(sent_target(&effects).is_none());
}

// Guards against a cold cache that fills with what is never asked for again.
#[test]
fn a_slot_of_a_cold_engine_goes_to_a_prompt_that_is_asked_for_often() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(record("warm", "model")));
    let model = |now, number, shared: &str| {
        let own = format!("own-{number}");
        arrival(now, number, RetryPolicy::Stream, Some(prompt(shared, 100, &own, 10)))
    };
    for number in 0..20 {
        let arrival = model(at(2_000), number, "often");
        state.step(at(2_000), Event::RequestArrived(Box::new(arrival)));
    }
    state.step(at(2_000), Event::ServerRemoved { id: "warm".into() });
    let cold = ServerRecord { warmup_left: Millis(600_000), ..record("cold", "model") };
    state.step(at(2_000), Event::ServerListed(cold));
    // Why the request is refused; `None` if it was sent, and has ended.
    let mut refusal = |millis: u64, number: u64, shared: &str| {
        state.step(at(millis), Event::StoreContact(at(millis)));
        let arrival = model(at(millis), number, shared);
        let effects = state.step(at(millis), Event::RequestArrived(Box::new(arrival)));
        complete(&mut state, at(millis), number);
        effects.iter().find_map(|it| match it {
            Effect::Refuse { reason, .. } => Some(*reason),
            _ => None,
        })
    };
    // The first slot opens within the interval.
    let opens_at = (2_000..3_000).step_by(10).find(|it| refusal(*it, *it, "often").is_none());
    let interval = SendPlan::new(
        WarmupLimits { duration: WARMUP, per_second: 6.6 },
        WarmupBound::default(),
        1,
    )
    .interval;
    let next = opens_at.unwrap() + interval.0;
    let turned_away = Some(Refusal::TurnedAway);
    assert_eq!(refusal(next + 10, 100_000, "rare"), turned_away, "the slot is left to others");
    assert_eq!(refusal(next + 20, 100_001, "often"), None);
    let next = next + 20 + interval.0;
    assert_eq!(refusal(next, 100_002, "rare"), turned_away);
    assert_eq!(refusal(next + 300, 100_003, "rare"), None, "nobody else wants the slot");
}

// The bound must hold for any numbers of a configuration and of the settings, with two senders more.
#[rstest]
fn the_senders_and_two_more_keep_the_bound(
    #[values(0.4, 1.0, 3.0, 6.6, 8.4, 30.0, 200.0)] per_second: f64,
    #[values(1.0, 1.5, 2.0)] overshoot: f64,
    #[values(3.0, 5.0, 10.0)] allowance: f64,
    #[values(1, 3, 8, 9, 34, 66, 76, 83, 295)] instances: usize,
) {
    let limits = WarmupLimits { duration: WARMUP, per_second };
    let bound = WarmupBound { overshoot, allowance };
    let plan = SendPlan::new(limits, bound, instances);
    let per_sender = 1_000_u64.div_ceil(plan.interval.0);
    let most = (plan.senders as u64 + 2) * per_sender;
    let allowed = per_second * overshoot + allowance;
    assert!(most as f64 <= allowed, "{plan:?}: {most} of {allowed}");
}

// Guards against more senders than planned because instances rank each other differently.
#[test]
fn all_instances_agree_on_the_senders() {
    let listed: Vec<u32> = (0..295).collect();
    for server in 0..50 {
        let senders = listed.iter().filter(|it| is_sender(server, **it, &listed, 7)).count();
        assert_eq!(senders, 7);
    }
    assert!(!is_sender(1, 400, &listed, 295), "an instance that is not listed sends nothing");
}

fn checked_servers(effects: &[Effect]) -> Vec<ServerKey> {
    let checked = |it: &Effect| match it {
        Effect::CheckHealth { server, .. } => Some(*server),
        _ => None,
    };
    effects.iter().filter_map(checked).collect()
}

/// The servers that an instance asks for their health in each of `ticks` ticks, 100 ms apart. Each responds
/// at once.
fn checks(
    state: &mut State,
    ticks: std::ops::Range<u64>,
    is_store_followed: bool,
) -> Vec<ServerKey> {
    let mut all = Vec::new();
    for tick in ticks {
        let now = at(tick * 100);
        if is_store_followed {
            state.step(now, Event::StoreFollowed);
        }
        for server in checked_servers(&state.step(now, Event::Tick)) {
            state.step(now, Event::HealthChecked { server });
            all.push(server);
        }
    }
    all
}

// Guards against health requests in calm days, and against servers that are asked all the time.
#[test]
fn servers_are_asked_for_their_health_only_while_the_store_is_silent() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(record("s", "app")));
    assert!(checks(&mut state, 0..100, true).is_empty());
    // Three in each second, from half a second after the last answer on.
    let asked = checks(&mut state, 100..200, false).len();
    assert!((30..=34).contains(&asked), "{asked} in 10 s");
    assert!(checks(&mut state, 200..300, true).is_empty());
}

// Guards against a second question to a server that has not answered the first.
#[test]
fn a_server_that_does_not_respond_is_asked_once() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(record("s", "app")));
    let ticks = (0..100).map(|it| checked_servers(&state.step(at(it * 100), Event::Tick)).len());
    assert_eq!(ticks.sum::<usize>(), 1);
}

// Guards against questions of each instance to each server, and against servers that no instance asks.
#[test]
fn each_server_is_asked_by_one_instance() {
    const INSTANCES: u32 = 9;
    const SERVERS: usize = 60;
    let mut asked: HashMap<ServerKey, usize> = HashMap::new();
    for instance in 0..INSTANCES {
        let mut state = State::new(options(instance), START);
        state.step(START, Event::Document(cold_document(6.6)));
        for index in 0..SERVERS {
            state.step(START, Event::ServerListed(record(&format!("s{index}"), "app")));
        }
        for from in (0..INSTANCES).filter(|it| *it != instance) {
            state.step(at(600), Event::NotesReceived { from, notes: Notes::default() });
        }
        for server in checked_servers(&state.step(at(700), Event::Tick)) {
            *asked.entry(server).or_default() += 1;
        }
    }
    assert_eq!(asked.len(), SERVERS);
    assert!(asked.values().all(|it| *it == 1), "{asked:?}");
}

// Guards against health requests to servers that are known to be cold, or that have no health path.
#[test]
fn servers_that_could_say_nothing_new_are_not_asked() {
    let mut state = lone_instance();
    state.step(START, Event::ServerListed(cold_record(60_000)));
    assert!(checks(&mut state, 0..100, false).is_empty());
    let mut state = State::new(options(1), START);
    state.step(START, Event::Document(crate::testbed::document(1)));
    state.step(START, Event::ServerListed(record("s", "app")));
    assert!(checks(&mut state, 0..100, false).is_empty());
}

// Guards against servers that cannot be asked and keep an instance without peers from asking the others.
#[test]
fn servers_that_cannot_be_asked_hold_up_no_other() {
    let mut state = lone_instance();
    for index in 0..100 {
        state.step(START, Event::ServerListed(record(&format!("s{index}"), "app")));
    }
    let all: Vec<ServerKey> = state.servers().map(|it| it.key).collect();
    let until = at(60_000);
    for server in &all[..60] {
        let notice = ServerNotice::Pause { until };
        state.step(START, Event::ServerNotice { server: *server, notice });
    }
    let asked: std::collections::HashSet<ServerKey> =
        checks(&mut state, 0..12, false).into_iter().collect();
    assert_eq!(asked, all[60..].iter().copied().collect());
}
