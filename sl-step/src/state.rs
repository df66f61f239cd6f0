//! The whole state of an instance, and the step that moves it.

use sl_base::{Incarnation, InstanceId, Timestamp};

use crate::{Effect, Event, request::Requests};

/// What an instance knows of itself from the start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its id.
    pub me: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Seed of the generator that the state carries.
    pub seed: u64,
}

/// The whole state.
#[derive(Debug)]
pub struct State {
    options: Options,
    requests: Requests,
}

impl State {
    /// The state of an instance that just started and knows nothing.
    pub fn new(options: Options) -> State {
        State {
            options,
            requests: Requests::default(),
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn step(&mut self, _now: Timestamp, _event: Event) -> Vec<Effect> {
        let _ = (&self.options, &self.requests);
        Vec::new()
    }

    /// When the next [`Event::Tick`] is due.
    pub fn due(&self) -> Timestamp {
        Timestamp::NEVER
    }
}
