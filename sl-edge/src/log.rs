//! The log: one line per decision, as JSON or plain text, on standard output. The rate of
//! lines is limited and logging does not block (see [`crate::log_buffer`]).

use std::{
    io::{self, LineWriter, Write},
    sync::{Arc, Mutex},
};

use sl_base::RequestId;
use sl_config::settings::{Log, LogFormat, LogLevel};
use sl_route::{
    Decision, Route, Team,
    activity::TokenOutcome,
    crash_causes::Cause,
    effect::{BarDecision, BarSource, ServerCrash},
    estimates::{AttemptCounts, AttemptKind},
};
use slog::{Drain, Level, LevelFilter, Logger, debug, info, o, warn};

use crate::log_buffer::{LogBuffer, LogWriter};

/// Creates a logger from the settings, and the writer of its lines, which has to be kept until
/// the daemon ends.
pub(crate) fn logger(log: Log, instance: &str) -> (Logger, LogWriter) {
    let context = o!("instance" => instance.to_owned());
    let buffer = LogBuffer::default();
    let writer = buffer.spawn_writer(io::stdout());
    let level = min_level(log.level);
    let logger = match log.format {
        LogFormat::Json => {
            let drain = Mutex::new(json_drain(buffer)).fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), context)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(buffer);
            let drain = Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse();
            Logger::root(LevelFilter::new(drain, level).fuse(), context)
        }
    };
    (logger, writer)
}

/// A drain that formats lines as JSON and writes each to `out` as a whole. The formatter itself writes
/// each quote, key and value of a line by itself.
pub fn json_drain<W: Write>(out: W) -> slog_json::Json<LineWriter<W>> {
    slog_json::Json::default(LineWriter::new(out))
}

fn min_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// A log line about a request, which may be buffered until the request ends (see
/// [`crate::detail`]).
#[derive(Debug)]
pub(crate) enum Line {
    /// The request was read and passed to the reducer.
    Admitted(Admitted),
    /// The reducer made a decision about the request.
    Decided(Decision),
}

/// The properties of a request that are logged when it is admitted.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) request: RequestId,
    /// The id that the caller gave to its attempt.
    pub(crate) attempt_id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) team: Option<Arc<Team>>,
    /// The version of the configuration in force.
    pub(crate) document_version: u64,
    /// The time left until the deadline of the response.
    pub(crate) remaining_ms: u64,
    /// The prompt's length; `None` if it is no model request.
    pub(crate) input_tokens: Option<u32>,
    /// The id of the last event that the caller has; `None` if it does not resume a stream.
    pub(crate) last_event_id: Option<u64>,
    /// The id of the caller's attempt that began the stream, if the caller names it.
    pub(crate) resumes: Option<String>,
    /// How long a graceful shutdown has been in progress; `None` before it.
    pub(crate) shutdown_ms: Option<u64>,
}

/// The outcome of a request, for its last log line.
#[derive(Debug)]
pub(crate) struct RequestEnd<'a> {
    /// The id that the caller gave to its attempt.
    pub(crate) attempt_id: &'a str,
    pub(crate) outcome: &'a str,
    pub(crate) status: u16,
    pub(crate) took_ms: u64,
    /// Whether the request failed or was late, so that all of its lines are logged.
    pub(crate) is_notable: bool,
}

/// Logs a line about a request.
pub(crate) fn write_line(log: &Logger, line: &Line) {
    match line {
        Line::Admitted(it) => info!(log, "request admitted";
            "request" => it.request.0, "id" => &it.attempt_id, "route" => &it.route.name,
            "team" => it.team.as_ref().map(|it| it.name.as_str()), "version" => it.document_version,
            "within_ms" => it.remaining_ms, "tokens" => it.input_tokens,
            "resumes_after" => it.last_event_id, "resumes" => it.resumes.as_deref(),
            "shutdown_ms" => it.shutdown_ms),
        Line::Decided(it) => write_decision(log, it),
    }
}

/// Logs the outcome of a request.
pub(crate) fn write_end(log: &Logger, end: &RequestEnd<'_>) {
    info!(log, "request ended";
        "id" => end.attempt_id, "outcome" => end.outcome, "status" => end.status,
        "took_ms" => end.took_ms);
}

