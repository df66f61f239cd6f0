//! Starts and stops the Rocket servers. Rocket handles no signal and cuts nothing
//! by itself: the reducer sees a planned stop through, then the servers are closed.

use std::{net::SocketAddr, sync::Mutex};

use rocket::{
    Build, Catcher, Ignite, Rocket, Shutdown,
    config::{Ident, LogLevel, Shutdown as Grace},
    fairing::AdHoc,
    shield::Shield,
};
use sl_base::Millis;
use tokio::{sync::oneshot, task::JoinHandle, time};

use crate::{
    Gate, Node,
    connection::Callers,
    door::{Door, Limits, Stray},
    operator::{self, Operator, Watched},
};

/// What the front needs to know from settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where callers call.
    pub caller: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
    /// Where the balancer calls, and what collects metrics.
    pub metrics: SocketAddr,
    /// BLAKE3 hashes of the operators' keys.
    pub operator_key_hashes: Vec<operator::KeyHash>,
    /// Bytes of one request's headers.
    pub headers_max: u64,
    /// Requests that the instance holds at once.
    pub requests_max: u64,
    /// Bytes of bodies that the instance holds at once.
    pub bytes_max: u64,
    /// How long a caller may take to send its body.
    pub body_within: Millis,
    /// Bodies of answers up to this many bytes are passed on only when they are whole.
    pub buffer_max: u64,
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
    /// Where callers call.
    pub caller: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
    /// Where the balancer calls, and what collects metrics.
    pub metrics: SocketAddr,
    gate: Gate,
    running: Vec<Running>,
    sweep: JoinHandle<()>,
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
pub async fn serve<N: Node + Unpin>(options: Options, node: N) -> Result<Server, Error> {
    let gate = Gate::new(options.requests_max, options.bytes_max);
    let callers = Callers::default();
    let limits = Limits {
        headers_max: options.headers_max,
        body_within: options.body_within,
        buffer_max: options.buffer_max,
    };
    let door = Door::new(node.clone(), gate.clone(), callers.clone(), limits);
    let stray = Catcher::new(None, Stray(node.clone()));
    let caller = build(options.caller).mount("/", door.routes()).register("/", vec![stray]);
    let operator = Operator::new(node.clone(), &options.operator_key_hashes);
    let operator = build(options.operator).mount("/", operator.routes());
    let metrics = build(options.metrics).mount("/", Watched(node.clone()).routes());
    let (caller, caller_running) = start(caller, options.caller).await?;
    let (operator, operator_running) = start(operator, options.operator).await?;
    let (metrics, metrics_running) = start(metrics, options.metrics).await?;
    Ok(Server {
        caller,
        operator,
        metrics,
        gate,
        running: vec![caller_running, operator_running, metrics_running],
        sweep: tokio::spawn(sweep(node, callers, caller.port())),
    })
}

impl Server {
    /// Requests and bytes that are inside.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Waits until the last answer went out, or `within` passed, and closes all servers.
    pub async fn close(self, within: Millis) {
        let emptied = async {
            while self.gate.requests() > 0 {
                time::sleep(EMPTY_CHECK.into()).await;
            }
        };
        let _ = time::timeout(within.into(), emptied).await;
        self.sweep.abort();
        for running in &self.running {
            running.shutdown.clone().notify();
        }
        for running in self.running {
            let _ = running.task.await;
        }
    }
}

/// Tells the daemon which callers closed their connections: Rocket never says so of a
/// request that has no answer yet.
async fn sweep<N: Node>(node: N, callers: Callers, port: u16) {
    let mut ticks = time::interval(SWEEP_PERIOD.into());
    let mut old = None;
    loop {
        ticks.tick().await;
        if let Some(last) = old {
            for request in callers.take_gone(port, last) {
                node.caller_gone(request);
            }
        }
        old = callers.last();
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
    // An empty shield: what a backend server answers is not ours to add headers to.
    rocket::custom(config).attach(Shield::new())
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

/// How often closed connections are looked for.
const SWEEP_PERIOD: Millis = Millis(250);
/// How often a closing server looks whether the last answer went out.
const EMPTY_CHECK: Millis = Millis(5);
/// Seconds that a connection may take to flush its last answer once its server closes.
const GRACE_SECONDS: u32 = 5;
/// Seconds that closing a connection may take after that.
const MERCY_SECONDS: u32 = 1;
