//! A connection with the bytes that were read from it and not yet used.

use std::{io, mem::MaybeUninit};

use bytes::BytesMut;
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
};

use crate::{Head, MalformedHead};

/// A TCP connection and what was read ahead.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buf: BytesMut,
}

/// Why no head came.
#[derive(Debug, thiserror::Error)]
pub enum HeadError {
    /// The other side ended the connection before the first byte of a head.
    #[error("the connection ended")]
    Closed,
    /// The connection ended within a head.
    #[error("the connection ended within a message head")]
    Truncated,
    /// The bytes are no head.
    #[error(transparent)]
    Malformed(#[from] MalformedHead),
    /// The head is larger than the reader takes.
    #[error("the message head is too large")]
    TooLarge,
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] io::Error),
}

/// Bytes that are asked for at a time.
const READ_BYTES: usize = 16 * 1_024;

impl Conn {
    /// A connection from which nothing was read.
    pub fn new(stream: TcpStream) -> Conn {
        Conn { stream, buf: BytesMut::new() }
    }

    /// What was read and not used yet.
    pub fn buffered(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Whether nothing came that belongs to no message so far, and the other side has not
    /// ended the connection.
    pub fn is_idle(&mut self) -> bool {
        if !self.buf.is_empty() {
            return false;
        }
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Whether the other side has ended the connection, asked of the system itself: the
    /// runtime may not have heard of it yet. Bytes that came before are not touched.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        match peeked {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads a head of at most `most` bytes. Nothing is lost where the returned future is
    /// dropped.
    ///
    /// # Errors
    ///
    /// [`HeadError`] where none will come.
    pub async fn read_head<H: Head>(&mut self, most: usize) -> Result<H, HeadError> {
        loop {
            if !self.buf.is_empty()
                && let Some(head) = H::parse(&mut self.buf)?
            {
                return Ok(head);
            }
            if self.buf.len() > most {
                return Err(HeadError::TooLarge);
            }
            if self.fill().await? == 0 {
                let ended = self.buf.is_empty();
                return Err(if ended { HeadError::Closed } else { HeadError::Truncated });
            }
        }
    }

    /// Reads more bytes behind what is buffered; 0 where the other side has ended.
    ///
    /// # Errors
    ///
    /// Where the connection failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            // An unused connection takes no memory while it waits.
            self.stream.readable().await?;
            self.buf.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.release_buffer(),
                read => return read,
            }
        }
    }

    /// Gives the buffer's memory back where it holds nothing.
    pub fn release_buffer(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Waits until the other side ends the connection or it fails. What it sends meanwhile
    /// is kept, up to `most` bytes; past that its end is not seen any more.
    pub async fn closed(&mut self, most: usize) {
        while self.buf.len() < most {
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
    /// Where the connection failed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes `bytes` until they are out or the other side begins to answer; gives how many
    /// were written. Whoever answers early may never read the rest.
    ///
    /// # Errors
    ///
    /// Where the connection failed.
    pub async fn write_until_response(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = 0;
        while written < bytes.len() {
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await?;
            if ready.is_writable() {
                match self.stream.try_write(&bytes[written..]) {
                    Ok(more) => {
                        written += more;
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

    /// Ends the connection in order: what was written still arrives.
    pub async fn close(mut self) {
        self.shutdown_write().await;
    }

    /// Tells the other side that nothing more will be written.
    pub async fn shutdown_write(&mut self) {
        // The other side may be gone already; there is nobody left to tell.
        let _ = self.stream.shutdown().await;
    }

    /// Ends the connection so that the other side sees a failure, not an end.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        // Where the option is refused the drop ends it in order, in the middle of a framed
        // body, which shows as a failure too.
        let _ = socket.set_linger(Some(std::time::Duration::ZERO));
    }
}
