//! The chunked coding.

use bytes::{Buf, Bytes, BytesMut};

use crate::BodyError;

/// Takes the chunked coding off a body, piece by piece.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkedDecoder(Part);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Size,
    Data(u64),
    DataEnd,
    Trailers,
    Done,
}

/// Bytes of a line with a chunk's size, or of a trailer.
const LINE_MAX: usize = 4_096;

/// What the next bytes of the coding gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A piece of the body.
    Piece(Bytes),
    /// Nothing yet: more bytes are needed.
    Starved,
    /// The body is whole.
    Done,
}

impl ChunkedDecoder {
    /// Takes what can be taken from the start of `buf`.
    ///
    /// # Errors
    ///
    /// [`BodyError::Malformed`] where the bytes are not in the coding.
    pub fn take(&mut self, buf: &mut BytesMut) -> Result<Step, BodyError> {
        loop {
            match self.0 {
                Part::Size => {
                    let Some(line) = line(buf)? else {
                        return Ok(Step::Starved);
                    };
                    self.0 = match size(&line)? {
                        0 => Part::Trailers,
                        size => Part::Data(size),
                    };
                }
                Part::Data(left) => {
                    if buf.is_empty() {
                        return Ok(Step::Starved);
                    }
                    let here = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
                    let left = left - here as u64;
                    self.0 = if left == 0 { Part::DataEnd } else { Part::Data(left) };
                    return Ok(Step::Piece(buf.split_to(here).freeze()));
                }
                Part::DataEnd => {
                    if buf.len() < CRLF.len() {
                        return Ok(Step::Starved);
                    }
                    if &buf[..CRLF.len()] != CRLF {
                        return Err(BodyError::Malformed);
                    }
                    buf.advance(CRLF.len());
                    self.0 = Part::Size;
                }
                Part::Trailers => {
                    let Some(line) = line(buf)? else {
                        return Ok(Step::Starved);
                    };
                    if line.is_empty() {
                        self.0 = Part::Done;
                    }
                }
                Part::Done => return Ok(Step::Done),
            }
        }
    }
}

const CRLF: &[u8] = b"\r\n";

fn line(buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
    let Some(end) = buf.windows(CRLF.len()).take(LINE_MAX).position(|it| it == CRLF) else {
        return if buf.len() > LINE_MAX { Err(BodyError::Malformed) } else { Ok(None) };
    };
    let line = buf.split_to(end).freeze();
    buf.advance(CRLF.len());
    Ok(Some(line))
}

fn size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|&it| it == b';').next().unwrap_or_default().trim_ascii_end();
    let is_size =
        (1..=SIZE_DIGITS_MAX).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_size {
        return Err(BodyError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}

/// Hex digits of the longest size that is read: four gibibytes.
const SIZE_DIGITS_MAX: usize = 8;
