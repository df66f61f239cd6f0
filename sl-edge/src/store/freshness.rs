//! How recent the changes are that a follower of the store has read. See docs/design/absence.md.

use sl_base::{Millis, Timestamp};

/// Until when peers may rely on a follower for the store's changes.
///
/// A follower whose store no longer answers looks to itself as if there were no changes. So what it
/// tells its peers expires by itself, long before its call times out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// The end of the time in which the changes that were read count as recent; zero before the first
    /// answer.
    fresh_until: Timestamp,
}

/// How long the store holds a watch of the first follower open without a change. Short, since until the
/// watch ends its follower can't tell a store without changes from one that does not answer.
pub const FIRST_WATCH_WAIT: Millis = Millis(300);

/// The same for the other followers. They need not notice a silent store so soon: if the first one does,
/// others take over.
pub const WATCH_WAIT: Millis = Millis(2_000);

/// How much older than the wait of a watch the changes may be that a follower has read. It allows for the
/// responses to two watches that take 225 ms each.
pub const FRESH_MARGIN: Millis = Millis(450);

impl Freshness {
    /// Records an answer of the store that has all changes until `current_at` (see [`current_at`]), after
    /// which the next watch waits for `next_wait`.
    pub fn record_answer(&mut self, current_at: Timestamp, next_wait: Millis) {
        let fresh_until = current_at.after(next_wait).after(FRESH_MARGIN);
        self.fresh_until = fresh_until;
    }

    /// Whether peers may rely on the follower.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.fresh_until.is_due(now)
    }
}

/// The time until which the response to a watch, sent at `sent_at` and received at `now`, is known to
/// have all changes. The store holds a watch without changes for `wait`, and sends changes at any time after
/// the watch was sent. How long the response was on its way is unknown, so changes count from when the watch was
/// sent; with a long wait they would count as old in no time, and only the first follower has to be exact.
pub fn current_at(sent_at: Timestamp, wait: Millis, now: Timestamp, is_empty: bool) -> Timestamp {
    let held_until = sent_at.after(wait);
    match held_until.is_due(now) {
        true if is_empty => held_until,
        false if wait > FIRST_WATCH_WAIT => now,
        _ => sent_at,
    }
}
