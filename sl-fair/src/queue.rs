//! Requests that wait on this instance, bounded per team.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{Millis, PoolId, RequestId, TeamId, Timestamp};

use crate::Error;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub request: RequestId,
    /// The pool that is to run it.
    pub pool: PoolId,
    /// Whose it is.
    pub team: TeamId,
    /// The order of work within the team: lower goes first.
    pub order: u8,
    /// The body's size in bytes.
    pub bytes: u64,
    /// The cost to be charged at dispatch, in the route's cost unit.
    pub hint: u64,
    /// Since when it waits.
    pub since: Timestamp,
    /// Until when it may wait.
    pub expires: Timestamp,
}

/// What one team may have waiting on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests.
    pub requests: u32,
    /// Bytes of bodies.
    pub bytes: u64,
}

/// All that waits here.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    next: u64,
    places: BTreeMap<RequestId, (u64, Item)>,
    lines: BTreeMap<(PoolId, TeamId), Line>,
    expiry: BTreeSet<(Timestamp, RequestId)>,
    usage: BTreeMap<TeamId, Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    requests: u32,
    bytes: u64,
}

/// One team's requests for one pool.
#[derive(Debug, Default)]
struct Line {
    by_order: BTreeSet<(u8, u64, RequestId)>,
    by_age: BTreeSet<(u64, RequestId)>,
    picks: u32,
}

/// When the oldest request of a team goes before its order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aging {
    /// How long a request waits before it may go first.
    pub wait: Millis,
    /// One pick in so many may go to the oldest.
    pub every: u32,
}

impl Queues {
    /// Whether `item` fits within `limits`.
    pub fn admit(&self, item: &Item, limits: Limits) -> Result<(), Error> {
        let (requests, bytes) =
            self.usage.get(&item.team).map_or((0, 0), |usage| (usage.requests, usage.bytes));
        if requests >= limits.requests {
            return Err(Error::QueueFull { max: limits.requests });
        }
        if bytes.saturating_add(item.bytes) > limits.bytes {
            return Err(Error::QueueBytesFull { max: limits.bytes });
        }
        Ok(())
    }

    /// Adds `item`, or does nothing where the request waits already.
    pub fn push(&mut self, item: Item) {
        if self.places.contains_key(&item.request) {
            return;
        }
        let seq = self.next;
        self.next += 1;
        let line = self.lines.entry((item.pool, item.team)).or_default();
        line.by_order.insert((item.order, seq, item.request));
        line.by_age.insert((seq, item.request));
        self.expiry.insert((item.expires, item.request));
        let usage = self.usage.entry(item.team).or_default();
        usage.requests += 1;
        usage.bytes += item.bytes;
        self.places.insert(item.request, (seq, item));
    }

    /// Takes `request` out.
    pub fn remove(&mut self, request: RequestId) -> Option<Item> {
        let (seq, item) = self.places.remove(&request)?;
        self.expiry.remove(&(item.expires, request));
        if let Some(line) = self.lines.get_mut(&(item.pool, item.team)) {
            line.by_order.remove(&(item.order, seq, request));
            line.by_age.remove(&(seq, request));
            if line.by_age.is_empty() {
                self.lines.remove(&(item.pool, item.team));
            }
        }
        if let Some(usage) = self.usage.get_mut(&item.team) {
            usage.requests -= 1;
            usage.bytes -= item.bytes;
            if usage.requests == 0 {
                self.usage.remove(&item.team);
            }
        }
        Some(item)
    }

    /// The request of the team that goes next.
    pub fn head(
        &self,
        now: Timestamp,
        pool: PoolId,
        team: TeamId,
        aging: Aging,
    ) -> Option<RequestId> {
        let line = self.lines.get(&(pool, team))?;
        let &(_, oldest) = line.by_age.first()?;
        let &(_, _, first) = line.by_order.first()?;
        let aged = self.places[&oldest].1.since.after(aging.wait).is_due(now);
        let turn = line.picks % aging.every.max(1) == 0;
        Some(if aged && turn { oldest } else { first })
    }

    /// Takes out the request that [`Self::head`] names.
    pub fn pop(
        &mut self,
        now: Timestamp,
        pool: PoolId,
        team: TeamId,
        aging: Aging,
    ) -> Option<Item> {
        let request = self.head(now, pool, team, aging)?;
        if let Some(line) = self.lines.get_mut(&(pool, team)) {
            line.picks = line.picks.wrapping_add(1);
        }
        self.remove(request)
    }

    /// Since when the team's oldest request waits.
    pub fn oldest(&self, pool: PoolId, team: TeamId) -> Option<Timestamp> {
        let &(_, oldest) = self.lines.get(&(pool, team))?.by_age.first()?;
        Some(self.places[&oldest].1.since)
    }

    /// How many requests of the team wait for the pool.
    pub fn waiting(&self, pool: PoolId, team: TeamId) -> u32 {
        self.lines.get(&(pool, team)).map_or(0, |line| line.by_age.len() as u32)
    }

    /// Takes out one request whose time to wait is over.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<Item> {
        let &(expires, request) = self.expiry.first()?;
        if !expires.is_due(now) {
            return None;
        }
        self.remove(request)
    }

    /// When the next request's time to wait is over.
    pub fn due(&self) -> Timestamp {
        self.expiry.first().map_or(Timestamp::NEVER, |&(at, _)| at)
    }

    /// How many requests wait in all.
    pub fn len(&self) -> usize {
        self.places.len()
    }
}
