//! Callers' connections and the requests on them.

mod exchange;
mod request;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use sl_base::Code;
use sl_http::{Body, BodyError, Conn, Framing, HeadError, RequestHead};
use sl_route::Document;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::timeout,
};

use crate::{core::Core, pool::Pool, refusal::OwnAnswer, unused::Unused};
use request::Request;

/// What a caller's connection needs.
pub(crate) struct Front {
    pub(crate) core: Rc<Core>,
    pub(crate) pool: Pool,
    pub(crate) unused: Unused,
}

/// What follows on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Another request may come.
    Go,
    /// It is ended in order.
    Close,
    /// It is ended so that the caller sees a failure.
    Reset,
}

/// A pause after a connection could not be accepted, when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a caller that was refused in the middle of its body is listened to, so that it
/// gets the answer before the connection ends.
const LINGER: Duration = Duration::from_millis(300);

/// Bytes that are read over meanwhile.
const LINGER_BYTES: usize = 1 << 20;

/// How long a caller's body may pause.
const BODY_WITHIN: Duration = Duration::from_secs(10);

/// Takes callers' connections until a planned stop ends.
pub(crate) async fn listen(front: Rc<Front>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = front.core.ended() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(serve(front.clone(), stream));
            }
            Err(e) => {
                slog::warn!(front.core.log, "connection not accepted"; "reason" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(front: Rc<Front>, stream: TcpStream) {
    if let Err(e) = sl_http::tune(&stream) {
        slog::warn!(front.core.log, "options of a connection not set"; "reason" => %e);
    }
    let _open = front.unused.opened();
    let mut conn = Conn::new(stream);
    let mut is_kept = false;
    loop {
        let head = match head(&front, &mut conn, is_kept).await {
            Ok(head) => head,
            Err(None) => return conn.finish().await,
            Err(Some(code)) => return refuse(conn, OwnAnswer::of(code)).await,
        };
        is_kept = true;
        // The connection may have been unused for long: what is in force now counts.
        let document = front.core.document();
        match exchange(&front, &document, &mut conn, head).await {
            Ok(Next::Go) => {}
            Ok(Next::Close) => return linger(conn).await,
            Ok(Next::Reset) => return conn.reset(),
            Err(own) => return refuse(conn, own).await,
        }
    }
}

/// Reads the next head; none where the connection ends without one. While a planned stop
/// is under way, connections that were served are ended; new ones still come, until the
/// balancer has noticed.
async fn head(front: &Front, conn: &mut Conn, is_kept: bool) -> Result<RequestHead, Option<Code>> {
    let core = &front.core;
    let limits = core.document().limits;
    if conn.buffered().is_empty() {
        conn.release();
        let waiting = front.unused.waits();
        let first = tokio::select! {
            biased;
            first = timeout(limits.idle_timeout.into(), conn.fill()) => first,
            () = core.stopping(), if is_kept => return Err(None),
            () = waiting.yields() => {
                slog::debug!(core.log, "unused connection ended";
                    "reason" => "too many are open", "open" => front.unused.open());
                return Err(None);
            }
        };
        if !matches!(first, Ok(Ok(read)) if read > 0) {
            return Err(None);
        }
    }
    let read = timeout(limits.header_timeout.into(), conn.head(limits.max_header_bytes)).await;
    match read {
        Ok(Ok(head)) => Ok(head),
        Ok(Err(HeadError::TooLarge)) => Err(Some(Code::HeadersTooLarge)),
        Ok(Err(HeadError::Malformed(_))) => Err(Some(Code::Malformed)),
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(Code::HeadersLate)),
    }
}

/// Reads the rest of a request and sees it through.
async fn exchange(
    front: &Front,
    document: &Arc<Document>,
    conn: &mut Conn,
    head: RequestHead,
) -> Result<Next, OwnAnswer> {
    let framing = Framing::of_request(&head).map_err(|_| OwnAnswer::of(Code::Malformed))?;
    if let Framing::Length(length) = framing
        && length > document.limits.max_body_bytes as u64
    {
        return Err(OwnAnswer::of(Code::BodyTooLarge));
    }
    let request = Request::read(front, document, head).map_err(OwnAnswer::of)?;
    if front.core.turns_away() {
        return Err(request.turn_away(front));
    }
    let body = body(document, conn, framing, &request.head).await.map_err(OwnAnswer::of)?;
    if !front.core.has_time_for(&request.route) {
        return Err(request.refuse_for_stop(front));
    }
    Ok(request.run(front, conn, body).await)
}

async fn body(
    document: &Document,
    conn: &mut Conn,
    framing: Framing,
    head: &RequestHead,
) -> Result<Bytes, Code> {
    if framing == Framing::Empty {
        return Ok(Bytes::new());
    }
    if head.headers.has_word("expect", "100-continue") && conn.buffered().is_empty() {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| Code::BodyIncomplete)?;
    }
    let mut body = Body::new(framing);
    let reading = body.collect(conn, document.limits.max_body_bytes);
    match timeout(BODY_WITHIN, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Code::BodyTooLarge),
        Ok(Err(BodyError::Malformed)) => Err(Code::Malformed),
        Ok(Err(_)) | Err(_) => Err(Code::BodyIncomplete),
    }
}

/// Answers a request that could not be read, and ends the connection.
async fn refuse(mut conn: Conn, own: OwnAnswer) {
    // The caller may be gone; then there is nobody to answer.
    if own.write(&mut conn, None, false).await.is_ok() {
        linger(conn).await;
    }
}

/// Ends a connection in order. Bytes that are still to be read would turn the end into a
/// reset, which may overtake the answer; so they are read over for a moment.
async fn linger(mut conn: Conn) {
    conn.end_writing().await;
    let reading = async {
        let mut read = 0;
        while read < LINGER_BYTES {
            match conn.fill().await {
                Ok(more) if more > 0 => read += more,
                _ => return,
            }
            conn.buffered().clear();
        }
    };
    // Whoever goes on sending past this gets a reset.
    let _ = timeout(LINGER, reading).await;
}
