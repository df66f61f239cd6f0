//! Graceful shutdown: the balancer and callers with open connections get time to move to other
//! instances, and requests in flight are completed.

use std::cell::Cell;

use sl_base::{Millis, RequestId, Timestamp};
use sl_route::Route;
use slog::{info, warn};
use tokio::{sync::watch, time::sleep};

use crate::{core::Core, overload::BALANCER_DELAY, unused::ConnectionTracker};

/// Phases of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown is in progress.
    Serving,
    /// Connections are closed after their next response.
    Stopping,
    /// Idle connections are closed, too, unless they wait for their first request. Streaming
    /// requests are rejected, as they may outlast this instance.
    RefusingStreams,
    /// Every request is rejected and the process is about to exit.
    Terminating,
}

/// The state of the shutdown, and counts of the requests that arrive during it.
pub(crate) struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
    started_at: Cell<Option<Timestamp>>,
    accepted: Cell<u64>,
    last_accepted_at: Cell<Option<Timestamp>>,
    refused: Cell<u64>,
}

/// Time that a request may be in transit to a connection that is being closed.
const IN_TRANSIT_DELAY: Millis = Millis(100);

/// Time to send the last responses and to reject requests still in transit.
const FINAL_RESPONSES_DELAY: Millis = Millis(150);

/// How often it is checked whether there are requests.
const POLL_INTERVAL: Millis = Millis(20);

impl Shutdown {
    /// The state while no shutdown is in progress.
    pub(crate) fn new() -> Shutdown {
        Shutdown {
            phase: watch::Sender::new(ShutdownPhase::Serving),
            started_at: Cell::new(None),
            accepted: Cell::default(),
            last_accepted_at: Cell::new(None),
            refused: Cell::default(),
        }
    }

    /// Whether a shutdown is in progress.
    pub(crate) fn is_in_progress(&self) -> bool {
        *self.phase.borrow() > ShutdownPhase::Serving
    }

    /// Waits until idle connections are closed.
    pub(crate) async fn idle_close_started(&self) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.phase.subscribe().wait_for(|it| *it > ShutdownPhase::Stopping).await;
    }

    /// Waits until no further connections are to be accepted.
    pub(crate) async fn termination_started(&self) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.phase.subscribe().wait_for(|it| *it == ShutdownPhase::Terminating).await;
    }

    /// Whether a request on `route` that arrives now can be expected to complete before this
    /// instance exits.
    pub(crate) fn accepts(&self, route: &Route) -> bool {
        match *self.phase.borrow() {
            ShutdownPhase::Serving | ShutdownPhase::Stopping => true,
            ShutdownPhase::RefusingStreams => !route.retry_policy.is_stream(),
            ShutdownPhase::Terminating => false,
        }
    }

    /// Counts a request that is passed to the reducer at `now`. Returns how long the shutdown has
    /// been in progress, in milliseconds.
    pub(crate) fn record_accepted(&self, now: Timestamp) -> Option<u64> {
        let age = self.age_ms(now)?;
        self.accepted.set(self.accepted.get() + 1);
        self.last_accepted_at.set(Some(now));
        Some(age)
    }

    /// Counts a request that is refused because of the shutdown.
    pub(crate) fn record_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// How long the shutdown has been in progress at `at`, in milliseconds; `None` before it.
    fn age_ms(&self, at: Timestamp) -> Option<u64> {
        let started_at = self.started_at.get()?;
        Some(at.micros_since(started_at) / MICROS_PER_MILLI)
    }
}

const MICROS_PER_MILLI: u64 = 1_000;

/// Runs the phases of a graceful shutdown, waiting up to `drain_timeout` for requests in flight
/// and for those that are still being received. Requests still in flight when this returns are
/// cut off. The fixed delays apply even if `drain_timeout` is shorter.
pub(crate) async fn shut_down(core: &Core, connections: &ConnectionTracker, drain_timeout: Millis) {
    let started_at = core.now();
    let deadline = started_at.after(drain_timeout);
    info!(core.log, "graceful shutdown started";
        "within_ms" => drain_timeout.0, "held" => in_flight(core));
    core.shutdown.started_at.set(Some(started_at));
    set_phase(core, ShutdownPhase::Stopping);
    sleep(BALANCER_DELAY.into()).await;
    set_phase(core, ShutdownPhase::RefusingStreams);
    // A request sent just before the caller saw its connection close still gets a response.
    sleep(IN_TRANSIT_DELAY.into()).await;
    while is_busy(core, connections) && !deadline.is_due(core.now()) {
        sleep(POLL_INTERVAL.into()).await;
    }
    set_phase(core, ShutdownPhase::Terminating);
    // Requests read by now still get a response.
    sleep(FINAL_RESPONSES_DELAY.into()).await;
}

/// Logs how the shutdown ended, and each request that is cut off by the exit.
pub(crate) fn log_end(core: &Core, is_aborted: bool) {
    let now = core.now();
    let shutdown = &core.shutdown;
    let cut = core.requests_in_flight();
    for RequestId(request) in &cut {
        core.flush_request_lines(RequestId(*request));
        warn!(core.log, "request cut off by shutdown"; "request" => request);
    }
    let last_accepted_ms = shutdown.last_accepted_at.get().and_then(|it| shutdown.age_ms(it));
    let msg = match is_aborted {
        true => "graceful shutdown aborted by a signal",
        false => "graceful shutdown finished",
    };
    info!(core.log, "{}", msg; "cut" => cut.len(), "took_ms" => shutdown.age_ms(now),
        "accepted" => shutdown.accepted.get(), "last_accepted_ms" => last_accepted_ms,
        "refused" => shutdown.refused.get());
}

fn set_phase(core: &Core, phase: ShutdownPhase) {
    core.shutdown.phase.send_replace(phase);
    core.update_readiness();
}

/// Whether requests are in flight or being received.
fn is_busy(core: &Core, connections: &ConnectionTracker) -> bool {
    in_flight(core) + connections.receiving_count() > 0
}

fn in_flight(core: &Core) -> usize {
    core.with_state(|it| it.in_flight())
}
