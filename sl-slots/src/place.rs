//! The list of members and servers, and the home of each server.

use std::collections::{BTreeMap, BTreeSet};

use sl_base::{InstanceId, Millis, ServerId, Timestamp, hash};

use crate::{Server, Slots, home::Homed, slots::Known, speed::Speed};

impl Slots {
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
        let until = now.after(self.options.lease);
        let gone = self.members.iter().filter(|it| !members.contains(it));
        self.gone.extend(gone.map(|&it| (it, until)));
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
        self.homes.clear();
        for (&id, known) in &mut self.servers {
            let home = hash::owner(id.0, self.members.iter().copied());
            if let Some(home) = home {
                self.by_home.entry(home).or_default().push(id);
                self.homes.entry(known.server.pool).or_default().insert(home);
            }
            self.by_pool.entry(known.server.pool).or_default().push(id);
            if known.home != home && self.holder.held.contains_key(&id) {
                self.holder.links.entry(home.unwrap_or(self.me)).or_default();
            }
            known.home = home;
        }
        self.take_homes(now);
        self.drop_unlisted();
        self.holder.settle_until = now.after(self.options.lease);
        self.hasten_all(now);
        self.settle(now);
    }

    fn take_homes(&mut self, now: Timestamp) {
        let mine: BTreeSet<ServerId> =
            self.by_home.get(&self.me).into_iter().flatten().copied().collect();
        self.home.servers.retain(|id, _| mine.contains(id));
        let unheard = self.may_hold(now);
        for id in mine {
            let server = self.servers[&id].server;
            let homed = self.home.servers.entry(id).or_insert_with(|| Homed {
                pool: server.pool,
                slots: 0,
                adopt_until: now.after(self.options.lease),
                unheard: unheard.clone(),
                loans: BTreeMap::new(),
            });
            homed.pool = server.pool;
            homed.slots = if server.leaving { 0 } else { server.slots };
        }
        self.balance_all(now);
    }

    /// Who may have a loan of an earlier home: all members, and those that left too lately
    /// for their loans to have run out; these will not say, and are waited for.
    fn may_hold(&mut self, now: Timestamp) -> BTreeSet<InstanceId> {
        self.gone.retain(|_, until| !until.is_due(now));
        let gone = self.gone.keys();
        self.members.iter().chain(gone).copied().collect()
    }

    /// Stands for the members that this instance sees. A renewal tells of a server's
    /// loans only where holder and home agree on who that home is.
    pub(crate) fn view(&self) -> u32 {
        let fold = |view, &it: &InstanceId| hash::weight(view, it.into());
        self.members.iter().fold(0, fold) as u32
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
}
