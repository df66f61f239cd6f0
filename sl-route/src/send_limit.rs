//! The limit on the requests a second that a server named for all instances together.
//!
//! Instances hear of each other's requests too late to agree on each. So each one sends in time
//! slots of its own, as many as its share of the limit, which begin at a random time: all slots
//! together come at the rate of the limit, however large the fleet. A slot that is not used ends
//! soon, so that unused ones do not add up to a burst. What the peers are known to have sent only
//! closes slots. See docs/design.md, "What servers announce".

use std::collections::VecDeque;

use sl_base::{Millis, Timestamp};

/// A limit that a server names in its responses, and the slots of this instance.
#[derive(Clone, Debug)]
pub struct SendLimit {
    /// Requests a second, of all instances together.
    per_second: f64,
    /// The share of the limit that is this instance's, above 0 and up to 1.
    share: f64,
    /// When the next slot opens, or has opened if it is not used yet.
    next_slot_at: Timestamp,
    /// When requests of all instances were sent, within [`WINDOW`].
    sent: VecDeque<Timestamp>,
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

/// How long a slot that is not used stays open.
const SLOT_OPEN: Millis = Millis(1_000);

/// The time over which the requests of all instances are counted.
const WINDOW: Millis = Millis(4_000);

/// No slot opens while all instances are known to have sent so many times the limit in the window,
/// and [`WINDOW_EXTRA`] requests.
const WINDOW_FACTOR: f64 = 1.2;

/// The requests that may be sent in the window in addition.
const WINDOW_EXTRA: f64 = 2.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl SendLimit {
    /// A limit that was named at `now`, of which this instance has a `share`. The first slot opens at
    /// `phase`, from 0 to 1, of the time between two slots.
    pub fn new(now: Timestamp, per_second: f64, share: f64, phase: f64) -> SendLimit {
        let per_second = per_second.max(PER_SECOND_MIN);
        let mut limit = SendLimit {
            per_second,
            share,
            next_slot_at: now,
            sent: VecDeque::new(),
            named_at: now,
            expires_at: now,
            announce_at: now,
        };
        limit.renew(now, per_second);
        limit.next_slot_at = now.after(Millis((limit.slot_interval().0 as f64 * phase) as u64));
        limit
    }

    /// Sets this instance's share of the limit.
    pub fn set_share(&mut self, now: Timestamp, share: f64) {
        let interval = self.slot_interval();
        self.share = share;
        self.rescale_next_slot(now, interval);
    }

    /// Changes the time until the next slot in proportion to the interval, which was `interval`.
    fn rescale_next_slot(&mut self, now: Timestamp, interval: Millis) {
        if !self.next_slot_at.is_due(now) {
            let ratio = self.slot_interval().0 as f64 / interval.0 as f64;
            let remaining = self.next_slot_at.remaining(now).0 as f64 * ratio;
            self.next_slot_at = now.after(Millis(remaining.round() as u64));
        }
    }

    /// When this instance may send the next request of a team that leaves each slot to others for
    /// the part `slot_delay`, from 0 to 1, of the time that it is open: the past, if it may now.
    pub fn opens_at(&self, now: Timestamp, slot_delay: f64) -> Timestamp {
        let delay = Millis((SLOT_OPEN.0 as f64 * slot_delay) as u64);
        self.slot_at(now).after(delay).max(self.window_opens_at())
    }

    /// Records that this instance sent a request.
    pub fn record_own_send(&mut self, now: Timestamp) {
        self.next_slot_at = self.slot_at(now).after(self.slot_interval());
        self.record_send(now);
    }

    /// Records that an instance sent a request.
    pub fn record_send(&mut self, now: Timestamp) {
        while self.sent.front().is_some_and(|it| it.after(WINDOW).is_due(now)) {
            self.sent.pop_front();
        }
        if self.sent.len() >= self.window_max() {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// The slot that is open at `now`, or else the next one.
    fn slot_at(&self, now: Timestamp) -> Timestamp {
        let oldest_open = now.before(SLOT_OPEN);
        if oldest_open <= self.next_slot_at {
            return self.next_slot_at;
        }
        let interval = self.slot_interval().0;
        let missed = (oldest_open.millis_since(self.next_slot_at) as u64).div_ceil(interval);
        self.next_slot_at.after(Millis(missed * interval))
    }

    /// The time between two slots of this instance.
    fn slot_interval(&self) -> Millis {
        let interval_s = 1.0 / (self.share * self.per_second);
        Millis(((interval_s * MILLIS_PER_SECOND).round() as u64).max(1))
    }

    /// When all instances have sent few enough requests in the window for another one.
    fn window_opens_at(&self) -> Timestamp {
        let is_full = self.sent.len() >= self.window_max();
        let oldest = self.sent.front().filter(|_| is_full);
        oldest.map_or(Timestamp::default(), |it| it.after(WINDOW))
    }

    /// The requests of all instances in the window from which on no slot opens.
    fn window_max(&self) -> usize {
        let window_s = WINDOW.0 as f64 / MILLIS_PER_SECOND;
        (self.per_second * window_s * WINDOW_FACTOR + WINDOW_EXTRA) as usize
    }

    /// Records that the limit was named again; true if it has changed.
    pub fn renew(&mut self, now: Timestamp, per_second: f64) -> bool {
        let per_second = per_second.max(PER_SECOND_MIN);
        let has_changed = per_second != self.per_second;
        let retention = RETENTION_REQUESTS / per_second * MILLIS_PER_SECOND;
        let interval = self.slot_interval();
        self.per_second = per_second;
        self.rescale_next_slot(now, interval);
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
