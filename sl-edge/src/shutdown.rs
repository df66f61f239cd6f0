//! Graceful shutdown: the balancer and callers with open connections get time to move to other
//! instances, and every request that was accepted gets a response. The decisions are those of
//! [`sl_route::shutdown`]; see docs/design/shutdown.md.

use std::cell::Cell;

use futures::{Stream, StreamExt};
use sl_base::{Millis, Timestamp};
use sl_route::shutdown::{self, Candidate, Phase, StopRequest};
use slog::info;
use tokio::{sync::watch, time::sleep};

use crate::{connection_tracker::ConnectionTracker, core::Core, overload::BALANCER_DELAY};

/// The state of the shutdown, and counts of the requests that arrive during it.
pub(crate) struct ShutdownControl {
    /// The shutdown in progress; `None` before it.
    current: Cell<Option<shutdown::Shutdown>>,
    /// Wakes those that wait for a phase; `None` before the shutdown.
    phase: watch::Sender<Option<Phase>>,
    /// The drain timeout of the settings.
    pub(crate) drain_timeout: Cell<Millis>,
    tally: Tally,
}

/// Counts of the requests that arrive during a shutdown.
#[derive(Default)]
struct Tally {
    accepted: Cell<u64>,
    last_accepted_at: Cell<Option<Timestamp>>,
    refused: Cell<u64>,
    /// Requests that the end of the shutdown leaves without a server's response.
    cut: Cell<u64>,
}

/// Shortest time to send the last responses and to refuse requests in transit.
const FINAL_RESPONSES_MIN: Millis = Millis(150);

/// Longest time for it, while responses are being written.
const FINAL_RESPONSES_MAX: Millis = Millis(350);

/// How often it is checked whether there are requests.
const POLL_INTERVAL: Millis = Millis(20);

impl ShutdownControl {
    /// The state while no shutdown is in progress.
    pub(crate) fn new(drain_timeout: Millis) -> ShutdownControl {
        ShutdownControl {
            current: Cell::new(None),
            phase: watch::Sender::new(None),
            drain_timeout: Cell::new(drain_timeout),
            tally: Tally::default(),
        }
    }

    /// Whether a shutdown is in progress.
    pub(crate) fn is_in_progress(&self) -> bool {
        self.current.get().is_some()
    }

    /// Waits until a connection that is idle from now on is closed. One that becomes idle when
    /// others are closed already stays open for a moment: its caller may have been told that it is
    /// kept, and its next request may be in transit.
    pub(crate) async fn idle_close_due(&self) {
        let others_are_closed = *self.phase.borrow() >= Some(Phase::ClosingIdle);
        self.reached(Phase::ClosingIdle).await;
        if others_are_closed {
            sleep(shutdown::TRANSIT_DELAY.into()).await;
        }
    }

    /// Waits until no request is accepted any more, and those in flight have to end.
    pub(crate) async fn termination_started(&self) {
        self.reached(Phase::Terminating).await;
    }

