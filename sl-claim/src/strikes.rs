//! Strikes against requests that break the servers which run them.
//!
//! A strike is counted when a connection dies under a request that may have been sent.
//! Every life of an instance has two counters for a fingerprint that only grow, strikes
//! given and strikes cleared, and tells them to the others; the greater wins, so that
//! reports may be lost, repeated or late. A request of the same fingerprint that completes clears all
//! strikes that its instance knows of. Whoever shared a server with the request that broke
//! it is struck too, and is let through again after a short time; who strikes again
//! then is barred for twice as long each time. docs/design.md weighs the ways.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sl_base::{
    Incarnation, InstanceId, Millis, ServerId, TeamId, Timestamp,
    hash::{Fingerprint, weight},
};

/// Settings of [`Strikes`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The strikes at which a request is barred.
    pub limit: u32,
    /// How long it is barred for at the limit; each further strike doubles it.
    pub bar_for: Millis,
    /// The longest time that it is barred for.
    pub bar_max: Millis,
    /// By how much the end differs between instances at most, so that they do not all let
    /// the request through at once.
    pub bar_spread: Millis,
    /// How long one request that is let through again holds the others back.
    pub trial_for: Millis,
    /// Deaths of equal requests on one server within this time count as one: they are
    /// one crash.
    pub together: Millis,
    /// How long a fingerprint without new strikes is remembered.
    pub forget_after: Millis,
    /// The most fingerprints that are kept for one team.
    pub max_per_team: usize,
    /// The most fingerprints that are kept.
    pub max_entries: usize,
    /// How often a report that changed is sent again at once.
    pub repeats: u32,
    /// The most reports in one message.
    pub max_reports: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            limit: 2,
            bar_for: Millis(30_000),
            bar_max: Millis(10 * 60_000),
            bar_spread: Millis(15_000),
            trial_for: Millis(10_000),
            together: Millis(1_000),
            forget_after: Millis(60 * 60_000),
            max_per_team: 16,
            max_entries: 4_096,
            repeats: 3,
            max_reports: 16,
        }
    }
}

/// One instance's counters for one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whose request it is.
    pub team: TeamId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whose counters these are.
    pub by: Origin,
    /// The counters.
    pub counters: Counters,
}

/// One life of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Counters that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Strikes given.
    pub given: u32,
    /// How many of these were cleared by a request that completed.
    pub cleared: u32,
    /// When the last strike was given, by the wall clock of who gave it; it decides only
    /// when the strikes are forgotten.
    pub given_at: Timestamp,
}

/// Whether a request may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted,
    /// It is answered with `crashes-servers` at once, not run.
    Barred {
        /// When a request like it is let through again.
        until: Timestamp,
    },
}

/// The strikes that an instance knows of.
#[derive(Debug)]
pub struct Strikes {
    options: Options,
    me: Origin,
    entries: BTreeMap<Id, Entry>,
    /// Reports that changed, and how often they are still to be sent at once.
    fresh: BTreeMap<(Id, Origin), u32>,
    /// Where the round of reports that did not change goes on.
    round: Option<(Id, Origin)>,
}

type Id = (TeamId, Fingerprint);

#[derive(Clone, Debug, Default)]
struct Entry {
    counters: BTreeMap<Origin, Counters>,
    barred_until: Timestamp,
    /// While a request that was let through again is on trial.
    trial_until: Timestamp,
    forget_at: Timestamp,
    /// Servers that broke lately, and until when further deaths there count as the same.
    servers: BTreeMap<ServerId, Timestamp>,
}

impl Strikes {
    /// The strikes of an instance that just started.
    pub fn new(options: Options, me: InstanceId, incarnation: Incarnation) -> Strikes {
        Strikes {
            options,
            me: Origin { instance: me, incarnation },
            entries: BTreeMap::new(),
            fresh: BTreeMap::new(),
            round: None,
        }
    }

