//! A pool of keep-alive connections to backend servers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use sl_base::{Millis, Timestamp};
use sl_http::{Conn, PeerMonitor};

use crate::{clock::Clock, metrics::Metrics, sent_requests::SentRequests};

/// Idle connections and counts of those in use, by server address.
pub(crate) struct Pool {
    clock: Clock,
    metrics: Metrics,
    peer_monitor: PeerMonitor,
    servers: RefCell<HashMap<SocketAddr, Rc<ServerConns>>>,
}

#[derive(Default)]
struct ServerConns {
    /// Connections in use, including those being established.
    in_use: Cell<usize>,
    /// Idle connections, most recently used last.
    idle: RefCell<Vec<IdleConn>>,
}

struct IdleConn {
    conn: Conn,
    sent: SentRequests,
    idle_since: Timestamp,
    expires_at: Timestamp,
}

/// A connection in use by one request.
pub(crate) struct PooledConn {
    pub(crate) conn: Conn,
    /// The requests that it has carried.
    pub(crate) sent: SentRequests,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    _guard: InUseGuard,
}

/// Counts a connection as in use until dropped.
struct InUseGuard(Rc<ServerConns>);

impl InUseGuard {
    fn new(server: Rc<ServerConns>) -> InUseGuard {
        server.in_use.set(server.in_use.get() + 1);
        InUseGuard(server)
    }
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}

/// Why no connection was acquired.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// All connections that this instance may open to the server are in use.
    #[error("connection limit of the server reached")]
    LimitReached,
    /// Connecting failed.
    #[error("cannot connect to the server")]
    Io(#[from] io::Error),
    /// Connecting took longer than [`CONNECT_TIMEOUT`].
    #[error("connecting to the server timed out")]
    Timeout,
}

const CONNECT_TIMEOUT: Millis = Millis(400);

/// Idle timeout assumed of a server that announces none; also the longest that any idle
/// connection is kept.
const IDLE_TIMEOUT: Millis = Millis(4_000);

/// Idle connections are dropped this long before the server's timeout, as the server may close
/// them early.
const IDLE_MARGIN: Millis = Millis(1_000);

/// A connection idle for longer is not used for a request that cannot be repeated: the server
/// may be closing it at this moment, and the request would be lost.
const FRESH_IDLE_MAX: Millis = Millis(300);

impl Pool {
    pub(crate) fn new(metrics: Metrics, peer_monitor: PeerMonitor) -> Pool {
        Pool { clock: Clock, metrics, peer_monitor, servers: RefCell::default() }
    }

    /// Takes an idle connection to `address` or opens one, with at most `max_connections` open
    /// to that address. Connections that have carried a request with `attempt_id` are not used.
    /// With `only_fresh`, connections idle for longer than [`FRESH_IDLE_MAX`] are not used.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        attempt_id: &[u8],
        max_connections: usize,
        only_fresh: bool,
    ) -> Result<PooledConn, PoolError> {
        let server = self.servers.borrow_mut().entry(address).or_default().clone();
        if let Some(IdleConn { conn, sent, .. }) = self.take_idle(&server, attempt_id, only_fresh) {
            return Ok(PooledConn { conn, sent, is_reused: true, _guard: InUseGuard::new(server) });
        }
        // At the limit, an idle connection that cannot be used makes room for a new one.
        if server.in_use.get() + server.idle.borrow().len() >= max_connections
            && server.idle.borrow_mut().pop().is_none()
        {
            return Err(PoolError::LimitReached);
        }
        let guard = InUseGuard::new(server);
        self.metrics.server_connections.inc();
        let connecting = sl_http::connect_monitored(address, &self.peer_monitor);
        let conn = tokio::time::timeout(CONNECT_TIMEOUT.into(), connecting)
            .await
            .map_err(|_| PoolError::Timeout)??;
        let sent = SentRequests::default();
        Ok(PooledConn { conn, sent, is_reused: false, _guard: guard })
    }

    /// Returns a connection for reuse, or closes it if it has carried too many requests;
    /// `keep_alive` is the server's idle timeout, if announced.
    pub(crate) fn release(
        &self,
        address: SocketAddr,
        pooled: PooledConn,
        keep_alive: Option<Millis>,
    ) {
        let server = self.servers.borrow_mut().entry(address).or_default().clone();
        let now = self.clock.now();
        let keep_alive = Millis(keep_alive.unwrap_or(IDLE_TIMEOUT).0.saturating_sub(IDLE_MARGIN.0));
        let expires_at = now.after(keep_alive.min(IDLE_TIMEOUT));
        let PooledConn { conn, sent, .. } = pooled;
        if sent.is_full() {
            return;
        }
        server.idle.borrow_mut().push(IdleConn { conn, sent, idle_since: now, expires_at });
    }

    /// Drops idle connections that have expired.
    pub(crate) fn prune(&self) {
        let now = self.clock.now();
        self.servers.borrow_mut().retain(|_, server| {
            server.idle.borrow_mut().retain(|it| !it.expires_at.is_due(now));
            server.in_use.get() > 0 || !server.idle.borrow().is_empty()
        });
    }

    /// The most recently used idle connection that is still usable for a request with
    /// `attempt_id`.
    fn take_idle(
        &self,
        server: &ServerConns,
        attempt_id: &[u8],
        only_fresh: bool,
    ) -> Option<IdleConn> {
        let now = self.clock.now();
        let mut idle = server.idle.borrow_mut();
        // The most recently used connection is the least likely to have been closed.
        while let Some(index) = idle.iter().rposition(|it| !it.sent.contains(attempt_id)) {
            let newest = idle.remove(index);
            if newest.expires_at.is_due(now) || !newest.conn.is_idle() {
                continue;
            }
            if only_fresh && newest.idle_since.after(FRESH_IDLE_MAX).is_due(now) {
                idle.insert(index, newest);
                return None;
            }
            return Some(newest);
        }
        None
    }
}
