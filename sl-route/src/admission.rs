//! How late and how costly a model request may be to be admitted, given where its team stands.
//!
//! Under overload teams over their fair share are refused first (docs/design.md). A refusal for
//! the sake of other requests is for teams that have got enough: the prefill that a request
//! repeats counts in proportion to the part of its share that the team has used.
//!
//! What is limited is the time that a request waits for others, not the time that its own prompt
//! takes: a limit on both refuses the longest prompts first.

use crate::{route_balance::RouteStanding, share::ContendedUsage};

/// Limits on the server that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Longest expected time to the first byte with the weighted cost to other requests, in
    /// milliseconds.
    pub allowed_ms: f64,
    /// What `allowed_ms` would be without the balance between routes.
    pub unbalanced_ms: f64,
    /// Milliseconds that are counted for the prefill of the request itself, whatever its length,
    /// so that long prompts may wait as long for their turn as short ones.
    pub counted_prefill_ms: f64,
    /// Weight of `counted_prefill_ms` against the actual prefill, from 0 (the actual one counts)
    /// to 1.
    pub counted_prefill_weight: f64,
    /// Weight of prefill that duplicates what another engine has cached, when a request is
    /// checked against `allowed_ms`.
    pub duplicate_prefill_weight: f64,
    /// The part of the time, from 0 to 1, for which an open slot of a limited server is left to teams
    /// that have got less.
    pub slot_delay: f64,
    /// Longest expected time to the end of the response, in milliseconds; infinite where the end does
    /// not matter.
    pub ends_within_ms: f64,
}

/// Fraction of a route's target latency that the expected time to the first byte may take while
/// all demand is satisfied.
const TARGET_FRACTION: f64 = 0.85;

/// The same for a team within its fair share while demand exceeds capacity.
const TARGET_FRACTION_WITHIN_SHARE: f64 = 0.95;

/// The same for a team that has got nothing. Its request may be late rather than be refused because
/// others have filled the engines.
const TARGET_FRACTION_LATE: f64 = 2.0;

/// Ratio of usage to fair share from which requests are to be in time.
const LATE_USAGE_MAX: f64 = 0.25;

/// The same for a team whose share is used up.
const TARGET_FRACTION_OVER_SHARE: f64 = 0.7;

/// Fraction of a route's target latency that is counted for the prefill of each prompt.
const COUNTED_PREFILL_FRACTION: f64 = 0.2;

/// Weight of duplicate prefill. Under overload, refusing one request is cheaper than repeating
/// prefill at the expense of many others.
const DUPLICATE_PREFILL_WEIGHT: f64 = 4.0;

/// Ratio of usage to fair share up to which a team is not refused for the balance between routes: the
/// part of its share that each team is owed in any case.
const GUARANTEED_USAGE: f64 = 0.5;

/// Ratio of usage to fair share from which a team is refused while no other team lacks any of its share.
const USAGE_MAX: f64 = 2.0;

/// How much [`USAGE_MAX`] falls for each shortfall of a whole share. With 2 the best served team would get at
/// most twice what the worst served one gets, which is the rule on shares; a shortfall is known late, so
/// the limit falls faster.
const USAGE_MAX_PER_SHORTFALL: f64 = 4.0;

/// Lower bound on the limit: a team at its share is not refused for the shortfall of another one.
const USAGE_MAX_WITH_SHORTFALL: f64 = 1.1;

/// Ratio of usage to fair share from which a team leaves the slots of limited servers to others for
/// as long as it does at most.
const SLOT_USAGE_MAX: f64 = 1.5;

/// The longest part of the time that a slot is open for which it is left to other teams. In the rest
/// it is used rather than wasted.
const SLOT_DELAY_MAX: f64 = 0.8;

impl AdmissionLimits {
    /// The limits of a request with a target latency of `target_ms`, whose deadline is
    /// `remaining_ms` away. `usage` is `None` while all demand is satisfied.
    pub fn new(
        target_ms: f64,
        remaining_ms: f64,
        usage: Option<ContendedUsage>,
    ) -> AdmissionLimits {
        let fraction = usage.map_or(TARGET_FRACTION, target_fraction);
        let allowed_ms = (target_ms * fraction).min(remaining_ms);
        AdmissionLimits {
            allowed_ms,
            unbalanced_ms: allowed_ms,
            counted_prefill_ms: target_ms * COUNTED_PREFILL_FRACTION,
            counted_prefill_weight: (fraction / TARGET_FRACTION).min(1.0),
            duplicate_prefill_weight: usage
                .map_or(DUPLICATE_PREFILL_WEIGHT, |it| duplicate_prefill_weight(it.ratio)),
            slot_delay: usage.map_or(0.0, |it| slot_delay(it.ratio)),
            ends_within_ms: f64::INFINITY,
        }
    }