    /// Whether a request of `team` may be dispatched. Once a bar has ended, one request is
    /// let through on trial, and the others wait for what comes of it.
    pub fn admit(&mut self, now: Timestamp, team: TeamId, fingerprint: Fingerprint) -> Admission {
        let Some(entry) = self.entries.get_mut(&(team, fingerprint)) else {
            return Admission::Admitted;
        };
        if entry.strikes() < self.options.limit {
            return Admission::Admitted;
        }
        let until = entry.barred_until.max(entry.trial_until);
        if !until.is_due(now) {
            return Admission::Barred { until };
        }
        entry.trial_until = now.after(self.options.trial_for);
        Admission::Admitted
    }

    /// Whether a request that already waits is barred by now; it starts no trial.
    pub fn is_barred(&self, now: Timestamp, team: TeamId, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&(team, fingerprint));
        entry.is_some_and(|entry| {
            entry.strikes() >= self.options.limit && !entry.barred_until.is_due(now)
        })
    }

    /// Counts a connection to `server` that died under a request that may have been sent.
    pub fn strike(
        &mut self,
        now: Timestamp,
        team: TeamId,
        fingerprint: Fingerprint,
        server: ServerId,
    ) {
        let id = (team, fingerprint);
        self.make_room(now, id);
        let together_until = now.after(self.options.together);
        let entry = self.entries.entry(id).or_default();
        entry.servers.retain(|_, until| !until.is_due(now));
        if entry.servers.insert(server, together_until).is_some() {
            return;
        }
        let counters = entry.counters.entry(self.me).or_default();
        counters.given = counters.given.saturating_add(1);
        counters.given_at = now;
        entry.forget_at = now.after(self.options.forget_after);
        self.struck(now, id);
        self.fresh.insert((id, self.me), self.options.repeats);
    }

    /// Clears the strikes of a request that completed: it does not break servers.
    pub fn complete(&mut self, team: TeamId, fingerprint: Fingerprint) {
        let id = (team, fingerprint);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        for (&by, counters) in &mut entry.counters {
            if counters.cleared < counters.given {
                counters.cleared = counters.given;
                self.fresh.insert((id, by), self.options.repeats);
            }
        }
        entry.barred_until = Timestamp::default();
        entry.trial_until = Timestamp::default();
    }

    /// The reports for the next message to every peer: those that changed first, then a
    /// round through the rest, so that a report that was lost is made good.
    pub fn reports(&mut self, now: Timestamp) -> Vec<Report> {
        self.forget(now);
        let mut picked: Vec<(Id, Origin)> =
            self.fresh.keys().take(self.options.max_reports).copied().collect();
        for which in &picked {
            self.count_down(*which);
        }
        if picked.is_empty() {
            picked.extend(self.next_in_round());
        }
        picked.into_iter().filter_map(|which| self.report(which)).collect()
    }

    /// Takes a peer's report in, about itself or another instance.
    pub fn on_report(&mut self, now: Timestamp, report: &Report) {
        let id = (report.team, report.fingerprint);
        let given_at = report.counters.given_at.min(now);
        let forget_at = given_at.after(self.options.forget_after);
        if forget_at.is_due(now) {
            return;
        }
        self.make_room(now, id);
        let entry = self.entries.entry(id).or_default();
        entry.forget_at = entry.forget_at.max(forget_at);
        let is_full = entry.counters.len() >= MAX_ORIGINS;
        if is_full && !entry.counters.contains_key(&report.by) {
            return;
        }
        let before = entry.strikes();
        let known = entry.counters.entry(report.by).or_default();
        let merged = known.merge(&report.counters);
        if merged == *known {
            return;
        }
        *known = merged;
        let after = entry.strikes();
        if after < self.options.limit {
            entry.barred_until = Timestamp::default();
        }
        if after > before {
            self.struck(now, id);
        }
        let which = (id, report.by);
        self.fresh.insert(which, self.options.repeats);
    }

    /// How many fingerprints are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many strikes stand against a request.
    pub fn strikes(&self, team: TeamId, fingerprint: Fingerprint) -> u32 {
        let entry = self.entries.get(&(team, fingerprint));
        entry.map_or(0, Entry::strikes)
    }

    /// A strike was added: the bar begins anew if there are enough.
    fn struck(&mut self, now: Timestamp, id: Id) {
        let spread = self.spread(id);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.trial_until = Timestamp::default();
        let Some(beyond) = entry.strikes().checked_sub(self.options.limit) else {
            return;
        };
        let factor = 1_u64 << beyond.min(MAX_DOUBLINGS);
        let span = self.options.bar_for.0.saturating_mul(factor);
        let span = Millis(span.min(self.options.bar_max.0));
        entry.barred_until = now.after(span).after(spread);
    }

    fn spread(&self, (_, fingerprint): Id) -> Millis {
        let [a, b, c, d, e, f, g, h, ..] = fingerprint.0;
        let key = u64::from_le_bytes([a, b, c, d, e, f, g, h]);
        Millis(weight(key, self.me.instance.into()) % self.options.bar_spread.0.max(1))
    }

    /// Makes room for `id` at the cost of the team that has most, so that a flood by one
    /// team drops none of another's.
    fn make_room(&mut self, now: Timestamp, id: Id) {
        if self.entries.contains_key(&id) {
            return;
        }
        self.forget(now);
        if self.of_team(id.0).count() >= self.options.max_per_team {
            self.evict_oldest(id.0);
        }
        if self.entries.len() >= self.options.max_entries {
            self.evict_oldest(self.largest_team());
        }
    }

    fn of_team(&self, team: TeamId) -> impl Iterator<Item = (&Id, &Entry)> {
        let ends = (team, Fingerprint([u8::MAX; 16]));
        self.entries.range((team, Fingerprint([0; 16]))..=ends)
    }

    fn largest_team(&self) -> TeamId {
        let mut sizes = BTreeMap::<TeamId, usize>::new();
        for (team, _) in self.entries.keys() {
            *sizes.entry(*team).or_default() += 1;
        }
        let largest = sizes.into_iter().max_by_key(|&(team, size)| (size, team));
        largest.map_or(TeamId::default(), |(team, _)| team)
    }

    fn evict_oldest(&mut self, team: TeamId) {
        let oldest = self.of_team(team).min_by_key(|(_, entry)| entry.forget_at);
        if let Some((&id, _)) = oldest {
            self.remove(id);
        }
    }

    fn forget(&mut self, now: Timestamp) {
        let due: Vec<Id> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.forget_at.is_due(now))
            .map(|(&id, _)| id)
            .collect();
        for id in due {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: Id) {
        self.entries.remove(&id);
        self.fresh.retain(|(fresh, _), _| *fresh != id);
    }

    fn count_down(&mut self, which: (Id, Origin)) {
        if let Some(times) = self.fresh.get_mut(&which) {
            *times = times.saturating_sub(1);
            if *times == 0 {
                self.fresh.remove(&which);
            }
        }
    }

    fn next_in_round(&mut self) -> Option<(Id, Origin)> {
        let all: BTreeSet<(Id, Origin)> = self
            .entries
            .iter()
            .flat_map(|(&id, entry)| entry.counters.keys().map(move |&by| (id, by)))
            .collect();
        let next = match self.round {
            Some(last) => all.range(last..).find(|&&which| which > last),
            None => None,
        };
        self.round = next.or_else(|| all.first()).copied();
        self.round
    }

    fn report(&self, (id, by): (Id, Origin)) -> Option<Report> {
        let counters = *self.entries.get(&id)?.counters.get(&by)?;
        Some(Report { team: id.0, fingerprint: id.1, by, counters })
    }
}

impl Entry {
    fn strikes(&self) -> u32 {
        let open = self.counters.values().map(|c| c.given - c.cleared);
        open.fold(0, u32::saturating_add)
    }
}

impl Counters {
    fn merge(&self, other: &Counters) -> Counters {
        let given = self.given.max(other.given);
        Counters {
            given,
            cleared: self.cleared.max(other.cleared).min(given),
            given_at: self.given_at.max(other.given_at),
        }
    }
}

/// The most lives whose counters are kept for one fingerprint; many more than bar it.
const MAX_ORIGINS: usize = 64;

/// Bounds the exponent of a bar's length.
const MAX_DOUBLINGS: u32 = 16;
