//! The state of one instance and its operations.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{InstanceId, Millis, Need, PoolId, ServerId, Timestamp, hash};

use crate::{
    Message, Options, Policy,
    holder::{Held, Holder},
    home::{Home, Homed},
    message::{Grant, Renew, Want},
    speed::Speed,
};

/// A backend server as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its id.
    pub id: ServerId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// How many requests it runs side by side.
    pub slots: u32,
    /// Whether it is on its way out and takes no new work.
    pub leaving: bool,
}

/// A slot for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The server to send the request to.
    pub server: ServerId,
    /// Past this nothing may be sent.
    pub dispatch_by: Timestamp,
}

/// How a request on a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Ran {
        /// Service, in the route's cost unit.
        units: u64,
        /// Time on the slot, in microseconds.
        micros: u64,
    },
    /// The server took no connection.
    Refused,
    /// The request ended otherwise; nothing is learned of the server's speed.
    Other,
}

/// All slots, as one instance sees them.
#[derive(Debug)]
pub struct Slots {
    options: Options,
    me: InstanceId,
    born: Timestamp,
    draining: bool,
    members: Vec<InstanceId>,
    servers: BTreeMap<ServerId, Known>,
    by_home: BTreeMap<InstanceId, Vec<ServerId>>,
    by_pool: BTreeMap<PoolId, Vec<ServerId>>,
    holder: Holder,
    home: Home,
    needs: BTreeMap<PoolId, Need>,
    elsewhere: BTreeMap<PoolId, BTreeMap<InstanceId, Elsewhere>>,
    owed: BTreeSet<InstanceId>,
    outbox: Vec<(InstanceId, Message)>,
}

#[derive(Debug)]
struct Known {
    server: Server,
    home: Option<InstanceId>,
    speed: Speed,
    avoid_until: Timestamp,
}

/// Work that waits on another instance.
#[derive(Clone, Copy, Debug, Default)]
struct Elsewhere {
    need: Need,
    /// Slots that may still be given up for it.
    budget: u32,
    /// When the budget is filled again.
    refill_at: Timestamp,
}

/// Rounds of messages between this instance's own two sides in one operation.
const SELF_ROUNDS: usize = 4;

/// A want that grew so many times since it was told is told again at once.
const WANT_GROWTH: u32 = 2;

impl Slots {
    /// The state of a life of `me` that begins at `now`.
    pub fn new(now: Timestamp, me: InstanceId, options: Options) -> Slots {
        Slots {
            options,
            me,
            born: now,
            draining: false,
            members: vec![me],
            servers: BTreeMap::new(),
            by_home: BTreeMap::new(),
            by_pool: BTreeMap::new(),
            holder: Holder::default(),
            home: Home::default(),
            needs: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            owed: BTreeSet::new(),
            outbox: Vec::new(),
        }
    }

    /// Names the live instances that may be homes; an instance that leaves does not
    /// name itself.
    pub fn set_members(&mut self, now: Timestamp, members: &[InstanceId]) {
        let mut members = members.to_vec();
        members.sort_unstable();
        members.dedup();
        if members == self.members {
            return;
        }
        for elsewhere in self.elsewhere.values_mut() {
            elsewhere.retain(|instance, _| members.contains(instance));
        }
        self.members = members;
        self.place(now);
    }

    /// Names the backend servers.
    pub fn set_servers(&mut self, now: Timestamp, servers: &[Server]) {
        let listed: BTreeSet<ServerId> = servers.iter().map(|server| server.id).collect();
        self.servers.retain(|id, _| listed.contains(id));
        for &server in servers {
            let known = self.servers.entry(server.id).or_insert(Known {
                server,
                home: None,
                speed: Speed::default(),
                avoid_until: Timestamp::default(),
            });
            known.server = server;
        }
        self.place(now);
    }

    /// Finds the home of each server anew.
    fn place(&mut self, now: Timestamp) {
        self.by_home.clear();
        self.by_pool.clear();
        for (&id, known) in &mut self.servers {
            let home = hash::owner(id.0, self.members.iter().copied());
            if let Some(home) = home {
                self.by_home.entry(home).or_default().push(id);
            }
            self.by_pool.entry(known.server.pool).or_default().push(id);
            if known.home != home && self.holder.held.contains_key(&id) {
                self.holder
                    .links
                    .entry(home.unwrap_or(self.me))
                    .or_default();
            }
            known.home = home;
        }
        self.take_homes(now);
        self.drop_unlisted();
        self.hasten_all(now);
        self.settle(now);
    }

