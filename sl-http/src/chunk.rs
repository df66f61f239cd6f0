//! The chunked transfer coding.

use bytes::{Buf, Bytes, BytesMut};

use crate::{BodyError, head::has_status_line};

/// Incremental decoder of the chunked transfer coding. Chunk extensions and trailer fields are
/// discarded; their total size is limited, because they may come without end from a server in
/// trouble and never count towards the size of the body.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkedDecoder {
    state: State,
    /// Bytes of chunk extensions and trailer lines so far.
    discarded: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before a chunk-size line.
    #[default]
    Size,
    /// Within a chunk, with the number of bytes that remain.
    Data(u64),
    /// Before the line break that ends a chunk.
    DataEnd,
    /// After the last chunk.
    Trailers,
    Done,
}

/// Maximum length of a chunk-size line or trailer line, in bytes.
const LINE_BYTES_MAX: usize = 4_096;

/// Maximum size of all chunk extensions and trailer lines of a body, in bytes.
const DISCARDED_BYTES_MAX: usize = 16 * 1_024;

/// Result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Bytes of the body.
    Data(Bytes),
    /// More input is needed.
    NeedsInput,
    /// The last chunk and the trailer section have been read.
    Done,
}

impl ChunkedDecoder {
    /// Decodes from the start of `buf` and removes the bytes that it used.
    ///
    /// # Errors
    ///
    /// [`BodyError::Malformed`] if the bytes are not valid chunked coding, or if the extensions
    /// and trailers exceed their limit.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Step, BodyError> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(Step::NeedsInput);
                    };
                    let (size, extension) = split_extension(&line);
                    self.discard(extension.len())?;
                    self.state = match parse_size(size)? {
                        0 => State::Trailers,
                        size => State::Data(size),
                    };
                }
                State::Data(remaining) => {
                    if buf.is_empty() {
                        return Ok(Step::NeedsInput);
                    }
                    let len = usize::try_from(remaining).unwrap_or(usize::MAX).min(buf.len());
                    let remaining = remaining - len as u64;
                    self.state =
                        if remaining == 0 { State::DataEnd } else { State::Data(remaining) };
                    return Ok(Step::Data(buf.split_to(len).freeze()));
                }
                State::DataEnd => {
                    if buf.len() < CRLF.len() {
                        return Ok(Step::NeedsInput);
                    }
                    if &buf[..CRLF.len()] != CRLF {
                        return Err(BodyError::Malformed);
                    }
                    buf.advance(CRLF.len());
                    self.state = State::Size;
                }
                State::Trailers => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(Step::NeedsInput);
                    };
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if !is_field(&line) {
                        return Err(BodyError::Malformed);
                    } else {
                        self.discard(line.len() + CRLF.len())?;
                    }
                }
                State::Done => return Ok(Step::Done),
            }
        }
    }

    /// Counts discarded bytes against their limit.
    fn discard(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.discarded += bytes;
        if self.discarded > DISCARDED_BYTES_MAX { Err(BodyError::Malformed) } else { Ok(()) }
    }
}

const CRLF: &[u8] = b"\r\n";

fn take_line(buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
    let Some(end) = buf.windows(CRLF.len()).take(LINE_BYTES_MAX).position(|it| it == CRLF) else {
        return if buf.len() > LINE_BYTES_MAX { Err(BodyError::Malformed) } else { Ok(None) };
    };
    let line = buf.split_to(end).freeze();
    buf.advance(CRLF.len());
    Ok(Some(line))
}

/// Whether a trailer line is a field, and not the status line of another response.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|&it| it == b':') else {
        return false;
    };
    let is_name_byte = |it: &u8| it.is_ascii_alphanumeric() || NAME_SIGNS.contains(it);
    let (name, value) = line.split_at(colon);
    !name.is_empty() && name.iter().all(is_name_byte) && !has_status_line(value)
}

/// Bytes of field names besides letters and digits.
const NAME_SIGNS: &[u8] = b"!#$%&'*+-.^_`|~";

/// Splits a chunk-size line before the semicolon that starts its extensions.
fn split_extension(line: &[u8]) -> (&[u8], &[u8]) {
    let semicolon = line.iter().position(|&it| it == b';');
    line.split_at(semicolon.unwrap_or(line.len()))
}

fn parse_size(size: &[u8]) -> Result<u64, BodyError> {
    let digits = size.trim_ascii_end();
    let is_size =
        (1..=SIZE_DIGITS_MAX).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_size {
        return Err(BodyError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}

/// Maximum number of hex digits of a chunk size, which limits a chunk to less than 4 GiB.
const SIZE_DIGITS_MAX: usize = 8;
