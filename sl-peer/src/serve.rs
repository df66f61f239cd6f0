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
    Counters, Key, Options,
    count::Counted,
    frame, handshake,
    service::{Control, Told},
};

/// The instance behind the control port.
pub trait Receiver: Clone + Send + Sync + 'static {
    /// What it knows of the platform's store, where that is newer than `known`.
    fn contents(&self, known: u64) -> impl Future<Output = Option<Told>> + Send;

    /// What it believes of model engines; none where it is on its way out.
    fn beliefs(&self) -> impl Future<Output = Option<EngineCaches>> + Send;

    /// What it says of itself; none where it is on its way out.
    fn status(&self) -> impl Future<Output = Option<InstanceStatus>> + Send;

    /// Its part of the burn report.
    fn burn(&self) -> Snapshot;
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
pub async fn serve<R: Receiver>(
    address: SocketAddr,
    key: Key,
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
    key: Key,
    options: Options,
    counters: Counters,
    receiver: R,
}

async fn accept<R: Receiver>(listener: TcpListener, door: Door<R>) {
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

async fn talk<R: Receiver>(stream: TcpStream, door: Door<R>, _permit: OwnedSemaphorePermit) {
    // Small frames must not wait for one another.
    let _ = stream.set_nodelay(true);
    let mut stream = Counted::new(stream, door.counters.clone());
    let shaking = handshake::answer(&mut stream, &door.key);
    let Ok(Ok(_)) = time::timeout(door.options.connect_within.into(), shaking).await else {
        return;
    };
    let transport = frame::transport(stream.into_inner(), &door.counters);
    let answerer = Answerer { receiver: door.receiver };
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = pin!(channel.execute(answerer.serve()));
    let idle = door.options.idle_within.into();
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

impl<R: Receiver> Control for Answerer<R> {
    async fn contents(self, _: Context, known: u64) -> Option<Told> {
        self.receiver.contents(known).await
    }

    async fn beliefs(self, _: Context) -> Option<EngineCaches> {
        self.receiver.beliefs().await
    }

    async fn status(self, _: Context) -> Option<InstanceStatus> {
        self.receiver.status().await
    }

    async fn burn(self, _: Context) -> Snapshot {
        self.receiver.burn()
    }
}

/// How long accepting pauses after a failure such as too many open files.
const ACCEPT_PAUSE: sl_base::Millis = sl_base::Millis(50);
