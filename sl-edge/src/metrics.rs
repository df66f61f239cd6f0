//! Prometheus metrics. Labels are names of routes, teams, servers, outcomes and reasons, whose
//! number is bounded; ids of requests are in the log only.

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
use sl_base::Timestamp;
use sl_route::{
    Decision,
    activity::{TeamTokens, TokenOutcome},
    route_balance::RouteBalance,
};
use strum::IntoEnumIterator;

/// The label of a metric with one label, `name`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NameLabel {
    name: String,
}

/// The label of an evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DataCentreLabel {
    data_centre: String,
}

/// The labels of requests counted by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteOutcomeLabels {
    route: String,
    outcome: String,
}

/// The labels of requests counted by team, and of attempts counted by server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NameOutcomeLabels {
    name: String,
    outcome: String,
}

/// A gauge with fractions, for seconds and for retry budgets.
type FloatGauge = Gauge<f64, AtomicU64>;

/// A counter with fractions, for seconds.
type FloatCounter = Counter<f64, AtomicU64>;

/// All metrics of an instance; clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Teams and servers that have label values of their own; see [`NAMES_MAX`].
    names: Arc<Mutex<HashSet<String>>>,
    /// Requests in flight on the instance.
    pub requests_in_flight: Gauge,
    /// 1 while the instance is ready, and 0 while it is not.
    pub ready: Gauge,
    /// The version of the configuration in force.
    pub document_version: Gauge,
    /// The store revision up to which the instance has every change.
    pub store_revision: Gauge,
    /// The era of the store, which rises when the store is restored from an older copy.
    pub store_era: Gauge,
    /// Restores of the store that the instance has noticed.
    pub store_restores: Counter,
    /// How often the instance turned to the store because its peers did not tell it what it lacked.
    pub peer_fetch_fallbacks: Counter,
    /// Bytes and frames over the links to peers.
    pub link_traffic: sl_peer::Counters,
    /// Bytes sent over these links.
    link_bytes_sent: Gauge,
    /// Bytes received over these links.
    link_bytes_received: Gauge,
    /// Outages of the store that were long enough for leases to lapse.
    pub store_outages: Counter,
    /// Configurations in the store that could not be read.
    pub configurations_malformed: Counter,
    /// Values of the configuration in force that are not used as written.
    pub configuration_deviations: Gauge,
    /// Times that the last answer of the store became too old for peers to rely on this instance.
    pub store_claims_lapsed: Counter,
    /// Requests for the health of servers, while the store was silent.
    pub health_checks: Counter,
    /// Requests by route and outcome.
    pub requests: Family<RouteOutcomeLabels, Counter>,
    /// Requests by team and outcome.
    pub team_requests: Family<NameOutcomeLabels, Counter>,
    /// Tokens of requests by team, requested and by outcome.
    pub team_tokens: Family<NameOutcomeLabels, Counter>,
    /// Attempts by server and outcome.
    pub server_attempts: Family<NameOutcomeLabels, Counter>,
    /// Attempts that stayed in the data centre of the instance (`stay`) or left it (`leave`).
    pub data_centre_requests: Family<NameLabel, Counter>,
    /// Bytes of the bodies sent to other data centres.
    pub data_centre_bytes: Counter,
    /// Retries left in this instance's budget, by service.
    pub retries_left: Family<NameLabel, FloatGauge>,
    /// 1 while the operator has evacuated a data centre, and 0 afterwards.
    pub evacuated: Family<DataCentreLabel, Gauge>,
    /// Servers that name a limit on the requests of all instances.
    pub limited_servers: Gauge,
    /// Servers that are cold, and so get few requests.
    pub cold_servers: Gauge,
    /// Services whose requests are refused for lack of time or slots.
    pub contended_services: Gauge,
    /// Requests refused because they would end after their deadline.
    pub ends_late: Counter,
    /// The fraction of the requests of the last seconds that was admitted, by route; see
    /// [`RouteBalance::routes`].
    pub route_admitted: Family<NameLabel, FloatGauge>,
    /// Seconds since the configuration came into force here.
    pub document_age: FloatGauge,
    /// Seconds since the store's contents were last known to be current, from the store or from
    /// a peer that follows it.
    pub store_age: FloatGauge,
    /// Seconds since the last message of the peer whose last message is the oldest; 0 without
    /// peers.
    pub peer_age: FloatGauge,
    /// Seconds from a request's arrival to the first byte of its response, by route.
    pub first_byte: Family<NameLabel, Histogram>,
    /// Seconds from a request's arrival to its end, by route.
    pub request_duration: Family<NameLabel, Histogram>,
    /// Milliseconds by which first bytes came later than expected; 0 for those in time.
    pub first_byte_delay: Histogram,
    /// Actual relative to expected time to the first token of attempts at engines, by kind of attempt.
    pub first_token_ratio: Family<NameLabel, Histogram>,
    /// Failed attempts, by fault.
    pub faults: Family<NameLabel, Counter>,
    /// Requests refused without being run, by reason.
    pub refusals: Family<NameLabel, Counter>,
    /// Streams that callers took up again, by what is known of where they began.
    pub streams_resumed: Family<NameLabel, Counter>,
    /// Batches of stream origins that the instance has written to the store.
    pub stream_origin_batches: Counter,
    /// Streams in the batches that the instance has read from the store.
    pub stream_origins_read: Counter,
    /// Crash records that the instance has written to the store.
    pub crash_records_written: Counter,
    /// Calls to the platform's store, by kind and result: the status or `unanswered`.
    pub store_calls: Family<NameLabel, Counter>,
    /// Connections that callers have opened.
    pub caller_connections: Counter,
    /// Request heads that were read.
    pub request_heads: Counter,
    /// Responses of which the caller did not get all, by reason.
    pub undelivered: Family<NameLabel, Counter>,
    /// Connections that failed because the host of a caller or server acknowledged nothing.
    pub hosts_gone: Counter,
    /// Seconds spent on messages from peers.
    pub note_seconds: FloatCounter,
    /// New connections to backend servers.
    pub server_connections: Counter,
    /// Datagrams sent to and received from peers, by result.
    pub peer_messages: Family<NameLabel, Counter>,
    /// Log lines about requests that were dropped (see [`crate::detail`]).
    pub log_lines_dropped: Counter,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}

