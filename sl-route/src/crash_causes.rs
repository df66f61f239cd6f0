//! Tracking of what crashes servers: one request that is sent repeatedly, or a prompt part that
//! several different requests share.
//!
//! Each crash counts for the requests that it may have been caused by, and for the shared parts of
//! the most suspect ones. A cause is cleared by any attempt that a server survived, so that only
//! the real one keeps its crashes. See docs/design.md, "At most once, retries, crashes".

mod kept;

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use sl_base::{Millis, Timestamp};

use crate::{
    ServerKey,
    crash_detector::{Crash, LostRequest, Suspect},
    note::Bar,
};

/// What may crash the servers that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// All requests with a prompt part, by the part's key, which includes the model.
    Part(u64),
    /// One request, by its fingerprint.
    Request(u64),
}

/// Crashes and bars by their cause.
#[derive(Clone, Debug, Default)]
pub struct CrashCauses(HashMap<Cause, CauseRecord>);

/// What a survived attempt proves about its request and the parts of its prompt.
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
    /// The cause is barred here from now on.
    Applied,
    /// The cause was barred here already.
    Known,
    /// An attempt with the cause has just completed here, so the peer missed a note.
    Contradicted,
}

#[derive(Clone, Debug)]
struct CauseRecord {
    /// The runs that crashed, each at another time.
    runs: Vec<ServerKey>,
    /// The number of these crashes in which its attempt was in the most suspect phase.
    suspected: usize,
    /// The fingerprints of the requests under which they crashed, at most [`REQUESTS_MIN`].
    requests: Vec<u64>,
    /// When the first and the last of these runs crashed.
    first_crash_at: Timestamp,
    last_crash_at: Timestamp,
    /// When an attempt last proved that this is not the cause.
    served_at: Option<Timestamp>,
    /// When an attempt last completed at this instance.
    completed_here_at: Option<Timestamp>,
    bar: Option<ActiveBar>,
    expires_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct ActiveBar {
    until: Timestamp,
    renewals: u32,
    crashes: u32,
    announce_at: Timestamp,
    /// When this instance may send the barred request once; [`Timestamp::NEVER`] once an instance did.
    probe_at: Timestamp,
}

/// Crashes after which a cause is barred.
pub const CRASHES_MAX: usize = 3;

/// Crashes after which a cause is barred although others explain the same crashes nearly as well.
/// With fewer, none of them is, since all but one are sound and may complete meanwhile.
pub const CRASHES_TIED_MAX: usize = 5;

/// A part is no cause unless this many different requests with it crashed servers: otherwise the
/// one request explains the crashes, and others with the part are sound.
const REQUESTS_MIN: usize = 2;

/// Runs that crash within this time count once: a rack that fails takes several servers at the
/// same moment, all of which run the parts and requests that are in use.
pub const SIMULTANEOUS: Millis = Millis(200);

/// The first duration of a bar; doubled with each renewal.
pub const BAR_INITIAL: Millis = Millis(600_000);

/// How long after the bar a request is sent once more, to find out whether it crashes servers. Its
/// earlier attempts have usually ended by then.
pub const PROBE_DELAY: Millis = Millis(5_000);

/// Limit on the doublings of the duration.
pub const BAR_DOUBLINGS_MAX: u32 = 5;

/// A cause without a crash for this long is forgotten, and so is a bar after its end.
const CRASH_RETENTION: Millis = Millis(600_000);

/// How long a proof contradicts the announcements of peers.
const PROOF_RETENTION: Millis = Millis(3_000);

/// Bound on the number of causes tracked; the one with the fewest crashes gives way.
pub const CAUSES_MAX: usize = 4_096;

/// Bound on the crashes counted of one cause.
const RUNS_PER_CAUSE_MAX: usize = 16;

impl CrashCauses {
    /// Counts a crash for all causes that it may have had. Returns those that are barred by it,
    /// which are to be announced again at `announce_at`.
    ///
    /// A crash under a cause that is or was barred is explained by that cause, and counts for no
    /// other.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        crash: &Crash,
        announce_at: Timestamp,
    ) -> Vec<Bar> {
        if self.is_barred(now, crash.causes()) {
            self.record_failed_probes(now, crash);
            return Vec::new();
        }
        let ended: BTreeSet<Cause> = crash.likely().filter(|it| self.has_bar(*it)).collect();
        if ended.is_empty() {
            self.count_crash(now, crash);
        }
        let causes = if ended.is_empty() { self.likely_causes(crash) } else { ended };
        causes.into_iter().filter_map(|it| self.bar(now, it, crash, announce_at)).collect()
    }

