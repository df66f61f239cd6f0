//! Relays responses from backend servers to callers, whole or as streams of events.

use bytes::{BufMut, Bytes, BytesMut};
use sl_base::Timestamp;
use sl_http::{BodyError, Conn, Ending, Headers, ResponseHead};
use sl_route::Fault;
use tokio::time::timeout_at;

use crate::{attempt::Upstream, body_memory::BodyShare, clock::Clock, events::EventSplitter};
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
    _memory: BodyShare,
}

/// Why a response was not relayed to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayError {
    CallerDisconnected,
    /// The attempt on the server failed.
    Fault(Fault),
}

/// Reads a response that is not a stream to its end, while watching the caller's connection.
pub(crate) async fn collect(
    clock: Clock,
    caller: &mut Conn,
    upstream: &mut Upstream,
    deadline: Timestamp,
    mut memory: BodyShare,
) -> Result<FullResponse, RelayError> {
    let deadline = clock.instant(deadline);
    let conn = &mut upstream.pooled.conn;
    let reading =
        upstream.body.collect_reserved(conn, RESPONSE_BYTES_MAX, |bytes| memory.reserve(bytes));
    let read = tokio::select! {
        biased;
        read = timeout_at(deadline, reading) => read,
        () = caller.closed(PIPELINED_BYTES_MAX) => return Err(RelayError::CallerDisconnected),
    };
    match read {
        Ok(Ok(body)) => Ok(FullResponse { head: upstream.head.clone(), body, _memory: memory }),
        Ok(Err(BodyError::Malformed | BodyError::TooLarge)) => {
            Err(RelayError::Fault(Fault::InvalidResponse))
        }
        Ok(Err(_)) => Err(RelayError::Fault(Fault::TruncatedResponse)),
        Err(_) => Err(RelayError::Fault(Fault::DeadlineExceeded)),
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
    /// Whether the response head has been sent to the caller.
    pub(crate) is_head_sent: bool,
    /// Whether any event has been sent to the caller.
    pub(crate) has_sent_events: bool,
    /// Id of the last event that the caller has received.
    pub(crate) last_event_id: Option<u64>,
    is_chunked: bool,
    keeps_alive: bool,
    splitter: EventSplitter,
    /// Events relayed so far.
    event_count: u32,
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
    /// Deadline for the server's first event.
    pub(crate) first_event_deadline: Timestamp,
    /// Deadline for the whole stream.
    pub(crate) stream_deadline: Timestamp,
    /// Longest gap between two events; `None` if the route has no target for the gap, or no
    /// other server may resume the stream.
    pub(crate) event_gap: Option<sl_base::Millis>,
}

/// Bytes of a stream that may follow one another without a new event, for instance because they
/// repeat events that the caller has.
const BYTES_WITHOUT_EVENT_MAX: usize = 1 << 20;

impl RelayDeadlines {
    /// The failure of an attempt whose next event is overdue at `now`.
    fn timeout_fault(&self, now: Timestamp) -> RelayError {
        let is_expired = self.stream_deadline.is_due(now);
        RelayError::Fault(if is_expired { Fault::DeadlineExceeded } else { Fault::ResponseTimeout })
    }
}

impl StreamRelay {
    /// A stream of which nothing has been relayed yet. Without `is_chunked`, for callers that
    /// do not support chunked encoding, the end of the connection marks the end of the stream.
    pub(crate) fn new(
        last_event_id: Option<u64>,
        is_chunked: bool,
        keeps_alive: bool,
    ) -> StreamRelay {
        StreamRelay {
            is_head_sent: false,
            has_sent_events: false,
            last_event_id,
            is_chunked,
            keeps_alive: keeps_alive && is_chunked,
            splitter: EventSplitter::default(),
            event_count: 0,
            first_event_at: None,
            last_event_at: None,
        }
    }

    /// Mean time between two events in microseconds; `None` if there were too few events.
    pub(crate) fn event_interval_micros(&self) -> Option<u32> {
        let span = self.last_event_at?.micros_since(self.first_event_at?);
        let gaps =
            self.event_count.checked_sub(1).filter(|_| self.event_count >= INTERVAL_EVENTS_MIN)?;
        u32::try_from(span / u64::from(gaps)).ok()
    }

    /// Whether the caller's connection can carry another response after this one.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }

    /// Relays the events of `upstream` until its end; calls `on_first_event` when the first
    /// event of this upstream has arrived.
    pub(crate) async fn relay(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        upstream: &mut Upstream,
        deadlines: RelayDeadlines,
        mut on_first_event: impl FnMut(),
    ) -> Result<(), RelayError> {
        self.splitter = EventSplitter::default();
        let mut next_event_deadline = deadlines.first_event_deadline;
        let mut is_first = true;
        let mut bytes_without_event = 0;
        if !self.is_head_sent {
            self.write(clock, caller, deadlines.stream_deadline, &self.encode_head(&upstream.head))
                .await?;
            self.is_head_sent = true;
        }
        loop {
            if self.splitter.is_oversized() {
                return Err(RelayError::Fault(Fault::InvalidResponse));
            }
            // Bytes that complete no new event may come without a pause, and the timeout below
            // elapses only during a pause.
            if next_event_deadline.is_due(clock.now()) {
                return Err(deadlines.timeout_fault(clock.now()));
            }
            let next = upstream.body.next(&mut upstream.pooled.conn);
            let next = tokio::select! {
                biased;
                next = timeout_at(clock.instant(next_event_deadline), next) => next,
                () = caller.closed(PIPELINED_BYTES_MAX) => return Err(RelayError::CallerDisconnected),
            };
            let Ok(next) = next else {
                return Err(deadlines.timeout_fault(clock.now()));
            };
            let Some(piece) = next.map_err(|e| RelayError::Fault(fault(&e)))? else {
                // Without any event of this server, a close says nothing about the stream's end.
                if is_first && upstream.body.ending() == Some(Ending::Closed) {
                    return Err(RelayError::Fault(Fault::TruncatedResponse));
                }
                return self.finish(clock, caller, deadlines.stream_deadline).await;
            };
            self.splitter.push(&piece);
            let complete = self.take_complete_events();
            bytes_without_event += piece.len();
            if complete.is_empty() && bytes_without_event > BYTES_WITHOUT_EVENT_MAX {
                return Err(RelayError::Fault(Fault::InvalidResponse));
            }
            if complete.is_empty() {
                continue;
            }
            bytes_without_event = 0;
            if std::mem::take(&mut is_first) {
                on_first_event();
            }
            self.has_sent_events = true;
            let now = clock.now();
            self.first_event_at.get_or_insert(now);
            self.last_event_at = Some(now);
            let framed = self.frame(&complete);
            self.write(clock, caller, deadlines.stream_deadline, &framed).await?;
            next_event_deadline = match deadlines.event_gap {
                Some(gap) => clock.now().after(gap).min(deadlines.stream_deadline),
                None => deadlines.stream_deadline,
            };
        }
    }

    /// Takes the complete events received so far that the caller does not have yet.
    fn take_complete_events(&mut self) -> BytesMut {
        let mut complete = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let is_duplicate =
                matches!((event.id, self.last_event_id), (Some(id), Some(last)) if id <= last);
            if is_duplicate {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            self.event_count += 1;
            complete.put_slice(&event.bytes);
        }
        complete
    }

    /// Ends the stream after the last byte of a server, which must be at an event boundary.
    async fn finish(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        deadline: Timestamp,
    ) -> Result<(), RelayError> {
        if self.splitter.is_partial() {
            return Err(RelayError::Fault(Fault::TruncatedResponse));
        }
        if self.is_chunked {
            self.write(clock, caller, deadline, LAST_CHUNK).await?;
        }
        Ok(())
    }

    fn encode_head(&self, head: &ResponseHead) -> BytesMut {
        let mut headers = ServerResponse(head).forwarded_headers();
        if self.is_chunked {
            headers.push("Transfer-Encoding", "chunked");
        }
        let mut buf = BytesMut::with_capacity(HEAD_CAPACITY);
        write_head(head, headers, self.keeps_alive, &mut buf);
        buf
    }

    /// Frames a piece of the body as a chunk, if the stream is chunked.
    fn frame(&self, piece: &[u8]) -> BytesMut {
        let mut buf = BytesMut::with_capacity(piece.len() + CHUNK_FRAME_BYTES);
        if !self.is_chunked {
            buf.put_slice(piece);
            return buf;
        }
        buf.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        buf.put_slice(piece);
        buf.put_slice(b"\r\n");
        buf
    }

    async fn write(
        &self,
        clock: Clock,
        caller: &mut Conn,
        deadline: Timestamp,
        bytes: &[u8],
    ) -> Result<(), RelayError> {
        match timeout_at(clock.instant(deadline), caller.write(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RelayError::CallerDisconnected),
            Err(_) => Err(RelayError::Fault(Fault::DeadlineExceeded)),
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
