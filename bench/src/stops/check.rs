//! Checks what callers and servers observed while instances were stopped.

use std::{
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

use stand_ins::Server;

use super::{
    callers::Trace,
    stop::{Stop, relative_ms},
};
use crate::soak::{self, Kind, Record};

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A whole request got no complete response.
    Lost,
    /// An instance had not exited at the end of the grace period, and was killed.
    StoppedLate,
    /// An instance that stopped reported itself as ready, 4 s later or more.
    StillReady,
    /// An instance exited unbidden, or with a status that is not success.
    UnexpectedExit,
    /// A rule of the soak with unplanned faults.
    Soak(soak::Violation),
}

/// A broken rule, where and when.
#[derive(Clone, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Name of the instance.
    pub instance: String,
    /// Request and times, in milliseconds from the first SIGTERM of the instance.
    pub trace: String,
}

impl fmt::Debug for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {}: {}", self.rule, self.instance, self.trace)
    }
}

/// How long after its last byte the connection of a request that was not passed on may be closed:
/// `loss_slack_ms`.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How long after SIGTERM a request may be sent that may be cut in the last sixth of the grace
/// period.
const CUT_SENT_WITHIN: Duration = Duration::from_secs(3);

/// How long after SIGTERM the last sixth of the grace period begins, in fractions of that period.
const LAST_SIXTH: f64 = 5.0 / 6.0;

/// What the servers did with an attempt.
#[derive(Default)]
struct Work {
    servers: Vec<String>,
    finished_at: Option<Instant>,
}

/// Checks the traces against what the servers executed.
pub(crate) fn traces(
    traces: &[Trace],
    stops: &[Stop],
    servers: &[&Server],
    names: &[String],
) -> Vec<Violation> {
    let mut work: HashMap<String, Work> = HashMap::new();
    for server in servers {
        for request in server.executed_requests() {
            let servers = &mut work.entry(request.attempt_id).or_default().servers;
            servers.push(server.spec.id.clone());
        }
        for (attempt_id, finished_at) in server.finished() {
            work.entry(attempt_id).or_default().finished_at = Some(finished_at);
        }
    }
    let violation = |rule, trace: &Trace| Violation {
        rule,
        instance: names[trace.instance].clone(),
        trace: describe(trace, stop_of(trace, stops), work.get(&trace.record.attempt_id)),
    };
    let lost =
        traces.iter().filter(|it| is_lost(it, stop_of(it, stops), work.get(&it.record.attempt_id)));
    let mut violations: Vec<Violation> = lost.map(|it| violation(Rule::Lost, it)).collect();
    let records: Vec<Record> = traces.iter().map(|it| it.record.clone()).collect();
    for found in soak::check::records(&records, servers) {
        let trace = traces.iter().find(|it| Some(&*it.record.attempt_id) == found.attempt_id());
        violations.push(match trace {
            Some(trace) => violation(Rule::Soak(found), trace),
            None => Violation {
                rule: Rule::Soak(found),
                instance: "unknown".to_owned(),
                trace: String::new(),
            },
        });
    }
    violations
}

/// The stop of the process to which the connection of the request leads.
fn stop_of<'a>(trace: &Trace, stops: &'a [Stop]) -> Option<&'a Stop> {
    let of_instance = stops.iter().filter(|it| it.instance == trace.instance);
    of_instance.filter(|it| trace.connected_at < it.exited_at).min_by_key(|it| it.exited_at)
}

fn is_lost(trace: &Trace, stop: Option<&Stop>, work: Option<&Work>) -> bool {
    let Some(sent_at) = trace.sent_at else {
        return false;
    };
    let is_answered = trace.record.status != 0 && trace.record.is_complete;
    let timeout = trace.timeout.min(route_timeout(trace.record.kind));
    if is_answered || trace.gave_up || trace.ended_at >= trace.started_at + timeout {
        return false;
    }
    let Some(work) = work else {
        return trace.ended_at > sent_at + LOSS_SLACK;
    };
    let may_be_cut = stop.is_some_and(|it| {
        let worked_until = work.finished_at.unwrap_or(trace.ended_at);
        let is_early = sent_at <= it.started_at() + CUT_SENT_WITHIN;
        is_early && worked_until >= it.started_at() + super::GRACE.mul_f64(LAST_SIXTH)
    });
    !may_be_cut
}

fn route_timeout(kind: Kind) -> Duration {
    let seconds = match kind {
        Kind::Talk => 12,
        Kind::Chat | Kind::Sheet => 8,
        _ => 1,
    };
    Duration::from_secs(seconds)
}

fn describe(trace: &Trace, stop: Option<&Stop>, work: Option<&Work>) -> String {
    let origin = stop.map_or(trace.started_at, Stop::origin);
    let ms = |at| relative_ms(origin, at);
    let Trace { record, .. } = trace;
    let finished = work.and_then(|it| it.finished_at).map_or("never".to_owned(), ms);
    format!(
        "{} {} timeout {} connected {} begun {} sent {} ended {} status {} events {}{}; \
         run by {:?}, finished {finished}; {}",
        record.attempt_id,
        record.request_line,
        trace.timeout.as_millis(),
        ms(trace.connected_at),
        ms(trace.started_at),
        trace.sent_at.map_or("never".to_owned(), ms),
        ms(trace.ended_at),
        record.status,
        record.events.len(),
        if trace.gave_up { " (gave up)" } else { "" },
        work.map_or(&[][..], |it| &it.servers),
        stop.map_or("not stopped".to_owned(), Stop::describe),
    )
}
