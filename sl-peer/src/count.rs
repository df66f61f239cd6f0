//! Counts bytes and frames of the control traffic.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes and frames over all links in both directions. Handshakes and frame headers are
/// included, TCP and IP headers are not. Clones share the same counts.
#[derive(Clone, Debug, Default)]
pub struct Counters(Arc<Totals>);

#[derive(Debug, Default)]
struct Totals {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    frames_sent: AtomicU64,
    frames_received: AtomicU64,
}

/// Values of [`Counters`] at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent, including handshakes and frame headers.
    pub bytes_sent: u64,
    /// Bytes received, including handshakes and frame headers.
    pub bytes_received: u64,
    /// Requests, cancellations and responses sent.
    pub frames_sent: u64,
    /// Requests, cancellations and responses received.
    pub frames_received: u64,
}

impl Counters {
    /// Returns the current counts. They are read one after the other, not atomically.
    pub fn read(&self) -> Traffic {
        Traffic {
            bytes_sent: self.0.bytes_sent.load(Ordering::Relaxed),
            bytes_received: self.0.bytes_received.load(Ordering::Relaxed),
            frames_sent: self.0.frames_sent.load(Ordering::Relaxed),
            frames_received: self.0.frames_received.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn frame_sent(&self) {
        self.0.frames_sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn frame_received(&self) {
        self.0.frames_received.fetch_add(1, Ordering::Relaxed);
    }
}

/// A byte stream that adds what it reads and writes to [`Counters`].
#[derive(Debug)]
pub(crate) struct CountingStream<S> {
    inner: S,
    counters: Counters,
}

impl<S> CountingStream<S> {
    pub(crate) fn new(inner: S, counters: Counters) -> CountingStream<S> {
        CountingStream { inner, counters }
    }

    pub(crate) fn into_inner(self) -> S {
        self.inner
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let n = buf.filled().len() - before;
        let received = &self.counters.0.bytes_received;
        received.fetch_add(n as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        let sent = &self.counters.0.bytes_sent;
        sent.fetch_add(n as u64, Ordering::Relaxed);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
