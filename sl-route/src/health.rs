//! Whether a backend server does its work, judged by its answers alone: a health check may
//! lie either way.

use sl_base::{Millis, Timestamp};

use crate::event::Fault;

/// What the answers of one server have shown.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Share of recent requests that failed by the server's fault, from 0 to 1.
    failing: f64,
    counted_at: Timestamp,
    /// Nothing is sent there before, where there is another server.
    avoid_until: Timestamp,
    in_a_row: u32,
}

/// How much one outcome weighs against all earlier ones.
const OUTCOME_WEIGHT: f64 = 0.2;

/// Half of what is held against a server is forgotten in this time.
const HALF_LIFE: Millis = Millis(2_500);

/// The first pause after a failure, doubled with each further one in a row.
const PAUSE: Millis = Millis(250);

/// The pause after a server turned a request away, which says only that it is full now.
const FULL_PAUSE: Millis = Millis(60);

/// Doublings of the pause.
const DOUBLINGS_MAX: u32 = 4;

impl Health {
    /// A server against which nothing is held.
    pub fn new(now: Timestamp) -> Health {
        Health { failing: 0.0, counted_at: now, avoid_until: now, in_a_row: 0 }
    }

    /// The share of requests that is expected to fail, from 0 to 1.
    pub fn failing(&self, now: Timestamp) -> f64 {
        let halves = now.millis_since(self.counted_at) / HALF_LIFE.0 as f64;
        self.failing * 0.5_f64.powf(halves)
    }

    /// Whether other servers go first for now.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        !self.avoid_until.is_due(now)
    }

    /// Until when other servers go first.
    pub fn avoid_until(&self) -> Timestamp {
        self.avoid_until
    }

    /// Notes an answer that shows the server at work.
    pub fn worked(&mut self, now: Timestamp) {
        self.count(now, 0.0);
        self.in_a_row = 0;
    }

    /// Notes a failure; true where the server is avoided from now on and was not before.
    pub fn failed(&mut self, now: Timestamp, fault: Fault) -> bool {
        if fault != Fault::StaleConnection {
            self.count(now, 1.0);
        }
        let was_avoided = self.is_avoided(now);
        let pause = match fault {
            Fault::Full => FULL_PAUSE,
            Fault::ServerError | Fault::StaleConnection => Millis(0),
            _ => {
                let doublings = self.in_a_row.min(DOUBLINGS_MAX);
                self.in_a_row += 1;
                Millis(PAUSE.0 << doublings)
            }
        };
        self.avoid_until = self.avoid_until.max(now.after(pause));
        !was_avoided && self.is_avoided(now)
    }

    /// Takes over that a peer avoids the server.
    pub fn avoid(&mut self, until: Timestamp) {
        self.avoid_until = self.avoid_until.max(until);
    }

    fn count(&mut self, now: Timestamp, outcome: f64) {
        let failing = self.failing(now);
        self.failing = failing + (outcome - failing) * OUTCOME_WEIGHT;
        self.counted_at = now;
    }
}
