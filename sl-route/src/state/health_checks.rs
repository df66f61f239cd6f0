//! Requests for the health of servers while the platform's store is silent. See docs/design/cold-servers.md.
//!
//! A server says in its entry in the store that it has turned cold, and else only in its responses to health
//! requests. While nobody can read the entries, one instance asks each server, and tells its peers.

use sl_base::{Millis, Timestamp};

use super::State;
use crate::{Effect, ServerKey};

/// Servers are asked when fewer instances than usual have had answers of the store for this long. Others take over from
/// one that the store turns away within this time.
const STORE_SILENCE: Millis = Millis(500);

/// The pause between a server's response and the next request for its health.
const CHECK_PAUSE: Millis = Millis(250);

/// How often an instance considers a server that another one asks, or that cannot be asked now. To compare all instances
/// for each server is too much work for each tick.
const DUTY_INTERVAL: Millis = Millis(1_000);

/// Servers that one instance asks in a tick at most: an instance that hears of no peer would ask all.
const CHECKS_PER_TICK_MAX: usize = 32;

impl State {
    /// Asks the servers that may turn cold for their health, if the store cannot say it.
    pub(super) fn check_health(&mut self, now: Timestamp) {
        if !self.store_followed_at.after(STORE_SILENCE).is_due(now) {
            return;
        }
        let servers = self.servers.values();
        let due = servers.filter(|it| it.check_health_at.is_due(now) && it.may_turn_cold(now));
        let mut due: Vec<(Timestamp, ServerKey)> =
            due.map(|it| (it.check_health_at, it.key)).collect();
        due.sort_unstable();
        let (own, others): (Vec<ServerKey>, Vec<ServerKey>) =
            due.into_iter().map(|it| it.1).partition(|it| self.is_responsible_for(it.0));
        own.into_iter().take(CHECKS_PER_TICK_MAX).for_each(|it| self.ask_for_health(now, it));
        others.into_iter().for_each(|it| self.check_health_from(now.after(DUTY_INTERVAL), it));
    }

    fn ask_for_health(&mut self, now: Timestamp, key: ServerKey) {
        // If it cannot be asked now.
        self.check_health_from(now.after(DUTY_INTERVAL), key);
        let Some(server) = self.servers.get(&key).filter(|_| self.is_accepting(now, key)) else {
            return;
        };
        let service = self.document.services.get(&server.record.service);
        let Some(path) = service.and_then(|it| it.health_path.clone()) else {
            return;
        };
        let address = server.record.address;
        self.effects.push(Effect::CheckHealth { server: key, address, path });
        // Until it has responded, or has not in time.
        self.check_health_from(Timestamp::NEVER, key);
    }

    /// Schedules the next request for the health of a server.
    pub(super) fn on_health_checked(&mut self, now: Timestamp, key: ServerKey) {
        self.check_health_from(now.after(CHECK_PAUSE), key);
    }

    fn check_health_from(&mut self, from: Timestamp, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.check_health_at = from;
        }
    }
}
