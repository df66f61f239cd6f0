//! The platform's list of instances and backend servers.

use sl_base::{PoolId, ServerId, Timestamp, listing::Listing};

use crate::{Effect, State, state::Server};

impl State {
    pub(crate) fn read_list(&mut self, now: Timestamp) {
        if self.list_at.is_due(now) {
            self.list_at = now.after(self.options.list_period);
            self.effects.push(Effect::List {
                seen: self.list_version,
            });
        }
    }

    pub(crate) fn listed(&mut self, listing: &Listing) {
        if listing.version < self.list_version {
            return;
        }
        self.list_version = listing.version;
        let old = std::mem::take(&mut self.servers);
        for it in &listing.servers {
            let id = ServerId::of(&it.name);
            let server = Server {
                address: it.address,
                pool: PoolId::of(&it.pool),
                slots: it.slots,
                in_use: old.get(&id).map_or(0, |it| it.in_use),
                leaving: it.leaving,
            };
            self.servers.insert(id, server);
        }
    }
}
