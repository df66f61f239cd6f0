//! Bodies, read piece by piece.

use std::io;

use bytes::{Bytes, BytesMut};

use crate::{
    Conn, Framing,
    chunk::{ChunkedDecoder, Step},
};

/// What is still to be read of a body.
#[derive(Clone, Copy, Debug)]
pub struct Body(State);

#[derive(Clone, Copy, Debug)]
enum State {
    Length(u64),
    Chunks(ChunkedDecoder),
    UntilClose,
    Done(Ending),
}

/// How a whole body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Where its framing said.
    Framed,
    /// With an orderly end of the connection.
    Closed,
}

/// Why a body is not whole.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[error("the connection ended within the body")]
    Truncated,
    /// The bytes are not in the announced coding.
    #[error("the body is not in its announced coding")]
    Malformed,
    /// The body is larger than the reader takes.
    #[error("the body is too large")]
    TooLarge,
    /// The connection failed.
    #[error("the connection failed within the body")]
    Io(#[from] io::Error),
}

impl Body {
    /// A body of which nothing is read yet.
    pub fn new(framing: Framing) -> Body {
        Body(match framing {
            Framing::Empty | Framing::Length(0) => State::Done(Ending::Framed),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunks(ChunkedDecoder::default()),
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// How the body ended, once it is whole.
    pub fn ending(&self) -> Option<Ending> {
        match self.0 {
            State::Done(ending) => Some(ending),
            _ => None,
        }
    }

    /// The next piece; none once the body is whole. Nothing is lost where the returned
    /// future is dropped.
    ///
    /// # Errors
    ///
    /// [`BodyError`] where the body will never be whole.
    pub async fn next(&mut self, conn: &mut Conn) -> Result<Option<Bytes>, BodyError> {
        loop {
            if let Some(piece) = self.take(conn.buffered())? {
                return Ok(Some(piece));
            }
            if self.ending().is_some() {
                return Ok(None);
            }
            if conn.fill().await? == 0 {
                return match self.0 {
                    State::UntilClose => {
                        self.0 = State::Done(Ending::Closed);
                        Ok(None)
                    }
                    _ => Err(BodyError::Truncated),
                };
            }
        }
    }

    /// Reads the rest, at most `most` bytes.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] past `most`, and what [`Body::next`] gives.
    pub async fn collect(&mut self, conn: &mut Conn, most: usize) -> Result<Bytes, BodyError> {
        if let State::Length(length) = self.0
            && length > most as u64
        {
            return Err(BodyError::TooLarge);
        }
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next(conn).await? {
            if whole.len() + piece.len() > most {
                return Err(BodyError::TooLarge);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn take(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        match &mut self.0 {
            State::Done(_) => Ok(None),
            State::Length(left) => {
                let here = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
                if here == 0 {
                    return Ok(None);
                }
                *left -= here as u64;
                if *left == 0 {
                    self.0 = State::Done(Ending::Framed);
                }
                Ok(Some(buf.split_to(here).freeze()))
            }
            State::UntilClose if buf.is_empty() => Ok(None),
            State::UntilClose => Ok(Some(buf.split().freeze())),
            State::Chunks(chunks) => match chunks.take(buf)? {
                Step::Piece(piece) => Ok(Some(piece)),
                Step::Starved => Ok(None),
                Step::Done => {
                    self.0 = State::Done(Ending::Framed);
                    Ok(None)
                }
            },
        }
    }
}
