//! The socket of a connection, which the connection and its monitor share.

use std::{
    io,
    net::Shutdown,
    os::fd::{AsFd, BorrowedFd},
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use socket2::SockRef;
use tokio::net::TcpStream;

/// Between two probes of a peer whose window is closed, so that a host that is gone is noticed as early as
/// while data is under way: without a limit, the interval doubles with each probe.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// The system's default. A socket that is closed while its peer's window is closed fails once the
/// interval between probes has reached the limit.
const PROBE_INTERVAL_DEFAULT: Duration = Duration::from_secs(120);

/// A TCP stream and what its monitor knows of it.
#[derive(Debug)]
pub(crate) struct Socket {
    pub(super) stream: TcpStream,
    /// Whether a monitor watches it.
    is_watched: AtomicBool,
    /// Whether bytes were written since the monitor last looked.
    is_written: AtomicBool,
    /// Whether the monitor has limited the interval between probes.
    has_probe_limit: AtomicBool,
    /// Whether the connection failed because the peer's host is gone.
    is_host_gone: AtomicBool,
    /// Whether a read or write has failed, or the monitor has shut the connection down. The system reports an error once, to whoever comes first, and
    /// what is read afterwards looks like an orderly end.
    has_failed: AtomicBool,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Socket {
        Socket {
            stream,
            is_watched: AtomicBool::new(false),
            is_written: AtomicBool::new(false),
            has_probe_limit: AtomicBool::new(false),
            is_host_gone: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
        }
    }

    /// Records a write. Returns whether the socket is to be watched from now on.
    pub(super) fn record_write(&self) -> bool {
        self.is_written.store(true, Ordering::Relaxed);
        !self.is_watched.swap(true, Ordering::Relaxed)
    }

    /// Whether bytes were written since the last call.
    pub(crate) fn take_written(&self) -> bool {
        self.is_written.swap(false, Ordering::Relaxed)
    }

    /// Records that the monitor no longer watches the socket.
    pub(crate) fn unwatch(&self) {
        self.is_watched.store(false, Ordering::Relaxed);
    }

    /// Limits the interval between probes, where the system supports it.
    pub(crate) fn limit_probe_interval(&self) {
        if !self.has_probe_limit.swap(true, Ordering::Relaxed) {
            self.set_probe_interval_max(PROBE_INTERVAL_MAX);
        }
    }

    /// Fails the connection, as the peer's host is gone: reads and writes that wait end.
    pub(crate) fn fail(&self) {
        self.is_host_gone.store(true, Ordering::Relaxed);
        self.has_failed.store(true, Ordering::Relaxed);
        self.set_reset_on_end(true);
        // Fails if the connection has ended already.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Records an error of the connection, by which the system may say that the peer's host is gone.
    pub(super) fn record_error(&self, e: &io::Error) {
        if e.kind() != io::ErrorKind::WouldBlock {
            self.has_failed.store(true, Ordering::Relaxed);
        }
        if e.kind() == io::ErrorKind::TimedOut {
            self.is_host_gone.store(true, Ordering::Relaxed);
        }
    }

    /// Whether the connection failed because the peer's host is gone.
    pub(super) fn is_host_gone(&self) -> bool {
        self.is_host_gone.load(Ordering::Relaxed)
    }

    /// The result of a read, of which no bytes are the end of the connection.
    ///
    /// # Errors
    ///
    /// If the connection had failed before, so that its end is not an orderly one.
    pub(super) fn check_end(&self, read: usize) -> io::Result<usize> {
        if read == 0 && self.has_failed.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(read)
    }

    /// Sets whether the connection is reset when the socket is closed.
    pub(super) fn set_reset_on_end(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        // If the option is rejected, the connection ends as without it.
        let _ = SockRef::from(&self.stream).set_linger(linger);
    }

    fn set_probe_interval_max(&self, interval: Duration) {
        // Older systems reject the option, and notice a host that is gone later.
        let _ = sl_sock::set_retransmission_interval_max(self, interval);
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if *self.has_probe_limit.get_mut() {
            self.set_probe_interval_max(PROBE_INTERVAL_DEFAULT);
        }
    }
}
