//! Probing: who is asked whether it is there, and what silence leads to.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::seq::SliceRandom;
use sl_base::{InstanceId, Timestamp};

use super::{Members, Output};
use crate::{
    Message, Status,
    member::{Member, Probe},
};

impl Members {
    /// After a standstill of this process, silence proves nothing.
    pub(super) fn forgive(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.probe = Probe::Idle;
            if member.status == Status::Suspect {
                member.until = now.after(self.options.suspect_for);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        let due: Vec<InstanceId> = self
            .members
            .iter()
            .filter(|(_, m)| m.until.min(m.probe.due()).is_due(now))
            .map(|(&id, _)| id)
            .collect();
        for id in due {
            self.expire_one(now, id);
        }
    }

    pub(super) fn expire_one(&mut self, now: Timestamp, id: InstanceId) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        match (member.status, member.probe) {
            (Status::Alive, Probe::Direct { .. }) => self.probe_indirectly(now, id),
            (Status::Alive, Probe::Indirect { .. }) => self.hold_for(now, id, Status::Suspect),
            (Status::Suspect, _) if member.until.is_due(now) => {
                self.hold_for(now, id, Status::Dead);
            }
            (Status::Dead, _) if member.until.is_due(now) => {
                self.members.remove(&id);
                self.news.remove(&id);
                self.changed(id);
            }
            _ => member.probe = Probe::Idle,
        }
    }

    pub(super) fn hold_for(&mut self, now: Timestamp, id: InstanceId, status: Status) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        Self::hold(&self.options, now, member, status);
        let (address, held) = (member.address, member.change(id));
        self.spread(id);
        self.changed(id);
        if status == Status::Suspect {
            self.ping(id, address, Some(held));
        }
        self.hurry(id);
    }

    pub(super) fn probe(&mut self, now: Timestamp) {
        if let Some(id) = self.next_in_round(false) {
            let until = now.after(self.options.direct_wait);
            if let Some(member) = self.members.get_mut(&id)
                && member.status == Status::Alive
                && member.probe == Probe::Idle
            {
                member.probe = Probe::Direct { until };
            }
            self.ping_with_held(id);
        }
        if let Some(id) = self.next_in_round(true) {
            self.ping_with_held(id);
        }
    }

    /// The next in a shuffled round, so that everyone has its turn within a round.
    pub(super) fn next_in_round(&mut self, dead: bool) -> Option<InstanceId> {
        let is_wanted = |m: &Member| m.is_dead() == dead && (!dead || m.listed);
        let mut round = std::mem::take(if dead { &mut self.dead_round } else { &mut self.round });
        let mut next = pop_wanted(&mut round, &self.members, is_wanted);
        if next.is_none() {
            let wanted = self.members.iter().filter(|(_, m)| is_wanted(m));
            round = wanted.map(|(&id, _)| id).collect();
            round.shuffle(&mut self.rng);
            next = round.pop();
        }
        *(if dead { &mut self.dead_round } else { &mut self.round }) = round;
        next
    }

    pub(super) fn probe_indirectly(&mut self, now: Timestamp, id: InstanceId) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if self.rounds_left == 0 {
            let until = self.probe_at.max(now.after(self.options.direct_wait));
            member.probe = Probe::Direct { until };
            return;
        }
        self.rounds_left -= 1;
        let until = now.after(self.options.indirect_wait);
        member.probe = Probe::Indirect { until };
        let (target, target_address) = (id, member.address);
        for (to, address) in self.some_peers(id) {
            let message = Message::ProbeFor { target, address: target_address };
            self.out.push(Output::Send { to, address, message });
        }
        self.ping_with_held(id);
    }

    pub(super) fn probe_for(
        &mut self,
        now: Timestamp,
        asker: InstanceId,
        target: InstanceId,
        address: SocketAddr,
    ) {
        let is_known = self.members.contains_key(&target);
        if !is_known || self.asked.len() >= self.options.max_members {
            return;
        }
        let until = now.after(self.options.indirect_wait);
        self.asked.insert((target, asker), until);
        self.ping(target, address, None);
    }

    pub(super) fn answer_askers(&mut self, now: Timestamp, target: InstanceId) {
        let ends = (target, InstanceId(u32::MAX));
        let askers: Vec<InstanceId> = self
            .asked
            .range((target, InstanceId(0))..=ends)
            .filter(|(_, until)| !until.is_due(now))
            .map(|(&(_, asker), _)| asker)
            .collect();
        for asker in askers {
            self.asked.remove(&(target, asker));
            if let Some(address) = self.address(asker) {
                self.out.push(Output::Send {
                    to: asker,
                    address,
                    message: Message::Reached { target },
                });
            }
        }
    }

    pub(super) fn on_reached(&mut self, target: InstanceId) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        // A suspicion that stands is for the member itself to object to.
        member.probe = Probe::Idle;
    }
}

fn pop_wanted(
    round: &mut Vec<InstanceId>,
    members: &BTreeMap<InstanceId, Member>,
    is_wanted: impl Fn(&Member) -> bool,
) -> Option<InstanceId> {
    while let Some(id) = round.pop() {
        if members.get(&id).is_some_and(&is_wanted) {
            return Some(id);
        }
    }
    None
}
