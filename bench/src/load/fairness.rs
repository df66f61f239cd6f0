//! What teams ask for and get, second by second, and how far the fleet is from giving each of them what
//! it is owed by the users' rule on shares: in six seconds, in each of which a request of the team is
//! refused or late, at least half of what it asks or the best served team gets, whichever is less
//! (docs/glossary.md, "fair share").

use sl_base::Timestamp;

use super::{fleet::START, traffic::TEAM_COUNT};

/// The tokens of all teams, second by second.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamTokens {
    seconds: Vec<[TeamSecond; TEAM_COUNT]>,
    /// The largest requests so far, as many as the rule leaves out.
    largest: [u64; LARGEST_LEFT_OUT],
}

/// One second of one team.
#[derive(Clone, Copy, Debug, Default)]
struct TeamSecond {
    /// Tokens of the requests that reached an instance.
    asked: u64,
    /// Tokens of the requests whose first token arrived.
    begun: u64,
    /// Whether a request was refused, or its first token came late.
    is_short: bool,
}

/// What a team got in some span of what it was owed.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueFraction {
    pub(super) fraction: f64,
    pub(super) team: usize,
    /// The first second of the span.
    pub(super) from_s: usize,
}

/// Length of the spans that the rule looks at, in seconds.
const SPAN_S: usize = 6;

/// The number of requests by which a team may miss its due.
const LARGEST_LEFT_OUT: usize = 3;

/// The rule asks for the due tokens divided by this, less the largest requests.
const DUE_DIVISOR: u64 = 2;

const MICROS_PER_SECOND: u64 = 1_000_000;

impl TeamTokens {
    pub(super) fn record_asked(&mut self, now: Timestamp, team: usize, tokens: u32) {
        let tokens = u64::from(tokens);
        self.second(now, team).asked += tokens;
        if let Some(smallest) = self.largest.iter_mut().min().filter(|it| **it < tokens) {
            *smallest = tokens;
        }
    }

    pub(super) fn record_begun(&mut self, now: Timestamp, team: usize, tokens: u32) {
        self.second(now, team).begun += u64::from(tokens);
    }

    pub(super) fn record_short(&mut self, now: Timestamp, team: usize) {
        self.second(now, team).is_short = true;
    }

    /// The lowest ratio of what a team got in a span to what it asked for, or to what the best served
    /// team got; 1 if no team was short in each second of a span.
    pub(super) fn lowest_due_fraction(&self) -> DueFraction {
        let spans = self.seconds.windows(SPAN_S).enumerate();
        let fractions = spans.flat_map(|(from_s, span)| {
            (0..TEAM_COUNT).filter_map(move |team| {
                let fraction = self.due_fraction(span, team)?;
                Some(DueFraction { fraction, team, from_s })
            })
        });
        let all_due = DueFraction { fraction: 1.0, team: 0, from_s: 0 };
        fractions
            .fold(all_due, |lowest, it| if it.fraction < lowest.fraction { it } else { lowest })
    }

    fn due_fraction(&self, span: &[[TeamSecond; TEAM_COUNT]], team: usize) -> Option<f64> {
        if !span.iter().all(|it| it[team].is_short) {
            return None;
        }
        let best = |second: &[TeamSecond]| second.iter().map(|it| it.begun).max().unwrap_or(0);
        let due: u64 = span.iter().map(|it| it[team].asked.min(best(it))).sum();
        let left_out = self.largest.iter().sum::<u64>() * DUE_DIVISOR;
        let due = due.saturating_sub(left_out);
        let begun: u64 = span.iter().map(|it| it[team].begun).sum();
        (due > 0).then(|| begun as f64 / due as f64)
    }

    fn second(&mut self, now: Timestamp, team: usize) -> &mut TeamSecond {
        let index = (now.micros_since(START) / MICROS_PER_SECOND) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, Default::default);
        }
        &mut self.seconds[index][team]
    }
}
