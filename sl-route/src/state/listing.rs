//! Updates of the operator's configuration and of the platform's list of servers.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use sl_base::{Millis, ServiceId, Timestamp};

use super::{State, warmup::ColdChange};
use crate::{
    Decision, Document, Effect, ServerKey, ServerRecord,
    breaker::Breaker,
    engine::{Engine, SPEEDUP_MAX, SpeedPrior},
    health::Health,
    server::{PlainServer, Server, ServerKind},
    warmup::ColdSlots,
};

/// Speed prior in a pool without measured engines. Its low weight and unlimited speed-up let
/// the first samples replace it.
const SPEED_PRIOR_DEFAULT: SpeedPrior =
    SpeedPrior { tokens_per_ms: 30.0, weight_tokens: 2_000.0, max_speedup: f64::INFINITY };

/// Speed prior for an engine in a pool with measured engines; the speed is set from their
/// mean.
const MEASURED_POOL_SPEED_PRIOR: SpeedPrior =
    SpeedPrior { tokens_per_ms: 30.0, weight_tokens: 20_000.0, max_speedup: SPEEDUP_MAX };

/// Fraction of the mean speed of measured engines that is assumed of an unmeasured one, since
/// most unmeasured engines have just started and prefill slowly at first.
const NEW_ENGINE_SPEED_FRACTION: f64 = 0.5;