    /// The limits of a request under contention, whose route stands at `standing`. A route that is
    /// behind the others may wait longer, up to the time of a team that has used nothing of its
    /// share, and one that is ahead less long, down to nothing for a team whose share is used up.
    /// Repeated prefill weighs the same for all, since it takes more from the others than the
    /// request gains. A team over its share keeps its limits.
    pub fn under_contention(
        target_ms: f64,
        remaining_ms: f64,
        usage: Option<ContendedUsage>,
        standing: RouteStanding,
    ) -> AdmissionLimits {
        let limits = AdmissionLimits::new(target_ms, remaining_ms, usage);
        let limits = AdmissionLimits { ends_within_ms: remaining_ms, ..limits };
        if usage.is_some_and(|it| it.ratio >= 1.0) {
            return limits;
        }
        let bound_ms = if standing.lead < 0.0 {
            (target_ms * TARGET_FRACTION_WITHIN_SHARE).min(remaining_ms).max(limits.allowed_ms)
        } else {
            0.0
        };
        let ahead = standing.lead.max(0.0) * usage.map_or(1.0, |it| balance_weight(it.ratio));
        let weight = ahead.max(-standing.lead);
        let allowed_ms = limits.allowed_ms + (bound_ms - limits.allowed_ms) * weight;
        AdmissionLimits { allowed_ms, ..limits }
    }

    /// What to add to an expected time with `prefill_ms` of the request's own prefill, so that the
    /// prefill is counted as these limits say: negative for long prompts.
    pub fn prefill_adjustment_ms(self, prefill_ms: f64) -> f64 {
        self.counted_prefill_weight * (self.counted_prefill_ms - prefill_ms)
    }

    /// The limits of a request that may take until its deadline, `remaining_ms` away.
    pub fn until_deadline(remaining_ms: f64) -> AdmissionLimits {
        AdmissionLimits {
            allowed_ms: remaining_ms,
            unbalanced_ms: remaining_ms,
            counted_prefill_ms: 0.0,
            counted_prefill_weight: 0.0,
            duplicate_prefill_weight: DUPLICATE_PREFILL_WEIGHT,
            slot_delay: 0.0,
            ends_within_ms: f64::INFINITY,
        }
    }
}

/// Falls with the part of the share that is used, and above the share to nothing at the limit on
/// usage.
fn target_fraction(usage: ContendedUsage) -> f64 {
    let ratio = usage.ratio;
    if ratio < 1.0 {
        let range = TARGET_FRACTION_WITHIN_SHARE - TARGET_FRACTION_OVER_SHARE;
        let lacking = (1.0 - ratio / LATE_USAGE_MAX).max(0.0);
        let extension = (TARGET_FRACTION_LATE - TARGET_FRACTION_WITHIN_SHARE) * lacking;
        return TARGET_FRACTION_WITHIN_SHARE - range * ratio + extension;
    }
    let excess = (ratio - 1.0) / (usage_max(usage.shortfall) - 1.0);
    TARGET_FRACTION_OVER_SHARE / ratio.powi(2) * (1.0 - excess.min(1.0).powi(2))
}

fn usage_max(shortfall: f64) -> f64 {
    (USAGE_MAX - USAGE_MAX_PER_SHORTFALL * shortfall).max(USAGE_MAX_WITH_SHORTFALL)
}

/// Rises from nothing for a team whose share is used up to the most at [`SLOT_USAGE_MAX`] times it.
fn slot_delay(usage: f64) -> f64 {
    SLOT_DELAY_MAX * ((usage - 1.0) / (SLOT_USAGE_MAX - 1.0)).clamp(0.0, 1.0)
}

/// How much of the balance between routes applies to a team: none up to [`GUARANTEED_USAGE`], all once its
/// share is used up.
fn balance_weight(usage: f64) -> f64 {
    ((usage - GUARANTEED_USAGE) / (1.0 - GUARANTEED_USAGE)).clamp(0.0, 1.0)
}

fn duplicate_prefill_weight(usage: f64) -> f64 {
    DUPLICATE_PREFILL_WEIGHT * usage.min(1.0)
}
