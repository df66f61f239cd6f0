//! Several daemons, a store and backend servers.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use stand_ins::{Caller, Relay, Server, ServerSpec, Store, document, server::Workload};
use tempfile::TempDir;

use crate::instance::{self, Instance};

/// A running fleet. Dropping it ends every process that it started.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// A relay to the store for each instance.
    pub store_relays: Vec<Relay>,
    /// The plain servers, then the model engines.
    pub servers: Vec<Server>,
    /// The instances.
    pub instances: Vec<Instance>,
    dir: TempDir,
}

/// The size of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's binary.
    pub binary: PathBuf,
    /// Instances.
    pub instances: usize,
    /// Servers of the plain service.
    pub apps: usize,
    /// Model engines.
    pub engines: usize,
}

/// Any port of the loopback device.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How long a plain server works on a request.
pub const PLAIN_WORK: Duration = Duration::from_millis(10);

/// How a model engine works.
pub const ENGINE: Workload = Workload::Engine {
    tokens_per_ms: 50,
    event_interval: Duration::from_millis(20),
    event_count: 10,
};

/// How long anything may take to come about on a busy machine.
const COMES_ABOUT_WITHIN: Duration = Duration::from_secs(20);

/// How often it is looked for.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Waits until `holds` gives true.
///
/// # Panics
///
/// Where it does not in a time that is long on any machine.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + COMES_ABOUT_WITHIN;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "never came about: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

impl Fleet {
    /// Starts a fleet with the standard configuration, and waits until all instances are
    /// ready.
    ///
    /// # Errors
    ///
    /// Where a port or a file cannot be had.
    pub async fn start(options: Options) -> io::Result<Fleet> {
        let store = Store::start(ANY).await?;
        store.put(document::CONFIG_KEY, &document::standard(1));
        let mut servers = Vec::new();
        for at in 0..options.apps {
            servers
                .push(server(&format!("app-{at}"), "app", 6, Workload::Plain(PLAIN_WORK)).await?);
        }
        for at in 0..options.engines {
            servers.push(server(&format!("engine-{at}"), "model", 64, ENGINE).await?);
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
        for at in 0..options.instances {
            fleet.add(&options.binary, at).await?;
        }
        fleet.ready().await;
        Ok(fleet)
    }

    async fn add(&mut self, binary: &std::path::Path, at: usize) -> io::Result<()> {
        let relay = Relay::start(ANY, self.store.address()).await?;
        let seeds: Vec<SocketAddr> = self.instances.iter().map(|it| it.control).take(3).collect();
        let options = instance::Options {
            binary,
            dir: self.dir.path(),
            name: &format!("instance-{at}"),
            data_centre: ["here", "there"][at % 2],
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
    pub async fn ready(&self) {
        for instance in &self.instances {
            let what = format!("{} is ready; its log:\n{}", instance.name, instance.log());
            eventually(&what, async || is_ready(instance).await).await;
        }
    }

    /// A new connection to the caller port of an instance.
    ///
    /// # Errors
    ///
    /// Where none comes about.
    pub async fn caller(&self, at: usize) -> io::Result<Caller> {
        Caller::connect(self.instances[at].caller).await
    }

    /// The plain servers.
    pub fn apps(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|it| it.spec.service == "app")
    }

    /// The model engines.
    pub fn engines(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|it| it.spec.service == "model")
    }

    /// How often servers ran the caller's attempt.
    pub fn runs_of(&self, attempt: &str) -> usize {
        let runs = self.servers.iter().flat_map(Server::executed_requests);
        runs.filter(|it| it.attempt_id == attempt).count()
    }
}

async fn server(id: &str, service: &str, slots: usize, work: Workload) -> io::Result<Server> {
    let spec = ServerSpec {
        id: id.to_owned(),
        service: service.to_owned(),
        data_centre: "here".to_owned(),
        slots,
        workload: work,
    };
    Server::start(ANY, spec).await
}

/// Whether the balancer would send callers to the instance.
pub async fn is_ready(instance: &Instance) -> bool {
    let asked = async {
        let mut caller = Caller::connect(instance.metrics).await.ok()?;
        caller.send(b"GET /ready HTTP/1.1\r\nHost: probe\r\n\r\n").await.ok()?;
        Some(caller.read_response("GET").await.ok()?.status() == 200)
    };
    asked.await.unwrap_or(false)
}
