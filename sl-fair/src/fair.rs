//! The state of one instance and its operations.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{Incarnation, InstanceId, Millis, Need, PoolId, RequestId, TeamId, Timestamp};

use crate::{
    Limits, Service,
    charge::Charge,
    exchange::Peer,
    ledger::Ledger,
    pool::{Account, Pool},
    queue::{Aging, Queues},
};

/// Settings of [`Fair`].
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance.
    pub me: InstanceId,
    /// Its life.
    pub life: Incarnation,
    /// How long a request waits before it may go before its order within the team.
    pub order_wait: Millis,
    /// One pick of a team in so many may go to its oldest request, once that waited `order_wait`.
    pub order_every: u32,
    /// How long a team may wait unserved before it goes before its virtual time.
    pub starve_wait: Millis,
    /// One pick of a pool in so many may go to a team that waited `starve_wait`.
    pub starve_every: u32,
    /// How far a backlogged team's virtual time may lie behind another's; at least the
    /// greatest cost over the least share, or shares no longer count.
    pub window: Service,
    /// How long before a life's end its values may have missed a peer.
    pub relay_within: Millis,
    /// How long the row of an ended life stands on its own.
    pub fold_after: Millis,
}

impl Options {
    /// The usual settings for the life `life` of `me`.
    pub fn of(me: InstanceId, life: Incarnation) -> Options {
        Options {
            me,
            life,
            order_wait: Millis(5_000),
            order_every: 4,
            starve_wait: Millis(10_000),
            starve_every: 8,
            window: Service::of(10_000_000, 1),
            relay_within: Millis(10_000),
            fold_after: Millis(600_000),
        }
    }

    pub(crate) fn aging(&self) -> Aging {
        Aging { wait: self.order_wait, every: self.order_every }
    }
}

/// What the configuration says of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The share of capacity against other teams' shares.
    pub share: u32,
    /// What may wait here.
    pub limits: Limits,
}

/// Queues, charges and the fleet's counters, as one instance sees them.
#[derive(Debug)]
pub struct Fair {
    pub(crate) options: Options,
    pub(crate) rules: BTreeMap<TeamId, Rule>,
    pub(crate) queues: Queues,
    pub(crate) charges: BTreeMap<RequestId, Charge>,
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) ledger: Ledger,
    pub(crate) version: u64,
    pub(crate) peers: BTreeMap<InstanceId, Peer>,
    pub(crate) newborn: bool,
}

impl Fair {
    /// The state of a life that just began.
    pub fn new(options: Options) -> Fair {
        Fair {
            options,
            rules: BTreeMap::new(),
            queues: Queues::default(),
            charges: BTreeMap::new(),
            pools: BTreeMap::new(),
            ledger: Ledger::default(),
            version: 1,
            peers: BTreeMap::new(),
            newborn: true,
        }
    }

    /// Puts the teams of a configuration in force; what waits or runs goes on.
    pub fn set_rules(&mut self, rules: impl IntoIterator<Item = (TeamId, Rule)>) {
        self.rules = rules.into_iter().collect();
    }

    /// Names the other live instances: a row of one that left no longer changes, and its
    /// waiting work no longer counts.
    pub fn set_members(&mut self, now: Timestamp, members: &[InstanceId]) {
        let others: BTreeSet<InstanceId> =
            members.iter().copied().filter(|&member| member != self.options.me).collect();
        let gone: Vec<InstanceId> =
            self.peers.keys().copied().filter(|peer| !others.contains(peer)).collect();
        for peer in gone {
            self.peers.remove(&peer);
            self.on_end(now, peer);
        }
        for peer in others {
            self.peers.entry(peer).or_default();
        }
    }

    fn on_end(&mut self, now: Timestamp, peer: InstanceId) {
        let since = now.before(self.options.relay_within);
        self.version += 1;
        self.ledger.end(now, peer, since, self.version);
        for pool in self.pools.values_mut() {
            pool.forget(peer);
        }
        self.repeat_lifts(since);
    }

    /// Lifts that an ended life raised may have missed some peers, so all pass them on.
    fn repeat_lifts(&mut self, since: Timestamp) {
        let version = self.version;
        for pool in self.pools.values_mut() {
            let teams: Vec<TeamId> = pool
                .accounts()
                .filter(|(_, account)| account.lifted_at >= since && account.lift > Service::ZERO)
                .map(|(team, _)| team)
                .collect();
            for team in teams {
                pool.update(team, |account| account.lift_version = version);
            }
        }
    }

    /// What waits here for the pool.
    pub fn need(&self, pool: PoolId) -> Need {
        self.pools.get(&pool).map_or(Need::NONE, Pool::need)
    }

    /// What waits on each other instance for the pool, by its reports.
    pub fn needs_elsewhere(&self, now: Timestamp, pool: PoolId) -> BTreeMap<InstanceId, Need> {
        self.pools
            .get(&pool)
            .map(|it| it.needs_elsewhere(now.before(self.options.starve_wait)))
            .unwrap_or_default()
    }

    /// The pools that ever had work.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> {
        self.pools.keys().copied()
    }

    /// The team's fleet-wide virtual time.
    pub fn time(&self, pool: PoolId, team: TeamId) -> Service {
        self.account(pool, team).map(Account::time).unwrap_or_default()
    }

    /// Service that this life gave the team, in the route's cost unit.
    pub fn own_units(&self, pool: PoolId, team: TeamId) -> u64 {
        self.account(pool, team).map_or(0, |account| account.own_units)
    }

    /// Requests of the team that wait here for the pool.
    pub fn waiting(&self, pool: PoolId, team: TeamId) -> u32 {
        self.queues.waiting(pool, team)
    }

    /// Requests that wait here in all.
    pub fn waiting_in_all(&self) -> usize {
        self.queues.len()
    }

    /// Values of other lives that are held here, for the capacity page.
    pub fn values_held(&self) -> usize {
        self.ledger.len()
    }

    pub(crate) fn account(&self, pool: PoolId, team: TeamId) -> Option<&Account> {
        self.pools.get(&pool)?.account(team)
    }

    /// When [`Self::expired`] or [`Self::tick`] has something to do.
    pub fn due(&self) -> Timestamp {
        self.queues.due().min(self.ledger.due(self.options.fold_after))
    }

    /// Folds rows of lives that ended long ago.
    pub fn tick(&mut self, now: Timestamp) {
        if self.ledger.fold(now, self.options.fold_after) {
            self.newborn = false;
        }
    }
}