/// Logs a decision with the values that it was based on.
pub(crate) fn write_decision(log: &Logger, decision: &Decision) {
    match decision {
        Decision::AttemptSent { .. } | Decision::RequestRefused { .. } => {
            write_placement(log, decision);
        }
        Decision::StreamResumed { request, known, version } => {
            info!(log, "stream resumed by caller";
                "request" => request.0, "known" => %known, "began_at" => version.as_deref());
        }
        Decision::VersionRecordFound { versions, no_proof } => {
            info!(log, "version record found";
                "versions" => versions.join(","), "proves" => no_proof.is_none(),
                "no_proof" => no_proof.map(<&str>::from));
        }
        Decision::StreamOriginDeduced { request, version } => {
            info!(log, "stream origin deduced from version record";
                "request" => request.0, "version" => version.as_ref());
        }
        Decision::ResponseStarted { request, server, took_ms, expected_ms, .. } => {
            info!(log, "response started";
                "request" => request.0, "server" => %server, "took_ms" => took_ms.round(),
                "expected_ms" => expected_ms.round());
        }
        Decision::TeamActivity { .. } => write_team_activity(log, decision),
        Decision::AttemptEstimates { kind, counts } => write_estimates(log, *kind, counts),
        Decision::AttemptFailed { request, server, fault, next, denial } => warn!(
            log, "attempt failed";
            "request" => request.0, "server" => %server, "fault" => %fault, "then" => %next,
            "no_retry" => denial.map(<&str>::from)),
        Decision::AttemptSilent { request, server, denial } => info!(
            log, "attempt continues on a silent server";
            "request" => request.0, "server" => %server, "no_retry" => %denial),
        Decision::RequestFailed { request, reason } => {
            warn!(log, "request failed"; "request" => request.0, "why" => %reason)
        }
        Decision::ServerAvoided { .. }
        | Decision::DrainAnnounced { .. }
        | Decision::PauseRequested { .. }
        | Decision::LimitNamed { .. }
        | Decision::LimitEnded { .. }
        | Decision::ServerCold { .. }
        | Decision::ServerWarm { .. }
        | Decision::ServerEntryOutdated { .. }
        | Decision::ServerChanged { .. }
        | Decision::CacheKnown { .. } => write_server_decision(log, decision),
        Decision::DataCentreEvacuated { .. }
        | Decision::DataCentreReturned { .. }
        | Decision::StoreRestored
        | Decision::PeerSilent { .. } => write_fleet_decision(log, decision),
        Decision::Barred(bar) => write_bar(log, bar),
        Decision::BarCleared { cause } => write_bar_cleared(log, *cause),
        Decision::ServerCrashed(crash) => write_server_crash(log, crash),
    }
}

/// Logs which server a request is sent to, or why it is refused; other decisions are ignored.
fn write_placement(log: &Logger, decision: &Decision) {
    match decision {
        Decision::AttemptSent {
            request,
            server,
            attempt,
            expected_ms,
            expected_end_ms,
            backlog_ms,
            prefill_tokens,
            fetch_tokens,
            candidates,
            view_age_ms,
            is_cold,
            data_centre_share,
            left_data_centre,
            body_bytes: _,
        } => info!(log, "attempt sent";
            "request" => request.0, "server" => %server, "attempt" => attempt,
            "expected_ms" => expected_ms.round(), "end_ms" => expected_end_ms.round(),
            "backlog_ms" => backlog_ms.round(),
            "to_read" => prefill_tokens, "to_fetch" => fetch_tokens, "candidates" => candidates,
            "heard_ms" => view_age_ms.round(), "cold" => is_cold,
            "data_centre_share" => (*data_centre_share > 0.0).then(|| rounded(*data_centre_share)),
            "left_data_centre" => left_data_centre.map(<&str>::from)),
        Decision::RequestRefused {
            request,
            reason,
            cost_ms,
            expected_ms,
            end_ms,
            allowed_ms,
            share_usage,
            route_admitted,
        } => info!(log, "request refused";
            "request" => request.0, "why" => %reason, "counted_ms" => cost_ms.round(),
            "expected_ms" => expected_ms.round(), "end_ms" => end_ms.round(),
            "allowed_ms" => allowed_ms.round(), "team_share" => rounded(*share_usage),
            "route_admitted" => rounded(*route_admitted)),
        _ => {}
    }
}

/// Logs a decision on data centres, the store or peers; other decisions are ignored.
fn write_fleet_decision(log: &Logger, decision: &Decision) {
    match decision {
        Decision::DataCentreEvacuated { data_centre, servers } => {
            warn!(log, "data centre evacuated"; "data_centre" => %data_centre, "servers" => servers);
        }
        Decision::DataCentreReturned { data_centre, servers } => {
            warn!(log, "data centre returned"; "data_centre" => %data_centre, "servers" => servers);
        }
        Decision::StoreRestored => {
            info!(log, "entries older than those known are ignored for a while");
        }
        Decision::PeerSilent { peer } => debug!(log, "peer silent"; "peer" => peer),
        _ => {}
    }
}

