//! The choice of the next request.

use sl_base::{PoolId, RequestId, TeamId, Timestamp};

use crate::{Fair, Item, pool::Account};

/// A request that was picked; its hint is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Picked {
    /// The request.
    pub item: Item,
    /// Whether the team was picked because it had waited too long.
    pub starved: bool,
}

impl Fair {
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
}
