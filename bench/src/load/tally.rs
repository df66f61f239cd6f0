//! What callers got.

use serde::Serialize;

use super::traffic::{KINDS, Load, TEAMS};

/// What callers of one kind of request got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindTally {
    /// The kind.
    pub kind: &'static str,
    /// Requests.
    pub asked: u32,
    /// First tokens within the objective.
    pub in_time: u32,
    /// First tokens after it.
    pub late: u32,
    /// Requests that were refused for good.
    pub refused: u32,
    /// Requests that failed, or whose callers left.
    pub failed: u32,
}

/// What a play showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// By kind of request.
    pub kinds: Vec<KindTally>,
    /// The part of the worth that was earned.
    pub credit: f64,
    /// The same of what was asked for during the disturbance and two seconds after it.
    pub credit_disturbed: f64,
    /// The same of the team that got least.
    pub worst_team: f64,
    /// Refusals, also of callers that came again.
    pub refusals: u32,
    /// Milliseconds to the first token: the median, the 95th and the 99th percentile.
    pub first_token_ms: [u64; 3],
    /// The part of the shared tokens in prompts that was read although an engine had read
    /// it before.
    pub read_again: f64,
    /// The part of their time in which engines read.
    pub busy: f64,
    #[serde(skip)]
    pub(super) all: Worth,
    #[serde(skip)]
    pub(super) disturbed: Worth,
    #[serde(skip)]
    pub(super) teams: Vec<Worth>,
    #[serde(skip)]
    pub(super) first_tokens: Vec<u64>,
    #[serde(skip)]
    pub(super) shared_tokens: u64,
}

/// Worth earned of worth owed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Worth {
    pub(super) earned: f64,
    pub(super) owed: f64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    FirstToken { after_ms: u64 },
    Refused,
    Failed,
}

/// The disturbance counts for this long after its end, in milliseconds.
const AFTER_MS: u64 = 2_000;

impl Worth {
    fn add(&mut self, earned: f64, owed: f64) {
        self.earned += earned;
        self.owed += owed;
    }

    fn share(self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }
}

impl Tally {
    pub(super) fn new() -> Tally {
        let kind = |name| KindTally { kind: name, ..KindTally::default() };
        Tally {
            kinds: KINDS.iter().map(|it| kind(it.name)).collect(),
            teams: vec![Worth::default(); TEAMS],
            ..Tally::default()
        }
    }

    pub(super) fn ended(&mut self, kind: usize, team: usize, asked_ms: u64, end: End) {
        let it = KINDS[kind];
        let tally = &mut self.kinds[kind];
        tally.asked += 1;
        let earned = match end {
            End::FirstToken { after_ms } if after_ms <= it.objective.0 => {
                tally.in_time += 1;
                it.worth
            }
            End::FirstToken { .. } => {
                tally.late += 1;
                it.late_worth
            }
            End::Refused => {
                tally.refused += 1;
                0.0
            }
            End::Failed => {
                tally.failed += 1;
                0.0
            }
        };
        if let End::FirstToken { after_ms } = end {
            self.first_tokens.push(after_ms);
        }
        self.all.add(earned, it.worth);
        self.teams[team].add(earned, it.worth);
        let disturbed = Load::DISTURBED.start..Load::DISTURBED.end + AFTER_MS;
        if disturbed.contains(&asked_ms) {
            self.disturbed.add(earned, it.worth);
        }
    }

    /// Works out what follows from the counts.
    pub(super) fn finish(mut self, read_again: u64, busy: f64) -> Tally {
        self.first_tokens.sort_unstable();
        let at = |part: f64| {
            let last = self.first_tokens.len().saturating_sub(1);
            self.first_tokens.get((last as f64 * part) as usize).copied().unwrap_or_default()
        };
        self.first_token_ms = [at(0.5), at(0.95), at(0.99)];
        self.credit = self.all.share();
        self.credit_disturbed = self.disturbed.share();
        self.worst_team = self.teams.iter().map(|it| it.share()).fold(1.0, f64::min);
        self.read_again = read_again as f64 / self.shared_tokens.max(1) as f64;
        self.busy = busy;
        self
    }
}
