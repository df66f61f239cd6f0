//! One attempt at a request on one server, up to the head of the response.

use std::io;

use bytes::{Bytes, BytesMut};
use sl_base::{Millis, Timestamp};
use sl_http::{Body, Ending, Framing, RequestHead, ResponseHead};
use sl_route::{Fault, effect::Target};

use crate::{
    clock::Clock,
    pool::{Pool, PoolError, PooledConn},
    response_memory::{ResponseMemory, ResponseShare},
};
use platform::{ConnectionUse, ForwardedRequest, ResponseClass, ServerResponse};

/// The request as one attempt sends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a Bytes,
    /// The caller's attempt id, which the response must echo.
    pub(crate) attempt_id: &'a Bytes,
    /// Name of the caller's team, if its API key identifies one.
    pub(crate) team: Option<&'a str>,
    /// Deadline for the whole request.
    pub(crate) deadline: Timestamp,
    /// Id of the last event that the caller has received, if an earlier attempt has relayed
    /// any.
    pub(crate) last_event_id: Option<u64>,
    /// Whether to avoid connections that the server may be closing as idle, because the
    /// request cannot be repeated.
    pub(crate) only_fresh: bool,
    /// Limit of open connections to the server.
    pub(crate) max_connections: usize,
    /// The memory for what the server sends.
    pub(crate) memory: &'a ResponseMemory,
}

/// A response whose head has been read and whose body has not.
pub(crate) struct Upstream {
    pub(crate) pooled: PooledConn,
    pub(crate) head: ResponseHead,
    pub(crate) body: Body,
    /// The memory of what the server has sent.
    pub(crate) memory: ResponseShare,
    /// Whether the connection can carry another request after this response.
    pub(crate) is_reusable: bool,
    /// Whether the server responded after the whole request had been written.
    is_fully_sent: bool,
    /// Whether the response is an error of the server, which may have run the request.
    pub(crate) is_error: bool,
}

/// Bytes of the largest response head that is accepted.
const HEAD_BYTES_MAX: usize = 32 * 1_024;

/// Responses to other requests that are discarded before the attempt fails.
const STRAY_RESPONSES_MAX: usize = 2;

/// Bytes of the largest body of such a response, of which none is kept.
const STRAY_BYTES_MAX: usize = 1 << 20;

/// Interim (1xx) responses that are skipped before one response. A server in trouble may send
/// them without end.
const INTERIM_RESPONSES_MAX: usize = 16;

/// Sends the request to `target`, if `is_accepting` still holds once connected, and reads the
/// head of the response. `on_response` sees the head of each response of the target to this
/// request, also of one that turns it away.
pub(crate) async fn send(
    pool: &Pool,
    clock: Clock,
    target: &Target,
    outgoing: OutgoingRequest<'_>,
    is_accepting: impl Fn() -> bool,
    on_response: impl Fn(ServerResponse<'_>),
) -> Result<Upstream, Fault> {
    let OutgoingRequest { attempt_id, max_connections, only_fresh, .. } = outgoing;
    let pooled = pool.acquire(target.address, attempt_id, max_connections, only_fresh).await;
    let mut pooled = pooled.map_err(|e| match e {
        PoolError::LimitReached => Fault::Full,
        PoolError::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Fault::ConnectionRefused
        }
        PoolError::Io(_) | PoolError::Timeout => Fault::NotConnected,
    })?;
    let timeout = outgoing.deadline.remaining(clock.now());
    // Time may have run out, or the server may have been withdrawn, while connecting.
    if timeout == Millis(0) || !is_accepting() {
        return Err(Fault::NotConnected);
    }
    let forward = ForwardedRequest {
        server_id: &target.id,
        team: outgoing.team,
        timeout,
        last_event_id: outgoing.last_event_id,
        fetch_from: target.fetch_from,
        body_len: outgoing.body.len(),
    };
    let mut buf = BytesMut::with_capacity(outgoing.body.len() + HEAD_CAPACITY);
    forward.head(outgoing.head).write(&mut buf);
    buf.extend_from_slice(outgoing.body);
    pooled.sent.record(attempt_id, &outgoing.head.method);
    let mut memory = outgoing.memory.share();
    let lost_fault = if pooled.is_reused { Fault::StaleConnection } else { Fault::ConnectionLost };
    let exchange = exchange(&mut pooled, &buf, outgoing, &mut memory, lost_fault, on_response);
    match clock.complete_by(outgoing.deadline, exchange).await {
        Some(Ok(response)) => into_upstream(pooled, response, memory, outgoing),
        Some(Err(fault)) => Err(fault),
        None => Err(Fault::DeadlineExceeded),
    }
}

/// Initial buffer capacity for a request head, in bytes.
const HEAD_CAPACITY: usize = 1_024;

/// The head of the response to a request.
struct MatchingHead {
    head: ResponseHead,
    /// Whether the response is a server error that may be forwarded to the caller.
    is_error: bool,
    /// Whether the server responded after the whole request had been sent.
    is_fully_sent: bool,
}

