//! Notes on attempts that arrived before the note that the attempt was sent.
//!
//! Messages of peers may overtake one another. Without this, an attempt whose end arrived first would
//! stay on its server until its instance leaves.

use std::collections::VecDeque;

use crate::note::AttemptKey;

/// What is known of attempts that are not known to have been sent, the latest last.
#[derive(Clone, Debug, Default)]
pub struct EarlyNotes(VecDeque<(AttemptKey, AttemptPhase)>);

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptPhase {
    /// Its response has started.
    Started,
    /// It has ended.
    Ended,
}

/// Bound on the number of attempts; earlier ones are forgotten. Messages are late by some 100 ms at most.
const ATTEMPTS_MAX: usize = 64;

impl EarlyNotes {
    /// Records that an attempt which is not known to have been sent has come to `phase` at least.
    pub fn record(&mut self, key: AttemptKey, phase: AttemptPhase) {
        let phase = self.take(key).map_or(phase, |it| it.max(phase));
        if self.0.len() >= ATTEMPTS_MAX {
            self.0.pop_front();
        }
        self.0.push_back((key, phase));
    }

    /// How far an attempt that is now known to have been sent has come; `None` if nothing else is known.
    pub fn take(&mut self, key: AttemptKey) -> Option<AttemptPhase> {
        let index = self.0.iter().position(|it| it.0 == key)?;
        self.0.remove(index).map(|it| it.1)
    }
}