    /// The number of crashes that were counted for a request.
    pub fn crashes_under(&self, fingerprint: u64) -> u32 {
        self.crashes(Cause::Request(fingerprint)) as u32
    }

    /// Whether one of the causes is barred.
    pub fn is_barred(&self, now: Timestamp, causes: impl IntoIterator<Item = Cause>) -> bool {
        let is_barred = |record: &CauseRecord| record.bar.is_some_and(|it| !it.until.is_due(now));
        !self.0.is_empty() && causes.into_iter().any(|it| self.0.get(&it).is_some_and(is_barred))
    }

    /// Takes the one attempt that a barred request may make; false if it was made, or is not due.
    pub fn try_probe(&mut self, now: Timestamp, fingerprint: u64) -> bool {
        let record = self.0.get_mut(&Cause::Request(fingerprint));
        let bar = record.and_then(|it| it.bar.as_mut()).filter(|it| it.probe_at.is_due(now));
        bar.map(|it| it.probe_at = Timestamp::NEVER).is_some()
    }

    /// Records that the one attempt was made that a barred request may make, by whichever instance: a
    /// server has crashed under it, later than under those that were sent before the bar.
    fn record_failed_probes(&mut self, now: Timestamp, crash: &Crash) {
        for cause in crash.likely() {
            let bar = self.0.get_mut(&cause).and_then(|it| it.bar.as_mut());
            if let Some(bar) = bar.filter(|it| it.probe_at.is_due(now)) {
                bar.probe_at = Timestamp::NEVER;
            }
        }
    }

    /// Clears a cause with which a server survived an attempt. Returns whether there was
    /// something to clear.
    pub fn record_served(
        &mut self,
        now: Timestamp,
        cause: Cause,
        proof: Proof,
        is_own: bool,
    ) -> bool {
        let Some(record) = self.0.get_mut(&cause) else {
            return false;
        };
        let is_complete = proof == Proof::Completed;
        if record.bar.is_some() && !is_complete {
            return false;
        }
        let is_cleared = record.bar.take().is_some() || !record.runs.is_empty();
        record.runs.clear();
        record.suspected = 0;
        record.requests.clear();
        record.served_at = Some(now);
        if is_complete && is_own {
            record.completed_here_at = Some(now);
        }
        if is_cleared {
            record.expires_at = now.after(PROOF_RETENTION);
        }
        is_cleared
    }

    /// Applies the announcement of a peer; this instance announces the cause at `announce_at`
    /// next.
    pub fn apply(&mut self, now: Timestamp, announcement: Bar, announce_at: Timestamp) -> Reaction {
        let Bar { cause, for_ms, renewals, crashes } = announcement;
        if self.0.get(&cause).is_some_and(|it| it.contradicts_bar(now)) {
            return Reaction::Contradicted;
        }
        let was_barred = self.is_barred(now, [cause]);
        let renewals = renewals.min(BAR_DOUBLINGS_MAX);
        let until = now.after(Millis(for_ms.into()).min(bar_duration(renewals)));
        let record = self.record_mut(now, cause);
        let probe_at = now.after(PROBE_DELAY);
        let new = ActiveBar { until, renewals, crashes, announce_at, probe_at };
        let known = record.bar.unwrap_or(new);
        let until = until.max(known.until);
        record.bar = Some(ActiveBar { until, announce_at, ..known });
        record.expires_at = until.after(CRASH_RETENTION);
        if was_barred { Reaction::Known } else { Reaction::Applied }
    }

    /// Takes the announcements that are due, and forgets what has expired. `next_at` returns the
    /// time of the next announcement of a cause.
    pub fn take_announcements(
        &mut self,
        now: Timestamp,
        mut next_at: impl FnMut() -> Timestamp,
    ) -> Vec<Bar> {
        self.0.retain(|_, it| !it.expires_at.is_due(now));
        let mut due = Vec::new();
        for (&cause, record) in &mut self.0 {
            let Some(bar) = &mut record.bar else {
                continue;
            };
            if bar.announce_at.is_due(now) && !bar.until.is_due(now) {
                bar.announce_at = next_at();
                due.push(bar.announcement(now, cause));
            }
        }
        due
    }

