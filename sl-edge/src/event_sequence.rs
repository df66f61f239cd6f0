//! Checks that the events of a stream belong together, across all servers that contribute to it.
//! Bytes that a server writes after it failed, or instead of the events that it was asked for, are
//! no part of the stream.

use bytes::{BufMut, BytesMut};

use crate::events::{EventKind, EventSplitter, RawEvent};

/// Which ids the events of a stream have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdRule {
    /// Each event has one, since another server may resume the stream after any of them.
    Required,
    /// Each event has one if the first has.
    AsFirst,
}

/// The events of a stream, in order.
#[derive(Debug)]
pub struct EventSequence {
    id_rule: IdRule,
    splitter: EventSplitter,
    /// Id of the last event that the caller has.
    last_id: Option<u64>,
    /// Events so far.
    event_count: u32,
    /// Whether each id so far was the next number; `None` if only one id is known.
    is_consecutive: Option<bool>,
    /// Whether the current server has sent no complete event yet.
    awaits_first_event: bool,
    /// Bytes of the current server since its last event.
    bytes_without_event: usize,
    /// Comments of the current server before its first event.
    withheld: BytesMut,
}

/// What one piece of a response completed.
#[derive(Debug)]
pub struct Taken {
    /// Bytes for the caller: whole events, and comments between them.
    pub bytes: BytesMut,
    /// Number of events in `bytes`.
    pub event_count: u32,
    /// Why nothing after `bytes` belongs to the stream. No more may be pushed then.
    pub error: Option<SequenceError>,
}

/// Bytes of a server that are no part of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SequenceError {
    /// The event has no id, or several.
    #[error("an event without an id in a stream whose events have ids")]
    MissingId,
    /// The event's id is not above the one before.
    #[error("an event whose id is not above the one before")]
    NotIncreasing,
    /// The server went on with another event than the next one.
    #[error("a resumed stream that does not go on with the next event")]
    Gap,
    /// The bytes are the head of a response.
    #[error("a response head in the middle of a stream")]
    ResponseHead,
    /// Too many bytes have completed no event.
    #[error("bytes that complete no event")]
    NoEvent,
}

/// Bytes of a stream that may follow one another without an event.
const BYTES_WITHOUT_EVENT_MAX: usize = 1 << 20;

impl EventSequence {
    /// A sequence that follows the event `last_id`, if the caller has one.
    pub fn new(id_rule: IdRule, last_id: Option<u64>) -> EventSequence {
        EventSequence {
            id_rule,
            splitter: EventSplitter::default(),
            last_id,
            event_count: 0,
            is_consecutive: None,
            awaits_first_event: true,
            bytes_without_event: 0,
            withheld: BytesMut::new(),
        }
    }

    /// Id of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Events so far.
    pub fn event_count(&self) -> u32 {
        self.event_count
    }

    /// Whether the stream may end after the current server's last byte; `is_closed` if that is the
    /// end of the connection and not of a length or of chunks.
    ///
    /// A server that was to go on, and has sent no event, may know nothing of the stream. If the
    /// stream was complete, the caller learns that when it resumes the stream itself.
    pub fn may_end(&self, is_closed: bool) -> bool {
        let is_resumed = self.event_count > 0;
        let is_empty = self.awaits_first_event && (is_closed || is_resumed);
        !self.splitter.is_partial() && !is_empty
    }

    /// Whether the current server has sent no complete event yet.
    pub fn awaits_first_event(&self) -> bool {
        self.awaits_first_event
    }

    /// Bytes of the current server that are kept: comments before its first event, and the part of an
    /// event.
    pub fn kept_bytes(&self) -> usize {
        self.withheld.len() + self.splitter.partial_bytes()
    }

    /// Takes the comments of a stream that has ended without any event.
    pub fn take_withheld(&mut self) -> BytesMut {
        std::mem::take(&mut self.withheld)
    }

    /// Prepares for the response of another server.
    pub fn begin_response(&mut self) {
        self.splitter = EventSplitter::default();
        self.awaits_first_event = true;
        self.bytes_without_event = 0;
        self.withheld.clear();
    }

    /// Adds a piece of the current server's response. Comments before its first event are withheld
    /// until then: once the caller has the head, a failure can only be reported by a reset.
    pub fn push(&mut self, piece: &[u8]) -> Taken {
        let count_before = self.event_count;
        self.splitter.push(piece);
        let mut bytes = std::mem::take(&mut self.withheld);
        let mut error = None;
        while error.is_none()
            && let Some(event) = self.splitter.next_event()
        {
            match self.accept(&event) {
                Ok(()) => bytes.put_slice(&event.bytes),
                Err(e) => error = Some(e),
            }
        }
        let event_count = self.event_count - count_before;
        match event_count {
            0 => self.bytes_without_event += piece.len(),
            _ => self.bytes_without_event = 0,
        }
        if self.splitter.is_oversized() || self.bytes_without_event > BYTES_WITHOUT_EVENT_MAX {
            error = error.or(Some(SequenceError::NoEvent));
        }
        if self.awaits_first_event {
            self.withheld = std::mem::take(&mut bytes);
        }
        Taken { bytes, event_count, error }
    }

    fn accept(&mut self, event: &RawEvent) -> Result<(), SequenceError> {
        match event.kind {
            EventKind::Event => {}
            EventKind::Comment => return Ok(()),
            EventKind::ResponseHead => return Err(SequenceError::ResponseHead),
        }
        if self.needs_id(event) {
            let id = event.id.ok_or(SequenceError::MissingId)?;
            self.check_id(id)?;
            self.last_id = Some(id);
        }
        self.event_count += 1;
        self.awaits_first_event = false;
        Ok(())
    }

    fn needs_id(&self, event: &RawEvent) -> bool {
        match (self.id_rule, self.event_count) {
            (IdRule::Required, _) => true,
            (IdRule::AsFirst, 0) => event.id.is_some(),
            (IdRule::AsFirst, _) => self.last_id.is_some(),
        }
    }

    /// Ids increase, and need not be consecutive. Where they have been so far, a server that
    /// resumes the stream with another event than the next one has lost some.
    fn check_id(&mut self, id: u64) -> Result<(), SequenceError> {
        let Some(last) = self.last_id else {
            return Ok(());
        };
        if id <= last {
            return Err(SequenceError::NotIncreasing);
        }
        let is_next = id - last == 1;
        let is_resumed = self.awaits_first_event && self.event_count > 0;
        if is_resumed && !is_next && self.is_consecutive == Some(true) {
            return Err(SequenceError::Gap);
        }
        // The id that the caller states may be of a stream that began elsewhere.
        if self.event_count > 0 {
            self.is_consecutive = Some(is_next && self.is_consecutive != Some(false));
        }
        Ok(())
    }
}
