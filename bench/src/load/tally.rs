//! The results of a simulation for its callers.

use serde::Serialize;

use super::{
    endings::{Endings, TeamEndings},
    fairness::TeamTokens,
    traffic::{CallerRequest, Load, TEAM_COUNT},
};

/// Results for one kind of request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindTally {
    /// Name of the kind.
    pub kind: &'static str,
    /// Number of requests that ended.
    #[serde(rename = "asked")]
    pub requests: u32,
    /// Number of requests whose first token arrived within the target latency.
    pub in_time: u32,
    /// Number of requests whose first token arrived after the target latency.
    pub late: u32,
    /// Number of requests that were refused and not retried again.
    pub refused: u32,
    /// Number of requests that failed, or whose callers disconnected before the first token.
    pub failed: u32,
    /// Number of streams that began and did not end before the deadline, where this counts.
    pub unfinished: u32,
    /// The share of the tenth with the longest prompts that was served.
    pub largest_served: f64,
    /// Length of each prompt, and whether its request was served.
    #[serde(skip)]
    sizes: Vec<(u32, bool)>,
}

impl KindTally {
    /// The share of the requests that was served, in time or late.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    fn count_largest(&mut self) {
        self.sizes.sort_unstable_by_key(|it| std::cmp::Reverse(it.0));
        let largest = &self.sizes[..self.sizes.len().div_ceil(LARGEST_DIVISOR)];
        let served = largest.iter().filter(|it| it.1).count();
        self.largest_served = served as f64 / largest.len().max(1) as f64;
    }
}

/// One request in this many counts among the largest of its kind.
const LARGEST_DIVISOR: usize = 10;

/// Results of a simulation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Results by kind of request.
    pub kinds: Vec<KindTally>,
    /// The earned share of the attainable credit.
    pub credit: f64,
    /// The same for requests sent during the disturbance or up to two seconds after it.
    pub credit_disturbed: f64,
    /// The same for the team with the lowest share.
    pub worst_team: f64,
    /// The lowest fraction that a team got of what it was owed in six seconds in which it was short; at
    /// least 0.5 is asked for.
    pub lowest_due: f64,
    /// The team that got this fraction.
    pub lowest_due_team: usize,
    /// The start of these six seconds, in seconds.
    pub lowest_due_from_s: usize,
    /// Where the attempts of each team ended.
    pub endings: Vec<TeamEndings>,
    /// How often the balancer found an instance out of rotation, in checks once a second.
    pub checks_out_of_rotation: u32,
    /// Number of attempts that were sent to engines of an evacuated data centre.
    pub sent_to_evacuated: u32,
    /// How often an engine was lost.
    pub engine_losses: u32,
    /// Number of attempts that were sent to engines while they were lost.
    pub attempts_at_lost_engines: u32,
    /// Number of refusals, including those of requests that were retried.
    pub refusals: u32,
    /// Number of refusals while routes were balanced against each other.
    pub refusals_contended: u32,
    /// Time to the first token in milliseconds: the median, the 95th and the 99th percentile.
    pub first_token_ms: [u64; 3],
    /// Mean time to the first token in milliseconds.
    pub first_token_mean_ms: f64,
    /// Bytes of bodies and events between data centres.
    pub bytes_across: u64,
    /// The share of the prompts' shared tokens that an engine processed although some engine had
    /// processed them before.
    #[serde(rename = "read_again")]
    pub reprocessed_share: f64,
    /// The share of the time in which engines processed prompts.
    #[serde(rename = "busy")]
    pub utilization: f64,
    /// Error of the expected time between tokens relative to the actual one: the median and the
    /// 95th percentile. Only for engines that work in steps.
    pub pace_error: [f64; 2],
    /// Actual relative to expected time to the first token: of attempts without and with a planned
    /// transfer of cached parts.
    pub first_token_ratio: [f64; 2],
    #[serde(skip)]
    pub(super) load: Load,
    /// Sums of expected and actual milliseconds, without and with a planned transfer.
    #[serde(skip)]
    pub(super) first_token_sums: [[f64; 2]; 2],
    #[serde(skip)]
    pub(super) pace_errors: Vec<f64>,
    #[serde(skip)]
    pub(super) all: Credit,
    #[serde(skip)]
    pub(super) disturbed: Credit,
    #[serde(skip)]
    pub(super) teams: Vec<Credit>,
    #[serde(skip)]
    pub(super) first_tokens: Vec<u64>,
    #[serde(skip)]
    pub(super) shared_tokens: u64,
    #[serde(skip)]
    pub(super) team_tokens: TeamTokens,
    #[serde(skip)]
    pub(super) all_endings: Endings,
}

