//! Decides what is wrong or suspicious in a configuration, without I/O.

use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
};

use platform::{DocumentEntries, Malformed, RouteEntry, store::VALUE_BYTES_MAX};
use serde::Serialize;
use sl_base::Millis;
use sl_route::Limits;
use strum::{Display, IntoStaticStr};
use thiserror::Error;

use super::difference::shortened_key;

/// The most servers that the system is sized for (docs/CAPACITY.md).
const SERVERS_MAX: u32 = 5_700;

/// Whether a configuration can be used in spite of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Severity {
    /// The store or the instances would not do what is written.
    Error,
    /// The configuration is usable but probably not what is meant.
    Warning,
}

/// Where a finding is.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(untagged)]
pub enum Position {
    /// A place in the text, counted from 1.
    #[strum(to_string = "line {line}, column {column}")]
    Text {
        /// The line.
        line: usize,
        /// The column in bytes.
        column: usize,
    },
    /// The path of an entry, such as `routes[3].prefix`.
    #[strum(to_string = "{path}")]
    Path {
        /// The path.
        path: String,
    },
    /// The file as a whole.
    #[strum(to_string = "file")]
    File {},
}

/// Kind of a finding, with the names and values concerned.
#[derive(Debug, Error, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Problem {
    #[error("{0}")]
    Malformed(String),
    #[error("the version in force cannot be decoded: {0}")]
    MalformedInForce(String),
    #[error("{0} bytes, but the store accepts at most {VALUE_BYTES_MAX}")]
    TooLarge(usize),
    #[error("instances ignore version 0")]
    VersionZero,
    #[error("instances ignore version {version}: it is not above {in_force}, which is in force")]
    VersionNotAbove { version: u64, in_force: u64 },
    #[error("not used as written: {0}")]
    Deviation(&'static str),
    #[error("never matches: routes[{0}] has the same host and prefix")]
    HiddenRoute(usize),
    #[error("never matches: hosts are compared without a port")]
    HostWithPort,
    #[error("never matches: paths end before `?`")]
    PrefixWithQuery,
    #[error("matches no path, as paths begin with `/`; only targets of another form match")]
    RelativePrefix,
    #[error("the service `{0}` is not listed, so that instances use none of its servers")]
    UnlistedService(String),
    #[error("the weights sum to 0, so that no service gets requests")]
    NoWeight,
    #[error("with 0, {0}")]
    ZeroLimit(&'static str),
    #[error("replaced by services[{0}] of the same name")]
    ReplacedService(usize),
    #[error("API key {key} belongs to tenants[{team}], which holds it as well")]
    SharedKey { key: String, team: usize },
    #[error("API key {0} is listed more than once")]
    RepeatedKey(String),
    #[error("tenants[{0}] has the same name, and both count as one team")]
    RepeatedTeam(usize),
    #[error("no request belongs to this team: it has no API key")]
    NoKeys,
    #[error("without tenants, no route asks for an API key, although this one is not anonymous")]
    NoTenants,
    #[error(
        "`tenants` lists no team, so that every request without an anonymous route is rejected"
    )]
    NoValidKey,
    #[error("no route names this service")]
    UnusedService,
    #[error("{target} is above the timeout of {timeout}")]
    TargetAboveTimeout { target: Millis, timeout: Millis },
    #[error("{0} attempts are more than servers can exist ({SERVERS_MAX})")]
    TooManyAttempts(u32),
    #[error("with 0, every request with a body is rejected")]
    NoBodies,
}

