//! Burn rates from merged snapshots.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sl_base::{Millis, Timestamp};

use crate::{
    record::{LONG, SHORT},
    snapshot::{MalformedHistogram, Snapshot},
    window::{Tally, WindowShape},
};

const MILLION: f64 = 1e6;
const PERCENT: f64 = 100.0;

/// What a route promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Within which an answer's first byte is on time.
    pub first_byte_within: Millis,
    /// Answers that are to be on time, in parts per million.
    pub latency_ppm: u32,
    /// Requests that are to be answered, in parts per million.
    pub answered_ppm: u32,
}

/// The burn of every series that any reachable instance holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// A row for each team and route, by name.
    pub rows: Vec<Row>,
    /// The instances whose records are in the report.
    pub covered: Vec<Coverage>,
    /// The instances that should have answered and did not.
    pub missing: Vec<String>,
}

/// How much of each window an instance's records cover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// The instance's name.
    pub instance: String,
    /// Percent of the short window since its recording began.
    pub short_percent: f64,
    /// Percent of the long window since its recording began.
    pub long_percent: f64,
}

/// One team's route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The team's name.
    pub team: String,
    /// The route's name.
    pub route: String,
    /// What the template promises, where it does.
    pub objective: Option<Objective>,
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
}

/// One window of a row. A burn rate of one uses up just what the objective allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Requests that count.
    pub requests: u64,
    /// Requests with no answer from a backend server.
    pub unanswered: u64,
    /// Answers whose first byte came later than the objective says.
    pub slow: u64,
    /// How fast the latency objective burns; none without an objective or requests.
    pub latency_burn: Option<f64>,
    /// How fast the objective on answers burns; none without an objective or requests.
    pub answered_burn: Option<f64>,
    /// Milliseconds to the first byte at the median.
    pub p50_ms: u64,
    /// Milliseconds to the first byte at the 95th percentile.
    pub p95_ms: u64,
    /// Milliseconds to the first byte at the 99th percentile.
    pub p99_ms: u64,
}

impl Report {
    /// Merges `snapshots`; `objective` gives what a route, by its name, promises, and
    /// `missing` are the instances that gave no snapshot.
    ///
    /// # Errors
    ///
    /// [`MalformedHistogram`] names the first series whose histogram can't be read.
    pub fn merge(
        objective: impl Fn(&str) -> Option<Objective>,
        snapshots: &[Snapshot],
        missing: Vec<String>,
    ) -> Result<Report, MalformedHistogram> {
        let mut sums: BTreeMap<(&str, &str), (Tally, Tally)> = BTreeMap::new();
        for snapshot in snapshots {
            for series in &snapshot.series {
                let malformed = || MalformedHistogram {
                    instance: snapshot.instance.clone(),
                    team: series.team.clone(),
                    route: series.route.clone(),
                };
                let sum = sums
                    .entry((&series.team, &series.route))
                    .or_insert_with(|| (Tally::new(), Tally::new()));
                sum.0.add(&series.short.tally().ok_or_else(malformed)?);
                sum.1.add(&series.long.tally().ok_or_else(malformed)?);
            }
        }
        let rows = sums.into_iter().map(|((team, route), (short, long))| {
            let objective = objective(route);
            Row {
                team: team.to_owned(),
                route: route.to_owned(),
                objective,
                short: WindowBurn::of(&short, objective.as_ref()),
                long: WindowBurn::of(&long, objective.as_ref()),
            }
        });
        let covered = snapshots.iter().map(Coverage::of).collect();
        Ok(Report { rows: rows.collect(), covered, missing })
    }
}

impl Coverage {
    fn of(snapshot: &Snapshot) -> Coverage {
        let percent =
            |shape: WindowShape| covered(snapshot.started_at, snapshot.taken_at, shape.span());
        Coverage {
            instance: snapshot.instance.clone(),
            short_percent: percent(SHORT),
            long_percent: percent(LONG),
        }
    }
}

impl WindowBurn {
    fn of(tally: &Tally, objective: Option<&Objective>) -> WindowBurn {
        let answered = tally.answered.len();
        let requests = answered + tally.unanswered;
        let slow = objective.map_or(0, |it| slower_than(tally, it.first_byte_within));
        let burn = |bad: u64, of: u64, good_ppm: u32| {
            let allowed = 1.0 - f64::from(good_ppm) / MILLION;
            (of > 0 && allowed > 0.0).then(|| bad as f64 / of as f64 / allowed)
        };
        WindowBurn {
            requests,
            unanswered: tally.unanswered,
            slow,
            latency_burn: objective.and_then(|it| burn(slow, answered, it.latency_ppm)),
            answered_burn: objective
                .and_then(|it| burn(tally.unanswered, requests, it.answered_ppm)),
            p50_ms: tally.answered.value_at_quantile(0.50),
            p95_ms: tally.answered.value_at_quantile(0.95),
            p99_ms: tally.answered.value_at_quantile(0.99),
        }
    }
}

fn slower_than(tally: &Tally, limit: Millis) -> u64 {
    let within: u64 = tally
        .answered
        .iter_recorded()
        .take_while(|it| it.value_iterated_to() <= tally.answered.highest_equivalent(limit.0))
        .map(|it| it.count_since_last_iteration())
        .sum();
    tally.answered.len() - within
}

fn covered(from: Timestamp, at: Timestamp, span: Millis) -> f64 {
    let micros = at.micros_since(at.before(span));
    if micros == 0 {
        return 0.0;
    }
    (at.micros_since(from) as f64 / micros as f64).min(1.0) * PERCENT
}
