//! Charges: the hint at dispatch, more while the request runs, the cost at its end.

use sl_base::{PoolId, RequestId, TeamId, Timestamp};

use crate::{Fair, Item, Service};

/// What a running request is charged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    pub(crate) pool: PoolId,
    pub(crate) team: TeamId,
    pub(crate) share: u32,
    pub(crate) units: u64,
}

impl Fair {
    pub(crate) fn charge(&mut self, now: Timestamp, item: &Item) {
        let share = self.rules.get(&item.team).map_or(1, |rule| rule.share);
        let charge = Charge { pool: item.pool, team: item.team, share, units: 0 };
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
}
