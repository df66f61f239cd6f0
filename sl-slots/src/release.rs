//! Slots become idle, and go back where nothing waits for them.

use sl_base::{InstanceId, Millis, ServerId, Timestamp};

use crate::{Outcome, Slots, holder::Held};

impl Slots {
    pub(crate) fn hasten_home(&mut self, now: Timestamp, server: ServerId) {
        let Some(home) = self.servers.get(&server).and_then(|known| known.home) else {
            return;
        };
        self.hasten(now, home, self.options.urgent_gap);
    }

    /// Asks for a renewal no sooner than `gap` after the last; one to this instance itself
    /// costs nothing and needs no gap.
    pub(crate) fn hasten(&mut self, now: Timestamp, home: InstanceId, gap: Millis) {
        let link = self.holder.links.entry(home).or_default();
        if home == self.me {
            link.renew_by = now;
        } else {
            link.hasten(now, gap);
        }
    }

    /// Gives the slot of a request that ended back to this instance's own use.
    pub fn release(&mut self, now: Timestamp, server: ServerId, outcome: Outcome) {
        self.learn(now, server, outcome);
        let Some(held) = self.holder.held.get_mut(&server) else {
            return;
        };
        held.busy = held.busy.saturating_sub(1);
        held.used_at = now;
        let over = held.busy >= held.count;
        self.holder.forget_empty(server);
        if over {
            self.hasten_home(now, server);
        }
        self.settle(now);
    }

    fn learn(&mut self, now: Timestamp, server: ServerId, outcome: Outcome) {
        let Some(known) = self.servers.get_mut(&server) else {
            return;
        };
        match outcome {
            Outcome::Ran { units, micros } => known.speed.sample(units, micros),
            Outcome::Refused => known.avoid_until = now.after(self.options.avoid_for),
            Outcome::Other => {}
        }
    }

    /// Begins a planned stop: slots go back as soon as nothing waits for them.
    pub fn drain(&mut self, now: Timestamp) {
        self.draining = true;
        self.tick(now);
    }

    pub(crate) fn return_idle(&mut self, now: Timestamp) {
        let idle: Vec<(ServerId, u32)> = self
            .holder
            .held
            .iter()
            .filter(|&(id, held)| self.idle_until(*id, held).is_due(now))
            .map(|(&id, held)| (id, held.idle()))
            .collect();
        for (server, count) in idle {
            self.holder.lower(now, server, count);
            self.hasten_home(now, server);
        }
    }

    /// Until when idle slots of the server are kept.
    pub(crate) fn idle_until(&self, id: ServerId, held: &Held) -> Timestamp {
        let Some(known) = self.servers.get(&id) else {
            return Timestamp::NEVER;
        };
        let need = self.needs.get(&known.server.pool);
        if held.idle() == 0 || need.is_some_and(|need| need.is_some()) {
            return Timestamp::NEVER;
        }
        if self.draining || known.server.leaving {
            return Timestamp::default();
        }
        held.used_at.after(self.options.idle_keep)
    }
}
