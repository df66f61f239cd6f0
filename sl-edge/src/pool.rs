//! Connections to backend servers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use sl_base::{Millis, Timestamp};
use sl_http::Conn;

use crate::{clock::Clock, metrics::Metrics};

/// Unused connections by server address, and how many are open in all.
pub(crate) struct Pool {
    clock: Clock,
    metrics: Metrics,
    servers: RefCell<HashMap<SocketAddr, Rc<ServerConns>>>,
}

#[derive(Default)]
struct ServerConns {
    in_use: Cell<usize>,
    idle: RefCell<Vec<IdleConn>>,
}

struct IdleConn {
    conn: Conn,
    idle_since: Timestamp,
    expires_at: Timestamp,
}

/// A connection that is in use.
pub(crate) struct PooledConn {
    pub(crate) conn: Conn,
    /// Whether it carried a request before.
    pub(crate) is_reused: bool,
    _guard: InUseGuard,
}

/// Counts one open connection for as long as it lives.
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

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PoolError {
    /// The server's connections are used up.
    #[error("as many connections as the server takes are in use")]
    LimitReached,
    /// It did not come about.
    #[error("no connection came about")]
    Io(#[from] io::Error),
    /// It did not come about in time.
    #[error("no connection came about in time")]
    Timeout,
}

/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// How long an unused connection is kept where the server does not say.
const IDLE_TIMEOUT: Millis = Millis(4_000);

/// A server may end an unused connection this long before it said.
const IDLE_MARGIN: Millis = Millis(1_000);

/// A connection that was unused for longer is not given to a request that must not be lost:
/// its server may be ending it at this moment.
const FRESH_IDLE_MAX: Millis = Millis(300);

impl Pool {
    pub(crate) fn new(metrics: Metrics) -> Pool {
        Pool { clock: Clock, metrics, servers: RefCell::default() }
    }

    /// A connection to `address`, of which at most `most` are open.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddr,
        connections_max: usize,
        only_fresh: bool,
    ) -> Result<PooledConn, PoolError> {
        let server = self.servers.borrow_mut().entry(address).or_default().clone();
        if let Some(conn) = self.take_idle(&server, only_fresh) {
            return Ok(PooledConn { conn, is_reused: true, _guard: InUseGuard::new(server) });
        }
        if server.in_use.get() + server.idle.borrow().len() >= connections_max
            && server.idle.borrow_mut().pop().is_none()
        {
            return Err(PoolError::LimitReached);
        }
        let guard = InUseGuard::new(server);
        self.metrics.server_connections.inc();
        let connecting = sl_http::connect(address);
        let conn = tokio::time::timeout(CONNECT_TIMEOUT.into(), connecting)
            .await
            .map_err(|_| PoolError::Timeout)??;
        Ok(PooledConn { conn, is_reused: false, _guard: guard })
    }

    /// Takes a connection back for the next request; the server keeps it for `within`.
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
        server.idle.borrow_mut().push(IdleConn { conn: pooled.conn, idle_since: now, expires_at });
    }

    /// Drops the connections that were unused for too long.
    pub(crate) fn prune(&self) {
        let now = self.clock.now();
        self.servers.borrow_mut().retain(|_, server| {
            server.idle.borrow_mut().retain(|it| !it.expires_at.is_due(now));
            server.in_use.get() > 0 || !server.idle.borrow().is_empty()
        });
    }

    fn take_idle(&self, server: &ServerConns, only_fresh: bool) -> Option<Conn> {
        let now = self.clock.now();
        let mut idle = server.idle.borrow_mut();
        // The one that was used last is the least likely to have been ended.
        while let Some(mut newest) = idle.pop() {
            if newest.expires_at.is_due(now) || !newest.conn.is_quiet() {
                continue;
            }
            if only_fresh && newest.idle_since.after(FRESH_IDLE_MAX).is_due(now) {
                idle.push(newest);
                return None;
            }
            return Some(newest.conn);
        }
        None
    }
}
