//! The clock that the reducer's deadlines are measured on.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sl_base::{Incarnation, Timestamp};
use tokio::time::Instant;

/// One reading of the wall clock, carried on by the monotonic clock: within one process
/// it never runs backwards, whatever becomes of the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall: Timestamp::from_micros(micros(wall)) }
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.wall.as_micros() + micros(self.start.elapsed()))
    }

    /// The life that began with this clock.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall.as_micros())
    }

    /// The runtime's instant of a deadline; one that never comes is far away.
    pub fn instant(&self, at: Timestamp) -> Instant {
        let after = Duration::from_micros(at.micros_since(self.wall));
        self.start + after.min(FAR)
    }
}

/// Reads a clock; no more than a name for its bounds.
pub(crate) trait Now: Fn() -> Timestamp + Clone + Send + Sync + Unpin + 'static {}

impl<T> Now for T where T: Fn() -> Timestamp + Clone + Send + Sync + Unpin + 'static {}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Stands for a deadline that never comes; the timer takes no longer spans.
const FAR: Duration = Duration::from_secs(365 * 24 * 60 * 60);
