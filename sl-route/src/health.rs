//! Whether a backend server does its work, judged by its answers alone: a health check may
//! lie either way.

use sl_base::{Millis, Timestamp};

use crate::event::Fault;

/// What the answers of one server have shown.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Share of recent requests that failed by the server's fault, from 0 to 1.
    failure_rate: f64,
    updated_at: Timestamp,
    /// Nothing is sent there before, where there is another server.
    avoided_until: Timestamp,
    consecutive_failures: u32,
}

/// How much one outcome weighs against all earlier ones.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Half of what is held against a server is forgotten in this time.
const FAILURE_HALF_LIFE: Millis = Millis(2_500);

/// The first pause after a failure, doubled with each further one in a row.
const BACKOFF_INITIAL: Millis = Millis(250);

/// The pause after a server turned a request away, which says only that it is full now.
const BACKOFF_SERVER_FULL: Millis = Millis(60);

/// Doublings of the pause.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

impl Health {
    /// A server against which nothing is held.
    pub fn new(now: Timestamp) -> Health {
        Health { failure_rate: 0.0, updated_at: now, avoided_until: now, consecutive_failures: 0 }
    }

    /// The share of requests that is expected to fail, from 0 to 1.
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let half_lives = now.millis_since(self.updated_at) / FAILURE_HALF_LIFE.0 as f64;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Whether other servers go first for now.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        !self.avoided_until.is_due(now)
    }

    /// Until when other servers go first.
    pub fn avoided_until(&self) -> Timestamp {
        self.avoided_until
    }

    /// Notes an answer that shows the server at work.
    pub fn record_success(&mut self, now: Timestamp) {
        self.update_failure_rate(now, 0.0);
        self.consecutive_failures = 0;
    }

    /// Notes a failure; true where the server is avoided from now on and was not before.
    pub fn record_failure(&mut self, now: Timestamp, fault: Fault) -> bool {
        if fault != Fault::StaleConnection {
            self.update_failure_rate(now, 1.0);
        }
        let was_avoided = self.is_avoided(now);
        let backoff = match fault {
            Fault::Full => BACKOFF_SERVER_FULL,
            Fault::ServerError | Fault::StaleConnection => Millis(0),
            _ => {
                let doublings = self.consecutive_failures.min(BACKOFF_DOUBLINGS_MAX);
                self.consecutive_failures += 1;
                Millis(BACKOFF_INITIAL.0 << doublings)
            }
        };
        self.avoided_until = self.avoided_until.max(now.after(backoff));
        !was_avoided && self.is_avoided(now)
    }

    /// Takes over that a peer avoids the server.
    pub fn extend_avoidance(&mut self, until: Timestamp) {
        self.avoided_until = self.avoided_until.max(until);
    }

    fn update_failure_rate(&mut self, now: Timestamp, outcome: f64) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + (outcome - failure_rate) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }
}
