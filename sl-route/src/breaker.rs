//! A circuit breaker for one backend server, which all instances open and close together by notes.
//!
//! A server that refuses connections is not running. The first refusal opens the breaker at every
//! instance, so that nobody sends a request there. After a back-off the server is probed: first by
//! one instance, by a draw that all instances agree on without a message, then by twice as many each
//! [`PROBE_SPREAD_STEP`] until one of them has sent a request. See docs/design/dead-servers.md.

use sl_base::{Millis, Timestamp, hash};

use crate::ServerKey;

/// Whether requests may be sent to a server, as far as its refused connections tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    /// `None` while the breaker is closed.
    open: Option<Open>,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    /// Number of probes in a row that were refused, including the refusal that opened the breaker.
    refusals: u32,
    /// When the first instance may send a probe.
    probe_at: Timestamp,
    /// When this instance may.
    own_probe_at: Timestamp,
    /// Until then a probe that was sent may still be refused.
    probe_ends_at: Timestamp,
}

/// Back-off after the first refusal; doubled with each further one.
const BACKOFF_MIN: Millis = Millis(250);

/// Longest back-off, which bounds how late the fleet finds out that a server is back.
const BACKOFF_MAX: Millis = Millis(1_000);

/// Doublings from [`BACKOFF_MIN`] to [`BACKOFF_MAX`].
const BACKOFF_DOUBLINGS_MAX: u32 = 2;

/// Each time this has passed since the end of the back-off, twice as many instances may send a
/// probe. Longer than a note takes to reach all instances.
const PROBE_SPREAD_STEP: Millis = Millis(50);

/// How long after a probe was sent its refusal may become known: the connect timeout, and the time
/// that a note takes.
const PROBE_TIMEOUT: Millis = Millis(500);

/// Decides how long after a back-off an instance may send a probe to a server.
#[derive(Clone, Copy, Debug)]
pub struct ProbeDraw {
    /// The server.
    pub server: ServerKey,
    /// The id of the instance.
    pub instance: u32,
    /// The number of instances in the fleet.
    pub instances: usize,
}

impl ProbeDraw {
    /// The delay after the back-off that follows the given number of refusals.
    fn delay(self, refusals: u32) -> Millis {
        let seed = hash::weight(self.server.0, refusals.into());
        let drawn = hash::weight(seed, self.instance.into()) as f64 / u64::MAX as f64;
        // About so many instances have drawn a lower number.
        let rank = drawn * self.instances as f64;
        let doublings = rank.max(1.0).log2();
        Millis((doublings * PROBE_SPREAD_STEP.0 as f64) as u64)
    }
}

impl Breaker {
    /// Whether this instance may send a request to the server.
    pub fn allows(&self, now: Timestamp) -> bool {
        self.open.is_none_or(|it| it.own_probe_at.is_due(now) && it.probe_ends_at.is_due(now))
    }

    /// When this instance may send a probe; `None` while the breaker is closed.
    pub fn own_probe_at(&self) -> Option<Timestamp> {
        self.open.map(|it| it.own_probe_at)
    }

    /// Records that this instance or a peer sent a request to the server, which is a probe while the
    /// breaker is open.
    pub fn record_sent(&mut self, now: Timestamp) {
        if let Some(open) = self.open.as_mut().filter(|it| it.probe_at.is_due(now)) {
            open.probe_ends_at = open.probe_ends_at.max(now.after(PROBE_TIMEOUT));
        }
    }

    /// Records that the server refused a connection of this instance. Returns the number of refusals
    /// that the peers are to be told of; `None` if it tells nothing new, because the connection was
    /// begun before the back-off.
    pub fn record_refused(&mut self, now: Timestamp, draw: ProbeDraw) -> Option<u32> {
        if self.open.is_some_and(|it| !it.probe_at.is_due(now)) {
            return None;
        }
        let refusals = self.open.map_or(0, |it| it.refusals) + 1;
        self.back_off(now, refusals, draw);
        Some(refusals)
    }

    /// Records that a peer knows of so many refusals.
    pub fn record_peer_refused(&mut self, now: Timestamp, refusals: u32, draw: ProbeDraw) {
        if self.open.is_none_or(|it| it.refusals < refusals) {
            self.back_off(now, refusals, draw);
        }
    }

    /// Records that the server responded to a request of this instance or of a peer. A response
    /// before the end of the back-off is to a request that was sent before the refusal.
    pub fn record_response(&mut self, now: Timestamp) {
        self.open = self.open.filter(|it| !it.probe_at.is_due(now));
    }

    fn back_off(&mut self, now: Timestamp, refusals: u32, draw: ProbeDraw) {
        let doublings = refusals.saturating_sub(1).min(BACKOFF_DOUBLINGS_MAX);
        let probe_at = now.after(Millis(BACKOFF_MIN.0 << doublings).min(BACKOFF_MAX));
        let own_probe_at = probe_at.after(draw.delay(refusals));
        self.open = Some(Open { refusals, probe_at, own_probe_at, probe_ends_at: now });
    }
}
