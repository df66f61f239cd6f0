//! The events of a simulation, in the order in which they are handled.

use sl_base::Timestamp;
use sl_route::{Notes, PromptPart};

use super::engine::Job;

/// An event of the simulation.
pub(super) enum SimEvent {
    /// The caller sends the request, or sends it again after a refusal. `call` is an index into
    /// the calls of the simulation.
    SendRequest {
        call: usize,
    },
    RequestArrives {
        call: usize,
        instance: usize,
    },
    /// The caller gives the attempt up if its instance has not read it.
    CallerGivesUp {
        call: usize,
        attempt: u32,
    },
    AttemptArrives {
        engine: usize,
        job: Job,
    },
    /// The cached parts that an attempt needs have been moved to its engine.
    PartsMoved {
        engine: usize,
        generation: u64,
        parts: Vec<PromptPart>,
        job: Job,
    },
    /// The engine has processed a prompt. Ignored if the engine failed in the meantime, as its
    /// `generation` tells.
    PromptProcessed {
        engine: usize,
        generation: u64,
    },
    StreamEnds {
        engine: usize,
        generation: u64,
        instance: usize,
        request: u64,
        event_interval_micros: u32,
    },
    /// An engine that works in steps has completed one.
    StepEnds {
        engine: usize,
    },
    CallerDisconnects {
        call: usize,
    },
    SendNotes {
        instance: usize,
    },
    NotesArrive {
        instance: usize,
        from: usize,
        /// The number of the message among those of `from`.
        sequence: u64,
        notes: Notes,
    },
    Tick,
    /// The processor of the instance has completed its current work.
    WorkDone {
        instance: usize,
    },
    /// The balancer asks the instance whether it is ready.
    CheckReadiness {
        instance: usize,
    },
    Evacuate,
    EndEvacuation,
    /// The first engine fails, and each that is `every` further.
    EnginesFail {
        every: usize,
    },
    /// The entries of those of these engines that are still down are no longer listed.
    EntriesLapse {
        every: usize,
    },
    /// These engines are available again, as new incarnations.
    EnginesRecover {
        every: usize,
    },
}

/// An entry of the event queue. Events at the same time are handled in the order in which they
/// were scheduled.
pub(super) struct ScheduledEvent {
    pub(super) at: Timestamp,
    pub(super) sequence: u64,
    pub(super) event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
