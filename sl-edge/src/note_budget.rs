//! Bounds the processor time that an instance spends on messages from peers.
//!
//! Every instance applies the notes of the whole fleet on the thread that serves its own callers, so
//! that their cost grows with the fleet's traffic, while the processor of a small instance does not.
//! Without a bound, a fleet in demand takes the processor away from the callers of its smallest
//! instances.

use std::time::Duration;

use sl_base::{Millis, Timestamp};

/// The processor time that may be spent on messages from peers.
///
/// These messages may always take [`NOTE_FRACTION`] of the instance's processor. Above that they
/// take what callers leave unused, until the thread as a whole has used [`THREAD_FRACTION`]: a view
/// that lacks notes costs callers more than a processor that has less to spare.
#[derive(Clone, Copy, Debug)]
pub struct NoteBudget {
    notes: TimeBucket,
    thread: TimeBucket,
    /// The thread's processor time when it was last looked at.
    thread_time: Duration,
}

/// Processor time that becomes available at a constant rate, up to a bound.
#[derive(Clone, Copy, Debug)]
struct TimeBucket {
    /// Microseconds of processor time that become available in a microsecond.
    rate: f64,
    /// Bound on `left_micros`, and on the debt.
    max_micros: f64,
    /// Microseconds of processor time that are left; negative while more was spent.
    left_micros: f64,
    refilled_at: Timestamp,
}

/// Fraction of the instance's processor that messages from peers may always take. An instance of
/// 0.09 cores so has 18 ms a second for them and keeps 72 ms, enough for 144 requests of 0.5 ms,
/// whatever the fleet is asked.
pub const NOTE_FRACTION: f64 = 0.2;

/// Fraction of the instance's processor up to which the thread as a whole may have been used when
/// messages from peers take more than [`NOTE_FRACTION`]. The other half is there for callers at once.
pub const THREAD_FRACTION: f64 = 0.5;

/// For this long the unused part of [`NOTE_FRACTION`] adds up: messages of a larger fleet come in
/// batches.
pub const NOTES_SAVED_MAX: Millis = Millis(150);

/// For this long the unused part of [`THREAD_FRACTION`] adds up. Messages spend it within as long again,
/// as half of the processor is added meanwhile, so this is also how late it can make an instance: less
/// than the 60 ms from which connections are shed.
pub const THREAD_SAVED_MAX: Millis = Millis(50);

/// How long messages are left in the socket: the usual buffer of 208 KB holds what an instance of a
/// fleet of 295 gets in this time, some 60 datagrams, so nothing essential is lost.
const PAUSE: Millis = Millis(75);

const MICROS_PER_MILLI: f64 = 1_000.0;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

impl NoteBudget {
    /// The budget of an instance with `cores` CPU cores, which may be a fraction of one, whose
    /// thread has used `thread_time` by `now`.
    pub fn new(now: Timestamp, cores: f64, thread_time: Duration) -> NoteBudget {
        NoteBudget {
            notes: TimeBucket::new(now, cores * NOTE_FRACTION, NOTES_SAVED_MAX),
            thread: TimeBucket::new(now, cores * THREAD_FRACTION, THREAD_SAVED_MAX),
            thread_time,
        }
    }

    /// Whether messages from peers may take processor time now. `thread_time` is all that the thread
    /// has used so far.
    pub fn has_time(&mut self, now: Timestamp, thread_time: Duration) -> bool {
        self.notes.refill(now);
        self.thread.refill(now);
        self.thread.spend(thread_time.saturating_sub(self.thread_time));
        self.thread_time = thread_time;
        self.notes.left_micros > 0.0 || self.thread.left_micros > 0.0
    }

    /// Records processor time that was spent on messages from peers. What callers have left unused
    /// becomes no debt.
    pub fn spend(&mut self, time: Duration) {
        let left_before = self.notes.left_micros;
        self.notes.spend(time);
        if self.thread.left_micros > 0.0 {
            self.notes.left_micros = self.notes.left_micros.max(left_before.min(0.0));
        }
    }

    /// Until when messages from peers are left in the socket, if even those that are dropped unread or
    /// read in any case have taken more than their time; `None` if they have not.
    pub fn paused_until(&self) -> Option<Timestamp> {
        (self.notes.left_micros <= -self.notes.max_micros)
            .then(|| self.notes.refilled_at.after(PAUSE))
    }
}

impl TimeBucket {
    fn new(now: Timestamp, rate: f64, saved_max: Millis) -> TimeBucket {
        let max_micros = rate * saved_max.0 as f64 * MICROS_PER_MILLI;
        TimeBucket { rate, max_micros, left_micros: max_micros, refilled_at: now }
    }

    fn refill(&mut self, now: Timestamp) {
        let added = now.micros_since(self.refilled_at) as f64 * self.rate;
        self.left_micros = (self.left_micros + added).min(self.max_micros);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// A debt is bounded like what is saved, so that messages are applied again soon after the thread
    /// was busy with other work.
    fn spend(&mut self, time: Duration) {
        let spent = time.as_secs_f64() * MICROS_PER_SECOND;
        self.left_micros = (self.left_micros - spent).max(-self.max_micros);
    }
}
