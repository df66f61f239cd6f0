//! `sesamelock explain`: the story of a request, from the logs of the instances that saw
//! it: what was decided, on what, and what the instance believed then. docs/OPERATIONS.md
//! shows it at work.

use std::{
    collections::BTreeMap,
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
    file::Unreadable,
    output::{self, Form},
};

/// What to explain.
#[derive(Clone, Debug)]
pub struct Options {
    /// The id of the caller's attempt.
    pub id: String,
    /// Log files of any number of instances; standard input where there are none.
    pub files: Vec<PathBuf>,
    /// The form of the output.
    pub form: Form,
}

/// What the logs tell.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The id of the caller's attempt.
    pub id: String,
    /// What each instance that saw it did.
    pub stories: Vec<Story>,
}

/// What one instance did with the request.
#[derive(Clone, Debug, Serialize)]
pub struct Story {
    /// The instance.
    pub instance: String,
    /// The lines on the request, oldest first.
    pub steps: Vec<Line>,
    /// The latest lines before it on what it depended on.
    pub beliefs: Vec<Belief>,
}

/// Something that the instance believed when the request came.
#[derive(Clone, Debug, Serialize)]
pub struct Belief {
    /// How old the line was when the request came, in milliseconds.
    pub age_ms: u64,
    /// The line.
    pub line: Line,
}

/// A line of a log.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// When it was written.
    pub ts: String,
    /// What happened.
    pub msg: String,
    /// The fields beside these.
    pub fields: Map<String, Value>,
}

/// Why nothing is explained.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// A log could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] Unreadable),
    /// Standard input could not be read.
    #[error("standard input cannot be read")]
    Input(#[from] io::Error),
    /// No line tells of the request.
    #[error("the logs do not tell of request {0}")]
    #[diagnostic(help("the balancer picks one of several instances: give the logs of all"))]
    Unknown(String),
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Unknown(_) => Exit::NotFound,
            Error::Read(_) | Error::Input(_) => Exit::Failed,
        }
    }
}

/// Milliseconds in a second.
const MILLIS: f64 = 1_000.0;

/// Lines that tell what an instance believes of everything.
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

/// Lines that tell what it believes of one server.
const OF_SERVER: [&str; 4] = [
    "server changed",
    "server avoided",
    "cache contents updated",
    // Text of older builds.
    "cache known",
];

/// Reads the logs and tells the request's story.
///
/// # Errors
///
/// [`Error`] where a log cannot be read or none tells of the request.
pub fn explain(options: &Options, input: impl BufRead) -> Result<Outcome, Error> {
    let mut logs: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    if options.files.is_empty() {
        gather(input, &mut logs)?;
    }
    for path in &options.files {
        let file = fs::File::open(path).map_err(Unreadable::at(path))?;
        gather(io::BufReader::new(file), &mut logs).map_err(Unreadable::at(path))?;
    }
    let mut stories = Vec::new();
    for (instance, lines) in &mut logs {
        lines.sort_by_key(Line::time);
        stories.extend(story(instance, lines, &options.id));
    }
    stories.sort_by(|a, b| first(a).cmp(first(b)));
    if stories.is_empty() {
        return Err(Error::Unknown(options.id.clone()));
    }
    Ok(Outcome { id: options.id.clone(), stories })
}

fn first(story: &Story) -> &str {
    story.steps.first().map_or("", |it| &it.ts)
}

/// Lines may carry anything before their JSON, as log collectors write it.
fn gather(input: impl BufRead, logs: &mut BTreeMap<String, Vec<Line>>) -> io::Result<()> {
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
        let ts = earlier(ts, ago_ms);
        logs.entry(instance).or_default().push(Line { ts, msg, fields });
    }
    Ok(())
}

/// The time `ago_ms` milliseconds before `ts`: some lines are written only once it shows
/// that they are of use.
fn earlier(ts: String, ago_ms: f64) -> String {
    let ago = Duration::try_from_secs_f64(ago_ms / MILLIS).unwrap_or_default();
    match humantime::parse_rfc3339(&ts) {
        Ok(at) if !ago.is_zero() => humantime::format_rfc3339_nanos(at - ago).to_string(),
        _ => ts,
    }
}

fn story(instance: &str, lines: &[Line], id: &str) -> Option<Story> {
    let admitted = lines.iter().position(|it| it.field("id") == Some(id));
    let admitted = admitted?;
    let request = lines[admitted].fields.get("request").cloned();
    // A later life counts its requests anew.
    let life = lines[admitted..].iter().skip(1).position(|it| it.msg == "started");
    let life = life.map_or(lines.len(), |it| admitted + 1 + it);
    let is_step = |it: &&Line| {
        let is_request = request.is_some() && it.fields.get("request") == request.as_ref();
        is_request || it.field("id") == Some(id)
    };
    let steps: Vec<Line> = lines[admitted..life].iter().filter(is_step).cloned().collect();
    let beliefs = beliefs(&lines[..admitted], &steps);
    Some(Story { instance: instance.to_owned(), steps, beliefs })
}

/// The latest of each kind of line on what the request depended on.
fn beliefs(before: &[Line], steps: &[Line]) -> Vec<Belief> {
    let servers: Vec<&str> = steps.iter().filter_map(|it| it.field("server")).collect();
    let mut latest: BTreeMap<(&str, &str), &Line> = BTreeMap::new();
    for line in before {
        let server = line.field("server").unwrap_or_default();
        let is_general = GENERAL.contains(&line.msg.as_str());
        let is_of_server = OF_SERVER.contains(&line.msg.as_str()) && servers.contains(&server);
        if is_general || is_of_server {
            latest.insert((&line.msg, server), line);
        }
    }
    let came = steps.first().and_then(Line::time);
    let belief = |line: &Line| {
        let age = came.zip(line.time()).and_then(|(came, at)| came.duration_since(at).ok());
        let age_ms = age.unwrap_or(Duration::ZERO).as_millis();
        Belief { age_ms: u64::try_from(age_ms).unwrap_or(u64::MAX), line: line.clone() }
    };
    let mut beliefs: Vec<Belief> = latest.into_values().map(belief).collect();
    beliefs.sort_by_key(|it| std::cmp::Reverse(it.age_ms));
    beliefs
}

impl Line {
    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn time(&self) -> Option<SystemTime> {
        humantime::parse_rfc3339(&self.ts).ok()
    }

    fn text(&self) -> String {
        let shown = self.fields.iter().filter(|(_, it)| !it.is_null());
        let fields: Vec<String> = shown
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!("{:<26} {}", self.msg, fields.join(" "))
    }
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match form {
            Form::Json => output::json(out, self),
            Form::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        for story in &self.stories {
            writeln!(out, "{} on {}", self.id, story.instance)?;
            for step in &story.steps {
                writeln!(out, "  {}  {}", step.ts, step.text())?;
            }
            writeln!(out, "  what it believed then:")?;
            for belief in &story.beliefs {
                writeln!(out, "  {:>9} ms old  {}", belief.age_ms, belief.line.text())?;
            }
        }
        Ok(())
    }
}
