//! One attempt to have a request run by one server, up to the head of its answer.

use bytes::{Bytes, BytesMut};
use sl_base::{Millis, Timestamp};
use sl_http::{Body, Framing, RequestHead, ResponseHead};
use sl_route::{Fault, effect::Target};
use tokio::time::timeout_at;

use crate::{
    clock::Clock,
    pool::{Lent, NoConn, Pool},
};
use platform::{ForwardedRequest, ResponseClass, ServerResponse};

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a Bytes,
    /// The id of the caller's attempt.
    pub(crate) attempt: &'a Bytes,
    pub(crate) team: Option<&'a str>,
    /// When the final answer is due.
    pub(crate) end_by: Timestamp,
    /// The last event that the caller has, where an earlier server began the stream.
    pub(crate) last_event: Option<u64>,
    /// Whether the request must not be lost on a connection that is just ending.
    pub(crate) only_fresh: bool,
    /// Connections that may be open to the server.
    pub(crate) connections_max: usize,
}

/// An answer of which the head was read.
pub(crate) struct Upstream {
    pub(crate) lent: Lent,
    pub(crate) head: ResponseHead,
    pub(crate) body: Body,
    /// Whether the connection can carry another request after this answer.
    pub(crate) is_reusable: bool,
    /// Whether the head is a failure of the server's own.
    pub(crate) is_error: bool,
}

/// Bytes of the largest head that a server may send.
const HEAD_BYTES_MAX: usize = 32 * 1_024;

/// Answers to other requests that are skipped before one is given up on.
const STRAY_ANSWERS_MAX: usize = 2;

/// Bytes of a stray answer that are read over.
const STRAY_BYTES_MAX: usize = 1 << 20;

/// Sends the request to `target`, where `is_open` still holds then, and reads the head of
/// the answer.
pub(crate) async fn open(
    pool: &Pool,
    clock: Clock,
    target: &Target,
    sending: Sending<'_>,
    is_open: impl Fn() -> bool,
) -> Result<Upstream, Fault> {
    let lent = pool.get(target.address, sending.connections_max, sending.only_fresh).await;
    let mut lent = lent.map_err(|e| match e {
        NoConn::Full => Fault::Full,
        NoConn::Io(_) | NoConn::Timeout => Fault::NotConnected,
    })?;
    let within = sending.end_by.remaining(clock.now());
    // The connection may have taken its time, and the server may have left meanwhile.
    if within == Millis(0) || !is_open() {
        return Err(Fault::NotConnected);
    }
    let forward = ForwardedRequest {
        server_id: &target.id,
        team: sending.team,
        timeout: within,
        last_event_id: sending.last_event,
        fetch_from: target.fetch_from,
        body_len: sending.body.len(),
    };
    let mut buf = BytesMut::with_capacity(sending.body.len() + HEAD_BYTES);
    forward.head(sending.head).write(&mut buf);
    buf.extend_from_slice(sending.body);
    let begin_by = clock.instant(target.response_deadline);
    let written = timeout_at(begin_by, lent.conn.write_until_answer(&buf)).await;
    let lost = if lent.is_kept { Fault::StaleConnection } else { Fault::ConnectionLost };
    let is_whole = match written {
        Ok(Ok(written)) => written == buf.len(),
        Ok(Err(_)) => return Err(lost),
        Err(_) => return Err(Fault::ResponseTimeout),
    };
    match timeout_at(begin_by, answer(&mut lent, sending, lost)).await {
        Ok(Ok((head, is_error))) => upstream(lent, head, is_error, is_whole, sending),
        Ok(Err(fault)) => Err(fault),
        Err(_) => Err(Fault::ResponseTimeout),
    }
}

/// Bytes of an ordinary head.
const HEAD_BYTES: usize = 1_024;

fn upstream(
    lent: Lent,
    head: ResponseHead,
    is_error: bool,
    is_whole: bool,
    sending: Sending<'_>,
) -> Result<Upstream, Fault> {
    let framing =
        Framing::of_response(&sending.head.method, &head).map_err(|_| Fault::InvalidResponse)?;
    let is_reusable = is_whole && head.keeps_alive() && framing != Framing::UntilClose;
    Ok(Upstream { lent, head, body: Body::new(framing), is_reusable, is_error })
}

/// Reads heads until one belongs to the request.
async fn answer(
    lent: &mut Lent,
    sending: Sending<'_>,
    lost: Fault,
) -> Result<(ResponseHead, bool), Fault> {
    for _ in 0..=STRAY_ANSWERS_MAX {
        let head = head(lent, lost).await?;
        let marks = ServerResponse(&head);
        match marks.classify(sending.attempt) {
            ResponseClass::Valid => return Ok((head, false)),
            ResponseClass::ServerError if marks.may_forward_error() => return Ok((head, true)),
            ResponseClass::ServerError => return Err(Fault::UnprovenRejection),
            ResponseClass::NotRun => return Err(Fault::Full),
            ResponseClass::Misdirected => return Err(Fault::WrongServer),
            ResponseClass::Invalid => return Err(Fault::InvalidResponse),
            ResponseClass::OtherRequest => skip(lent, &head, sending).await?,
        }
    }
    Err(Fault::InvalidResponse)
}

async fn head(lent: &mut Lent, lost: Fault) -> Result<ResponseHead, Fault> {
    loop {
        let head = lent.conn.head::<ResponseHead>(HEAD_BYTES_MAX).await.map_err(|e| match e {
            sl_http::HeadError::Ended | sl_http::HeadError::Io(_) => lost,
            _ => Fault::InvalidResponse,
        })?;
        // Interim answers concern one connection only.
        if head.status >= 200 {
            return Ok(head);
        }
    }
}

/// Reads over an answer that belongs to another request.
async fn skip(lent: &mut Lent, head: &ResponseHead, sending: Sending<'_>) -> Result<(), Fault> {
    let framing =
        Framing::of_response(&sending.head.method, head).map_err(|_| Fault::InvalidResponse)?;
    if framing == Framing::UntilClose {
        return Err(Fault::InvalidResponse);
    }
    let read = Body::new(framing).collect(&mut lent.conn, STRAY_BYTES_MAX).await;
    read.map(drop).map_err(|_| Fault::InvalidResponse)
}
