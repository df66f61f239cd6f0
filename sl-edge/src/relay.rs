//! Relays responses from backend servers to callers, whole or as streams of events.

use bytes::{BufMut, Bytes, BytesMut};
use sl_base::Timestamp;
use sl_http::{BodyError, Conn, Ending, Headers, ResponseHead};
use sl_route::Fault;

use crate::{
    attempt::Upstream, clock::Clock, event_sequence::EventSequence, response_memory::ResponseShare,
};
use platform::ServerResponse;

/// Bytes of the largest response body that is buffered as a whole.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// Bytes that a caller may send while it waits for a response. A caller that sends more is no
/// longer watched for disconnection.
pub(crate) const PIPELINED_BYTES_MAX: usize = 64 * 1_024;

/// A server's response, read completely.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
    _memory: ResponseShare,
}

/// Why a response was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CollectError {
    CallerDisconnected,
    /// The attempt on the server failed.
    Fault(Fault),
}

/// Why a stream was not relayed to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayError {
    CallerDisconnected,
    /// No event arrived by the time that was set for it. The server may still go on.
    Silent,
    /// The attempt on the server failed.
    Fault(Fault),
}

/// Reads a response that is not a stream to its end, while watching the caller's connection.
pub(crate) async fn collect(
    clock: Clock,
    caller: &mut Conn,
    upstream: &mut Upstream,
    deadline: Timestamp,
) -> Result<FullResponse, CollectError> {
    let Upstream { pooled, body, memory, .. } = upstream;
    let reading =
        body.collect_reserved(&mut pooled.conn, RESPONSE_BYTES_MAX, |it| memory.reserve(it));
    let read = tokio::select! {
        biased;
        read = clock.complete_by(deadline, reading) => read,
        () = caller.closed(PIPELINED_BYTES_MAX) => return Err(CollectError::CallerDisconnected),
    };
    match read {
        Some(Ok(body)) => {
            Ok(FullResponse { head: upstream.head.clone(), body, _memory: upstream.memory.take() })
        }
        Some(Err(BodyError::Malformed | BodyError::TooLarge)) => {
            Err(CollectError::Fault(Fault::InvalidResponse))
        }
        Some(Err(_)) => Err(CollectError::Fault(Fault::TruncatedResponse)),
        None => Err(CollectError::Fault(Fault::DeadlineExceeded)),
    }
}

impl FullResponse {
    /// Writes the response to the caller; `is_head` if the request's method was HEAD, so that
    /// no body is sent.
    pub(crate) async fn write(
        &self,
        caller: &mut Conn,
        is_head: bool,
        keeps_alive: bool,
    ) -> std::io::Result<()> {
        let mut headers = ServerResponse(&self.head).forwarded_headers();
        let has_body = !matches!(self.head.status, 204 | 304);
        if is_head {
            // The body was not sent, so its length is known only from the server's header.
            if let Some(length) = self.head.headers.get("content-length") {
                headers.push("Content-Length", length.clone());
            }
        } else if has_body {
            headers.push("Content-Length", self.body.len().to_string());
        }
        let mut buf = BytesMut::with_capacity(self.body.len() + HEAD_CAPACITY);
        write_head(&self.head, headers, keeps_alive, &mut buf);
        if !is_head {
            buf.put_slice(&self.body);
        }
        caller.write(&buf).await
    }
}

/// Initial buffer capacity for a response head, in bytes.
const HEAD_CAPACITY: usize = 512;

fn write_head(head: &ResponseHead, mut headers: Headers, keeps_alive: bool, buf: &mut BytesMut) {
    if !keeps_alive {
        headers.push("Connection", "close");
    }
    let head = ResponseHead { headers, is_http_11: true, ..head.clone() };
    head.write(buf);
}

/// The state of a stream relayed to a caller, across all servers that contribute to it.
pub(crate) struct StreamRelay {
    /// Whether the response head has been sent to the caller, with the first event.
    pub(crate) is_head_sent: bool,
    is_chunked: bool,
    keeps_alive: bool,
    events: EventSequence,
    /// When the first events of the stream were received.
    first_event_at: Option<Timestamp>,
    /// When the latest events were received.
    last_event_at: Option<Timestamp>,
}

/// Streams with fewer events give no usable mean interval.
const INTERVAL_EVENTS_MIN: u32 = 4;

/// Deadlines of a stream's events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayDeadlines {
    /// When the server counts as silent, unless an event arrives before.
    pub(crate) silent_at: Timestamp,
    /// Deadline for the whole stream.
    pub(crate) stream_deadline: Timestamp,
    /// Longest gap between two events; `None` if the route has no target for the gap, or no
    /// other server may resume the stream.
    pub(crate) event_gap: Option<sl_base::Millis>,
}

impl RelayDeadlines {
    /// Why an attempt whose next event is overdue at `now` is not relayed further.
    fn timeout_error(&self, now: Timestamp) -> RelayError {
        match self.stream_deadline.is_due(now) {
            true => RelayError::Fault(Fault::DeadlineExceeded),
            false => RelayError::Silent,
        }
    }
}

impl StreamRelay {
    /// A stream of which nothing has been relayed yet. Without `is_chunked`, for callers that
    /// do not support chunked encoding, the end of the connection marks the end of the stream.
    pub(crate) fn new(events: EventSequence, is_chunked: bool, keeps_alive: bool) -> StreamRelay {
        StreamRelay {
            is_head_sent: false,
            is_chunked,
            keeps_alive: keeps_alive && is_chunked,
            events,
            first_event_at: None,
            last_event_at: None,
        }
    }

