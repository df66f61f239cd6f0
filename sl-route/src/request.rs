//! Requests in flight on this instance.

use sl_base::{TeamId, Timestamp};

use crate::{
    Arrival, ServerKey, crash_detector::SUSPECT_PERIOD, estimates::AttemptKind, note::AttemptKey,
    stream_origin::StreamOrigin,
};

/// A request from its arrival until its final effect.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The request as it was received.
    pub arrival: Arrival,
    /// The servers to which the request was sent, the latest one last.
    pub tried: Vec<ServerKey>,
    /// The server that was silent when the request last moved to another one.
    pub silent_server: Option<ServerKey>,
    /// The number of attempts, not counting those that failed to connect or reached another server
    /// than the one that was meant.
    pub attempts: u32,
    /// The number of attempts that reached another server than the one that was meant.
    pub misdirected: u32,
    /// Whether an earlier attempt may have been run by a server.
    pub may_have_run: bool,
    /// Whether the request was drawn to be one of the share that leaves the data centre because
    /// own servers are too few.
    pub is_drawn_to_leave: bool,
    /// Where the stream began, once its first event has been delivered. It goes on nowhere else but
    /// on servers of the same software version.
    pub origin: Option<StreamOrigin>,
    /// The current attempt, if any.
    pub current: Option<CurrentAttempt>,
    /// The team that is charged for the request, and the number of tokens. The charge is taken
    /// back when an attempt ends without a response having started.
    pub charged: Option<(TeamId, u32)>,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub struct CurrentAttempt {
    /// The server to which the attempt was sent.
    pub server: ServerKey,
    /// Identifies the attempt among all instances.
    pub key: AttemptKey,
    /// When the attempt was sent.
    pub sent_at: Timestamp,
    /// The time to the first byte that was expected when the attempt was sent, in milliseconds.
    pub expected_ms: f64,
    /// What the attempt is, as far as estimates differ.
    pub kind: AttemptKind,
    /// When the response started; `None` until then.
    pub response_started_at: Option<Timestamp>,
    /// Whether the server was silent during this attempt.
    pub was_silent: bool,
}

impl CurrentAttempt {
    /// Whether the response has started.
    pub fn has_response_started(&self) -> bool {
        self.response_started_at.is_some()
    }
}

impl InFlightRequest {
    /// A request that has not been sent to any server yet.
    pub fn new(arrival: Arrival) -> InFlightRequest {
        InFlightRequest {
            arrival,
            tried: Vec::new(),
            silent_server: None,
            attempts: 0,
            misdirected: 0,
            may_have_run: false,
            is_drawn_to_leave: false,
            origin: None,
            current: None,
            charged: None,
        }
    }

    /// Whether an attempt has reached a server, so that a further one takes from the retry budget.
    pub fn has_arrived(&self) -> bool {
        self.attempts + self.misdirected > 0
    }

    /// Whether the current attempt has been responding for longer than any that crashes its engine.
    pub fn has_survived(&self, now: Timestamp) -> bool {
        let started_at = self.current.and_then(|it| it.response_started_at);
        started_at.is_some_and(|it| it.after(SUSPECT_PERIOD).is_due(now))
    }
}
