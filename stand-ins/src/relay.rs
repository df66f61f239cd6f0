//! A TCP relay in front of a port. It can refuse, close, fall silent and delay, which a
//! server behind it cannot do to itself.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

/// A relay on a port of its own; it ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    _alive: watch::Receiver<()>,
}

/// One connection through a relay, seen from the server behind it.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    flow: watch::Sender<Flow>,
    owner: usize,
}

/// The connections through relays, by the address that the server behind sees.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links(Arc<Mutex<HashMap<SocketAddr, Link>>>);

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Open,
    Silent,
    Cut,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    owner: usize,
    links: Links,
    refuse: watch::Sender<bool>,
    refuses: watch::Sender<bool>,
    silent_new: AtomicBool,
    cuts: AtomicU64,
    up_micros: AtomicU64,
    down_micros: AtomicU64,
    alive: watch::Sender<()>,
}

/// Bytes read from a connection at a time.
const CHUNK: usize = 32 * 1024;

/// Pieces that may be under way in one direction of a delayed connection.
const PIECES: usize = 64;

impl Relay {
    /// Listens on `listen` and relays to `target`.
    ///
    /// # Errors
    ///
    /// Where the port cannot be had.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Relay> {
        Relay::with_links(listen, target, Links::default(), 0).await
    }

    pub(crate) async fn with_links(
        listen: SocketAddr,
        target: SocketAddr,
        links: Links,
        owner: usize,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (alive, alive_rx) = watch::channel(());
        let shared = Arc::new(Shared {
            target,
            owner,
            links,
            refuse: watch::Sender::new(false),
            refuses: watch::Sender::new(false),
            silent_new: AtomicBool::new(false),
            cuts: AtomicU64::new(0),
            up_micros: AtomicU64::new(0),
            down_micros: AtomicU64::new(0),
            alive,
        });
        tokio::spawn(accept(shared.clone(), listener, address));
        Ok(Relay { address, shared, _alive: alive_rx })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections, or takes them again. Those that stand go on.
    pub fn refuse(&self, on: bool) {
        self.shared.refuse.send_replace(on);
    }

    /// Waits until connections are refused, or taken, as was last asked for.
    pub async fn settled(&self) {
        let asked = *self.shared.refuse.borrow();
        let mut refuses = self.shared.refuses.subscribe();
        let _ = refuses.wait_for(|&it| it == asked).await;
    }

    /// Closes every connection that stands, those being made included.
    pub fn cut(&self) {
        self.shared.cuts.fetch_add(1, Ordering::AcqRel);
        self.each(Link::cut);
    }

    /// Leaves the connections that stand open and passes nothing on any more; new ones work.
    pub fn silence_old(&self) {
        self.each(Link::silence);
    }

    /// Passes nothing on any more, on connections that stand and on new ones.
    pub fn silence(&self) {
        self.shared.silent_new.store(true, Ordering::Release);
        self.each(Link::silence);
    }

    /// Delays what goes one way.
    pub fn delay(&self, way: Way, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay(way).store(micros, Ordering::Release);
    }

    /// Ends every fault; silent connections pass on what they held back.
    pub fn heal(&self) {
        self.shared.silent_new.store(false, Ordering::Release);
        self.delay(Way::Up, Duration::ZERO);
        self.delay(Way::Down, Duration::ZERO);
        self.refuse(false);
        self.each(Link::open);
    }

    /// How many connections stand.
    pub fn connections(&self) -> usize {
        let links = self.shared.links.lock();
        links.values().filter(|link| link.owner == self.shared.owner).count()
    }

    fn each(&self, act: impl Fn(&Link)) {
        let links = self.shared.links.lock();
        links.values().filter(|link| link.owner == self.shared.owner).for_each(act);
    }
}

impl Link {
    pub(crate) fn owner(&self) -> usize {
        self.owner
    }

    pub(crate) fn cut(&self) {
        self.flow.send_replace(Flow::Cut);
    }

    pub(crate) fn silence(&self) {
        self.turn(Flow::Silent);
    }

    fn open(&self) {
        self.turn(Flow::Open);
    }

    fn turn(&self, to: Flow) {
        self.flow.send_if_modified(|flow| {
            let turns = *flow != Flow::Cut;
            if turns {
                *flow = to;
            }
            turns
        });
    }
}