/// Credit earned by responses, and the credit attainable if all were in time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Credit {
    pub(super) earned: f64,
    pub(super) attainable: f64,
}

/// The outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    FirstToken {
        after_ms: u64,
    },
    Refused,
    Failed,
    /// The stream began and did not end before the deadline.
    Unfinished,
}

/// How long after its end the disturbance still counts, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

impl Credit {
    fn add(&mut self, earned: f64, attainable: f64) {
        self.earned += earned;
        self.attainable += attainable;
    }

    fn ratio(self) -> f64 {
        if self.attainable > 0.0 { self.earned / self.attainable } else { 1.0 }
    }
}

impl Tally {
    pub(super) fn new(load: Load) -> Tally {
        let kind = |name| KindTally { kind: name, ..KindTally::default() };
        Tally {
            load,
            kinds: load.kinds().iter().map(|it| kind(it.name)).collect(),
            teams: vec![Credit::default(); TEAM_COUNT],
            ..Tally::default()
        }
    }

    pub(super) fn record(&mut self, request: &CallerRequest, outcome: Outcome) {
        let CallerRequest { kind, team, sent_at_ms, .. } = *request;
        let spec = self.load.kinds()[kind];
        let tally = &mut self.kinds[kind];
        tally.requests += 1;
        let is_served = matches!(outcome, Outcome::FirstToken { .. });
        tally.sizes.push((request.prompt.input_tokens, is_served));
        let earned = match outcome {
            Outcome::FirstToken { after_ms } if after_ms <= spec.target_latency.0 => {
                tally.in_time += 1;
                spec.value
            }
            Outcome::FirstToken { .. } => {
                tally.late += 1;
                spec.late_value
            }
            Outcome::Refused => {
                tally.refused += 1;
                0.0
            }
            Outcome::Failed => {
                tally.failed += 1;
                0.0
            }
            Outcome::Unfinished => {
                tally.unfinished += 1;
                0.0
            }
        };
        if let Outcome::FirstToken { after_ms } = outcome {
            self.first_tokens.push(after_ms);
        }
        self.all.add(earned, spec.value);
        self.teams[team].add(earned, spec.value);
        let counted_ms = Load::DISTURBANCE_MS.start..Load::DISTURBANCE_MS.end + RECOVERY_MS;
        if counted_ms.contains(&sent_at_ms) {
            self.disturbed.add(earned, spec.value);
        }
    }

    /// Computes the ratios and percentiles from the counts.
    pub(super) fn finish(mut self, reprocessed_tokens: u64, utilization: f64) -> Tally {
        self.first_tokens.sort_unstable();
        self.kinds.iter_mut().for_each(KindTally::count_largest);
        let percentile = |quantile: f64| {
            let last = self.first_tokens.len().saturating_sub(1);
            self.first_tokens.get((last as f64 * quantile) as usize).copied().unwrap_or_default()
        };
        self.first_token_ms = [percentile(0.5), percentile(0.95), percentile(0.99)];
        self.first_token_mean_ms =
            self.first_tokens.iter().sum::<u64>() as f64 / self.first_tokens.len().max(1) as f64;
        self.pace_errors.sort_unstable_by(f64::total_cmp);
        let pace_error = |quantile: f64| {
            let last = self.pace_errors.len().saturating_sub(1);
            self.pace_errors.get((last as f64 * quantile) as usize).copied().unwrap_or_default()
        };
        self.pace_error = [pace_error(0.5), pace_error(0.95)];
        self.first_token_ratio =
            self.first_token_sums.map(|[expected, actual]| actual / expected.max(1.0));
        self.credit = self.all.ratio();
        self.credit_disturbed = self.disturbed.ratio();
        self.worst_team = self.teams.iter().map(|it| it.ratio()).fold(1.0, f64::min);
        let lowest_due = self.team_tokens.lowest_due_fraction();
        self.lowest_due = lowest_due.fraction;
        self.lowest_due_team = lowest_due.team;
        self.lowest_due_from_s = lowest_due.from_s;
        self.endings = self.all_endings.teams.to_vec();
        self.reprocessed_share = reprocessed_tokens as f64 / self.shared_tokens.max(1) as f64;
        self.utilization = utilization;
        self
    }
}
