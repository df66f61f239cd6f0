//! Several instances with a store and backend servers.

use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use stand_ins::{Caller, Relay, Server, ServerSpec, Store, document, server::Workload};
use tempfile::TempDir;

use crate::instance::{self, Instance};

/// A running fleet. Dropping it kills the processes of its instances.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in for the platform's store.
    pub store: Store,
    /// The relays through which the instances reach the store, in the order of the instances.
    pub store_relays: Vec<Relay>,
    /// The backend servers: first the plain servers, then the model engines.
    pub servers: Vec<Server>,
    /// The instances, in the order in which they were started.
    pub instances: Vec<Instance>,
    dir: TempDir,
}

/// The size of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `sesamelock` binary.
    pub binary: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Number of plain servers.
    pub apps: usize,
    /// Number of model engines.
    pub engines: usize,
}

/// The loopback address with port 0, for which the system chooses a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How long a plain server takes to respond.
pub const PLAIN_RESPONSE_TIME: Duration = Duration::from_millis(10);

/// How a model engine processes requests.
pub const ENGINE_WORKLOAD: Workload = Workload::Engine {
    tokens_per_ms: 50,
    event_interval: Duration::from_millis(20),
    event_count: 10,
};

/// How long a condition may take to be met, even on a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `is_met` returns true. `condition` describes the condition in the message of
/// the panic; it is formatted after the wait, so it can show what happened meanwhile.
///
/// # Panics
///
/// Panics if the condition is not met within a timeout that is long on any machine.
pub async fn eventually(condition: impl fmt::Display, mut is_met: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !is_met().await {
        assert!(tokio::time::Instant::now() < deadline, "timeout while waiting until: {condition}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Fleet {
    /// Starts a fleet with the standard configuration, and waits until all instances are
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound, a file cannot be written, or the binary
    /// cannot be run.
    pub async fn start(options: Options) -> io::Result<Fleet> {
        Fleet::start_in(&["here", "there"], options).await
    }

    /// Starts a fleet whose instances are in the data centres by turns.
    ///
    /// # Errors
    ///
    /// The same as of [`Fleet::start`].
    pub async fn start_in(data_centres: &[&'static str], options: Options) -> io::Result<Fleet> {
        let store = Store::start(ANY_PORT).await?;
        store.put(document::CONFIG_KEY, &document::standard(1));
        let mut servers = Vec::new();
        for index in 0..options.apps {
            servers.push(
                start_server(
                    &format!("app-{index}"),
                    "app",
                    6,
                    Workload::Plain(PLAIN_RESPONSE_TIME),
                )
                .await?,
            );
        }
        for index in 0..options.engines {
            servers.push(
                start_server(&format!("engine-{index}"), "model", 64, ENGINE_WORKLOAD).await?,
            );
        }
        for server in &servers {
            server.register(&store, "ready");
        }
        let mut fleet = Fleet {
            store,
            store_relays: Vec::new(),
            servers,
            instances: Vec::new(),
            dir: tempfile::tempdir()?,
        };
        for index in 0..options.instances {
            fleet.add_instance(&options.binary, data_centres, index).await?;
        }
        fleet.wait_until_ready().await;
        Ok(fleet)
    }

    async fn add_instance(
        &mut self,
        binary: &std::path::Path,
        data_centres: &[&'static str],
        index: usize,
    ) -> io::Result<()> {
        let relay = Relay::start(ANY_PORT, self.store.address()).await?;
        let seeds: Vec<SocketAddr> = self.instances.iter().map(|it| it.control).take(3).collect();
        let options = instance::Options {
            binary,
            dir: self.dir.path(),
            name: &format!("instance-{index}"),
            data_centre: data_centres[index % data_centres.len()],
            store: relay.address(),
            seeds: &seeds,
        };
        let mut instance = Instance::prepare(options)?;
        instance.start()?;
        self.store_relays.push(relay);
        self.instances.push(instance);
        Ok(())
    }

    /// Waits until all instances are ready.
    pub async fn wait_until_ready(&self) {
        for instance in &self.instances {
            eventually(Readiness(instance), async || is_ready(instance).await).await;
        }
    }

    /// Opens a new connection to the caller port of the instance with `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn caller(&self, index: usize) -> io::Result<Caller> {
        Caller::connect(self.instances[index].caller).await
    }

    /// The plain servers.
    pub fn apps(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|it| it.spec.service == "app")
    }

    /// The model engines.
    pub fn engines(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|it| it.spec.service == "model")
    }

    /// How many times servers executed the attempt with this id.
    pub fn execution_count(&self, attempt_id: &str) -> usize {
        let executed = self.servers.iter().flat_map(Server::executed_requests);
        executed.filter(|it| it.attempt_id == attempt_id).count()
    }
}

/// The condition that an instance is ready, displayed with the instance's log of that moment.
struct Readiness<'a>(&'a Instance);

impl fmt::Display for Readiness<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is ready; its log:\n{}", self.0.name, self.0.log())
    }
}

/// Starts a server that is not registered in the store, in the data centre `here`.
pub(crate) async fn start_server(
    id: &str,
    service: &str,
    slots: usize,
    workload: Workload,
) -> io::Result<Server> {
    let spec = ServerSpec {
        id: id.to_owned(),
        service: service.to_owned(),
        data_centre: "here".to_owned(),
        slots,
        workload,
    };
    Server::start(ANY_PORT, spec).await
}

/// Whether the instance reports itself as ready, so that the load balancer sends it callers.
pub async fn is_ready(instance: &Instance) -> bool {
    is_ready_at(instance.metrics).await
}

/// Whether the instance whose port for metrics is at `address` reports itself as ready.
pub(crate) async fn is_ready_at(address: SocketAddr) -> bool {
    let response_is_ok = async {
        let mut caller = Caller::connect(address).await.ok()?;
        caller.send(b"GET /ready HTTP/1.1\r\nHost: probe\r\n\r\n").await.ok()?;
        Some(caller.read_response("GET").await.ok()?.status() == 200)
    };
    response_is_ok.await.unwrap_or(false)
}
