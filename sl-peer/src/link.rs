//! The calling side: one link to each peer, replaced when its peer stops responding.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use sl_base::{InstanceId, ServiceId, StreamId, status::InstanceStatus};
use sl_mirror::{PageMismatch, PagedUpdate};
use sl_report::Snapshot;
use sl_route::{ServerKey, stream_origin::StreamOrigin};
use tarpc::client::{self, RpcError};
use tokio::{net::TcpStream, sync, task::AbortHandle, time};

use crate::{
    ConnectError, Counters, HandshakeKey, Hello, Options,
    count::CountingStream,
    frame, handshake,
    service::{CachesPage, ControlClient, KnownStore, StorePage, StoreUpdate},
};

/// A call got no response, or no link could be opened. A call on an existing link is repeated
/// on a new one before this is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peer unreachable or did not respond in time")]
pub struct PeerUnreachable;

/// Why a peer's copy of the store was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// A call got no response.
    #[error("{0}")]
    Unreachable(#[from] PeerUnreachable),
    /// The peer's copy changed in a way that the pages do not show.
    #[error("{0}")]
    PageMismatch(#[from] PageMismatch),
}

/// Links to all peers, opened on first use. Clones share them.
#[derive(Clone, Debug)]
pub struct Links(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    hello: Hello,
    key: HandshakeKey,
    options: Options,
    counters: Counters,
    links: Mutex<HashMap<InstanceId, LinkSlot>>,
}

/// A peer's link, if open. The lock is held while a link is opened, so that concurrent calls
/// open only one.
type LinkSlot = Arc<sync::Mutex<Option<Link>>>;

#[derive(Clone, Debug)]
struct Link {
    address: SocketAddr,
    /// Incremented when a link replaces an open one, so that a failed call on the old link does
    /// not close the new one.
    generation: u64,
    client: ControlClient,
    _dispatch: Arc<AbortOnDrop>,
}

/// Aborts a link's dispatch task, which could otherwise block forever on a connection whose
/// peer no longer reads.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Links {
    /// Creates a set without links; the first call to a peer opens one.
    pub fn new(hello: Hello, key: HandshakeKey, options: Options, counters: Counters) -> Links {
        Links(Arc::new(Shared { hello, key, options, counters, links: Mutex::default() }))
    }

    /// Asks a peer for what changed in the platform's store beyond what is `known`, page by page. `None` if
    /// the peer knows of nothing or is shutting down.
    ///
    /// # Errors
    ///
    /// [`FetchError`] if the peer does not respond in time, even on a new link, or its pages do not
    /// belong together.
    pub async fn store_update(
        &self,
        to: InstanceId,
        address: SocketAddr,
        known: KnownStore,
    ) -> Result<Option<StoreUpdate>, FetchError> {
        let mut pages = PagedUpdate::default();
        let mut complete_in = None;
        let mut document = None;
        let mut after = None;
        loop {
            let Some(page) = self.store_page(to, address, known, after.as_ref()).await? else {
                return Ok(None);
            };
            complete_in = complete_in.max(page.complete_in);
            document = document.or(page.document);
            let next = page.page.next.clone();
            // Otherwise the same pages would come again and again.
            if next.is_some() && next <= after {
                return Err(PageMismatch.into());
            }
            after = next;
            pages.add(page.page)?;
            if after.is_none() {
                let update = pages.finish();
                return Ok(update.map(|update| StoreUpdate { update, complete_in, document }));
            }
        }
    }

    async fn store_page(
        &self,
        to: InstanceId,
        address: SocketAddr,
        known: KnownStore,
        after: Option<&String>,
    ) -> Result<Option<StorePage>, PeerUnreachable> {
        self.call(to, address, |client, timeout_ms| {
            let after = after.cloned();
            async move { client.store_page(frame::context(timeout_ms), known, after).await }
        })
        .await
    }

    /// Asks a peer for a page of its estimate of the KV caches of the model engines, from the engine after
    /// `after` on. `None` if the peer is shutting down.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] if the peer does not respond in time, even on a new link.
    pub async fn caches_page(
        &self,
        to: InstanceId,
        address: SocketAddr,
        after: Option<ServerKey>,
    ) -> Result<Option<CachesPage>, PeerUnreachable> {
        self.call(to, address, |client, timeout_ms| async move {
            client.caches_page(frame::context(timeout_ms), after).await
        })
        .await
    }

    /// Asks a peer for its status. `None` if the peer is shutting down.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] if the peer does not respond in time, even on a new link.
    pub async fn status(
        &self,
        to: InstanceId,
        address: SocketAddr,
    ) -> Result<Option<InstanceStatus>, PeerUnreachable> {
        self.call(to, address, |client, timeout_ms| async move {
            client.status(frame::context(timeout_ms)).await
        })
        .await
    }

    /// Asks a peer for its part of the burn-rate report.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] if the peer does not respond in time, even on a new link.
    pub async fn report_snapshot(
        &self,
        to: InstanceId,
        address: SocketAddr,
    ) -> Result<Snapshot, PeerUnreachable> {
        self.call(to, address, |client, timeout_ms| async move {
            client.report_snapshot(frame::context(timeout_ms)).await
        })
        .await
    }

    /// Asks a peer where a stream began. `None` if the peer does not know or is shutting down.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] if the peer does not respond in time, even on a new link.
    pub async fn stream_origin(
        &self,
        to: InstanceId,
        address: SocketAddr,
        stream: StreamId,
    ) -> Result<Option<StreamOrigin>, PeerUnreachable> {
        self.call(to, address, |client, timeout_ms| async move {
            client.stream_origin(frame::context(timeout_ms), stream).await
        })
        .await
    }

    /// Asks a peer where a stream of the service began, as far as the peer knows or can deduce. `None`
    /// if it can't, or is shutting down.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] if the peer does not respond in time, even on a new link.
    pub async fn deduced_origin(
        &self,
        to: InstanceId,
        address: SocketAddr,
        stream: StreamId,
        service: ServiceId,
    ) -> Result<Option<StreamOrigin>, PeerUnreachable> {
        self.call(to, address, |client, timeout_ms| async move {
            client.deduced_origin(frame::context(timeout_ms), stream, service).await
        })
        .await
    }

    /// Closes the links to the peers for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        self.slots().retain(|&id, _| keep(id));
    }

    async fn call<T, F, C>(
        &self,
        to: InstanceId,
        address: SocketAddr,
        call: F,
    ) -> Result<T, PeerUnreachable>
    where
        F: Fn(ControlClient, u64) -> C,
        C: Future<Output = Result<T, RpcError>>,
    {
        let slot = self.slots().entry(to).or_default().clone();
        for _ in 0..ATTEMPTS_MAX {
            let (link, is_new) =
                self.get_or_connect(&slot, address).await.map_err(|_| PeerUnreachable)?;
            let generation = link.generation;
            let response = call(link.client.clone(), self.0.options.call_timeout.0).await;
            match response {
                Ok(response) => return Ok(response),
                Err(_) => remove_link(&slot, generation).await,
            }
            if is_new {
                break;
            }
        }
        Err(PeerUnreachable)
    }

    /// Returns the peer's link, and whether it was opened by this call.
    async fn get_or_connect(
        &self,
        slot: &LinkSlot,
        address: SocketAddr,
    ) -> Result<(Link, bool), ConnectError> {
        let mut current = slot.lock().await;
        if let Some(link) = current.as_ref().filter(|it| it.address == address) {
            return Ok((link.clone(), false));
        }
        let generation = current.as_ref().map_or(0, |it| it.generation + 1);
        *current = None;
        let connecting = self.connect(address, generation);
        let connected = time::timeout(self.0.options.connect_timeout.into(), connecting).await;
        let link = connected.unwrap_or(Err(ConnectError::Timeout))?;
        *current = Some(link.clone());
        Ok((link, true))
    }

    async fn connect(&self, address: SocketAddr, generation: u64) -> Result<Link, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut stream = CountingStream::new(stream, self.0.counters.clone());
        handshake::initiate(&mut stream, &self.0.key, self.0.hello).await?;
        let transport = frame::transport(stream.into_inner(), &self.0.counters);
        let new_client = ControlClient::new(client::Config::default(), transport);
        let dispatch = tokio::spawn(async move {
            // The calls in flight on the link get the error.
            let _ = new_client.dispatch.await;
        });
        Ok(Link {
            address,
            generation,
            client: new_client.client,
            _dispatch: Arc::new(AbortOnDrop(dispatch.abort_handle())),
        })
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<InstanceId, LinkSlot>> {
        self.0.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Closes a failed link, unless one of another generation has replaced it.
async fn remove_link(slot: &LinkSlot, generation: u64) {
    let mut current = slot.lock().await;
    if current.as_ref().is_some_and(|it| it.generation == generation) {
        *current = None;
    }
}

/// The existing link is tried first, then a new one: an existing link may be dead although
/// the peer is alive.
const ATTEMPTS_MAX: usize = 2;
