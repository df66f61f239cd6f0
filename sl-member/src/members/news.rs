//! News of members: what is believed, and how it is passed on.

use std::net::SocketAddr;

use sl_base::{InstanceId, Timestamp};

use super::{Members, Output};
use crate::{Change, Message, Status, member::Member};

impl Members {
    pub(super) fn apply(&mut self, now: Timestamp, change: &Change) {
        if change.member == self.me.id {
            self.object(change);
            return;
        }
        let Some(member) = self.members.get_mut(&change.member) else {
            self.join(now, change);
            return;
        };
        let is_newer = (change.life, change.status) > (member.life, member.status);
        let leaves = change.leaving && !member.leaving && change.life >= member.life;
        if !is_newer && !leaves {
            return;
        }
        if change.life.incarnation > member.life.incarnation {
            member.address = change.address;
            member.leaving = change.leaving;
        }
        member.leaving |= leaves;
        if is_newer {
            member.life = change.life;
            Self::hold(&self.options, now, member, change.status);
        }
        self.spread(change.member);
        self.changed(change.member);
        self.hurry(change.member);
    }

    /// Says that this instance is alive after all, in news that beat the suspicion.
    pub(super) fn object(&mut self, change: &Change) {
        let is_later_life = change.life.incarnation > self.me.incarnation;
        if change.status == Status::Alive || is_later_life {
            return;
        }
        if change.life >= self.life() {
            self.objections = change.life.objections.saturating_add(1);
            self.spread(self.me.id);
            self.hurry(self.me.id);
            return;
        }
        self.spread(self.me.id);
    }

    pub(super) fn join(&mut self, now: Timestamp, change: &Change) {
        let is_full = self.members.len() >= self.options.max_members;
        if change.status == Status::Dead || is_full {
            return;
        }
        let mut member = Member::new(change.address, change.life);
        member.leaving = change.leaving;
        Self::hold(&self.options, now, &mut member, change.status);
        self.members.insert(change.member, member);
        self.spread(change.member);
        self.changed(change.member);
    }

    pub(super) fn changed(&mut self, member: InstanceId) {
        let status = self.status(member);
        self.out.push(Output::Changed { member, status });
    }

    pub(super) fn spread(&mut self, member: InstanceId) {
        self.news.insert(member, self.gossip_times());
    }

    pub(super) fn gossip_times(&self) -> u32 {
        let fleet = self.members.len() + 2;
        self.options.gossip_factor * fleet.ilog2()
    }

    /// The changes that were passed on least go first.
    pub(super) fn next_news(&mut self, to: InstanceId) -> Vec<Change> {
        let mut ids: Vec<(u32, InstanceId)> = self
            .news
            .iter()
            .filter(|&(&id, _)| id != to)
            .map(|(&id, &times)| (times, id))
            .collect();
        ids.sort_unstable_by(|a, b| b.cmp(a));
        ids.truncate(self.options.changes_per_message);
        let mut changes = Vec::with_capacity(ids.len());
        for (times, id) in ids {
            changes.extend(self.change_of(id));
            if times > 1 {
                self.news.insert(id, times - 1);
            } else {
                self.news.remove(&id);
            }
        }
        changes
    }

    pub(super) fn change_of(&self, id: InstanceId) -> Option<Change> {
        if id != self.me.id {
            return self.members.get(&id).map(|m| m.change(id));
        }
        Some(Change {
            member: id,
            address: self.me.address,
            life: self.life(),
            status: Status::Alive,
            leaving: self.leaving,
        })
    }

    pub(super) fn ping_with_held(&mut self, id: InstanceId) {
        let Some(member) = self.members.get(&id) else {
            return;
        };
        let held = (member.status != Status::Alive).then(|| member.change(id));
        self.ping(id, member.address, held);
    }

    pub(super) fn ping(&mut self, to: InstanceId, address: SocketAddr, held: Option<Change>) {
        let mut changes: Vec<Change> = held.into_iter().collect();
        changes.extend(self.next_news(to));
        let message = Message::Ping { address: self.me.address, life: self.life(), changes };
        self.out.push(Output::Send { to, address, message });
    }

    /// Tells a few peers of a change of `member` at once; the probes tell the rest.
    pub(super) fn hurry(&mut self, member: InstanceId) {
        let Some(left) = self.pushes_left.checked_sub(1) else {
            return;
        };
        self.pushes_left = left;
        for (to, address) in self.some_peers(member) {
            self.ping(to, address, None);
        }
    }
}
