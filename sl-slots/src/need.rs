//! What waits, here and elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{InstanceId, Need, PoolId, ServerId, Timestamp};

use crate::{Slots, message::Want};

/// A want that grew so many times since it was told is told again at once.
const WANT_GROWTH: u32 = 2;

impl Slots {
    /// Says what waits here for the pool.
    pub fn set_need(&mut self, now: Timestamp, pool: PoolId, need: Need) {
        self.needs.insert(pool, need);
        let urgent = need.is_some() && !self.has_usable(now, pool);
        let homes = self.homes.get(&pool).cloned().unwrap_or_default();
        for home in homes {
            let link = self.holder.links.entry(home).or_default();
            let told = link.told.get(&pool).copied().unwrap_or(0);
            if urgent && (told == 0 || need.waiting >= told.saturating_mul(WANT_GROWTH)) {
                self.hasten(now, home, self.options.urgent_gap);
            } else if !need.is_some() && told > 0 {
                self.hasten(now, home, self.options.lazy_gap);
            }
        }
        self.settle(now);
    }

    /// Says what waits on another instance for the pool.
    pub fn set_need_elsewhere(
        &mut self,
        now: Timestamp,
        pool: PoolId,
        from: InstanceId,
        need: Need,
    ) {
        if from == self.me {
            return;
        }
        let others = (self.members.len() as u32).saturating_sub(1).max(1);
        let elsewhere = self.elsewhere.entry(pool).or_default();
        let entry = elsewhere.entry(from).or_default();
        entry.need = need;
        if entry.refill_at.is_due(now) {
            entry.budget = need.waiting.div_ceil(others);
            entry.refill_at = now.after(self.options.surrender_every);
        }
    }

    /// Says all that waits on other instances for the pool.
    pub fn set_needs_elsewhere(
        &mut self,
        now: Timestamp,
        pool: PoolId,
        needs: &BTreeMap<InstanceId, Need>,
    ) {
        let others: Vec<InstanceId> = self.members.clone();
        for instance in others {
            let need = needs.get(&instance).copied().unwrap_or(Need::NONE);
            self.set_need_elsewhere(now, pool, instance, need);
        }
    }

    pub(crate) fn has_usable(&self, now: Timestamp, pool: PoolId) -> bool {
        self.usable(now, pool, &[]).next().is_some()
    }

    /// What waits for pools of `servers`; work that an idle slot can take is no want.
    pub(crate) fn wants(&self, now: Timestamp, servers: &[ServerId]) -> Vec<Want> {
        let pools: BTreeSet<PoolId> =
            servers.iter().map(|id| self.servers[id].server.pool).collect();
        pools
            .into_iter()
            .filter_map(|pool| {
                let need = *self.needs.get(&pool)?;
                let wanted = need.is_some() && !self.has_usable(now, pool);
                wanted.then_some(Want { pool, need })
            })
            .collect()
    }
}
