//! Puts the parts together.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use futures::{Stream, StreamExt};
use platform::Addresses;
use sl_base::{Incarnation, InstanceId, Millis, PoolId};
use sl_config::{Settings, key::KeyError};
use sl_peer::{Hello, Key, Links};
use sl_route::{Event, Options, State, budget, event::InstanceLimits};
use slog::{info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::{Notify, mpsc},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep_until},
};

use crate::{
    asker::QueryHandler,
    caller::{self, Front},
    catch_up::CatchUp,
    clock::Clock,
    core::Core,
    engines,
    handle::{Burn, Handle, QUERIES_AHEAD, Query},
    known::ChangeHandler,
    lines::LogWriter,
    log,
    membership::{Membership, PeerTable},
    metrics::Metrics,
    peers::{FleetKey, Gossip, RelayQueue},
    pool::Pool,
    reload, stop,
    store::StoreClient,
    unused::Unused,
};

/// Why the daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet's key could not be read.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A port could not be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The control port could not be opened.
    #[error(transparent)]
    Control(#[from] sl_peer::Error),
    /// The operator or metrics port could not be opened.
    #[error(transparent)]
    Front(#[from] sl_front::Error),
    /// An operator key's hash is no hash.
    #[error("`{0}` is not a BLAKE3 hash in hex")]
    KeyHash(String),
    /// The platform's address is no IP address with a port.
    #[error("the platform's address `{0}` is not an IP address with a port")]
    Platform(String),
    /// Signals cannot be caught.
    #[error("signals cannot be caught")]
    Signals(#[source] std::io::Error),
    /// The system gives no random numbers.
    #[error("the system gives no random numbers")]
    Random(#[from] getrandom::Error),
}

/// The stop signals of this process, SIGTERM and SIGINT.
///
/// # Errors
///
/// [`Error::Signals`] where the system does not let them be caught.
pub fn signals() -> Result<impl Stream<Item = ()>, Error> {
    let term = signal(SignalKind::terminate()).map_err(Error::Signals)?;
    let int = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
    Ok(futures::stream::unfold((term, int), |(mut term, mut int)| async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Some(((), (term, int)))
    }))
}

/// Runs the daemon until a planned stop is seen through. The first of `signals` begins it;
/// the next one ends it at once. `reread` reads the settings again.
///
/// # Errors
///
/// Where the daemon cannot start; nothing was taken in then.
pub async fn run(
    settings: Settings,
    signals: impl Stream<Item = ()>,
    reread: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), Error> {
    LocalSet::new().run_until(run_local(settings, signals, reread)).await
}

/// Waits for the signals that tell of changed settings.
pub(crate) type Hangups = tokio::signal::unix::Signal;

async fn run_local(
    settings: Settings,
    signals: impl Stream<Item = ()>,
    reread: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), Error> {
    // First of all: until this is caught, the signal would end the process.
    let hangups = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    let parts = Parts::new(&settings)?;
    let log = parts.core.log.clone();
    let listen = settings.listen;
    let (queries, asked) = mpsc::channel(QUERIES_AHEAD);
    let handle = parts.handle(queries);
    let counters = sl_peer::Counters::default();
    let control =
        sl_peer::serve(listen.control, parts.key.clone(), PEERS, counters, handle.clone()).await?;
    let ports = sl_front::Options {
        operator: listen.operator,
        metrics: listen.metrics,
        operator_key_hashes: operator_hashes(&settings)?,
    };
    let ports = sl_front::serve(ports, handle).await?;
    let caller = bind(listen.caller).await?;
    let failed = |source| Error::Listen { address: listen.notes, source };
    let socket = UdpSocket::bind(listen.notes).await.map_err(failed)?;
    info!(log, "started"; "caller" => %listen.caller, "control" => %control.address,
        "operator" => %ports.operator, "metrics" => %ports.metrics,
        "incarnation" => parts.incarnation.0);

    let (stop, stops) = mpsc::channel(1);
    spawn_local(parts.asker(&settings).run(asked, stop));
    let membership = parts.spawn(&settings, caller, socket);
    let within = settings.periods.drain_timeout;
    spawn_local(reload::watch(parts.core.clone(), settings, hangups, reread));
    wait(parts.core.clone(), membership, signals, stops, within).await;
    ports.close().await;
    drop(parts.lines);
    Ok(())
}

/// How links to fellow instances are kept.
const PEERS: sl_peer::Options = sl_peer::Options {
    connect_within: Millis(500),
    answer_within: Millis(500),
    idle_within: Millis(15_000),
    connections_max: 256,
};

/// Callers' connections may take the whole divided by this of the descriptors; the rest is
/// for backend servers and fellows.
const CALLERS_PART: usize = 2;

/// What the daemon is made of.
struct Parts {
    /// Writes the log until the end.
    lines: LogWriter,
    core: Rc<Core>,
    store: Rc<StoreClient>,
    fellows: Rc<PeerTable>,
    links: Links,
    key: Key,
    notes_key: FleetKey,
    incarnation: Incarnation,
}

impl Parts {
    fn new(settings: &Settings) -> Result<Parts, Error> {
        let env = |name: &str| std::env::var(name);
        let secret = settings.keys.control_key.read(std::fs::read_to_string, env)?;
        let base = &settings.platform.address;
        let platform = base.trim_start_matches("http://").parse();
        let platform = platform.map_err(|_| Error::Platform(base.clone()))?;
        let (log, lines) = log::logger(settings.log, &settings.name);
        let state = State::new(options(settings)?, Clock.now());
        let burn = Burn::new(&settings.name);
        let (lists, to_list) = mpsc::unbounded_channel();
        let core = Rc::new(Core::new(state, log, Metrics::default(), burn, lists));
        spawn_local(engines::list_caches(core.clone(), to_list));
        let fellows = Rc::new(PeerTable::default());
        let known = ChangeHandler { core: core.clone(), peer_table: fellows.clone() };
        let on_change = move |changes, origin| known.apply(changes, origin);
        let store =
            StoreClient::new(core.clone(), platform, fellows.clone(), settings.id(), on_change);
        let store = Rc::new(store);
        let incarnation = incarnation();
        let hello = Hello { from: settings.id(), incarnation };
        let key = Key::derive(secret.expose().as_bytes());
        let links = Links::new(hello, key.clone(), PEERS, sl_peer::Counters::default());
        let notes_key = FleetKey::derive(secret.expose());
        Ok(Parts { lines, core, store, fellows, links, key, notes_key, incarnation })
    }

    fn handle(&self, queries: mpsc::Sender<Query>) -> Handle {
        Handle {
            queries,
            ready: self.core.ready().clone(),
            metrics: self.core.metrics.clone(),
            links: self.links.clone(),
            burn: self.core.burn.clone(),
        }
    }

    fn asker(&self, settings: &Settings) -> QueryHandler {
        QueryHandler {
            core: self.core.clone(),
            store: self.store.clone(),
            peer_table: self.fellows.clone(),
            settings: settings.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Starts all tasks.
    fn spawn(&self, settings: &Settings, caller: TcpListener, socket: UdpSocket) -> Rc<Membership> {
        let listen = settings.listen;
        let addresses = Addresses { notes: listen.notes, control: listen.control };
        let peers = Rc::new(Gossip {
            core: self.core.clone(),
            store: self.store.clone(),
            peer_table: self.fellows.clone(),
            own_id: settings.id(),
            incarnation: self.incarnation,
            addresses,
            cores: settings.cores.value() as f32,
            data_centre: PoolId::of(&settings.data_centre).0,
            key: self.notes_key.clone(),
            socket,
            newer_peer: Cell::new(None),
            newer_peer_seen: Notify::new(),
            relay_queue: RelayQueue::default(),
        });
        let seeds = settings.seed_instances.iter().map(|it| (InstanceId::of(&it.name), it.control));
        let catch_up = CatchUp {
            core: self.core.clone(),
            store: self.store.clone(),
            gossip: peers.clone(),
            peer_table: self.fellows.clone(),
            links: self.links.clone(),
            seeds: seeds.collect(),
        };
        let (core, store) = (self.core.clone(), self.store.clone());
        let membership =
            Rc::new(Membership::new(core, store.clone(), settings.name.clone(), addresses));
        let pool = Pool::new(self.core.metrics.clone());
        let callers_max = settings.bounds.max_descriptors as usize / CALLERS_PART;
        let unused = Unused::new(callers_max);
        let front = Rc::new(Front { core: self.core.clone(), pool, unused });
        spawn_local(caller::listen(front.clone(), caller));
        spawn_local(async move { store.run().await });
        let (me, cores) = (settings.id(), settings.cores.value() as f32);
        spawn_local(tick(front, self.fellows.clone(), me, cores));
        spawn_local({
            let membership = membership.clone();
            async move { membership.run().await }
        });
        spawn_local({
            let peers = peers.clone();
            async move { peers.run_sender().await }
        });
        spawn_local(async move { peers.run_receiver().await });
        spawn_local(async move {
            tokio::join!(catch_up.fetch_engine_caches(), catch_up.run());
        });
        membership
    }
}

/// The life that begins now. A later life has a higher number.
fn incarnation() -> Incarnation {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(wall.as_micros()).unwrap_or(u64::MAX))
}

fn operator_hashes(settings: &Settings) -> Result<Vec<sl_front::KeyHash>, Error> {
    let hash = |text: &String| {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Error::KeyHash(text.clone()))?;
        Ok(*hash.as_bytes())
    };
    settings.keys.operator_key_hashes.iter().map(hash).collect()
}

/// Waits for a planned stop and sees it through, or breaks it off at a second signal.
async fn wait(
    core: Rc<Core>,
    membership: Rc<Membership>,
    signals: impl Stream<Item = ()>,
    mut stops: mpsc::Receiver<Option<Millis>>,
    within: Millis,
) {
    let mut signals = std::pin::pin!(signals.fuse());
    let within = tokio::select! {
        signal = signals.next() => match signal {
            Some(()) => within,
            None => return,
        },
        Some(asked) = stops.recv() => asked.unwrap_or(within),
    };
    let log = core.log.clone();
    // Fellows hear of it while what is under way is finished.
    spawn_local(async move { membership.deregister().await });
    tokio::select! {
        () = stop::see_through(core, within) => {}
        Some(()) = signals.next() => warn!(log, "stopped at the second signal"),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// How often deadlines of the reducer and of unused connections are looked at.
const TICK: Millis = Millis(100);

/// A machine that stood still for longer than this is told so in the log.
const STOOD_STILL: Millis = Millis(300);

/// Milliseconds in a second.
const MILLIS: f64 = 1_000.0;

async fn tick(front: Rc<Front>, fellows: Rc<PeerTable>, me: InstanceId, cores: f32) {
    let clock = Clock;
    let mut still = clock.stood_still();
    loop {
        let due = Instant::now() + TICK.into();
        sleep_until(due).await;
        front.core.ticked(due.elapsed().as_secs_f64() * MILLIS);
        front.core.step(Event::Tick);
        front.pool.prune();
        fellows.prune(clock.now());
        front.core.step(Event::InstanceCount(fellows.len()));
        front.core.set_connections_part(fellows.connection_share(me, cores));
        let stood = clock.stood_still().saturating_sub(still);
        if stood > std::time::Duration::from(STOOD_STILL) {
            warn!(front.core.log, "the machine stood still"; "for_ms" => stood.as_millis() as u64);
        }
        still += stood;
    }
}

fn options(settings: &Settings) -> Result<Options, Error> {
    let seed = match settings.rng_seed {
        Some(seed) => seed,
        None => getrandom::u64()?,
    };
    Ok(Options {
        instance: settings.id().0,
        data_centre: settings.data_centre.clone(),
        seed,
        limits: limits(settings),
        share_window: settings.sharing.window,
    })
}

/// What settings limit.
pub(crate) fn limits(settings: &Settings) -> InstanceLimits {
    InstanceLimits {
        budget: budget::Options {
            ratio: settings.retry_budget.ratio.value(),
            allowance: f64::from(settings.retry_budget.allowance),
            window: settings.retry_budget.window,
        },
        max_in_flight: settings.bounds.max_in_flight as usize,
    }
}
