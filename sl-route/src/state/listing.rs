//! Configuration and servers, as the platform lists them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use sl_base::{Millis, PoolId, Timestamp};

use super::State;
use crate::{
    Decision, Document, Effect, ServerKey, ServerRecord,
    engine::{Engine, SPEEDUP_MAX, SpeedPrior},
    health::Health,
    server::{PlainServer, Server, ServerKind},
};

/// The guess at an engine where nothing is known. What it really is shows at once.
const DEFAULT_SPEED_PRIOR: SpeedPrior =
    SpeedPrior { tokens_per_ms: 30.0, weight_tokens: 2_000.0, speedup_max: f64::INFINITY };

/// The guess at an engine whose like are measured.
const MEASURED_POOL_SPEED_PRIOR: SpeedPrior =
    SpeedPrior { tokens_per_ms: 30.0, weight_tokens: 20_000.0, speedup_max: SPEEDUP_MAX };

/// The part of the others' speed that is expected of an engine that has not been tried:
/// most of those have just started, and read slowly at first.
const NEW_ENGINE_SPEED_FRACTION: f64 = 0.5;

/// An engine that has just become known is asked what it keeps this much later: peers may
/// know it, and tell at less cost.
const FIRST_LIST_DELAY: Millis = Millis(350);

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

impl State {
    pub(super) fn on_document(&mut self, now: Timestamp, document: Arc<Document>) {
        if document.version <= self.document.version {
            return;
        }
        self.document = document;
        // Servers that were listed before their service was known are modelled now.
        let records: Vec<ServerRecord> = self.directory.records().cloned().collect();
        for record in records {
            self.upsert_server(now, record);
        }
    }

    pub(super) fn on_listed(&mut self, now: Timestamp, record: ServerRecord) {
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
        self.upsert_server(now, record);
        self.pools_are_current = false;
        self.effects.push(Effect::Log(Decision::ServerChanged { server: id, state }));
    }

    pub(super) fn on_unlisted(&mut self, _: Timestamp, id: &Arc<str>) {
        let key = self.directory.get(id).map(ServerRecord::key);
        if !self.directory.remove(id) {
            return;
        }
        if let Some(key) = key {
            self.servers.remove(&key);
        }
        self.pools_are_current = false;
        let decision = Decision::ServerChanged { server: id.clone(), state: "gone" };
        self.effects.push(Effect::Log(decision));
    }

    pub(super) fn on_listing_confirmed(&mut self, now: Timestamp) {
        self.directory.confirm_missing(now);
        self.expire_lapsed_servers(now);
    }

    pub(super) fn expire_lapsed_servers(&mut self, now: Timestamp) {
        let gone = self.directory.expire(now);
        if gone.is_empty() {
            return;
        }
        for server in gone {
            self.effects.push(Effect::Log(Decision::ServerChanged { server, state: "lapsed" }));
        }
        let listed: HashSet<_> = self.directory.records().map(ServerRecord::key).collect();
        self.servers.retain(|key, _| listed.contains(key));
        self.pools_are_current = false;
    }

    fn upsert_server(&mut self, now: Timestamp, record: ServerRecord) {
        let key = record.key();
        if let Some(server) = self.servers.get_mut(&key) {
            server.record = record;
            return;
        }
        let Some(service) = self.document.services.get(&record.service) else {
            return;
        };
        let work = match service.engine {
            Some(limits) => {
                ServerKind::Engine(Box::new(Engine::new(now, limits, DEFAULT_SPEED_PRIOR)))
            }
            None => ServerKind::Plain(PlainServer::default()),
        };
        self.servers.insert(
            key,
            Server {
                key,
                record,
                health: Health::new(now),
                kind: work,
                list_cache_at: now.after(FIRST_LIST_DELAY),
                updated_at: now,
            },
        );
        self.pools_are_current = false;
    }

    /// A guess at an engine's reading speed: the mean of those like it that are measured,
    /// else an even part of what all are said to produce.
    fn speed_prior(&self, servers: &[ServerKey]) -> SpeedPrior {
        let engines = servers.iter().filter_map(|it| self.servers.get(it)?.kind.engine());
        let speeds: Vec<f64> =
            engines.filter(|it| it.has_measured_speed()).map(Engine::tokens_per_ms).collect();
        if !speeds.is_empty() {
            let mean = speeds.iter().sum::<f64>() / speeds.len() as f64;
            return SpeedPrior {
                tokens_per_ms: mean * NEW_ENGINE_SPEED_FRACTION,
                ..MEASURED_POOL_SPEED_PRIOR
            };
        }
        self.document.limits.tokens_per_s.map_or(DEFAULT_SPEED_PRIOR, |tokens_per_s| {
            let tokens_per_ms = tokens_per_s / MILLIS_PER_SECOND / servers.len().max(1) as f64;
            SpeedPrior { tokens_per_ms, ..DEFAULT_SPEED_PRIOR }
        })
    }

    /// Brings the lists of servers by service up to date. A listing of all servers comes as
    /// one event for each, so that this waits for the first event of another kind.
    pub(super) fn rebuild_pools(&mut self) {
        if std::mem::replace(&mut self.pools_are_current, true) {
            return;
        }
        self.pools.clear();
        for (key, server) in &self.servers {
            self.pools.entry(server.record.service).or_default().push(*key);
        }
        for keys in self.pools.values_mut() {
            keys.sort_unstable();
        }
        self.update_speed_priors();
    }

    /// Takes another guess at the speeds of the engines that have read nothing yet.
    pub(super) fn update_speed_priors(&mut self) {
        let priors: HashMap<PoolId, SpeedPrior> =
            self.pools.iter().map(|(&id, servers)| (id, self.speed_prior(servers))).collect();
        for server in self.servers.values_mut() {
            let prior = priors.get(&server.record.service);
            if let (ServerKind::Engine(engine), Some(&prior)) = (&mut server.kind, prior) {
                engine.set_speed_prior(prior);
            }
        }
    }
}
