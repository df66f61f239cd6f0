//! The exchange of counters with peers.

use std::collections::BTreeMap;

use sl_base::{Incarnation, InstanceId, PoolId, Timestamp};

use crate::{
    Fair, Report, Service,
    ledger::Change,
    pool::Elsewhere,
    report::{Entry, Lift, PoolRow, Snapshot},
};

/// What is known of a peer's end of the exchange.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub(crate) acked: u64,
    pub(crate) sent: BTreeMap<Timestamp, u64>,
    /// Whether the peer is owed a report even if nothing changed.
    pub(crate) owed: bool,
    /// Whether the peer asked for a snapshot.
    pub(crate) asks: bool,
    /// Whether a report of the peer came since it was last seen to join.
    pub(crate) heard: bool,
}

impl Peer {
    fn hear(&mut self, report: &Report) {
        self.heard = true;
        self.asks |= report.ask;
        if report.resend {
            self.acked = 0;
            self.sent.clear();
            self.owed = true;
        }
    }
}

/// How long a newborn asks the same peer, in microseconds.
const ASK_TURN_MICROS: u64 = 2_000_000;

/// Reports to one peer whose confirmation may still come.
const SENT_MAX: usize = 16;

impl Fair {
    /// What `peer` has not confirmed yet, if anything. The caller sends it and reports a
    /// confirmation to [`Self::acked`] with the same `now`.
    pub fn report(&mut self, now: Timestamp, peer: InstanceId) -> Option<Report> {
        let ask = self.asks(now, peer);
        let entry = self.peers.get(&peer)?;
        let acked = entry.acked;
        let asked = entry.asks && !self.newborn;
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

    /// A newborn asks one peer for its snapshot, in turn until one answers. It answers
    /// none itself, or two that start at once would take each other's empty ones.
    fn asks(&self, now: Timestamp, peer: InstanceId) -> bool {
        if !self.newborn || self.peers.is_empty() {
            return false;
        }
        let turn = now.as_micros() / ASK_TURN_MICROS;
        let nth = (turn % self.peers.len() as u64) as usize;
        self.peers.keys().nth(nth) == Some(&peer)
    }

    fn rows_since(&self, acked: u64) -> Vec<PoolRow> {
        let mut rows = Vec::new();
        for (&pool, state) in &self.pools {
            let entries: Vec<Entry> = state
                .accounts()
                .filter(|(_, account)| account.own_version > acked)
                .map(|(team, account)| Entry { team, given: account.own, waiting: account.waiting })
                .collect();
            if !entries.is_empty() {
                rows.push(PoolRow { pool, floor: state.floor, entries });
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
            lifts.extend(changed.map(|(team, account)| Lift { pool, team, lift: account.lift }));
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

    /// Takes an instance's report; work that waits there counts if it is a member.
    pub fn on_report(&mut self, now: Timestamp, from: InstanceId, report: &Report) {
        let life = (from, report.life);
        if from == self.options.me || self.ledger.is_superseded(life) {
            return;
        }
        if self.ledger.open(now, life) {
            self.peers.entry(from).and_modify(|peer| *peer = Peer::default());
            for pool in self.pools.values_mut() {
                pool.forget(from);
            }
        }
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.hear(report);
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
        let member = self.peers.contains_key(&life.0);
        for row in &report.pools {
            let state = self.pools.entry(row.pool).or_default();
            state.floor = state.floor.max(row.floor);
            for entry in &row.entries {
                let key = (row.pool, entry.team);
                let value = (report.version, entry.given);
                let Some(change) = self.ledger.merge(now, life, key, value) else {
                    continue;
                };
                let served = change.after > change.before;
                self.apply(now, change);
                let state = self.pools.entry(row.pool).or_default();
                state.update(entry.team, |account| {
                    if entry.waiting > 0 && member {
                        let known = account.elsewhere.get(&life.0).filter(|_| !served);
                        let elsewhere = Elsewhere {
                            waiting: entry.waiting,
                            unserved_since: known.map_or(now, |it| it.unserved_since),
                        };
                        account.elsewhere.insert(life.0, elsewhere);
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
            self.ledger.close(now, (row.of, row.life), &self.peers.keys().copied().collect());
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
