//! What the platform's store keeps of the causes of crashes. See docs/design/forgotten-state.md.

use std::{cmp::Reverse, collections::BTreeSet};

use sl_base::Timestamp;

use super::{
    ActiveBar, BAR_DOUBLINGS_MAX, CRASH_RETENTION, Cause, CauseRecord, CrashCauses, PROBE_DELAY,
    PROOF_RETENTION, REQUESTS_MIN, RUNS_PER_CAUSE_MAX, Reaction, SIMULTANEOUS, bar_duration,
};
use crate::{
    ServerKey,
    crash_record::{CrashRecord, KEPT_CAUSES_MAX, KeptBar, KeptCause, SINGLE_CRASH_DELAY},
};

impl CrashCauses {
    /// What the store is to keep. A crash is kept once its run has certainly ended: a run that only broke
    /// off its last responses may go on.
    pub fn record(
        &self,
        now: Timestamp,
        era: u64,
        has_ended: impl Fn(ServerKey) -> bool,
    ) -> CrashRecord {
        let kept = self.0.iter().map(|(&cause, it)| (it, cause, it.kept(now, &has_ended)));
        let kept = kept.filter(|(record, _, kept)| record.is_to_be_kept(now, kept));
        let mut kept: Vec<(Cause, KeptCause)> = kept.map(|(_, cause, it)| (cause, it)).collect();
        if kept.len() > KEPT_CAUSES_MAX {
            kept.sort_by_key(|(cause, it)| (it.bar.is_none(), Reverse(it.runs.len()), *cause));
            kept.truncate(KEPT_CAUSES_MAX);
        }
        CrashRecord { era, causes: kept.into_iter().collect() }
    }

    /// Adds what the store has kept of a cause; this instance announces its bar at `announce_at` next.
    pub fn apply_kept(
        &mut self,
        now: Timestamp,
        cause: Cause,
        kept: &KeptCause,
        announce_at: Timestamp,
    ) -> Reaction {
        if self.0.get(&cause).is_some_and(|it| it.contradicts_record(now)) {
            return Reaction::Contradicted;
        }
        let is_known = self.0.contains_key(&cause);
        let record = self.record_mut(now, cause);
        if !is_known {
            record.first_crash_at = now.before(SINGLE_CRASH_DELAY);
            record.last_crash_at = now.before(SIMULTANEOUS);
        }
        record.add_kept(kept);
        let Some(bar) = kept.bar else {
            return Reaction::Known;
        };
        if let Some(known) = &mut record.bar {
            known.renewals = known.renewals.max(bar.renewals.min(BAR_DOUBLINGS_MAX));
            if bar.is_probed {
                known.probe_at = Timestamp::NEVER;
            }
            return Reaction::Known;
        }
        record.bar = Some(ActiveBar::from_kept(now, &bar, record.runs.len(), announce_at));
        record.expires_at = now.after(bar.left()).after(CRASH_RETENTION);
        let explained: Vec<ServerKey> = kept.runs.iter().copied().collect();
        self.forget_explained(cause, &explained, &BTreeSet::new());
        Reaction::Applied
    }
}

impl CauseRecord {
    /// Whether the cause was cleared here just now, and no crash was counted since, so that the store's
    /// record is older.
    fn contradicts_record(&self, now: Timestamp) -> bool {
        let contradicts_until = self.served_at.map(|it| it.after(PROOF_RETENTION));
        let is_recent = contradicts_until.is_some_and(|it| !it.is_due(now));
        self.runs.is_empty() && self.bar.is_none() && is_recent
    }

    /// Whether the store is to keep the cause as `kept`.
    fn is_to_be_kept(&self, now: Timestamp, kept: &KeptCause) -> bool {
        match kept.runs.len() {
            0 => kept.bar.is_some(),
            1 => kept.bar.is_some() || self.first_crash_at.after(SINGLE_CRASH_DELAY).is_due(now),
            _ => true,
        }
    }

    fn kept(&self, now: Timestamp, has_ended: impl Fn(ServerKey) -> bool) -> KeptCause {
        KeptCause {
            runs: self.runs.iter().copied().filter(|it| has_ended(*it)).collect(),
            suspected: self.suspected,
            requests: self.requests.iter().copied().collect(),
            bar: self.bar.map(|it| it.kept(now)),
        }
    }

    /// Adds the crashes that the store has kept to those that are known.
    fn add_kept(&mut self, kept: &KeptCause) {
        let new: Vec<ServerKey> =
            kept.runs.iter().copied().filter(|it| !self.runs.contains(it)).collect();
        let room = RUNS_PER_CAUSE_MAX.saturating_sub(self.runs.len());
        self.runs.extend(new.into_iter().take(room));
        self.suspected = self.suspected.max(kept.suspected).min(self.runs.len());
        for &request in &kept.requests {
            if self.requests.len() < REQUESTS_MIN && !self.requests.contains(&request) {
                self.requests.push(request);
            }
        }
    }
}

impl ActiveBar {
    /// A bar that the store has kept, for no longer than one of this instance's own.
    fn from_kept(now: Timestamp, kept: &KeptBar, runs: usize, announce_at: Timestamp) -> ActiveBar {
        let renewals = kept.renewals.min(BAR_DOUBLINGS_MAX);
        ActiveBar {
            until: now.after(kept.left().min(bar_duration(renewals))),
            renewals,
            crashes: u32::try_from(runs.max(1)).unwrap_or(u32::MAX),
            announce_at,
            probe_at: if kept.is_probed { Timestamp::NEVER } else { now.after(PROBE_DELAY) },
        }
    }

    fn kept(&self, now: Timestamp) -> KeptBar {
        KeptBar {
            left_min: KeptBar::left_min(now, self.until),
            renewals: self.renewals,
            is_probed: self.probe_at == Timestamp::NEVER,
        }
    }
}
