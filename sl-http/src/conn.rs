//! A TCP connection with a read buffer.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    net::Shutdown,
    sync::Arc,
};

use bytes::{Buf, BytesMut};
use tokio::{io::Interest, net::TcpStream, task::coop};

use crate::{Head, MalformedHead, PeerMonitor};

mod socket;

pub(crate) use socket::Socket;

/// A TCP connection and the bytes that were received but not yet consumed.
#[derive(Debug)]
pub struct Conn {
    socket: Arc<Socket>,
    buf: BytesMut,
    /// Finds out whether the peer's host is gone; `None` if the system does.
    monitor: Option<PeerMonitor>,
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

/// Pieces of memory that one write takes: a head and a body.
const WRITE_PARTS: usize = 2;

impl Conn {
    /// Wraps a stream from which nothing has been read.
    pub fn new(stream: TcpStream) -> Conn {
        Conn { socket: Arc::new(Socket::new(stream)), buf: BytesMut::new(), monitor: None }
    }

    /// Wraps a stream from which nothing has been read, and which fails when `monitor` finds that the
    /// peer's host is gone.
    pub fn monitored(stream: TcpStream, monitor: &PeerMonitor) -> Conn {
        Conn { monitor: Some(monitor.clone()), ..Conn::new(stream) }
    }

    /// Whether the connection failed because the peer's host is gone.
    pub fn is_host_gone(&self) -> bool {
        self.socket.is_host_gone()
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
        socket2::SockRef::from(self.stream()).peek(&mut byte)
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
            self.stream().readable().await?;
            // A socket that always has bytes would otherwise never let other tasks run, nor a
            // timeout around this read elapse.
            coop::consume_budget().await;
            self.buf.reserve(READ_BYTES);
            match self.socket.stream.try_read_buf(&mut self.buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.release_buffer(),
                Err(e) => {
                    self.socket.record_error(&e);
                    return Err(e);
                }
                Ok(read) => return self.socket.check_end(read),
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
    pub async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while bytes.has_remaining() {
            self.write_some(&mut bytes, 0).await?;
        }
        Ok(())
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
            let ready = self.stream().ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                match self.try_write(&[IoSlice::new(&bytes[written..])]) {
                    Ok(n) => {
                        written += n;
                        continue;
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.release_buffer(),
                    Err(e) => return Err(e),
                }
            }
            if ready.is_readable() && self.try_fill()?.is_some() {
                return Ok(written);
            }
        }
        Ok(written)
    }

    /// Writes some of `bytes`, and advances it by what was written. Bytes that the peer sends meanwhile
    /// are kept: at most `limit`, beyond which a close is no longer noticed. Returns false if the peer
    /// has closed the connection. Without `bytes`, only waits for that. Cancel safe.
    ///
    /// # Errors
    ///
    /// If the connection failed.
    pub async fn write_some(&mut self, bytes: &mut impl Buf, limit: usize) -> io::Result<bool> {
        loop {
            let may_read = self.buf.len() < limit;
            let interest = match (may_read, bytes.has_remaining()) {
                (false, false) => std::future::pending().await,
                (true, false) => Interest::READABLE,
                (false, true) => Interest::WRITABLE,
                (true, true) => Interest::READABLE | Interest::WRITABLE,
            };
            let ready = self.stream().ready(interest).await?;
            // As for reading: a socket that always takes bytes must let other tasks run.
            coop::consume_budget().await;
            if may_read && ready.is_readable() && self.try_fill()? == Some(0) {
                return Ok(false);
            }
            if !bytes.has_remaining() || !ready.is_writable() {
                continue;
            }
            let mut parts = [IoSlice::new(&[]); WRITE_PARTS];
            let count = bytes.chunks_vectored(&mut parts);
            match self.try_write(&parts[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    bytes.advance(written);
                    return Ok(true);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Reads what has arrived; `None` if nothing has, and 0 bytes if the peer has closed the connection.
    fn try_fill(&mut self) -> io::Result<Option<usize>> {
        self.buf.reserve(READ_BYTES);
        match self.socket.stream.try_read_buf(&mut self.buf) {
            Ok(read) => self.socket.check_end(read).map(Some),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.release_buffer();
                Ok(None)
            }
            Err(e) => {
                self.socket.record_error(&e);
                Err(e)
            }
        }
    }

    fn try_write(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        if let Some(monitor) = &self.monitor
            && self.socket.record_write()
        {
            monitor.watch(&self.socket);
        }
        self.stream().try_write_vectored(parts).inspect_err(|e| self.socket.record_error(e))
    }

    /// Whether the peer's system has received all bytes that were written. True where the system does not
    /// tell.
    pub fn is_all_received(&self) -> bool {
        sl_sock::unacknowledged_bytes(&*self.socket).unwrap_or(0) == 0
    }

    fn stream(&self) -> &TcpStream {
        &self.socket.stream
    }

    /// Closes the connection in order: bytes already written are still delivered.
    pub fn close(self) {
        self.shutdown_write();
    }

    /// Shuts down the write direction; the peer sees the end of the stream.
    pub fn shutdown_write(&self) {
        // Fails if the peer has already closed the connection, which needs no action.
        let _ = socket2::SockRef::from(self.stream()).shutdown(Shutdown::Write);
    }

    /// Sets whether the connection is reset when it ends, also by the end of this process. Where
    /// the end of the connection is the end of a message, an orderly end would complete it.
    pub fn set_reset_on_end(&self, is_reset: bool) {
        self.socket.set_reset_on_end(is_reset);
    }

    /// Resets the connection, so that the peer sees an error instead of an orderly close.
    pub fn reset(self) {
        // If the drop closes the connection in order nevertheless, the peer detects that in the
        // middle of a framed body as a truncation.
        self.set_reset_on_end(true);
    }
}
