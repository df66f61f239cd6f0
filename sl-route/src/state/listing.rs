//! Configuration and servers, as the platform lists them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use sl_base::{Millis, PoolId, Timestamp};

use super::State;
use crate::{
    Decision, Document, Effect, ServerKey, ServerRecord,
    engine::{Engine, FASTER_MAX, Guess},
    health::Health,
    server::{PlainServer, Server, ServerKind},
};

/// The guess at an engine where nothing is known. What it really is shows at once.
const ANY_ENGINE: Guess = Guess { tokens_per_ms: 30.0, weight: 2_000.0, faster_max: f64::INFINITY };

/// The guess at an engine whose like are measured.
const LIKE_OTHERS: Guess = Guess { tokens_per_ms: 30.0, weight: 20_000.0, faster_max: FASTER_MAX };

/// The part of the others' speed that is expected of an engine that has not been tried:
/// most of those have just started, and read slowly at first.
const YOUNG_PART: f64 = 0.5;

/// An engine that has just become known is asked what it keeps this much later: peers may
/// know it, and tell at less cost.
const LIST_AFTER: Millis = Millis(350);

/// Milliseconds in a second.
const MILLIS: f64 = 1_000.0;

impl State {
    pub(super) fn take_document(&mut self, now: Timestamp, document: Arc<Document>) {
        if document.version <= self.document.version {
            return;
        }
        self.document = document;
        // Servers that were listed before their service was known are modelled now.
        let records: Vec<ServerRecord> = self.directory.records().cloned().collect();
        for record in records {
            self.model(now, record);
        }
    }

    pub(super) fn listed(&mut self, now: Timestamp, record: ServerRecord) {
        let id = record.id.clone();
        let before = self.directory.get(&id).map(ServerRecord::key);
        let state = record.state.into();
        let key = record.key();
        if !self.directory.put(record.clone()) {
            return;
        }
        if let Some(before) = before.filter(|it| *it != key) {
            self.servers.remove(&before);
        }
        self.model(now, record);
        self.is_indexed = false;
        self.effects.push(Effect::Log(Decision::ServerChanged { server: id, state }));
    }

    pub(super) fn unlisted(&mut self, _: Timestamp, id: &Arc<str>) {
        let key = self.directory.get(id).map(ServerRecord::key);
        if !self.directory.remove(id) {
            return;
        }
        if let Some(key) = key {
            self.servers.remove(&key);
        }
        self.is_indexed = false;
        let decision = Decision::ServerChanged { server: id.clone(), state: "gone" };
        self.effects.push(Effect::Log(decision));
    }

    pub(super) fn confirm_listing(&mut self, now: Timestamp) {
        self.directory.confirm_missing(now);
        self.expire_listing(now);
    }

    pub(super) fn expire_listing(&mut self, now: Timestamp) {
        let gone = self.directory.expire(now);
        if gone.is_empty() {
            return;
        }
        for server in gone {
            self.effects.push(Effect::Log(Decision::ServerChanged { server, state: "lapsed" }));
        }
        let listed: HashSet<_> = self.directory.records().map(ServerRecord::key).collect();
        self.servers.retain(|key, _| listed.contains(key));
        self.is_indexed = false;
    }

    fn model(&mut self, now: Timestamp, record: ServerRecord) {
        let key = record.key();
        if let Some(server) = self.servers.get_mut(&key) {
            server.record = record;
            return;
        }
        let Some(service) = self.document.services.get(&record.service) else {
            return;
        };
        let work = match service.engine {
            Some(limits) => ServerKind::Engine(Box::new(Engine::new(now, limits, ANY_ENGINE))),
            None => ServerKind::Plain(PlainServer::default()),
        };
        self.servers.insert(
            key,
            Server {
                key,
                record,
                health: Health::new(now),
                kind: work,
                list_cache_at: now.after(LIST_AFTER),
                updated_at: now,
            },
        );
        self.is_indexed = false;
    }

    /// A guess at an engine's reading speed: the mean of those like it that are measured,
    /// else an even part of what all are said to produce.
    fn guess(&self, servers: &[ServerKey]) -> Guess {
        let engines = servers.iter().filter_map(|it| self.servers.get(it)?.kind.engine());
        let speeds: Vec<f64> =
            engines.filter(|it| it.is_measured()).map(Engine::tokens_per_ms).collect();
        if !speeds.is_empty() {
            let mean = speeds.iter().sum::<f64>() / speeds.len() as f64;
            return Guess { tokens_per_ms: mean * YOUNG_PART, ..LIKE_OTHERS };
        }
        self.document.limits.tokens_per_s.map_or(ANY_ENGINE, |tokens_per_s| {
            let tokens_per_ms = tokens_per_s / MILLIS / servers.len().max(1) as f64;
            Guess { tokens_per_ms, ..ANY_ENGINE }
        })
    }

    /// Brings the lists of servers by service up to date. A listing of all servers comes as
    /// one event for each, so that this waits for the first event of another kind.
    pub(super) fn index(&mut self) {
        if std::mem::replace(&mut self.is_indexed, true) {
            return;
        }
        self.pools.clear();
        for (key, server) in &self.servers {
            self.pools.entry(server.record.service).or_default().push(*key);
        }
        for keys in self.pools.values_mut() {
            keys.sort_unstable();
        }
        self.assume_speeds();
    }

    /// Takes another guess at the speeds of the engines that have read nothing yet.
    pub(super) fn assume_speeds(&mut self) {
        let guesses: HashMap<PoolId, Guess> =
            self.pools.iter().map(|(&id, servers)| (id, self.guess(servers))).collect();
        for server in self.servers.values_mut() {
            let guess = guesses.get(&server.record.service);
            if let (ServerKind::Engine(engine), Some(&guess)) = (&mut server.kind, guess) {
                engine.assume(guess);
            }
        }
    }
}
