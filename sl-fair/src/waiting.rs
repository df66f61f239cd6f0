//! Requests come to wait and leave again, and with them their teams.

use sl_base::{PoolId, RequestId, TeamId, Timestamp};

use crate::{
    Error, Fair, Item, Service,
    pool::{Account, Pool},
};

impl Fair {
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

    /// Brings the account's count of waiting requests up to date, and lifts a team that
    /// was idle on every instance.
    pub(crate) fn note_waiting(&mut self, now: Timestamp, pool: PoolId, team: TeamId) {
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
    pub(crate) fn bound_lag(&mut self, now: Timestamp, pool: PoolId) {
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
