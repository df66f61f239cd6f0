//! The notes that instances send each other.

use rand::RngExt;
use sl_base::{Incarnation, InstanceId, Millis};
use sl_edge::arrivals::PeerArrival;
use sl_route::{Event, Notes, note::Note};

use super::Simulation;
use crate::load::{policy::GossipTiming, queue::SimEvent};

impl Simulation {
    pub(super) fn schedule_notes(&mut self, instance: usize) {
        if !self.instances[instance].has_notes() {
            return;
        }
        match self.options.policy.gossip_timing() {
            None => drop(self.instances[instance].take_notes()),
            Some(gossip_timing) if !self.is_send_scheduled[instance] => {
                self.is_send_scheduled[instance] = true;
                self.schedule_after(gossip_timing.interval, SimEvent::SendNotes { instance });
            }
            Some(_) => {}
        }
    }

    pub(super) fn send_notes(&mut self, from: usize) {
        self.is_send_scheduled[from] = false;
        let notes = self.instances[from].take_notes();
        let Some(gossip_timing) = self.options.policy.gossip_timing() else {
            return;
        };
        for notes in notes.notes.chunks(gossip_timing.datagram_notes) {
            self.last_message[from] += 1;
            self.send_datagram(from, gossip_timing, notes);
        }
    }

    pub(super) fn send_datagram(&mut self, from: usize, timing: GossipTiming, notes: &[Note]) {
        let sequence = self.last_message[from];
        for instance in (0..self.options.instances).filter(|it| *it != from) {
            let jitter = match timing.jitter {
                // Nothing is drawn, so that the other draws do not depend on messages.
                Millis(0) => 0,
                Millis(max) => self.rng.random_range(0..=max),
            };
            let notes = Notes { notes: notes.to_vec() };
            self.schedule_after(
                Millis(timing.delay.0 + jitter),
                SimEvent::NotesArrive { instance, from, sequence, notes },
            );
        }
    }

    /// Receives a message as the daemon does: one that was overtaken is dropped.
    pub(super) fn receive_notes(
        &mut self,
        instance: usize,
        from: usize,
        sequence: u64,
        notes: Notes,
    ) {
        let sender = InstanceId(from as u32);
        match self.arrivals[instance].record(sender, Incarnation(1), sequence) {
            PeerArrival::New { .. } => {
                self.step(instance, Event::NotesReceived { from: from as u32, notes });
            }
            PeerArrival::Overtaken | PeerArrival::Repeated => {}
        }
    }
}
