//! Crashes of servers: which attempts were lost, and what they had in common.

use std::{collections::BTreeSet, sync::Arc};

use sl_base::Timestamp;

use super::State;
use crate::{
    Decision, Effect, Fault, ServerKey,
    crash_detector::{Crash, Loss, LossPhase},
    effect::ServerCrash,
    note::Note,
    request::InFlightRequest,
};

impl State {
    /// Records how an attempt of a model request failed, if the connection to the engine was
    /// lost or refused.
    pub(super) fn record_engine_fault(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        fault: Fault,
    ) {
        let (Some(current), Some(prompt)) = (in_flight.current, &in_flight.arrival.prompt) else {
            return;
        };
        if fault == Fault::NotConnected {
            self.crash_detector.record_unreachable(current.server);
        }
        let Some(phase) = LossPhase::of(now, fault, current.response_started_at) else {
            return;
        };
        let parts: Vec<u64> = match phase {
            LossPhase::Running => Vec::new(),
            _ => prompt.shared_parts().iter().map(|it| it.key).collect(),
        };
        let server = current.server;
        self.queue_note(Note::AttemptLost { server, phase, parts: parts.clone() });
        self.crash_detector.record_loss(now, server, Loss { phase, parts, is_own: true });
    }

    /// Handles the crashes that have become certain by now.
    pub(super) fn confirm_crashes(&mut self, now: Timestamp) {
        for crash in self.crash_detector.take_confirmed(now) {
            self.log_crash(&crash);
        }
    }

    /// Logs a crash on the instances that lost an attempt by it.
    fn log_crash(&mut self, crash: &Crash) {
        if !crash.is_own {
            return;
        }
        let parts: BTreeSet<u64> = crash.suspects.iter().flatten().copied().collect();
        self.effects.push(Effect::Log(Decision::ServerCrashed(ServerCrash {
            server: self.server_name(crash.run),
            lost: crash.lost,
            suspects: crash.suspects.len(),
            parts: parts.into_iter().collect(),
        })));
    }

    /// The id of a server, or the key of its run if the server is no longer listed.
    fn server_name(&self, run: ServerKey) -> Arc<str> {
        match self.servers.get(&run) {
            Some(server) => server.record.id.clone(),
            None => run.to_string().into(),
        }
    }
}
