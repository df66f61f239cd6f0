//! Counters and histograms. Labels are names of routes, outcomes and reasons, which are
//! bounded; ids stand in the log.

use std::{
    collections::HashSet,
    fmt,
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU64},
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use sl_route::Decision;

/// A name as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Named {
    name: String,
}

/// A route and what became of its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Ended {
    route: String,
    outcome: String,
}

/// Whose request or attempt it was, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndedOf {
    name: String,
    outcome: String,
}

/// A gauge of seconds, or of parts of something.
type Fraction = Gauge<f64, AtomicU64>;

/// All metrics of an instance; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Teams and servers that are kept apart.
    names: Arc<Mutex<HashSet<String>>>,
    /// Requests that are held.
    pub held: Gauge,
    /// Whether the instance is ready.
    pub ready: Gauge,
    /// The version of the configuration in force.
    pub document: Gauge,
    /// The platform's revision that the instance has seen.
    pub revision: Gauge,
    /// Requests by route and outcome.
    pub ended: Family<Ended, Counter>,
    /// Requests by team and outcome.
    pub teams: Family<EndedOf, Counter>,
    /// Attempts by server and outcome.
    pub servers: Family<EndedOf, Counter>,
    /// Retries that are left to this instance, by service.
    pub retries_left: Family<Named, Fraction>,
    /// Seconds since the configuration came into force here.
    pub document_age: Fraction,
    /// Seconds since the store, or a fellow that follows it, was last heard.
    pub store_age: Fraction,
    /// Seconds since the fellow was heard that has been silent for longest.
    pub peer_age: Fraction,
    /// Seconds to the first byte, by route.
    pub first_byte: Family<Named, Histogram>,
    /// Seconds to the end, by route.
    pub whole: Family<Named, Histogram>,
    /// Milliseconds by which first bytes came later than expected.
    pub later: Histogram,
    /// Attempts that failed, by what was wrong.
    pub faults: Family<Named, Counter>,
    /// Refusals, by reason.
    pub refusals: Family<Named, Counter>,
    /// Calls to the platform's store, by kind and answer.
    pub calls: Family<Named, Counter>,
    /// New connections to backend servers.
    pub connections: Counter,
    /// Messages to and from peers.
    pub messages: Family<Named, Counter>,
    /// Lines on requests that were not written down.
    pub lines_left_out: Counter,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}

/// The least bucket of the histograms of seconds.
const LEAST_SECONDS: f64 = 0.002;
/// The least bucket of the histogram of milliseconds.
const LEAST_MILLIS: f64 = 5.0;
/// Buckets of each histogram.
const BUCKETS: u16 = 14;

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS))
}

impl Default for Metrics {
    fn default() -> Metrics {
        let metrics = Metrics {
            registry: Arc::default(),
            names: Arc::default(),
            held: Gauge::default(),
            ready: Gauge::default(),
            document: Gauge::default(),
            revision: Gauge::default(),
            ended: Family::default(),
            teams: Family::default(),
            servers: Family::default(),
            retries_left: Family::default(),
            document_age: Gauge::default(),
            store_age: Gauge::default(),
            peer_age: Gauge::default(),
            first_byte: Family::new_with_constructor(seconds),
            whole: Family::new_with_constructor(seconds),
            later: Histogram::new(exponential_buckets(LEAST_MILLIS, 2.0, BUCKETS)),
            faults: Family::default(),
            refusals: Family::default(),
            calls: Family::default(),
            connections: Counter::default(),
            messages: Family::default(),
            lines_left_out: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Counts a call to the platform's store.
    pub fn called(&self, kind: &str, answer: impl fmt::Display) {
        self.calls.get_or_create(&named(format!("{kind} {answer}"))).inc();
    }

    /// Counts what became of a request.
    pub fn request_ended(&self, route: &str, team: &str, outcome: &str, seconds: f64) {
        self.team_ended(team, outcome);
        let label = Ended { route: route.to_owned(), outcome: outcome.to_owned() };
        self.ended.get_or_create(&label).inc();
        self.whole.get_or_create(&named(route)).observe(seconds);
    }

    fn team_ended(&self, team: &str, outcome: &str) {
        if !team.is_empty() {
            self.teams.get_or_create(&self.ended_of(team, outcome)).inc();
        }
    }

    fn attempt_ended(&self, server: &str, outcome: &str) {
        self.servers.get_or_create(&self.ended_of(server, outcome)).inc();
    }

    fn ended_of(&self, name: &str, outcome: &str) -> EndedOf {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !names.contains(name);
        let has_room = names.len() < NAMES_MAX;
        if is_new && has_room {
            names.insert(name.to_owned());
        }
        let name = if is_new && !has_room { OTHER } else { name };
        EndedOf { name: name.to_owned(), outcome: outcome.to_owned() }
    }

    /// Counts a decision.
    pub(crate) fn decided(&self, decision: &Decision) {
        match decision {
            Decision::RequestRefused { reason: why, .. } => {
                self.refusals.get_or_create(&named(why.to_string())).inc();
            }
            Decision::AttemptFailed { server, fault, .. } => {
                self.faults.get_or_create(&named(fault.to_string())).inc();
                self.attempt_ended(server, fault.into());
            }
            Decision::ResponseStarted { server, took_ms, expected_ms, .. } => {
                self.attempt_ended(server, "begun");
                self.later.observe((took_ms - expected_ms).max(0.0));
            }
            _ => {}
        }
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let it = registry.sub_registry_with_prefix("sesamelock");
        it.register("held_requests", "Requests that are held", self.held.clone());
        it.register("ready", "Whether the instance is ready", self.ready.clone());
        it.register("document_version", "Configuration in force", self.document.clone());
        it.register("store_revision", "Platform's revision seen", self.revision.clone());
        it.register("requests", "Requests by route and outcome", self.ended.clone());
        it.register("team_requests", "Requests by team and outcome", self.teams.clone());
        it.register("server_attempts", "Attempts by server and outcome", self.servers.clone());
        it.register("retries_left", "Retries left by service", self.retries_left.clone());
        it.register("document_age_seconds", "Since it is in force", self.document_age.clone());
        it.register("store_age_seconds", "Since the store was heard", self.store_age.clone());
        it.register("peer_age_seconds", "Longest silence of a fellow", self.peer_age.clone());
        it.register("first_byte_seconds", "To the first byte", self.first_byte.clone());
        it.register("whole_seconds", "To the end", self.whole.clone());
        it.register("late_milliseconds", "Later than expected", self.later.clone());
        it.register("faults", "Failed attempts by fault", self.faults.clone());
        it.register("refusals", "Refusals by reason", self.refusals.clone());
        it.register("store_calls", "Calls by kind and answer", self.calls.clone());
        it.register("connections", "New connections to servers", self.connections.clone());
        it.register("lines_left_out", "Log lines left out", self.lines_left_out.clone());
        it.register("peer_messages", "Messages between instances", self.messages.clone());
    }
}

/// Teams and servers that are kept apart; the others are counted together.
const NAMES_MAX: usize = 1_000;

/// Stands for all names that are not kept apart.
const OTHER: &str = "other";

/// A label of one name.
pub(crate) fn named(name: impl Into<String>) -> Named {
    Named { name: name.into() }
}
