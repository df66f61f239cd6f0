//! The model of a backend server: its record, health and estimated load.

use std::fmt;

use serde::{Deserialize, Serialize};
use sl_base::{Millis, ServerId, Timestamp, hash};

use crate::{
    PromptPart, ServerRecord, ServerState, breaker::Breaker, document::WarmupLimits,
    engine::Engine, health::Health, note::AttemptKey, response_times::ResponseTimes,
    send_limit::SendLimit, warmup::ColdSlots,
};

/// Identifies one run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The key of the run of server `id` that started at `started_at_ms`, in milliseconds since
    /// the Unix epoch.
    pub fn of(id: &str, started_at_ms: u64) -> ServerKey {
        ServerKey(hash::weight(ServerId::of(id).0, started_at_ms))
    }

    /// The key of the same run if the server's entry names the software version `version`.
    pub fn of_version(self, version: &str) -> ServerKey {
        ServerKey(hash::weight(self.0, ServerId::of(version).0))
    }
}

impl fmt::Display for ServerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A backend server as seen by this instance.
#[derive(Clone, Debug)]
pub struct Server {
    /// The key of the server's current run, stored because computing it for each request is too
    /// expensive.
    pub key: ServerKey,
    /// The server's entry in the platform's store.
    pub record: ServerRecord,
    /// The server's health, derived from its responses.
    pub health: Health,
    /// Whether the server refuses connections.
    pub breaker: Breaker,
    /// The kind of server and its load.
    pub kind: ServerKind,
    /// When to request the list of the engine's cached parts; [`Timestamp::NEVER`] once its
    /// cache contents are known.
    pub list_cache_at: Timestamp,
    /// Attempts of this instance in flight on the server; each holds a connection to it.
    pub own_in_flight: usize,
    /// When the load was last updated, by this instance or a peer.
    pub updated_at: Timestamp,
    /// Whether the server announced in a response that it shuts down.
    pub has_announced_drain: bool,
    /// Until then, the server begins no streams that another one can begin, because the version
    /// record lacks its version.
    pub unrecorded_until: Timestamp,
    /// Whether the run crashed, was unreachable, and has not written its entry again since. What
    /// answers now at the address may be another run under the same id, of another software version.
    pub may_have_restarted: bool,
    /// The server asked this instance to send it no requests before this time.
    pub paused_until: Timestamp,
    /// Until then the server is cold: it is slow and bears few requests.
    pub cold_until: Timestamp,
    /// Until when the peers were told that the server is cold.
    pub cold_announced_until: Timestamp,
    /// From then on an entry that states no warm-up ends it. An earlier one may have been written
    /// before the server turned cold.
    pub warm_entries_from: Timestamp,
    /// What the server takes while it is cold; `None` if it never is.
    pub warmup: Option<WarmupLimits>,
    /// When this instance may ask the server for its health again; never while it awaits a response.
    pub check_health_at: Timestamp,
    /// When this instance may send to the server while it is cold.
    pub cold_slots: ColdSlots,
    /// The limit that the server names on the requests of all instances; `None` without one.
    pub send_limit: Option<SendLimit>,
}

/// The kind of a server and the model of its load.
#[derive(Clone, Debug)]
pub enum ServerKind {
    /// A model engine, which prefills prompts and caches their parts.
    Engine(Box<Engine>),
    /// A server of requests other than model requests.
    Plain(PlainServer),
}

/// The load of a server that is not a model engine: its requests in flight and its response times.
#[derive(Clone, Debug, Default)]
pub struct PlainServer {
    /// How long this instance's requests take.
    pub response_times: ResponseTimes,
    in_flight: Vec<PlainAttempt>,
    last_sent_at: Timestamp,
}

/// An attempt in flight on a plain server.
#[derive(Clone, Copy, Debug)]
struct PlainAttempt {
    key: AttemptKey,
    /// The attempt has ended by then; the note of its end was lost if it did not come.
    expires_at: Timestamp,
}

const MICROS_PER_MILLI: f64 = 1_000.0;

impl ServerKind {
    /// The model engine, if the server is one.
    pub fn engine(&self) -> Option<&Engine> {
        match self {
            ServerKind::Engine(engine) => Some(engine),
            ServerKind::Plain(_) => None,
        }
    }
}

impl PlainServer {
    /// The number of requests in flight on the server.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// When a request was last sent to the server.
    pub fn last_sent_at(&self) -> Timestamp {
        self.last_sent_at
    }

    fn remove(&mut self, key: AttemptKey) {
        if let Some(index) = self.in_flight.iter().position(|it| it.key == key) {
            self.in_flight.swap_remove(index);
        }
    }
}

impl Server {
    /// Whether the server accepts new requests, now or after a pause that it asked for.
    pub fn is_in_service(&self) -> bool {
        self.record.state == ServerState::Ready && !self.has_announced_drain
    }

