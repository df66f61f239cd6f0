//! When an instance may write the version record. See docs/design/stream-origins.md.

use sl_base::{Millis, Timestamp};

/// The place of an instance among those that follow the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerRank {
    /// The number of followers that rank before it.
    pub ahead: u64,
    /// The number of followers, itself included.
    pub followers: u64,
}

/// When one follower may write the version record. The followers take turns, the first one first, so
/// that a record which the store refuses is not written by all of them. A turn is not agreed upon:
/// each follower counts from when it has found that the record has to change.
#[derive(Debug, Default)]
pub struct RecordSchedule {
    /// Since when the record has had to change; `None` if it has not.
    wanted_since: Option<Timestamp>,
    /// No write is begun before this time; `None` before the first one.
    next_write_at: Option<Timestamp>,
}

/// The shortest interval between the starts of two writes: every call costs, refused ones too.
pub const RECORD_WRITE_INTERVAL: Millis = Millis(400);

/// How long a follower has its turn. The second one has it before new streams stop waiting for the
/// record, which they do after 2,000 ms.
pub const RECORD_TURN: Millis = Millis(1_200);

/// The part of a turn in which writes are begun. The rest lets the last one end, and keeps
/// [`RECORD_WRITE_INTERVAL`] to the next follower, which may have found 200 ms earlier that the
/// record has to change.
pub const RECORD_WRITE_WINDOW: Millis = Millis(600);

/// The timeout of a write: it ends within the turn.
pub const RECORD_WRITE_TIMEOUT: Millis = Millis(500);

/// The number of followers that take turns. Further instances follow the store just after their
/// start only.
pub const RECORD_WRITERS: u64 = crate::store::FOLLOWERS as u64;

impl RecordSchedule {
    /// Whether the record may be written now. It has to change, as it has since the first of these
    /// calls after [`RecordSchedule::reset`].
    pub fn is_due(&mut self, now: Timestamp, rank: FollowerRank) -> bool {
        let since = *self.wanted_since.get_or_insert(now);
        let is_spaced = self.next_write_at.is_none_or(|it| it.is_due(now));
        is_spaced && is_in_turn(now.millis_since(since), rank)
    }

    /// A write begins now.
    pub fn write_started(&mut self, now: Timestamp) {
        self.next_write_at = Some(now.after(RECORD_WRITE_INTERVAL));
    }

    /// The store has the record that it should have.
    pub fn reset(&mut self) {
        *self = RecordSchedule::default();
    }
}

fn is_in_turn(waited_ms: f64, rank: FollowerRank) -> bool {
    let writers = rank.followers.clamp(1, RECORD_WRITERS);
    if writers == 1 {
        return true;
    }
    let waited = waited_ms as u64;
    let is_own_turn = waited / RECORD_TURN.0 % writers == rank.ahead;
    is_own_turn && waited % RECORD_TURN.0 < RECORD_WRITE_WINDOW.0
}
