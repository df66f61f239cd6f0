//! What this instance lends as home of servers.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{InstanceId, Millis, Need, PoolId, ServerId, Timestamp};

use crate::message::{Grant, Granted, Renew, Window};

/// One holder's window on one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lent {
    /// What the holder is to have.
    pub target: u32,
    /// The most that the holder may be using.
    pub most: u32,
    /// Busy slots by the last renewal.
    pub busy: u32,
    /// The number of the grant that first told `target`.
    pub told: u64,
    /// Whether `target` is still to be told.
    pub untold: bool,
    /// When the loan was found to have run out; its slots may still be busy.
    pub lapsed: Option<Timestamp>,
}

impl Lent {
    /// Sets the target and remembers that the holder must hear of it.
    pub fn aim(&mut self, target: u32) {
        if self.target != target {
            self.target = target;
            self.untold = true;
        }
        self.most = self.most.max(target);
    }

    fn on_window(&mut self, window: Window, seen: u64, room: u32) {
        let used = window.count.max(window.busy);
        self.busy = window.busy;
        if self.lapsed.take().is_some() {
            self.most = self.most.max(used);
            self.aim(window.count.min(room));
        } else if !self.untold && seen >= self.told {
            self.most = used;
            self.target = self.target.min(window.count);
        } else {
            self.most = self.most.max(used);
        }
    }
}

/// One server that this instance is home of.
#[derive(Debug)]
pub(crate) struct Homed {
    /// The server's pool.
    pub pool: PoolId,
    /// The server's slots; zero once it is leaving.
    pub slots: u32,
    /// Until when loans of an earlier home may run, so that nothing new is lent.
    pub adopt_until: Timestamp,
    /// Holders that may have loans of an earlier home and did not say yet; once all did,
    /// nothing is left to wait for.
    pub unheard: BTreeSet<InstanceId>,
    /// The loans by holder.
    pub loans: BTreeMap<InstanceId, Lent>,
}

impl Homed {
    /// Slots that nobody may be using.
    pub fn free(&self) -> u32 {
        let most: u32 = self.loans.values().map(|lent| lent.most).sum();
        self.slots.saturating_sub(most)
    }

    fn room_of(&self, holder: InstanceId) -> u32 {
        let others: u32 = self
            .loans
            .iter()
            .filter(|&(&other, _)| other != holder)
            .map(|(_, lent)| lent.most)
            .sum();
        self.slots.saturating_sub(others)
    }
}

/// What is known of a holder.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// When its life began, by its own clock.
    pub born: Timestamp,
    /// When its last renewal left, by its own clock.
    pub sent_at: Timestamp,
    /// When its loans run out.
    pub lapses_at: Timestamp,
    /// The number of the last grant to it.
    pub number: u64,
    /// What waits there.
    pub wants: BTreeMap<PoolId, Need>,
}

/// All servers that this instance is home of.
#[derive(Debug, Default)]
pub(crate) struct Home {
    pub servers: BTreeMap<ServerId, Homed>,
    pub contacts: BTreeMap<InstanceId, Contact>,
}

impl Home {
    /// Takes a holder's renewal; tells whether it was news.
    pub fn on_renew(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        renew: &Renew,
        view: u32,
        lease: Millis,
    ) -> bool {
        let contact = self.contacts.entry(from).or_default();
        if (renew.born, renew.sent_at) <= (contact.born, contact.sent_at) {
            return false;
        }
        contact.born = renew.born;
        contact.sent_at = renew.sent_at;
        contact.lapses_at = now.after(lease);
        contact.wants = renew.wants.iter().map(|w| (w.pool, w.need)).collect();
        let windows: BTreeMap<ServerId, Window> =
            renew.windows.iter().map(|w| (w.server, *w)).collect();
        for (&server, homed) in &mut self.servers {
            homed.on_window(server, from, windows.get(&server), renew.seen);
            if renew.view == view {
                homed.heard(now, from);
            }
        }
        true
    }

