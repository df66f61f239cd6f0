//! Accepts callers' connections and serves the requests on them.

mod exchange;
mod request;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use sl_base::Code;
use sl_http::{Body, BodyError, Conn, Framing, HeadError, PeerMonitor, RequestHead};
use sl_route::Document;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::timeout,
};

use crate::{
    connection_tracker::ConnectionTracker, core::Core, delivery, pool::Pool,
    refusal::LocalResponse, response_memory::ResponseMemory, stream_locator::StreamLocator,
    turns::Turns,
};
use request::{CALLER_TIMEOUT_DEFAULT, Request};

/// State shared by the tasks that serve callers' connections.
pub(crate) struct Ingress {
    pub(crate) core: Rc<Core>,
    pub(crate) pool: Pool,
    pub(crate) connections: Rc<ConnectionTracker>,
    pub(crate) peer_monitor: PeerMonitor,
    pub(crate) response_memory: ResponseMemory,
    pub(crate) stream_locator: StreamLocator,
}

/// What to do with a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// Keep it open for another request.
    KeepAlive,
    /// Close it gracefully.
    Close,
    /// Reset it, so that the caller sees an error instead of an apparently complete response.
    Reset,
}

/// Connections that are accepted before other tasks get their turn. Each of them has a request to
/// read, and the tick that finds the instance late waits behind them.
const ACCEPTS_PER_TURN: u32 = 8;

/// Pause after a failed accept, for instance when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How long a closing connection still reads from its caller, so that a caller in the middle
/// of its body receives the response before the connection closes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes after which a closing connection stops reading.
const LINGER_BYTES_MAX: usize = 1 << 20;

