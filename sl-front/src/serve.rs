//! Starts and stops the Rocket servers. Rocket's signal handling is disabled, because the
//! daemon drains its requests before it closes the servers.

use std::{net::SocketAddr, sync::Mutex};

use rocket::{
    Build, Ignite, Rocket, Shutdown,
    config::{Ident, LogLevel, Shutdown as ShutdownConfig},
    fairing::AdHoc,
};
use tokio::{sync::oneshot, task::JoinHandle};

use crate::{
    Daemon,
    operator::{self, MetricsPort, OperatorPort},
};

/// Addresses and keys of the ports, from the settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listening address of the operator port.
    pub operator: SocketAddr,
    /// Listening address for the load balancer's health checks and the metrics collector.
    pub metrics: SocketAddr,
    /// BLAKE3 hashes of the accepted operator keys.
    pub operator_key_hashes: Vec<operator::KeyHash>,
}

/// Why the servers could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A server could not be started, for example because its address is in use.
    #[error("cannot start the HTTP server on {address}: {reason}")]
    Start {
        /// The address from the settings.
        address: SocketAddr,
        /// Rocket's error message.
        reason: String,
    },
}

/// The running servers.
#[derive(Debug)]
pub struct Server {
    /// Bound address of the operator port.
    pub operator: SocketAddr,
    /// Bound address of the metrics port.
    pub metrics: SocketAddr,
    running: Vec<Running>,
}

#[derive(Debug)]
struct Running {
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// Starts the servers of both ports for `daemon`.
///
/// # Errors
///
/// [`Error::Start`] if a port cannot be opened.
pub async fn serve<D: Daemon>(options: Options, daemon: D) -> Result<Server, Error> {
    let operator = OperatorPort::new(daemon.clone(), &options.operator_key_hashes);
    let operator = build(options.operator).mount("/", operator.routes());
    let metrics = build(options.metrics).mount("/", MetricsPort(daemon).routes());
    let (operator, operator_running) = start(operator, options.operator).await?;
    let (metrics, metrics_running) = start(metrics, options.metrics).await?;
    Ok(Server { operator, metrics, running: vec![operator_running, metrics_running] })
}

impl Server {
    /// Closes all servers and waits until they have ended.
    pub async fn close(self) {
        for running in &self.running {
            running.shutdown.clone().notify();
        }
        for running in self.running {
            // The result does not matter: a server that has already ended needs no close.
            let _ = running.task.await;
        }
    }
}

fn build(address: SocketAddr) -> Rocket<Build> {
    let config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: GRACE_SECONDS,
            mercy: MERCY_SECONDS,
            force: false,
            ..ShutdownConfig::default()
        },
        ..rocket::Config::release_default()
    };
    rocket::custom(config)
}

async fn start(rocket: Rocket<Build>, address: SocketAddr) -> Result<(SocketAddr, Running), Error> {
    let failed = |e: rocket::Error| Error::Start { address, reason: e.kind().to_string() };
    let (tx, rx) = oneshot::channel();
    let tx = Mutex::new(Some(tx));
    let rocket = rocket.attach(AdHoc::on_liftoff("listening", move |rocket| {
        let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
        let tx = tx.lock().ok().and_then(|mut it| it.take());
        Box::pin(async move {
            if let Some(tx) = tx {
                let _ = tx.send(bound);
            }
        })
    }));
    let rocket: Rocket<Ignite> = rocket.ignite().await.map_err(failed)?;
    let shutdown = rocket.shutdown();
    let mut launch = Box::pin(rocket.launch());
    let bound = tokio::select! {
        Ok(bound) = rx => bound,
        ended = &mut launch => {
            return Err(match ended {
                Err(e) => failed(e),
                Ok(_) => Error::Start { address, reason: "server ended at startup".to_owned() },
            });
        }
    };
    let task = tokio::spawn(async move {
        if let Err(e) = launch.await {
            // Rocket panics when an error is dropped that was never inspected.
            let _ = e.kind();
        }
    });
    Ok((bound, Running { shutdown, task }))
}

/// Time for connections to finish their last response after the server begins to close, in
/// seconds.
const GRACE_SECONDS: u32 = 1;
/// Further time after that for the connections' I/O to end, in seconds.
const MERCY_SECONDS: u32 = 1;
