//! Fetches from peers the store's contents and the engines' cache contents that this instance
//! lacks.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use sl_base::{InstanceId, Millis, Timestamp};
use sl_peer::{CachesPage, KnownStore, Links, PeerUnreachable};
use sl_route::{Event, ServerKey, note::EngineCaches};
use slog::{debug, info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    core::Core,
    lag::{FALLBACK_PERIOD, Lag, fallback_spread},
    membership::PeerTable,
    peers::{Gossip, NewerPeer},
    store::StoreClient,
};

/// Fetches contents that this instance lacks from its peers.
pub(crate) struct CatchUp {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) links: Links,
    /// Peers from the settings, with their control addresses.
    pub(crate) seeds: Vec<(InstanceId, SocketAddr)>,
    pub(crate) lag: Cell<Lag>,
}

/// How long an instance that follows the store waits to receive a change from the store before
/// it asks the peer that already has the change.
const STORE_HEAD_START: Millis = Millis(60);

/// The interval between attempts to fetch the engines' cache contents from a peer.
const CACHE_FETCH_INTERVAL: Millis = Millis(150);

/// The number of these attempts. Meanwhile and afterwards, the reducer has the engines
/// themselves asked for contents that are still unknown.
const CACHE_FETCH_ATTEMPTS: u32 = 8;

/// The interval between requests to seeds, while there is no configuration and the store does
/// not respond.
const SEED_INTERVAL: Millis = Millis(300);

/// What a peer sent of the engines' cache contents.
enum Fetched {
    /// All that it knows.
    All,
    /// Nothing: it knows the contents of no engine yet.
    NoEngine,
}

impl CatchUp {
    /// Fetches the engines' cache contents, with the bars, from the peer that has
    /// been running for longest, until one sends a list of engines that is not empty.
    pub(crate) async fn fetch_engine_caches(&self) {
        let mut after = None;
        for _ in 0..CACHE_FETCH_ATTEMPTS {
            sleep(CACHE_FETCH_INTERVAL.into()).await;
            let Some((peer, address)) = self.peer_table.oldest(self.gossip.own_id) else {
                continue;
            };
            match self.fetch_cache_pages(peer, address, &mut after).await {
                Ok(Fetched::All) => return,
                Ok(Fetched::NoEngine) => {}
                Err(e) => debug!(self.core.log, "failed to fetch cache contents from peer";
                    "reason" => %e),
            }
        }
    }

    /// Fetches the pages of the engines' cache contents after the engine `after`, which is set to the last one
    /// that was received.
    async fn fetch_cache_pages(
        &self,
        peer: InstanceId,
        address: SocketAddr,
        after: &mut Option<ServerKey>,
    ) -> Result<Fetched, PeerUnreachable> {
        loop {
            let Some(page) = self.links.caches_page(peer, address, *after).await? else {
                return Ok(Fetched::NoEngine);
            };
            let CachesPage { caches, next } = page;
            let is_empty = caches.engines.is_empty();
            if !is_empty || !caches.bars.is_empty() {
                self.apply_engine_caches(peer, caches);
            }
            // An engine after which no page begins may come from a peer that never ends.
            if next <= *after {
                let is_all = !is_empty || after.is_some();
                return Ok(if is_all { Fetched::All } else { Fetched::NoEngine });
            }
            *after = next;
        }
    }

    /// Applies the engines' cache contents as a peer knows them. The contents are only as old
    /// as the transfer took, because the peer receives a note of every attempt that is sent.
    fn apply_engine_caches(&self, from: InstanceId, caches: EngineCaches) {
        let parts: usize = caches.engines.iter().map(|it| it.1.len()).sum();
        let incarnation = self.peer_table.incarnation(from);
        info!(self.core.log, "cache contents received from peer"; "peer" => %from,
            "peer_incarnation" => incarnation.map(|it| it.to_string()),
            "engines" => caches.engines.len(), "parts" => parts);
        self.core.step(Event::PeerCaches(caches));
    }

    /// Fetches the store's contents whenever a peer has newer ones, and from the seeds while
    /// there is no configuration and the store does not respond.
    pub(crate) async fn run(&self) {
        let mut seed_index = 0;
        loop {
            let newer = timeout(SEED_INTERVAL.into(), self.gossip.newer_peer_seen.notified()).await;
            if newer.is_ok() {
                self.fetch_from_newer_peer().await;
            } else if self.core.document().version == 0 && !self.store.is_reachable() {
                seed_index += 1;
                self.fetch_from_seed(seed_index).await;
            }
        }
    }

    async fn fetch_from_newer_peer(&self) {
        if self.store.is_following() {
            let own_version = self.store.version();
            sleep(Duration::from(STORE_HEAD_START)).await;
            if self.store.version() > own_version {
                return;
            }
        }
        let Some(newer) = self.gossip.newer_peer.take() else {
            return;
        };
        let asked_at = self.core.now();
        if let Some(addresses) = self.peer_table.addresses(newer.id) {
            self.fetch(newer.id, addresses.control).await;
        }
        self.check_lag(asked_at, newer);
    }

    /// Turns to the store if this instance has lacked for too long what its peers announce.
    fn check_lag(&self, asked_at: Timestamp, newer: NewerPeer) {
        let own_version = self.store.version();
        let has_document = self.core.document().version >= newer.document_version;
        let is_caught_up = has_document && own_version >= newer.store_version;
        let spread = fallback_spread(self.peer_table.len());
        let delay = self.core.with_state(|it| it.draw_delay(spread));
        let now = self.core.now();
        let mut lag = self.lag.get();
        let behind = lag.record(asked_at, now, is_caught_up, delay);
        self.lag.set(lag);
        if let Some(behind) = behind {
            warn!(self.core.log, "changes not received from peers, following the store";
                "behind_ms" => behind.0, "version" => %own_version,
                "announced" => %newer.store_version, "peer" => %newer.id);
            self.core.metrics.peer_fetch_fallbacks.inc();
            self.store.follow_until(now.after(FALLBACK_PERIOD));
        }
    }

    async fn fetch_from_seed(&self, index: usize) {
        if let Some(&(seed, address)) = self.seeds.get(index % self.seeds.len().max(1)) {
            self.fetch(seed, address).await;
        }
    }

    async fn fetch(&self, peer: InstanceId, address: SocketAddr) {
        let known = KnownStore {
            version: self.store.version(),
            document_version: self.core.document().version,
        };
        match self.links.store_update(peer, address, known).await {
            Ok(Some(store_update)) => {
                info!(self.core.log, "store contents received from peer"; "address" => %address,
                    "version" => %store_update.update.version, "before" => %known.version,
                    "items" => store_update.update.items.len());
                self.store.apply_update(store_update);
            }
            Ok(None) => {}
            Err(e) => {
                debug!(self.core.log, "failed to fetch store contents from peer";
                    "address" => %address, "reason" => %e);
            }
        }
    }
}
