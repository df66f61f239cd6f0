//! The limit on the requests a second that a server named for all instances together.

use sl_base::{Millis, Timestamp};

/// A limit that a server names in its responses.
#[derive(Clone, Debug)]
pub struct SendLimit {
    /// Requests a second, of all instances together.
    per_second: f64,
    /// When the limit was last named to this instance or to a peer that told it.
    named_at: Timestamp,
    /// When the limit ends unless it is named again.
    expires_at: Timestamp,
    /// When peers are told of the limit again, if it is named again.
    announce_at: Timestamp,
}

/// A limit that is not named again for this long ends, or for as long as the server takes
/// [`RETENTION_REQUESTS`] requests, if that is longer.
const RETENTION_MIN: Millis = Millis(10_000);

/// The number of requests in the time for which a limit is kept.
const RETENTION_REQUESTS: f64 = 20.0;

/// How often peers are told of a limit, for those that have started since or missed a note.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(1_000);

/// Lower limits, in requests a second, are taken for this one: a server that takes none would never
/// show that its limit has ended.
const PER_SECOND_MIN: f64 = 0.05;

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl SendLimit {
    /// A limit that was named at `now`.
    pub fn new(now: Timestamp, per_second: f64) -> SendLimit {
        let mut limit =
            SendLimit { per_second: 0.0, named_at: now, expires_at: now, announce_at: now };
        limit.renew(now, per_second);
        limit
    }

    /// Records that the limit was named again; true if it has changed.
    pub fn renew(&mut self, now: Timestamp, per_second: f64) -> bool {
        let per_second = per_second.max(PER_SECOND_MIN);
        let has_changed = per_second != self.per_second;
        let retention = RETENTION_REQUESTS / per_second * MILLIS_PER_SECOND;
        self.per_second = per_second;
        self.named_at = now;
        self.expires_at = now.after(RETENTION_MIN.max(Millis(retention as u64)));
        has_changed
    }

    /// Whether peers are to be told of the limit now; false until the interval has passed again.
    pub fn take_announcement(&mut self, now: Timestamp) -> bool {
        let is_due = self.announce_at.is_due(now);
        if is_due {
            self.defer_announcement(now);
        }
        is_due
    }

    /// Records that a peer has told all others of the limit.
    pub fn defer_announcement(&mut self, now: Timestamp) {
        self.announce_at = now.after(ANNOUNCEMENT_INTERVAL);
    }

    /// Requests a second that the server takes from all instances together.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Whether the response to a request that was sent at `sent_at` may end the limit: an earlier
    /// one may be from before the limit.
    pub fn may_end(&self, sent_at: Timestamp) -> bool {
        self.named_at <= sent_at
    }

    /// Whether the limit has not been named for so long that it no longer applies.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        self.expires_at.is_due(now)
    }
}
