//! A TCP connection with a read buffer.

use std::{io, mem::MaybeUninit};

use bytes::BytesMut;
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
    task::coop,
};

use crate::{Head, MalformedHead};

/// A TCP connection and the bytes that were received but not yet consumed.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
}

/// Why no message head could be read.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// The peer closed the connection before the first byte of a head.
    #[error("connection closed before a message head")]
    Closed,
    /// The peer closed the connection within a head.
    #[error("connection closed within a message head")]
    Truncated,
    /// The bytes are not a valid head.
    #[error(transparent)]
    Malformed(#[from] MalformedHead),
    /// The head exceeds the reader's limit.
    #[error("message head exceeds the size limit")]
    TooLarge,
    /// The connection failed.
    #[error("connection failed before the end of a message head")]
    Io(#[from] io::Error),
}

/// Buffer space reserved before each read, in bytes.
const READ_BYTES: usize = 16 * 1_024;

impl Conn {
    /// Wraps a stream from which nothing has been read.
    pub fn new(stream: TcpStream) -> Conn {
        Conn { stream, buf: BytesMut::new() }
    }

    /// Returns the bytes that were received but not yet consumed.
    pub fn buffered(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Whether the connection can be reused for another request: no unconsumed bytes have
    /// arrived, and the peer has not closed it. Consumes no bytes.
    pub fn is_idle(&self) -> bool {
        let is_waiting = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.buf.is_empty() && self.peek().is_err_and(|e| is_waiting(&e))
    }

    /// Whether the peer has closed the connection or the connection failed. Consumes no bytes.
    pub fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Number of bytes that can be read, at most one; 0 if the peer has closed the connection.
    /// Asks the operating system directly, since the runtime may not have processed the event
    /// yet.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&self.stream).peek(&mut byte)
    }

    /// Reads a head of at most `limit` bytes. Cancel safe: no bytes are lost if the returned
    /// future is dropped.
    ///
    /// # Errors
    ///
    /// [`HeadError`] if no complete, valid head arrives within the limit.
    pub async fn read_head<H: Head>(&mut self, limit: usize) -> Result<H, HeadError> {
        self.read_head_reserved(limit, |_| true).await
    }

    /// Reads a head as [`Conn::read_head`] does, and asks `reserve` for the memory of each piece, whose
    /// number of bytes it gets.
    ///
    /// # Errors
    ///
    /// [`HeadError::TooLarge`] if `reserve` returns false, and the errors of [`Conn::read_head`].
    pub async fn read_head_reserved<H: Head>(
        &mut self,
        limit: usize,
        mut reserve: impl FnMut(usize) -> bool,
    ) -> Result<H, HeadError> {
        // A head ends with a line. Parsing it again with each piece of a long line would take
        // quadratic time, so only the first piece and those that end a line are parsed.
        let mut searched = 0;
        loop {
            let buffered = self.buf.len();
            let may_be_complete = searched == 0 || self.buf[searched..].contains(&b'\n');
            searched = buffered;
            if buffered > 0
                && may_be_complete
                && let Some(head) = H::parse(&mut self.buf)?
            {
                let is_too_large = buffered - self.buf.len() > limit;
                return if is_too_large { Err(HeadError::TooLarge) } else { Ok(head) };
            }
            if self.buf.len() > limit {
                return Err(HeadError::TooLarge);
            }
            match self.fill().await? {
                0 if self.buf.is_empty() => return Err(HeadError::Closed),
                0 => return Err(HeadError::Truncated),
                read if !reserve(read) => return Err(HeadError::TooLarge),
                _ => {}
            }
        }
    }

    /// Reads more bytes into the buffer and returns their number; 0 if the peer has closed the
    /// connection.
    ///
    /// # Errors
    ///
    /// If the connection failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            // Reserves memory only after the wait: idle connections hold no buffer.
            self.stream.readable().await?;
            // A socket that always has bytes would otherwise never let other tasks run, nor a
            // timeout around this read elapse.
            coop::consume_budget().await;
            self.buf.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.release_buffer(),
                read => return read,
            }
        }
    }

    /// Frees the buffer's memory if it holds no bytes.
    pub fn release_buffer(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Waits until the peer closes the connection or the connection fails. Bytes received
    /// meanwhile are kept. Once `limit` bytes are buffered, nothing more is read, so a close
    /// is no longer noticed and the returned future never completes.
    pub async fn closed(&mut self, limit: usize) {
        while self.buf.len() < limit {
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// If the connection failed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes `bytes` until all are written or the peer sends something, and returns how many
    /// were written. A peer that responds early may never read the rest, so that writing it
    /// could block forever.
    ///
    /// # Errors
    ///
    /// If the connection failed.
    pub async fn write_until_response(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                match self.stream.try_write(&bytes[written..]) {
                    Ok(n) => {
                        written += n;
                        continue;
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.release_buffer(),
                    Err(e) => return Err(e),
                }
            }
            if ready.is_readable() {
                self.buf.reserve(READ_BYTES);
                match self.stream.try_read_buf(&mut self.buf) {
                    Ok(_) => return Ok(written),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.release_buffer(),
                    Err(e) => return Err(e),
                }
            }
        }
        Ok(written)
    }

    /// Closes the connection in order: bytes already written are still delivered.
    pub async fn close(mut self) {
        self.shutdown_write().await;
    }

    /// Shuts down the write direction; the peer sees the end of the stream.
    pub async fn shutdown_write(&mut self) {
        // Fails if the peer has already closed the connection, which needs no action.
        let _ = self.stream.shutdown().await;
    }

    /// Sets whether the connection is reset when it ends, also by the end of this process. Where
    /// the end of the connection is the end of a message, an orderly end would complete it.
    pub fn set_reset_on_end(&self, is_reset: bool) {
        let linger = is_reset.then_some(std::time::Duration::ZERO);
        // If the option is rejected, the connection ends as without it.
        let _ = socket2::SockRef::from(&self.stream).set_linger(linger);
    }

    /// Resets the connection, so that the peer sees an error instead of an orderly close.
    pub fn reset(self) {
        // If the drop closes the connection in order nevertheless, the peer detects that in the
        // middle of a framed body as a truncation.
        self.set_reset_on_end(true);
    }
}
