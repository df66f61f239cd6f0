//! Finds peers whose host is gone while bytes for them are under way.
//!
//! The system's own limit, `TCP_USER_TIMEOUT`, fails a connection whose peer keeps its window closed as
//! well, although that peer acknowledges every probe and only has not read yet. `TCP_INFO` tells the two
//! apart. See docs/design/slow-readers.md.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use sl_sock::TcpInfo;

use crate::conn::Socket;

/// The connections to which bytes were written that may still be under way. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct PeerMonitor(Arc<Mutex<Watches>>);

#[derive(Debug, Default)]
struct Watches {
    watches: Vec<Watch>,
    /// When the connections are checked next; `None` before the first check.
    check_at: Option<Instant>,
}

#[derive(Debug)]
struct Watch {
    socket: Weak<Socket>,
    /// When the peer's host counts as gone; `None` while it has answered all that was sent.
    gone_at: Option<Instant>,
    /// When the connection is watched no longer, unless bytes are under way until then.
    forget_at: Instant,
}

/// What a check shows about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// Bytes are under way, or were until recently.
    Watched,
    /// Everything has arrived.
    Delivered,
    /// The peer's host has acknowledged nothing for [`HOST_TIMEOUT`].
    HostGone,
}

/// A host that acknowledges nothing for this long counts as gone.
pub const HOST_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the connections are checked.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a connection is watched after everything has arrived. The system takes as long to send the
/// first probe to a peer whose window is closed.
const FORGET_DELAY: Duration = Duration::from_secs(1);

/// The same, as a multiple of the connection's retransmission timeout.
const FORGET_DELAY_TIMEOUTS: u32 = 2;

impl PeerMonitor {
    /// Watches a connection until everything that was written has arrived.
    pub(crate) fn watch(&self, socket: &Arc<Socket>) {
        let forget_at = Instant::now() + FORGET_DELAY;
        let watch = Watch { socket: Arc::downgrade(socket), gone_at: None, forget_at };
        self.lock().watches.push(watch);
    }

    /// Checks the connections if it is time to, and fails those whose host is gone. To be called more
    /// often than each [`CHECK_INTERVAL`]. Returns how many hosts are gone.
    pub fn check(&self, now: Instant) -> usize {
        let mut watches = self.lock();
        if watches.check_at.is_some_and(|it| now < it) {
            return 0;
        }
        // After a suspension, acknowledgements may have arrived that the system has not processed yet.
        let is_late = watches.check_at.is_some_and(|it| now > it + CHECK_INTERVAL);
        watches.check_at = Some(now + CHECK_INTERVAL);
        let mut gone = 0;
        watches.watches.retain_mut(|watch| {
            let Some(socket) = watch.socket.upgrade() else {
                return false;
            };
            if is_late {
                watch.gone_at = None;
            }
            match watch.check(now, &socket) {
                Finding::Watched => return true,
                Finding::Delivered => socket.unwatch(),
                Finding::HostGone => {
                    socket.fail();
                    gone += 1;
                }
            }
            false
        });
        gone
    }

    /// The number of connections that are watched.
    pub fn len(&self) -> usize {
        self.lock().watches.len()
    }

    /// Whether no connection is watched.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Watches> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Watch {
    fn check(&mut self, now: Instant, socket: &Socket) -> Finding {
        let Ok(info) = sl_sock::tcp_info(socket) else {
            return Finding::Delivered;
        };
        let is_probing = info.unanswered_probes > 0 || info.backoff > 0;
        if is_probing {
            socket.limit_probe_interval();
        }
        if is_probing || info.unacknowledged > 0 || socket.take_written() {
            let delay = info.retransmission_timeout * FORGET_DELAY_TIMEOUTS;
            self.forget_at = now + delay.max(FORGET_DELAY);
        }
        self.update_deadline(now, &info);
        match self.gone_at {
            Some(at) if at <= now => Finding::HostGone,
            None if self.forget_at <= now => Finding::Delivered,
            _ => Finding::Watched,
        }
    }

    fn update_deadline(&mut self, now: Instant, info: &TcpInfo) {
        // Sent later than the last acknowledgement. A probe is not counted as data that was sent.
        let is_unanswered = info.unanswered_probes > 0
            || info.unacknowledged > 0 && info.since_ack > info.since_data_sent;
        if !is_unanswered {
            self.gone_at = None;
            return;
        }
        let after_ack = now.checked_sub(info.since_ack).map(|it| it + HOST_TIMEOUT);
        let gone_at = self.gone_at.unwrap_or(now + HOST_TIMEOUT);
        // Acknowledged since the deadline was set, while more was sent.
        self.gone_at = Some(gone_at.max(after_ack.unwrap_or(gone_at)));
    }
}
