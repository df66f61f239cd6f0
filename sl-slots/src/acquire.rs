//! A slot for a request: which server, and whether a team elsewhere needs it more.

use sl_base::{PoolId, ServerId, Timestamp, hash};

use crate::{Loan, Policy, Server, Slots, holder::Held, slots::Known};

impl Slots {
    /// Takes a slot of the pool for one request, not on a server of `avoid`. Each loan is
    /// given back by [`Self::release`], also one that nothing was sent on.
    pub fn acquire(&mut self, now: Timestamp, pool: PoolId, avoid: &[ServerId]) -> Option<Loan> {
        match self.options.policy {
            Policy::Lent => self.acquire_lent(now, pool, avoid),
            Policy::FixedSplit | Policy::Uncoordinated => self.acquire_alone(now, pool, avoid),
        }
    }

    fn acquire_lent(&mut self, now: Timestamp, pool: PoolId, avoid: &[ServerId]) -> Option<Loan> {
        while let Some(server) = self.best(now, pool, avoid) {
            let is_fresh = self.holder.held.get(&server).is_some_and(|held| held.fresh > 0);
            if !is_fresh && self.surrender(now, pool, server) {
                continue;
            }
            let held = self.holder.held.get_mut(&server)?;
            held.busy += 1;
            held.fresh = held.fresh.saturating_sub(1);
            held.used_at = now;
            return Some(Loan { server, dispatch_by: held.dispatch_by });
        }
        None
    }

    /// The fastest of the servers with a usable slot, the one with most of them where
    /// speeds are equal.
    pub(crate) fn best(
        &self,
        now: Timestamp,
        pool: PoolId,
        avoid: &[ServerId],
    ) -> Option<ServerId> {
        self.usable(now, pool, avoid)
            .map(|(known, held)| (known.speed.expected(), held.idle(), known.server.id))
            .max()
            .map(|(.., server)| server)
    }

    /// The servers of the pool on which this instance may use a slot now.
    pub(crate) fn usable<'a>(
        &'a self,
        now: Timestamp,
        pool: PoolId,
        avoid: &'a [ServerId],
    ) -> impl Iterator<Item = (&'a Known, &'a Held)> {
        let held = self.holder.held.iter();
        held.filter(move |(_, held)| held.is_usable(now))
            .filter_map(|(id, held)| Some((self.servers.get(id)?, held)))
            .filter(move |(known, _)| known.server.pool == pool && known.takes_work(now))
            .filter(move |(known, _)| !avoid.contains(&known.server.id))
    }

    fn candidates<'a>(
        &'a self,
        now: Timestamp,
        pool: PoolId,
        avoid: &'a [ServerId],
    ) -> impl Iterator<Item = &'a Known> {
        self.by_pool
            .get(&pool)
            .into_iter()
            .flatten()
            .map(|id| &self.servers[id])
            .filter(move |known| known.takes_work(now))
            .filter(move |known| !avoid.contains(&known.server.id))
    }

    /// Gives the idle slots of `server` up, one for each request of a needier team that
    /// waits elsewhere; tells whether one went.
    fn surrender(&mut self, now: Timestamp, pool: PoolId, server: ServerId) -> bool {
        let Some(own) = self.needs.get(&pool).filter(|need| need.is_some()) else {
            return false;
        };
        let bar = own.least.saturating_sub(self.options.tolerance);
        let neediest = self
            .elsewhere
            .get_mut(&pool)
            .into_iter()
            .flatten()
            .map(|(_, elsewhere)| elsewhere)
            .filter(|e| e.need.is_some() && e.budget > 0 && e.need.least < bar)
            .min_by_key(|e| e.need.least);
        let Some(neediest) = neediest else {
            return false;
        };
        neediest.budget -= 1;
        self.give_back(now, server, 1);
        true
    }

    fn give_back(&mut self, now: Timestamp, server: ServerId, count: u32) {
        self.holder.lower(now, server, count);
        self.hasten_home(now, server);
        self.settle(now);
    }

    /// The two policies without lending: the server with the most room by what this
    /// instance itself sent.
    fn acquire_alone(&mut self, now: Timestamp, pool: PoolId, avoid: &[ServerId]) -> Option<Loan> {
        let server = self
            .candidates(now, pool, avoid)
            .map(|known| (self.room_alone(&known.server), known.server.id))
            .filter(|&(room, _)| room > 0)
            .max()
            .map(|(_, server)| server)?;
        self.holder.held.entry(server).or_default().busy += 1;
        Some(Loan { server, dispatch_by: now.after(self.options.lease) })
    }

    fn room_alone(&self, server: &Server) -> u32 {
        let busy = self.holder.held.get(&server.id).map_or(0, |held| held.busy);
        let limit = match self.options.policy {
            Policy::FixedSplit => self.fixed_part(server),
            Policy::Lent | Policy::Uncoordinated => server.slots,
        };
        limit.saturating_sub(busy)
    }

    fn fixed_part(&self, server: &Server) -> u32 {
        let line = hash::line(server.id.0, self.members.iter().copied(), self.members.len());
        let Some(rank) = line.iter().position(|&member| member == self.me) else {
            return 0;
        };
        let count = line.len() as u32;
        server.slots / count + u32::from((rank as u32) < server.slots % count)
    }
}
