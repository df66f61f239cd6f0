//! Counters and gauges. Label sets are bounded: codes, kinds and directions, never
//! teams, callers or paths.

use std::sync::Arc;

use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric, text},
    metrics::{
        counter::{ConstCounter, Counter},
        family::Family,
        gauge::Gauge,
        histogram::Histogram,
    },
    registry::Registry,
};
use sl_base::Code;
use sl_report::{Report, metrics::BurnRates};
use sl_step::event::AttemptEnd;

use crate::command::Seen;

/// All metrics of a daemon; clones are the same.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    answers: Family<Answer, Counter>,
    attempts: Family<Attempt, Counter>,
    notes: Family<Note, Counter>,
    waiting: Family<Pool, Gauge>,
    slots: Family<Slots, Gauge>,
    members: Family<Member, Gauge>,
    isolated: Gauge,
    claims_waiting: Gauge,
    burn: BurnRates,
    /// Seconds from a request's arrival to the head of its answer.
    pub(crate) first_byte: Histogram,
    /// Requests that the reducer decides on.
    pub(crate) held: Gauge,
    /// Attempts under way.
    pub(crate) running: Gauge,
    /// Commands that wait for the owner.
    pub(crate) commands: Gauge,
    /// The configuration revision in force.
    pub(crate) revision: Gauge,
    /// Whether new work is welcome.
    pub(crate) ready: Gauge,
    /// Backend servers on the platform's list.
    pub(crate) servers: Gauge,
    /// Fellow instances on the platform's list.
    pub(crate) instances: Gauge,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answer {
    outcome: &'static str,
    code: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Attempt {
    end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Note {
    what: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Pool {
    pool: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Slots {
    pool: String,
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Member {
    status: String,
}

impl Metrics {
    /// Metrics at zero; `peers` and `platform` count for themselves and are read when
    /// metrics are collected.
    pub(crate) fn new(peers: sl_peer::Counters, platform: sl_platform::Client) -> Metrics {
        let mut registry = Registry::with_prefix("sesamelock");
        let metrics = Metrics {
            burn: BurnRates::register(&mut registry),
            registry: Arc::default(),
            answers: Family::default(),
            attempts: Family::default(),
            notes: Family::default(),
            waiting: Family::default(),
            slots: Family::default(),
            members: Family::default(),
            isolated: Gauge::default(),
            claims_waiting: Gauge::default(),
            first_byte: Histogram::new(FIRST_BYTE_SECONDS),
            held: Gauge::default(),
            running: Gauge::default(),
            commands: Gauge::default(),
            revision: Gauge::default(),
            ready: Gauge::default(),
            servers: Gauge::default(),
            instances: Gauge::default(),
        };
        metrics.register(&mut registry);
        registry.register_collector(Box::new(Traffic { peers, platform }));
        Metrics { registry: Arc::new(registry), ..metrics }
    }

    /// Counts a final answer of ours.
    pub(crate) fn answered(&self, code: Code) {
        let answer = Answer { outcome: outcome(code), code: code.into() };
        self.answers.get_or_create(&answer).inc();
    }

    /// Counts how an attempt ended; a whole answer is a request's final one.
    pub(crate) fn ended(&self, end: AttemptEnd) {
        let name = end_name(end);
        self.attempts.get_or_create(&Attempt { end: name }).inc();
        if let AttemptEnd::Complete { status, .. } = end {
            let answer = Answer { outcome: "ran", code: class(status) };
            self.answers.get_or_create(&answer).inc();
        }
    }

    /// Counts a change of state.
    pub(crate) fn noted(&self, what: &'static str) {
        self.notes.get_or_create(&Note { what }).inc();
    }

    /// Takes over what the owner sees when metrics are collected. The platform's list
    /// bounds the number of pools.
    pub(crate) fn seen(&self, seen: &Seen) {
        self.waiting.clear();
        self.slots.clear();
        self.members.clear();
        let instance = &seen.instance;
        self.isolated.set(i64::from(instance.isolated));
        self.claims_waiting.set(instance.claims_waiting as i64);
        for it in &instance.services {
            let pool = it.pool.clone();
            let waiting = self.waiting.get_or_create(&Pool { pool });
            waiting.inc_by(i64::from(it.waiting));
        }
        for it in &seen.servers {
            self.add_slots(&it.pool, "listed", it.slots);
        }
        for it in &instance.windows {
            let server = seen.servers.iter().find(|other| other.name == it.server);
            let pool = server.map_or("", |it| it.pool.as_str());
            self.add_slots(pool, "lent", it.window);
            self.add_slots(pool, "busy", it.busy);
        }
        for it in &instance.members {
            let status = it.status.clone();
            self.members.get_or_create(&Member { status }).inc();
        }
    }

    fn add_slots(&self, pool: &str, state: &'static str, slots: u32) {
        let pool = pool.to_owned();
        let gauge = self.slots.get_or_create(&Slots { pool, state });
        gauge.inc_by(i64::from(slots));
    }

    /// Takes over the burn rates of this instance's own record.
    pub(crate) fn burning(&self, report: Option<&Report>) {
        if let Some(report) = report {
            self.burn.update(report);
        }
    }

    /// All metrics in OpenMetrics text.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string fails only where a collector does, and none does.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("answers", "Final answers", self.answers.clone());
        registry.register("attempts", "Attempts that ended", self.attempts.clone());
        registry.register("changes", "Changes of state", self.notes.clone());
        registry.register("waiting_requests", "Requests that wait", self.waiting.clone());
        registry.register("slots", "Slots of backend servers", self.slots.clone());
        registry.register("members", "Other instances by status", self.members.clone());
        registry.register(
            "first_byte_seconds",
            "From a request's arrival to the head of its answer",
            self.first_byte.clone(),
        );
        let gauges = [
            ("held_requests", "Requests inside", &self.held),
            ("running_attempts", "Attempts under way", &self.running),
            ("waiting_commands", "Commands before the reducer", &self.commands),
            ("config_revision", "Configuration in force", &self.revision),
            ("isolated", "Whether all others are out of reach", &self.isolated),
            ("waiting_claims", "Claims before their write", &self.claims_waiting),
            ("ready", "Whether new work is welcome", &self.ready),
            ("listed_servers", "Backend servers listed", &self.servers),
            ("listed_instances", "Instances listed", &self.instances),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}

fn outcome(code: Code) -> &'static str {
    match code.outcome() {
        sl_base::Outcome::Ran => "ran",
        sl_base::Outcome::NotRun => "not-run",
        sl_base::Outcome::Unknown => "unknown",
    }
}

fn class(status: u16) -> &'static str {
    match status / 100 {
        1 => "1xx",
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        _ => "5xx",
    }
}

fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::NotSent => "not-sent",
        AttemptEnd::Complete { .. } => "complete",
        AttemptEnd::LostBeforeAnswer => "lost-before-answer",
        AttemptEnd::LostMidway { .. } => "lost-midway",
        AttemptEnd::FirstByteTimeout => "first-byte-timeout",
        AttemptEnd::IdleTimeout { .. } => "idle-timeout",
        AttemptEnd::TotalTimeout { .. } => "total-timeout",
        AttemptEnd::Crossed => "crossed",
        AttemptEnd::Aborted { .. } => "aborted",
    }
}

/// Counts that the links and the platform's client keep themselves.
#[derive(Debug)]
struct Traffic {
    peers: sl_peer::Counters,
    platform: sl_platform::Client,
}

impl Collector for Traffic {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        self.encode_peers(&mut encoder)?;
        self.encode_platform(&mut encoder)
    }
}

impl Traffic {
    fn encode_peers(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let peers = self.peers.read();
        let ways = [("sent", peers.bytes_sent), ("received", peers.bytes_received)];
        family(encoder, "peer_bytes", "Control bytes to and from instances", "way", ways)?;
        let ways = [("sent", peers.frames_sent), ("received", peers.frames_received)];
        family(encoder, "peer_messages", "Control messages to and from instances", "way", ways)?;
        family(
            encoder,
            "peer_messages_unknown",
            "Control messages of a kind that this version does not know",
            "way",
            [("received", peers.unknown)],
        )
    }

    fn encode_platform(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let counted = sl_platform::Kind::ALL.map(|it| (it.name(), self.platform.counted(it)));
        let calls = counted.map(|(kind, it)| (kind, it.calls));
        family(encoder, "platform_calls", "Calls to the platform", "kind", calls)?;
        let lost = counted.map(|(kind, it)| (kind, it.lost));
        family(encoder, "platform_lost", "Platform calls without answer", "kind", lost)?;
        let refused = counted.map(|(kind, it)| (kind, it.refused));
        family(encoder, "platform_refused", "Platform calls refused", "kind", refused)?;
        let sent = counted.map(|(kind, it)| (kind, it.bytes_sent));
        family(encoder, "platform_sent_bytes", "Bytes to the platform", "kind", sent)?;
        let received = counted.map(|(kind, it)| (kind, it.bytes_received));
        family(encoder, "platform_received_bytes", "Bytes from the platform", "kind", received)
    }
}

fn family<const N: usize>(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    label: &str,
    counts: [(&'static str, u64); N],
) -> Result<(), std::fmt::Error> {
    let kind = ConstCounter::new(0u64);
    let mut metric = encoder.encode_descriptor(name, help, None, kind.metric_type())?;
    for (value, count) in counts {
        let labels = [(label, value)];
        ConstCounter::new(count).encode(metric.encode_family(&labels)?)?;
    }
    Ok(())
}

/// Upper bounds of the first byte's histogram, in seconds.
const FIRST_BYTE_SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];
