//! Heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::{BufMut, Bytes, BytesMut};

use crate::{Field, Headers};

/// A message head that can be parsed from bytes.
pub trait Head: Sized {
    /// Parses a head from the start of `buf` and removes its bytes. Returns `None` and leaves
    /// `buf` unchanged if the head is incomplete.
    ///
    /// # Errors
    ///
    /// [`MalformedHead`] if the bytes are not the start of a valid head.
    fn parse(buf: &mut BytesMut) -> Result<Option<Self>, MalformedHead>;
}

/// The bytes are not the head of an HTTP/1 message, or it has too many header fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message head")]
pub struct MalformedHead;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, case preserved.
    pub method: Bytes,
    /// The request target as received, without normalization.
    pub target: Bytes,
    /// Whether the message is HTTP/1.1; otherwise it is HTTP/1.0.
    pub is_http_11: bool,
    /// The header fields.
    pub headers: Headers,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase; may be empty.
    pub reason: Bytes,
    /// Whether the message is HTTP/1.1; otherwise it is HTTP/1.0.
    pub is_http_11: bool,
    /// The header fields.
    pub headers: Headers,
}

/// Maximum number of header fields in one message.
const FIELDS_MAX: usize = 100;

impl Head for RequestHead {
    fn parse(buf: &mut BytesMut) -> Result<Option<RequestHead>, MalformedHead> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(buf).map_err(|_| MalformedHead)?;
        let httparse::Status::Complete(len) = status else {
            return Ok(None);
        };
        let (method, target) = (optional_span(buf, parsed.method), optional_span(buf, parsed.path));
        let is_http_11 = parsed.version == Some(1);
        let fields = spans(buf, parsed.headers);
        let bytes = buf.split_to(len).freeze();
        Ok(Some(RequestHead {
            method: bytes.slice(method),
            target: bytes.slice(target),
            is_http_11,
            headers: to_headers(&bytes, &fields),
        }))
    }
}

impl Head for ResponseHead {
    fn parse(buf: &mut BytesMut) -> Result<Option<ResponseHead>, MalformedHead> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(buf).map_err(|_| MalformedHead)?;
        let httparse::Status::Complete(len) = status else {
            return Ok(None);
        };
        let reason = optional_span(buf, parsed.reason);
        let status = parsed.code.filter(|it| STATUSES.contains(it)).ok_or(MalformedHead)?;
        let is_http_11 = parsed.version == Some(1);
        let fields = spans(buf, parsed.headers);
        let is_joined = |it: &Span| has_status_line(&buf[it.clone()]);
        if is_joined(&reason) || fields.iter().any(|(_, value)| is_joined(value)) {
            return Err(MalformedHead);
        }
        let bytes = buf.split_to(len).freeze();
        Ok(Some(ResponseHead {
            status,
            reason: bytes.slice(reason),
            is_http_11,
            headers: to_headers(&bytes, &fields),
        }))
    }
}

/// The statuses that HTTP has. A server that sends another one is in trouble, and the caller could not tell
/// what it means.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Whether a status line begins in `value`: the server stopped in a head and began another one,
/// whose fields and body must not be read as those of the first.
pub(crate) fn has_status_line(value: &[u8]) -> bool {
    value.windows(STATUS_LINE_START.len()).any(|it| {
        let mut pairs = it.iter().zip(STATUS_LINE_START);
        pairs.all(|(byte, expected)| match expected {
            b'0' => byte.is_ascii_digit(),
            _ => byte == expected,
        })
    })
}

/// The start of a status line, with 0 for any digit.
const STATUS_LINE_START: &[u8] = b"HTTP/0.0 000";

impl RequestHead {
    /// Appends the encoded head to `buf`, always as HTTP/1.1.
    pub fn write(&self, buf: &mut BytesMut) {
        buf.put_slice(&self.method);
        buf.put_u8(b' ');
        buf.put_slice(&self.target);
        buf.put_slice(b" HTTP/1.1\r\n");
        self.headers.write(buf);
    }

    /// Whether the response has no body, whatever length it states.
    pub fn is_head(&self) -> bool {
        &self.method[..] == b"HEAD"
    }

    /// Whether the request lets the connection stay open after the exchange.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.is_http_11)
    }
}

impl ResponseHead {
    /// Appends the encoded head to `buf`, always as HTTP/1.1.
    pub fn write(&self, buf: &mut BytesMut) {
        buf.put_slice(format!("HTTP/1.1 {} ", self.status).as_bytes());
        buf.put_slice(&self.reason);
        buf.put_slice(b"\r\n");
        self.headers.write(buf);
    }

    /// Whether the response lets the connection stay open after the exchange.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.is_http_11)
    }
}

fn keeps_alive(headers: &Headers, is_http_11: bool) -> bool {
    if is_http_11 {
        !headers.has_list_element("connection", "close")
    } else {
        headers.has_list_element("connection", "keep-alive")
    }
}

/// Byte range within the received buffer.
type Span = std::ops::Range<usize>;

fn optional_span(buf: &[u8], part: Option<&str>) -> Span {
    part.map_or(0..0, |it| span(buf, it.as_bytes()))
}

/// Returns the range of `part`, a slice of `buf`, within `buf`.
fn span(buf: &[u8], part: &[u8]) -> Span {
    let start = part.as_ptr().addr().saturating_sub(buf.as_ptr().addr());
    if start + part.len() > buf.len() {
        // An empty slice need not point into `buf`.
        return 0..0;
    }
    start..start + part.len()
}

fn spans(buf: &[u8], fields: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    fields.iter().map(|it| (span(buf, it.name.as_bytes()), span(buf, it.value))).collect()
}

fn to_headers(bytes: &Bytes, fields: &[(Span, Span)]) -> Headers {
    let field = |(name, value): &(Span, Span)| Field {
        name: bytes.slice(name.clone()),
        value: bytes.slice(value.clone()),
    };
    fields.iter().map(field).collect()
}