    /// Whether requests go to other servers if there are any.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.health.is_avoided(now) || !self.breaker.allows(now)
    }

    /// Whether the server asked this instance to send it no requests for now.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        !self.paused_until.is_due(now)
    }

    /// When this instance may send the server a request: the past, if it may now. For `slot_delay` see
    /// [`SendLimit::opens_at`].
    pub fn opens_at(&self, now: Timestamp, slot_delay: f64) -> Timestamp {
        let limit = self.send_limit.as_ref();
        let limit_opens_at = limit.map_or(self.paused_until, |it| it.opens_at(now, slot_delay));
        limit_opens_at.max(self.paused_until).max(self.cold_opens_at(now))
    }

    /// Whether the server is cold, or may be because it may have restarted.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.warmup.is_some() && (self.may_have_restarted || !self.cold_until.is_due(now))
    }

    /// Whether the server may turn cold without having announced it yet.
    pub fn may_turn_cold(&self, now: Timestamp) -> bool {
        self.warmup.is_some() && !self.is_cold(now)
    }

    /// For how long the server is still cold. One that may have restarted is assumed to have done so
    /// just now.
    pub fn cold_for(&self, now: Timestamp) -> Millis {
        let Some(warmup) = self.warmup else {
            return Millis(0);
        };
        let restarted = if self.may_have_restarted { warmup.duration } else { Millis(0) };
        restarted.max(self.cold_until.remaining(now))
    }

    fn cold_opens_at(&self, now: Timestamp) -> Timestamp {
        if !self.is_cold(now) {
            return Timestamp::default();
        }
        self.cold_slots.opens_at(now.after(self.cold_for(now)))
    }

    /// Records that a request was sent to the server; `tokens` is the number of prompt tokens
    /// that an engine has to prefill. By `expires_at` the attempt has ended, whether its end was
    /// recorded or not.
    pub fn record_sent(
        &mut self,
        now: Timestamp,
        key: AttemptKey,
        tokens: u32,
        expires_at: Timestamp,
    ) {
        self.updated_at = now;
        match &mut self.kind {
            ServerKind::Engine(engine) => engine.record_sent(now, key, tokens, expires_at),
            ServerKind::Plain(plain) => {
                plain.in_flight.push(PlainAttempt { key, expires_at });
                plain.last_sent_at = now;
            }
        }
    }

    /// Records that this instance sent a request to the server.
    pub fn record_own_send(&mut self, now: Timestamp) {
        if let Some(limit) = &mut self.send_limit {
            limit.record_own_send(now);
        }
        if self.is_cold(now) {
            self.cold_slots.record_send(now);
        }
        self.own_in_flight += 1;
    }

    /// Records that an engine was sent a prompt with `parts` and will cache them.
    pub fn record_cached_parts(&mut self, now: Timestamp, parts: &[PromptPart]) {
        if let ServerKind::Engine(engine) = &mut self.kind {
            engine.record_cached_parts(now, parts);
        }
    }

    /// Records that the response to an attempt started.
    pub fn record_response_start(&mut self, now: Timestamp, key: AttemptKey) {
        self.updated_at = now;
        if let ServerKind::Engine(engine) = &mut self.kind {
            engine.record_first_token(now, key);
        }
    }

    /// Records that an attempt ended.
    pub fn record_end(&mut self, now: Timestamp, key: AttemptKey) {
        self.updated_at = now;
        match &mut self.kind {
            ServerKind::Engine(engine) => engine.record_end(now, key),
            ServerKind::Plain(plain) => plain.remove(key),
        }
    }

    /// Records the mean interval between the events of a stream that has just completed. To be
    /// called before the end of the attempt is recorded.
    pub fn record_event_interval(
        &mut self,
        now: Timestamp,
        key: AttemptKey,
        event_interval_micros: Option<u32>,
    ) {
        if let (ServerKind::Engine(engine), Some(micros)) = (&mut self.kind, event_interval_micros)
        {
            engine.record_event_interval(now, key, f64::from(micros) / MICROS_PER_MILLI);
        }
    }

    /// Drops the attempts of instances for which `is_removed` returns true, those that must have
    /// ended and, on engines, those that are long overdue.
    pub fn prune(&mut self, now: Timestamp, is_removed: impl Fn(u32) -> bool) {
        match &mut self.kind {
            ServerKind::Engine(engine) => engine.prune(now, is_removed),
            ServerKind::Plain(plain) => plain
                .in_flight
                .retain(|it| !is_removed(it.key.instance) && !it.expires_at.is_due(now)),
        }
    }

    /// The number of attempts that were sent to the server and have not ended.
    pub fn in_flight(&self) -> usize {
        match &self.kind {
            ServerKind::Engine(engine) => engine.queued() + engine.running(),
            ServerKind::Plain(plain) => plain.in_flight(),
        }
    }
}
