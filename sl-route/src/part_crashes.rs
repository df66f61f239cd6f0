//! Tracking of prompt parts under which engines crash.
//!
//! Requests may share one part and nothing else, so their fingerprints tell nothing. Each crash
//! counts for all shared parts of its suspects; a part is cleared by any attempt with it that
//! the engine survived, so that only the part that is the cause keeps its crashes.

use std::collections::HashMap;

use sl_base::{Millis, Timestamp};

use crate::{ServerKey, crash_detector::Crash, note::BarredPart};

/// Crashes and bars by the key of the prompt part, which includes the model.
#[derive(Clone, Debug, Default)]
pub struct PartCrashes(HashMap<u64, PartRecord>);

/// What a survived attempt proves about the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The attempt completed, which ends a bar as well.
    Completed,
    /// The attempt still runs, longer than any that crashes its engine.
    Running,
}

/// The reaction to a peer's announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// The part is barred here from now on.
    Applied,
    /// The part was barred here already.
    Known,
    /// An attempt with the part has just completed here, so the peer missed a note.
    Contradicted,
}

#[derive(Clone, Debug)]
struct PartRecord {
    /// The runs that crashed, each at another time.
    runs: Vec<ServerKey>,
    last_crash_at: Timestamp,
    /// When an attempt with the part last proved that it is not the cause.
    served_at: Option<Timestamp>,
    /// When an attempt with the part last completed at this instance.
    completed_here_at: Option<Timestamp>,
    bar: Option<Bar>,
    expires_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Bar {
    until: Timestamp,
    renewals: u32,
    crashes: u32,
    announce_at: Timestamp,
}

/// Crashes after which a part is barred.
pub const CRASHES_MAX: usize = 3;

/// Runs that crash within this time count once: a rack that fails takes several engines at the
/// same moment, all of which run the parts that are in use.
pub const SIMULTANEOUS: Millis = Millis(200);

/// The first duration of a bar; doubled with each renewal.
pub const BAR_INITIAL: Millis = Millis(600_000);

/// Limit on the doublings of the duration.
const BAR_DOUBLINGS_MAX: u32 = 5;

/// A part without a crash for this long is forgotten, and so is a bar after its end.
const CRASH_RETENTION: Millis = Millis(600_000);

/// How long a proof contradicts the announcements of peers.
const PROOF_RETENTION: Millis = Millis(3_000);

/// Bound on the number of parts tracked; the one with the fewest crashes gives way.
pub const PARTS_MAX: usize = 4_096;

/// Bound on the crashes counted of one part.
const RUNS_PER_PART_MAX: usize = 16;

impl PartCrashes {
    /// Counts a crash for the shared parts of its suspects. Returns the parts that are barred by
    /// it, which `announce_at` says when to announce.
    ///
    /// A crash under a part that is or was barred is explained by that part, and counts for no
    /// other.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        crash: &Crash,
        announce_at: Timestamp,
    ) -> Vec<BarredPart> {
        let parts = crash.suspects.iter().flatten().copied();
        let blamed: Vec<u64> = parts.filter(|it| self.has_bar(*it)).collect();
        if blamed.is_empty() {
            crash.suspects.iter().flatten().for_each(|it| self.count(now, crash, *it));
            let suspects = crash.suspects.iter();
            let causes: Vec<u64> = suspects.filter_map(|it| self.likely_cause(it)).collect();
            return causes.into_iter().filter_map(|it| self.bar(now, it, announce_at)).collect();
        }
        let ended = blamed.into_iter().filter(|it| !self.is_barred(now, [*it]));
        let ended: Vec<u64> = ended.collect();
        ended.into_iter().filter_map(|it| self.bar(now, it, announce_at)).collect()
    }

    /// Whether one of the parts is barred.
    pub fn is_barred(&self, now: Timestamp, parts: impl IntoIterator<Item = u64>) -> bool {
        let is_barred = |record: &PartRecord| record.bar.is_some_and(|it| !it.until.is_due(now));
        !self.0.is_empty() && parts.into_iter().any(|it| self.0.get(&it).is_some_and(is_barred))
    }

    /// Clears a part with which an engine survived an attempt. Returns whether there was
    /// something to clear.
    pub fn record_served(&mut self, now: Timestamp, part: u64, proof: Proof, is_own: bool) -> bool {
        let Some(record) = self.0.get_mut(&part) else {
            return false;
        };
        let is_complete = proof == Proof::Completed;
        if record.bar.is_some() && !is_complete {
            return false;
        }
        let is_cleared = record.bar.take().is_some() || !record.runs.is_empty();
        record.runs.clear();
        record.served_at = Some(now);
        if is_complete && is_own {
            record.completed_here_at = Some(now);
        }
        if is_cleared {
            record.expires_at = now.after(PROOF_RETENTION);
        }
        is_cleared
    }

    /// Applies the announcement of a peer; this instance announces the part at `announce_at`
    /// next.
    pub fn apply(
        &mut self,
        now: Timestamp,
        announcement: BarredPart,
        announce_at: Timestamp,
    ) -> Reaction {
        let BarredPart { part, for_ms, renewals, crashes } = announcement;
        if self.0.get(&part).is_some_and(|it| it.contradicts_bar(now)) {
            return Reaction::Contradicted;
        }
        let was_barred = self.is_barred(now, [part]);
        let renewals = renewals.min(BAR_DOUBLINGS_MAX);
        let until = now.after(Millis(for_ms.into()).min(bar_duration(renewals)));
        self.make_room(now, part);
        let record = self.0.entry(part).or_insert_with(|| PartRecord::new(now));
        let known = record.bar.unwrap_or(Bar { until, renewals, crashes, announce_at });
        let until = until.max(known.until);
        record.bar = Some(Bar { until, announce_at, ..known });
        record.expires_at = until.after(CRASH_RETENTION);
        if was_barred { Reaction::Known } else { Reaction::Applied }
    }

