//! Length of a message body. A message with conflicting lengths is rejected instead of
//! preferring one of them, because two recipients that choose differently disagree on where
//! the message ends (request smuggling).

use crate::{Headers, RequestHead, ResponseHead};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed. Responses only.
    UntilClose,
}

/// The length of a body is ambiguous or cannot be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// Both a length and a transfer coding, or two different lengths.
    #[error(
        "conflicting body lengths: Content-Length values differ or come with Transfer-Encoding"
    )]
    ConflictingLengths,
    /// A `Content-Length` that is not a decimal number of 64 bits.
    #[error("Content-Length is not a valid number")]
    InvalidLength,
    /// A transfer coding other than a single `chunked`, or any in an HTTP/1.0 request.
    #[error("unsupported transfer coding")]
    UnknownCoding,
}

impl Framing {
    /// Determines the framing of a request's body.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the headers do not determine one length.
    pub fn of_request(head: &RequestHead) -> Result<Framing, FramingError> {
        if head.headers.contains("transfer-encoding") && !head.is_http_11 {
            return Err(FramingError::UnknownCoding);
        }
        Ok(declared_framing(&head.headers)?.unwrap_or(Framing::Empty))
    }

    /// Determines the framing of the body of a response to a request with the method `method`.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the headers do not determine one length.
    pub fn of_response(method: &[u8], head: &ResponseHead) -> Result<Framing, FramingError> {
        // Without a body the length still reaches the caller, so it has to be valid.
        let declared = declared_framing(&head.headers)?;
        let has_no_body = method == b"HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if has_no_body {
            return Ok(Framing::Empty);
        }
        Ok(declared.unwrap_or(Framing::UntilClose))
    }
}

fn declared_framing(headers: &Headers) -> Result<Option<Framing>, FramingError> {
    let length = content_length(headers)?;
    if !headers.contains("transfer-encoding") {
        return Ok(length.map(|it| if it == 0 { Framing::Empty } else { Framing::Length(it) }));
    }
    if length.is_some() {
        return Err(FramingError::ConflictingLengths);
    }
    let mut codings = headers.list_elements("transfer-encoding");
    match (codings.next(), codings.next()) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(FramingError::UnknownCoding),
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut previous = None;
    for value in headers.all("content-length") {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
        if !is_number {
            return Err(FramingError::InvalidLength);
        }
        let length: u64 = text.parse().map_err(|_| FramingError::InvalidLength)?;
        if previous.is_some_and(|it| it != length) {
            return Err(FramingError::ConflictingLengths);
        }
        previous = Some(length);
    }
    Ok(previous)
}