fn into_upstream(
    pooled: PooledConn,
    response: MatchingHead,
    memory: ResponseShare,
    outgoing: OutgoingRequest<'_>,
) -> Result<Upstream, Fault> {
    let MatchingHead { head, is_error, is_fully_sent } = response;
    let framing =
        Framing::of_response(&outgoing.head.method, &head).map_err(|_| Fault::InvalidResponse)?;
    let is_reusable = is_fully_sent && head.keeps_alive() && framing != Framing::UntilClose;
    let body = Body::new(framing);
    Ok(Upstream { pooled, head, body, memory, is_reusable, is_fully_sent, is_error })
}

impl Upstream {
    /// Whether the body, which has been read to its end, is the whole one. Where the end of the connection is
    /// the end of the body, it has to come after the request: a server that closes while it is still to
    /// read may have been cut off, and resets the connection next.
    pub(crate) fn is_whole(&self) -> bool {
        let is_closed = self.body.ending() == Some(Ending::Closed);
        !is_closed || self.is_fully_sent && self.pooled.conn.is_all_received()
    }
}

/// Sends `request` until a response head carries its attempt id, and returns that head.
async fn exchange(
    pooled: &mut PooledConn,
    request: &[u8],
    outgoing: OutgoingRequest<'_>,
    memory: &mut ResponseShare,
    lost_fault: Fault,
    on_response: impl Fn(ServerResponse<'_>),
) -> Result<MatchingHead, Fault> {
    let mut unsent = request;
    let mut connection_use = match pooled.is_reused {
        true => ConnectionUse::Reused,
        false => ConnectionUse::First,
    };
    for _ in 0..=STRAY_RESPONSES_MAX {
        let head = send_until_final_head(pooled, &mut unsent, memory, lost_fault).await?;
        let response = ServerResponse(&head);
        let class = response.classify(outgoing.attempt_id, connection_use);
        if class.is_by_target() {
            on_response(response);
        }
        let is_error = match class {
            ResponseClass::Valid => false,
            ResponseClass::ServerError if response.may_forward_error() => true,
            ResponseClass::ServerError => return Err(Fault::UnprovenRejection),
            ResponseClass::NotRun => return Err(Fault::Full),
            ResponseClass::Misdirected => return Err(Fault::WrongServer),
            ResponseClass::UnmatchedRejection => return Err(Fault::UnmatchedRejection),
            ResponseClass::Invalid => return Err(Fault::InvalidResponse),
            ResponseClass::OtherRequest => {
                discard_response(pooled, &head, outgoing).await?;
                connection_use = ConnectionUse::Reused;
                continue;
            }
        };
        return Ok(MatchingHead { head, is_error, is_fully_sent: unsent.is_empty() });
    }
    Err(Fault::InvalidResponse)
}

/// Sends `unsent` until the server responds, and reads the next response head that is not an
/// interim (1xx) one. After an interim response the sending goes on.
async fn send_until_final_head(
    pooled: &mut PooledConn,
    unsent: &mut &[u8],
    memory: &mut ResponseShare,
    lost_fault: Fault,
) -> Result<ResponseHead, Fault> {
    for _ in 0..=INTERIM_RESPONSES_MAX {
        // Heads before this one are not kept.
        memory.resize(pooled.conn.buffered().len());
        // A response that has arrived already is read first: the server may not read on.
        if pooled.conn.buffered().is_empty() {
            let written = pooled.conn.write_until_response(unsent).await;
            *unsent = &unsent[written.map_err(|_| lost_fault)?..];
        }
        let head =
            pooled.conn.read_head_reserved::<ResponseHead>(HEAD_BYTES_MAX, |it| memory.reserve(it));
        let head = head.await.map_err(|e| match e {
            sl_http::HeadError::Closed | sl_http::HeadError::Io(_) => lost_fault,
            _ => Fault::InvalidResponse,
        })?;
        // What follows the head is counted by its reader.
        memory.release(pooled.conn.buffered().len());
        // Interim responses concern this hop only.
        if head.status >= 200 {
            return Ok(head);
        }
    }
    Err(Fault::InvalidResponse)
}

/// Reads and drops the body of a response to another request. Whether the response has a body
/// depends on the method of that request; if the connection has not carried it, the method is
/// taken to be that of the current one.
async fn discard_response(
    pooled: &mut PooledConn,
    head: &ResponseHead,
    outgoing: OutgoingRequest<'_>,
) -> Result<(), Fault> {
    let other_method = ServerResponse(head).attempt_id().and_then(|it| pooled.sent.method(it));
    let method = other_method.map_or(&outgoing.head.method[..], |it| it.as_bytes());
    let framing = Framing::of_response(method, head).map_err(|_| Fault::InvalidResponse)?;
    if framing == Framing::UntilClose {
        return Err(Fault::InvalidResponse);
    }
    let read = Body::new(framing).discard(&mut pooled.conn, STRAY_BYTES_MAX).await;
    read.map_err(|_| Fault::InvalidResponse)
}
