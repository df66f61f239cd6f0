//! Counts the service in an answer as it streams by.

use std::time::Instant;

use serde::Deserialize;
use sl_config::{Cost, template::INPUT_TOKENS_PER_UNIT};

/// Counts service in a route's cost unit.
#[derive(Debug)]
pub struct Meter {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Busy(Instant),
    Tokens(Events),
}

impl Meter {
    /// A meter for one attempt that starts now.
    pub fn new(cost: Cost) -> Meter {
        let kind = match cost {
            Cost::BusyMillis => Kind::Busy(Instant::now()),
            Cost::Tokens => Kind::Tokens(Events::default()),
        };
        Meter { kind }
    }

    /// Takes the next piece of the answer's body.
    pub fn feed(&mut self, chunk: &[u8]) {
        if let Kind::Tokens(events) = &mut self.kind {
            events.feed(chunk);
        }
    }

    /// The service so far.
    pub fn units(&self) -> u64 {
        match &self.kind {
            Kind::Busy(since) => u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
            Kind::Tokens(events) => events.units(),
        }
    }
}

/// Bytes of a line, or of a JSON answer's end, that are looked into for the usage.
pub const LOOK_MAX: usize = 64 * 1024;

/// Counts the events of an event stream, or reads the usage of a JSON answer. Memory is
/// bounded by twice [`LOOK_MAX`].
#[derive(Debug, Default)]
struct Events {
    form: Option<Form>,
    held: Vec<u8>,
    pending: bool,
    count: u64,
    usage: Option<Usage>,
}

/// What the answer's first byte shows it to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Lines,
    Json,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

impl Events {
    fn feed(&mut self, chunk: &[u8]) {
        let first = chunk.iter().find(|it| !it.is_ascii_whitespace());
        let form = match (self.form, first) {
            (Some(form), _) => form,
            (None, None) => return,
            (None, Some(b'{')) => Form::Json,
            (None, Some(_)) => Form::Lines,
        };
        self.form = Some(form);
        match form {
            Form::Lines => self.feed_lines(chunk),
            Form::Json => self.hold_end(chunk),
        }
    }

    fn units(&self) -> u64 {
        match self.usage.or_else(|| read_usage(&self.held)) {
            Some(usage) => usage
                .completion_tokens
                .saturating_add(usage.prompt_tokens.div_ceil(INPUT_TOKENS_PER_UNIT)),
            None => self.count,
        }
    }

    fn feed_lines(&mut self, mut chunk: &[u8]) {
        while let Some(end) = chunk.iter().position(|&b| b == b'\n' || b == b'\r') {
            self.hold_start(&chunk[..end]);
            self.end_line();
            chunk = &chunk[end + 1..];
        }
        self.hold_start(chunk);
    }

    fn hold_start(&mut self, part: &[u8]) {
        let room = LOOK_MAX - self.held.len();
        self.held.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn hold_end(&mut self, part: &[u8]) {
        let part = &part[part.len().saturating_sub(LOOK_MAX)..];
        if self.held.len() + part.len() > 2 * LOOK_MAX {
            let surplus = self.held.len().saturating_sub(LOOK_MAX);
            self.held.drain(..surplus);
        }
        self.held.extend_from_slice(part);
    }

    // An empty line ends an event. The pair CR LF makes one more empty line, which
    // does no harm, because an event without data is not counted.
    fn end_line(&mut self) {
        if self.held.is_empty() {
            self.count += u64::from(self.pending);
            self.pending = false;
        } else if let Some(data) = self.held.strip_prefix(DATA) {
            match read_usage(data) {
                Some(usage) => self.usage = Some(usage),
                None => self.pending |= data.trim_ascii() != DONE,
            }
        }
        self.held.clear();
    }
}

/// Reads the last `usage` in a JSON text of which the start may be missing. Inside of
/// strings the name's quotes are escaped, so that a token's text is never taken for it.
fn read_usage(text: &[u8]) -> Option<Usage> {
    let at = text.windows(USAGE.len()).rposition(|it| it == USAGE)?;
    let value = text[at + USAGE.len()..].trim_ascii_start();
    let value = value.strip_prefix(b":")?;
    let mut values = serde_json::Deserializer::from_slice(value).into_iter::<Option<Usage>>();
    values.next()?.ok()?
}

const USAGE: &[u8] = b"\"usage\"";
