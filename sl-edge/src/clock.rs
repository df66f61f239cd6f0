//! The clock that deadlines are measured on.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use sl_base::Timestamp;
use tokio::time::Instant;

/// Time since the machine's start, with the time in which it stood still: a deadline that
/// came meanwhile has come. It never runs backwards.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock;

/// Stands for a deadline that never comes; the timer takes no longer spans.
const MAX_TIMER: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

impl Clock {
    /// The time.
    pub(crate) fn now(self) -> Timestamp {
        read(ClockId::CLOCK_BOOTTIME)
    }

    /// How long the machine has stood still so far.
    pub(crate) fn suspended(self) -> Duration {
        let running = read(ClockId::CLOCK_MONOTONIC);
        Duration::from_micros(self.now().micros_since(running))
    }

    /// The runtime's instant of a deadline.
    pub(crate) fn instant(self, at: Timestamp) -> Instant {
        let after = Duration::from_micros(at.micros_since(self.now()));
        Instant::now() + after.min(MAX_TIMER)
    }
}

fn read(clock: ClockId) -> Timestamp {
    // Both clocks exist on every system that this runs on; there is no other to fall back to.
    let time = clock_gettime(clock).map_or(Duration::ZERO, Duration::from);
    Timestamp::from_micros(
        time.as_secs() * MICROS_PER_SECOND + u64::from(time.subsec_nanos()) / NANOS_PER_MICRO,
    )
}