impl Links {
    pub(crate) fn get(&self, address: SocketAddr) -> Option<Link> {
        self.lock().get(&address).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Link>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shared {
    fn delay(&self, way: Way) -> &AtomicU64 {
        match way {
            Way::Up => &self.up_micros,
            Way::Down => &self.down_micros,
        }
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener, address: SocketAddr) {
    let mut listener = Some(listener);
    loop {
        let Some(open) = &listener else {
            listener = refuse_a_while(&shared, address).await;
            if listener.is_none() {
                return;
            }
            continue;
        };
        let mut refuse = shared.refuse.subscribe();
        let client = tokio::select! {
            biased;
            () = shared.alive.closed() => return,
            _ = refuse.wait_for(|&on| on) => None,
            client = open.accept() => client.ok(),
        };
        match client {
            Some((client, _)) => {
                let cuts = shared.cuts.load(Ordering::Acquire);
                tokio::spawn(relay(shared.clone(), client, cuts));
            }
            None => listener = None,
        }
    }
}

// A socket that is bound and does not listen refuses connections and keeps the port.
async fn refuse_a_while(shared: &Shared, address: SocketAddr) -> Option<TcpListener> {
    let mut socket = bound(address);
    while socket.is_err() {
        tokio::time::sleep(BIND_EVERY).await;
        socket = bound(address);
    }
    shared.refuses.send_replace(true);
    let mut refuse = shared.refuse.subscribe();
    tokio::select! {
        () = shared.alive.closed() => return None,
        _ = refuse.wait_for(|&on| !on) => {}
    }
    let listener = socket.ok()?.listen(BACKLOG).ok()?;
    shared.refuses.send_replace(false);
    Some(listener)
}

fn bound(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// How often a relay tries again to get its port.
const BIND_EVERY: Duration = Duration::from_millis(5);

/// Connections that may wait to be taken.
const BACKLOG: u32 = 1_024;

async fn relay(shared: Arc<Shared>, client: TcpStream, cuts: u64) {
    let Ok(server) = TcpStream::connect(shared.target).await else {
        return;
    };
    let Ok(seen_as) = server.local_addr() else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let flow = watch::Sender::new(if shared.silent_new.load(Ordering::Acquire) {
        Flow::Silent
    } else {
        Flow::Open
    });
    let link = Link { flow: flow.clone(), owner: shared.owner };
    shared.links.lock().insert(seen_as, link);
    if shared.cuts.load(Ordering::Acquire) != cuts {
        shared.links.lock().remove(&seen_as);
        return;
    }
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let mut cut = flow.subscribe();
    tokio::select! {
        _ = cut.wait_for(|&it| it == Flow::Cut) => {}
        () = shared.alive.closed() => {}
        () = both(
            pump(&shared, Way::Up, flow.subscribe(), client_rx, server_tx),
            pump(&shared, Way::Down, flow.subscribe(), server_rx, client_tx),
        ) => {}
    }
    shared.links.lock().remove(&seen_as);
}

async fn both(up: impl Future<Output = ()>, down: impl Future<Output = ()>) {
    tokio::pin!(up, down);
    tokio::select! {
        () = &mut up => down.await,
        // The server's end of an answer is the end of the connection.
        () = &mut down => {}
    }
}

async fn pump(
    shared: &Shared,
    way: Way,
    flow: watch::Receiver<Flow>,
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
) {
    let (tx, rx) = mpsc::channel(PIECES);
    let read = async move {
        let mut buf = vec![0; CHUNK];
        while let Ok(n) = from.read(&mut buf).await {
            if n == 0 {
                break;
            }
            let delay = Duration::from_micros(shared.delay(way).load(Ordering::Acquire));
            let piece = Bytes::copy_from_slice(&buf[..n]);
            if tx.send((Instant::now() + delay, piece)).await.is_err() {
                break;
            }
        }
    };
    tokio::join!(read, write(rx, flow, to));
}

async fn write(
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    mut flow: watch::Receiver<Flow>,
    mut to: OwnedWriteHalf,
) {
    while let Some((due, piece)) = rx.recv().await {
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        let open = flow.wait_for(|&it| it != Flow::Silent).await;
        if !open.is_ok_and(|it| *it == Flow::Open) {
            return;
        }
        if to.write_all(&piece).await.is_err() {
            return;
        }
    }
    // An end that comes while the relay is silent is held back too.
    let _ = flow.wait_for(|&it| it != Flow::Silent).await;
    let _ = to.shutdown().await;
}
