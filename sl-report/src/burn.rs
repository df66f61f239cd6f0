//! Burn rates, computed from the merged snapshots of several instances.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sl_base::{Millis, Timestamp};

use crate::{
    record::{LONG, SHORT},
    snapshot::{MalformedHistogram, Snapshot},
    window::{Tally, WindowShape},
};

const PPM_PER_UNIT: f64 = 1e6;
const PERCENT_PER_UNIT: f64 = 100.0;

/// Service-level objective of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Longest time to the first byte of a response that is on time.
    pub first_byte_within: Millis,
    /// Share of responses that must be on time, in parts per million.
    pub latency_ppm: u32,
    /// Share of requests that must be answered, in parts per million.
    pub answered_ppm: u32,
}

/// Burn rates of all series of all reachable instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// One row per team and route, ordered by name.
    pub rows: Vec<Row>,
    /// The instances whose records are included.
    pub covered: Vec<Coverage>,
    /// The instances that did not send a snapshot.
    pub missing: Vec<String>,
}

/// How much of each window the records of an instance cover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// Name of the instance.
    pub instance: String,
    /// Covered part of the short window, in percent; below 100 if recording began within it.
    pub short_percent: f64,
    /// Covered part of the long window, in percent; below 100 if recording began within it.
    pub long_percent: f64,
}

/// Burn rates of one team on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the team.
    pub team: String,
    /// Name of the route.
    pub route: String,
    /// Objective of the route, if it has one.
    pub objective: Option<Objective>,
    /// Burn rates over the short window.
    pub short: WindowBurn,
    /// Burn rates over the long window.
    pub long: WindowBurn,
}

/// Requests and burn rates of one window. A burn rate of 1 uses up exactly the failures that
/// the objective allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Requests that count towards the objectives, answered or not.
    pub requests: u64,
    /// Requests without an answer from a backend server.
    pub unanswered: u64,
    /// Responses whose first byte came later than the objective allows.
    pub slow: u64,
    /// Burn rate of the latency objective; `None` without an objective or without answers.
    pub latency_burn: Option<f64>,
    /// Burn rate of the objective on answers; `None` without an objective or without requests.
    pub answered_burn: Option<f64>,
    /// Median of the milliseconds to the first byte.
    pub p50_ms: u64,
    /// 95th percentile of the milliseconds to the first byte.
    pub p95_ms: u64,
    /// 99th percentile of the milliseconds to the first byte.
    pub p99_ms: u64,
}

impl Report {
    /// Merges `snapshots` into a report. `objective` maps the name of a route to its objective;
    /// `missing` lists the instances that did not send a snapshot.
    ///
    /// # Errors
    ///
    /// [`MalformedHistogram`] for the first series whose histogram cannot be decoded.
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
                sum.0.add(&series.short.decode().ok_or_else(malformed)?);
                sum.1.add(&series.long.decode().ok_or_else(malformed)?);
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
        let percent = |shape: WindowShape| {
            covered_percent(snapshot.started_at, snapshot.taken_at, shape.span())
        };
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
        let slow = objective.map_or(0, |it| count_slower_than(tally, it.first_byte_within));
        let burn_rate = |failed: u64, total: u64, objective_ppm: u32| {
            let allowed = 1.0 - f64::from(objective_ppm) / PPM_PER_UNIT;
            (total > 0 && allowed > 0.0).then(|| failed as f64 / total as f64 / allowed)
        };
        WindowBurn {
            requests,
            unanswered: tally.unanswered,
            slow,
            latency_burn: objective.and_then(|it| burn_rate(slow, answered, it.latency_ppm)),
            answered_burn: objective
                .and_then(|it| burn_rate(tally.unanswered, requests, it.answered_ppm)),
            p50_ms: tally.answered.value_at_quantile(0.50),
            p95_ms: tally.answered.value_at_quantile(0.95),
            p99_ms: tally.answered.value_at_quantile(0.99),
        }
    }
}

/// Counts the answers that took longer than `limit`. Latencies in the same histogram bucket as
/// `limit` do not count as slower.
fn count_slower_than(tally: &Tally, limit: Millis) -> u64 {
    let within: u64 = tally
        .answered
        .iter_recorded()
        .take_while(|it| it.value_iterated_to() <= tally.answered.highest_equivalent(limit.0))
        .map(|it| it.count_since_last_iteration())
        .sum();
    tally.answered.len() - within
}

fn covered_percent(started_at: Timestamp, taken_at: Timestamp, span: Millis) -> f64 {
    let span_micros = taken_at.micros_since(taken_at.before(span));
    if span_micros == 0 {
        return 0.0;
    }
    (taken_at.micros_since(started_at) as f64 / span_micros as f64).min(1.0) * PERCENT_PER_UNIT
}
