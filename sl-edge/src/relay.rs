//! Relays responses from backend servers to callers, whole or as streams of events.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::FutureExt;
use sl_base::Timestamp;
use sl_http::{BodyError, Conn, Ending, Headers, ResponseHead};
use sl_route::Fault;

use crate::{
    attempt::Upstream,
    clock::Clock,
    delivery::{self, DeliveryError, PAUSE_TOLERANCE},
    event_sequence::EventSequence,
    response_memory::ResponseShare,
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
    memory: ResponseShare,
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
    /// The caller does not get the rest.
    Undelivered(DeliveryError),
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
        Some(Ok(_)) if !upstream.is_whole() => Err(CollectError::Fault(Fault::TruncatedResponse)),
        Some(Ok(body)) => {
            Ok(FullResponse { head: upstream.head.clone(), body, memory: upstream.memory.take() })
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
    ///
    /// # Errors
    ///
    /// If the caller does not get the whole response by `deadline`, which is as of
    /// [`delivery::deliver`].
    pub(crate) async fn write(
        &self,
        clock: Clock,
        caller: &mut Conn,
        deadline: Timestamp,
        is_head: bool,
        keeps_alive: bool,
    ) -> Result<(), DeliveryError> {
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
        let mut buf = BytesMut::with_capacity(HEAD_CAPACITY);
        write_head(&self.head, headers, keeps_alive, &mut buf);
        let body = if is_head { &[][..] } else { &self.body[..] };
        delivery::deliver(clock, caller, deadline, &self.memory, buf.chain(body)).await
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
    /// Bytes that the caller's connection has not taken yet.
    unsent: BytesMut,
    /// The memory of these bytes.
    memory: ResponseShare,
    /// When the caller counts as paused, unless its connection takes bytes before.
    paused_at: Timestamp,
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
    /// Gives the server time for its next event from `now` on.
    fn postpone_silence(&mut self, now: Timestamp) {
        self.silent_at = match self.event_gap {
            Some(gap) => now.after(gap),
            None => self.stream_deadline,
        };
    }

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
    pub(crate) fn new(
        events: EventSequence,
        is_chunked: bool,
        keeps_alive: bool,
        memory: ResponseShare,
    ) -> StreamRelay {
        StreamRelay {
            is_head_sent: false,
            is_chunked,
            keeps_alive: keeps_alive && is_chunked,
            events,
            unsent: BytesMut::new(),
            memory,
            paused_at: Timestamp::NEVER,
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
    /// [`RelayError::Silent`] the same response can be relayed further. Some bytes may not have been
    /// written at the end, for which [`StreamRelay::deliver`] is to be called.
    ///
    /// While the caller pauses, its bytes are kept, so that the server does not have to wait for it: a server
    /// cuts off a response that remains unread. Only when no memory is left for them does it wait.
    pub(crate) async fn relay(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        upstream: &mut Upstream,
        mut deadlines: RelayDeadlines,
        mut on_first_event: impl FnMut(&mut Conn) -> bool,
    ) -> Result<(), RelayError> {
        loop {
            let may_read = self.has_room();
            let silent_at = if may_read { deadlines.silent_at } else { Timestamp::NEVER };
            let due = silent_at.min(deadlines.stream_deadline);
            let next = tokio::select! {
                biased;
                written = self.write_some(clock, caller) => {
                    written.map_err(RelayError::Undelivered)?;
                    if !may_read {
                        deadlines.postpone_silence(clock.now());
                    }
                    continue;
                }
                next = upstream.body.next(&mut upstream.pooled.conn), if may_read => next,
                () = clock.reached(due) => {
                    return Err(match may_read {
                        true => deadlines.timeout_error(clock.now()),
                        false => RelayError::Undelivered(DeliveryError::NotRead),
                    });
                }
            };
            let Some(piece) = next.map_err(|e| RelayError::Fault(fault(&e)))? else {
                return self.finish(upstream, caller);
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
            // Events count as delivered once they are taken, so they are kept when a failure is
            // reported.
            if !taken.bytes.is_empty() {
                self.take_head(&upstream.head, caller);
                self.frame(clock.now(), &taken.bytes);
            }
            let has_memory = upstream.memory.resize(self.events.kept_bytes());
            if taken.error.is_some() || !has_memory {
                self.write_at_once(clock, caller);
                return Err(RelayError::Fault(Fault::InvalidResponse));
            }
            if taken.event_count > 0 {
                deadlines.postpone_silence(clock.now());
            } else if due.is_due(clock.now()) {
                // Bytes that complete no event may come without a pause, and the timeout above
                // elapses only during a pause.
                return Err(deadlines.timeout_error(clock.now()));
            }
        }
    }

    /// Writes what the caller's connection has not taken yet, until the caller disconnects. Returns
    /// why it does not get the rest.
    pub(crate) async fn undelivered(&mut self, clock: Clock, caller: &mut Conn) -> DeliveryError {
        loop {
            if let Err(e) = self.write_some(clock, caller).await {
                return e;
            }
        }
    }

    /// Writes what the caller's connection has not taken yet.
    ///
    /// # Errors
    ///
    /// If the caller does not get all of it by `deadline`, which is as of [`delivery::deliver`].
    pub(crate) async fn deliver(
        &mut self,
        clock: Clock,
        caller: &mut Conn,
        deadline: Timestamp,
    ) -> Result<(), DeliveryError> {
        let unsent = self.unsent.split();
        delivery::deliver(clock, caller, deadline, &self.memory, unsent).await?;
        if !self.is_chunked {
            caller.set_reset_on_end(false);
        }
        Ok(())
    }

    /// Whether more may be read for the caller.
    fn has_room(&mut self) -> bool {
        self.unsent.len() < UNSENT_BYTES_MAX && self.memory.resize(self.unsent.len())
    }

    /// Writes some of what the caller's connection has not taken yet. Without anything to write, waits
    /// until the caller disconnects.
    async fn write_some(&mut self, clock: Clock, caller: &mut Conn) -> Result<(), DeliveryError> {
        loop {
            let paused_at = self.paused_at;
            tokio::select! {
                biased;
                is_open = caller.write_some(&mut self.unsent, PIPELINED_BYTES_MAX) => {
                    if !matches!(is_open, Ok(true)) {
                        return Err(delivery::connection_error(caller));
                    }
                    self.record_progress(clock.now());
                    return Ok(());
                }
                () = self.memory.evicted() => return Err(DeliveryError::MemoryNeeded),
                () = clock.reached(paused_at) => {
                    self.memory.set_paused(true);
                    self.paused_at = Timestamp::NEVER;
                }
            }
        }
    }

    /// Records that the caller's connection has taken bytes.
    fn record_progress(&mut self, now: Timestamp) {
        self.memory.set_paused(false);
        self.memory.resize(self.unsent.len());
        self.paused_at = match self.unsent.is_empty() {
            true => Timestamp::NEVER,
            false => now.after(PAUSE_TOLERANCE),
        };
    }

    /// Writes as much as the caller's connection takes without a wait.
    fn write_at_once(&mut self, clock: Clock, caller: &mut Conn) {
        while !self.unsent.is_empty() {
            let Some(Ok(())) = self.write_some(clock, caller).now_or_never() else {
                return;
            };
        }
    }

    /// Ends the stream after the last byte of a server, if the stream may end there.
    fn finish(&mut self, upstream: &Upstream, caller: &Conn) -> Result<(), RelayError> {
        let is_closed = upstream.body.ending() == Some(Ending::Closed);
        if !self.events.may_end(is_closed) || !upstream.is_whole() {
            return Err(RelayError::Fault(Fault::TruncatedResponse));
        }
        self.take_head(&upstream.head, caller);
        let withheld = self.events.take_withheld();
        if !withheld.is_empty() {
            self.append(&withheld);
        }
        if self.is_chunked {
            self.unsent.put_slice(LAST_CHUNK);
        }
        Ok(())
    }

    /// Appends the head to what is to be written, unless it was taken before. It is sent together with
    /// the first event: once the caller has it, a failure can only be reported by a reset.
    /// From then on a connection whose end would complete the stream is reset when it ends early,
    /// also if this process does.
    fn take_head(&mut self, head: &ResponseHead, caller: &Conn) {
        if std::mem::replace(&mut self.is_head_sent, true) {
            return;
        }
        let mut headers = ServerResponse(head).forwarded_headers();
        match self.is_chunked {
            true => headers.push("Transfer-Encoding", "chunked"),
            false => caller.set_reset_on_end(true),
        }
        self.unsent.reserve(HEAD_CAPACITY);
        write_head(head, headers, self.keeps_alive, &mut self.unsent);
    }

    /// Appends a piece of the body, of which the caller has to take some by the time at which it counts
    /// as paused.
    fn frame(&mut self, now: Timestamp, piece: &[u8]) {
        if self.paused_at == Timestamp::NEVER {
            self.paused_at = now.after(PAUSE_TOLERANCE);
        }
        self.append(piece);
    }

    /// Appends a piece of the body, as a chunk if the stream is chunked.
    fn append(&mut self, piece: &[u8]) {
        self.unsent.reserve(piece.len() + CHUNK_FRAME_BYTES);
        if !self.is_chunked {
            return self.unsent.put_slice(piece);
        }
        self.unsent.put_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        self.unsent.put_slice(piece);
        self.unsent.put_slice(b"\r\n");
    }
}

/// Bytes of a stream that are kept for a caller that pauses.
const UNSENT_BYTES_MAX: usize = 256 * 1_024;

/// Buffer capacity reserved for the framing of a chunk, in bytes.
const CHUNK_FRAME_BYTES: usize = 16;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn fault(e: &BodyError) -> Fault {
    match e {
        BodyError::Malformed | BodyError::TooLarge => Fault::InvalidResponse,
        BodyError::Truncated | BodyError::Io(_) => Fault::TruncatedResponse,
    }
}
