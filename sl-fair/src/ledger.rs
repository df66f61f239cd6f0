//! The rows of other lives: what each said it gave, under its own versions.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{Incarnation, InstanceId, Millis, PoolId, TeamId, Timestamp};

use crate::{
    Service,
    report::{Lift, Relayed, RelayedEntry, Snapshot},
};

/// Lives remembered after their rows were folded into the base.
pub(crate) const FOLDED_MAX: usize = 1_024;

/// One life of one instance.
pub(crate) type Life = (InstanceId, Incarnation);

/// How much a team's service in a pool rose or fell through a merge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub pool: PoolId,
    pub team: TeamId,
    pub before: Service,
    pub after: Service,
}

/// All rows but this life's own.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    rows: BTreeMap<Life, Row>,
    base: BTreeMap<(PoolId, TeamId), Service>,
    folded: BTreeSet<Life>,
}

#[derive(Debug, Default)]
struct Row {
    entries: BTreeMap<(PoolId, TeamId), Cell>,
    /// When the life was seen to be over.
    ended: Option<Timestamp>,
    /// Whether the row was folded before, so that first values are already in the base.
    resumed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    version: u64,
    given: Service,
    skip: Service,
    /// When the value was taken.
    taken_at: Timestamp,
    /// This life's version from which the value is to be passed on, zero for not at all.
    relay: u64,
}

impl Ledger {
    /// Takes one value of `life`. An older version than the known one is none; the known
    /// one again is a change from a value to itself.
    pub fn merge(
        &mut self,
        now: Timestamp,
        life: Life,
        key: (PoolId, TeamId),
        (version, given): (u64, Service),
    ) -> Option<Change> {
        let resumed = self.folded.contains(&life);
        let row = self.rows.entry(life).or_insert(Row { resumed, ..Row::default() });
        let fresh = !row.entries.contains_key(&key);
        let cell = row.entries.entry(key).or_default();
        if !fresh && version < cell.version {
            return None;
        }
        if fresh && row.resumed {
            cell.skip = given;
        }
        let before = cell.given.minus(cell.skip);
        cell.version = version;
        cell.given = given;
        cell.taken_at = now;
        Some(Change { pool: key.0, team: key.1, before, after: cell.given.minus(cell.skip) })
    }

    /// Whether a life of `instance` after `life` is known.
    pub fn is_superseded(&self, (instance, life): Life) -> bool {
        self.rows
            .range((instance, life)..=(instance, Incarnation(u64::MAX)))
            .any(|(&(_, other), _)| other > life)
    }

    /// Opens the row of `life` and ends the earlier ones of the same instance; tells
    /// whether the life is new.
    pub fn open(&mut self, now: Timestamp, (instance, life): Life) -> bool {
        let new = !self.rows.contains_key(&(instance, life));
        let resumed = self.folded.contains(&(instance, life));
        let row = self.rows.entry((instance, life)).or_insert(Row { resumed, ..Row::default() });
        row.ended = None;
        if new {
            let earlier = self.rows.range_mut((instance, Incarnation(0))..(instance, life));
            for (_, row) in earlier {
                row.ended.get_or_insert(now);
            }
        }
        new
    }

    /// Ends the rows of `instance`, and lets values taken after `since` be passed on:
    /// its last words may have reached only some of its peers.
    pub fn end(&mut self, now: Timestamp, instance: InstanceId, since: Timestamp, version: u64) {
        for (_, row) in self.rows_of(instance) {
            row.ended.get_or_insert(now);
            for cell in row.entries.values_mut() {
                if cell.taken_at >= since {
                    cell.relay = version;
                }
            }
        }
    }

    /// The values to be passed on to a peer that confirmed `acked`; everything for one
    /// that confirmed nothing.
    pub fn relayed(&self, to: InstanceId, acked: u64) -> Vec<Relayed> {
        let mut relayed = Vec::new();
        for (&(of, life), row) in &self.rows {
            if row.ended.is_none() || row.resumed || (of == to && !self.is_superseded((of, life))) {
                continue;
            }
            let entries: Vec<RelayedEntry> = row
                .entries
                .iter()
                .filter(|(_, cell)| acked == 0 || cell.relay > acked)
                .map(|(&(pool, team), cell)| RelayedEntry {
                    pool,
                    team,
                    version: cell.version,
                    given: cell.given,
                })
                .collect();
            if !entries.is_empty() {
                relayed.push(Relayed { of, life, entries });
            }
        }
        relayed
    }

    /// Folds rows of lives that ended `keep` ago into the base, so that memory stays bounded;
    /// tells whether there were any.
    pub fn fold(&mut self, now: Timestamp, keep: Millis) -> bool {
        let old: Vec<Life> = self
            .rows
            .iter()
            .filter(|(_, row)| row.ended.is_some_and(|at| at.after(keep).is_due(now)))
            .map(|(&life, _)| life)
            .collect();
        let any = !old.is_empty();
        for life in old {
            let Some(row) = self.rows.remove(&life) else {
                continue;
            };
            for (key, cell) in row.entries {
                let base = self.base.entry(key).or_default();
                *base = base.plus(cell.given.minus(cell.skip));
            }
            self.folded.insert(life);
        }
        while self.folded.len() > FOLDED_MAX {
            self.folded.pop_first();
        }
        any
    }

    /// When [`Self::fold`] has something to do.
    pub fn due(&self, keep: Millis) -> Timestamp {
        self.rows
            .values()
            .filter_map(|row| row.ended)
            .min()
            .map_or(Timestamp::NEVER, |at| at.after(keep))
    }

    /// The base and the lives in it.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            base: self
                .base
                .iter()
                .map(|(&(pool, team), &lift)| Lift { pool, team, lift })
                .collect(),
            folded: self.folded.iter().copied().collect(),
        }
    }

    /// Takes a peer's base; rows that it holds are no longer counted on their own.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Vec<Change> {
        let mut changes = Vec::new();
        self.folded = snapshot.folded.iter().copied().collect();
        for life in &self.folded {
            let Some(row) = self.rows.remove(life) else {
                continue;
            };
            for ((pool, team), cell) in row.entries {
                changes.push(Change {
                    pool,
                    team,
                    before: cell.given.minus(cell.skip),
                    after: Service::ZERO,
                });
            }
        }
        for &Lift { pool, team, lift } in &snapshot.base {
            let before = self.base.insert((pool, team), lift).unwrap_or_default();
            changes.push(Change { pool, team, before, after: lift });
        }
        changes
    }

    /// Whether the row of `life` is part of the base.
    pub fn is_folded(&self, life: Life) -> bool {
        self.folded.contains(&life)
    }

    /// Ends a life that is only known by what others passed on, unless a later report
    /// of a live peer opens it again.
    pub fn close(&mut self, now: Timestamp, life: Life, live: &BTreeSet<InstanceId>) {
        let superseded = self.is_superseded(life);
        if let Some(row) = self.rows.get_mut(&life)
            && (superseded || !live.contains(&life.0))
        {
            row.ended.get_or_insert(now);
        }
    }

    /// Values held, for the capacity page.
    pub fn len(&self) -> usize {
        let cells: usize = self.rows.values().map(|row| row.entries.len()).sum();
        cells + self.base.len()
    }

    fn rows_of(&mut self, instance: InstanceId) -> impl Iterator<Item = (&Life, &mut Row)> {
        self.rows.range_mut((instance, Incarnation(0))..=(instance, Incarnation(u64::MAX)))
    }
}
