//! What is believed of a backend server.

use std::fmt;

use serde::{Deserialize, Serialize};
use sl_base::{ServerId, Timestamp, hash};

use crate::{PromptPart, ServerRecord, engine::Engine, health::Health, note::AttemptKey};

/// Stands for one life of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u64);

impl ServerKey {
    /// The key of the life of server `id` that began at `born`.
    pub fn of(id: &str, born: u64) -> ServerKey {
        ServerKey(hash::weight(ServerId::of(id).0, born))
    }
}

impl fmt::Display for ServerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A backend server as this instance believes it to be.
#[derive(Clone, Debug)]
pub struct Server {
    /// The key of its life, which costs too much to be worked out for each request.
    pub key: ServerKey,
    /// What it says of itself.
    pub record: ServerRecord,
    /// What its answers have shown.
    pub health: Health,
    /// What kind of work it does.
    pub kind: ServerKind,
    /// When the engine is to be asked what it keeps; never once that is known.
    pub list_cache_at: Timestamp,
    /// When anything was last learnt of its work, here or from a peer.
    pub updated_at: Timestamp,
}

/// The work of a server.
#[derive(Clone, Debug)]
pub enum ServerKind {
    /// It is a model engine.
    Engine(Box<Engine>),
    /// It runs plain requests.
    Plain(PlainServer),
}

/// A server of plain requests: what it runs now, and how long an answer takes.
#[derive(Clone, Debug, Default)]
pub struct PlainServer {
    running: Vec<AttemptKey>,
    response_ms: f64,
    last_sent_at: Timestamp,
}

const MICROS_PER_MILLI: f64 = 1_000.0;

/// How much one answer weighs in the mean of a server's answers.
const ANSWER_WEIGHT: f64 = 0.1;

impl ServerKind {
    /// The model engine that it is, if it is one.
    pub fn engine(&self) -> Option<&Engine> {
        match self {
            ServerKind::Engine(engine) => Some(engine),
            ServerKind::Plain(_) => None,
        }
    }
}

impl PlainServer {
    /// Requests that it runs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The usual time to an answer in milliseconds.
    pub fn response_ms(&self) -> f64 {
        self.response_ms
    }

    /// When a request was sent to it last.
    pub fn last_sent_at(&self) -> Timestamp {
        self.last_sent_at
    }

    /// Notes how long an answer took.
    pub fn record_response_time(&mut self, millis: f64) {
        self.response_ms += (millis - self.response_ms) * ANSWER_WEIGHT;
    }
}

impl Server {
    /// Notes that a request was sent here; `tokens` are to be read.
    pub fn record_sent(&mut self, now: Timestamp, origin: AttemptKey, tokens: u32) {
        self.updated_at = now;
        match &mut self.kind {
            ServerKind::Engine(engine) => engine.record_sent(now, origin, tokens),
            ServerKind::Plain(plain) => {
                plain.running.push(origin);
                plain.last_sent_at = now;
            }
        }
    }

    /// Notes that prompts with these parts were sent here.
    pub fn record_cached_parts(&mut self, now: Timestamp, parts: &[PromptPart]) {
        if let ServerKind::Engine(engine) = &mut self.kind {
            engine.cache.record_use(now, parts);
        }
    }

    /// Notes that an answer began.
    pub fn record_response_start(&mut self, now: Timestamp, origin: AttemptKey) {
        self.updated_at = now;
        if let ServerKind::Engine(engine) = &mut self.kind {
            engine.record_first_token(now, origin);
        }
    }

    /// Notes that a request ended.
    pub fn record_end(&mut self, now: Timestamp, origin: AttemptKey) {
        self.updated_at = now;
        match &mut self.kind {
            ServerKind::Engine(engine) => engine.record_end(now, origin),
            ServerKind::Plain(plain) => plain.running.retain(|it| *it != origin),
        }
    }

    /// Notes how fast a stream was.
    pub fn record_event_interval(&mut self, now: Timestamp, pace_micros: Option<u32>) {
        if let (ServerKind::Engine(engine), Some(micros)) = (&mut self.kind, pace_micros) {
            engine.record_event_interval(now, f64::from(micros) / MICROS_PER_MILLI);
        }
    }

    /// Forgets the requests of instances for which `is_gone` holds, and those of which
    /// nothing was heard for long.
    pub fn prune(&mut self, now: Timestamp, is_gone: impl Fn(u32) -> bool) {
        match &mut self.kind {
            ServerKind::Engine(engine) => engine.prune(now, is_gone),
            ServerKind::Plain(plain) => plain.running.retain(|it| !is_gone(it.instance)),
        }
    }

    /// Requests that were sent here and have not ended.
    pub fn in_flight(&self) -> usize {
        match &self.kind {
            ServerKind::Engine(engine) => engine.queued() + engine.running(),
            ServerKind::Plain(plain) => plain.running(),
        }
    }
}