    /// Takes the announcements that are due, and forgets what has expired. `next_at` returns the
    /// time of the next announcement of a part.
    pub fn take_announcements(
        &mut self,
        now: Timestamp,
        mut next_at: impl FnMut() -> Timestamp,
    ) -> Vec<BarredPart> {
        self.0.retain(|_, it| !it.expires_at.is_due(now));
        let mut due = Vec::new();
        for (&part, record) in &mut self.0 {
            let Some(bar) = &mut record.bar else {
                continue;
            };
            if bar.announce_at.is_due(now) && !bar.until.is_due(now) {
                bar.announce_at = next_at();
                due.push(bar.announcement(now, part));
            }
        }
        due
    }

    /// The barred parts.
    pub fn barred_parts(&self, now: Timestamp) -> Vec<BarredPart> {
        let bars = self.0.iter().filter_map(|(&part, it)| Some((part, it.bar?)));
        let active = bars.filter(|(_, it)| !it.until.is_due(now));
        active.map(|(part, it)| it.announcement(now, part)).collect()
    }

    /// The number of parts tracked.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no part is tracked.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn has_bar(&self, part: u64) -> bool {
        self.0.get(&part).is_some_and(|it| it.bar.is_some())
    }

    fn crashes(&self, part: u64) -> usize {
        self.0.get(&part).map_or(0, |it| it.runs.len())
    }

    fn count(&mut self, now: Timestamp, crash: &Crash, part: u64) {
        self.make_room(now, part);
        let record = self.0.entry(part).or_insert_with(|| PartRecord::new(now));
        if record.counts(crash) {
            record.runs.push(crash.run);
            record.last_crash_at = crash.at;
            record.expires_at = now.after(CRASH_RETENTION);
        }
    }

    /// The part of a prompt that explains the most crashes, if they are enough for a bar. Of
    /// several, the last one, since fewer requests share it.
    fn likely_cause(&self, suspect: &[u64]) -> Option<u64> {
        let cause = suspect.iter().copied().max_by_key(|it| self.crashes(*it))?;
        (self.crashes(cause) >= CRASHES_MAX).then_some(cause)
    }

    /// Bars a part, or bars it again for longer. The crashes that it explains no longer count for
    /// others.
    fn bar(&mut self, now: Timestamp, part: u64, announce_at: Timestamp) -> Option<BarredPart> {
        let record = self.0.get_mut(&part)?;
        let renewals = match record.bar {
            Some(bar) if !bar.until.is_due(now) => return None,
            Some(bar) => (bar.renewals + 1).min(BAR_DOUBLINGS_MAX),
            None => 0,
        };
        let until = now.after(bar_duration(renewals));
        let crashes = u32::try_from(record.runs.len().max(1)).unwrap_or(u32::MAX);
        let bar = Bar { until, renewals, crashes, announce_at };
        record.bar = Some(bar);
        record.expires_at = until.after(CRASH_RETENTION);
        let explained = record.runs.clone();
        for (_, other) in self.0.iter_mut().filter(|(it, _)| **it != part) {
            other.runs.retain(|it| !explained.contains(it));
        }
        Some(bar.announcement(now, part))
    }

    fn make_room(&mut self, now: Timestamp, part: u64) {
        if self.0.len() < PARTS_MAX || self.0.contains_key(&part) {
            return;
        }
        self.0.retain(|_, it| !it.expires_at.is_due(now));
        if self.0.len() < PARTS_MAX {
            return;
        }
        let least =
            self.0.iter().min_by_key(|(_, it)| (it.bar.is_some(), it.runs.len(), it.expires_at));
        if let Some(least) = least.map(|(&it, _)| it) {
            self.0.remove(&least);
        }
    }
}

impl PartRecord {
    fn new(now: Timestamp) -> PartRecord {
        PartRecord {
            runs: Vec::new(),
            last_crash_at: now,
            served_at: None,
            completed_here_at: None,
            bar: None,
            expires_at: now.after(CRASH_RETENTION),
        }
    }

    /// Whether an attempt with the part has just completed here, and no crash was counted since.
    fn contradicts_bar(&self, now: Timestamp) -> bool {
        let contradicts_until = self.completed_here_at.map(|it| it.after(PROOF_RETENTION));
        self.runs.is_empty() && contradicts_until.is_some_and(|it| !it.is_due(now))
    }

    /// Whether the crash is one more than those counted, and later than any proof that the part
    /// is not the cause.
    fn counts(&self, crash: &Crash) -> bool {
        let is_disproved = self.served_at.is_some_and(|it| crash.at <= it);
        let is_new = !self.runs.contains(&crash.run) && self.runs.len() < RUNS_PER_PART_MAX;
        !is_disproved && is_new && (self.runs.is_empty() || !self.is_simultaneous(crash))
    }

    fn is_simultaneous(&self, crash: &Crash) -> bool {
        let earlier = self.last_crash_at.min(crash.at);
        let later = self.last_crash_at.max(crash.at);
        !earlier.after(SIMULTANEOUS).is_due(later)
    }
}

impl Bar {
    fn announcement(&self, now: Timestamp, part: u64) -> BarredPart {
        let Bar { until, renewals, crashes, .. } = *self;
        let for_ms = u32::try_from(until.remaining(now).0).unwrap_or(u32::MAX);
        BarredPart { part, for_ms, renewals, crashes }
    }
}

fn bar_duration(renewals: u32) -> Millis {
    Millis(BAR_INITIAL.0 << renewals)
}
