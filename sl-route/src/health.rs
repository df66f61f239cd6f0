//! Passive health of a backend server, derived from its responses alone: an active health
//! check may pass on a server that fails requests, or fail on one that works.

use sl_base::{Millis, Timestamp};

use crate::event::Fault;

/// Health of one server, derived from the outcomes of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Decaying average of failed requests at `updated_at`, from 0 to 1.
    failure_rate: f64,
    updated_at: Timestamp,
    /// Until then, requests go to other servers if there are any.
    avoided_until: Timestamp,
    consecutive_failures: u32,
}

/// Weight of one outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Time in which the failure rate decays by half without new outcomes.
const FAILURE_HALF_LIFE: Millis = Millis(2_500);

/// Back-off after the first failure; doubled with each consecutive one.
const BACKOFF_INITIAL: Millis = Millis(250);

/// Back-off after a server refused a request as full, which only indicates its current load.
const BACKOFF_SERVER_FULL: Millis = Millis(60);

/// Limit on the doublings of the back-off.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

impl Health {
    /// Creates the health of a server without failures.
    pub fn new(now: Timestamp) -> Health {
        Health { failure_rate: 0.0, updated_at: now, avoided_until: now, consecutive_failures: 0 }
    }

    /// Expected fraction of requests that fail, from 0 to 1.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        // Most servers have no failures, and each decision asks for the rate of all.
        if self.failure_rate == 0.0 {
            return 0.0;
        }
        let half_lives = now.millis_since(self.updated_at) / FAILURE_HALF_LIFE.0 as f64;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Whether the server is in back-off, so that requests go to other servers if there are
    /// any.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        !self.avoided_until.is_due(now)
    }

    /// When the current back-off ends.
    pub fn avoided_until(&self) -> Timestamp {
        self.avoided_until
    }

    /// Records a successful response.
    pub fn record_success(&mut self, now: Timestamp) {
        self.update_failure_rate(now, 0.0);
        self.consecutive_failures = 0;
    }

    /// Records a failure; true if the server enters back-off with it.
    pub fn record_failure(&mut self, now: Timestamp, fault: Fault) -> bool {
        if fault != Fault::StaleConnection {
            self.update_failure_rate(now, 1.0);
        }
        let was_avoided = self.is_avoided(now);
        let backoff = match fault {
            Fault::Full => BACKOFF_SERVER_FULL,
            // For a server that refuses connections the breaker decides.
            Fault::ServerError | Fault::StaleConnection | Fault::ConnectionRefused => Millis(0),
            _ => {
                let doublings = self.consecutive_failures.min(BACKOFF_DOUBLINGS_MAX);
                self.consecutive_failures += 1;
                Millis(BACKOFF_INITIAL.0 << doublings)
            }
        };
        self.avoided_until = self.avoided_until.max(now.after(backoff));
        !was_avoided && self.is_avoided(now)
    }

    /// Extends the back-off as reported by a peer.
    pub fn extend_avoidance(&mut self, until: Timestamp) {
        self.avoided_until = self.avoided_until.max(until);
    }

    fn update_failure_rate(&mut self, now: Timestamp, outcome: f64) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + (outcome - failure_rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }
}
