//! Streaming reads of message bodies.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::task::coop;

use crate::{
    Conn, Framing,
    chunk::{ChunkedDecoder, Step},
};

/// Reader of one message body; holds the framing state, not the connection.
#[derive(Clone, Copy, Debug)]
pub struct Body(State);

#[derive(Clone, Copy, Debug)]
enum State {
    /// The number of bytes that remain.
    Length(u64),
    Chunked(ChunkedDecoder),
    UntilClose,
    Done(Ending),
}

/// How a complete body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// At the length or last chunk that its framing declared.
    Framed,
    /// With an orderly close of the connection, for [`Framing::UntilClose`].
    Closed,
}

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection was closed before the body was complete.
    #[error("connection closed before the end of the body")]
    Truncated,
    /// The bytes are not valid chunked coding.
    #[error("invalid chunked coding in the body")]
    Malformed,
    /// The body exceeds the reader's limit.
    #[error("body exceeds the size limit")]
    TooLarge,
    /// The connection failed.
    #[error("connection failed within the body")]
    Io(#[from] io::Error),
}

impl Body {
    /// Creates a reader for a body of which nothing has been read.
    pub fn new(framing: Framing) -> Body {
        Body(match framing {
            Framing::Empty | Framing::Length(0) => State::Done(Ending::Framed),
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Chunked(ChunkedDecoder::default()),
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Returns how the body ended; `None` until it is complete.
    pub fn ending(&self) -> Option<Ending> {
        match self.0 {
            State::Done(ending) => Some(ending),
            _ => None,
        }
    }

    /// Returns the next bytes of the body, or `None` once it is complete. Cancel safe: no
    /// bytes are lost if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body cannot be completed.
    pub async fn next(&mut self, conn: &mut Conn) -> Result<Option<Bytes>, BodyError> {
        loop {
            // A buffer may hold thousands of chunks, which would keep other tasks waiting.
            coop::consume_budget().await;
            if let Some(data) = self.decode(conn.buffered())? {
                return Ok(Some(data));
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

    /// Reads the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] if the rest exceeds `limit`, and the errors of [`Body::next`].
    pub async fn collect(&mut self, conn: &mut Conn, limit: usize) -> Result<Bytes, BodyError> {
        self.collect_reserved(conn, limit, |_| true).await
    }

    /// Reads the rest of the body, at most `limit` bytes, and keeps none of it.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] if the rest exceeds `limit`, and the errors of [`Body::next`].
    pub async fn discard(&mut self, conn: &mut Conn, limit: usize) -> Result<(), BodyError> {
        let mut discarded = 0;
        while let Some(data) = self.next(conn).await? {
            discarded += data.len();
            if discarded > limit {
                return Err(BodyError::TooLarge);
            }
        }
        Ok(())
    }

    /// Reads the rest of the body, at most `limit` bytes, and asks `reserve` for the memory of
    /// each piece, whose number of bytes it gets.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLarge`] if the rest exceeds `limit` or `reserve` returns false, and the
    /// errors of [`Body::next`].
    pub async fn collect_reserved(
        &mut self,
        conn: &mut Conn,
        limit: usize,
        mut reserve: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, BodyError> {
        if let State::Length(length) = self.0
            && length > limit as u64
        {
            return Err(BodyError::TooLarge);
        }
        let mut collected = BytesMut::new();
        while let Some(data) = self.next(conn).await? {
            if collected.len() + data.len() > limit || !reserve(data.len()) {
                return Err(BodyError::TooLarge);
            }
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    }

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
        match &mut self.0 {
            State::Done(_) => Ok(None),
            State::Length(remaining) => {
                let len = usize::try_from(*remaining).unwrap_or(usize::MAX).min(buf.len());
                if len == 0 {
                    return Ok(None);
                }
                *remaining -= len as u64;
                if *remaining == 0 {
                    self.0 = State::Done(Ending::Framed);
                }
                Ok(Some(buf.split_to(len).freeze()))
            }
            State::UntilClose if buf.is_empty() => Ok(None),
            State::UntilClose => Ok(Some(buf.split().freeze())),
            State::Chunked(decoder) => match decoder.decode(buf)? {
                Step::Data(data) => Ok(Some(data)),
                Step::NeedsInput => Ok(None),
                Step::Done => {
                    self.0 = State::Done(Ending::Framed);
                    Ok(None)
                }
            },
        }
    }
}
