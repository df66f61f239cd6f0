//! How long a body is. Two lengths are never settled by preference: whoever sent them may
//! want two readers to disagree (request smuggling).

use crate::{Headers, RequestHead, ResponseHead};

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection ends. Answers only.
    UntilClose,
}

/// A body's length cannot be told with certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// Both a length and a transfer coding, or two different lengths.
    #[error("the body has two lengths")]
    ConflictingLengths,
    /// The length is no number.
    #[error("the body's length is no number")]
    InvalidLength,
    /// A transfer coding other than `chunked` alone.
    #[error("unknown transfer coding")]
    UnknownCoding,
}

impl Framing {
    /// The framing of a request's body.
    ///
    /// # Errors
    ///
    /// [`FramingError`] where the body's length is not certain.
    pub fn of_request(head: &RequestHead) -> Result<Framing, FramingError> {
        if head.headers.contains("transfer-encoding") && !head.is_http_11 {
            return Err(FramingError::UnknownCoding);
        }
        Ok(announced(&head.headers)?.unwrap_or(Framing::Empty))
    }

    /// The framing of the body of an answer to a request with the method `method`.
    ///
    /// # Errors
    ///
    /// [`FramingError`] where the body's length is not certain.
    pub fn of_response(method: &[u8], head: &ResponseHead) -> Result<Framing, FramingError> {
        let bodiless = method == b"HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if bodiless {
            return Ok(Framing::Empty);
        }
        Ok(announced(&head.headers)?.unwrap_or(Framing::UntilClose))
    }
}

fn announced(headers: &Headers) -> Result<Option<Framing>, FramingError> {
    let length = length(headers)?;
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

fn length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for value in headers.all("content-length") {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
        if !is_number {
            return Err(FramingError::InvalidLength);
        }
        let length: u64 = text.parse().map_err(|_| FramingError::InvalidLength)?;
        if found.is_some_and(|it| it != length) {
            return Err(FramingError::ConflictingLengths);
        }
        found = Some(length);
    }
    Ok(found)
}
