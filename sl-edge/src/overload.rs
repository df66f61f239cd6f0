//! Load shedding for an instance whose processor share is too small for its load.
//!
//! The balancer assigns all connections of a caller to one instance, whatever its size. An
//! instance whose tasks run late reports itself unready for a while, so that new connections
//! go to other instances, and closes its existing connections after their current request. It
//! also rejects a growing fraction of requests, first those of teams over their share. A caller's
//! retry comes back to the same instance until the balancer has noticed that it is not ready.

use sl_base::{Millis, Timestamp};
use sl_route::share::Standing;

/// Decides when to shed connections and requests, from how late the periodic ticks run.
#[derive(Clone, Copy, Debug)]
pub struct LoadShedder {
    /// Moving average of the ticks' lateness, in milliseconds.
    late_ms: f64,
    /// End of the current shedding period, or of the last one.
    shed_until: Timestamp,
    /// When the balancer has noticed the latest shedding period and sends new connections to
    /// other instances.
    callers_moved_at: Timestamp,
    /// Length of the next shedding period of an instance that is as large as any of the fleet.
    next_shed_duration: Millis,
    /// How many times larger the largest instance of the fleet is than this one; at least 1.
    largest_ratio: f64,
    /// Fraction of the requests that is rejected, from 0 to [`REJECT_FRACTION_MAX`].
    reject_fraction: f64,
    /// Requests that should have been rejected by now and were not.
    due_rejections: f64,
}

/// Mean lateness from which connections are shed, in milliseconds: callers notice it.
const SHED_LATENESS_MS: f64 = 60.0;

/// Mean lateness from which callers are checked for an unnoticed disconnect, in milliseconds.
const LAGGING_LATENESS_MS: f64 = 10.0;

/// Mean lateness above which requests are rejected, too, in milliseconds. A machine that is
/// merely busy stays below it.
const REJECT_LATENESS_MS: f64 = 30.0;

/// Rejected fraction from which connections are shed, too: rejections keep the lateness below
/// [`SHED_LATENESS_MS`], and the callers would stay with the instance that rejects them.
const SHED_REJECT_FRACTION: f64 = 0.4;

/// Time that the balancer needs to notice that the instance is not ready.
pub const BALANCER_DELAY: Millis = Millis(2_600);

/// Shortest retry delay after a rejection.
const RETRY_DELAY_MIN: Millis = Millis(10);

/// Weight of one tick in the moving average.
const TICK_SMOOTHING: f64 = 0.25;

/// Change of the rejected fraction with each tick: up while the mean lateness is above
/// [`REJECT_LATENESS_MS`], else down.
const REJECT_STEP: f64 = 0.08;

/// Upper bound of the rejected fraction, so that some requests are always accepted.
const REJECT_FRACTION_MAX: f64 = 0.9;

/// Rejections that may be due before requests of teams within their share are rejected, too.
const WITHIN_SHARE_RESERVE: f64 = 16.0;

/// Bound on the rejections that are due, so that they end soon after the lateness.
const DUE_REJECTIONS_MAX: f64 = WITHIN_SHARE_RESERVE + 2.0;

/// Length of the first shedding period of the largest instances of a fleet; each further one is
/// twice as long as the one before.
const SHED_DURATION_MIN: Millis = Millis(4_000);

/// Upper bound of a shedding period.
const SHED_DURATION_MAX: Millis = Millis(32_000);

/// After so long without shedding, the next period is a first one again: the load that made earlier ones longer
/// is gone.
const CALM_PERIOD: Millis = Millis(60_000);

impl LoadShedder {
    /// A shedder for an idle instance.
    pub fn new(now: Timestamp) -> LoadShedder {
        LoadShedder {
            late_ms: 0.0,
            shed_until: now,
            callers_moved_at: now,
            next_shed_duration: SHED_DURATION_MIN,
            largest_ratio: 1.0,
            reject_fraction: 0.0,
            due_rejections: 0.0,
        }
    }

    /// Sets how many times larger the largest instance of the fleet is than this one. The callers
    /// of a small instance are served better by a larger one. The balancer gives them to any
    /// other, so it takes some periods until they reach one, and they must not come back before.
    pub fn set_largest_ratio(&mut self, ratio: f64) {
        self.largest_ratio = ratio.max(1.0);
    }

    /// Records a tick that ran `late_ms` milliseconds late; true if a shedding period starts.
    pub fn record_tick(&mut self, now: Timestamp, late_ms: f64) -> bool {
        self.late_ms += (late_ms - self.late_ms) * TICK_SMOOTHING;
        let step = if self.late_ms > REJECT_LATENESS_MS { REJECT_STEP } else { -REJECT_STEP };
        self.reject_fraction = (self.reject_fraction + step).clamp(0.0, REJECT_FRACTION_MAX);
        if self.reject_fraction == 0.0 {
            self.due_rejections = 0.0;
        }
        let is_overloaded =
            self.late_ms >= SHED_LATENESS_MS || self.reject_fraction >= SHED_REJECT_FRACTION;
        if !is_overloaded || self.is_shedding(now) {
            return false;
        }
        self.callers_moved_at = now.after(BALANCER_DELAY);
        if self.shed_until.after(CALM_PERIOD).is_due(now) {
            self.next_shed_duration = SHED_DURATION_MIN;
        }
        let duration = (self.next_shed_duration.0 as f64 * self.largest_ratio) as u64;
        self.shed_until = now.after(Millis(duration).min(SHED_DURATION_MAX));
        self.next_shed_duration = Millis((self.next_shed_duration.0 * 2).min(SHED_DURATION_MAX.0));
        true
    }

    /// Whether connections are being shed.
    pub fn is_shedding(&self, now: Timestamp) -> bool {
        !self.shed_until.is_due(now)
    }

    /// Whether tasks run so late that a caller may have disconnected without being noticed
    /// yet.
    pub fn is_lagging(&self) -> bool {
        self.late_ms > LAGGING_LATENESS_MS
    }

    /// Whether to reject the request that has just arrived, given where its team stands. Each
    /// call counts as one request. Requests of teams within their share are rejected only where
    /// those of the others are too few to make up the fraction.
    pub fn should_reject(&mut self, standing: Standing) -> bool {
        let due = self.due_rejections + self.reject_fraction;
        self.due_rejections = due.min(DUE_REJECTIONS_MAX);
        let reserve = match standing {
            Standing::OverShare => 0.0,
            Standing::WithinShare => WITHIN_SHARE_RESERVE,
        };
        if self.due_rejections < reserve + 1.0 {
            return false;
        }
        self.due_rejections -= 1.0;
        true
    }

    /// The delay after which the caller of a rejected request may retry: once new connections
    /// go to other instances, or at once while the instance is in rotation.
    pub fn retry_delay(&self, now: Timestamp) -> Millis {
        self.callers_moved_at.remaining(now).max(RETRY_DELAY_MIN)
    }

    /// The fraction of the requests that is rejected, from 0 to 1.
    pub fn reject_fraction(&self) -> f64 {
        self.reject_fraction
    }

    /// The moving average of the ticks' lateness, in milliseconds.
    pub fn late_ms(&self) -> f64 {
        self.late_ms
    }
}
