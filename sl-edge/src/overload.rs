//! Whether this instance has more to do than its processor carries.
//!
//! The balancer gives a caller's connections to one instance, however small. An instance
//! whose tasks run late turns unready for a while, so that new connections go elsewhere,
//! and asks those that it has to go.

use sl_base::{Millis, Timestamp};

/// How late the instance's tasks run.
#[derive(Clone, Copy, Debug)]
pub struct LoadShedder {
    /// The mean lateness of the last ticks in milliseconds.
    late_ms: f64,
    /// Until when connections are sent elsewhere.
    shed_until: Timestamp,
    /// For how long that will be the next time.
    next_shed_duration: Millis,
    /// The part of the requests that is sent elsewhere at once.
    reject_fraction: f64,
    /// What is left of that part from the requests before.
    reject_carry: f64,
}

/// Tasks that run later than this in the mean, in milliseconds, are late for callers.
const SHED_LATENESS_MS: f64 = 60.0;

/// Callers that left meanwhile are looked for from this lateness on.
const LAGGING_LATENESS_MS: f64 = 10.0;

/// From this lateness on requests go elsewhere too: a busy machine alone stays below it.
const REJECT_LATENESS_MS: f64 = 30.0;

/// How much one tick weighs in the mean.
const TICK_SMOOTHING: f64 = 0.25;

/// How much more of the requests go elsewhere with each tick that tasks run late, and how
/// much fewer with each that they do not.
const REJECT_STEP_UP: f64 = 0.08;
const REJECT_STEP_DOWN: f64 = 0.02;

/// Some requests are always taken.
const REJECT_FRACTION_MAX: f64 = 0.9;

/// For how long connections are sent elsewhere at first; doubled each time.
const SHED_DURATION_MIN: Millis = Millis(4_000);

/// The longest such time.
const SHED_DURATION_MAX: Millis = Millis(32_000);

impl LoadShedder {
    /// An instance with nothing to do.
    pub fn new(now: Timestamp) -> LoadShedder {
        LoadShedder {
            late_ms: 0.0,
            shed_until: now,
            next_shed_duration: SHED_DURATION_MIN,
            reject_fraction: 0.0,
            reject_carry: 0.0,
        }
    }

    /// Notes that a tick came `late_ms` late; true where the instance begins to shed.
    pub fn record_tick(&mut self, now: Timestamp, late_ms: f64) -> bool {
        self.late_ms += (late_ms - self.late_ms) * TICK_SMOOTHING;
        let step =
            if self.late_ms > REJECT_LATENESS_MS { REJECT_STEP_UP } else { -REJECT_STEP_DOWN };
        self.reject_fraction = (self.reject_fraction + step).clamp(0.0, REJECT_FRACTION_MAX);
        if self.late_ms < SHED_LATENESS_MS || self.is_shedding(now) {
            return false;
        }
        self.shed_until = now.after(self.next_shed_duration);
        self.next_shed_duration = Millis((self.next_shed_duration.0 * 2).min(SHED_DURATION_MAX.0));
        true
    }

    /// Whether connections are to go elsewhere.
    pub fn is_shedding(&self, now: Timestamp) -> bool {
        !self.shed_until.is_due(now)
    }

    /// Whether tasks run so late that a caller may have left unnoticed.
    pub fn is_lagging(&self) -> bool {
        self.late_ms > LAGGING_LATENESS_MS
    }

    /// Whether the request that has just come is to go elsewhere: its caller's next try
    /// reaches another instance, which has time for it.
    pub fn should_reject(&mut self) -> bool {
        self.reject_carry += self.reject_fraction;
        if self.reject_carry < 1.0 {
            return false;
        }
        self.reject_carry -= 1.0;
        true
    }

    /// The mean lateness in milliseconds.
    pub fn late_ms(&self) -> f64 {
        self.late_ms
    }
}