    /// Marks loans that ran out, and gives up on those that ran out as long ago as
    /// `lost_after` says of their holder.
    pub fn expire(&mut self, now: Timestamp, lost_after: impl Fn(InstanceId) -> Millis) {
        for (holder, contact) in &mut self.contacts {
            if !contact.lapses_at.is_due(now) {
                continue;
            }
            contact.wants.clear();
            for homed in self.servers.values_mut() {
                homed.lapse(now, *holder, lost_after(*holder));
            }
        }
        let servers = &self.servers;
        self.contacts.retain(|holder, contact| {
            let lends = |homed: &Homed| homed.loans.contains_key(holder);
            !contact.lapses_at.is_due(now) || servers.values().any(lends)
        });
    }

    /// When [`Self::expire`] has something to do, or a new home may lend.
    pub fn due(&self, now: Timestamp, lost_after: impl Fn(InstanceId) -> Millis) -> Timestamp {
        let mut due = Timestamp::NEVER;
        for homed in self.servers.values() {
            if !homed.adopt_until.is_due(now) {
                due = due.min(homed.adopt_until);
            }
            for (holder, lent) in &homed.loans {
                let at = match lent.lapsed {
                    Some(at) => at.after(lost_after(*holder)),
                    None => self.contacts.get(holder).map_or(now, |contact| contact.lapses_at),
                };
                due = due.min(at);
            }
        }
        due
    }

    /// The holder's windows, to be sent to it.
    pub fn grant(&mut self, now: Timestamp, to: InstanceId) -> Option<Grant> {
        let contact = self.contacts.get_mut(&to)?;
        contact.number = now.as_micros().max(contact.number + 1);
        let mut windows = Vec::new();
        for (&server, homed) in &mut self.servers {
            let Some(lent) = homed.loans.get_mut(&to) else {
                continue;
            };
            if std::mem::take(&mut lent.untold) {
                lent.told = contact.number;
            }
            if lent.target > 0 {
                windows.push(Granted { server, count: lent.target });
            }
        }
        Some(Grant { number: contact.number, echo: contact.sent_at, windows })
    }

    /// Holders that are still to be told of a changed window.
    pub fn untold(&self) -> Vec<InstanceId> {
        let mut holders: Vec<InstanceId> = self
            .servers
            .values()
            .flat_map(|homed| &homed.loans)
            .filter(|(_, lent)| lent.untold)
            .map(|(&holder, _)| holder)
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }

    /// Shares the free slots of the pool among the needy, the least served first, and
    /// calls idle slots back where there are too few. `speed` ranks servers; `least` gives
    /// a holder's least virtual time, where newer news than its renewal is at hand.
    pub fn balance(
        &mut self,
        now: Timestamp,
        pool: PoolId,
        speed: impl Fn(ServerId) -> u64,
        least: impl Fn(InstanceId) -> Option<u64>,
    ) {
        self.trim(pool);
        let mut needy = self.needy(pool, &least);
        while let Some((holder, short)) = least_served(&mut needy) {
            let Some(server) = self.free_server(now, pool, &speed) else {
                break;
            };
            if let Some(homed) = self.servers.get_mut(&server) {
                let lent = homed.loans.entry(holder).or_default();
                lent.aim(lent.target + 1);
                lent.most = lent.most.max(lent.target);
            }
            *short -= 1;
        }
        let short: u32 = needy.iter().map(|needy| needy.short).sum();
        self.recall(pool, short);
    }

    /// Lowers windows that exceed the server's slots, as after a change of the list.
    fn trim(&mut self, pool: PoolId) {
        for homed in self.servers.values_mut().filter(|h| h.pool == pool) {
            let mut over = homed
                .loans
                .values()
                .map(|lent| lent.target)
                .sum::<u32>()
                .saturating_sub(homed.slots);
            for lent in homed.loans.values_mut() {
                let by = over.min(lent.target);
                lent.aim(lent.target - by);
                over -= by;
            }
        }
    }

