//! Crashes of servers: which attempts were lost, what they had in common, and which prompt parts
//! are barred for it.

use std::{collections::BTreeSet, sync::Arc};

use sl_base::{Millis, Timestamp};

use super::State;
use crate::{
    Arrival, Decision, Effect, Fault, Prompt, ServerKey,
    crash_detector::{Crash, Loss, LossPhase},
    effect::{PartBar, ServerCrash},
    note::{BarredPart, Note},
    part_crashes::{Proof, Reaction},
    request::InFlightRequest,
};

/// Statuses of responses that prove that the engine ran the request to its end.
const SUCCESS_STATUS: std::ops::Range<u16> = 200..300;

/// The shortest time between two announcements of a barred part.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(500);

/// The random delay of an announcement is drawn from at least this span.
const ANNOUNCEMENT_SPREAD_MIN: Millis = Millis(1_000);

/// The span of the random delay for each peer; about the time that a note takes.
const ANNOUNCEMENT_SPREAD_PER_PEER: Millis = Millis(20);

impl State {
    /// Counts a possible crash for the fingerprint of the request whose attempt failed.
    pub(super) fn record_request_loss(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        fault: Fault,
    ) {
        let Some(current) = in_flight.current else {
            return;
        };
        let is_loss = match in_flight.arrival.prompt {
            // An engine that crashes loses many requests, most of which it had begun.
            Some(_) => fault == Fault::ConnectionLost,
            None => LossPhase::of(now, fault, current.response_started_at).is_some(),
        };
        if is_loss {
            let (server, fingerprint) = (current.server, in_flight.arrival.fingerprint);
            self.queue_note(Note::ServerCrashed { fingerprint, server });
            self.record_crash(now, fingerprint, server);
        }
    }

    pub(super) fn record_crash(&mut self, now: Timestamp, fingerprint: u64, run: ServerKey) {
        if self.request_crashes.record_crash(now, fingerprint, run) {
            self.effects.push(Effect::Log(Decision::RequestBarred { fingerprint }));
        }
    }

    /// Clears a request that completed, here and at the peers, which heard of its crashes.
    pub(super) fn clear_request(&mut self, fingerprint: u64) {
        if self.request_crashes.clear(fingerprint) {
            self.queue_note(Note::RequestServed { fingerprint });
        }
    }

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
            self.record_survivors(now);
            let announce_at = now.after(self.draw_announcement_delay());
            for barred in self.part_crashes.record_crash(now, &crash, announce_at) {
                self.log_barred_part(&barred, false);
            }
        }
    }

    /// Whether requests like this one crash servers: by fingerprint or by a shared prompt part.
    pub(super) fn is_barred(&self, now: Timestamp, arrival: &Arrival) -> bool {
        let parts = arrival.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
        self.request_crashes.is_barred(now, arrival.fingerprint)
            || self.part_crashes.is_barred(now, parts.iter().map(|it| it.key))
    }

    /// Clears the prompt parts of a request that completed.
    pub(super) fn record_completed(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        status: u16,
    ) {
        if SUCCESS_STATUS.contains(&status)
            && let Some(prompt) = &in_flight.arrival.prompt
        {
            let parts = prompt.shared_parts().iter().map(|it| it.key).collect();
            self.record_served(now, parts, Proof::Completed);
        }
    }

    /// Clears the prompt parts of the requests that have been running for longer than any that
    /// crashes its engine.
    pub(super) fn record_survivors(&mut self, now: Timestamp) {
        if self.part_crashes.is_empty() {
            return;
        }
        let survivors = self.requests.values().filter(|it| it.has_survived(now));
        let prompts = survivors.filter_map(|it| it.arrival.prompt.as_ref());
        let parts = prompts.flat_map(Prompt::shared_parts).map(|it| it.key).collect();
        self.record_served(now, parts, Proof::Running);
    }

    fn record_served(&mut self, now: Timestamp, mut parts: BTreeSet<u64>, proof: Proof) {
        parts.retain(|it| self.part_crashes.record_served(now, *it, proof, true));
        if !parts.is_empty() {
            let parts = parts.into_iter().collect();
            self.queue_note(Note::PartsServed { parts, is_complete: proof == Proof::Completed });
        }
    }

    pub(super) fn on_parts_served(&mut self, now: Timestamp, parts: &[u64], is_complete: bool) {
        let proof = if is_complete { Proof::Completed } else { Proof::Running };
        for &part in parts {
            self.part_crashes.record_served(now, part, proof, false);
        }
    }

    pub(super) fn on_part_barred(&mut self, now: Timestamp, announcement: BarredPart) {
        let announce_at = now.after(ANNOUNCEMENT_INTERVAL).after(self.draw_announcement_delay());
        match self.part_crashes.apply(now, announcement, announce_at) {
            Reaction::Applied => self.log_barred_part(&announcement, true),
            Reaction::Known => {}
            Reaction::Contradicted => {
                let parts = vec![announcement.part];
                self.queue_note(Note::PartsServed { parts, is_complete: true });
            }
        }
    }

    /// Announces the barred parts to the peers, unless one of them has just done so. Peers that
    /// have started since, or missed a note, learn of a part in this way.
    pub(super) fn announce_barred_parts(&mut self, now: Timestamp) {
        if self.part_crashes.is_empty() {
            return;
        }
        let next_at = now.after(ANNOUNCEMENT_INTERVAL).after(self.draw_announcement_delay());
        for barred in self.part_crashes.take_announcements(now, || next_at) {
            self.queue_note(Note::PartBarred(barred));
        }
    }

    /// A random delay, so that one instance or a few announce a part and not all. The more peers
    /// there are, the further the delays are apart.
    fn draw_announcement_delay(&mut self) -> Millis {
        let spread = ANNOUNCEMENT_SPREAD_PER_PEER.0 * self.peers.len() as u64;
        self.draw_delay(Millis(spread.max(ANNOUNCEMENT_SPREAD_MIN.0)))
    }

    fn log_barred_part(&mut self, barred: &BarredPart, from_peer: bool) {
        let BarredPart { part, crashes, .. } = *barred;
        self.effects.push(Effect::Log(Decision::PartBarred(PartBar { part, crashes, from_peer })));
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