/// Delay before a new engine is asked for its cache contents. A peer may send them before
/// that, at a lower cost.
pub(super) const FIRST_LIST_DELAY: Millis = Millis(350);

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl State {
    pub(super) fn on_document(&mut self, now: Timestamp, document: Arc<Document>) {
        // Of the same version, the adapter passes on only what was written later.
        if document.version < self.document.version {
            return;
        }
        self.document = document;
        for server in self.servers.values_mut() {
            let service = self.document.services.get(&server.record.service);
            server.warmup = service.and_then(|it| it.warmup);
            self.cold_changes.push(ColdChange::of_entry(server.key));
        }
        // Servers listed before their service was configured can be added now.
        let records: Vec<ServerRecord> = self.directory.records().cloned().collect();
        for record in records {
            self.upsert_server(now, record);
        }
    }

    pub(super) fn on_server_listed(&mut self, now: Timestamp, mut record: ServerRecord) {
        let id = record.id.clone();
        if self.directory.is_outdated(now, &record) {
            self.effects.push(Effect::Log(Decision::ServerEntryOutdated { server: id }));
            return;
        }
        let is_rewritten = self.directory.get(&id).is_some_and(|it| it.is_rewritten_by(&record));
        let previous = self.directory.get(&id).map(ServerRecord::key);
        let (state, version) = (record.state.into(), record.version.clone());
        let key = record.key();
        if let Some(server) = self.servers.get_mut(&key).filter(|_| is_rewritten) {
            server.may_have_restarted = false;
        }
        // The time that is left becomes a deadline, and is not a change of the entry.
        let warmup_left = std::mem::take(&mut record.warmup_left);
        if self.directory.put(record.clone()) {
            self.on_server_changed(now, record, previous.filter(|it| *it != key));
            self.effects.push(Effect::Log(Decision::ServerChanged {
                server: id.clone(),
                state,
                version,
            }));
        }
        if is_rewritten || previous != Some(key) {
            self.directory.set_cold_until(&id, now.after(warmup_left));
            self.on_warmup_stated(now, key, warmup_left);
        }
    }

    /// Applies a changed entry. `previous` is the run that it replaces, if it is of another one.
    fn on_server_changed(
        &mut self,
        now: Timestamp,
        record: ServerRecord,
        previous: Option<ServerKey>,
    ) {
        let key = record.key();
        let replaced = previous.and_then(|it| self.servers.remove(&it));
        if let Some(previous) = previous {
            self.origins.record_removed(now, previous);
        }
        self.origins.record_listed(&record);
        self.upsert_server(now, record);
        // The new run may get a request only when the former one could have got one.
        if let (Some(replaced), Some(server)) = (replaced, self.servers.get_mut(&key)) {
            server.cold_slots = replaced.cold_slots.of_next_run();
        }
        self.pools_are_current = false;
    }

    pub(super) fn on_server_removed(&mut self, now: Timestamp, id: &Arc<str>) {
        let key = self.directory.get(id).map(ServerRecord::key);
        if !self.directory.remove(now, id) {
            return;
        }
        if let Some(key) = key {
            self.servers.remove(&key);
            self.origins.record_removed(now, key);
        }
        self.pools_are_current = false;
        let decision = Decision::ServerChanged { server: id.clone(), state: "gone", version: None };
        self.effects.push(Effect::Log(decision));
    }

    pub(super) fn on_removals_confirmed(&mut self, now: Timestamp) {
        self.directory.confirm_removals(now);
        self.expire_missing_servers(now);
    }

    pub(super) fn expire_missing_servers(&mut self, now: Timestamp) {
        let expired = self.directory.expire(now);
        if expired.is_empty() {
            return;
        }
        for server in expired {
            let decision = Decision::ServerChanged { server, state: "lapsed", version: None };
            self.effects.push(Effect::Log(decision));
        }
        let listed: HashSet<_> = self.directory.records().map(ServerRecord::key).collect();
        for key in self.servers.keys().filter(|it| !listed.contains(it)) {
            self.origins.record_removed(now, *key);
        }
        self.servers.retain(|key, _| listed.contains(key));
        self.pools_are_current = false;
    }

    fn upsert_server(&mut self, now: Timestamp, record: ServerRecord) {
        let key = record.key();
        if let Some(server) = self.servers.get_mut(&key) {
            server.record = record;
            return;
        }
        let document = self.document.clone();
        let Some(service) = document.services.get(&record.service) else {
            return;
        };
        let cold_until = self.directory.cold_until(&record.id);
        let kind = match service.engine {
            Some(limits) => {
                ServerKind::Engine(Box::new(Engine::new(now, limits, SPEED_PRIOR_DEFAULT)))
            }
            None => ServerKind::Plain(PlainServer::default()),
        };
        let unrecorded_until = self.unrecorded_until(now, &record);
        self.servers.insert(
            key,
            Server {
                key,
                unrecorded_until,
                record,
                health: Health::new(now),
                breaker: Breaker::default(),
                kind,
                list_cache_at: now.after(FIRST_LIST_DELAY),
                own_in_flight: 0,
                updated_at: now,
                has_announced_drain: self.draining_runs.contains(key),
                may_have_restarted: false,
                paused_until: now,
                cold_until: now.max(cold_until),
                cold_announced_until: now,
                warm_entries_from: now,
                warmup: service.warmup,
                check_health_at: now,
                cold_slots: ColdSlots::WARM,
                send_limit: None,
            },
        );
        self.cold_changes.push(ColdChange::of_entry(key));
        self.pools_are_current = false;
    }

    /// Speed prior for the engines of one pool: a fraction of the mean speed of the measured
    /// ones or, without any, an equal part of the configured total token rate.
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
        self.document.limits.tokens_per_s.map_or(SPEED_PRIOR_DEFAULT, |tokens_per_s| {
            let tokens_per_ms = tokens_per_s / MILLIS_PER_SECOND / servers.len().max(1) as f64;
            SpeedPrior { tokens_per_ms, ..SPEED_PRIOR_DEFAULT }
        })
    }

    /// Rebuilds `pools` if it is out of date. A full listing arrives as one event per server,
    /// so this is deferred to the first event of another kind.
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

    /// Updates the speed priors of the unmeasured engines.
    pub(super) fn update_speed_priors(&mut self) {
        let priors: HashMap<ServiceId, SpeedPrior> =
            self.pools.iter().map(|(&id, servers)| (id, self.speed_prior(servers))).collect();
        for server in self.servers.values_mut() {
            let prior = priors.get(&server.record.service);
            if let (ServerKind::Engine(engine), Some(&prior)) = (&mut server.kind, prior) {
                engine.set_speed_prior(prior);
            }
        }
    }
}
