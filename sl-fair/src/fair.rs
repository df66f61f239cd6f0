//! The state of one instance and its operations.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{Incarnation, InstanceId, Millis, Need, PoolId, RequestId, TeamId, Timestamp};

use crate::{
    Error, Item, Limits, Report, Service,
    ledger::{Change, Ledger},
    pool::{Account, Pool},
    queue::{Aging, Queues},
    report::{Entry, Lift, PoolRow, Snapshot},
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
            starve_wait: Millis(30_000),
            starve_every: 8,
            window: Service::of(10_000_000, 1),
            relay_within: Millis(10_000),
            fold_after: Millis(600_000),
        }
    }

    fn aging(&self) -> Aging {
        Aging {
            wait: self.order_wait,
            every: self.order_every,
        }
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

/// A request that was picked; its hint is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Picked {
    /// The request.
    pub item: Item,
    /// Whether the team was picked because it had waited too long.
    pub starved: bool,
}

/// Queues, charges and the fleet's counters, as one instance sees them.
#[derive(Debug)]
pub struct Fair {
    options: Options,
    rules: BTreeMap<TeamId, Rule>,
    queues: Queues,
    charges: BTreeMap<RequestId, Charge>,
    pools: BTreeMap<PoolId, Pool>,
    ledger: Ledger,
    version: u64,
    peers: BTreeMap<InstanceId, Peer>,
    newborn: bool,
}

#[derive(Clone, Copy, Debug)]
struct Charge {
    pool: PoolId,
    team: TeamId,
    share: u32,
    units: u64,
}

#[derive(Debug, Default)]
struct Peer {
    acked: u64,
    sent: BTreeMap<Timestamp, u64>,
    /// Whether the peer is owed a report even if nothing changed.
    owed: bool,
    /// Whether the peer asked for a snapshot.
    asks: bool,
    /// Whether a report of the peer came since it was last seen to join.
    heard: bool,
}

