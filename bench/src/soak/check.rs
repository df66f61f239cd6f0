//! Checks the guarantees of the product on what callers and backend servers observed.

use std::{collections::HashMap, net::SocketAddr};

use stand_ins::{Server, server::ExecutedRequest};

use super::{
    callers::{Kind, Record},
    plan::Testbed,
};

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request that may run only once was executed more than once.
    ExecutedRepeatedly {
        /// Id of the attempt.
        attempt_id: String,
        /// Number of executions.
        executions: usize,
    },
    /// A caller was told that its request did not run, but a server executed it.
    WronglyReportedNotRun {
        /// Id of the attempt.
        attempt_id: String,
        /// The status code that told the caller so.
        status: u16,
    },
    /// A successful response that no server sealed, or that belongs to another request.
    WrongResponse {
        /// Id of the attempt.
        attempt_id: String,
        /// What is wrong with the response.
        reason: &'static str,
    },
    /// The events of a stream have a gap or a duplicate, or a complete stream lacks events.
    WrongEvents {
        /// Id of the attempt.
        attempt_id: String,
        /// Ids of the received events.
        events: Vec<u64>,
    },
    /// A stream has events of servers of several software versions, in one response or over its
    /// caller's tries.
    MixedVersions {
        /// Id of the attempt.
        attempt_id: String,
        /// The versions, in the order of their events.
        versions: Vec<String>,
    },
    /// A server executed a request that no caller sent in this form.
    UnrequestedExecution {
        /// The executed request.
        request: Box<ExecutedRequest>,
    },
    /// Requests were sent to a server of an evacuated data centre after the bound.
    SentToEvacuated {
        /// Id of the server.
        server: String,
        /// Number of requests, cache listings among them.
        requests: usize,
    },
    /// The process of an instance exited without a signal from the soak.
    UnexpectedExit {
        /// Name of the instance.
        instance: String,
    },
    /// An instance does not serve a kind of request within the recovery timeout.
    NotRecovered {
        /// Address of the instance's port for callers.
        caller: SocketAddr,
        /// Kind of the request.
        kind: Kind,
    },
}

impl Violation {
    /// Id of the attempt that the violation is about.
    pub(crate) fn attempt_id(&self) -> Option<&str> {
        match self {
            Violation::ExecutedRepeatedly { attempt_id, .. }
            | Violation::WronglyReportedNotRun { attempt_id, .. }
            | Violation::WrongResponse { attempt_id, .. }
            | Violation::WrongEvents { attempt_id, .. }
            | Violation::MixedVersions { attempt_id, .. } => Some(attempt_id),
            Violation::UnrequestedExecution { request } => Some(&request.attempt_id),
            _ => None,
        }
    }
}

/// Finds the instances that are not running. Every instance that the soak has stopped or
/// killed was started again, so each of these exited unexpectedly.
pub(crate) fn exited_instances(testbed: &mut Testbed) -> Vec<Violation> {
    let exited = testbed.fleet.instances.iter_mut().filter_map(|it| {
        let is_running = it.is_running();
        (!is_running).then(|| Violation::UnexpectedExit { instance: it.name.clone() })
    });
    exited.collect()
}

/// Checks the callers' records against the requests that the servers executed.
pub(crate) fn records(records: &[Record], servers: &[&Server]) -> Vec<Violation> {
    let mut executed_by_attempt: HashMap<String, Vec<ExecutedRequest>> = HashMap::new();
    for request in servers.iter().flat_map(|it| it.executed_requests()) {
        executed_by_attempt.entry(request.attempt_id.clone()).or_default().push(request);
    }
    let mut violations = Vec::new();
    for record in records {
        let executed = executed_by_attempt.remove(&record.attempt_id).unwrap_or_default();
        violations.extend(check_executions(record, executed.len()));
        violations.extend(check_response(record));
        violations.extend(check_events(record));
        violations.extend(check_versions(record));
        violations.extend(executed.into_iter().filter_map(|it| check_executed_request(record, it)));
    }
    // The remaining requests were executed without a record of a caller.
    let unrequested = executed_by_attempt.into_values().flatten();
    violations.extend(
        unrequested.map(|request| Violation::UnrequestedExecution { request: Box::new(request) }),
    );
    violations
}

fn check_executions(record: &Record, executions: usize) -> Option<Violation> {
    let attempt_id = record.attempt_id.clone();
    if record.kind.may_run_only_once() && executions > 1 {
        return Some(Violation::ExecutedRepeatedly { attempt_id, executions });
    }
    if record.reports_not_run() && executions > 0 {
        return Some(Violation::WronglyReportedNotRun { attempt_id, status: record.status });
    }
    None
}

fn check_response(record: &Record) -> Option<Violation> {
    if !(200..300).contains(&record.status) {
        return None;
    }
    let reason = if !record.is_sealed {
        "the response has no seal"
    } else if record.response_attempt_id.as_deref() != Some(&record.attempt_id) {
        "the response has the attempt id of another request"
    } else if !record.kind.is_stream()
        && record.is_complete
        && !record.body.starts_with(&format!("{} by ", record.request_line))
    {
        "the response has the body of another request"
    } else {
        return None;
    };
    Some(Violation::WrongResponse { attempt_id: record.attempt_id.clone(), reason })
}

fn check_events(record: &Record) -> Option<Violation> {
    if record.status != 200 || !record.kind.is_stream() {
        return None;
    }
    let before = record.resumes.as_ref().map_or(0, |it| it.last_event);
    let received = before + record.events.len() as u64;
    let is_prefix = record.events.iter().copied().eq(before + 1..=received);
    let is_valid = is_prefix && (!record.is_complete || received == record.kind.event_count());
    let (attempt_id, events) = (record.attempt_id.clone(), record.events.clone());
    (!is_valid).then_some(Violation::WrongEvents { attempt_id, events })
}

fn check_versions(record: &Record) -> Option<Violation> {
    let before = record.resumes.iter().filter_map(|it| it.version.clone());
    let mut versions: Vec<String> = before.chain(record.versions.iter().cloned()).collect();
    versions.dedup();
    let attempt_id = record.attempt_id.clone();
    (versions.len() > 1).then_some(Violation::MixedVersions { attempt_id, versions })
}

fn check_executed_request(record: &Record, request: ExecutedRequest) -> Option<Violation> {
    let has_same_line = format!("{} {}", request.method, request.target) == record.request_line;
    let has_same_body = request.method == "GET" || request.body == record.attempt_id.as_bytes();
    let has_team = request.team.as_deref() == Some("brewers");
    let is_valid =
        has_same_line && has_same_body && has_team && request.reserved_headers.is_empty();
    (!is_valid).then(|| Violation::UnrequestedExecution { request: Box::new(request) })
}
