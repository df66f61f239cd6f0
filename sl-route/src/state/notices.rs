//! What servers announce in their responses, and what a restore of the platform's store leaves
//! known.

use sl_base::{Millis, Timestamp};

use super::State;
use crate::{Decision, Effect, ServerKey, ServerNotice, note::Note};

/// Longest time for which a server may ask an instance to send nothing.
const BUSY_MAX: Millis = Millis(3_600_000);

impl State {
    pub(super) fn on_server_notice(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        notice: ServerNotice,
    ) {
        match notice {
            ServerNotice::Leaving => self.on_leaving(now, server),
            ServerNotice::Busy { until } => self.on_busy(now, server, until),
        }
    }

    fn on_leaving(&mut self, now: Timestamp, server: ServerKey) {
        if !self.withdrawn.contains(server) {
            self.queue_note(Note::ServerLeaving { server });
            self.withdraw(now, server, false);
        }
    }

    /// Sends the run of a server no new requests from now on.
    pub(super) fn withdraw(&mut self, now: Timestamp, server: ServerKey, from_peer: bool) {
        if !self.withdrawn.insert(now, server) {
            return;
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.is_leaving = true;
            let server = server.record.id.clone();
            self.effects.push(Effect::Log(Decision::ServerLeaving { server, from_peer }));
        }
    }

    /// The request for a pause concerns this instance alone, so peers are not told.
    fn on_busy(&mut self, now: Timestamp, server: ServerKey, until: Timestamp) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let until = until.min(now.after(BUSY_MAX));
        if until <= server.busy_until {
            return;
        }
        server.busy_until = until;
        let for_ms = until.remaining(now).0;
        let server = server.record.id.clone();
        self.effects.push(Effect::Log(Decision::ServerBusy { server, for_ms }));
    }

    pub(super) fn on_store_restored(&mut self, now: Timestamp) {
        self.directory.begin_restore(now);
        self.effects.push(Effect::Log(Decision::StoreRestored));
    }
}
