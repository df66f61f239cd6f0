//! What servers announce in their responses, and what a restore of the platform's store leaves
//! known.

use sl_base::{Millis, Timestamp};

use super::State;
use crate::{Decision, Effect, ServerKey, ServerNotice, note::Note};

/// Longest time for which a server may ask an instance to send nothing.
const PAUSE_MAX: Millis = Millis(3_600_000);

impl State {
    pub(super) fn on_server_notice(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        notice: ServerNotice,
    ) {
        match notice {
            ServerNotice::Draining => self.on_drain_announced(now, server),
            ServerNotice::Pause { until } => self.on_pause_requested(now, server, until),
            ServerNotice::Limit { per_second } => {
                self.on_limit_named(now, server, per_second, false);
            }
            ServerNotice::NoLimit { sent_at } => self.on_no_limit(server, sent_at),
            ServerNotice::Cold { until } => self.mark_cold(server, until),
        }
    }

    fn on_drain_announced(&mut self, now: Timestamp, server: ServerKey) {
        if !self.draining_runs.contains(server) {
            self.queue_note(Note::ServerDraining { server });
            self.mark_draining(now, server, false);
        }
    }

    /// Sends the run of a server no new requests from now on.
    pub(super) fn mark_draining(&mut self, now: Timestamp, server: ServerKey, from_peer: bool) {
        if !self.draining_runs.insert(now, server) {
            return;
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.has_announced_drain = true;
            let server = server.record.id.clone();
            self.effects.push(Effect::Log(Decision::DrainAnnounced { server, from_peer }));
        }
    }

    /// The request for a pause concerns this instance alone, so peers are not told.
    fn on_pause_requested(&mut self, now: Timestamp, server: ServerKey, until: Timestamp) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let until = until.min(now.after(PAUSE_MAX));
        if until <= server.paused_until {
            return;
        }
        server.paused_until = until;
        let for_ms = until.remaining(now).0;
        let server = server.record.id.clone();
        self.effects.push(Effect::Log(Decision::PauseRequested { server, for_ms }));
    }

    pub(super) fn on_store_restored(&mut self, now: Timestamp) {
        self.directory.begin_restore(now);
        self.evacuations.begin_restore(now);
        self.effects.push(Effect::Log(Decision::StoreRestored));
    }
}
