//! Requests that this instance holds.

use sl_base::{TeamId, Timestamp};

use crate::{Arrival, ServerKey, note::AttemptKey};

/// A request from its arrival to its last effect.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The request.
    pub arrival: Arrival,
    /// Servers that it was sent to, the present one last.
    pub tried: Vec<ServerKey>,
    /// Attempts that may have reached a server.
    pub attempts: u32,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// The present attempt.
    pub current: Option<CurrentAttempt>,
    /// The team that is charged, and how many tokens, unless what was sent came to nothing.
    pub charged: Option<(TeamId, u32)>,
}

/// An attempt that is under way.
#[derive(Clone, Copy, Debug)]
pub struct CurrentAttempt {
    /// The server.
    pub server: ServerKey,
    /// How peers know the attempt.
    pub key: AttemptKey,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// Milliseconds to the first byte that were expected then.
    pub expected_ms: f64,
    /// Whether its answer has begun.
    pub has_begun: bool,
}

impl InFlightRequest {
    /// A request that was not sent anywhere yet.
    pub fn new(arrival: Arrival) -> InFlightRequest {
        InFlightRequest {
            arrival,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            current: None,
            charged: None,
        }
    }
}
