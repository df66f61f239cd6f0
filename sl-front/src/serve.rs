//! Starts and stops the Rocket servers. Rocket handles no signal by itself: the daemon sees
//! a planned stop through, then the servers are closed.

use std::{net::SocketAddr, sync::Mutex};

use rocket::{
    Build, Ignite, Rocket, Shutdown,
    config::{Ident, LogLevel, Shutdown as Grace},
    fairing::AdHoc,
};
use tokio::{sync::oneshot, task::JoinHandle};

use crate::{
    Daemon,
    operator::{self, Operator, Watched},
};

/// What the front needs to know from settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where operators call.
    pub operator: SocketAddr,
    /// Where the balancer calls, and what collects metrics.
    pub metrics: SocketAddr,
    /// BLAKE3 hashes of the operators' keys.
    pub operator_key_hashes: Vec<operator::KeyHash>,
}

/// Why a server did not start, or ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The server could not be started.
    #[error("cannot serve on {address}: {reason}")]
    Start {
        /// Where it was to listen.
        address: SocketAddr,
        /// What Rocket says.
        reason: String,
    },
}

/// All servers, running.
#[derive(Debug)]
pub struct Server {
    /// Where operators call.
    pub operator: SocketAddr,
    /// Where the balancer calls, and what collects metrics.
    pub metrics: SocketAddr,
    running: Vec<Running>,
}

#[derive(Debug)]
struct Running {
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// Starts all servers in front of `node`.
///
/// # Errors
///
/// [`Error::Start`] where a port cannot be had.
pub async fn serve<N: Daemon>(options: Options, node: N) -> Result<Server, Error> {
    let operator = Operator::new(node.clone(), &options.operator_key_hashes);
    let operator = build(options.operator).mount("/", operator.routes());
    let metrics = build(options.metrics).mount("/", Watched(node).routes());
    let (operator, operator_running) = start(operator, options.operator).await?;
    let (metrics, metrics_running) = start(metrics, options.metrics).await?;
    Ok(Server { operator, metrics, running: vec![operator_running, metrics_running] })
}

impl Server {
    /// Closes all servers.
    pub async fn close(self) {
        for running in &self.running {
            running.shutdown.clone().notify();
        }
        for running in self.running {
            // A server that ended by itself has nothing left to close.
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
        shutdown: Grace {
            ctrlc: false,
            signals: Default::default(),
            grace: GRACE_SECONDS,
            mercy: MERCY_SECONDS,
            force: false,
            ..Grace::default()
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
        let at = SocketAddr::new(rocket.config().address, rocket.config().port);
        let tx = tx.lock().ok().and_then(|mut it| it.take());
        Box::pin(async move {
            if let Some(tx) = tx {
                let _ = tx.send(at);
            }
        })
    }));
    let rocket: Rocket<Ignite> = rocket.ignite().await.map_err(failed)?;
    let shutdown = rocket.shutdown();
    let mut launch = Box::pin(rocket.launch());
    let at = tokio::select! {
        Ok(at) = rx => at,
        ended = &mut launch => {
            return Err(match ended {
                Err(e) => failed(e),
                Ok(_) => Error::Start { address, reason: "ended at once".to_owned() },
            });
        }
    };
    let task = tokio::spawn(async move {
        if let Err(e) = launch.await {
            // Looking at the error keeps Rocket from panicking when it is dropped.
            let _ = e.kind();
        }
    });
    Ok((at, Running { shutdown, task }))
}

/// Seconds that a connection may take to flush its last answer once its server closes.
const GRACE_SECONDS: u32 = 1;
/// Seconds that closing a connection may take after that.
const MERCY_SECONDS: u32 = 1;
