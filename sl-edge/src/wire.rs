//! HTTP calls to the platform's store and to model engines.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use sl_http::{Body, Conn, Framing, Headers, RequestHead, ResponseHead};
use tokio::time::{Instant, timeout_at};

/// The response to a call.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) body: Bytes,
    /// Whether the connection can carry another call.
    pub(crate) is_reusable: bool,
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The response was not complete by the call's deadline.
    #[error("no response before the deadline")]
    Timeout,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The response head was not received or is invalid.
    #[error("{0}")]
    Head(#[from] sl_http::HeadError),
    /// The response's body length is ambiguous.
    #[error("{0}")]
    Framing(#[from] sl_http::FramingError),
    /// The response body was not received.
    #[error("{0}")]
    Body(#[from] sl_http::BodyError),
}

/// A call to make.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    pub(crate) method: &'static str,
    pub(crate) target: &'a str,
    pub(crate) host: SocketAddr,
    pub(crate) body: &'a [u8],
    /// Bytes of the largest response body that is accepted.
    pub(crate) body_bytes_max: usize,
    /// Deadline for connecting and for the complete response.
    pub(crate) deadline: Instant,
}

/// Bytes of the largest response head that is accepted.
const HEAD_BYTES_MAX: usize = 16 * 1_024;

/// Connects to the call's host before the call's deadline.
pub(crate) async fn connect(call: Call<'_>) -> Result<Conn, CallError> {
    let connected = timeout_at(call.deadline, sl_http::connect(call.host)).await;
    Ok(connected.map_err(|_| CallError::Timeout)??)
}

/// Makes a call on an open connection.
pub(crate) async fn call(conn: &mut Conn, call: Call<'_>) -> Result<Response, CallError> {
    let exchange = async {
        conn.write(&encode(call)).await?;
        let head: ResponseHead = conn.read_head(HEAD_BYTES_MAX).await?;
        let framing = Framing::of_response(call.method.as_bytes(), &head)?;
        let body = Body::new(framing).collect(conn, call.body_bytes_max).await?;
        let is_reusable = head.keeps_alive() && framing != Framing::UntilClose;
        Ok(Response { status: head.status, headers: head.headers, body, is_reusable })
    };
    timeout_at(call.deadline, exchange).await.unwrap_or(Err(CallError::Timeout))
}

fn encode(call: Call<'_>) -> BytesMut {
    let mut headers = Headers::default();
    headers.push("Host", call.host.to_string());
    if call.method != "GET" {
        headers.push("Content-Type", "application/json");
        headers.push("Content-Length", call.body.len().to_string());
    }
    let head = RequestHead {
        method: Bytes::from_static(call.method.as_bytes()),
        target: Bytes::copy_from_slice(call.target.as_bytes()),
        is_http_11: true,
        headers,
    };
    let mut buf = BytesMut::new();
    head.write(&mut buf);
    buf.extend_from_slice(call.body);
    buf
}
