//! Servers that are cold: they have just started, or lost what they had warmed up, and bear few
//! requests for a while. See docs/design/cold-servers.md.

use rand::RngExt;
use sl_base::{Millis, ServerId, Timestamp};

use super::State;
use crate::{
    Arrival, Decision, Effect, Prompt, ServerKey,
    note::Note,
    warmup::{self, SendPlan},
};

/// How long after its start an instance sends nothing to cold servers: longer than the interval between
/// two of its requests, as it doesn't know when it last sent one.
const START_DELAY: Millis = Millis(2_000);

/// An instance that has heard neither of the store nor of a peer for this long sends nothing to
/// cold servers, as its list of instances may be outdated.
const CONTACT_TIMEOUT: Millis = Millis(2_000);

/// When a caller may try again whose request is refused because this instance has no contact.
const NO_CONTACT_DELAY: Millis = Millis(1_000);

/// The longest time for which an entry is on its way. One that arrives within this time after the
/// server was found cold by other means may have been written before, and does not end it.
const ENTRY_DELAY_MAX: Millis = Millis(1_000);

/// Peers are told of a server at once only if it is cold for so much longer than they know.
const COLD_CHANGE_MIN: Millis = Millis(250);

/// How often peers are told of each cold server, for those that have started since.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(1_000);

/// A server whose time until it is warm has changed, or may have, in the current step.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdChange {
    server: ServerKey,
    /// Whether the peers have to be told.
    is_own: bool,
}

/// How long a request whose prompt is asked for rarely leaves each slot of a cold engine to others. The
/// cache is warmed by the requests that it gets.
const RARE_PROMPT_DELAY: Millis = Millis(300);

impl ColdChange {
    /// A change that all instances learn from the platform's store.
    pub(super) fn of_entry(server: ServerKey) -> ColdChange {
        ColdChange { server, is_own: false }
    }
}

impl State {
    /// Records that the server is cold until the given time, unless it is known to be cold for
    /// longer.
    pub fn mark_cold(&mut self, server: ServerKey, until: Timestamp) {
        self.extend_cold(server, until, true);
    }

