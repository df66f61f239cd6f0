//! When a request leaves its data centre: what the bytes cost that it would send across, and how
//! much is sent because the own servers are too few. docs/design/locality.md weighs the
//! alternatives.

use sl_base::{Millis, Timestamp};
use strum::{Display, IntoStaticStr};

/// Extra time of a request to a server in another data centre, in milliseconds.
const CROSS_DATA_CENTRE_MS: f64 = 2.0;

/// Typical bytes of one event of a response.
const EVENT_BYTES: f64 = 65.0;

const BYTES_PER_MB: f64 = 1_000_000.0;

/// Time constant of the measured shortage.
const SHORTAGE_WINDOW: Millis = Millis(2_000);

/// How a request weighs the servers of other data centres.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// The data centre of this instance.
    pub data_centre: &'a str,
    /// Milliseconds of a caller's waiting time that one megabyte between data centres is worth;
    /// 0 if bytes cost nothing.
    pub cost_ms_per_mb: f64,
    /// The bytes of the request's body.
    pub body_bytes: u64,
    /// Whether the request was drawn to be one of the share that leaves because own servers are too
    /// few. Its bytes cost nothing.
    pub is_drawn: bool,
}

/// What is known of a server when it is charged.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    /// The server's data centre.
    pub data_centre: &'a str,
    /// Events that its response is expected to have.
    pub events: f64,
    /// Whether other requests wait for the server's prefill.
    pub has_backlog: bool,
    /// Whether an engine of the own data centre has cached as much of the prompt as any other.
    pub has_own_copy: bool,
}

/// What a server is charged for its data centre, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    /// Time on the network, which delays the first byte.
    pub delay_ms: f64,
    /// What the bytes in both directions are worth. They delay nobody.
    pub cost_ms: f64,
    /// Whether prefill that another engine has cached counts more than once against the time limit.
    pub counts_duplicates: bool,
}

/// Why a request was sent to another data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LeaveReason {
    /// No server of the own data centre could respond in time.
    NoOwnServer,
    /// The server is better than those of the own data centre by more than the bytes cost.
    Better,
    /// The request was drawn to be one of the share that leaves, so its bytes cost nothing, and the
    /// server is better. It might have left as [`LeaveReason::Better`] as well.
    Share,
}

impl Locality<'_> {
    /// Whether the server's data centre is the instance's own.
    pub fn is_own(&self, data_centre: &str) -> bool {
        data_centre == self.data_centre
    }

    /// What a server is charged for its data centre.
    pub fn charge(&self, load: Load<'_>) -> Charge {
        if self.is_own(load.data_centre) {
            let counts_duplicates = self.counts_duplicate_prefill(load);
            return Charge { delay_ms: 0.0, cost_ms: 0.0, counts_duplicates };
        }
        let bytes = self.body_bytes as f64 + load.events * EVENT_BYTES;
        let ms_per_mb = if self.is_drawn { 0.0 } else { self.cost_ms_per_mb };
        Charge {
            delay_ms: CROSS_DATA_CENTRE_MS,
            cost_ms: ms_per_mb * bytes / BYTES_PER_MB,
            counts_duplicates: true,
        }
    }

    /// With a cost of bytes, a data centre may have its own copy of prompt parts. The prefill of the
    /// first one is no reason to refuse a request while nobody else waits for the engine.
    fn counts_duplicate_prefill(&self, load: Load<'_>) -> bool {
        self.cost_ms_per_mb <= 0.0 || load.has_backlog || load.has_own_copy
    }

    /// Why a request leaves for a server in `data_centre`; `None` if it stays.
    pub fn leave_reason(&self, data_centre: &str, own_is_in_time: bool) -> Option<LeaveReason> {
        let reason = match (own_is_in_time, self.is_drawn) {
            (false, _) => LeaveReason::NoOwnServer,
            (true, true) => LeaveReason::Share,
            (true, false) => LeaveReason::Better,
        };
        (!self.is_own(data_centre)).then_some(reason)
    }
}

/// The fraction of the latest requests that no server of the own data centre had time for, as a moving
/// average.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// Requests, decayed to `updated_at`.
    requests: f64,
    /// Those of them that no own server had time for.
    short: f64,
    updated_at: Timestamp,
}

impl Shortage {
    /// No request has been measured by `now`.
    pub fn new(now: Timestamp) -> Shortage {
        Shortage { requests: 0.0, short: 0.0, updated_at: now }
    }

    /// The fraction, from 0 to 1.
    pub fn share(self) -> f64 {
        if self.requests > 0.0 { self.short / self.requests } else { 0.0 }
    }

    /// Records a request, and whether an own server had time for it.
    pub fn record(&mut self, now: Timestamp, own_has_time: bool) {
        let decay = (-now.millis_since(self.updated_at) / SHORTAGE_WINDOW.0 as f64).exp();
        self.requests = self.requests * decay + 1.0;
        self.short = self.short * decay + if own_has_time { 0.0 } else { 1.0 };
        self.updated_at = self.updated_at.max(now);
    }
}
