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
pub struct NameLabel {
    name: String,
}

/// A route and what became of its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteOutcomeLabels {
    route: String,
    outcome: String,
}

/// Whose request or attempt it was, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NameOutcomeLabels {
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
    pub held_requests: Gauge,
    /// Whether the instance is ready.
    pub ready: Gauge,
    /// The version of the configuration in force.
    pub document_version: Gauge,
    /// The platform's revision that the instance has seen.
    pub store_revision: Gauge,
    /// Requests by route and outcome.
    pub requests: Family<RouteOutcomeLabels, Counter>,
    /// Requests by team and outcome.
    pub team_requests: Family<NameOutcomeLabels, Counter>,
    /// Attempts by server and outcome.
    pub server_attempts: Family<NameOutcomeLabels, Counter>,
    /// Retries that are left to this instance, by service.
    pub retries_left: Family<NameLabel, Fraction>,
    /// Seconds since the configuration came into force here.
    pub document_age: Fraction,
    /// Seconds since the store, or a fellow that follows it, was last heard.
    pub store_age: Fraction,
    /// Seconds since the fellow was heard that has been silent for longest.
    pub peer_age: Fraction,
    /// Seconds to the first byte, by route.
    pub first_byte: Family<NameLabel, Histogram>,
    /// Seconds to the end, by route.
    pub request_duration: Family<NameLabel, Histogram>,
    /// Milliseconds by which first bytes came later than expected.
    pub first_byte_delay: Histogram,
    /// Attempts that failed, by what was wrong.
    pub faults: Family<NameLabel, Counter>,
    /// Refusals, by reason.
    pub refusals: Family<NameLabel, Counter>,
    /// Calls to the platform's store, by kind and answer.
    pub store_calls: Family<NameLabel, Counter>,
    /// New connections to backend servers.
    pub server_connections: Counter,
    /// Messages to and from peers.
    pub peer_messages: Family<NameLabel, Counter>,
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
            held_requests: Gauge::default(),
            ready: Gauge::default(),
            document_version: Gauge::default(),
            store_revision: Gauge::default(),
            requests: Family::default(),
            team_requests: Family::default(),
            server_attempts: Family::default(),
            retries_left: Family::default(),
            document_age: Gauge::default(),
            store_age: Gauge::default(),
            peer_age: Gauge::default(),
            first_byte: Family::new_with_constructor(seconds),
            request_duration: Family::new_with_constructor(seconds),
            first_byte_delay: Histogram::new(exponential_buckets(LEAST_MILLIS, 2.0, BUCKETS)),
            faults: Family::default(),
            refusals: Family::default(),
            store_calls: Family::default(),
            server_connections: Counter::default(),
            peer_messages: Family::default(),
            lines_left_out: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// All metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Counts a call to the platform's store.
    pub fn record_store_call(&self, kind: &str, answer: impl fmt::Display) {
        self.store_calls.get_or_create(&name_label(format!("{kind} {answer}"))).inc();
    }

    /// Counts what became of a request.
    pub fn record_request(&self, route: &str, team: &str, outcome: &str, seconds: f64) {
        self.team_ended(team, outcome);
        let label = RouteOutcomeLabels { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&label).inc();
        self.request_duration.get_or_create(&name_label(route)).observe(seconds);
    }

    fn team_ended(&self, team: &str, outcome: &str) {
        if !team.is_empty() {
            self.team_requests.get_or_create(&self.ended_of(team, outcome)).inc();
        }
    }

    fn attempt_ended(&self, server: &str, outcome: &str) {
        self.server_attempts.get_or_create(&self.ended_of(server, outcome)).inc();
    }

    fn ended_of(&self, name: &str, outcome: &str) -> NameOutcomeLabels {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !names.contains(name);
        let has_room = names.len() < NAMES_MAX;
        if is_new && has_room {
            names.insert(name.to_owned());
        }
        let name = if is_new && !has_room { OTHER } else { name };
        NameOutcomeLabels { name: name.to_owned(), outcome: outcome.to_owned() }
    }

    /// Counts a decision.
    pub(crate) fn record_decision(&self, decision: &Decision) {
        match decision {
            Decision::RequestRefused { reason: why, .. } => {
                self.refusals.get_or_create(&name_label(why.to_string())).inc();
            }
            Decision::AttemptFailed { server, fault, .. } => {
                self.faults.get_or_create(&name_label(fault.to_string())).inc();
                self.attempt_ended(server, fault.into());
            }
            Decision::ResponseStarted { server, took_ms, expected_ms, .. } => {
                self.attempt_ended(server, "begun");
                self.first_byte_delay.observe((took_ms - expected_ms).max(0.0));
            }
            _ => {}
        }
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let it = registry.sub_registry_with_prefix("sesamelock");
        it.register("held_requests", "Requests that are held", self.held_requests.clone());
        it.register("ready", "Whether the instance is ready", self.ready.clone());
        it.register("document_version", "Configuration in force", self.document_version.clone());
        it.register("store_revision", "Platform's revision seen", self.store_revision.clone());
        it.register("requests", "Requests by route and outcome", self.requests.clone());
        it.register("team_requests", "Requests by team and outcome", self.team_requests.clone());
        it.register(
            "server_attempts",
            "Attempts by server and outcome",
            self.server_attempts.clone(),
        );
        it.register("retries_left", "Retries left by service", self.retries_left.clone());
        it.register("document_age_seconds", "Since it is in force", self.document_age.clone());
        it.register("store_age_seconds", "Since the store was heard", self.store_age.clone());
        it.register("peer_age_seconds", "Longest silence of a fellow", self.peer_age.clone());
        it.register("first_byte_seconds", "To the first byte", self.first_byte.clone());
        it.register("whole_seconds", "To the end", self.request_duration.clone());
        it.register("late_milliseconds", "Later than expected", self.first_byte_delay.clone());
        it.register("faults", "Failed attempts by fault", self.faults.clone());
        it.register("refusals", "Refusals by reason", self.refusals.clone());
        it.register("store_calls", "Calls by kind and answer", self.store_calls.clone());
        it.register("connections", "New connections to servers", self.server_connections.clone());
        it.register("lines_left_out", "Log lines left out", self.lines_left_out.clone());
        it.register("peer_messages", "Messages between instances", self.peer_messages.clone());
    }
}

/// Teams and servers that are kept apart; the others are counted together.
const NAMES_MAX: usize = 1_000;

/// Stands for all names that are not kept apart.
const OTHER: &str = "other";

/// A label of one name.
pub(crate) fn name_label(name: impl Into<String>) -> NameLabel {
    NameLabel { name: name.into() }
}
