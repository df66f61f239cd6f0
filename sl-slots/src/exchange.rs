//! The messages of holders and homes, those of this instance to itself included.

use std::collections::BTreeSet;

use sl_base::{InstanceId, PoolId, Timestamp};

use crate::{
    Message, Policy, Slots,
    message::{Grant, Renew},
};

/// Rounds of messages between this instance's own two sides in one operation.
const SELF_ROUNDS: usize = 4;

impl Slots {
    /// Takes a message of another instance.
    pub fn on_message(&mut self, now: Timestamp, from: InstanceId, message: &Message) {
        match message {
            Message::Renew(renew) => self.on_renew(now, from, renew),
            Message::Grant(grant) => self.on_grant(now, from, grant),
        }
        self.settle(now);
    }

    fn on_renew(&mut self, now: Timestamp, from: InstanceId, renew: &Renew) {
        let view = self.view();
        if self.home.on_renew(now, from, renew, view, self.options.lease) {
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
        if self.holder.on_grant(now, from, grant, servers, &self.options) {
            self.hasten(now, from, self.options.urgent_gap);
        }
    }

    pub(crate) fn balance_all(&mut self, now: Timestamp) {
        let pools: BTreeSet<PoolId> = self.home.servers.values().map(|h| h.pool).collect();
        for pool in pools {
            let (servers, me) = (&self.servers, self.me);
            let own = self.needs.get(&pool).copied();
            let elsewhere = self.elsewhere.get(&pool);
            let least = |holder| {
                let need = if holder == me { own } else { elsewhere?.get(&holder).map(|e| e.need) };
                need.filter(|need| need.is_some()).map(|need| need.least)
            };
            let speed = |server| servers.get(&server).map_or(0, |k| k.speed.expected());
            self.home.balance(now, pool, speed, least);
        }
    }

    /// Takes the messages that are to be sent, all of one peer's in one envelope.
    pub fn take_messages(&mut self, now: Timestamp) -> Vec<(InstanceId, Message)> {
        self.settle(now);
        std::mem::take(&mut self.outbox)
    }

    /// Writes what is due, and passes what goes to this instance itself on at once.
    pub(crate) fn settle(&mut self, now: Timestamp) {
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
        let view = self.view();
        let Some(link) = self.holder.links.get_mut(&home) else {
            return Renew::default();
        };
        let sent_at = now.max(Timestamp::from_micros(link.sent_at.as_micros() + 1));
        link.sent_at = sent_at;
        link.sent_empty = windows.is_empty() && wants.is_empty();
        link.told = wants.iter().map(|w| (w.pool, w.need.waiting)).collect();
        link.renew_by = sent_at.after(self.options.renew_every);
        Renew { born: self.born, sent_at, seen: link.seen, view, windows, wants }
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
