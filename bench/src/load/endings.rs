//! Where the attempts of callers ended, in tokens by team, so that the sum over all places is what the
//! team asked for.

use serde::Serialize;
use strum::{EnumCount, EnumIter, IntoStaticStr};

use super::traffic::TEAM_COUNT;

/// Where an attempt of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// The first token arrived within the target latency.
    Served,
    /// The first token arrived later.
    Late,
    /// The decision refused it.
    Refused,
    /// The instance rejected it before the decision, because it runs late.
    Shed,
    /// The caller gave up before the instance had read it: to the caller there is no connection.
    Unread,
    /// The caller left at the deadline, after the decision.
    Deadline,
    /// No engine answered it.
    Failed,
}

/// The endings of one team's attempts.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TeamEndings {
    /// Tokens of the attempts that reached an instance.
    pub asked: u64,
    /// The same by [`Ending`].
    pub ended: [u64; Ending::COUNT],
}

impl TeamEndings {
    /// Tokens of the attempts that ended there.
    pub fn at(&self, ending: Ending) -> u64 {
        self.ended[ending as usize]
    }
}

/// The endings of all teams.
#[derive(Clone, Debug, Default)]
pub(super) struct Endings {
    pub(super) teams: [TeamEndings; TEAM_COUNT],
}

impl Endings {
    pub(super) fn record_asked(&mut self, team: usize, tokens: u32) {
        self.teams[team].asked += u64::from(tokens);
    }

    pub(super) fn record(&mut self, team: usize, tokens: u32, ending: Ending) {
        self.teams[team].ended[ending as usize] += u64::from(tokens);
    }
}