    fn needy(&self, pool: PoolId, least: &impl Fn(InstanceId) -> Option<u64>) -> Vec<Needy> {
        let mut needy = Vec::new();
        for (&holder, contact) in &self.contacts {
            let Some(need) = contact.wants.get(&pool).filter(|need| need.is_some()) else {
                continue;
            };
            let idle: u32 = self
                .pool(pool)
                .filter_map(|(_, homed)| homed.loans.get(&holder))
                .map(|lent| lent.target.saturating_sub(lent.busy))
                .sum();
            needy.push(Needy {
                least: least(holder).unwrap_or(need.least),
                holder,
                short: need.waiting.saturating_sub(idle),
            });
        }
        needy.sort_by_key(|needy| (needy.least, needy.holder));
        needy
    }

    fn free_server(
        &self,
        now: Timestamp,
        pool: PoolId,
        speed: &impl Fn(ServerId) -> u64,
    ) -> Option<ServerId> {
        self.pool(pool)
            .filter(|(_, homed)| homed.adopt_until.is_due(now) && homed.free() > 0)
            .map(|(server, _)| server)
            .max_by_key(|&server| (speed(server), server))
    }

    /// Calls back up to `short` idle slots from holders with nothing waiting.
    fn recall(&mut self, pool: PoolId, short: u32) {
        let underway: u32 = self
            .pool(pool)
            .flat_map(|(_, homed)| homed.loans.values())
            .filter(|lent| lent.lapsed.is_none())
            .map(|lent| lent.most.saturating_sub(lent.target.max(lent.busy)))
            .sum();
        let mut short = short.saturating_sub(underway);
        for homed in self.servers.values_mut().filter(|h| h.pool == pool) {
            for (holder, lent) in &mut homed.loans {
                let wants = self.contacts.get(holder).and_then(|contact| contact.wants.get(&pool));
                if wants.is_some_and(|need| need.is_some()) {
                    continue;
                }
                let by = short.min(lent.target.saturating_sub(lent.busy));
                lent.aim(lent.target - by);
                short -= by;
            }
        }
    }

    fn pool(&self, pool: PoolId) -> impl Iterator<Item = (ServerId, &Homed)> {
        self.servers
            .iter()
            .filter(move |(_, homed)| homed.pool == pool)
            .map(|(&server, homed)| (server, homed))
    }
}

impl Homed {
    fn on_window(
        &mut self,
        server: ServerId,
        from: InstanceId,
        window: Option<&Window>,
        seen: u64,
    ) {
        let room = self.room_of(from);
        let window = window.copied().unwrap_or(Window { server, count: 0, busy: 0 });
        if let Some(lent) = self.loans.get_mut(&from) {
            lent.on_window(window, seen, room);
            if lent.most == 0 && !lent.untold {
                self.loans.remove(&from);
            }
        } else if window.count > 0 || window.busy > 0 {
            let target = window.count.min(room);
            self.loans.insert(
                from,
                Lent {
                    target,
                    most: window.count.max(window.busy),
                    busy: window.busy,
                    untold: target != window.count,
                    ..Lent::default()
                },
            );
        }
    }

    fn heard(&mut self, now: Timestamp, from: InstanceId) {
        if self.unheard.remove(&from) && self.unheard.is_empty() {
            self.adopt_until = self.adopt_until.min(now);
        }
    }

    fn lapse(&mut self, now: Timestamp, holder: InstanceId, lost_after: Millis) {
        let Some(lent) = self.loans.get_mut(&holder) else {
            return;
        };
        let at = *lent.lapsed.get_or_insert(now);
        lent.target = 0;
        lent.untold = false;
        if at.after(lost_after).is_due(now) {
            self.loans.remove(&holder);
        }
    }
}

struct Needy {
    least: u64,
    holder: InstanceId,
    short: u32,
}

fn least_served(needy: &mut [Needy]) -> Option<(InstanceId, &mut u32)> {
    needy.iter_mut().find(|needy| needy.short > 0).map(|needy| (needy.holder, &mut needy.short))
}
