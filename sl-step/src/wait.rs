//! How long each team's requests waited lately, which is when a refused one should come back.

use std::collections::BTreeMap;

use sl_base::{Millis, TeamId};

/// The soonest that a caller is told to come back.
const COME_BACK_MIN: Millis = Millis(1_000);
/// The latest that a caller is told to come back.
const COME_BACK_MAX: Millis = Millis(60_000);
/// The weight of the past against one new wait.
const PAST: u64 = 7;
const MICROS_PER_MILLI: u64 = 1_000;

/// The smoothed wait of each team's dispatched requests, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    micros: BTreeMap<TeamId, u64>,
}

impl Waits {
    /// Learns that a request of `team` was dispatched after `micros` microseconds.
    pub(crate) fn learn(&mut self, team: TeamId, micros: u64) {
        let smoothed = self.micros.entry(team).or_insert(micros);
        *smoothed = (*smoothed * PAST + micros) / (PAST + 1);
    }

    /// Forgets teams that the configuration no longer has.
    pub(crate) fn retain(&mut self, is_known: impl Fn(TeamId) -> bool) {
        self.micros.retain(|&team, _| is_known(team));
    }

    /// When a request of `team` should come back: once as much time has passed as others
    /// had to wait.
    pub(crate) fn come_back(&self, team: TeamId) -> Millis {
        let micros = self.micros.get(&team).copied().unwrap_or(0);
        Millis(micros / MICROS_PER_MILLI).clamp(COME_BACK_MIN, COME_BACK_MAX)
    }
}