    /// Id of the last event that was sent to the caller, if any was.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.events.last_id().filter(|_| self.events.event_count() > 0)
    }

    /// Mean time between two events in microseconds; `None` if there were too few events.
    pub(crate) fn event_interval_micros(&self) -> Option<u32> {
        let span = self.last_event_at?.micros_since(self.first_event_at?);
        let event_count = self.events.event_count();
        let gaps = event_count.checked_sub(1).filter(|_| event_count >= INTERVAL_EVENTS_MIN)?;
        u32::try_from(span / u64::from(gaps)).ok()
    }

    /// Whether the caller's connection can carry another response after this one.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }

    /// Prepares for the response of another server.
    pub(crate) fn begin_response(&mut self) {
        self.events.begin_response();
    }

    /// Relays the events of `upstream` until its end; calls `on_first_event` when its first event
    /// has arrived, which tells whether the caller's connection stays open after the stream. After
    /// [`RelayError::Silent`] the same response can be relayed further.
    pub(crate) async fn relay(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        upstream: &mut Upstream,
        mut deadlines: RelayDeadlines,
        mut on_first_event: impl FnMut(&mut Conn) -> bool,
    ) -> Result<(), RelayError> {
        loop {
            let due = deadlines.silent_at.min(deadlines.stream_deadline);
            let next = upstream.body.next(&mut upstream.pooled.conn);
            let next = tokio::select! {
                biased;
                next = clock.complete_by(due, next) => next,
                () = caller.closed(PIPELINED_BYTES_MAX) => return Err(RelayError::CallerDisconnected),
            };
            let Some(next) = next else {
                return Err(deadlines.timeout_error(clock.now()));
            };
            let Some(piece) = next.map_err(|e| RelayError::Fault(fault(&e)))? else {
                return self.finish(clock, caller, upstream, deadlines.stream_deadline).await;
            };
            let awaited_first_event = self.events.awaits_first_event();
            let taken = self.events.push(&piece);
            if taken.event_count > 0 {
                if awaited_first_event {
                    let stays_open = on_first_event(caller);
                    self.keeps_alive &= stays_open || self.is_head_sent;
                }
                let now = clock.now();
                self.first_event_at.get_or_insert(now);
                self.last_event_at = Some(now);
            }
            // Events count as delivered once they are taken, so they are written before a failure
            // is reported.
            if !taken.bytes.is_empty() {
                let mut buf = self.take_head(&upstream.head, caller);
                self.frame(&taken.bytes, &mut buf);
                self.write(clock, caller, deadlines.stream_deadline, &buf).await?;
            }
            let has_memory = upstream.memory.resize(self.events.kept_bytes());
            if taken.error.is_some() || !has_memory {
                return Err(RelayError::Fault(Fault::InvalidResponse));
            }
            if taken.event_count > 0 {
                deadlines.silent_at = match deadlines.event_gap {
                    Some(gap) => clock.now().after(gap),
                    None => deadlines.stream_deadline,
                };
            } else if due.is_due(clock.now()) {
                // Bytes that complete no event may come without a pause, and the timeout above
                // elapses only during a pause.
                return Err(deadlines.timeout_error(clock.now()));
            }
        }
    }

    /// Ends the stream after the last byte of a server, if the stream may end there.
    async fn finish(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        upstream: &Upstream,
        deadline: Timestamp,
    ) -> Result<(), RelayError> {
        let is_closed = upstream.body.ending() == Some(Ending::Closed);
        if !self.events.may_end(is_closed) {
            return Err(RelayError::Fault(Fault::TruncatedResponse));
        }
        let mut buf = self.take_head(&upstream.head, caller);
        let withheld = self.events.take_withheld();
        if !withheld.is_empty() {
            self.frame(&withheld, &mut buf);
        }
        if self.is_chunked {
            buf.put_slice(LAST_CHUNK);
        }
        self.write(clock, caller, deadline, &buf).await?;
        if !self.is_chunked {
            caller.set_reset_on_end(false);
        }
        Ok(())
    }

    /// The encoded head, unless it was taken before. It is sent together with the first event:
    /// once the caller has it, a failure can only be reported by a reset.
    /// From then on a connection whose end would complete the stream is reset when it ends early,
    /// also if this process does.
    fn take_head(&mut self, head: &ResponseHead, caller: &Conn) -> BytesMut {
        if std::mem::replace(&mut self.is_head_sent, true) {
            return BytesMut::new();
        }
        let mut headers = ServerResponse(head).forwarded_headers();
        match self.is_chunked {
            true => headers.push("Transfer-Encoding", "chunked"),
            false => caller.set_reset_on_end(true),
        }
        let mut buf = BytesMut::with_capacity(HEAD_CAPACITY);
        write_head(head, headers, self.keeps_alive, &mut buf);
        buf
    }

    /// Appends a piece of the body to `buf`, as a chunk if the stream is chunked.
    fn frame(&self, piece: &[u8], buf: &mut BytesMut) {
        buf.reserve(piece.len() + CHUNK_FRAME_BYTES);
        if !self.is_chunked {
            return buf.put_slice(piece);
        }
        buf.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        buf.put_slice(piece);
        buf.put_slice(b"\r\n");
    }

    async fn write(
        &self,
        clock: Clock,
        caller: &mut Conn,
        deadline: Timestamp,
        bytes: &[u8],
    ) -> Result<(), RelayError> {
        match clock.complete_by(deadline, caller.write(bytes)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) => Err(RelayError::CallerDisconnected),
            None => Err(RelayError::Fault(Fault::DeadlineExceeded)),
        }
    }
}

/// Buffer capacity reserved for the framing of a chunk, in bytes.
const CHUNK_FRAME_BYTES: usize = 16;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn fault(e: &BodyError) -> Fault {
    match e {
        BodyError::Malformed | BodyError::TooLarge => Fault::InvalidResponse,
        BodyError::Truncated | BodyError::Io(_) => Fault::TruncatedResponse,
    }
}
