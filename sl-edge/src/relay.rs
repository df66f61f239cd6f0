//! Answers on their way from servers to callers.

use bytes::{BufMut, Bytes, BytesMut};
use sl_base::Timestamp;
use sl_http::{BodyError, Conn, Ending, Headers, ResponseHead};
use sl_route::Fault;
use tokio::time::timeout_at;

use crate::{attempt::Upstream, clock::Clock, events::EventSplitter};
use platform::ServerResponse;

/// Bytes of an answer that is passed on whole.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// Bytes that a caller may send ahead while it waits.
pub(crate) const PIPELINED_BYTES_MAX: usize = 64 * 1_024;

/// A whole answer of a server.
#[derive(Clone, Debug)]
pub(crate) struct FullResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Bytes,
}

/// Why an answer was not passed on whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayError {
    /// The caller left.
    CallerGone,
    /// The attempt failed.
    Fault(Fault),
}

/// Reads the whole of an answer that is not a stream.
pub(crate) async fn collect(
    clock: Clock,
    caller: &mut Conn,
    upstream: &mut Upstream,
    end_by: Timestamp,
) -> Result<FullResponse, RelayError> {
    let end_by = clock.instant(end_by);
    let reading = upstream.body.collect(&mut upstream.pooled.conn, RESPONSE_BYTES_MAX);
    let read = tokio::select! {
        biased;
        read = timeout_at(end_by, reading) => read,
        () = caller.gone(PIPELINED_BYTES_MAX) => return Err(RelayError::CallerGone),
    };
    match read {
        Ok(Ok(body)) => Ok(FullResponse { head: upstream.head.clone(), body }),
        Ok(Err(BodyError::Malformed | BodyError::TooLarge)) => {
            Err(RelayError::Fault(Fault::InvalidResponse))
        }
        Ok(Err(_)) => Err(RelayError::Fault(Fault::TruncatedResponse)),
        Err(_) => Err(RelayError::Fault(Fault::DeadlineExceeded)),
    }
}

impl FullResponse {
    /// Writes the answer to the caller.
    pub(crate) async fn write(
        &self,
        caller: &mut Conn,
        is_head: bool,
        keeps_alive: bool,
    ) -> std::io::Result<()> {
        let mut headers = ServerResponse(&self.head).forwarded_headers();
        let has_body = !matches!(self.head.status, 204 | 304);
        if is_head {
            // The length that the server told is that of the body it did not send.
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

/// Bytes of an ordinary head.
const HEAD_CAPACITY: usize = 512;

fn write_head(head: &ResponseHead, mut headers: Headers, keeps_alive: bool, buf: &mut BytesMut) {
    if !keeps_alive {
        headers.push("Connection", "close");
    }
    let head = ResponseHead { headers, is_http_11: true, ..head.clone() };
    head.write(buf);
}

/// A stream on its way to a caller, over all servers that work on it.
pub(crate) struct StreamRelay {
    /// Whether the head has been passed on.
    pub(crate) is_head_sent: bool,
    /// Whether any event has been passed on.
    pub(crate) has_sent_events: bool,
    /// The last event that the caller has.
    pub(crate) last_event_id: Option<u64>,
    is_chunked: bool,
    keeps_alive: bool,
    splitter: EventSplitter,
    event_count: u32,
    first_event_at: Option<Timestamp>,
    last_event_at: Option<Timestamp>,
}

/// Streams of fewer events say little of the pace.
const PACE_EVENTS_MIN: u32 = 4;

/// Until when a stream's next bytes may come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayDeadlines {
    /// The first event.
    pub(crate) first_event_by: Timestamp,
    /// The end of it all.
    pub(crate) end_by: Timestamp,
    /// Milliseconds between two events, where another server could go on.
    pub(crate) event_gap: Option<sl_base::Millis>,
}

impl StreamRelay {
    /// A stream of which nothing was passed on. Callers that know no chunks get one that
    /// ends with the connection.
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

    /// Microseconds between two events in the mean, where there were enough.
    pub(crate) fn pace_micros(&self) -> Option<u32> {
        let span = self.last_event_at?.micros_since(self.first_event_at?);
        let gaps =
            self.event_count.checked_sub(1).filter(|_| self.event_count >= PACE_EVENTS_MIN)?;
        u32::try_from(span / u64::from(gaps)).ok()
    }

    /// Whether the connection can carry another answer after this one.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }

    /// Passes on what `upstream` sends until it ends; `on_event` is told of the first event.
    pub(crate) async fn relay(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        upstream: &mut Upstream,
        deadlines: RelayDeadlines,
        mut on_first_event: impl FnMut(),
    ) -> Result<(), RelayError> {
        self.splitter = EventSplitter::default();
        let mut next_event_by = deadlines.first_event_by;
        let mut is_first = true;
        if !self.is_head_sent {
            self.write(clock, caller, deadlines.end_by, &self.encode_head(&upstream.head)).await?;
            self.is_head_sent = true;
        }
        loop {
            let next = upstream.body.next(&mut upstream.pooled.conn);
            let next = tokio::select! {
                biased;
                next = timeout_at(clock.instant(next_event_by), next) => next,
                () = caller.gone(PIPELINED_BYTES_MAX) => return Err(RelayError::CallerGone),
            };
            let Ok(next) = next else {
                let is_expired = deadlines.end_by.is_due(clock.now());
                let fault =
                    if is_expired { Fault::DeadlineExceeded } else { Fault::ResponseTimeout };
                return Err(RelayError::Fault(fault));
            };
            let Some(piece) = next.map_err(|e| RelayError::Fault(fault(&e)))? else {
                return self.finish(clock, caller, upstream, deadlines.end_by).await;
            };
            self.splitter.push(&piece);
            let complete = self.take_complete_events();
            if complete.is_empty() {
                continue;
            }
            if std::mem::take(&mut is_first) {
                on_first_event();
            }
            self.has_sent_events = true;
            let now = clock.now();
            self.first_event_at.get_or_insert(now);
            self.last_event_at = Some(now);
            let framed = self.frame(&complete);
            self.write(clock, caller, deadlines.end_by, &framed).await?;
            next_event_by = match deadlines.event_gap {
                Some(gap) => clock.now().after(gap).min(deadlines.end_by),
                None => deadlines.end_by,
            };
        }
    }

    /// The whole events that have come and that the caller does not have.
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

    async fn finish(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        upstream: &Upstream,
        end_by: Timestamp,
    ) -> Result<(), RelayError> {
        if self.splitter.is_partial() {
            return Err(RelayError::Fault(Fault::TruncatedResponse));
        }
        if upstream.body.ending() == Some(Ending::Closed) && !self.has_sent_events {
            return Err(RelayError::Fault(Fault::TruncatedResponse));
        }
        if self.is_chunked {
            self.write(clock, caller, end_by, LAST_CHUNK).await?;
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
        end_by: Timestamp,
        bytes: &[u8],
    ) -> Result<(), RelayError> {
        match timeout_at(clock.instant(end_by), caller.write(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(RelayError::CallerGone),
            Err(_) => Err(RelayError::Fault(Fault::DeadlineExceeded)),
        }
    }
}

/// Bytes that frame a chunk.
const CHUNK_FRAME_BYTES: usize = 16;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn fault(e: &BodyError) -> Fault {
    match e {
        BodyError::Malformed | BodyError::TooLarge => Fault::InvalidResponse,
        BodyError::Truncated | BodyError::Io(_) => Fault::TruncatedResponse,
    }
}
