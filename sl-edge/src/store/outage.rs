//! Outages of the platform's store, and what a missing entry means after one. See docs/design/absence.md.

use sl_base::{Millis, Timestamp};

/// How a call to the store ended, as far as that shows whether the store responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The store responded.
    Answered,
    /// The store rejected the call or closed the connection, so that it answered until now.
    Broken,
    /// The call that began at this time got no response in time.
    Unanswered {
        /// When the call was sent.
        since: Timestamp,
    },
}

/// Tracks for how long the store has not answered, as far as one instance can tell.
///
/// A call that fails is no outage: a watch may be cut, and a response may be lost, while servers renew
/// their leases. Leases can only have lapsed if the store answered nobody for long enough that a
/// server missed two writes of its entry in a row.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The interval at which servers write their entries.
    heartbeat: Millis,
    /// When the store last answered.
    answered_at: Timestamp,
    /// Since when the store may not have answered; `None` if the last call succeeded.
    failing_since: Option<Timestamp>,
    /// When the entries that lapsed in the last outage are listed again, if their servers run.
    complete_at: Option<Timestamp>,
}

/// For this long after a restore, or after an outage, the store may lack entries of servers that
/// run, because they have yet to write them again.
pub const REREGISTRATION_TIME: Millis = Millis(2_000);

impl Outage {
    /// The store is taken to answer at `now`.
    pub fn new(now: Timestamp, heartbeat: Millis) -> Outage {
        Outage { heartbeat, answered_at: now, failing_since: None, complete_at: None }
    }

    /// Records the end of a call. Returns the time in which the store did not answer if this is the first answer
    /// after it, and leases may have lapsed meanwhile.
    pub fn record(&mut self, now: Timestamp, end: CallEnd) -> Option<Millis> {
        match end {
            CallEnd::Answered => self.record_answer(now),
            CallEnd::Broken => {
                self.failing_since.get_or_insert(now);
                None
            }
            CallEnd::Unanswered { since } => {
                // Another call may have been answered since this one was sent.
                let since = since.max(self.answered_at);
                self.failing_since = Some(self.failing_since.map_or(since, |it| it.min(since)));
                None
            }
        }
    }

    fn record_answer(&mut self, now: Timestamp) -> Option<Millis> {
        self.answered_at = now;
        let since = self.failing_since.take()?;
        if !since.after(self.heartbeat).is_due(now) {
            return None;
        }
        self.complete_at = Some(now.after(REREGISTRATION_TIME));
        Some(Millis(now.millis_since(since) as u64))
    }

    /// When the entries that lapsed in the last outage are listed again, if their servers run; `None` if
    /// there was no outage in which leases can have lapsed.
    pub fn complete_at(&self) -> Option<Timestamp> {
        self.complete_at
    }

    /// Forgets the last outage, because peers that follow the store know better.
    pub fn forget(&mut self, now: Timestamp) {
        *self = Outage::new(now, self.heartbeat);
    }
}
