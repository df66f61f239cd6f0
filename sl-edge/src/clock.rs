//! The clock on which deadlines are measured.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use sl_base::Timestamp;
use tokio::{
    task::yield_now,
    time::{Instant, sleep_until},
};

/// Monotonic time since boot, including time in which the machine was suspended, so that a
/// deadline that passes during a suspension is due afterwards.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock;

/// Longest time until an [`Instant`] that [`Clock::instant`] returns; the runtime's timer does
/// not support arbitrarily distant ones.
const TIMER_MAX: Duration = Duration::from_secs(365 * 24 * 60 * 60);

const MICROS_PER_SECOND: u64 = 1_000_000;

const NANOS_PER_MICRO: u64 = 1_000;

impl Clock {
    pub(crate) fn now(self) -> Timestamp {
        read(ClockId::CLOCK_BOOTTIME)
    }

    /// How long the machine has been suspended since boot.
    pub(crate) fn suspended(self) -> Duration {
        let running = read(ClockId::CLOCK_MONOTONIC);
        Duration::from_micros(self.now().micros_since(running))
    }

    /// The processor time that the calling thread has used since it started.
    pub(crate) fn thread_time(self) -> Duration {
        read_duration(ClockId::CLOCK_THREAD_CPUTIME_ID)
    }

    /// The processor time that all threads of this process have used since it started.
    pub(crate) fn process_time(self) -> Duration {
        read_duration(ClockId::CLOCK_PROCESS_CPUTIME_ID)
    }

    /// Converts a deadline to an instant of the async runtime.
    pub(crate) fn instant(self, at: Timestamp) -> Instant {
        let after = Duration::from_micros(at.micros_since(self.now()));
        Instant::now() + after.min(TIMER_MAX)
    }

    /// Waits until `at`, and until the bytes that have arrived by then are noticed: the timers of
    /// a process that was suspended fire before the runtime asks for them.
    pub(crate) async fn reached(self, at: Timestamp) {
        sleep_until(self.instant(at)).await;
        yield_now().await;
    }

    /// Runs `future` until `at`; `None` if it is not complete by then.
    pub(crate) async fn complete_by<F: Future>(
        self,
        at: Timestamp,
        future: F,
    ) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.reached(at) => None,
        }
    }
}

fn read(clock: ClockId) -> Timestamp {
    let time = read_duration(clock);
    Timestamp::from_micros(
        time.as_secs() * MICROS_PER_SECOND + u64::from(time.subsec_nanos()) / NANOS_PER_MICRO,
    )
}

fn read_duration(clock: ClockId) -> Duration {
    // These clocks exist on every supported system, and there is no other to fall back to.
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}
