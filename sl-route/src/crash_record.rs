//! The crash record: what crashes servers, as the platform's store keeps it. What only the memory of
//! instances holds is gone when all of them start at the same time, and each such start would cost
//! further crashes. See docs/design/forgotten-state.md.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{Millis, Timestamp};

use crate::{
    ServerKey,
    crash_causes::{CRASHES_MAX, Cause},
};

/// The causes of crashes that the store keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// The era of the store in which the record was written. In a later era, the record comes from an
    /// older copy of the store, and may lack causes.
    pub era: u64,
    /// At most [`KEPT_CAUSES_MAX`] causes.
    pub causes: BTreeMap<Cause, KeptCause>,
}

/// A cause of crashes as the store keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptCause {
    /// The runs that crashed, and have ended for certain.
    pub runs: BTreeSet<ServerKey>,
    /// The number of these crashes in which an attempt with the cause was in the most suspect phase.
    pub suspected: usize,
    /// The fingerprints of some requests under which they crashed.
    pub requests: BTreeSet<u64>,
    /// Whether the cause is barred, or was lately.
    pub bar: Option<KeptBar>,
}

/// A bar as the store keeps it. It has no point in time, since instances have no clock in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptBar {
    /// The minutes that were left when the record was written, rounded up; 0 if the bar had ended.
    pub left_min: u32,
    /// How often the bar was renewed after it had ended.
    pub renewals: u32,
    /// Whether the one attempt was made that shows whether the request still crashes servers.
    pub is_probed: bool,
}

/// The crash record of the store, as an instance knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredCrashes {
    /// The era of the store; 0 before it is known.
    pub(crate) store_era: u64,
    record: Option<CrashRecord>,
}

/// Bound on the causes that are kept: those with bars first, then those with the most crashes.
pub const KEPT_CAUSES_MAX: usize = 64;

/// A cause of a single crash is kept once it has not been cleared for this long. Most of the requests that
/// a crash leaves suspect are sound, and complete on another server.
pub const SINGLE_CRASH_DELAY: Millis = Millis(1_000);

/// The minutes left of a bar may differ by this much between the record and an instance, so that the
/// record is not written each minute, nor for two instances that round differently.
const LEFT_TOLERANCE_MIN: u32 = 1;

const MILLIS_PER_MINUTE: u64 = 60_000;

impl KeptBar {
    /// The minutes left at `now` of a bar that ends at `until`.
    pub(crate) fn left_min(now: Timestamp, until: Timestamp) -> u32 {
        let minutes = until.remaining(now).0.div_ceil(MILLIS_PER_MINUTE);
        u32::try_from(minutes).unwrap_or(u32::MAX)
    }

    /// The time left of a bar that is read now.
    pub(crate) fn left(&self) -> Millis {
        Millis(u64::from(self.left_min) * MILLIS_PER_MINUTE)
    }

    fn is_equivalent(&self, other: &KeptBar) -> bool {
        self.left_min.abs_diff(other.left_min) <= LEFT_TOLERANCE_MIN
            && (self.left_min == 0) == (other.left_min == 0)
            && self.renewals == other.renewals
            && self.is_probed == other.is_probed
    }
}

impl KeptCause {
    fn is_equivalent(&self, other: &KeptCause) -> bool {
        let bars_are_equivalent = match (&self.bar, &other.bar) {
            (Some(own), Some(other)) => own.is_equivalent(other),
            (None, None) => true,
            _ => false,
        };
        bars_are_equivalent
            && self.runs == other.runs
            && self.suspected == other.suspected
            && self.requests == other.requests
    }
}

impl CrashRecord {
    /// Whether writing `other` in place of this record would change nothing that matters.
    pub fn is_equivalent(&self, other: &CrashRecord) -> bool {
        self.era == other.era
            && self.causes.len() == other.causes.len()
            && self.causes.iter().all(|(cause, kept)| {
                other.causes.get(cause).is_some_and(|it| kept.is_equivalent(it))
            })
    }

    /// Whether causes may be missing because there was no room for them.
    fn is_full(&self) -> bool {
        self.causes.len() >= KEPT_CAUSES_MAX
    }
}

impl StoredCrashes {
    /// Replaces the record with the one that the store has now. Returns the causes that were cleared:
    /// those that the record no longer has, unless it comes from an older copy of the store.
    pub(crate) fn replace(&mut self, record: Option<CrashRecord>) -> Vec<Cause> {
        let previous = std::mem::replace(&mut self.record, record);
        let (Some(previous), Some(record)) = (previous, &self.record) else {
            return Vec::new();
        };
        let is_current = record.era == previous.era && record.era >= self.store_era;
        if !is_current || record.is_full() {
            return Vec::new();
        }
        let cleared = previous.causes.into_keys().filter(|it| !record.causes.contains_key(it));
        cleared.collect()
    }

    /// Whether the store has the crash of a run, which has ended therefore.
    pub(crate) fn has_run(&self, run: ServerKey) -> bool {
        self.record.iter().flat_map(|it| it.causes.values()).any(|it| it.runs.contains(&run))
    }

    /// Whether the store has a bar of the cause.
    fn has_bar(&self, cause: Cause) -> bool {
        let kept = self.record.as_ref().and_then(|it| it.causes.get(&cause));
        kept.is_some_and(|it| it.bar.is_some())
    }

    /// `known` if the store is to have it in place of its record. An empty one need not be written
    /// where there is none. A bar is left out as long as too few of the runs have ended for certain.
    pub(crate) fn wanted(&self, mut known: CrashRecord) -> Option<CrashRecord> {
        for (cause, kept) in &mut known.causes {
            if kept.runs.len() < CRASHES_MAX && !self.has_bar(*cause) {
                kept.bar = None;
            }
        }
        known.causes.retain(|_, it| it.bar.is_some() || !it.runs.is_empty());
        let is_written = match &self.record {
            Some(record) if record.causes.is_empty() => known.causes.is_empty(),
            Some(record) => record.is_equivalent(&known),
            None => known.causes.is_empty(),
        };
        (!is_written).then_some(known)
    }
}
