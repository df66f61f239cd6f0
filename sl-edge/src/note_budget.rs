//! Bounds the time that an instance spends on messages from peers.
//!
//! Every instance applies the notes of the whole fleet on the thread that serves its own callers, so
//! that their cost grows with the fleet's traffic, while the processor of a small instance does not.
//! Without a bound, a fleet in demand takes the processor away from the callers of its smallest
//! instances ([COMMON-CAUSE](../../docs/incidents/COMMON-CAUSE.md)).

use std::time::Duration;

use sl_base::{Millis, Timestamp};

/// The time that may be spent on messages from peers: [`NOTE_FRACTION`] of the time that passes.
///
/// Elapsed time counts, not processor time: it is the same on a slow processor, and where an
/// instance is paused to keep it to its share, the pauses fall on messages as often as these use
/// the processor. What a relay forwards is not charged, as other instances depend on it, and messages
/// of [`Priority::Essential`](crate::datagram::Priority::Essential) are read without time, too.
#[derive(Clone, Copy, Debug)]
pub struct NoteBudget {
    /// Microseconds that are left; negative while more was spent.
    left_micros: f64,
    refilled_at: Timestamp,
    /// When the last turn of messages ended, and callers got theirs.
    turn_ended_at: Timestamp,
}

/// Fraction of the time that messages from peers may take. Callers keep the rest, whatever the
/// fleet is asked. It is far above what messages usually take: without them the instance's view is
/// wrong, and that costs callers more than the time.
pub const NOTE_FRACTION: f64 = 0.4;

/// For this long the unused part of [`NOTE_FRACTION`] adds up: messages of a larger fleet come in
/// batches.
pub const SAVED_MAX: Millis = Millis(150);

/// The shortest turn of messages, while some are waiting.
pub const TURN_MIN: Millis = Millis(2);

/// Time of messages relative to that of callers, where both have what [`NOTE_FRACTION`] says.
const NOTE_TIME_PER_CALLER_TIME: f64 = NOTE_FRACTION / (1.0 - NOTE_FRACTION);

/// How long messages are left in the socket: the usual buffer of 208 KB holds what an instance of a
/// fleet of 295 gets in this time, some 60 datagrams, so nothing essential is lost.
const PAUSE: Millis = Millis(75);

const MICROS_PER_MILLI: f64 = 1_000.0;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// The most that can be saved, and the largest debt, in microseconds.
const LEFT_MAX_MICROS: f64 = SAVED_MAX.0 as f64 * MICROS_PER_MILLI * NOTE_FRACTION;

impl NoteBudget {
    /// A budget of which nothing has been spent by `now`.
    pub fn new(now: Timestamp) -> NoteBudget {
        NoteBudget { left_micros: LEFT_MAX_MICROS, refilled_at: now, turn_ended_at: now }
    }

    /// When a turn of messages ends that begins now, if messages are still waiting then.
    ///
    /// Its length is in proportion to the last turn of callers. On an instance that runs late that turn is a
    /// hundred times [`TURN_MIN`]: with turns of a constant length the instance would miss most messages, and
    /// refuse its own callers by a wrong view of the fleet.
    pub fn turn_ends_at(&self, now: Timestamp) -> Timestamp {
        let callers_micros = now.micros_since(self.turn_ended_at) as f64;
        let micros = (callers_micros * NOTE_TIME_PER_CALLER_TIME).min(LEFT_MAX_MICROS);
        let turn_micros = (micros as u64).max(TURN_MIN.0 * MICROS_PER_MILLI as u64);
        Timestamp::from_micros(now.as_micros() + turn_micros)
    }

    /// Records that a turn of messages ends and callers get theirs.
    pub fn end_turn(&mut self, now: Timestamp) {
        self.turn_ended_at = now;
    }

    /// Whether messages from peers may take time now.
    pub fn has_time(&mut self, now: Timestamp) -> bool {
        let added = now.micros_since(self.refilled_at) as f64 * NOTE_FRACTION;
        self.left_micros = (self.left_micros + added).min(LEFT_MAX_MICROS);
        self.refilled_at = self.refilled_at.max(now);
        self.left_micros > 0.0
    }

    /// Records time that was spent on messages from peers. The debt is bounded like what is saved, so
    /// that messages are applied again soon after one that took long.
    pub fn spend(&mut self, time: Duration) {
        let spent = time.as_secs_f64() * MICROS_PER_SECOND;
        self.left_micros = (self.left_micros - spent).max(-LEFT_MAX_MICROS);
    }

    /// Until when messages from peers are left in the socket, if even those that are dropped unread or
    /// read in any case have taken more than their time; `None` if they have not.
    pub fn paused_until(&self) -> Option<Timestamp> {
        (self.left_micros <= -LEFT_MAX_MICROS).then(|| self.refilled_at.after(PAUSE))
    }
}
