//! Graceful shutdown: the balancer and callers with open connections get time to move to other
//! instances, and requests in flight are completed.

use sl_base::Millis;
use slog::info;
use tokio::time::sleep;

use crate::{
    core::{Core, ShutdownPhase},
    overload::BALANCER_DELAY,
    unused::ConnectionTracker,
};

/// Time that a request may be in transit to a connection that is being closed.
const IN_TRANSIT_DELAY: Millis = Millis(100);

/// Time to send the last responses and to reject requests still in transit.
const FINAL_RESPONSES_DELAY: Millis = Millis(150);

/// How often it is checked whether there are requests.
const POLL_INTERVAL: Millis = Millis(20);

/// Runs the phases of a graceful shutdown, waiting up to `drain_timeout` for requests in flight
/// and for those that are still being received. Requests still in flight when this returns are
/// cut off. The fixed delays apply even if `drain_timeout` is shorter.
pub(crate) async fn shut_down(core: &Core, connections: &ConnectionTracker, drain_timeout: Millis) {
    let started_at = core.now();
    let deadline = started_at.after(drain_timeout);
    info!(core.log, "graceful shutdown started";
        "within_ms" => drain_timeout.0, "held" => in_flight(core));
    core.set_phase(ShutdownPhase::Stopping);
    sleep(BALANCER_DELAY.into()).await;
    core.set_phase(ShutdownPhase::RefusingStreams);
    // A request sent just before the caller saw its connection close still gets a response.
    sleep(IN_TRANSIT_DELAY.into()).await;
    while is_busy(core, connections) && !deadline.is_due(core.now()) {
        sleep(POLL_INTERVAL.into()).await;
    }
    core.set_phase(ShutdownPhase::Terminating);
    // Requests read by now still get a response.
    sleep(FINAL_RESPONSES_DELAY.into()).await;
    let took_ms = core.now().micros_since(started_at) / 1_000;
    info!(core.log, "graceful shutdown finished"; "cut" => in_flight(core), "took_ms" => took_ms);
}

/// Whether requests are in flight or being received.
fn is_busy(core: &Core, connections: &ConnectionTracker) -> bool {
    in_flight(core) + connections.receiving_count() > 0
}

fn in_flight(core: &Core) -> usize {
    core.with_state(|it| it.in_flight())
}
