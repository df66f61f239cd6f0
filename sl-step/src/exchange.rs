//! Talking with peers: what goes out each period, and where what comes in belongs.

use std::sync::Arc;

use sl_base::{Incarnation, InstanceId, Timestamp, listing::Listing};
use sl_member::Output;

use crate::{Effect, Message, State};

impl State {
    /// Makes the seeds known before the platform has answered; the list comes later.
    pub(crate) fn greet_seeds(&mut self, now: Timestamp) {
        if self.options.seeds.is_empty() {
            return;
        }
        let instances = self.options.seeds.clone();
        let seeds = Listing { version: 0, instances, servers: Vec::new() };
        self.members.on_listing(now, &seeds);
    }

    pub(crate) fn exchange(&mut self, now: Timestamp) {
        if !self.exchange_at.is_due(now) {
            return;
        }
        self.exchange_at = now.after(self.options.exchange_period);
        let strikes = self.strikes.reports(now);
        let running = self.running();
        let peers: Vec<_> = self.members.peers().collect();
        for (peer, address) in peers {
            self.say_at(peer, address, Message::Running(running));
            if let Some(report) = self.fair.report(now, peer) {
                self.say_at(peer, address, Message::Shares(report));
            }
            if !strikes.is_empty() {
                self.say_at(peer, address, Message::Strikes(strikes.clone()));
            }
        }
    }

    pub(crate) fn hear(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        incarnation: Incarnation,
        message: Message,
    ) {
        match message {
            Message::Running(running) => self.compare(now, from, running),
            Message::Wanted(running) => self.hand_out(from, running),
            Message::Head(head) => self.consider(now, head, Some(from)),
            Message::PagesWanted(wanted) => self.hand_out_pages(from, &wanted),
            Message::Pages(texts) => self.take_pages(now, &texts),
            Message::Listing(listing) => self.listed(now, listing),
            Message::Shares(report) => {
                self.fair.on_report(now, from, &report);
                self.moved.extend(self.fair.pools());
            }
            Message::Slots(message) => {
                self.slots.on_message(now, from, &message);
                self.moved.extend(self.fair.pools());
            }
            Message::Claims(message) => self.claims.on_message(now, from, message),
            Message::Strikes(reports) => {
                for report in &reports {
                    self.strikes.on_report(now, report);
                }
                self.refuse_barred(now);
            }
            Message::Members(message) => {
                self.members.on_message(now, from, incarnation, message);
            }
        }
    }

    /// Carries out what the members ask for, and tells the areas who is there.
    pub(crate) fn settle_members(&mut self, now: Timestamp) {
        let mut changed = false;
        for output in self.members.take() {
            match output {
                Output::Send { to, address, message } => {
                    self.say_at(to, address, Message::Members(message));
                }
                Output::Changed { member, status } => {
                    changed = true;
                    let name = self.instance_name(member);
                    let status = status.map_or("forgotten".to_owned(), |it| it.to_string());
                    self.note("member changed", format_args!("{name}: {status}"));
                }
            }
        }
        if changed {
            self.tell_members(now);
        }
    }

    pub(crate) fn tell_members(&mut self, now: Timestamp) {
        let peers: Vec<InstanceId> = self.members.peers().map(|(id, _)| id).collect();
        let mut alive = self.members.alive();
        if alive.is_empty() {
            // All are leaving: what waits is still to be served by somebody's slots.
            alive = peers.clone();
            alive.push(self.me);
        }
        self.slots.set_members(now, &alive);
        self.claims.set_members(alive);
        self.fair.set_members(now, &peers);
        self.moved.extend(self.fair.pools());
    }

    pub(crate) fn instance_name(&self, id: InstanceId) -> String {
        let listed = &self.listing.instances;
        let known = listed.iter().find(|it| InstanceId::of(&it.name) == id);
        known.map_or_else(|| id.to_string(), |it| it.name.clone())
    }

    /// Whether this instance is among the first `count` in line for a role of the fleet.
    pub(crate) fn is_in_line(&self, role: u64, count: usize) -> bool {
        sl_base::hash::line(role, self.members.alive(), count).contains(&self.me)
    }

    pub(crate) fn hand_listing(&mut self, to: InstanceId) {
        let listing = Arc::clone(&self.listing);
        self.say(to, Message::Listing(listing));
    }

    /// Carries out what the claims ask for and decided.
    pub(crate) fn settle_claims(&mut self, now: Timestamp) {
        for output in self.claims.take() {
            match output {
                sl_claim::Output::Call { id, call, answer_by } => {
                    self.effects.push(Effect::Call { id, call, answer_by });
                }
                sl_claim::Output::Send { to, message } => {
                    self.say(to, Message::Claims(message));
                }
                sl_claim::Output::Decided { request, decision } => {
                    self.claim_decided(now, request, decision);
                }
                sl_claim::Output::Settled { .. } => {}
            }
        }
    }
}
