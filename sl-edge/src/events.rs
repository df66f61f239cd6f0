//! Streams of events, cut into whole events: only these are passed on, so that another
//! server can go on behind the last one.

use bytes::{Bytes, BytesMut};

/// Cuts a stream's bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, where it has one that is a number.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = end_of_event(&self.partial)?;
        let bytes = self.partial.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let newline = |at: usize| bytes.get(at) == Some(&b'\n');
    for at in 0..bytes.len() {
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
