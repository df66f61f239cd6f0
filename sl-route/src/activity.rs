//! Tokens that teams requested at this instance, and what became of them, over one second at a
//! time. Only for the log and the metrics: decisions use [`Shares`](crate::share::Shares).

use std::{collections::HashMap, sync::Arc};

use sl_base::{Millis, TeamId, Timestamp};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::Team;

/// What became of the tokens that a request asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum TokenOutcome {
    /// The request was sent to an engine.
    Granted,
    /// The reducer refused the request.
    Refused,
    /// This instance rejected the request because its own tasks run late.
    Shed,
    /// The attempt ended before its first token. Another attempt is granted, or the request is refused
    /// or given up.
    Lost,
    /// No attempt came to its first token and none followed.
    GivenUp,
    /// The request is like those that crashed servers.
    Barred,
    /// This instance refused the request because it shuts down.
    Stopping,
    /// The body was not received whole.
    Unread,
    /// Nobody knew where the stream began that the request resumes.
    Unlocated,
}

/// Counts of one team since the last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamTokens {
    /// The team.
    pub team: Arc<Team>,
    /// Tokens of the requests whose head was read: granted less lost, and all other outcomes.
    pub requested: u64,
    /// Tokens by outcome, in the order of [`TokenOutcome`].
    pub outcomes: [u64; OUTCOMES],
}

/// The number of outcomes.
pub const OUTCOMES: usize = 9;

/// Counts the tokens of all teams since the last report.
#[derive(Clone, Debug)]
pub struct Activity {
    report_at: Timestamp,
    teams: HashMap<TeamId, TeamTokens>,
}

/// Interval between two reports.
const REPORT_INTERVAL: Millis = Millis(1_000);

/// Teams of one report, those with the most requested tokens; each is a line of the log.
const REPORT_TEAMS_MAX: usize = 8;

/// Teams that are counted between two reports; tokens of further teams are not counted.
const TEAMS_MAX: usize = 1_024;

impl TeamTokens {
    /// Tokens with the outcome.
    pub fn of(&self, outcome: TokenOutcome) -> u64 {
        self.outcomes[outcome as usize]
    }
}

impl Activity {
    /// Creates empty counts.
    pub fn new(now: Timestamp) -> Activity {
        Activity { report_at: now.after(REPORT_INTERVAL), teams: HashMap::new() }
    }

    /// Counts tokens that a request of `team` asks for.
    pub fn record_requested(&mut self, team: &Arc<Team>, tokens: u32) {
        if let Some(counts) = self.counts(team) {
            counts.requested += u64::from(tokens);
        }
    }

    /// Counts what became of the tokens of a request of `team`.
    pub fn record_outcome(&mut self, team: &Arc<Team>, tokens: u32, outcome: TokenOutcome) {
        if let Some(counts) = self.counts(team) {
            counts.outcomes[outcome as usize] += u64::from(tokens);
        }
    }

    /// Takes the counts once a report is due: of the teams that requested the most, those with
    /// the most tokens first.
    pub fn take_report(&mut self, now: Timestamp) -> Vec<TeamTokens> {
        if !self.report_at.is_due(now) {
            return Vec::new();
        }
        self.report_at = now.after(REPORT_INTERVAL);
        let mut teams: Vec<TeamTokens> = self.teams.drain().map(|it| it.1).collect();
        teams.sort_by(|a, b| b.requested.cmp(&a.requested).then(a.team.name.cmp(&b.team.name)));
        teams.truncate(REPORT_TEAMS_MAX);
        teams
    }

    fn counts(&mut self, team: &Arc<Team>) -> Option<&mut TeamTokens> {
        if self.teams.len() >= TEAMS_MAX && !self.teams.contains_key(&team.id) {
            return None;
        }
        let empty = || TeamTokens { team: team.clone(), requested: 0, outcomes: [0; OUTCOMES] };
        Some(self.teams.entry(team.id).or_insert_with(empty))
    }
}
