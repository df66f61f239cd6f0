//! Fetches from a peer, at the start of the instance, what the engines have cached.

use std::{net::SocketAddr, rc::Rc};

use sl_base::{InstanceId, Millis};
use sl_peer::{CachesPage, Links, PeerUnreachable};
use sl_route::{Event, ServerKey, note::EngineCaches};
use slog::{debug, info};
use tokio::time::sleep;

use crate::{core::Core, membership::PeerTable};

/// Fetches the engines' cache contents, page by page.
pub(crate) struct CacheFetch {
    pub(crate) core: Rc<Core>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) links: Links,
    pub(crate) own_id: InstanceId,
}

/// The interval between attempts to fetch the engines' cache contents from a peer.
const CACHE_FETCH_INTERVAL: Millis = Millis(150);

/// The number of these attempts. Meanwhile and afterwards, the reducer has the engines
/// themselves asked for contents that are still unknown.
const CACHE_FETCH_ATTEMPTS: u32 = 8;

/// What a peer sent of the engines' cache contents.
enum Fetched {
    /// All that it knows.
    All,
    /// Nothing: it knows the contents of no engine yet.
    NoEngine,
}

impl CacheFetch {
    /// Fetches the engines' cache contents, with the bars, from the peer that has
    /// been running for longest, until one sends a list of engines that is not empty.
    pub(crate) async fn run(&self) {
        let mut after = None;
        for _ in 0..CACHE_FETCH_ATTEMPTS {
            sleep(CACHE_FETCH_INTERVAL.into()).await;
            let Some((peer, address)) = self.peer_table.oldest(self.own_id) else {
                continue;
            };
            match self.fetch_pages(peer, address, &mut after).await {
                Ok(Fetched::All) => return,
                Ok(Fetched::NoEngine) => {}
                Err(e) => debug!(self.core.log, "failed to fetch cache contents from peer";
                    "reason" => %e),
            }
        }
    }

    /// Fetches the pages of the engines' cache contents after the engine `after`, which is set to the last one
    /// that was received.
    async fn fetch_pages(
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
                self.apply(peer, caches);
            }
            // Pages that do not advance would come again and again.
            if next <= *after {
                let is_all = !is_empty || after.is_some();
                return Ok(if is_all { Fetched::All } else { Fetched::NoEngine });
            }
            *after = next;
        }
    }

    /// Applies the engines' cache contents as a peer knows them. The contents are only as old
    /// as the transfer took, because the peer receives a note of every attempt that is sent.
    fn apply(&self, from: InstanceId, caches: EngineCaches) {
        let parts: usize = caches.engines.iter().map(|it| it.1.len()).sum();
        let incarnation = self.peer_table.incarnation(from);
        info!(self.core.log, "cache contents received from peer"; "peer" => %from,
            "peer_incarnation" => incarnation.map(|it| it.to_string()),
            "engines" => caches.engines.len(), "parts" => parts);
        self.core.step(Event::PeerCaches(caches));
    }
}
