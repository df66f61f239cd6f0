//! Assembles the daemon from its components and runs it until shutdown.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use futures::{Stream, StreamExt};
use platform::Addresses;
use sl_base::{Incarnation, InstanceId, Millis, ServiceId, UnixMillis, WallClock};
use sl_config::{Settings, key::KeyError, settings::RouteSharing};
use sl_http::PeerMonitor;
use sl_peer::{HandshakeKey, Hello, Links};
use sl_route::{
    Event, Options, Regions, State, budget, event::InstanceLimits, shutdown::StopRequest,
    warmup::WarmupBound,
};
use slog::{info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::{Notify, mpsc},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep_until, timeout},
};

use crate::{
    cache_fetch::CacheFetch,
    caller::{self, Ingress},
    catch_up::CatchUp,
    change_handler::ChangeHandler,
    clock::Clock,
    connection_tracker::ConnectionTracker,
    core::{Core, ServerCalls},
    crash_record_writer::CrashRecordWriter,
    engines,
    handle::{Handle, QUERY_QUEUE_LEN, Query, SharedRecorder},
    health, log,
    log_buffer::LogWriter,
    membership::{Membership, PeerTable},
    metrics::Metrics,
    note_budget::NoteBudget,
    origin_reader::OriginReader,
    origin_writer::OriginWriter,
    peers::{DatagramCounters, Gossip, RelayQueue, datagram::DatagramKey},
    pool::Pool,
    query_handler::QueryHandler,
    reload,
    response_memory::ResponseMemory,
    shutdown,
    signals::StopSignal,
    store::StoreClient,
    stream_locator::StreamLocator,
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
        /// The configured listen address.
        address: SocketAddr,
        /// Why the system refused to bind it.
        source: std::io::Error,
    },
    /// The control port could not be opened.
    #[error(transparent)]
    Control(#[from] sl_peer::Error),
    /// The operator or metrics port could not be opened.
    #[error(transparent)]
    Front(#[from] sl_front::Error),
    /// The hash of an operator key in the settings is malformed.
    #[error("operator key hash `{0}` is not a BLAKE3 hash in hex")]
    KeyHash(String),
    /// The platform's address in the settings is not an IP address with a port.
    #[error("the platform's address `{0}` is not an IP address with a port")]
    Platform(String),
    /// Signal handlers could not be installed.
    #[error("cannot install signal handlers")]
    Signals(#[source] std::io::Error),
    /// The random seed could not be read from the system.
    #[error("cannot read random numbers from the operating system")]
    Random(#[from] getrandom::Error),
}

/// Runs the daemon until a graceful shutdown completes, which the first of `signals` starts.
/// `reload_settings` reads the settings anew.
///
/// # Errors
///
/// If the daemon cannot start; no request has been accepted in that case.
pub async fn run(
    settings: Settings,
    signals: impl Stream<Item = StopSignal>,
    reload_settings: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), Error> {
    LocalSet::new().run_until(run_local(settings, signals, reload_settings)).await
}

/// Yields an item for each SIGHUP, which requests a reload of the settings.
pub(crate) type HangupSignals = tokio::signal::unix::Signal;

async fn run_local(
    settings: Settings,
    signals: impl Stream<Item = StopSignal>,
    reload_settings: impl Fn() -> Result<Settings, String> + 'static,
) -> Result<(), Error> {
    // Installed first: without a handler, SIGHUP terminates the process.
    let hangups = signal(SignalKind::hangup()).map_err(Error::Signals)?;
    let components = Components::new(&settings)?;
    let log = components.core.log.clone();
    let listen = settings.listen;
    let (queries, query_rx) = mpsc::channel(QUERY_QUEUE_LEN);
    let handle = components.handle(queries);
    let counters = components.core.metrics.link_traffic.clone();
    let control = sl_peer::serve(
        listen.control,
        components.key.clone(),
        PEER_OPTIONS,
        counters,
        handle.clone(),
    )
    .await?;
    let ports = sl_front::Options {
        operator: listen.operator,
        metrics: listen.metrics,
        operator_key_hashes: operator_hashes(&settings)?,
    };
    let ports = sl_front::serve(ports, handle).await?;
    let caller_listener = bind(listen.caller).await?;
    let listen_error = |source| Error::Listen { address: listen.notes, source };
    let notes_socket = UdpSocket::bind(listen.notes).await.map_err(listen_error)?;
    info!(log, "started"; "caller" => %listen.caller, "control" => %control.address,
        "operator" => %ports.operator, "metrics" => %ports.metrics,
        "incarnation" => components.incarnation.0);

    let (drain_tx, mut drain_rx) = mpsc::channel(1);
    spawn_local(components.query_handler(&settings).run(query_rx, drain_tx));
    let membership = components.spawn(&settings, caller_listener, notes_socket);
    spawn_local(reload::watch(components.core.clone(), settings, hangups, reload_settings));
    let drains = futures::stream::poll_fn(move |cx| drain_rx.poll_recv(cx));
    let requests =
        futures::stream::select(signals.map(StopRequest::from), drains.map(StopRequest::Drain));
    // The store entry is removed at once, so that peers see the removal while requests in
    // flight are completed.
    let deregister = || drop(spawn_local(async move { membership.deregister().await }));
    shutdown::run(&components.core, &components.connections, requests, deregister).await;
    // A request for metrics need not be answered: the process is about to exit.
    let _ = timeout(PORTS_CLOSE_TIMEOUT.into(), ports.close()).await;
    drop(components.log_writer);
    Ok(())
}

/// How long the operator and metrics ports may take to close while clients keep connections open.
const PORTS_CLOSE_TIMEOUT: Millis = Millis(50);

/// Options of the links to peer instances.
const PEER_OPTIONS: sl_peer::Options = sl_peer::Options {
    connect_timeout: Millis(500),
    call_timeout: Millis(500),
    idle_timeout: Millis(15_000),
    max_connections: 256,
};

/// Callers' connections may use the file descriptor limit divided by this; the rest is
/// reserved for backend servers and peers.
const CALLER_DESCRIPTORS_DIVISOR: usize = 2;

/// The daemon's components, from which its tasks are spawned.
struct Components {
    /// Writes the log; dropped last, so that it flushes the remaining lines.
    log_writer: LogWriter,
    core: Rc<Core>,
    connections: Rc<ConnectionTracker>,
    store: Rc<StoreClient>,
    peer_table: Rc<PeerTable>,
    links: Links,
    key: HandshakeKey,
    datagram_key: DatagramKey,
    incarnation: Incarnation,
}

impl Components {
    fn new(settings: &Settings) -> Result<Components, Error> {
        let env = |name: &str| std::env::var(name);
        let secret = settings.keys.control_key.read(std::fs::read_to_string, env)?;
        let base = &settings.platform.address;
        let platform = base.trim_start_matches("http://").parse();
        let platform = platform.map_err(|_| Error::Platform(base.clone()))?;
        let (log, log_writer) = log::logger(settings.log, &settings.name);
        let state = State::new(options(settings)?, Clock.now());
        let max_callers = settings.bounds.max_descriptors as usize / CALLER_DESCRIPTORS_DIVISOR;
        let connections = Rc::new(ConnectionTracker::new(max_callers));
        let recorder = SharedRecorder::new(&settings.name);
        let (cache_lists, cache_list_rx) = mpsc::unbounded_channel();
        let (health_checks, health_check_rx) = mpsc::unbounded_channel();
        let core = Rc::new(Core::new(
            state,
            log,
            Metrics::default(),
            recorder,
            ServerCalls { cache_lists, health_checks },
            settings.periods.drain_timeout,
        ));
        spawn_local(engines::list_caches(core.clone(), cache_list_rx));
        spawn_local(health::check_servers(core.clone(), health_check_rx));
        let peer_table = Rc::new(PeerTable::default());
        let change_handler = ChangeHandler { core: core.clone(), peer_table: peer_table.clone() };
        let on_change = move |changes, origin| change_handler.apply(changes, origin);
        let heartbeat = settings.platform.heartbeat;
        let (own_id, peers) = (settings.id(), peer_table.clone());
        let store = StoreClient::new(core.clone(), platform, heartbeat, peers, own_id, on_change);
        let store = Rc::new(store);
        let incarnation = incarnation();
        let hello = Hello { instance: settings.id(), incarnation };
        let key = HandshakeKey::derive(secret.expose().as_bytes());
        let links = Links::new(hello, key.clone(), PEER_OPTIONS, core.metrics.link_traffic.clone());
        let datagram_key = DatagramKey::derive(secret.expose());
        Ok(Components {
            log_writer,
            core,
            connections,
            store,
            peer_table,
            links,
            key,
            datagram_key,
            incarnation,
        })
    }

    fn handle(&self, queries: mpsc::Sender<Query>) -> Handle {
        Handle {
            queries,
            ready: self.core.ready().clone(),
            metrics: self.core.metrics.clone(),
            links: self.links.clone(),
            recorder: self.core.recorder.clone(),
        }
    }

    fn query_handler(&self, settings: &Settings) -> QueryHandler {
        QueryHandler {
            core: self.core.clone(),
            store: self.store.clone(),
            peer_table: self.peer_table.clone(),
            settings: settings.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Spawns the daemon's tasks; the membership is returned for the shutdown.
    fn spawn(
        &self,
        settings: &Settings,
        caller_listener: TcpListener,
        notes_socket: UdpSocket,
    ) -> Rc<Membership> {
        let listen = settings.listen;
        let addresses = Addresses { notes: listen.notes, control: listen.control };
        let gossip = Rc::new(Gossip {
            core: self.core.clone(),
            store: self.store.clone(),
            peer_table: self.peer_table.clone(),
            own_id: settings.id(),
            incarnation: self.incarnation,
            addresses,
            cores: settings.cores.value() as f32,
            data_centre: ServiceId::of(&settings.data_centre).0,
            key: self.datagram_key.clone(),
            socket: notes_socket,
            counters: DatagramCounters::new(&self.core.metrics),
            newer_peer: Cell::new(None),
            newer_peer_seen: Notify::new(),
            relay_queue: RelayQueue::default(),
            is_relay: Cell::new(false),
            note_budget: RefCell::new(NoteBudget::new(Clock.now())),
            direct_heartbeats_sent: Cell::new(0),
        });
        let seeds = settings.seed_instances.iter().map(|it| (InstanceId::of(&it.name), it.control));
        let catch_up = CatchUp {
            core: self.core.clone(),
            store: self.store.clone(),
            gossip: gossip.clone(),
            peer_table: self.peer_table.clone(),
            links: self.links.clone(),
            seeds: seeds.collect(),
            lag: Cell::default(),
        };
        let (core, store) = (self.core.clone(), self.store.clone());
        let membership =
            Rc::new(Membership::new(core, store.clone(), settings.name.clone(), addresses));
        let peer_monitor = PeerMonitor::default();
        let pool = Pool::new(self.core.metrics.clone(), peer_monitor.clone());
        let connections = self.connections.clone();
        let response_memory = ResponseMemory::default();
        let stream_locator = self.spawn_origins(settings.id());
        spawn_local(CrashRecordWriter::new(self.core.clone(), store.clone()).run());
        let core = self.core.clone();
        let ingress = Rc::new(Ingress {
            core,
            pool,
            connections,
            peer_monitor,
            response_memory,
            stream_locator,
        });
        spawn_local(caller::accept_loop(ingress.clone(), caller_listener));
        spawn_local(async move { store.run().await });
        let (own_id, cores) = (settings.id(), settings.cores.value() as f32);
        let store = self.store.clone();
        spawn_local(run_ticks(ingress, store, self.peer_table.clone(), own_id, cores));
        spawn_local({
            let membership = membership.clone();
            async move { membership.run().await }
        });
        spawn_local({
            let gossip = gossip.clone();
            async move { gossip.run_sender().await }
        });
        spawn_local(async move { gossip.run_receiver().await });
        let cache_fetch = self.cache_fetch(settings.id());
        spawn_local(async move { cache_fetch.run().await });
        spawn_local(async move { catch_up.run().await });
        membership
    }

    fn cache_fetch(&self, own_id: InstanceId) -> CacheFetch {
        let (core, peer_table) = (self.core.clone(), self.peer_table.clone());
        CacheFetch { core, peer_table, links: self.links.clone(), own_id }
    }

    /// Spawns the tasks that keep origins of streams in the store, and returns what finds them there.
    fn spawn_origins(&self, own_id: InstanceId) -> StreamLocator {
        let (core, store) = (self.core.clone(), self.store.clone());
        let writer = OriginWriter::new(core.clone(), store.clone(), own_id, self.incarnation);
        spawn_local(writer.run());
        let reader = Rc::new(OriginReader::new(core.clone(), store));
        spawn_local({
            let reader = reader.clone();
            async move { reader.run().await }
        });
        let (peer_table, links) = (self.peer_table.clone(), self.links.clone());
        StreamLocator { core, peer_table, links, own_id, reader }
    }
}

/// The incarnation number of this process: its start in wall-clock microseconds, so that a
/// later incarnation of the same instance has a higher number.
fn incarnation() -> Incarnation {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(wall.as_micros()).unwrap_or(u64::MAX))
}

/// The time that the wall clock shows now.
fn unix_millis() -> UnixMillis {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(wall.as_millis()).unwrap_or(u64::MAX))
}

fn operator_hashes(settings: &Settings) -> Result<Vec<sl_front::KeyHash>, Error> {
    let hash = |text: &String| {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Error::KeyHash(text.clone()))?;
        Ok(*hash.as_bytes())
    };
    settings.keys.operator_key_hashes.iter().map(hash).collect()
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// How often the reducer's deadlines and the idle connections are checked.
const TICK_INTERVAL: Millis = Millis(100);

/// A suspension of the machine longer than this is logged.
const SUSPEND_LOG_THRESHOLD: Millis = Millis(300);

const MILLIS_PER_SECOND: f64 = 1_000.0;

async fn run_ticks(
    ingress: Rc<Ingress>,
    store: Rc<StoreClient>,
    peer_table: Rc<PeerTable>,
    own_id: InstanceId,
    cores: f32,
) {
    let clock = Clock;
    let mut total_suspended = clock.suspended();
    let mut listed_before = Vec::new();
    loop {
        let due = Instant::now() + TICK_INTERVAL.into();
        sleep_until(due).await;
        ingress.core.record_tick(due.elapsed().as_secs_f64() * MILLIS_PER_SECOND);
        ingress.core.step(Event::Tick);
        ingress.pool.prune();
        let hosts_gone = ingress.peer_monitor.check(std::time::Instant::now());
        ingress.core.metrics.hosts_gone.inc_by(hosts_gone as u64);
        peer_table.prune(clock.now());
        // While nobody has named the members, the reducer assumes many.
        if peer_table.len() > 0 {
            ingress.core.step(Event::InstanceCount(peer_table.len()));
        }
        let listed = peer_table.listed();
        if listed != listed_before {
            ingress.core.step(Event::InstancesListed(listed.clone()));
            listed_before = listed;
        }
        ingress.core.step(Event::StoreContact(ingress.core.store_contact_at()));
        if store.is_followed() {
            ingress.core.step(Event::StoreFollowed);
        }
        ingress.core.set_largest_ratio(peer_table.largest_ratio(cores));
        let connection_share = peer_table.connection_share(own_id, cores);
        ingress.core.step(Event::ConnectionShare(connection_share));
        let suspended = clock.suspended().saturating_sub(total_suspended);
        if suspended > std::time::Duration::from(SUSPEND_LOG_THRESHOLD) {
            warn!(ingress.core.log, "machine was suspended";
                "for_ms" => suspended.as_millis() as u64);
        }
        total_suspended += suspended;
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
        regions: regions(settings),
        seed,
        limits: limits(settings),
        share_window: settings.sharing.window,
        wall_clock: WallClock::read_at(Clock.now(), unix_millis()),
    })
}

/// The region of each data centre.
pub(crate) fn regions(settings: &Settings) -> Regions {
    settings.regions.iter().cloned().collect()
}

/// The limits that the settings impose on the reducer.
pub(crate) fn limits(settings: &Settings) -> InstanceLimits {
    InstanceLimits {
        budget: budget::Options {
            ratio: settings.retry_budget.ratio.value(),
            allowance: settings.retry_budget.allowance,
            window: settings.retry_budget.window,
        },
        max_in_flight: settings.bounds.max_in_flight as usize,
        data_centre_cost_ms_per_mb: settings.placement.data_centre_cost_ms_per_mb,
        warmup: WarmupBound {
            overshoot: settings.warmup.overshoot.value(),
            allowance: settings.warmup.allowance,
        },
        balances_routes: settings.sharing.routes == RouteSharing::Balanced,
    }
}
