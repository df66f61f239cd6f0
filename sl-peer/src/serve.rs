//! The control port's listening side.

use std::{future::Future, net::SocketAddr, pin::pin, sync::Arc};

use futures::StreamExt;
use sl_base::status::InstanceStatus;
use sl_report::Snapshot;
use sl_route::note::EngineCaches;
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
    count::Counted,
    frame, handshake,
    service::{Control, StoreUpdate},
};

/// The instance behind the control port.
pub trait ControlHandler: Clone + Send + Sync + 'static {
    /// What it knows of the platform's store, where that is newer than `known`.
    fn store_update(&self, known: u64) -> impl Future<Output = Option<StoreUpdate>> + Send;

    /// What it believes of model engines; none where it is on its way out.
    fn engine_caches(&self) -> impl Future<Output = Option<EngineCaches>> + Send;

    /// What it says of itself; none where it is on its way out.
    fn status(&self) -> impl Future<Output = Option<InstanceStatus>> + Send;

    /// Its part of the burn report.
    fn report_snapshot(&self) -> Snapshot;
}

/// Why the control port could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
}

/// The open control port; dropping it closes the port.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
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
/// [`Error::Listen`] where the address cannot be had.
pub async fn serve<R: ControlHandler>(
    address: SocketAddr,
    key: HandshakeKey,
    options: Options,
    counters: Counters,
    receiver: R,
) -> Result<Server, Error> {
    let failed = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let door = Door { key, options, counters, receiver };
    let task = tokio::spawn(accept(listener, door));
    Ok(Server { address, task })
}

#[derive(Clone)]
struct Door<R> {
    key: HandshakeKey,
    options: Options,
    counters: Counters,
    receiver: R,
}

async fn accept<R: ControlHandler>(listener: TcpListener, door: Door<R>) {
    let room = Arc::new(Semaphore::new(door.options.connections_max));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(talk(stream, door.clone(), permit));
            }
            Err(_) => time::sleep(ACCEPT_PAUSE.into()).await,
        }
    }
}

async fn talk<R: ControlHandler>(stream: TcpStream, door: Door<R>, _permit: OwnedSemaphorePermit) {
    // Small frames must not wait for one another.
    let _ = stream.set_nodelay(true);
    let mut stream = Counted::new(stream, door.counters.clone());
    let shaking = handshake::answer(&mut stream, &door.key);
    let Ok(Ok(_)) = time::timeout(door.options.connect_timeout.into(), shaking).await else {
        return;
    };
    let transport = frame::transport(stream.into_inner(), &door.counters);
    let answerer = Answerer { receiver: door.receiver };
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = pin!(channel.execute(answerer.serve()));
    let idle = door.options.idle_timeout.into();
    let mut running = tokio::task::JoinSet::new();
    while let Ok(Some(call)) = time::timeout(idle, calls.next()).await {
        while running.try_join_next().is_some() {}
        running.spawn(call);
    }
}

#[derive(Clone)]
struct Answerer<R> {
    receiver: R,
}

impl<R: ControlHandler> Control for Answerer<R> {
    async fn store_update(self, _: Context, known: u64) -> Option<StoreUpdate> {
        self.receiver.store_update(known).await
    }

    async fn engine_caches(self, _: Context) -> Option<EngineCaches> {
        self.receiver.engine_caches().await
    }

    async fn status(self, _: Context) -> Option<InstanceStatus> {
        self.receiver.status().await
    }

    async fn report_snapshot(self, _: Context) -> Snapshot {
        self.receiver.report_snapshot()
    }
}

/// How long accepting pauses after a failure such as too many open files.
const ACCEPT_PAUSE: sl_base::Millis = sl_base::Millis(50);
