//! `sesamelock explain`: traces a request through the logs of the instances that handled it:
//! the decisions, their inputs, and the state that the instance knew when the request arrived.
//! docs/OPERATIONS.md has an example.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    io::{self, BufRead},
    path::PathBuf,
    time::{Duration, SystemTime},
};

use miette::Diagnostic;
use serde::Serialize;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::{
    exit::Exit,
    file::ReadError,
    output::{self, OutputFormat},
};

/// Options of `explain`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Attempt id of the request, as sent by the caller.
    pub id: String,
    /// Log files of any number of instances; if empty, standard input is read.
    pub files: Vec<PathBuf>,
    /// Text or JSON output.
    pub format: OutputFormat,
}

/// The traces of a request.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Attempt id of the request, as sent by the caller.
    pub id: String,
    /// One trace per instance that handled the request or one that resumed its stream, ordered by
    /// time.
    #[serde(rename = "stories")]
    pub traces: Vec<Trace>,
}

/// Log lines of one instance about a request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// Name of the instance.
    pub instance: String,
    /// Attempt id of the request, or of one that resumed its stream.
    pub id: String,
    /// The lines about the request, oldest first.
    pub steps: Vec<Line>,
    /// The state that the instance knew when the request arrived: for each kind of line and
    /// server that the request depended on, the latest line before the request. Oldest first.
    #[serde(rename = "beliefs")]
    pub known_state: Vec<StateLine>,
}

/// A log line that describes state known before the request.
#[derive(Clone, Debug, Serialize)]
pub struct StateLine {
    /// Age of the line when the request arrived, in milliseconds.
    pub age_ms: u64,
    /// The latest line of its kind, and of its server if it names one, before the request.
    pub line: Line,
}

/// A line of a structured log.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Time of the event, in RFC 3339.
    pub ts: String,
    /// Message that names the event.
    pub msg: String,
    /// All fields other than `ts`, `msg`, `instance`, `level` and `ago_ms`.
    pub fields: Map<String, Value>,
}

/// Error of `explain`.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// A log file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] ReadError),
    /// Standard input could not be read.
    #[error("failed to read standard input")]
    Input(#[from] io::Error),
    /// No log line mentions the request; holds its attempt id.
    #[error("no log line mentions request {0}")]
    #[diagnostic(help(
        "the load balancer picks one of several instances; pass the logs of all of them"
    ))]
    NotFound(String),
}

impl Error {
    /// Maps this error to the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self {
            Error::NotFound(_) => Exit::NotFound,
            Error::Read(_) | Error::Input(_) => Exit::Failed,
        }
    }
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Messages that describe the state of the whole instance.
const GENERAL: [&str; 15] = [
    "started",
    "cache contents received from peer",
    "configuration in force",
    "store unavailable",
    "store available again",
    "store watch left to peers",
    "store watch resumed",
    "settings changed",
    "machine was suspended",
    // Texts of older builds.
    "the machine stood still",
    "beliefs taken over",
    "store lost",
    "store regained",
    "store followed by others",
    "store followed from here",
];

/// Messages that describe the state of one backend server, named by the field `server`.
const OF_SERVER: [&str; 8] = [
    "server changed",
    "server avoided",
    "cache contents updated",
    "request limit named by server",
    "request limit of server ended",
    "server cold",
    "server warm",
    // Text of older builds.
    "cache known",
];

/// Messages that describe a limit of a server, which may have kept a request from all servers.
const OF_LIMITS: [&str; 4] = [
    "request limit named by server",
    "request limit of server ended",
    "server cold",
    "server warm",
];

/// The reason of a refusal because no server took the request, as logged.
const TURNED_AWAY: &str = "turned_away";

/// Reads the logs and collects the traces of the request.
///
/// # Errors
///
/// [`Error`] if a log cannot be read or no line mentions the request.
pub fn explain(options: &Options, input: impl BufRead) -> Result<Outcome, Error> {
    let mut logs: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    if options.files.is_empty() {
        read_log(input, &mut logs)?;
    }
    for path in &options.files {
        let file = fs::File::open(path).map_err(ReadError::at(path))?;
        read_log(io::BufReader::new(file), &mut logs).map_err(ReadError::at(path))?;
    }
    let ids = related_ids(&logs, &options.id);
    let mut traces = Vec::new();
    for (instance, lines) in &mut logs {
        lines.sort_by_key(Line::time);
        traces.extend(ids.iter().filter_map(|id| trace(instance, lines, id)));
    }
    traces.sort_by(|a, b| first_ts(a).cmp(first_ts(b)));
    if traces.is_empty() {
        return Err(Error::NotFound(options.id.clone()));
    }
    Ok(Outcome { id: options.id.clone(), traces })
}

/// The attempt `id`, and the attempts by which the caller took up the stream that `id` began.
fn related_ids(logs: &BTreeMap<String, Vec<Line>>, id: &str) -> BTreeSet<String> {
    let resumed = logs.values().flatten().filter(|it| it.field("resumes") == Some(id));
    let resumed = resumed.filter_map(|it| it.field("id"));
    resumed.chain([id]).map(str::to_owned).collect()
}