/// The upper bound of the first bucket in histograms of seconds; each further one doubles it.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
/// The same in the histogram of milliseconds.
const FIRST_BUCKET_MILLIS: f64 = 5.0;
const BUCKETS: u16 = 14;

fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}

/// The upper bound of the first bucket in histograms of ratios; the sixth bucket ends at 1.
const FIRST_BUCKET_RATIO: f64 = 1.0 / 32.0;

fn ratio_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_RATIO, 2.0, BUCKETS))
}

impl Default for Metrics {
    fn default() -> Metrics {
        let metrics = Metrics {
            registry: Arc::default(),
            names: Arc::default(),
            requests_in_flight: Gauge::default(),
            ready: Gauge::default(),
            document_version: Gauge::default(),
            store_revision: Gauge::default(),
            store_era: Gauge::default(),
            store_restores: Counter::default(),
            peer_fetch_fallbacks: Counter::default(),
            link_traffic: sl_peer::Counters::default(),
            link_bytes_sent: Gauge::default(),
            link_bytes_received: Gauge::default(),
            store_outages: Counter::default(),
            configurations_malformed: Counter::default(),
            configuration_deviations: Gauge::default(),
            store_claims_lapsed: Counter::default(),
            health_checks: Counter::default(),
            requests: Family::default(),
            team_requests: Family::default(),
            team_tokens: Family::default(),
            server_attempts: Family::default(),
            data_centre_requests: Family::default(),
            data_centre_bytes: Counter::default(),
            retries_left: Family::default(),
            evacuated: Family::default(),
            limited_servers: Gauge::default(),
            cold_servers: Gauge::default(),
            contended_services: Gauge::default(),
            ends_late: Counter::default(),
            route_admitted: Family::default(),
            document_age: Gauge::default(),
            store_age: Gauge::default(),
            peer_age: Gauge::default(),
            first_byte: Family::new_with_constructor(seconds_histogram),
            request_duration: Family::new_with_constructor(seconds_histogram),
            first_byte_delay: Histogram::new(exponential_buckets(
                FIRST_BUCKET_MILLIS,
                2.0,
                BUCKETS,
            )),
            first_token_ratio: Family::new_with_constructor(ratio_histogram),
            faults: Family::default(),
            refusals: Family::default(),
            streams_resumed: Family::default(),
            stream_origin_batches: Counter::default(),
            stream_origins_read: Counter::default(),
            crash_records_written: Counter::default(),
            store_calls: Family::default(),
            caller_connections: Counter::default(),
            request_heads: Counter::default(),
            undelivered: Family::default(),
            hosts_gone: Counter::default(),
            note_seconds: FloatCounter::default(),
            server_connections: Counter::default(),
            peer_messages: Family::default(),
            log_lines_dropped: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Encodes all metrics in the text format of OpenMetrics.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let traffic = self.link_traffic.read();
        self.link_bytes_sent.set(traffic.bytes_sent as i64);
        self.link_bytes_received.set(traffic.bytes_received as i64);
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Counts a call to the platform's store with its status, or `unanswered`.
    pub fn record_store_call(&self, kind: &str, result: impl fmt::Display) {
        self.store_calls.get_or_create(&name_label(format!("{kind} {result}"))).inc();
    }

    /// Counts a finished request by its outcome and records its duration. `team` is empty if
    /// the request has none.
    pub fn record_request(&self, route: &str, team: &str, outcome: &str, seconds: f64) {
        self.record_team_request(team, outcome);
        let label = RouteOutcomeLabels { route: route.to_owned(), outcome: outcome.to_owned() };
        self.requests.get_or_create(&label).inc();
        self.request_duration.get_or_create(&name_label(route)).observe(seconds);
    }

    fn record_team_request(&self, team: &str, outcome: &str) {
        if !team.is_empty() {
            self.team_requests.get_or_create(&self.name_outcome_labels(team, outcome)).inc();
        }
    }

    fn record_attempt(&self, server: &str, outcome: &str) {
        self.server_attempts.get_or_create(&self.name_outcome_labels(server, outcome)).inc();
    }

    /// The labels for a team or server, with [`OTHER`] once there are [`NAMES_MAX`] names.
    fn name_outcome_labels(&self, name: &str, outcome: &str) -> NameOutcomeLabels {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !names.contains(name);
        let has_room = names.len() < NAMES_MAX;
        if is_new && has_room {
            names.insert(name.to_owned());
        }
        let name = if is_new && !has_room { OTHER } else { name };
        NameOutcomeLabels { name: name.to_owned(), outcome: outcome.to_owned() }
    }

    /// Counts refusals, sent and failed attempts, and started responses.
    pub(crate) fn record_decision(&self, decision: &Decision) {
        match decision {
            Decision::AttemptSent { left_data_centre, body_bytes, .. } => {
                self.record_data_centre(left_data_centre.is_some(), *body_bytes);
            }
            Decision::RequestRefused { reason, .. } => {
                self.refusals.get_or_create(&name_label(reason.to_string())).inc();
            }
            Decision::AttemptFailed { server, fault, .. } => {
                self.faults.get_or_create(&name_label(fault.to_string())).inc();
                self.record_attempt(server, fault.into());
            }
            Decision::ResponseStarted { server, kind, took_ms, expected_ms, .. } => {
                self.record_attempt(server, "begun");
                if let Some(kind) = kind {
                    let label = name_label(kind.to_string());
                    let ratio = took_ms / expected_ms.max(1.0);
                    self.first_token_ratio.get_or_create(&label).observe(ratio);
                }
                self.first_byte_delay.observe((took_ms - expected_ms).max(0.0));
            }
            Decision::DataCentreEvacuated { data_centre, .. } => self.set_evacuated(data_centre, 1),
            Decision::DataCentreReturned { data_centre, .. } => self.set_evacuated(data_centre, 0),
            Decision::TeamActivity { tokens, .. } => self.record_team_tokens(tokens),
            Decision::StreamResumed { known, .. } => {
                self.streams_resumed.get_or_create(&name_label(known.to_string())).inc();
            }
            _ => {}
        }
    }

    fn record_data_centre(&self, has_left: bool, body_bytes: u64) {
        let name = if has_left { "leave" } else { "stay" };
        self.data_centre_requests.get_or_create(&name_label(name)).inc();
        if has_left {
            self.data_centre_bytes.inc_by(body_bytes);
        }
    }

    /// Updates what is reported of the admission of requests to engines.
    pub(crate) fn update_admission(&self, now: Timestamp, balance: &RouteBalance) {
        self.contended_services.set(balance.contended_services(now) as i64);
        self.ends_late.inc_by(balance.ends_late().saturating_sub(self.ends_late.get()));
        self.route_admitted.clear();
        for route in balance.routes(now) {
            let label = name_label(route.route);
            self.route_admitted.get_or_create(&label).set(route.admitted_fraction);
        }
    }

    fn set_evacuated(&self, data_centre: &str, value: i64) {
        let label = DataCentreLabel { data_centre: data_centre.to_owned() };
        self.evacuated.get_or_create(&label).set(value);
    }

    fn record_team_tokens(&self, tokens: &TeamTokens) {
        let count = |outcome: &str, tokens_count: u64| {
            let labels = self.name_outcome_labels(&tokens.team.name, outcome);
            self.team_tokens.get_or_create(&labels).inc_by(tokens_count);
        };
        count("requested", tokens.requested);
        for outcome in TokenOutcome::iter() {
            count(outcome.into(), tokens.of(outcome));
        }
    }

    fn register_admission(&self, it: &mut Registry) {
        it.register(
            "contended_services",
            "Services whose requests are refused for lack of time or slots",
            self.contended_services.clone(),
        );
        it.register(
            "ends_late",
            "Requests refused because they would end after their deadline",
            self.ends_late.clone(),
        );
        it.register(
            "route_admitted",
            "Admitted fraction of the requests of the last seconds by route",
            self.route_admitted.clone(),
        );
    }

    fn register_work(&self, it: &mut Registry) {
        it.register(
            "caller_connections",
            "Connections opened by callers",
            self.caller_connections.clone(),
        );
        it.register("connections", "New connections to servers", self.server_connections.clone());
        it.register("peer_messages", "Messages between instances", self.peer_messages.clone());
        it.register("request_heads", "Request heads read", self.request_heads.clone());
        it.register(
            "undelivered",
            "Responses of which the caller did not get all by reason",
            self.undelivered.clone(),
        );
        it.register(
            "hosts_gone",
            "Connections whose peer's host acknowledged nothing",
            self.hosts_gone.clone(),
        );
        it.register("note_seconds", "Time spent on messages from peers", self.note_seconds.clone());
    }

    fn register_streams(&self, it: &mut Registry) {
        it.register(
            "streams_resumed",
            "Streams resumed by callers, by what is known of where they began",
            self.streams_resumed.clone(),
        );
        it.register(
            "stream_origin_batches",
            "Batches of stream origins written to the store",
            self.stream_origin_batches.clone(),
        );
        it.register(
            "stream_origins_read",
            "Streams in the batches read from the store",
            self.stream_origins_read.clone(),
        );
    }

    /// Registers what tells of the platform's store.
    fn register_store(&self, it: &mut Registry) {
        it.register("store_revision", "Platform's revision seen", self.store_revision.clone());
        it.register("store_era", "Platform's era seen", self.store_era.clone());
        it.register(
            "store_restores",
            "Restores of the platform's store",
            self.store_restores.clone(),
        );
        it.register(
            "link_bytes_sent",
            "Bytes sent over links to peers since the start",
            self.link_bytes_sent.clone(),
        );
        it.register(
            "link_bytes_received",
            "Bytes received over links from peers since the start",
            self.link_bytes_received.clone(),
        );
        it.register(
            "peer_fetch_fallbacks",
            "Turns to the platform's store for changes not received from peers",
            self.peer_fetch_fallbacks.clone(),
        );
        it.register(
            "store_outages",
            "Outages of the platform's store in which leases may have lapsed",
            self.store_outages.clone(),
        );
        it.register(
            "configurations_malformed",
            "Configurations in the platform's store that could not be read",
            self.configurations_malformed.clone(),
        );
        it.register(
            "configuration_deviations",
            "Values of the configuration in force that are not used as written",
            self.configuration_deviations.clone(),
        );
        it.register(
            "store_claims_lapsed",
            "Times that the last answer of the platform's store became too old for peers to rely on",
            self.store_claims_lapsed.clone(),
        );
        it.register(
            "health_checks",
            "Requests for the health of servers, while the platform's store was silent",
            self.health_checks.clone(),
        );
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let it = registry.sub_registry_with_prefix("sesamelock");
        it.register("held_requests", "Requests that are held", self.requests_in_flight.clone());
        it.register("ready", "Whether the instance is ready", self.ready.clone());
        it.register("document_version", "Configuration in force", self.document_version.clone());
        self.register_store(it);
        it.register("requests", "Requests by route and outcome", self.requests.clone());
        it.register("team_requests", "Requests by team and outcome", self.team_requests.clone());
        it.register("team_tokens", "Tokens by team and outcome", self.team_tokens.clone());
        it.register(
            "server_attempts",
            "Attempts by server and outcome",
            self.server_attempts.clone(),
        );
        it.register("evacuated", "Whether the data centre is evacuated", self.evacuated.clone());
        it.register(
            "limited_servers",
            "Servers that name a limit on the requests of all instances",
            self.limited_servers.clone(),
        );
        it.register(
            "data_centre_requests",
            "Attempts that stayed in the data centre or left it",
            self.data_centre_requests.clone(),
        );
        it.register(
            "data_centre_bytes",
            "Bytes of bodies sent to other data centres",
            self.data_centre_bytes.clone(),
        );
        it.register(
            "cold_servers",
            "Servers that are cold and get few requests",
            self.cold_servers.clone(),
        );
        self.register_admission(it);
        self.register_work(it);
        it.register("retries_left", "Retries left by service", self.retries_left.clone());
        it.register("document_age_seconds", "Since it is in force", self.document_age.clone());
        it.register("store_age_seconds", "Since the store was heard", self.store_age.clone());
        it.register("peer_age_seconds", "Longest silence of a fellow", self.peer_age.clone());
        it.register("first_byte_seconds", "To the first byte", self.first_byte.clone());
        it.register("whole_seconds", "To the end", self.request_duration.clone());
        it.register("late_milliseconds", "Later than expected", self.first_byte_delay.clone());
        it.register(
            "first_token_ratio",
            "Actual relative to expected time to the first token by kind of attempt",
            self.first_token_ratio.clone(),
        );
        it.register("faults", "Failed attempts by fault", self.faults.clone());
        it.register("refusals", "Refusals by reason", self.refusals.clone());
        self.register_streams(it);
        it.register(
            "crash_records_written",
            "Crash records written to the store",
            self.crash_records_written.clone(),
        );
        it.register("store_calls", "Calls by kind and answer", self.store_calls.clone());
        it.register("lines_left_out", "Log lines left out", self.log_lines_dropped.clone());
    }
}

/// How many teams and servers have label values of their own, so that the number of series is
/// bounded; the others are counted together as [`OTHER`].
const NAMES_MAX: usize = 1_000;

/// The label value for all names beyond [`NAMES_MAX`].
const OTHER: &str = "other";

/// Builds the label `name`.
pub(crate) fn name_label(name: impl Into<String>) -> NameLabel {
    NameLabel { name: name.into() }
}
