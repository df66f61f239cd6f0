//! Fetches from peers the store's contents that this instance lacks, and turns to the store if they do not arrive.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use sl_base::{InstanceId, Millis, Timestamp};
use sl_peer::{KnownStore, Links};
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

/// The interval between requests to seeds, while there is no configuration and the store does
/// not respond.
const SEED_INTERVAL: Millis = Millis(300);

impl CatchUp {
    /// Fetches the store's contents whenever a peer has newer ones, and from the seeds while
    /// there is no configuration and the store does not respond.
    pub(crate) async fn run(&self) {
        let mut seed_index = 0;
        loop {
            let newer = timeout(SEED_INTERVAL.into(), self.gossip.newer_peer_seen.notified()).await;
            if newer.is_ok() {
                self.fetch_from_newer_peer().await;
            } else if self.core.document().version == 0 && !self.store.is_served() {
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
