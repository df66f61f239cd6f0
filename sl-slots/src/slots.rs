//! The state of one instance and its operations.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{InstanceId, Millis, Need, PoolId, ServerId, Timestamp};

use crate::{Message, Options, Policy, holder::Holder, home::Home, speed::Speed};

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
    pub(crate) options: Options,
    pub(crate) me: InstanceId,
    pub(crate) born: Timestamp,
    pub(crate) draining: bool,
    pub(crate) members: Vec<InstanceId>,
    /// Members that left, and until when their loans may run.
    pub(crate) gone: BTreeMap<InstanceId, Timestamp>,
    pub(crate) servers: BTreeMap<ServerId, Known>,
    pub(crate) by_home: BTreeMap<InstanceId, Vec<ServerId>>,
    pub(crate) by_pool: BTreeMap<PoolId, Vec<ServerId>>,
    /// The homes of each pool's servers.
    pub(crate) homes: BTreeMap<PoolId, BTreeSet<InstanceId>>,
    pub(crate) holder: Holder,
    pub(crate) home: Home,
    pub(crate) needs: BTreeMap<PoolId, Need>,
    pub(crate) elsewhere: BTreeMap<PoolId, BTreeMap<InstanceId, Elsewhere>>,
    pub(crate) owed: BTreeSet<InstanceId>,
    pub(crate) outbox: Vec<(InstanceId, Message)>,
}

/// A server, and what was seen of it.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) server: Server,
    pub(crate) home: Option<InstanceId>,
    pub(crate) speed: Speed,
    pub(crate) avoid_until: Timestamp,
}

impl Known {
    /// Whether the server may be sent new work.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        !self.server.leaving && self.avoid_until.is_due(now)
    }
}

/// Work that waits on another instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Elsewhere {
    pub(crate) need: Need,
    /// Slots that may still be given up for it.
    pub(crate) budget: u32,
    /// When the budget is filled again.
    pub(crate) refill_at: Timestamp,
}

impl Slots {
    /// The state of a life of `me` that begins at `now`.
    pub fn new(now: Timestamp, me: InstanceId, options: Options) -> Slots {
        Slots {
            options,
            me,
            born: now,
            draining: false,
            members: vec![me],
            gone: BTreeMap::new(),
            servers: BTreeMap::new(),
            by_home: BTreeMap::new(),
            by_pool: BTreeMap::new(),
            homes: BTreeMap::new(),
            holder: Holder::default(),
            home: Home::default(),
            needs: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            owed: BTreeSet::new(),
            outbox: Vec::new(),
        }
    }

    /// Lets time pass: renewals, leases that ran out, slots with nothing to do.
    pub fn tick(&mut self, now: Timestamp) {
        let lost_after = lost_after(&self.members, &self.options);
        self.home.expire(now, lost_after);
        self.return_idle(now);
        self.balance_all(now);
        self.settle(now);
    }

    /// When [`Self::tick`] has something to do.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        if self.options.policy != Policy::Lent {
            return Timestamp::NEVER;
        }
        let renew = self.holder.links.values().map(|link| link.renew_by).min();
        let idle = self.holder.held.iter().map(|(id, held)| self.idle_until(*id, held)).min();
        self.home
            .due(now, lost_after(&self.members, &self.options))
            .min(renew.unwrap_or(Timestamp::NEVER))
            .min(idle.unwrap_or(Timestamp::NEVER))
    }

    /// Whether no slot is in use.
    pub fn is_idle(&self) -> bool {
        self.in_use() == 0
    }

    /// Slots that are in use by this instance.
    pub fn in_use(&self) -> u32 {
        self.holder.held.values().map(|held| held.busy).sum()
    }

    /// A server that runs a request of this instance.
    pub fn any_busy(&self) -> Option<ServerId> {
        let busy = self.holder.held.iter().find(|(_, held)| held.busy > 0);
        busy.map(|(&server, _)| server)
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
        self.by_pool.get(&pool).into_iter().flatten().any(|id| !self.servers[id].server.leaving)
    }
}

/// How long a holder's slots count as busy after its lease. One that is no member any
/// more was found dead by several others, and a dead process uses no slot; one that is
/// only cut off at most makes a server queue its last requests.
fn lost_after(members: &[InstanceId], options: &Options) -> impl Fn(InstanceId) -> Millis {
    move |holder| if members.contains(&holder) { options.lost_after } else { Millis(0) }
}