/// How long reading a request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts callers' connections until a graceful shutdown reaches its last phase.
pub(crate) async fn accept_loop(ingress: Rc<Ingress>, listener: TcpListener) {
    let mut turns = Turns::new(ACCEPTS_PER_TURN);
    loop {
        turns.take().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = ingress.core.shutdown.termination_started() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                ingress.core.record_connection();
                spawn_local(serve_connection(ingress.clone(), stream));
            }
            Err(e) => {
                slog::warn!(ingress.core.log, "cannot accept connection"; "reason" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(ingress: Rc<Ingress>, stream: TcpStream) {
    if let Err(e) = sl_http::set_socket_options(&stream) {
        slog::warn!(ingress.core.log, "cannot set socket options"; "reason" => %e);
    }
    let _open = ingress.connections.register();
    let mut conn = Conn::monitored(stream, &ingress.peer_monitor);
    let mut is_reused = false;
    loop {
        let head = match read_head(&ingress, &mut conn, is_reused).await {
            Ok(head) => head,
            Err(None) => return conn.close(),
            Err(Some(code)) => {
                return respond_and_close(&ingress, conn, LocalResponse::of(code), false).await;
            }
        };
        ingress.core.record_head();
        is_reused = true;
        let is_head = head.is_head();
        // Not read earlier: the configuration may have changed while the connection was idle.
        let document = ingress.core.document();
        match handle_request(&ingress, &document, &mut conn, head).await {
            Ok(Disposition::KeepAlive) => {}
            Ok(Disposition::Close) => return lingering_close(&ingress, conn).await,
            Ok(Disposition::Reset) => return conn.reset(),
            Err(response) => return respond_and_close(&ingress, conn, response, is_head).await,
        }
    }
}

/// Reads the next request head; `Err(None)` if the connection is to be closed without a
/// response. Late in a graceful shutdown, idle connections that have served a request are closed.
/// Before, they are open for their next request, which may be in transit already; new ones still
/// wait for their first request, as the balancer opens connections until it notices that the
/// instance is not ready.
async fn read_head(
    ingress: &Ingress,
    conn: &mut Conn,
    is_reused: bool,
) -> Result<RequestHead, Option<Code>> {
    let core = &ingress.core;
    let limits = core.document().limits;
    if conn.buffered().is_empty() {
        conn.release_buffer();
        let idle = ingress.connections.mark_idle();
        let first = tokio::select! {
            biased;
            first = timeout(limits.idle_timeout.into(), conn.fill()) => first,
            () = core.shutdown.idle_close_due(), if is_reused => return Err(None),
            () = idle.evicted() => {
                slog::debug!(core.log, "idle connection closed";
                    "reason" => "connection limit reached",
                    "open" => ingress.connections.open_count());
                return Err(None);
            }
        };
        if !matches!(first, Ok(Ok(read)) if read > 0) {
            return Err(None);
        }
    }
    let _in_progress = ingress.connections.mark_in_progress();
    let read = timeout(limits.header_timeout.into(), conn.read_head(limits.max_header_bytes)).await;
    match read {
        Ok(Ok(head)) => Ok(head),
        Ok(Err(HeadError::TooLarge)) => Err(Some(Code::HeadersTooLarge)),
        Ok(Err(HeadError::Malformed(_))) => Err(Some(Code::Malformed)),
        Ok(Err(_)) => Err(None),
        Err(_) => Err(Some(Code::HeadersLate)),
    }
}

/// Validates a request, reads its body and runs it to its response.
async fn handle_request(
    ingress: &Ingress,
    document: &Arc<Document>,
    conn: &mut Conn,
    head: RequestHead,
) -> Result<Disposition, LocalResponse> {
    let framing = Framing::of_request(&head).map_err(|_| LocalResponse::of(Code::Malformed))?;
    if let Framing::Length(length) = framing
        && length > document.limits.max_body_bytes as u64
    {
        return Err(LocalResponse::of(Code::BodyTooLarge));
    }
    let request = Request::resolve(ingress, document, head).map_err(LocalResponse::of)?;
    // The caller of a resumed stream has a part of the response already.
    if !request.is_resumed() && ingress.core.should_reject(request.team.as_deref()) {
        return Err(request.reject_for_overload(ingress));
    }
    // Refused before the body is received, which may take long.
    if !request.is_accepted(ingress) {
        return Err(request.reject_for_shutdown(ingress));
    }
    // Until the response is written, which for a server's error begins when nothing is in flight.
    let _in_progress = ingress.connections.mark_in_progress();
    let shutdown = &ingress.core.shutdown;
    let body = tokio::select! {
        biased;
        body = read_body(document, conn, framing, &request.head) => body,
        () = shutdown.termination_started() => return Err(request.reject_for_shutdown(ingress)),
    };
    let body = body.map_err(|code| request.reject_unread(ingress, code))?;
    let request = request.locate_stream(ingress).await?;
    if !request.is_accepted(ingress) {
        return Err(request.reject_for_shutdown(ingress));
    }
    let guard = ingress.core.register_request();
    Ok(request.run(ingress, conn, guard, body).await)
}

async fn read_body(
    document: &Document,
    conn: &mut Conn,
    framing: Framing,
    head: &RequestHead,
) -> Result<Bytes, Code> {
    if framing == Framing::Empty {
        return Ok(Bytes::new());
    }
    if head.headers.has_list_element("expect", "100-continue") && conn.buffered().is_empty() {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(|_| Code::BodyIncomplete)?;
    }
    let mut body = Body::new(framing);
    let reading = body.collect(conn, document.limits.max_body_bytes);
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Code::BodyTooLarge),
        Ok(Err(BodyError::Malformed)) => Err(Code::Malformed),
        Ok(Err(_)) | Err(_) => Err(Code::BodyIncomplete),
    }
}

/// Sends a response to a request that was not run, and closes the connection.
async fn respond_and_close(
    ingress: &Ingress,
    mut conn: Conn,
    response: LocalResponse,
    is_head: bool,
) {
    let _closing = ingress.connections.mark_closing();
    let response = response.encode(None, is_head, false);
    let clock = ingress.core.clock;
    let deadline = clock.now().after(CALLER_TIMEOUT_DEFAULT);
    let memory = &ingress.response_memory.share();
    if delivery::deliver(clock, &mut conn, deadline, memory, response).await.is_ok() {
        lingering_close(ingress, conn).await;
    }
}

/// Closes a connection gracefully. Closing with unread bytes sends a reset, which may destroy
/// the response before the caller reads it, so incoming bytes are discarded for a moment
/// first.
async fn lingering_close(ingress: &Ingress, mut conn: Conn) {
    let _closing = ingress.connections.mark_closing();
    conn.shutdown_write();
    let reading = async {
        let mut read = 0;
        while read < LINGER_BYTES_MAX {
            match conn.fill().await {
                Ok(more) if more > 0 => read += more,
                _ => return,
            }
            conn.buffered().clear();
        }
    };
    // A caller that continues to send after the timeout gets a reset.
    let _ = timeout(LINGER_TIMEOUT, reading).await;
}
