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

/// A complete event, unparsed except for its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// The event's bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// The event's id, if it has one that is a number.
    pub id: Option<u64>,
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
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
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

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&it| it == b'\n');
    let mut ids = lines.filter_map(|it| it.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