    fn take_homes(&mut self, now: Timestamp) {
        let mine: BTreeSet<ServerId> = self
            .by_home
            .get(&self.me)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        self.home.servers.retain(|id, _| mine.contains(id));
        for id in mine {
            let server = self.servers[&id].server;
            let homed = self.home.servers.entry(id).or_insert_with(|| Homed {
                pool: server.pool,
                slots: 0,
                adopt_until: now.after(self.options.lease),
                loans: BTreeMap::new(),
            });
            homed.pool = server.pool;
            homed.slots = if server.leaving { 0 } else { server.slots };
        }
        self.balance_all(now);
    }

    fn drop_unlisted(&mut self) {
        let listed = &self.servers;
        self.holder.held.retain(|id, held| {
            if !listed.contains_key(id) {
                held.count = 0;
            }
            held.count > 0 || held.busy > 0 || listed.contains_key(id)
        });
        let homes = &self.by_home;
        self.holder.links.retain(|home, _| homes.contains_key(home));
    }

    /// After a change of homes, each home hears of all that is held and wanted.
    fn hasten_all(&mut self, now: Timestamp) {
        let homes: Vec<InstanceId> = self.by_home.keys().copied().collect();
        for home in homes {
            self.hasten(now, home, Millis(0));
        }
    }

