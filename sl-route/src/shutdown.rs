//! Decisions of a graceful shutdown: which requests are accepted, and until when responses are
//! waited for.
//!
//! A request that is accepted gets its response before the process exits. One that may still be
//! without a response by then is refused at once, as its caller can go elsewhere while nothing has
//! run. See docs/design/shutdown.md.

use sl_base::{Millis, Timestamp};

/// Phases of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The balancer still sends new connections. Connections are closed after their next response.
    Stopping,
    /// Idle connections are closed, too, unless they wait for their first request.
    ClosingIdle,
    /// Every request is refused and the process is about to exit.
    Terminating,
}

/// What starts a graceful shutdown, or changes the one in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StopRequest {
    /// SIGTERM. Platforms and supervisors may send it repeatedly, and end the process themselves
    /// when it takes too long.
    Terminate,
    /// SIGINT, from an operator at a terminal. During a shutdown it ends the process at once.
    Interrupt,
    /// An operator's call, with a drain timeout of its own or the configured one.
    Drain(Option<Millis>),
}

/// How long the parts of a graceful shutdown take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Longest time until the last response, unless an operator's call names another one.
    pub drain_timeout: Millis,
    /// Time that the balancer needs to notice that the instance is not ready.
    pub balancer_delay: Millis,
}

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    started_at: Timestamp,
    callers_moved_at: Timestamp,
    /// When the requests have arrived whose callers have not seen yet that their connection is
    /// closed.
    transit_ends_at: Timestamp,
    /// When the last response is due.
    ends_at: Timestamp,
    /// Whether the end follows from SIGTERM already.
    is_terminated: bool,
    phase: Phase,
}

/// What the shutdown has to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// When the head of the request was read.
    pub arrived_at: Timestamp,
    /// When the response is due.
    pub deadline: Timestamp,
    /// Whether the caller can go on elsewhere with a stream that is cut off.
    pub is_resumable: bool,
}

/// Time that a request may be in transit to a connection that is being closed.
pub const TRANSIT_DELAY: Millis = Millis(100);

/// Time to write a response that has become ready at its deadline.
const WRITE_MARGIN: Millis = Millis(100);

/// Shortest time left with which a request is accepted whose deadline is later than the end of the
/// shutdown. A server may fall silent for a second and go on.
const TIME_LEFT_MIN: Millis = Millis(2_000);

impl Shutdown {
    /// The shutdown that starts `now`. After an operator's call the time until callers have moved
    /// to other instances is waited for even if the drain timeout is shorter; after a signal it is
    /// not, as the platform may end the process then.
    pub fn begin(now: Timestamp, request: StopRequest, options: Options) -> Shutdown {
        let drain_timeout = request.drain_timeout(options);
        let balancer_delay = match request {
            StopRequest::Drain(_) => options.balancer_delay,
            _ => options.balancer_delay.min(drain_timeout),
        };
        let callers_moved_at = now.after(balancer_delay);
        let transit_ends_at = callers_moved_at.after(TRANSIT_DELAY);
        Shutdown {
            started_at: now,
            callers_moved_at,
            transit_ends_at,
            ends_at: now.after(drain_timeout).max(transit_ends_at),
            is_terminated: request == StopRequest::Terminate,
            phase: Phase::Stopping,
        }
    }

    /// Applies a further request, which never lengthens the shutdown. Only the first SIGTERM sets
    /// the end: requests were accepted by it, and the drain timeout may have changed since.
    pub fn request(&mut self, now: Timestamp, request: StopRequest, options: Options) {
        match request {
            StopRequest::Interrupt => self.ends_at = self.ends_at.min(now),
            StopRequest::Terminate if self.is_terminated => {}
            _ => self.shorten(now, request.drain_timeout(options)),
        }
        self.is_terminated |= request == StopRequest::Terminate;
    }

    /// Ends the shutdown within `drain_timeout` from `now`, unless it ends sooner.
    fn shorten(&mut self, now: Timestamp, drain_timeout: Millis) {
        let ends_at = now.after(drain_timeout).max(self.transit_ends_at);
        self.ends_at = self.ends_at.min(ends_at);
    }

    /// Moves to the phase that is due at `now`; `is_busy` while requests are in flight or being
    /// received.
    pub fn advance(&mut self, now: Timestamp, is_busy: bool) -> Phase {
        let is_drained = !is_busy && self.transit_ends_at.is_due(now);
        let due = if self.ends_at.is_due(now) || is_drained {
            Phase::Terminating
        } else if self.callers_moved_at.is_due(now) {
            Phase::ClosingIdle
        } else {
            Phase::Stopping
        };
        self.phase = self.phase.max(due);
        self.phase
    }

    /// When the shutdown is to be advanced next: `poll_interval` after `now` where that depends on
    /// requests.
    pub fn next_check(&self, now: Timestamp, poll_interval: Millis) -> Timestamp {
        match self.phase {
            Phase::Stopping => self.callers_moved_at.min(self.ends_at),
            Phase::ClosingIdle | Phase::Terminating => now.after(poll_interval),
        }
    }

    /// Whether the request is accepted at `now`. Once the answer for a request is no, it stays no.
    pub fn accepts(&self, now: Timestamp, candidate: Candidate) -> bool {
        if self.phase == Phase::Terminating {
            return false;
        }
        if candidate.deadline.after(WRITE_MARGIN) <= self.ends_at {
            return true;
        }
        let has_arrived_before = candidate.arrived_at < self.started_at;
        let goes_on_elsewhere = candidate.is_resumable && self.phase == Phase::Stopping;
        let has_time = now.after(TIME_LEFT_MIN) <= self.ends_at;
        has_time && (has_arrived_before || goes_on_elsewhere)
    }

    /// The deadline of a request that is due at `deadline`, cut to the end of the shutdown.
    pub fn cap(&self, deadline: Timestamp) -> Timestamp {
        deadline.min(self.ends_at.before(WRITE_MARGIN))
    }

    /// The phase as of the last [`Shutdown::advance`].
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When the shutdown started.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// When the last response is due.
    pub fn ends_at(&self) -> Timestamp {
        self.ends_at
    }
}

impl StopRequest {
    fn drain_timeout(self, options: Options) -> Millis {
        match self {
            StopRequest::Drain(Some(requested)) => requested,
            _ => options.drain_timeout,
        }
    }
}