    async fn reached(&self, phase: Phase) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.phase.subscribe().wait_for(|it| *it >= Some(phase)).await;
    }

    /// Whether a request is accepted at `now`: it will be answered before this instance exits.
    pub(crate) fn accepts(&self, now: Timestamp, candidate: Candidate) -> bool {
        self.current.get().is_none_or(|it| it.accepts(now, candidate))
    }

    /// The deadline of a request that is due at `deadline`, cut to the end of the shutdown.
    pub(crate) fn cap(&self, deadline: Timestamp) -> Timestamp {
        self.current.get().map_or(deadline, |it| it.cap(deadline))
    }

    /// How long the shutdown has been in progress at `at`, in milliseconds; `None` before it.
    pub(crate) fn age_ms(&self, at: Timestamp) -> Option<u64> {
        let started_at = self.current.get()?.started_at();
        Some(at.micros_since(started_at) / MICROS_PER_MILLI)
    }

    /// Counts a request that is passed to the reducer at `now`, if a shutdown is in progress.
    pub(crate) fn record_accepted(&self, now: Timestamp) {
        if self.is_in_progress() {
            self.tally.accepted.set(self.tally.accepted.get() + 1);
            self.tally.last_accepted_at.set(Some(now));
        }
    }

    /// Counts a request that is refused because of the shutdown.
    pub(crate) fn record_refused(&self) {
        self.tally.refused.set(self.tally.refused.get() + 1);
    }

    /// Counts a request that the end of the shutdown leaves without a server's response.
    pub(crate) fn record_cut(&self) {
        self.tally.cut.set(self.tally.cut.get() + 1);
    }

    /// Starts the shutdown, or changes the one in progress.
    fn apply(&self, now: Timestamp, request: StopRequest) {
        let drain_timeout = self.drain_timeout.get();
        let options = shutdown::Options { drain_timeout, balancer_delay: BALANCER_DELAY };
        let next = match self.current.get() {
            None => shutdown::Shutdown::begin(now, request, options),
            Some(mut current) => {
                current.request(now, request, options);
                current
            }
        };
        self.current.set(Some(next));
    }

    /// Moves to the phase that is due, and wakes those that wait for it.
    fn advance(&self, now: Timestamp, is_busy: bool) -> Option<Phase> {
        let mut current = self.current.get()?;
        let phase = current.advance(now, is_busy);
        self.current.set(Some(current));
        self.phase.send_if_modified(|it| it.replace(phase) != Some(phase));
        Some(phase)
    }

    /// When the shutdown is to be advanced next.
    fn next_check(&self, now: Timestamp) -> Timestamp {
        self.current.get().map_or(now, |it| it.next_check(now, POLL_INTERVAL))
    }
}

const MICROS_PER_MILLI: u64 = 1_000;

/// Waits for the first of `requests`, calls `on_start`, and runs the shutdown to its end. Further
/// requests may shorten it. When this returns, each request that was accepted has its response,
/// unless its caller does not read it, or it was a stream that has begun and did not end in time.
pub(crate) async fn run(
    core: &Core,
    connections: &ConnectionTracker,
    requests: impl Stream<Item = StopRequest>,
    on_start: impl FnOnce(),
) {
    let mut requests = std::pin::pin!(requests.fuse());
    let Some(first) = requests.next().await else {
        return;
    };
    apply(core, first);
    on_start();
    loop {
        let phase = core.shutdown.advance(core.now(), is_busy(connections));
        core.update_readiness();
        if phase == Some(Phase::Terminating) {
            break;
        }
        tokio::select! {
            () = core.clock.reached(core.shutdown.next_check(core.now())) => {}
            Some(request) = requests.next() => apply(core, request),
        }
    }
    finish_responses(core, connections).await;
    log_end(core);
}

fn apply(core: &Core, request: StopRequest) {
    let now = core.now();
    let is_first = !core.shutdown.is_in_progress();
    core.shutdown.apply(now, request);
    let within_ms = core.shutdown.current.get().map(|it| it.ends_at().remaining(now).0);
    let request: &str = request.into();
    let msg = match is_first {
        true => "graceful shutdown started",
        false => "graceful shutdown requested again",
    };
    info!(core.log, "{}", msg;
        "by" => request, "within_ms" => within_ms, "held" => in_flight(core));
}

/// Gives the last responses time to be written.
async fn finish_responses(core: &Core, connections: &ConnectionTracker) {
    let deadline = core.now().after(FINAL_RESPONSES_MAX);
    sleep(FINAL_RESPONSES_MIN.into()).await;
    let is_writing = || is_busy(connections) || connections.closing_count() > 0;
    while is_writing() && !deadline.is_due(core.now()) {
        sleep(POLL_INTERVAL.into()).await;
    }
}

/// Logs how the shutdown ended.
fn log_end(core: &Core) {
    let control = &core.shutdown;
    let tally = &control.tally;
    let last_accepted_ms = tally.last_accepted_at.get().and_then(|it| control.age_ms(it));
    info!(core.log, "graceful shutdown finished";
        "cut" => tally.cut.get(), "took_ms" => control.age_ms(core.now()),
        "accepted" => tally.accepted.get(), "last_accepted_ms" => last_accepted_ms,
        "refused" => tally.refused.get());
}

/// Whether requests are being received, are in flight, or have a response that is being written.
fn is_busy(connections: &ConnectionTracker) -> bool {
    connections.in_progress_count() > 0
}

fn in_flight(core: &Core) -> usize {
    core.with_state(|it| it.in_flight())
}