    /// Says what waits here for the pool.
    pub fn set_need(&mut self, now: Timestamp, pool: PoolId, need: Need) {
        self.needs.insert(pool, need);
        let urgent = need.is_some() && !self.has_usable(now, pool);
        for home in self.homes_of(pool) {
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

    /// Takes a slot of the pool for one request, not on a server of `avoid`.
    pub fn acquire(&mut self, now: Timestamp, pool: PoolId, avoid: &[ServerId]) -> Option<Loan> {
        match self.options.policy {
            Policy::Lent => self.acquire_lent(now, pool, avoid),
            Policy::FixedSplit | Policy::Uncoordinated => self.acquire_alone(now, pool, avoid),
        }
    }

    fn acquire_lent(&mut self, now: Timestamp, pool: PoolId, avoid: &[ServerId]) -> Option<Loan> {
        while let Some(server) = self.best(now, pool, avoid) {
            if self.surrender(now, pool, server) {
                continue;
            }
            let held = self.holder.held.get_mut(&server)?;
            held.busy += 1;
            held.used_at = now;
            return Some(Loan {
                server,
                dispatch_by: held.dispatch_by,
            });
        }
        None
    }

    /// The fastest of the servers with a usable slot, the one with most of them where
    /// speeds are equal.
    fn best(&self, now: Timestamp, pool: PoolId, avoid: &[ServerId]) -> Option<ServerId> {
        self.candidates(now, pool, avoid)
            .filter_map(|known| {
                let held = self.holder.held.get(&known.server.id)?;
                let rank = (known.speed.expected(), held.idle(), known.server.id);
                held.is_usable(now).then_some(rank)
            })
            .max()
            .map(|(.., server)| server)
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
            .filter(move |known| !known.server.leaving && known.avoid_until.is_due(now))
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

    fn hasten_home(&mut self, now: Timestamp, server: ServerId) {
        let Some(home) = self.servers.get(&server).and_then(|known| known.home) else {
            return;
        };
        self.hasten(now, home, self.options.urgent_gap);
    }

    /// Asks for a renewal no sooner than `gap` after the last; one to this instance itself
    /// costs nothing and needs no gap.
    fn hasten(&mut self, now: Timestamp, home: InstanceId, gap: Millis) {
        let link = self.holder.links.entry(home).or_default();
        if home == self.me {
            link.renew_by = now;
        } else {
            link.hasten(now, gap);
        }
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
        Some(Loan {
            server,
            dispatch_by: now.after(self.options.lease),
        })
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
        let line = hash::line(
            server.id.0,
            self.members.iter().copied(),
            self.members.len(),
        );
        let Some(rank) = line.iter().position(|&member| member == self.me) else {
            return 0;
        };
        let count = line.len() as u32;
        server.slots / count + u32::from((rank as u32) < server.slots % count)
    }

    /// Gives the slot of a request that ended back to this instance's own use.
    pub fn release(&mut self, now: Timestamp, server: ServerId, outcome: Outcome) {
        self.learn(now, server, outcome);
        let Some(held) = self.holder.held.get_mut(&server) else {
            return;
        };
        held.busy = held.busy.saturating_sub(1);
        held.used_at = now;
        let over = held.busy >= held.count;
        self.holder.forget_empty(server);
        if over {
            self.hasten_home(now, server);
        }
        self.settle(now);
    }

    fn learn(&mut self, now: Timestamp, server: ServerId, outcome: Outcome) {
        let Some(known) = self.servers.get_mut(&server) else {
            return;
        };
        match outcome {
            Outcome::Ran { units, micros } => known.speed.sample(units, micros),
            Outcome::Refused => known.avoid_until = now.after(self.options.avoid_for),
            Outcome::Other => {}
        }
    }

    /// Begins a planned stop: slots go back as soon as nothing waits for them.
    pub fn drain(&mut self, now: Timestamp) {
        self.draining = true;
        self.tick(now);
    }

    /// Takes a message of another instance.
    pub fn on_message(&mut self, now: Timestamp, from: InstanceId, message: &Message) {
        match message {
            Message::Renew(renew) => self.on_renew(now, from, renew),
            Message::Grant(grant) => self.on_grant(now, from, grant),
        }
        self.settle(now);
    }

    fn on_renew(&mut self, now: Timestamp, from: InstanceId, renew: &Renew) {
        if self.home.on_renew(now, from, renew, self.options.lease) {
            self.owed.insert(from);
            self.balance_all(now);
        }
    }

    fn on_grant(&mut self, now: Timestamp, from: InstanceId, grant: &Grant) {
        if grant.echo < self.born {
            return;
        }
        let Some(servers) = self.by_home.get(&from) else {
            return;
        };
        if self
            .holder
            .on_grant(now, from, grant, servers, &self.options)
        {
            self.hasten(now, from, self.options.urgent_gap);
        }
    }

    fn balance_all(&mut self, now: Timestamp) {
        let pools: BTreeSet<PoolId> = self.home.servers.values().map(|h| h.pool).collect();
        for pool in pools {
            let (servers, me) = (&self.servers, self.me);
            let own = self.needs.get(&pool).copied();
            let elsewhere = self.elsewhere.get(&pool);
            let least = |holder| {
                let need = if holder == me {
                    own
                } else {
                    elsewhere?.get(&holder).map(|e| e.need)
                };
                need.filter(|need| need.is_some()).map(|need| need.least)
            };
            let speed = |server| servers.get(&server).map_or(0, |k| k.speed.expected());
            self.home.balance(now, pool, speed, least);
        }
    }

    /// Lets time pass: renewals, leases that ran out, slots with nothing to do.
    pub fn tick(&mut self, now: Timestamp) {
        self.home.expire(now, self.options.lost_after);
        self.return_idle(now);
        self.balance_all(now);
        self.settle(now);
    }

    fn return_idle(&mut self, now: Timestamp) {
        let idle: Vec<(ServerId, u32)> = self
            .holder
            .held
            .iter()
            .filter(|&(id, held)| self.idle_until(*id, held).is_due(now))
            .map(|(&id, held)| (id, held.idle()))
            .collect();
        for (server, count) in idle {
            self.holder.lower(now, server, count);
            self.hasten_home(now, server);
        }
    }

    /// Until when idle slots of the server are kept.
    fn idle_until(&self, id: ServerId, held: &Held) -> Timestamp {
        let Some(known) = self.servers.get(&id) else {
            return Timestamp::NEVER;
        };
        let need = self.needs.get(&known.server.pool);
        if held.idle() == 0 || need.is_some_and(|need| need.is_some()) {
            return Timestamp::NEVER;
        }
        if self.draining || known.server.leaving {
            return Timestamp::default();
        }
        held.used_at.after(self.options.idle_keep)
    }

    /// When [`Self::tick`] has something to do.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        if self.options.policy != Policy::Lent {
            return Timestamp::NEVER;
        }
        let renew = self.holder.links.values().map(|link| link.renew_by).min();
        let idle = self
            .holder
            .held
            .iter()
            .map(|(id, held)| self.idle_until(*id, held))
            .min();
        self.home
            .due(now, self.options.lost_after)
            .min(renew.unwrap_or(Timestamp::NEVER))
            .min(idle.unwrap_or(Timestamp::NEVER))
    }

    /// Takes the messages that are to be sent, all of one peer's in one envelope.
    pub fn take_messages(&mut self, now: Timestamp) -> Vec<(InstanceId, Message)> {
        self.settle(now);
        std::mem::take(&mut self.outbox)
    }

    /// Whether no slot is in use.
    pub fn is_idle(&self) -> bool {
        self.holder.held.values().all(|held| held.busy == 0)
    }

    /// Slots of the server that are in use by this instance.
    pub fn busy(&self, server: ServerId) -> u32 {
        self.holder.held.get(&server).map_or(0, |held| held.busy)
    }

    /// Slots of the server that this instance may use.
    pub fn window(&self, server: ServerId) -> u32 {
        self.holder.held.get(&server).map_or(0, |held| held.count)
    }

    /// The server's home, by the members seen here.
    pub fn home_of(&self, server: ServerId) -> Option<InstanceId> {
        self.servers.get(&server)?.home
    }

    /// Whether the pool has a server that takes new work.
    pub fn has_server(&self, pool: PoolId) -> bool {
        self.by_pool
            .get(&pool)
            .into_iter()
            .flatten()
            .any(|id| !self.servers[id].server.leaving)
    }

    fn has_usable(&self, now: Timestamp, pool: PoolId) -> bool {
        self.best(now, pool, &[]).is_some()
    }

    fn homes_of(&self, pool: PoolId) -> BTreeSet<InstanceId> {
        self.by_pool
            .get(&pool)
            .into_iter()
            .flatten()
            .filter_map(|id| self.servers[id].home)
            .collect()
    }

    /// Writes what is due, and passes what goes to this instance itself on at once.
    fn settle(&mut self, now: Timestamp) {
        if self.options.policy != Policy::Lent {
            return;
        }
        for _ in 0..SELF_ROUNDS {
            let renewed = self.write_renewals(now);
            let granted = self.write_grants(now);
            if !renewed && !granted {
                return;
            }
        }
    }

    fn write_renewals(&mut self, now: Timestamp) -> bool {
        let due: Vec<InstanceId> = self
            .holder
            .links
            .iter()
            .filter(|(_, link)| link.renew_by.is_due(now))
            .map(|(&home, _)| home)
            .collect();
        for &home in &due {
            let renew = self.renewal(now, home);
            if home == self.me {
                self.on_renew(now, home, &renew);
            } else {
                self.outbox.push((home, Message::Renew(renew)));
            }
        }
        !due.is_empty()
    }

    fn renewal(&mut self, now: Timestamp, home: InstanceId) -> Renew {
        let servers = self.by_home.get(&home).map_or(&[][..], Vec::as_slice);
        let windows = self.holder.windows(servers);
        let wants = self.wants(now, servers);
        let Some(link) = self.holder.links.get_mut(&home) else {
            return Renew::default();
        };
        let sent_at = now.max(Timestamp::from_micros(link.sent_at.as_micros() + 1));
        link.sent_at = sent_at;
        link.sent_empty = windows.is_empty() && wants.is_empty();
        link.told = wants.iter().map(|w| (w.pool, w.need.waiting)).collect();
        link.renew_by = sent_at.after(self.options.renew_every);
        Renew {
            born: self.born,
            sent_at,
            seen: link.seen,
            windows,
            wants,
        }
    }

    /// What waits for pools of `servers`; work that an idle slot can take is no want.
    fn wants(&self, now: Timestamp, servers: &[ServerId]) -> Vec<Want> {
        let pools: BTreeSet<PoolId> = servers
            .iter()
            .map(|id| self.servers[id].server.pool)
            .collect();
        pools
            .into_iter()
            .filter_map(|pool| {
                let need = *self.needs.get(&pool)?;
                let wanted = need.is_some() && !self.has_usable(now, pool);
                wanted.then_some(Want { pool, need })
            })
            .collect()
    }

    fn write_grants(&mut self, now: Timestamp) -> bool {
        self.owed.extend(self.home.untold());
        let owed = std::mem::take(&mut self.owed);
        let mut to_self = false;
        for holder in owed {
            let Some(grant) = self.home.grant(now, holder) else {
                continue;
            };
            if holder == self.me {
                self.on_grant(now, holder, &grant);
                to_self = true;
            } else {
                self.outbox.push((holder, Message::Grant(grant)));
            }
        }
        to_self
    }
}
