//! The promises, checked on what callers and backend servers saw.

use std::{collections::HashMap, net::SocketAddr};

use stand_ins::{Server, server::ExecutedRequest};

use super::{
    callers::{Kind, Record},
    plan::Site,
};

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that may run once ran more often.
    RanTwice {
        /// The attempt.
        attempt: String,
        /// How often.
        runs: usize,
    },
    /// A caller was told that its request did not run, and it did.
    SaidNotRun {
        /// The attempt.
        attempt: String,
        /// The status that said so.
        status: u16,
    },
    /// A success that no server sealed, or that answers another request.
    NotItsAnswer {
        /// The attempt.
        attempt: String,
        /// What is wrong.
        what: &'static str,
    },
    /// A stream's events have a gap, come twice, or its whole is not whole.
    Disordered {
        /// The attempt.
        attempt: String,
        /// The events.
        events: Vec<u64>,
    },
    /// A server ran something that was not asked for in this form.
    Unasked {
        /// What the server ran.
        run: Box<ExecutedRequest>,
    },
    /// An instance ended though nobody ended it.
    EndedByItself {
        /// The instance.
        instance: String,
    },
    /// An instance does not serve a kind of request long after the last fault.
    NotRecovered {
        /// Where callers call it.
        caller: SocketAddr,
        /// The kind of request.
        kind: Kind,
    },
}

/// Events of a whole stream.
const EVENTS: u64 = 10;

/// Instances that are not running though every one was started again.
pub(crate) fn ended_by_themselves(site: &mut Site) -> Vec<Violation> {
    let ended = site.fleet.instances.iter_mut().filter_map(|it| {
        let is_running = it.is_running();
        (!is_running).then(|| Violation::EndedByItself { instance: it.name.clone() })
    });
    ended.collect()
}

/// Checks everything that was seen.
pub(crate) fn records(records: &[Record], servers: &[&Server]) -> Vec<Violation> {
    let mut runs: HashMap<String, Vec<ExecutedRequest>> = HashMap::new();
    for run in servers.iter().flat_map(|it| it.executed_requests()) {
        runs.entry(run.attempt_id.clone()).or_default().push(run);
    }
    let mut violations = Vec::new();
    for record in records {
        let of = runs.remove(&record.attempt).unwrap_or_default();
        violations.extend(counted(record, of.len()));
        violations.extend(own_answer(record));
        violations.extend(in_order(record));
        violations.extend(of.into_iter().filter_map(|it| as_asked(record, it)));
    }
    // What is left was run for nobody.
    let unasked = runs.into_values().flatten();
    violations.extend(unasked.map(|run| Violation::Unasked { run: Box::new(run) }));
    violations
}

fn counted(record: &Record, runs: usize) -> Option<Violation> {
    let attempt = record.attempt.clone();
    if record.kind.runs_once() && runs > 1 {
        return Some(Violation::RanTwice { attempt, runs });
    }
    if record.says_not_run() && runs > 0 {
        return Some(Violation::SaidNotRun { attempt, status: record.status });
    }
    None
}

fn own_answer(record: &Record) -> Option<Violation> {
    if !(200..300).contains(&record.status) {
        return None;
    }
    let what = if !record.is_sealed {
        "no seal"
    } else if record.answers.as_deref() != Some(&record.attempt) {
        "the id of another request"
    } else if !record.kind.is_stream()
        && record.is_whole
        && !record.body.starts_with(&format!("{} by ", record.line))
    {
        "the body of another request"
    } else {
        return None;
    };
    Some(Violation::NotItsAnswer { attempt: record.attempt.clone(), what })
}

fn in_order(record: &Record) -> Option<Violation> {
    if record.status != 200 || !record.kind.is_stream() {
        return None;
    }
    let is_prefix = record.events.iter().copied().eq(1..=record.events.len() as u64);
    let is_good = is_prefix && (!record.is_whole || record.events.len() as u64 == EVENTS);
    let (attempt, events) = (record.attempt.clone(), record.events.clone());
    (!is_good).then_some(Violation::Disordered { attempt, events })
}

fn as_asked(record: &Record, run: ExecutedRequest) -> Option<Violation> {
    let is_line = format!("{} {}", run.method, run.target) == record.line;
    let is_body = run.method == "GET" || run.body == record.attempt.as_bytes();
    let is_team = run.team.as_deref() == Some("brewers");
    let is_good = is_line && is_body && is_team && run.reserved_headers.is_empty();
    (!is_good).then(|| Violation::Unasked { run: Box::new(run) })
}
