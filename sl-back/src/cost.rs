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

/// The longest line of an answer that is looked into, in bytes; a longer one still
/// counts as an event, but its usage is not read.
pub const LINE_MAX: usize = 64 * 1024;

/// Counts the events of an event stream, or reads the usage of a JSON answer.
#[derive(Debug, Default)]
struct Events {
    line: Vec<u8>,
    overlong: bool,
    pending: bool,
    count: u64,
    usage: Option<Usage>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

const DATA: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

impl Events {
    fn feed(&mut self, mut chunk: &[u8]) {
        while let Some(end) = chunk.iter().position(|&b| b == b'\n' || b == b'\r') {
            self.push(&chunk[..end]);
            self.end_line();
            chunk = &chunk[end + 1..];
        }
        self.push(chunk);
    }

    fn units(&self) -> u64 {
        match self.usage.or_else(|| read_usage(&self.line)) {
            Some(usage) => usage
                .completion_tokens
                .saturating_add(usage.prompt_tokens.div_ceil(INPUT_TOKENS_PER_UNIT)),
            None => self.count,
        }
    }

    fn push(&mut self, part: &[u8]) {
        let room = LINE_MAX - self.line.len();
        self.overlong |= part.len() > room;
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    // An empty line ends an event. The pair CR LF makes one more empty line, which
    // does no harm, because an event without data is not counted.
    fn end_line(&mut self) {
        if self.line.is_empty() {
            self.count += u64::from(self.pending);
            self.pending = false;
        } else if let Some(data) = self.line.strip_prefix(DATA) {
            let data = data.trim_ascii();
            match read_usage(data).filter(|_| !self.overlong) {
                Some(usage) => self.usage = Some(usage),
                None => self.pending |= data != DONE,
            }
        } else if let Some(usage) = read_usage(&self.line) {
            self.usage = Some(usage);
        }
        self.line.clear();
        self.overlong = false;
    }
}

fn read_usage(text: &[u8]) -> Option<Usage> {
    if !text.windows(USAGE.len()).any(|it| it == USAGE) {
        return None;
    }
    serde_json::from_slice::<WithUsage>(text).ok()?.usage
}

const USAGE: &[u8] = b"\"usage\"";
