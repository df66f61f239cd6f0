//! Crashes of servers: which attempts were lost, what they had in common, and what is barred for it.

use std::{collections::BTreeSet, sync::Arc};

use sl_base::{Millis, Timestamp};

use super::State;
use crate::{
    Arrival, Decision, Effect, Fault, Prompt, ServerKey,
    crash_causes::{Cause, Proof, Reaction},
    crash_detector::{Crash, Loss, LossPhase, LostRequest},
    crash_record::CrashRecord,
    effect::{BarDecision, BarSource, ServerCrash},
    note::{Bar, Note},
    request::InFlightRequest,
};

/// Statuses of responses that prove that the server ran the request to its end.
const SUCCESS_STATUS: std::ops::Range<u16> = 200..300;

/// The shortest time between two announcements of a bar.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(500);

/// The random delay of an announcement is drawn from at least this span.
const ANNOUNCEMENT_SPREAD_MIN: Millis = Millis(1_000);

/// The span of the random delay for each peer; about the time that a note takes.
const ANNOUNCEMENT_SPREAD_PER_PEER: Millis = Millis(20);

impl State {
    /// Records how an attempt failed, if the connection to the server was lost or refused.
    pub(super) fn record_loss(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        fault: Fault,
    ) {
        let Some(current) = in_flight.current else {
            return;
        };
        let server = current.server;
        if fault.is_unconnected() {
            self.crash_detector.record_unreachable(server);
        }
        let Some(phase) = LossPhase::of(now, fault, current.response_started_at) else {
            return;
        };
        let (phase, parts) = suspect_parts(phase, in_flight.arrival.prompt.as_ref());
        if phase == LossPhase::Running {
            self.record_served(now, causes(&in_flight.arrival).collect(), Proof::Running);
        }
        let request = self.lost_request(in_flight);
        let loss = Loss { attempt: current.key, phase, request, parts, is_own: true };
        let attempt = current.key.attempt;
        let parts = loss.parts.clone();
        let note = Note::AttemptLost { server, attempt, phase, request, parts };
        self.queue_note(note.clone());
        self.repeat_note(note);
        self.crash_detector.record_loss(now, server, loss);
    }

    fn lost_request(&self, in_flight: &InFlightRequest) -> LostRequest {
        let fingerprint = in_flight.arrival.fingerprint;
        let earlier_attempts = in_flight.attempts.saturating_sub(1);
        let crashes_before = self.crash_causes.crashes_under(fingerprint).max(earlier_attempts);
        LostRequest { fingerprint, crashes_before }
    }

    /// Handles the crashes that have become certain by now.
    pub(super) fn confirm_crashes(&mut self, now: Timestamp) {
        for crash in self.crash_detector.take_confirmed(now) {
            self.log_crash(&crash);
            if let Some(server) = self.servers.get_mut(&crash.run) {
                server.may_have_restarted |= crash.was_unreachable;
                self.on_may_have_restarted(crash.run);
            }
            self.record_survivors(now);
            let announce_at = now.after(self.draw_announcement_delay());
            for bar in self.crash_causes.record_crash(now, &crash, announce_at) {
                self.log_bar(&bar, BarSource::OwnCount);
                // The peers may have missed notes of the crashes, and learn of the bar at once.
                if crash.is_own {
                    self.queue_note(Note::Barred(bar));
                }
            }
        }
    }

    /// Whether requests like this one crash servers.
    pub(super) fn is_barred(&self, now: Timestamp, arrival: &Arrival) -> bool {
        self.crash_causes.is_barred(now, causes(arrival))
    }

    /// Whether a barred request is sent once nevertheless, by one instance for the whole fleet. A
    /// sound request that was barred shows so by completing.
    pub(super) fn try_probe(&mut self, now: Timestamp, arrival: &Arrival) -> bool {
        let parts = causes(arrival).filter(|it| matches!(it, Cause::Part(_)));
        !self.crash_causes.is_barred(now, parts)
            && self.is_responsible_for(arrival.fingerprint)
            && self.crash_causes.try_probe(now, arrival.fingerprint)
    }

    /// Clears a request that completed, and the parts of its prompt.
    pub(super) fn record_completed(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        status: u16,
    ) {
        if SUCCESS_STATUS.contains(&status) && !self.crash_causes.is_empty() {
            self.record_served(now, causes(&in_flight.arrival).collect(), Proof::Completed);
        }
    }

    /// Clears the requests that have been running for longer than any that crashes its engine, and
    /// the parts of their prompts.
    pub(super) fn record_survivors(&mut self, now: Timestamp) {
        if self.crash_causes.is_empty() {
            return;
        }
        let survivors = self.requests.values().filter(|it| it.has_survived(now));
        let survivors = survivors.filter(|it| it.arrival.prompt.is_some());
        let served = survivors.flat_map(|it| causes(&it.arrival)).collect();
        self.record_served(now, served, Proof::Running);
    }

    fn record_served(&mut self, now: Timestamp, mut causes: BTreeSet<Cause>, proof: Proof) {
        causes.retain(|it| self.clear_served(now, *it, proof, true));
        if !causes.is_empty() {
            let causes = causes.into_iter().collect();
            self.queue_note(Note::CausesServed { causes, is_complete: proof == Proof::Completed });
        }
    }