/// Reports to one peer whose confirmation may still come.
const SENT_MAX: usize = 16;

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
        let others: BTreeSet<InstanceId> = members
            .iter()
            .copied()
            .filter(|&member| member != self.options.me)
            .collect();
        let gone: Vec<InstanceId> = self
            .peers
            .keys()
            .copied()
            .filter(|peer| !others.contains(peer))
            .collect();
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

    /// Whether a request may wait; nothing is stored.
    ///
    /// # Errors
    ///
    /// Where the team is unknown or has as much waiting as it may.
    pub fn check(&self, item: &Item) -> Result<(), Error> {
        let rule = self.rules.get(&item.team).ok_or(Error::UnknownTeam)?;
        self.queues.admit(item, rule.limits)
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Those of [`Self::check`]; nothing is stored then.
    pub fn enqueue(&mut self, now: Timestamp, item: Item) -> Result<(), Error> {
        self.check(&item)?;
        self.requeue(now, item);
        Ok(())
    }

    /// Lets a request wait again that was admitted before; its charge is taken back.
    pub fn requeue(&mut self, now: Timestamp, item: Item) {
        self.settle(item.request, 0);
        self.queues.push(item);
        self.note_waiting(now, item.pool, item.team);
    }

    /// Takes a request out of its queue, because its caller is gone.
    pub fn remove(&mut self, now: Timestamp, request: RequestId) -> Option<Item> {
        let item = self.queues.remove(request)?;
        self.note_waiting(now, item.pool, item.team);
        Some(item)
    }

    /// Takes out the requests whose time to wait is over.
    pub fn expired(&mut self, now: Timestamp) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(item) = self.queues.pop_expired(now) {
            self.note_waiting(now, item.pool, item.team);
            expired.push(item);
        }
        expired
    }

    /// The request that [`Self::pick`] would take.
    pub fn peek(&self, now: Timestamp, pool: PoolId) -> Option<RequestId> {
        let (team, _) = self.choose(now, pool)?;
        self.queues.head(now, pool, team, self.options.aging())
    }

    /// Takes the next request of the backlogged team that the fleet served least, and
    /// charges the team its hint.
    pub fn pick(&mut self, now: Timestamp, pool: PoolId) -> Option<Picked> {
        let (team, starved) = self.choose(now, pool)?;
        let item = self.queues.pop(now, pool, team, self.options.aging())?;
        self.raise_floor(pool, team);
        self.note_waiting(now, pool, team);
        self.charge(now, &item);
        self.bound_lag(now, pool);
        Some(Picked { item, starved })
    }

    fn choose(&self, now: Timestamp, pool: PoolId) -> Option<(TeamId, bool)> {
        let state = self.pools.get(&pool)?;
        let least = state.local().next()?;
        if state.picks % self.options.starve_every.max(1) != 0 {
            return Some((least, false));
        }
        let starving = state
            .local()
            .filter_map(|team| Some((self.unserved_since(pool, team)?, team)))
            .min()
            .filter(|(since, _)| since.after(self.options.starve_wait).is_due(now));
        Some(match starving {
            Some((_, team)) => (team, team != least),
            None => (least, false),
        })
    }

    fn unserved_since(&self, pool: PoolId, team: TeamId) -> Option<Timestamp> {
        let served_at = self.pools.get(&pool)?.account(team)?.served_at;
        Some(self.queues.oldest(pool, team)?.max(served_at))
    }

    /// While anyone is backlogged, the pool has served up to the least of them; else up
    /// to the team that is served now.
    fn raise_floor(&mut self, pool: PoolId, team: TeamId) {
        let state = self.pools.entry(pool).or_default();
        let time = state.account(team).map(Account::time).unwrap_or_default();
        let least = state.spread().map_or(time, |(least, _)| least.min(time));
        state.floor = state.floor.max(least);
        state.picks = state.picks.wrapping_add(1);
    }

    fn charge(&mut self, now: Timestamp, item: &Item) {
        let share = self.rules.get(&item.team).map_or(1, |rule| rule.share);
        let charge = Charge {
            pool: item.pool,
            team: item.team,
            share,
            units: 0,
        };
        self.charges.insert(item.request, charge);
        self.correct(item.request, item.hint);
        let pool = self.pools.entry(item.pool).or_default();
        pool.update(item.team, |account| account.served_at = now);
    }

    /// Raises the charge of a running request to `units`, if that is more than is charged.
    pub fn progress(&mut self, request: RequestId, units: u64) {
        if self.charges.get(&request).is_some_and(|c| c.units < units) {
            self.correct(request, units);
        }
    }

    /// Sets the charge of a request that ended to `units`. Settling twice does no harm.
    pub fn settle(&mut self, request: RequestId, units: u64) {
        self.correct(request, units);
        self.charges.remove(&request);
    }

    fn correct(&mut self, request: RequestId, units: u64) {
        let Some(charge) = self.charges.get_mut(&request) else {
            return;
        };
        let before = Service::of(charge.units, charge.share);
        let after = Service::of(units, charge.share);
        let units_before = charge.units;
        charge.units = units;
        let (pool, team) = (charge.pool, charge.team);
        self.version += 1;
        let version = self.version;
        let pool = self.pools.entry(pool).or_default();
        pool.update(team, |account| {
            account.own = account.own.plus(after).minus(before);
            account.given = account.given.plus(after).minus(before);
            account.own_units = (account.own_units.saturating_add(units)) - units_before;
            account.own_version = version;
        });
    }

    /// Brings the account's count of waiting requests up to date, and lifts a team that
    /// was idle on every instance.
    fn note_waiting(&mut self, now: Timestamp, pool: PoolId, team: TeamId) {
        let waiting = self.queues.waiting(pool, team);
        self.version += 1;
        let version = self.version;
        let state = self.pools.entry(pool).or_default();
        let idle = !state.account(team).is_some_and(Account::is_backlogged);
        if idle && waiting > 0 {
            let to = state.entry_time();
            lift_to(state, now, version, team, to);
        }
        state.update(team, |account| {
            account.waiting = waiting;
            account.own_version = version;
        });
    }

    /// Lifts backlogged teams that lag by more than the window.
    fn bound_lag(&mut self, now: Timestamp, pool: PoolId) {
        let Some(state) = self.pools.get_mut(&pool) else {
            return;
        };
        while let (Some((least, most)), Some(team)) = (state.spread(), state.last_in_service()) {
            let to = most.minus(self.options.window);
            if least >= to {
                return;
            }
            self.version += 1;
            lift_to(state, now, self.version, team, to);
        }
    }

    /// What waits here for the pool.
    pub fn need(&self, pool: PoolId) -> Need {
        self.pools.get(&pool).map_or(Need::NONE, Pool::need)
    }

    /// What waits on each other instance for the pool, by its reports.
    pub fn needs_elsewhere(&self, pool: PoolId) -> BTreeMap<InstanceId, Need> {
        self.pools
            .get(&pool)
            .map(Pool::needs_elsewhere)
            .unwrap_or_default()
    }

    /// The pools that ever had work.
    pub fn pools(&self) -> impl Iterator<Item = PoolId> {
        self.pools.keys().copied()
    }

    /// The team's fleet-wide virtual time.
    pub fn time(&self, pool: PoolId, team: TeamId) -> Service {
        self.account(pool, team)
            .map(Account::time)
            .unwrap_or_default()
    }

    /// Service that this life gave the team, in the route's cost unit.
    pub fn own_units(&self, pool: PoolId, team: TeamId) -> u64 {
        self.account(pool, team)
            .map_or(0, |account| account.own_units)
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

    fn account(&self, pool: PoolId, team: TeamId) -> Option<&Account> {
        self.pools.get(&pool)?.account(team)
    }

    /// When [`Self::expired`] or [`Self::tick`] has something to do.
    pub fn due(&self) -> Timestamp {
        self.queues
            .due()
            .min(self.ledger.due(self.options.fold_after))
    }

    /// Folds rows of lives that ended long ago.
    pub fn tick(&mut self, now: Timestamp) {
        self.ledger.fold(now, self.options.fold_after);
    }

    /// What `peer` has not confirmed yet, if anything. The caller sends it and reports a
    /// confirmation to [`Self::acked`] with the same `now`.
    pub fn report(&mut self, now: Timestamp, peer: InstanceId) -> Option<Report> {
        let ask = self.asks(peer);
        let entry = self.peers.get(&peer)?;
        let acked = entry.acked;
        let asked = entry.asks;
        let resend = !entry.heard;
        let owed = entry.owed || asked || ask || resend;
        let report = Report {
            life: self.options.life,
            version: self.version,
            pools: self.rows_since(acked),
            lifts: self.lifts_since(acked),
            relayed: self.ledger.relayed(peer, acked),
            ask,
            resend,
            snapshot: asked.then(|| self.ledger.snapshot()),
        };
        let empty = report.pools.is_empty() && report.lifts.is_empty() && report.relayed.is_empty();
        if empty && !owed {
            return None;
        }
        let entry = self.peers.entry(peer).or_default();
        entry.sent.insert(now, report.version);
        while entry.sent.len() > SENT_MAX {
            entry.sent.pop_first();
        }
        Some(report)
    }

    /// A newborn asks one peer for its snapshot, another one each version, until one answers.
    fn asks(&self, peer: InstanceId) -> bool {
        if !self.newborn || self.peers.is_empty() {
            return false;
        }
        let nth = (self.version % self.peers.len() as u64) as usize;
        self.peers.keys().nth(nth) == Some(&peer)
    }

    fn rows_since(&self, acked: u64) -> Vec<PoolRow> {
        let mut rows = Vec::new();
        for (&pool, state) in &self.pools {
            let entries: Vec<Entry> = state
                .accounts()
                .filter(|(_, account)| account.own_version > acked)
                .map(|(team, account)| Entry {
                    team,
                    given: account.own,
                    waiting: account.waiting,
                })
                .collect();
            if !entries.is_empty() {
                rows.push(PoolRow {
                    pool,
                    floor: state.floor,
                    entries,
                });
            }
        }
        rows
    }

    fn lifts_since(&self, acked: u64) -> Vec<Lift> {
        let mut lifts = Vec::new();
        for (&pool, state) in &self.pools {
            let changed = state.accounts().filter(|(_, account)| {
                account.lift > Service::ZERO && (acked == 0 || account.lift_version > acked)
            });
            lifts.extend(changed.map(|(team, account)| Lift {
                pool,
                team,
                lift: account.lift,
            }));
        }
        lifts
    }

    /// Takes the peer's confirmation of the report that left at `sent_at`.
    pub fn acked(&mut self, peer: InstanceId, sent_at: Timestamp) {
        let Some(entry) = self.peers.get_mut(&peer) else {
            return;
        };
        if let Some(version) = entry.sent.remove(&sent_at) {
            entry.acked = entry.acked.max(version);
            entry.owed = false;
            entry.asks = false;
        }
    }

    /// Takes a peer's report.
    pub fn on_report(&mut self, now: Timestamp, from: InstanceId, report: &Report) {
        let life = (from, report.life);
        if from == self.options.me || self.ledger.is_superseded(life) {
            return;
        }
        if self.ledger.open(now, life) {
            let peer = self.peers.entry(from).or_default();
            *peer = Peer::default();
            for pool in self.pools.values_mut() {
                pool.forget(from);
            }
        }
        let peer = self.peers.entry(from).or_default();
        peer.heard = true;
        peer.asks |= report.ask;
        if report.resend {
            peer.acked = 0;
            peer.sent.clear();
            peer.owed = true;
        }
        self.adopt(now, report.snapshot.as_ref());
        self.take_rows(now, life, report);
        self.take_relayed(now, report);
        self.take_lifts(now, &report.lifts);
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for pool in pools {
            self.bound_lag(now, pool);
        }
    }

    fn adopt(&mut self, now: Timestamp, snapshot: Option<&Snapshot>) {
        let Some(snapshot) = snapshot.filter(|_| self.newborn) else {
            return;
        };
        self.newborn = false;
        for change in self.ledger.adopt(snapshot) {
            self.apply(now, change);
        }
    }

    fn take_rows(&mut self, now: Timestamp, life: (InstanceId, Incarnation), report: &Report) {
        for row in &report.pools {
            let state = self.pools.entry(row.pool).or_default();
            state.floor = state.floor.max(row.floor);
            for entry in &row.entries {
                let key = (row.pool, entry.team);
                let value = (report.version, entry.given);
                let Some(change) = self.ledger.merge(now, life, key, value) else {
                    continue;
                };
                self.apply(now, change);
                let state = self.pools.entry(row.pool).or_default();
                state.update(entry.team, |account| {
                    if entry.waiting > 0 {
                        account.elsewhere.insert(life.0, entry.waiting);
                    } else {
                        account.elsewhere.remove(&life.0);
                    }
                });
            }
        }
    }

    fn take_relayed(&mut self, now: Timestamp, report: &Report) {
        for row in &report.relayed {
            if (row.of, row.life) == (self.options.me, self.options.life) {
                continue;
            }
            if self.ledger.is_folded((row.of, row.life)) {
                continue;
            }
            for entry in &row.entries {
                let key = (entry.pool, entry.team);
                let value = (entry.version, entry.given);
                if let Some(change) = self.ledger.merge(now, (row.of, row.life), key, value) {
                    self.apply(now, change);
                }
            }
            self.ledger.close(
                now,
                (row.of, row.life),
                &self.peers.keys().copied().collect(),
            );
        }
    }

    fn take_lifts(&mut self, now: Timestamp, lifts: &[Lift]) {
        for lift in lifts {
            let pool = self.pools.entry(lift.pool).or_default();
            pool.update(lift.team, |account| {
                if lift.lift > account.lift {
                    account.lift = lift.lift;
                    account.lifted_at = now;
                }
            });
        }
    }

    fn apply(&mut self, now: Timestamp, change: Change) {
        let pool = self.pools.entry(change.pool).or_default();
        pool.update(change.team, |account| {
            account.given = account.given.plus(change.after).minus(change.before);
            if change.after > change.before {
                account.served_at = now;
            }
        });
    }
}

fn lift_to(pool: &mut Pool, now: Timestamp, version: u64, team: TeamId, to: Service) {
    pool.update(team, |account| {
        let short = to.minus(account.time());
        if short > Service::ZERO {
            account.lift = account.lift.plus(short);
            account.lift_version = version;
            account.lifted_at = now;
        }
    });
}
