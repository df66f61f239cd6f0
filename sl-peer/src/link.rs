//! The calling side: one link to each peer, replaced when it falls silent.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use sl_base::{InstanceId, status::InstanceStatus};
use sl_report::Snapshot;
use sl_route::note::EngineCaches;
use tarpc::client::{self, RpcError};
use tokio::{net::TcpStream, sync, task::AbortHandle, time};

use crate::{
    ConnectError, Counters, HandshakeKey, Hello, Options,
    count::Counted,
    frame, handshake,
    service::{ControlClient, StoreUpdate},
};

/// A peer answered neither on the link that stood nor on a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer does not answer")]
pub struct PeerUnreachable;

/// The links to all peers; clones share them.
#[derive(Clone, Debug)]
pub struct Links(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    hello: Hello,
    key: HandshakeKey,
    options: Options,
    counters: Counters,
    links: Mutex<HashMap<InstanceId, Slot>>,
}

/// Where a peer's link stands; the lock is held while it is made, so that only one is.
type Slot = Arc<sync::Mutex<Option<Link>>>;

#[derive(Clone, Debug)]
struct Link {
    address: SocketAddr,
    number: u64,
    client: ControlClient,
    _driver: Arc<Driver>,
}

/// Ends a link's task even where its connection takes no more bytes.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Links {
    /// No link yet; the first call to a peer makes one.
    pub fn new(hello: Hello, key: HandshakeKey, options: Options, counters: Counters) -> Links {
        Links(Arc::new(Inner { hello, key, options, counters, links: Mutex::default() }))
    }

    /// Asks a peer for what it knows of the platform's store, where that is newer than
    /// `known`.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] where no answer comes in time.
    pub async fn store_update(
        &self,
        to: InstanceId,
        address: SocketAddr,
        known: u64,
    ) -> Result<Option<StoreUpdate>, PeerUnreachable> {
        self.call(to, address, |link, within_ms| async move {
            link.store_update(frame::context(within_ms), known).await
        })
        .await
    }

    /// Asks a peer for what it believes of model engines.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] where no answer comes in time.
    pub async fn engine_caches(
        &self,
        to: InstanceId,
        address: SocketAddr,
    ) -> Result<Option<EngineCaches>, PeerUnreachable> {
        self.call(to, address, |link, within_ms| async move {
            link.engine_caches(frame::context(within_ms)).await
        })
        .await
    }

    /// Asks a peer what it says of itself.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] where the peer did not answer on a new link either.
    pub async fn status(
        &self,
        to: InstanceId,
        address: SocketAddr,
    ) -> Result<Option<InstanceStatus>, PeerUnreachable> {
        self.call(to, address, |link, within_ms| async move {
            link.status(frame::context(within_ms)).await
        })
        .await
    }

    /// Asks a peer for its part of the burn report.
    ///
    /// # Errors
    ///
    /// [`PeerUnreachable`] where the peer did not answer on a new link either.
    pub async fn report_snapshot(
        &self,
        to: InstanceId,
        address: SocketAddr,
    ) -> Result<Snapshot, PeerUnreachable> {
        self.call(to, address, |link, within_ms| async move {
            link.report_snapshot(frame::context(within_ms)).await
        })
        .await
    }

    /// Closes the links to peers that `keep` does not name.
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
        for _ in 0..TRIES {
            let (link, is_new) = self.link(&slot, address).await.map_err(|_| PeerUnreachable)?;
            let number = link.number;
            let answer = call(link.client.clone(), self.0.options.call_timeout.0).await;
            match answer {
                Ok(answer) => return Ok(answer),
                Err(_) => drop_link(&slot, number).await,
            }
            if is_new {
                break;
            }
        }
        Err(PeerUnreachable)
    }

    async fn link(&self, slot: &Slot, address: SocketAddr) -> Result<(Link, bool), ConnectError> {
        let mut place = slot.lock().await;
        if let Some(link) = place.as_ref().filter(|it| it.address == address) {
            return Ok((link.clone(), false));
        }
        let number = place.as_ref().map_or(0, |it| it.number + 1);
        *place = None;
        let making = self.connect(address, number);
        let made = time::timeout(self.0.options.connect_timeout.into(), making).await;
        let link = made.unwrap_or(Err(ConnectError::Timeout))?;
        *place = Some(link.clone());
        Ok((link, true))
    }

    async fn connect(&self, address: SocketAddr, number: u64) -> Result<Link, ConnectError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut stream = Counted::new(stream, self.0.counters.clone());
        handshake::call(&mut stream, &self.0.key, self.0.hello).await?;
        let transport = frame::transport(stream.into_inner(), &self.0.counters);
        let made = ControlClient::new(client::Config::default(), transport);
        let driver = tokio::spawn(async move {
            // Why a link ended is seen by the call that waits on it.
            let _ = made.dispatch.await;
        });
        Ok(Link {
            address,
            number,
            client: made.client,
            _driver: Arc::new(Driver(driver.abort_handle())),
        })
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<InstanceId, Slot>> {
        self.0.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a silent link out, unless another call replaced it already.
async fn drop_link(slot: &Slot, number: u64) {
    let mut place = slot.lock().await;
    if place.as_ref().is_some_and(|it| it.number == number) {
        *place = None;
    }
}

/// A standing link, then a new one.
const TRIES: usize = 2;
