//! Learns from fellow instances what the store does not tell this one.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use sl_base::{InstanceId, Millis};
use sl_peer::Links;
use sl_route::{Event, note::EngineCaches};
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use crate::{core::Core, membership::PeerTable, peers::Gossip, store::StoreClient};

/// Asks fellows where this instance is behind.
pub(crate) struct CatchUp {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) gossip: Rc<Gossip>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) links: Links,
    pub(crate) seeds: Vec<(InstanceId, SocketAddr)>,
}

/// The store usually tells by itself within this time.
const OWN_WAY: Millis = Millis(60);

/// How often a peer is asked for its beliefs, until one has some.
const BELIEFS_EVERY: Millis = Millis(150);

/// How often it is asked at most: after that the engines are asked themselves.
const BELIEFS_TRIES: u32 = 8;

/// How often seeds are asked while nothing is known.
const SEEDS_EVERY: Millis = Millis(300);

impl CatchUp {
    /// Asks the first peer that is heard for what it believes of engines.
    pub(crate) async fn fetch_beliefs(&self) {
        for _ in 0..BELIEFS_TRIES {
            sleep(BELIEFS_EVERY.into()).await;
            let Some((peer, address)) = self.peer_table.oldest(self.gossip.own_id) else {
                continue;
            };
            match self.links.beliefs(peer, address).await {
                Ok(Some(beliefs)) if !beliefs.engines.is_empty() => {
                    return self.take_beliefs(peer, beliefs);
                }
                Ok(_) => {}
                Err(e) => debug!(self.core.log, "beliefs not asked"; "reason" => %e),
            }
        }
    }

    /// Takes over what a fellow believes; it is as old as the way here took, since the
    /// fellow hears of every send.
    fn take_beliefs(&self, from: InstanceId, beliefs: EngineCaches) {
        let parts: usize = beliefs.engines.iter().map(|it| it.1.len()).sum();
        let life = self.peer_table.incarnation(from);
        info!(self.core.log, "beliefs taken over"; "fellow" => %from,
            "fellow_life" => life.map(|it| it.to_string()),
            "engines" => beliefs.engines.len(), "parts" => parts);
        self.core.step(Event::PeerCaches(beliefs));
    }

    /// Catches up whenever a peer turns out to know more, and at the start.
    pub(crate) async fn run(&self) {
        let mut at_seed = 0;
        loop {
            let behind = timeout(SEEDS_EVERY.into(), self.gossip.newer_peer_seen.notified()).await;
            if behind.is_ok() {
                self.ask_ahead().await;
            } else if self.core.document().version == 0 && !self.store.is_reachable() {
                at_seed += 1;
                self.ask_seed(at_seed).await;
            }
        }
    }

    async fn ask_ahead(&self) {
        if self.store.is_following() {
            let known = self.store.revision();
            sleep(Duration::from(OWN_WAY)).await;
            if self.store.revision() > known {
                return;
            }
        }
        let Some(peer) = self.gossip.newer_peer.take() else {
            return;
        };
        if let Some(addresses) = self.peer_table.get(peer) {
            self.ask(peer, addresses.control).await;
        }
    }

    async fn ask_seed(&self, at: usize) {
        if let Some(&(seed, address)) = self.seeds.get(at % self.seeds.len().max(1)) {
            self.ask(seed, address).await;
        }
    }

    async fn ask(&self, peer: InstanceId, address: SocketAddr) {
        let known = self.store.revision();
        match self.links.contents(peer, address, known).await {
            Ok(Some(told)) => {
                info!(self.core.log, "caught up from a fellow"; "address" => %address,
                    "revision" => told.contents.revision, "before" => known,
                    "items" => told.contents.items.len());
                self.store.apply_snapshot(told);
            }
            Ok(None) => {}
            Err(e) => {
                debug!(self.core.log, "fellow not asked"; "address" => %address, "reason" => %e);
            }
        }
    }
}