/// Logs a decision on a server; other decisions are ignored.
fn write_server_decision(log: &Logger, decision: &Decision) {
    match decision {
        Decision::ServerAvoided { server, fault, failure_rate, for_ms } => {
            info!(log, "server avoided";
                "server" => %server, "fault" => %fault, "failing" => rounded(*failure_rate),
                "for_ms" => for_ms);
        }
        Decision::DrainAnnounced { server, from_peer } => {
            info!(log, "drain announced by server"; "server" => %server, "by_peer" => from_peer);
        }
        Decision::PauseRequested { server, for_ms } => {
            info!(log, "pause requested by server"; "server" => %server, "for_ms" => for_ms);
        }
        Decision::LimitNamed { server, per_second, from_peer } => {
            info!(log, "request limit named by server";
                "server" => %server, "per_s" => per_second, "by_peer" => from_peer);
        }
        Decision::LimitEnded { server, from_peer } => {
            info!(log, "request limit of server ended";
                "server" => %server, "by_peer" => from_peer);
        }
        Decision::ServerCold { server, for_ms, is_sender } => {
            info!(log, "server cold";
                "server" => %server, "for_ms" => for_ms, "sends" => is_sender);
        }
        Decision::ServerWarm { server } => info!(log, "server warm"; "server" => %server),
        Decision::ServerEntryOutdated { server } => {
            info!(log, "server entry older than the one known, ignored"; "server" => %server);
        }
        Decision::ServerChanged { server, state, version } => {
            info!(log, "server changed";
                "server" => %server, "now" => *state, "version" => version.as_deref());
        }
        Decision::CacheKnown { server, parts, from_engine } => {
            info!(log, "cache contents updated";
                "server" => %server, "parts" => parts, "by_engine" => from_engine);
        }
        _ => {}
    }
}

/// Logs what a team asked for and got; other decisions are ignored.
fn write_team_activity(log: &Logger, decision: &Decision) {
    let Decision::TeamActivity { tokens, share_usage, recent_demand, fair_share } = decision else {
        return;
    };
    info!(log, "team activity";
        "team" => &tokens.team.name, "requested" => tokens.requested,
        "granted" => tokens.of(TokenOutcome::Granted),
        "refused" => tokens.of(TokenOutcome::Refused), "shed" => tokens.of(TokenOutcome::Shed),
        "lost" => tokens.of(TokenOutcome::Lost), "given_up" => tokens.of(TokenOutcome::GivenUp),
        "barred" => tokens.of(TokenOutcome::Barred),
        "stopping" => tokens.of(TokenOutcome::Stopping),
        "unread" => tokens.of(TokenOutcome::Unread),
        "unlocated" => tokens.of(TokenOutcome::Unlocated), "team_share" => rounded(*share_usage),
        "team_asks" => rounded(*recent_demand), "fair_share" => fair_share.map(f64::round));
}

/// Logs how far the expected times of attempts held.
fn write_estimates(log: &Logger, kind: AttemptKind, counts: &AttemptCounts) {
    info!(log, "attempt estimates";
        "kind" => %kind, "sent" => counts.sent, "prefill_tokens" => counts.prefill_tokens,
        "started" => counts.started, "expected_ms" => counts.expected_ms.round(),
        "took_ms" => counts.took_ms.round());
}

/// Logs that requests are no longer run because servers crashed under them.
fn write_bar(log: &Logger, bar: &BarDecision) {
    let BarDecision { cause, crashes, source } = *bar;
    let (from_peer, from_store) = (source == BarSource::Peer, source == BarSource::Store);
    match cause {
        Cause::Request(fingerprint) => {
            warn!(log, "request blocked: servers crashed while running it";
                "fingerprint" => keys(&[fingerprint]), "crashes" => crashes, "by_peer" => from_peer,
                "by_store" => from_store);
        }
        Cause::Part(part) => {
            warn!(log, "prompt part blocked: engines crashed while beginning an answer";
                "part" => keys(&[part]), "crashes" => crashes, "by_peer" => from_peer,
                "by_store" => from_store);
        }
    }
}

/// Logs that requests are run again, since one of them completed.
fn write_bar_cleared(log: &Logger, cause: Cause) {
    match cause {
        Cause::Request(fingerprint) => {
            info!(log, "request no longer blocked"; "fingerprint" => keys(&[fingerprint]));
        }
        Cause::Part(part) => info!(log, "prompt part no longer blocked"; "part" => keys(&[part])),
    }
}

/// Logs the crash of a server and what its suspects have in common.
fn write_server_crash(log: &Logger, crash: &ServerCrash) {
    warn!(log, "server crashed: all its attempts were lost";
        "server" => %crash.server, "lost" => crash.lost, "suspects" => crash.suspects,
        "requests" => keys(&crash.requests), "parts" => keys(&crash.parts));
}

/// Keys of prompt parts or fingerprints in hexadecimal, separated by commas.
fn keys(keys: &[u64]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("{it:016x}")).collect();
    keys.join(",")
}

/// Rounds to two decimal places.
fn rounded(value: f64) -> f64 {
    (value * HUNDREDTHS_PER_UNIT).round() / HUNDREDTHS_PER_UNIT
}

const HUNDREDTHS_PER_UNIT: f64 = 100.0;
