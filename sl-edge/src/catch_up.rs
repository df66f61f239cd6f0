//! Fetches from peers the store's contents and the engines' cache contents that this instance
//! lacks.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use sl_base::{InstanceId, Millis};
use sl_peer::{KnownStore, Links};
use sl_route::{Event, note::EngineCaches};
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use crate::{core::Core, membership::PeerTable, peers::Gossip, store::StoreClient};

/// Fetches contents that this instance lacks from its peers.
pub(crate) struct CatchUp {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) links: Links,
    /// Peers from the settings, with their control addresses.
    pub(crate) seeds: Vec<(InstanceId, SocketAddr)>,
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

impl CatchUp {
    /// Fetches the engines' cache contents, with the bars, from the peer that has
    /// been running for longest, until one sends a list of engines that is not empty.
    pub(crate) async fn fetch_engine_caches(&self) {
        for _ in 0..CACHE_FETCH_ATTEMPTS {
            sleep(CACHE_FETCH_INTERVAL.into()).await;
            let Some((peer, address)) = self.peer_table.oldest(self.gossip.own_id) else {
                continue;
            };
            match self.links.engine_caches(peer, address).await {
                Ok(Some(caches)) if !caches.engines.is_empty() => {
                    return self.apply_engine_caches(peer, caches);
                }
                Ok(Some(caches)) if !caches.bars.is_empty() => {
                    self.core.step(Event::PeerCaches(caches));
                }
                Ok(_) => {}
                Err(e) => debug!(self.core.log, "failed to fetch cache contents from peer";
                    "reason" => %e),
            }
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
        let Some(peer) = self.gossip.newer_peer.take() else {
            return;
        };
        if let Some(addresses) = self.peer_table.addresses(peer) {
            self.fetch(peer, addresses.control).await;
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
