//! Learning what engines keep: from peers, or from the engines themselves.

use sl_base::{Millis, Timestamp, hash};

use super::State;
use crate::{
    Decision, Effect, PromptPart, ServerKey,
    note::{EngineCaches, Note},
    server::{Server, ServerKind},
};

/// An engine that did not tell is asked again after this time.
const LIST_RETRY_DELAY: Millis = Millis(2_000);

/// Parts of one note, so that a message to peers stays small.
const PARTS_PER_NOTE_MAX: usize = 60;

/// Parts of one engine that a newborn peer is told.
const SNAPSHOT_PARTS_PER_ENGINE_MAX: usize = 600;

impl State {
    /// What this instance believes of engines, for a newborn peer.
    pub fn cache_snapshot(&self) -> EngineCaches {
        let engine = |(key, server): (&ServerKey, &Server)| match &server.kind {
            // A peer that was born a moment ago knows only what it sent itself.
            ServerKind::Engine(engine) if server.list_cache_at == Timestamp::NEVER => {
                let mut parts: Vec<PromptPart> =
                    engine.cache.parts().rev().take(SNAPSHOT_PARTS_PER_ENGINE_MAX).collect();
                parts.reverse();
                Some((*key, parts))
            }
            _ => None,
        };
        EngineCaches { engines: self.servers.iter().filter_map(engine).collect() }
    }

    /// Asks the engines for which this instance answers what they keep, where that is not
    /// known.
    pub(super) fn request_cache_listings(&mut self, now: Timestamp) {
        let me = u64::from(self.options.instance);
        let peers: Vec<u64> = self.peers.keys().map(|&it| u64::from(it)).collect();
        let answers_for = |key: u64| {
            let mine = hash::weight(key, me);
            peers.iter().all(|&it| hash::weight(key, it) < mine)
        };
        for (key, server) in &mut self.servers {
            let is_engine = matches!(server.kind, ServerKind::Engine(_));
            if is_engine && server.list_cache_at.is_due(now) && answers_for(key.0) {
                server.list_cache_at = now.after(LIST_RETRY_DELAY);
                let address = server.record.address;
                self.effects.push(Effect::ListCache { server: *key, address });
            }
        }
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
        for some in parts.chunks(PARTS_PER_NOTE_MAX) {
            self.queue_note(Note::CacheListed { server: key, parts: some.to_vec() });
        }
    }

    pub(super) fn on_cache_listing_failed(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.list_cache_at = now.after(LIST_RETRY_DELAY);
        }
    }

    /// Takes over what a peer believes. What was sent since stays the most recently used.
    pub(super) fn on_cache_snapshot(&mut self, now: Timestamp, beliefs: EngineCaches) {
        for (key, parts) in beliefs.engines {
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

    fn log_cache_known(&mut self, key: ServerKey, parts: usize, by_engine: bool) {
        if let Some(server) = self.servers.get(&key) {
            let server = server.record.id.clone();
            self.effects.push(Effect::Log(Decision::CacheKnown {
                server,
                parts,
                from_engine: by_engine,
            }));
        }
    }
}