    /// The active bars.
    pub fn bars(&self, now: Timestamp) -> Vec<Bar> {
        let bars = self.0.iter().filter_map(|(&cause, it)| Some((cause, it.bar?)));
        let active = bars.filter(|(_, it)| !it.until.is_due(now));
        active.map(|(cause, it)| it.announcement(now, cause)).collect()
    }

    /// The number of causes tracked.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no cause is tracked.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn has_bar(&self, cause: Cause) -> bool {
        self.0.get(&cause).is_some_and(|it| it.bar.is_some())
    }

    /// The crashes that a cause explains; 0 for a part that only one request has.
    fn crashes(&self, cause: Cause) -> usize {
        let record = self.0.get(&cause);
        let record = record.filter(|it| match cause {
            Cause::Part(_) => it.requests.len() >= REQUESTS_MIN,
            Cause::Request(_) => true,
        });
        record.map_or(0, |it| it.runs.len())
    }

    /// The record of a cause, which is added if there is none.
    fn record_mut(&mut self, now: Timestamp, cause: Cause) -> &mut CauseRecord {
        self.make_room(now, cause);
        self.0.entry(cause).or_insert_with(|| CauseRecord::new(now))
    }

    fn count_crash(&mut self, now: Timestamp, crash: &Crash) {
        for suspect in &crash.suspects {
            for &part in &suspect.parts {
                let lost = LostRequest { fingerprint: suspect.fingerprint, crashes_before: 0 };
                self.record_mut(now, Cause::Part(part)).count(now, crash, lost);
            }
        }
        for &lost in &crash.requests {
            self.record_mut(now, Cause::Request(lost.fingerprint)).count(now, crash, lost);
        }
    }

    /// The causes that explain the most crashes, if these are enough for a bar.
    fn likely_causes(&self, crash: &Crash) -> BTreeSet<Cause> {
        let most = crash.causes().map(|it| self.crashes(it)).max().unwrap_or(0);
        if most < CRASHES_MAX {
            return BTreeSet::new();
        }
        let of_suspects = crash.suspects.iter().map(|it| self.likely_cause(it));
        let others = crash.requests.iter().filter(|it| !crash.suspects_request(it.fingerprint));
        let others = others.map(|it| Cause::Request(it.fingerprint));
        let causes = of_suspects.chain(others).filter(|it| self.crashes(*it) == most);
        let causes: BTreeSet<Cause> = causes.collect();
        if most >= CRASHES_TIED_MAX {
            return self.most_suspected(causes);
        }
        let is_clear = causes.len() == 1 && causes.iter().all(|it| !self.has_rival(*it));
        if is_clear { causes } else { BTreeSet::new() }
    }

    /// Those of the causes whose attempts were most often in the most suspect phase.
    fn most_suspected(&self, mut causes: BTreeSet<Cause>) -> BTreeSet<Cause> {
        let suspected = |it: &Cause| self.0.get(it).map_or(0, |it| it.suspected);
        let most = causes.iter().map(suspected).max();
        causes.retain(|it| Some(suspected(it)) == most);
        causes
    }

    /// Whether another request explains the crashes of a request nearly as well: it was lost in all
    /// of them but one, of which a note may have been missed, or was more suspect in some.
    fn has_rival(&self, cause: Cause) -> bool {
        let (Cause::Request(_), Some(record)) = (cause, self.0.get(&cause)) else {
            return false;
        };
        let explains_as_much = |other: &CauseRecord| {
            let shared = other.runs.iter().filter(|it| record.runs.contains(it)).count();
            shared + 1 >= record.runs.len() || shared > 0 && other.suspected > record.suspected
        };
        let mut others = self.0.iter().filter(|(it, _)| **it != cause);
        others.any(|(it, other)| matches!(it, Cause::Request(_)) && explains_as_much(other))
    }

    /// What explains the most crashes of a suspect: a part of its prompt, or the request itself. Of
    /// several, the last one, since fewer requests share it.
    fn likely_cause(&self, suspect: &Suspect) -> Cause {
        let request = Cause::Request(suspect.fingerprint);
        let parts = suspect.parts.iter().map(|it| Cause::Part(*it));
        let causes = parts.chain([request]);
        causes.max_by_key(|it| self.crashes(*it)).unwrap_or(request)
    }

    /// Bars a cause, or bars it again for longer. The crashes that it explains no longer count for
    /// others.
    fn bar(
        &mut self,
        now: Timestamp,
        cause: Cause,
        crash: &Crash,
        announce_at: Timestamp,
    ) -> Option<Bar> {
        let record = self.0.get_mut(&cause)?;
        let renewals = match record.bar {
            Some(bar) if !bar.until.is_due(now) => return None,
            Some(bar) => (bar.renewals + 1).min(BAR_DOUBLINGS_MAX),
            None => 0,
        };
        let until = now.after(bar_duration(renewals));
        let crashes = u32::try_from(record.runs.len().max(1)).unwrap_or(u32::MAX);
        let probe_at = now.after(PROBE_DELAY);
        let bar = ActiveBar { until, renewals, crashes, announce_at, probe_at };
        record.bar = Some(bar);
        record.expires_at = until.after(CRASH_RETENTION);
        let explained = record.runs.clone();
        let kept = crash.parts_of(cause);
        self.forget_explained(cause, &explained, &kept);
        Some(bar.announcement(now, cause))
    }

    /// Forgets the crashes that a barred cause explains, but for those of `kept`, under all others.
    fn forget_explained(&mut self, cause: Cause, explained: &[ServerKey], kept: &BTreeSet<Cause>) {
        for (_, other) in self.0.iter_mut().filter(|(it, _)| **it != cause && !kept.contains(it)) {
            other.runs.retain(|it| !explained.contains(it));
        }
    }

    fn make_room(&mut self, now: Timestamp, cause: Cause) {
        if self.0.len() < CAUSES_MAX || self.0.contains_key(&cause) {
            return;
        }
        self.0.retain(|_, it| !it.expires_at.is_due(now));
        if self.0.len() < CAUSES_MAX {
            return;
        }
        let least =
            self.0.iter().min_by_key(|(_, it)| (it.bar.is_some(), it.runs.len(), it.expires_at));
        if let Some(least) = least.map(|(&it, _)| it) {
            self.0.remove(&least);
        }
    }
}