impl Problem {
    fn severity(&self) -> Severity {
        match self {
            Problem::RelativePrefix
            | Problem::RepeatedKey(_)
            | Problem::RepeatedTeam(_)
            | Problem::NoKeys
            | Problem::NoTenants
            | Problem::UnusedService
            | Problem::TargetAboveTimeout { .. }
            | Problem::TooManyAttempts(_)
            | Problem::NoBodies => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// What is wrong or suspicious, and where.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// Whether the configuration can be used in spite of it.
    pub severity: Severity,
    /// Name of the kind of finding.
    pub kind: &'static str,
    /// Where it is.
    #[serde(flatten)]
    pub position: Position,
    /// Description for the operator.
    pub problem: String,
}

impl Finding {
    fn new(position: Position, problem: Problem) -> Finding {
        let (severity, description) = (problem.severity(), problem.to_string());
        Finding { severity, kind: problem.into(), position, problem: description }
    }

    fn at(path: impl Display, problem: Problem) -> Finding {
        Finding::new(Position::Path { path: path.to_string() }, problem)
    }

    pub(super) fn malformed(error: &Malformed) -> Finding {
        let position = match error {
            Malformed::Json(e) => Position::Text { line: e.line(), column: e.column() },
            Malformed::Value(field) => Position::Path { path: (*field).to_owned() },
        };
        Finding::new(position, Problem::Malformed(message(error)))
    }

    pub(super) fn malformed_in_force(error: &Malformed) -> Finding {
        let position = Finding::malformed(error).position;
        let problem = Problem::MalformedInForce(format!("{position}: {}", message(error)));
        Finding::new(Position::File {}, problem)
    }
}

fn message(error: &Malformed) -> String {
    match error {
        Malformed::Json(e) => without_value(&e.to_string()),
        _ => error.to_string(),
    }
}

/// Removes the value and the position from a message of `serde_json`, since the value may be an
/// API key in the wrong place.
fn without_value(message: &str) -> String {
    let message = message.rsplit_once(" at line ").map_or(message, |it| it.0);
    let Some((found, expected)) = message.rsplit_once(", expected ") else {
        return message.to_owned();
    };
    let kind = found.split(['"', '`']).next().unwrap_or_default().trim_end();
    format!("{kind}, expected {expected}")
}

pub(super) fn of_size(bytes: usize) -> Option<Finding> {
    let is_too_large = bytes > VALUE_BYTES_MAX;
    is_too_large.then(|| Finding::new(Position::File {}, Problem::TooLarge(bytes)))
}

/// The findings of a decoded configuration. `in_force` is the version in force, if it is known.
pub(super) fn of_entries(entries: &DocumentEntries, in_force: Option<u64>) -> Vec<Finding> {
    let mut found = Vec::new();
    found.extend(of_version(entries.version, in_force));
    let deviations = entries.deviations.iter();
    found.extend(deviations.map(|it| Finding::at(&it.path, Problem::Deviation(it.used))));
    let listed: HashSet<&str> = entries.services.iter().map(|it| it.name.as_str()).collect();
    for (index, entry) in entries.routes.iter().enumerate() {
        of_match(index, &entries.routes, &mut found);
        of_services(entry, &listed, &mut found);
        of_times(entry, &mut found);
        of_keys(entry, entries, &mut found);
    }
    of_service_list(entries, &mut found);
    of_teams(entries, &mut found);
    of_limits(&entries.limits, &mut found);
    found
}

fn of_version(version: u64, in_force: Option<u64>) -> Option<Finding> {
    let problem = match in_force {
        _ if version == 0 => Problem::VersionZero,
        Some(in_force) if version <= in_force => Problem::VersionNotAbove { version, in_force },
        _ => return None,
    };
    Some(Finding::at("version", problem))
}

/// Of several routes with the same host and prefix, the first one gets all requests.
fn of_match(index: usize, routes: &[RouteEntry], found: &mut Vec<Finding>) {
    let RouteEntry { position, route, .. } = &routes[index];
    let is_same = |it: &RouteEntry| {
        it.route.host.eq_ignore_ascii_case(&route.host) && it.route.prefix == route.prefix
    };
    let prefix = format!("routes[{position}].prefix");
    if let Some(first) = routes[..index].iter().find(|it| is_same(it)) {
        found.push(Finding::at(&prefix, Problem::HiddenRoute(first.position)));
    }
    if route.host.contains(':') {
        found.push(Finding::at(format!("routes[{position}].hostname"), Problem::HostWithPort));
    }
    if route.prefix.contains('?') {
        found.push(Finding::at(&prefix, Problem::PrefixWithQuery));
    }
    if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
        found.push(Finding::at(&prefix, Problem::RelativePrefix));
    }
}

/// Whether the route's requests need a key that nobody has, or none where one is meant.
fn of_keys(entry: &RouteEntry, entries: &DocumentEntries, found: &mut Vec<Finding>) {
    if entry.route.allows_anonymous || !entries.teams.is_empty() {
        return;
    }
    let problem = if entries.has_teams { Problem::NoValidKey } else { Problem::NoTenants };
    found.push(Finding::at(format!("routes[{}].anonymous", entry.position), problem));
}

fn of_services(entry: &RouteEntry, listed: &HashSet<&str>, found: &mut Vec<Finding>) {
    let unlisted = entry.service_names.iter().filter(|it| !listed.contains(it.as_str()));
    let path = format!("routes[{}]", entry.position);
    found.extend(unlisted.map(|it| Finding::at(&path, Problem::UnlistedService(it.clone()))));
    let has_services = !entry.route.services.is_empty();
    if has_services && entry.route.services.iter().all(|it| it.1 == 0) {
        found.push(Finding::at(format!("{path}.traffic_split"), Problem::NoWeight));
    }
}

fn of_times(entry: &RouteEntry, found: &mut Vec<Finding>) {
    let (route, timeout) = (&entry.route, entry.route.timeout);
    let path = |field| format!("routes[{}].{field}", entry.position);
    if timeout == Millis(0) {
        let problem = Problem::ZeroLimit("every request is too late");
        found.push(Finding::at(path("timeout_ms"), problem));
    }
    let targets =
        [("target_latency_ms", Some(route.target_latency)), ("target_gap_ms", route.target_gap)];
    for (field, target) in targets {
        if let Some(target) = target.filter(|it| *it > timeout) {
            let problem = Problem::TargetAboveTimeout { target, timeout };
            found.push(Finding::at(path(field), problem));
        }
    }
    if route.max_attempts > SERVERS_MAX {
        let problem = Problem::TooManyAttempts(route.max_attempts);
        found.push(Finding::at(path("max_attempts"), problem));
    }
}

/// Of several services with the same name, the last one counts.
fn of_service_list(entries: &DocumentEntries, found: &mut Vec<Finding>) {
    let used: HashSet<&String> = entries.routes.iter().flat_map(|it| &it.service_names).collect();
    for (index, service) in entries.services.iter().enumerate() {
        let last = entries.services.iter().rposition(|it| it.name == service.name);
        let path = format!("services[{index}]");
        if let Some(last) = last.filter(|it| *it > index) {
            found.push(Finding::at(&path, Problem::ReplacedService(last)));
        }
        if !used.contains(&service.name) {
            found.push(Finding::at(&path, Problem::UnusedService));
        }
    }
}

/// Of several teams with the same API key, the last one gets its requests.
fn of_teams(entries: &DocumentEntries, found: &mut Vec<Finding>) {
    let teams = || entries.teams.iter().enumerate();
    let holders: HashMap<&str, usize> = teams()
        .flat_map(|(index, (_, keys))| keys.iter().map(move |it| (it.as_str(), index)))
        .collect();
    for (index, (team, keys)) in teams() {
        let first = entries.teams[..index].iter().position(|it| it.0.name == team.name);
        if let Some(first) = first {
            found.push(Finding::at(format!("tenants[{index}].name"), Problem::RepeatedTeam(first)));
        }
        if keys.is_empty() {
            found.push(Finding::at(format!("tenants[{index}].api_keys"), Problem::NoKeys));
        }
        let mut seen = HashSet::new();
        for (place, key) in keys.iter().enumerate() {
            let path = format!("tenants[{index}].api_keys[{place}]");
            let holder = holders[key.as_str()];
            if holder != index {
                let problem = Problem::SharedKey { key: shortened_key(key), team: holder };
                found.push(Finding::at(&path, problem));
            }
            if !seen.insert(key) {
                found.push(Finding::at(&path, Problem::RepeatedKey(shortened_key(key))));
            }
        }
    }
}

fn of_limits(limits: &Limits, found: &mut Vec<Finding>) {
    let zero_limits = [
        ("max_header_bytes", limits.max_header_bytes == 0, "every request is rejected"),
        (
            "header_timeout_ms",
            limits.header_timeout == Millis(0),
            "a head that has not arrived at once is too late",
        ),
        (
            "idle_timeout_ms",
            limits.idle_timeout == Millis(0),
            "connections without a waiting request are closed",
        ),
    ];
    for (field, _, effect) in zero_limits.into_iter().filter(|it| it.1) {
        found.push(Finding::at(format!("limits.{field}"), Problem::ZeroLimit(effect)));
    }
    if limits.max_body_bytes == 0 {
        found.push(Finding::at("limits.max_body_bytes", Problem::NoBodies));
    }
}
