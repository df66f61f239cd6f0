//! The limit on the requests of all instances to a server that is cold.
//!
//! A few instances send to a cold server, chosen by rendezvous hash among the listed ones, and each
//! leaves an interval between two of its requests. So the limit holds in each second without any
//! message between them. See docs/design/cold-servers.md.

use sl_base::{Millis, Timestamp, hash};

use crate::document::WarmupLimits;

/// The limit on requests to a cold server in each second, relative to what its service states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupBound {
    /// Factor on the requests a second that a cold server takes.
    pub overshoot: f64,
    /// Requests that are allowed in addition.
    pub allowance: f64,
}

impl Default for WarmupBound {
    fn default() -> WarmupBound {
        WarmupBound { overshoot: 1.5, allowance: 5.0 }
    }
}

/// Senders beyond the chosen ones for which the limit has room: instances with an outdated list.
const SENDERS_MARGIN: f64 = 2.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// How many instances send to a cold server, and how often each of them does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPlan {
    /// The number of instances that send.
    pub senders: usize,
    /// The shortest time between two requests of one of them.
    pub interval: Millis,
}

impl SendPlan {
    /// The plan for a fleet of `instances`. With an interval of a second or more, an instance with an
    /// outdated list adds a single request to any second, so that is preferred to fewer senders.
    pub fn new(limits: WarmupLimits, bound: WarmupBound, instances: usize) -> SendPlan {
        let allowed = limits.per_second * bound.overshoot + bound.allowance;
        let senders = limits.per_second.ceil().min((allowed - SENDERS_MARGIN).floor());
        let senders = senders.min(instances as f64).max(1.0);
        let per_sender = (allowed / (senders + SENDERS_MARGIN)).floor().max(1.0);
        let interval_s = (senders / limits.per_second).max(1.0 / per_sender);
        let interval = Millis((interval_s * MILLIS_PER_SECOND).ceil() as u64);
        SendPlan { senders: senders as usize, interval }
    }
}

/// Whether `own_id` is one of the first `senders` for `server` among the `listed` instances.
pub fn is_sender(server: u64, own_id: u32, listed: &[u32], senders: usize) -> bool {
    let rank = |it: u32| (hash::weight(server, it.into()), it);
    let own = rank(own_id);
    let before = listed.iter().filter(|it| own < rank(**it)).count();
    listed.contains(&own_id) && before < senders
}

/// When this instance may send to a server while that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSlots {
    /// Whether the server was cold when this was last updated.
    pub was_cold: bool,
    /// Whether this instance is one of the senders.
    is_sender: bool,
    interval: Millis,
    next_send_at: Timestamp,
}

impl ColdSlots {
    /// The slots of a server that is not known to be cold.
    pub const WARM: ColdSlots = ColdSlots {
        was_cold: false,
        is_sender: false,
        interval: Millis(0),
        next_send_at: Timestamp::from_micros(0),
    };

    /// Records that the server is cold from now on. The first slot opens at `phase`, from 0 to 1, of
    /// the interval, so that the senders don't all send at once.
    pub fn begin(&mut self, now: Timestamp, plan: SendPlan, is_sender: bool, phase: f64) {
        let delay = Millis((plan.interval.0 as f64 * phase) as u64);
        *self = ColdSlots {
            was_cold: true,
            is_sender,
            interval: plan.interval,
            next_send_at: self.next_send_at.max(now.after(delay)),
        };
    }

    /// The slots of the server's next run, which is not known to be cold. The next request may be sent
    /// when one could have been sent to this run.
    pub fn of_next_run(self) -> ColdSlots {
        ColdSlots { was_cold: false, ..self }
    }

    /// Applies a new list of instances. An instance that becomes a sender waits for the interval, since
    /// the one whose place it takes may have sent just now.
    pub fn update(&mut self, now: Timestamp, plan: SendPlan, is_sender: bool) {
        if is_sender && !self.is_sender {
            self.next_send_at = self.next_send_at.max(now.after(plan.interval));
        }
        self.is_sender = is_sender;
        self.interval = plan.interval;
    }

    /// Records that this instance sent a request.
    pub fn record_send(&mut self, now: Timestamp) {
        self.next_send_at = now.after(self.interval);
    }

    /// When this instance may send a request to the server, which is warm at `warm_at`.
    pub fn opens_at(&self, warm_at: Timestamp) -> Timestamp {
        if self.is_sender { self.next_send_at.min(warm_at) } else { warm_at }
    }
}
