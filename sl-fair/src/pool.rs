//! The teams' virtual times in one pool, indexed by who is backlogged.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{InstanceId, Need, TeamId, Timestamp};

use crate::Service;

/// One team in one pool.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// Service by all lives of all instances.
    pub given: Service,
    /// What is added to `given` to make the virtual time.
    pub lift: Service,
    /// This life's version at which `lift` was last raised here, zero if only elsewhere.
    pub lift_version: u64,
    /// When `lift` was last raised.
    pub lifted_at: Timestamp,
    /// Service by this life.
    pub own: Service,
    /// Service by this life, in the routes' cost unit and not divided by the share.
    pub own_units: u64,
    /// This life's version at which `own` or `waiting` last changed.
    pub own_version: u64,
    /// Requests that wait on this instance.
    pub waiting: u32,
    /// What waits on others; who has nothing waiting is left out.
    pub elsewhere: BTreeMap<InstanceId, Elsewhere>,
    /// When the team was last served anywhere, as far as is known here.
    pub served_at: Timestamp,
}

impl Account {
    /// The virtual time.
    pub fn time(&self) -> Service {
        self.given.plus(self.lift)
    }

    /// Whether work of the team waits anywhere.
    pub fn is_backlogged(&self) -> bool {
        self.waiting > 0 || !self.elsewhere.is_empty()
    }
}

/// Waiting requests of a team on another instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Elsewhere {
    /// How many.
    pub waiting: u32,
    /// Since when nothing of the team was served there.
    pub unserved_since: Timestamp,
}

/// All teams in one pool.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    accounts: BTreeMap<TeamId, Account>,
    local: BTreeSet<(Service, TeamId)>,
    fleet: BTreeSet<(Service, TeamId)>,
    waiting: u32,
    /// The virtual time up to which the pool has served.
    pub floor: Service,
    /// Picks so far.
    pub picks: u32,
}

impl Pool {
    /// The accounts in the order of team ids.
    pub fn accounts(&self) -> impl Iterator<Item = (TeamId, &Account)> {
        self.accounts.iter().map(|(&team, account)| (team, account))
    }

    /// The team's account, if it ever had work here.
    pub fn account(&self, team: TeamId) -> Option<&Account> {
        self.accounts.get(&team)
    }

    /// Changes an account and keeps the indexes right.
    pub fn update(&mut self, team: TeamId, change: impl FnOnce(&mut Account)) {
        let account = self.accounts.entry(team).or_default();
        let before = (account.time(), team);
        self.waiting -= account.waiting;
        change(account);
        self.waiting += account.waiting;
        let after = (account.time(), team);
        if self.local.remove(&before) || account.waiting > 0 {
            reindex(&mut self.local, after, account.waiting > 0);
        }
        if self.fleet.remove(&before) || account.is_backlogged() {
            reindex(&mut self.fleet, after, account.is_backlogged());
        }
    }

    /// Teams with work on this instance, the least served first.
    pub fn local(&self) -> impl Iterator<Item = TeamId> {
        self.local.iter().map(|&(_, team)| team)
    }

    /// The least virtual time among teams that wait on this instance.
    pub fn least_local(&self) -> Option<Service> {
        self.local.first().map(|&(time, _)| time)
    }

    /// The least and the greatest virtual time among backlogged teams of the fleet.
    pub fn spread(&self) -> Option<(Service, Service)> {
        let &(least, _) = self.fleet.first()?;
        let &(most, _) = self.fleet.last()?;
        Some((least, most))
    }

    /// The backlogged team that was served least.
    pub fn last_in_service(&self) -> Option<TeamId> {
        self.fleet.first().map(|&(_, team)| team)
    }

    /// The virtual time that a team must have when it becomes backlogged, so that it
    /// brings no credit from its idle time.
    pub fn entry_time(&self) -> Service {
        self.fleet.first().map_or(self.floor, |&(time, _)| time)
    }

    /// What waits on this instance.
    pub fn need(&self) -> Need {
        Need { waiting: self.waiting, least: self.least_local().unwrap_or_default().0 }
    }

    /// What waits on each other instance. One that served nothing of a waiting team since
    /// `starving` needs slots the most, whatever the team was served on others: of equal
    /// needs, those who hold the slots would keep them for ever.
    pub fn needs_elsewhere(&self, starving: Timestamp) -> BTreeMap<InstanceId, Need> {
        let mut needs = BTreeMap::new();
        for &(time, team) in &self.fleet {
            for (&instance, elsewhere) in &self.accounts[&team].elsewhere {
                let need = needs.entry(instance).or_insert(Need { waiting: 0, least: time.0 });
                need.waiting = need.waiting.saturating_add(elsewhere.waiting);
                if elsewhere.unserved_since <= starving {
                    need.least = 0;
                }
            }
        }
        needs
    }

    /// Forgets that anything waits on `gone`.
    pub fn forget(&mut self, gone: InstanceId) {
        let teams: Vec<TeamId> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.elsewhere.contains_key(&gone))
            .map(|(&team, _)| team)
            .collect();
        for team in teams {
            self.update(team, |account| {
                account.elsewhere.remove(&gone);
            });
        }
    }
}

fn reindex(index: &mut BTreeSet<(Service, TeamId)>, key: (Service, TeamId), keep: bool) {
    if keep {
        index.insert(key);
    }
}
