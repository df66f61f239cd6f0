//! The platform's list of instances and backend servers.

use std::sync::Arc;

use sl_base::{Millis, PoolId, ServerId, Timestamp, listing::Listing};
use sl_slots::Server;

use crate::{Effect, Message, State, message::Running, state::Stop};

/// Instances that read the list each period; the others hear of changes from them.
const READERS: usize = 3;
/// The key of the readers' role.
const READER_ROLE: u64 = 1;
/// Periods that pass at least between two reads by those who are not in line. With more
/// members than this, so many periods pass as there are members, so that all their reads
/// together stay below one a period, however large the fleet.
const REST_PERIODS_MIN: u64 = 5;

impl State {
    pub(crate) fn read_list(&mut self, now: Timestamp) {
        if !self.list_at.is_due(now) {
            return;
        }
        let period = self.options.list_period;
        // Who stops holds no role, and must still notice that the platform answers.
        let stops = self.stop != Stop::No;
        let first = self.listing.version == 0;
        let reads = first || stops || self.is_in_line(READER_ROLE, READERS);
        let periods = if reads { 1 } else { self.rest_periods() };
        self.list_at = now.after(Millis(period.0 * periods));
        self.effects.push(Effect::List { seen: self.listing.version });
    }

    /// Periods between two reads of something that peers bring news of.
    pub(crate) fn rest_periods(&self) -> u64 {
        let members = self.members.peers().count() as u64;
        members.max(REST_PERIODS_MIN)
    }

    pub(crate) fn listed(&mut self, now: Timestamp, listing: Arc<Listing>) {
        if listing.version <= self.listing.version {
            return;
        }
        self.members.on_listing(now, &listing);
        self.addresses =
            listing.servers.iter().map(|it| (ServerId::of(&it.name), it.address)).collect();
        let servers: Vec<Server> = listing
            .servers
            .iter()
            .map(|it| Server {
                id: ServerId::of(&it.name),
                pool: PoolId::of(&it.pool),
                slots: it.slots,
                leaving: it.leaving,
            })
            .collect();
        self.listing = listing;
        self.slots.set_servers(now, &servers);
        self.moved.extend(self.fair.pools());
        self.tell_running();
    }

    /// Tells everyone at once of something new, ahead of the next exchange.
    pub(crate) fn tell_running(&mut self) {
        let running = self.running();
        let peers: Vec<_> = self.members.peers().collect();
        for (peer, address) in peers {
            self.say_at(peer, address, Message::Running(running));
        }
    }

    /// Asks a peer that runs something newer for it.
    pub(crate) fn compare(&mut self, now: Timestamp, from: sl_base::InstanceId, theirs: Running) {
        let ours = self.running();
        let newer = theirs.revision > ours.revision || theirs.listing > ours.listing;
        if newer && self.spread.may_ask(now, theirs) {
            self.say(from, Message::Wanted(ours));
        }
    }
}
