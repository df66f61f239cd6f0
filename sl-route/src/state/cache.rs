//! Updates of the estimated engine caches, from peers or from the engines themselves.

use sl_base::{Millis, Timestamp, hash};

use super::State;
use crate::{
    Decision, Effect, PromptPart, ServerKey,
    note::{EngineCaches, Note},
    server::{Server, ServerKind},
};

/// Delay before an engine whose cache could not be listed is asked again.
const LIST_RETRY_DELAY: Millis = Millis(2_000);

/// Parts in one note; bounds the size of messages to peers.
const PARTS_PER_NOTE_MAX: usize = 60;

/// Most recently used parts per engine sent to a new peer.
const PARTS_PER_ENGINE_MAX: usize = 600;

/// The parts after which a page ends. A part has up to 15 bytes in a message.
const PARTS_PER_PAGE: usize = 16_384;

/// The parts that an engine is assumed to hold, the least recently used first; `None` for other servers,
/// and for engines whose cache contents are still unknown: an instance that has just started knows only
/// the requests sent since its start.
fn known_parts(server: &Server) -> Option<Vec<PromptPart>> {
    match &server.kind {
        ServerKind::Engine(engine) if server.list_cache_at == Timestamp::NEVER => {
            let mut parts: Vec<PromptPart> =
                engine.cache.parts().rev().take(PARTS_PER_ENGINE_MAX).collect();
            parts.reverse();
            Some(parts)
        }
        _ => None,
    }
}

impl State {
    /// A page of the engines' assumed cache contents for a peer that has just started, from the engine after
    /// `after` on, and the engine after which the next page begins. The bars are in the first page.
    pub fn engine_caches(
        &self,
        now: Timestamp,
        after: Option<ServerKey>,
    ) -> (EngineCaches, Option<ServerKey>) {
        let bars = if after.is_none() { self.crash_causes.bars(now) } else { Vec::new() };
        let mut caches = EngineCaches { engines: Vec::new(), bars };
        let mut parts = 0;
        let mut keys: Vec<ServerKey> = self.servers.keys().copied().collect();
        keys.retain(|it| Some(*it) > after);
        keys.sort_unstable();
        for &key in &keys {
            let Some(known) = self.servers.get(&key).and_then(known_parts) else {
                continue;
            };
            parts += known.len();
            caches.engines.push((key, known));
            if parts >= PARTS_PER_PAGE {
                let next = Some(key).filter(|it| keys.last() != Some(it));
                return (caches, next);
            }
        }
        (caches, None)
    }

    /// Requests the lists of cached parts from the engines whose contents are unknown and for which this
    /// instance is responsible by rendezvous hashing among its peers.
    pub(super) fn request_cache_lists(&mut self, now: Timestamp) {
        let may_ask = |server: &Server| {
            let is_engine = matches!(server.kind, ServerKind::Engine(_));
            let is_evacuated = self.evacuations.contains(&server.record.data_centre);
            let is_asked = is_engine
                && !is_evacuated
                && !server.has_announced_drain
                && !server.is_paused(now)
                && !server.is_cold(now);
            is_asked && server.list_cache_at.is_due(now) && self.is_responsible_for(server.key.0)
        };
        let asked = self.servers.values().filter(|it| may_ask(it)).map(|it| it.key);
        for key in asked.collect::<Vec<_>>() {
            if let Some(server) = self.servers.get_mut(&key) {
                server.list_cache_at = now.after(LIST_RETRY_DELAY);
                let address = server.record.address;
                self.effects.push(Effect::ListCache { server: key, address });
            }
        }
    }

    /// Whether this instance does for the whole fleet what only one has to do, by rendezvous hashing
    /// among its peers. Two may be responsible while their views of the peers differ.
    pub(super) fn is_responsible_for(&self, key: u64) -> bool {
        let own_weight = hash::weight(key, self.options.instance.into());
        self.peers.keys().all(|&it| hash::weight(key, it.into()) < own_weight)
    }

    pub(super) fn on_cache_listed(&mut self, now: Timestamp, key: ServerKey, parts: &[PromptPart]) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.list_cache_at = Timestamp::NEVER;
        if let ServerKind::Engine(engine) = &mut server.kind {
            engine.cache.replace_with(now, parts);
        }
        self.log_cache_known(key, parts.len(), true);
        for chunk in parts.chunks(PARTS_PER_NOTE_MAX) {
            self.queue_note(Note::CacheListed { server: key, parts: chunk.to_vec() });
        }
    }

    pub(super) fn on_cache_list_failed(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.list_cache_at = now.after(LIST_RETRY_DELAY);
        }
    }

    /// Merges the engine caches as estimated by a peer, and applies its bars. All
    /// parts of the caches count as used at `now`.
    pub(super) fn on_peer_caches(&mut self, now: Timestamp, caches: EngineCaches) {
        for bar in caches.bars {
            self.on_bar(now, bar);
        }
        for (key, parts) in caches.engines {
            self.merge_peer_cache(now, key, &parts);
            self.log_cache_known(key, parts.len(), false);
        }
    }

    pub(super) fn merge_peer_cache(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        parts: &[PromptPart],
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.list_cache_at = Timestamp::NEVER;
        if let ServerKind::Engine(engine) = &mut server.kind {
            engine.cache.record_use(now, parts);
        }
    }

    fn log_cache_known(&mut self, key: ServerKey, parts: usize, from_engine: bool) {
        if let Some(server) = self.servers.get(&key) {
            let server = server.record.id.clone();
            self.effects.push(Effect::Log(Decision::CacheKnown { server, parts, from_engine }));
        }
    }
}
