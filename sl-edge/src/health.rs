//! Asks servers for their health, on behalf of the whole fleet. See docs/design/cold-servers.md.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use sl_base::Millis;
use sl_route::{Event, ServerKey};
use slog::debug;
use tokio::{sync::mpsc, task::spawn_local, time::Instant};

use crate::{
    core::Core,
    wire::{self, Call, CallError, Response},
};

/// A server to ask.
#[derive(Clone, Debug)]
pub(crate) struct HealthCheck {
    pub(crate) server: ServerKey,
    pub(crate) address: SocketAddr,
    /// The path to ask for.
    pub(crate) path: Arc<str>,
}

/// The timeout of a request for a server's health.
const CHECK_TIMEOUT: Millis = Millis(1_000);

/// Bytes of the largest body that is accepted.
const BODY_BYTES_MAX: usize = 64 << 10;

/// Asks each server received over `checks`. One that does not respond holds up no other.
pub(crate) async fn check_servers(
    core: Rc<Core>,
    mut checks: mpsc::UnboundedReceiver<HealthCheck>,
) {
    while let Some(check) = checks.recv().await {
        spawn_local(check_server(core.clone(), check));
    }
}

async fn check_server(core: Rc<Core>, check: HealthCheck) {
    let HealthCheck { server, address, .. } = check;
    core.metrics.health_checks.inc();
    match ask(&check).await {
        Ok(response) => core.report_server_state(server, &response.headers),
        Err(e) => debug!(core.log, "no answer about a server's health";
            "address" => %address, "reason" => %e),
    }
    core.step(Event::HealthChecked { server });
}

async fn ask(check: &HealthCheck) -> Result<Response, CallError> {
    let call = Call {
        method: "GET",
        target: &check.path,
        host: check.address,
        body: &[],
        body_bytes_max: BODY_BYTES_MAX,
        deadline: Instant::now() + CHECK_TIMEOUT.into(),
    };
    let mut conn = wire::connect(call).await?;
    wire::call(&mut conn, call).await
}
