//! Splits server-sent event streams at event boundaries. Only complete events are relayed, so
//! that another server can resume the stream after the last one.

use bytes::{Bytes, BytesMut};

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Length of the part of `partial` in which no event ends. Searching it again with each
    /// piece would take quadratic time.
    searched: usize,
}

/// Size of the largest event that is relayed, in bytes. Many streams may send events without
/// end at the same time, and an instance has little memory.
pub const EVENT_BYTES_MAX: usize = 128 * 1_024;

/// A complete event, unparsed except for its kind and its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// The event's bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// What the lines before the empty line are.
    pub kind: EventKind,
    /// The event's id, if it has exactly one, and that is a number.
    pub id: Option<u64>,
}

/// What the lines are that an empty line ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// An event.
    Event,
    /// Comments, or no lines at all. They need no id.
    Comment,
    /// Lines of a response head. The server stopped in its stream and began another response.
    ResponseHead,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Bytes of the incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether the incomplete event exceeds [`EVENT_BYTES_MAX`]. Nothing more may be pushed
    /// then.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > EVENT_BYTES_MAX
    }

    /// Takes the next complete event, if one is buffered.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let Some(end) = end_of_event(&self.partial, self.searched) else {
            self.searched = self.partial.len().saturating_sub(TERMINATOR_BYTES_MAX - 1);
            return None;
        };
        self.searched = 0;
        let bytes = self.partial.split_to(end).freeze();
        let (kind, id) = (event_kind(&bytes), event_id(&bytes));
        Some(RawEvent { bytes, kind, id })
    }
}

/// Length of the longest line breaks that end an event: LF, CR, LF.
const TERMINATOR_BYTES_MAX: usize = 3;

/// The length of the first event including its terminator, if complete. The terminator starts
/// at `from` or later. Lines may end in LF or CRLF.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let newline = |at: usize| bytes.get(at) == Some(&b'\n');
    for at in from..bytes.len() {
        if !newline(at) {
            continue;
        }
        if newline(at + 1) {
            return Some(at + 2);
        }
        if bytes.get(at + 1) == Some(&b'\r') && newline(at + 2) {
            return Some(at + 3);
        }
    }
    None
}

/// The lines of an event without their ends.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|&it| it == b'\n').map(|it| it.strip_suffix(b"\r").unwrap_or(it))
}

fn event_kind(event: &[u8]) -> EventKind {
    if lines(event).any(platform::is_response_head_line) {
        return EventKind::ResponseHead;
    }
    match lines(event).all(|it| it.is_empty() || it.starts_with(b":")) {
        true => EventKind::Comment,
        false => EventKind::Event,
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut ids = lines(event).filter_map(|it| it.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()?;
    if ids.next().is_some() { None } else { Some(id) }
}
