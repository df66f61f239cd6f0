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

/// How old the changes may be that a follower has read. It allows for two watches without a change in
/// a row, and for responses that take 250 ms.
pub const FRESH_FOR: Millis = Millis(750);

impl Freshness {
    /// Records an answer of the store that has all changes until `current_at`; see [`current_at`].
    pub fn record_answer(&mut self, current_at: Timestamp) {
        self.fresh_until = self.fresh_until.max(current_at.after(FRESH_FOR));
    }

    /// Whether peers may rely on the follower.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.fresh_until.is_due(now)
    }
}

/// The time until which the response to a watch, sent at `sent_at` and received at `now`, is known to
/// have all changes. How long the response was on its way is unknown. The store holds a watch without
/// changes for `wait`, and sends changes at any time after the watch was sent.
pub fn current_at(sent_at: Timestamp, wait: Millis, now: Timestamp, is_empty: bool) -> Timestamp {
    let held_until = sent_at.after(wait);
    if is_empty && held_until.is_due(now) { held_until } else { sent_at }
}