    pub(super) fn on_causes_served(&mut self, now: Timestamp, causes: &[Cause], is_complete: bool) {
        let proof = if is_complete { Proof::Completed } else { Proof::Running };
        for &cause in causes {
            self.clear_served(now, cause, proof, false);
        }
    }

    /// Clears a cause with which a server survived an attempt. Returns whether there was something
    /// to clear.
    fn clear_served(&mut self, now: Timestamp, cause: Cause, proof: Proof, is_own: bool) -> bool {
        let was_barred = self.crash_causes.is_barred(now, [cause]);
        let is_cleared = self.crash_causes.record_served(now, cause, proof, is_own);
        if was_barred && is_cleared {
            self.effects.push(Effect::Log(Decision::BarCleared { cause }));
        }
        is_cleared
    }

    pub(super) fn on_bar(&mut self, now: Timestamp, bar: Bar) {
        let announce_at = now.after(ANNOUNCEMENT_INTERVAL).after(self.draw_announcement_delay());
        match self.crash_causes.apply(now, bar, announce_at) {
            Reaction::Applied => self.log_bar(&bar, BarSource::Peer),
            Reaction::Known => {}
            Reaction::Contradicted => {
                let causes = vec![bar.cause];
                self.queue_note(Note::CausesServed { causes, is_complete: true });
            }
        }
    }

    /// Announces the bars to the peers, unless one of them has just done so. Peers that have
    /// started since, or missed a note, learn of a bar in this way.
    pub(super) fn announce_bars(&mut self, now: Timestamp) {
        if self.crash_causes.is_empty() {
            return;
        }
        let next_at = now.after(ANNOUNCEMENT_INTERVAL).after(self.draw_announcement_delay());
        for bar in self.crash_causes.take_announcements(now, || next_at) {
            self.queue_note(Note::Barred(bar));
        }
    }

    /// A random delay, so that one instance or a few announce a bar and not all. The more peers
    /// there are, the further the delays are apart.
    fn draw_announcement_delay(&mut self) -> Millis {
        let spread = ANNOUNCEMENT_SPREAD_PER_PEER.0 * self.peers.len() as u64;
        self.draw_delay(Millis(spread.max(ANNOUNCEMENT_SPREAD_MIN.0)))
    }

    /// Applies the crash record that the store has.
    pub(super) fn on_crash_record(&mut self, now: Timestamp, record: Option<CrashRecord>) {
        for (&cause, kept) in record.iter().flat_map(|it| &it.causes) {
            let announce_at = now.after(self.draw_announcement_delay());
            let reaction = self.crash_causes.apply_kept(now, cause, kept, announce_at);
            if reaction == Reaction::Applied {
                let crashes = u32::try_from(kept.runs.len()).unwrap_or(u32::MAX);
                self.log_bar_decision(BarDecision { cause, crashes, source: BarSource::Store });
            }
        }
        for cause in self.stored_crashes.replace(record) {
            self.clear_served(now, cause, Proof::Completed, false);
        }
    }

    /// The crash record that the store should have; `None` if it has that.
    pub fn wanted_crash_record(&self, now: Timestamp) -> Option<CrashRecord> {
        let has_ended =
            |run: ServerKey| !self.servers.contains_key(&run) || self.stored_crashes.has_run(run);
        let known = self.crash_causes.record(now, self.stored_crashes.store_era, has_ended);
        self.stored_crashes.wanted(known)
    }

    fn log_bar(&mut self, bar: &Bar, source: BarSource) {
        let Bar { cause, crashes, .. } = *bar;
        self.log_bar_decision(BarDecision { cause, crashes, source });
    }

    fn log_bar_decision(&mut self, decision: BarDecision) {
        self.effects.push(Effect::Log(Decision::Barred(decision)));
    }

    /// Logs a crash on the instances that lost an attempt by it.
    fn log_crash(&mut self, crash: &Crash) {
        if !crash.is_own {
            return;
        }
        let parts = crash.suspects.iter().flat_map(|it| &it.parts).copied();
        let parts: BTreeSet<u64> = parts.collect();
        let requests: BTreeSet<u64> = crash.suspects.iter().map(|it| it.fingerprint).collect();
        self.effects.push(Effect::Log(Decision::ServerCrashed(ServerCrash {
            server: self.server_name(crash.run),
            lost: crash.lost,
            suspects: crash.suspects.len(),
            requests: requests.into_iter().collect(),
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

/// The phase of a lost attempt, and the prompt parts that it makes suspect.
fn suspect_parts(phase: LossPhase, prompt: Option<&Prompt>) -> (LossPhase, Vec<u64>) {
    match (phase, prompt) {
        // Only an engine shows by its events that it goes on.
        (LossPhase::Running, None) => (LossPhase::JustStarted, Vec::new()),
        (LossPhase::Running, Some(_)) | (_, None) => (phase, Vec::new()),
        (_, Some(prompt)) => (phase, prompt.shared_parts().iter().map(|it| it.key).collect()),
    }
}

/// What a request may be barred for: itself, or a part of its prompt that others share.
fn causes(arrival: &Arrival) -> impl Iterator<Item = Cause> {
    let parts = arrival.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
    let parts = parts.iter().map(|it| Cause::Part(it.key));
    parts.chain([Cause::Request(arrival.fingerprint)])
}