fn first_ts(trace: &Trace) -> &str {
    trace.steps.first().map_or("", |it| &it.ts)
}

/// Adds the lines of `input` to `logs`, by instance. Skips anything before the first `{` of a
/// line, such as a prefix written by a log collector, and lines that are not log entries.
fn read_log(input: impl BufRead, logs: &mut BTreeMap<String, Vec<Line>>) -> io::Result<()> {
    for line in input.lines() {
        let line = line?;
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(mut fields) = serde_json::from_str::<Map<String, Value>>(line[start..].trim())
        else {
            continue;
        };
        let mut text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (Some(instance), Some(ts), Some(msg)) = (text("instance"), text("ts"), text("msg"))
        else {
            continue;
        };
        fields.remove("level");
        let ago_ms = fields.remove("ago_ms").and_then(|it| it.as_f64()).unwrap_or_default();
        let ts = event_time(ts, ago_ms);
        logs.entry(instance).or_default().push(Line { ts, msg, fields });
    }
    Ok(())
}

/// Returns the time `ago_ms` milliseconds before `ts`. Some lines are written only after it
/// turns out that the request is worth logging; `ago_ms` is the delay since the event.
fn event_time(ts: String, ago_ms: f64) -> String {
    let ago = Duration::try_from_secs_f64(ago_ms / MILLIS_PER_SECOND).unwrap_or_default();
    match humantime::parse_rfc3339(&ts) {
        Ok(at) if !ago.is_zero() => humantime::format_rfc3339_nanos(at - ago).to_string(),
        _ => ts,
    }
}

fn trace(instance: &str, lines: &[Line], id: &str) -> Option<Trace> {
    let admitted = lines.iter().position(|it| it.field("id") == Some(id));
    let admitted = admitted?;
    let request = lines[admitted].fields.get("request").cloned();
    // Request numbers start over when the instance restarts.
    let restart = lines[admitted..].iter().skip(1).position(|it| it.msg == "started");
    let end = restart.map_or(lines.len(), |it| admitted + 1 + it);
    let is_step = |it: &&Line| {
        let is_request = request.is_some() && it.fields.get("request") == request.as_ref();
        is_request || it.field("id") == Some(id)
    };
    let steps: Vec<Line> = lines[admitted..end].iter().filter(is_step).cloned().collect();
    let known_state = known_state(&lines[..admitted], &steps);
    Some(Trace { instance: instance.to_owned(), id: id.to_owned(), steps, known_state })
}

/// Returns the latest line of each kind that describes state on which the request depended.
fn known_state(before: &[Line], steps: &[Line]) -> Vec<StateLine> {
    let servers: Vec<&str> = steps.iter().filter_map(|it| it.field("server")).collect();
    let is_turned_away = steps.iter().any(|it| it.field("why") == Some(TURNED_AWAY));
    let mut latest: BTreeMap<(&str, &str), &Line> = BTreeMap::new();
    for line in before {
        let server = line.field("server").unwrap_or_default();
        let is_general = GENERAL.contains(&line.msg.as_str());
        let is_of_server = OF_SERVER.contains(&line.msg.as_str()) && servers.contains(&server);
        let is_of_limit = is_turned_away && OF_LIMITS.contains(&line.msg.as_str());
        if is_general || is_of_server || is_of_limit {
            latest.insert((&line.msg, server), line);
        }
    }
    let arrived_at = steps.first().and_then(Line::time);
    let state_line = |line: &Line| {
        let age = arrived_at
            .zip(line.time())
            .and_then(|(arrived_at, at)| arrived_at.duration_since(at).ok());
        let age_ms = age.unwrap_or(Duration::ZERO).as_millis();
        StateLine { age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX), line: line.clone() }
    };
    let mut known_state: Vec<StateLine> = latest.into_values().map(state_line).collect();
    known_state.sort_by_key(|it| std::cmp::Reverse(it.age_ms));
    known_state
}

/// Explains a value of the field `left_data_centre`.
fn leave_reason(logged: &str) -> &str {
    match logged {
        "no_own_server" => "no server of its own could respond in time",
        "better" => "the server was better by more than the bytes cost",
        "share" => "drawn as part of the share that leaves while own servers are too few",
        other => other,
    }
}

impl Line {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn time(&self) -> Option<SystemTime> {
        humantime::parse_rfc3339(&self.ts).ok()
    }

    fn text(&self) -> String {
        let present = self.fields.iter().filter(|(_, it)| !it.is_null());
        let fields: Vec<String> = present
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!("{:<26} {}", self.msg, fields.join(" "))
    }
}

impl Outcome {
    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, self),
            OutputFormat::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        for trace in &self.traces {
            writeln!(out, "{} on {}", trace.id, trace.instance)?;
            for step in &trace.steps {
                writeln!(out, "  {}  {}", step.ts, step.text())?;
                if let Some(reason) = step.field("left_data_centre") {
                    writeln!(out, "    left its data centre: {}", leave_reason(reason))?;
                }
            }
            writeln!(out, "  state known when the request arrived:")?;
            for state in &trace.known_state {
                writeln!(out, "  {:>9} ms old  {}", state.age_ms, state.line.text())?;
            }
        }
        Ok(())
    }
}