impl CauseRecord {
    fn new(now: Timestamp) -> CauseRecord {
        CauseRecord {
            runs: Vec::new(),
            suspected: 0,
            requests: Vec::new(),
            first_crash_at: now,
            last_crash_at: now,
            served_at: None,
            completed_here_at: None,
            bar: None,
            expires_at: now.after(CRASH_RETENTION),
        }
    }

    /// Counts a crash under a request.
    fn count(&mut self, now: Timestamp, crash: &Crash, lost: LostRequest) {
        if !self.counts(crash, lost) {
            return;
        }
        if self.runs.is_empty() {
            self.first_crash_at = crash.at;
        }
        self.runs.push(crash.run);
        self.suspected += usize::from(crash.suspects_request(lost.fingerprint));
        self.last_crash_at = crash.at;
        self.expires_at = now.after(CRASH_RETENTION);
        if self.requests.len() < REQUESTS_MIN && !self.requests.contains(&lost.fingerprint) {
            self.requests.push(lost.fingerprint);
        }
    }

    /// Whether an attempt has just completed here, and no crash was counted since.
    fn contradicts_bar(&self, now: Timestamp) -> bool {
        let contradicts_until = self.completed_here_at.map(|it| it.after(PROOF_RETENTION));
        self.runs.is_empty() && contradicts_until.is_some_and(|it| !it.is_due(now))
    }

    /// Whether the crash is one more than those counted, and later than any proof that this is not
    /// the cause.
    fn counts(&self, crash: &Crash, lost: LostRequest) -> bool {
        let is_disproved = self.served_at.is_some_and(|it| crash.at <= it);
        let is_new = !self.runs.contains(&crash.run) && self.runs.len() < RUNS_PER_CAUSE_MAX;
        let is_after_others = self.runs.len() <= lost.crashes_before as usize;
        let is_separate = is_after_others || !self.is_simultaneous(crash);
        !is_disproved && is_new && is_separate
    }

    fn is_simultaneous(&self, crash: &Crash) -> bool {
        let earlier = self.last_crash_at.min(crash.at);
        let later = self.last_crash_at.max(crash.at);
        !earlier.after(SIMULTANEOUS).is_due(later)
    }
}

impl ActiveBar {
    fn announcement(&self, now: Timestamp, cause: Cause) -> Bar {
        let ActiveBar { until, renewals, crashes, .. } = *self;
        let for_ms = u32::try_from(until.remaining(now).0).unwrap_or(u32::MAX);
        Bar { cause, for_ms, renewals, crashes }
    }
}

fn bar_duration(renewals: u32) -> Millis {
    Millis(BAR_INITIAL.0 << renewals)
}