    fn extend_cold(&mut self, key: ServerKey, until: Timestamp, is_own: bool) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.cold_until = server.cold_until.max(until);
            self.cold_changes.push(ColdChange { server: key, is_own });
        }
    }

    /// Applies what an entry that the server has written anew says about its warm-up.
    pub(super) fn on_warmup_stated(&mut self, now: Timestamp, key: ServerKey, left: Millis) {
        if left.0 > 0 {
            return self.extend_cold(key, now.after(left), false);
        }
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        if server.warm_entries_from.is_due(now) {
            server.cold_until = server.cold_until.min(now);
            self.cold_changes.push(ColdChange::of_entry(key));
        }
    }

    /// Applies what a peer reported.
    pub(super) fn on_peer_cold(&mut self, now: Timestamp, key: ServerKey, for_ms: u32) {
        let until = now.after(Millis(for_ms.into()));
        if let Some(server) = self.servers.get_mut(&key) {
            server.warm_entries_from = now.after(ENTRY_DELAY_MAX);
            server.cold_announced_until = server.cold_announced_until.max(until);
        }
        self.extend_cold(key, until, false);
    }

    /// Records that the server may have restarted, and so may be cold.
    pub(super) fn on_may_have_restarted(&mut self, server: ServerKey) {
        self.cold_changes.push(ColdChange { server, is_own: true });
    }

    pub(super) fn on_instances_listed(&mut self, now: Timestamp, instances: Vec<u32>) {
        self.listed_instances = instances;
        self.update_cold_slots(now);
    }

    /// Applies a change of the listed instances or of the limits to the servers that are cold.
    pub(super) fn update_cold_slots(&mut self, now: Timestamp) {
        let cold = self.servers.values().filter(|it| it.cold_slots.was_cold).map(|it| it.key);
        for key in cold.collect::<Vec<_>>() {
            let Some((plan, is_sender)) = self.send_plan(key) else {
                continue;
            };
            if let Some(server) = self.servers.get_mut(&key) {
                server.cold_slots.update(now, plan, is_sender);
            }
        }
    }

    /// How many instances send to the server while it is cold, and whether this one is among them;
    /// `None` if it is never cold.
    fn send_plan(&self, key: ServerKey) -> Option<(SendPlan, bool)> {
        let server = self.servers.get(&key)?;
        let (listed, own_id) = (&self.listed_instances, self.options.instance);
        let plan = SendPlan::new(server.warmup?, self.options.limits.warmup, listed.len());
        // The id, which stays the same in the server's next run, so that the senders do.
        let id = ServerId::of(&server.record.id).0;
        Some((plan, warmup::is_sender(id, own_id, listed, plan.senders)))
    }

    /// When this instance may send to cold servers at all: the past, if it may now.
    pub(super) fn cold_opens_at(&self, now: Timestamp) -> Timestamp {
        let started = self.started_at.after(START_DELAY);
        let is_listed = self.listed_instances.contains(&self.options.instance);
        let is_in_contact = !self.contact_at.after(CONTACT_TIMEOUT).is_due(now);
        if is_listed && is_in_contact { started } else { started.max(now.after(NO_CONTACT_DELAY)) }
    }

    /// Counts the prompt of a request, if its service may have cold engines.
    pub(super) fn record_part_demand(&mut self, now: Timestamp, arrival: &Arrival) {
        let service = self.document.services.get(&arrival.service);
        let may_be_cold = service.is_some_and(|it| it.warmup.is_some());
        if let Some(prompt) = arrival.prompt.as_ref().filter(|_| may_be_cold) {
            self.part_demand.record(now, prompt);
        }
    }

    /// How long the request leaves each slot of a cold server to others.
    pub(super) fn cold_slot_delay(&self, arrival: &Arrival) -> Millis {
        let rare = |it: &&Prompt| !arrival.is_resumed() && !self.part_demand.is_popular(it);
        arrival.prompt.as_ref().filter(rare).map_or(Millis(0), |_| RARE_PROMPT_DELAY)
    }

    /// Applies the changes of the current step.
    pub(super) fn apply_cold_changes(&mut self, now: Timestamp) {
        for ColdChange { server, is_own } in std::mem::take(&mut self.cold_changes) {
            self.update_cold(now, server);
            if is_own {
                self.announce_change(now, server);
            }
        }
    }

    /// Ends the warm-up of servers whose time has passed, and tells peers of the others.
    pub(super) fn update_cold_servers(&mut self, now: Timestamp) {
        let cold = self.servers.values().filter(|it| it.cold_slots.was_cold).map(|it| it.key);
        let cold: Vec<ServerKey> = cold.collect();
        cold.iter().for_each(|it| self.update_cold(now, *it));
        if !self.announce_cold_at.is_due(now) {
            return;
        }
        self.announce_cold_at = now.after(ANNOUNCEMENT_INTERVAL);
        for key in cold.into_iter().filter(|it| self.is_responsible_for(it.0)).collect::<Vec<_>>() {
            self.announce_cold(now, key);
        }
    }

    fn update_cold(&mut self, now: Timestamp, key: ServerKey) {
        let plan = self.send_plan(key);
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let id = server.record.id.clone();
        match (server.is_cold(now), server.cold_slots.was_cold, plan) {
            (true, false, Some((plan, is_sender))) => {
                let phase = self.rng.random_range(0.0..1.0);
                server.cold_slots.begin(now, plan, is_sender, phase);
                let for_ms = server.cold_for(now).0;
                let decision = Decision::ServerCold { server: id, for_ms, is_sender };
                self.effects.push(Effect::Log(decision));
            }
            (false, true, _) => {
                server.cold_slots.was_cold = false;
                self.effects.push(Effect::Log(Decision::ServerWarm { server: id }));
            }
            _ => {}
        }
    }

    /// Tells peers that a server is cold, if they don't know.
    fn announce_change(&mut self, now: Timestamp, key: ServerKey) {
        let Some(server) = self.servers.get_mut(&key).filter(|it| it.is_cold(now)) else {
            return;
        };
        server.warm_entries_from = now.after(ENTRY_DELAY_MAX);
        let until = now.after(server.cold_for(now));
        if until <= server.cold_announced_until.after(COLD_CHANGE_MIN) {
            return;
        }
        server.cold_announced_until = until;
        if let Some(note) = self.announce_cold(now, key) {
            self.repeat_note(note);
        }
    }

    fn announce_cold(&mut self, now: Timestamp, key: ServerKey) -> Option<Note> {
        let server = self.servers.get(&key).filter(|it| it.is_cold(now))?;
        let for_ms = u32::try_from(server.cold_for(now).0).unwrap_or(u32::MAX);
        let note = Note::ServerCold { server: key, for_ms };
        self.queue_note(note.clone());
        Some(note)
    }
}
