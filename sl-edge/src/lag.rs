//! How long an instance lacks changes of the store that its peers have. See docs/CAPACITY.md, "Messages
//! between instances".

use sl_base::{Millis, Timestamp};

/// Notices when changes do not arrive from peers, so that the instance turns to the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag(Option<Behind>);

#[derive(Clone, Copy, Debug)]
struct Behind {
    since: Timestamp,
    /// When the instance turns to the store, if it is behind until then.
    fall_back_at: Timestamp,
}

/// How long peers are asked without success before the instance turns to the store, before the random
/// part. Well below the time in which a configuration has to be in force.
pub const PEER_FETCH_TIMEOUT: Millis = Millis(400);

/// How long an instance follows the store after it did not receive changes from its peers.
pub const FALLBACK_PERIOD: Millis = Millis(10_000);

/// The longest random part of the delay, for each instance of the fleet: all may be behind at once, and a
/// listing of the store takes several reads.
const SPREAD_PER_INSTANCE: Millis = Millis(4);

/// Bound on that random part.
const SPREAD_MAX: Millis = Millis(1_000);

/// The longest random part of the delay in a fleet of this size.
pub fn fallback_spread(instances: usize) -> Millis {
    Millis(SPREAD_PER_INSTANCE.0.saturating_mul(instances as u64)).min(SPREAD_MAX)
}

impl Lag {
    /// Records that peers were asked from `since` until `now`, and whether the instance then had all changes
    /// that were announced before. Returns for how long it has been behind, if it has to turn to the
    /// store now; `delay` is drawn at random, up to [`fallback_spread`].
    pub fn record(
        &mut self,
        since: Timestamp,
        now: Timestamp,
        is_caught_up: bool,
        delay: Millis,
    ) -> Option<Millis> {
        if is_caught_up {
            self.0 = None;
            return None;
        }
        let fall_back_at = since.after(Millis(PEER_FETCH_TIMEOUT.0 + delay.0));
        let behind = self.0.get_or_insert(Behind { since, fall_back_at });
        if !behind.fall_back_at.is_due(now) {
            return None;
        }
        behind.fall_back_at = now.after(FALLBACK_PERIOD);
        Some(Millis(now.millis_since(behind.since) as u64))
    }
}
