//! The listening side of the control port.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc};

use futures::StreamExt;
use sl_base::{ServiceId, StreamId, status::InstanceStatus};
use sl_mirror::{Update, UpdatePage};
use sl_report::Snapshot;
use sl_route::{ServerKey, note::EngineCaches, stream_origin::StreamOrigin};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
    time,
};

use crate::{
    Counters, HandshakeKey, Options,
    count::CountingStream,
    frame, handshake,
    service::{CachesPage, Control, KnownStore, StorePage, StoreUpdate},
};

/// Answers the calls that arrive on the control port, on behalf of the instance.
pub trait ControlHandler: Clone + Send + Sync + 'static {
    /// Returns a page of what changed in the platform's store beyond what is `known`, from the key after
    /// `after` on. `None` if nothing did or the instance is shutting down.
    fn store_page(
        &self,
        known: KnownStore,
        after: Option<String>,
    ) -> impl Future<Output = Option<StorePage>> + Send;

    /// Returns a page of the estimate of the KV caches of the model engines, from the engine after
    /// `after` on. `None` if the instance is shutting down.
    fn caches_page(
        &self,
        after: Option<ServerKey>,
    ) -> impl Future<Output = Option<CachesPage>> + Send;

    /// Returns the instance's status. `None` if the instance is shutting down.
    fn status(&self) -> impl Future<Output = Option<InstanceStatus>> + Send;

    /// Returns the instance's part of the burn-rate report.
    fn report_snapshot(&self) -> Snapshot;

    /// Returns where a stream began. `None` if the instance does not know or is shutting down.
    fn stream_origin(&self, stream: StreamId) -> impl Future<Output = Option<StreamOrigin>> + Send;

    /// Returns where a stream of the service began, also if that is only deduced. `None` if it can't be, or
    /// the instance is shutting down.
    fn deduced_origin(
        &self,
        stream: StreamId,
        service: ServiceId,
    ) -> impl Future<Output = Option<StreamOrigin>> + Send;
}

/// Why the control port could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The port could not be bound.
    #[error("cannot listen on {address} for control calls")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// The open control port; dropping it closes the port.
#[derive(Debug)]
pub struct Server {
    /// The bound address, with the port that was chosen where port 0 was requested.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the control port.
///
/// # Errors
///
/// [`Error::Listen`] if the address cannot be bound.
pub async fn serve<H: ControlHandler>(
    address: SocketAddr,
    key: HandshakeKey,
    options: Options,
    counters: Counters,
    handler: H,
) -> Result<Server, Error> {
    let failed = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let context = ServerContext { key, options, counters, handler };
    let task = tokio::spawn(accept(listener, context));
    Ok(Server { address, task })
}

#[derive(Clone)]
struct ServerContext<H> {
    key: HandshakeKey,
    options: Options,
    counters: Counters,
    handler: H,
}

async fn accept<H: ControlHandler>(listener: TcpListener, context: ServerContext<H>) {
    let permits = Arc::new(Semaphore::new(context.options.max_connections));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, context.clone(), permit));
            }
            Err(_) => time::sleep(ACCEPT_BACKOFF.into()).await,
        }
    }
}

async fn serve_connection<H: ControlHandler>(
    stream: TcpStream,
    context: ServerContext<H>,
    _permit: OwnedSemaphorePermit,
) {
    // Nagle's algorithm would delay small frames until earlier ones are acknowledged.
    let _ = stream.set_nodelay(true);
    let mut stream = CountingStream::new(stream, context.counters.clone());
    let handshaking = handshake::respond(&mut stream, &context.key);
    let Ok(Ok(_)) = time::timeout(context.options.connect_timeout.into(), handshaking).await else {
        return;
    };
    let transport = frame::transport(stream.into_inner(), &context.counters);
    let service = Service { handler: context.handler };
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = pin!(channel.execute(service.serve()));
    let idle_timeout = context.options.idle_timeout.into();
    let mut running = tokio::task::JoinSet::new();
    while let Ok(Some(call)) = time::timeout(idle_timeout, calls.next()).await {
        while running.try_join_next().is_some() {}
        running.spawn(call);
    }
}

/// The tarpc service, which forwards each call to the handler.
#[derive(Clone)]
struct Service<H> {
    handler: H,
}

impl<H: ControlHandler> Control for Service<H> {
    async fn store_update(self, _: Context, known: KnownStore) -> Option<StoreUpdate> {
        let StorePage { page, complete_in, document } =
            self.handler.store_page(known, None).await?;
        let UpdatePage { since, version, items, next } = page;
        let update = Update { since, version, items };
        next.is_none().then_some(StoreUpdate { update, complete_in, document })
    }

    async fn engine_caches(self, _: Context) -> Option<EngineCaches> {
        self.handler.caches_page(None).await.map(|it| it.caches)
    }

    async fn status(self, _: Context) -> Option<InstanceStatus> {
        self.handler.status().await
    }

    async fn report_snapshot(self, _: Context) -> Snapshot {
        self.handler.report_snapshot()
    }

    async fn stream_origin(self, _: Context, stream: StreamId) -> Option<StreamOrigin> {
        self.handler.stream_origin(stream).await
    }

    async fn deduced_origin(
        self,
        _: Context,
        stream: StreamId,
        service: ServiceId,
    ) -> Option<StreamOrigin> {
        self.handler.deduced_origin(stream, service).await
    }

    async fn store_page(
        self,
        _: Context,
        known: KnownStore,
        after: Option<String>,
    ) -> Option<StorePage> {
        self.handler.store_page(known, after).await
    }

    async fn caches_page(self, _: Context, after: Option<ServerKey>) -> Option<CachesPage> {
        self.handler.caches_page(after).await
    }
}

/// Pause after a failed `accept`, which would fail again at once where file descriptors have
/// run out.
const ACCEPT_BACKOFF: sl_base::Millis = sl_base::Millis(50);
