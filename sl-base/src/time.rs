//! Points in time and durations. State keeps deadlines as [`Timestamp`]s. A [`Millis`] is a
//! duration from settings or templates, which becomes a deadline once an event supplies the
//! starting point.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time in microseconds since the Unix epoch.
///
/// Within one process it never decreases, because it is derived from the monotonic clock and
/// a single reading of the wall clock at startup. Timestamps of different processes may be
/// compared for retention times only, never where correctness depends on the order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// A deadline that never expires.
    pub const NEVER: Timestamp = Timestamp(u64::MAX);

    /// The point `micros` microseconds after the Unix epoch.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The deadline `span` after this point, saturating at [`Self::NEVER`].
    pub const fn after(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0.saturating_mul(MICROS_PER_MILLI)))
    }

    /// The point `span` before this one, saturating at the epoch.
    pub const fn before(self, span: Millis) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0.saturating_mul(MICROS_PER_MILLI)))
    }

    /// Whether this deadline has been reached at `now`.
    pub const fn is_due(self, now: Timestamp) -> bool {
        self.0 <= now.0
    }

    /// The time from `now` until this deadline, rounded up; zero once the deadline is due.
    pub const fn remaining(self, now: Timestamp) -> Millis {
        Millis(self.0.saturating_sub(now.0).div_ceil(MICROS_PER_MILLI))
    }

    /// Microseconds from `earlier` to this point, or zero if `earlier` is later.
    pub const fn micros_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Milliseconds from `earlier` to this point, including the fraction, or zero if `earlier`
    /// is later.
    pub fn millis_since(self, earlier: Timestamp) -> f64 {
        self.micros_since(earlier) as f64 / MICROS_PER_MILLI as f64
    }
}

/// A duration in milliseconds, the unit used in settings and templates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl From<Millis> for std::time::Duration {
    fn from(span: Millis) -> std::time::Duration {
        std::time::Duration::from_millis(span.0)
    }
}

/// A point in time of the wall clock, in milliseconds since the Unix epoch, as told to other processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// Converts the timestamps of a process to wall-clock time. The wall clock is read once, so that it
/// does not step while the process runs; the clocks of two processes may still differ.
#[derive(Clone, Copy, Debug, Default)]
pub struct WallClock {
    /// The wall-clock time, in milliseconds, less the timestamp that was read with it.
    offset_ms: i64,
}

impl WallClock {
    /// The clock that showed `wall` at `now`.
    pub const fn read_at(now: Timestamp, wall: UnixMillis) -> WallClock {
        WallClock { offset_ms: wall.0 as i64 - (now.0 / MICROS_PER_MILLI) as i64 }
    }

    /// The wall-clock time at `at`.
    pub const fn time(self, at: Timestamp) -> UnixMillis {
        UnixMillis((at.0 / MICROS_PER_MILLI).saturating_add_signed(self.offset_ms))
    }

    /// The time from `now` until `wall`; zero if that has passed.
    pub const fn remaining(self, now: Timestamp, wall: UnixMillis) -> Millis {
        Millis(wall.0.saturating_sub(self.time(now).0))
    }
}

const MICROS_PER_MILLI: u64 = 1_000;
