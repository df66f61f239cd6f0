//! How long a plain server takes to respond, by kind of work. See docs/design/estimates.md.
//!
//! An estimate that says a response comes too late keeps away the requests that could correct it. So it
//! ends by itself: it holds for no longer than it was seen, and then one request shows anew how long the
//! server takes.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use sl_base::{Millis, Timestamp};

use crate::Route;

/// Identifies requests that cost a server about the same: those of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkKind(u64);

impl WorkKind {
    /// The work of the requests on `route`.
    pub fn of(route: &Route) -> WorkKind {
        let mut hasher = DefaultHasher::new();
        (&route.host, &route.prefix).hash(&mut hasher);
        WorkKind(hasher.finish())
    }
}

/// The times to a response of one server, as this instance has seen them.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    estimates: Vec<Estimate>,
}

/// The time to a response for one kind of work.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    kind: WorkKind,
    /// The moving average, in milliseconds.
    mean_ms: f64,
    /// The weight of the responses that the average counts, from 0 to 1. The average is divided by it, so
    /// that the first response counts no more than the second.
    weight: f64,
    /// The same weight, with the responses of the averages before this one.
    confidence: f64,
    /// When the first request was sent that the average counts.
    since: Timestamp,
    /// When the last response was recorded.
    sampled_at: Timestamp,
    /// Until when the average holds.
    holds_until: Timestamp,
    /// When the latest request was sent of those that have been answered.
    answered_sent_at: Timestamp,
    /// When a request was sent that shows the time anew, because the average had ended; `None` if none
    /// is awaited.
    renewed_at: Option<Timestamp>,
}

/// Kinds of work whose times are kept for one server.
const KINDS_MAX: usize = 16;

/// The weight of one response in the moving average.
const RESPONSE_WEIGHT: f64 = 0.1;

/// The shortest time for which an average holds after its last response.
pub const HOLDS_MIN: Millis = Millis(2_000);

/// The longest such time: how long a server that has recovered may be left unused.
pub const HOLDS_MAX: Millis = Millis(8_000);

/// How many times longer a response may take that had not begun after some time.
const UNANSWERED_FACTOR: f64 = 2.0;

impl ResponseTimes {
    /// The expected milliseconds to a response; `None` while nothing recent is known.
    pub fn expected_ms(&self, now: Timestamp, kind: WorkKind) -> Option<f64> {
        let estimate = self.estimates.iter().find(|it| it.kind == kind)?;
        (!estimate.holds_until.is_due(now)).then_some(estimate.mean_ms)
    }

    /// How far the average is to be believed when servers are compared, from 0 to 1. One response says
    /// little: it may be slow because its connection was new.
    pub fn confidence(&self, kind: WorkKind) -> f64 {
        self.estimates.iter().find(|it| it.kind == kind).map_or(0.0, |it| it.confidence)
    }

    /// The milliseconds to a response that were expected last, however long ago.
    pub fn last_ms(&self, kind: WorkKind) -> Option<f64> {
        self.estimates.iter().find(|it| it.kind == kind).map(|it| it.mean_ms)
    }

    /// Records that this instance has sent a request. If the average had ended, it holds once more until
    /// the response shows otherwise, so that one request at a time is sent in spite of it.
    pub fn record_sent(&mut self, now: Timestamp, kind: WorkKind) {
        let ended = self.find(kind).filter(|it| it.holds_until.is_due(now));
        if let Some(estimate) = ended {
            estimate.holds_until = now.after(estimate.holds_for());
            estimate.renewed_at = Some(now);
        }
    }

    /// Records the start of a response at `now` to a request that was sent at `sent_at`.
    pub fn record_response(&mut self, now: Timestamp, kind: WorkKind, sent_at: Timestamp) {
        self.record(now, kind, sent_at, now.millis_since(sent_at));
        if let Some(estimate) = self.find(kind) {
            estimate.answered_sent_at = estimate.answered_sent_at.max(sent_at);
        }
    }

    /// Records that a request sent at `sent_at` had no response until its deadline at `now`. If a later one
    /// has been answered, the response was lost, which says nothing of the time that others take.
    pub fn record_unanswered(&mut self, now: Timestamp, kind: WorkKind, sent_at: Timestamp) {
        let was_lost = self.find(kind).is_some_and(|it| it.answered_sent_at > sent_at);
        if !was_lost {
            self.record(now, kind, sent_at, now.millis_since(sent_at) * UNANSWERED_FACTOR);
        }
    }

    fn record(&mut self, now: Timestamp, kind: WorkKind, sent_at: Timestamp, millis: f64) {
        let Some(estimate) = self.find(kind) else {
            return self.insert(Estimate::new(now, kind, sent_at, millis));
        };
        // Older than all that the average counts.
        if sent_at < estimate.since {
            return;
        }
        let renews = estimate.renewed_at.is_some_and(|it| sent_at >= it);
        let has_ended = estimate.renewed_at.is_none() && estimate.holds_until.is_due(now);
        if renews || has_ended {
            let Estimate { answered_sent_at, confidence, .. } = *estimate;
            *estimate = Estimate::new(now, kind, sent_at, millis);
            estimate.answered_sent_at = answered_sent_at;
            estimate.confidence = confidence;
            return;
        }
        estimate.weight += (1.0 - estimate.weight) * RESPONSE_WEIGHT;
        estimate.confidence += (1.0 - estimate.confidence) * RESPONSE_WEIGHT;
        estimate.mean_ms += (millis - estimate.mean_ms) * RESPONSE_WEIGHT / estimate.weight;
        estimate.sampled_at = now;
        estimate.holds_until = estimate.holds_until.max(now.after(estimate.holds_for()));
    }

    fn find(&mut self, kind: WorkKind) -> Option<&mut Estimate> {
        self.estimates.iter_mut().find(|it| it.kind == kind)
    }

    /// Adds an estimate, in place of the one that was used least recently if there are too many.
    fn insert(&mut self, estimate: Estimate) {
        if self.estimates.len() >= KINDS_MAX {
            let oldest = self.estimates.iter().enumerate().min_by_key(|it| it.1.sampled_at);
            if let Some((index, _)) = oldest {
                self.estimates.swap_remove(index);
            }
        }
        self.estimates.push(estimate);
    }
}

impl Estimate {
    fn new(now: Timestamp, kind: WorkKind, sent_at: Timestamp, millis: f64) -> Estimate {
        let mut estimate = Estimate {
            kind,
            mean_ms: millis,
            weight: RESPONSE_WEIGHT,
            confidence: RESPONSE_WEIGHT,
            since: sent_at,
            sampled_at: now,
            holds_until: now,
            answered_sent_at: Timestamp::default(),
            renewed_at: None,
        };
        estimate.holds_until = now.after(estimate.holds_for());
        estimate
    }

    /// For how long the average holds without a further response: as long as it was seen, within bounds.
    fn holds_for(&self) -> Millis {
        let seen = Millis(self.sampled_at.millis_since(self.since) as u64);
        seen.clamp(HOLDS_MIN, HOLDS_MAX)
    }
}
