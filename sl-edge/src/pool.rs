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
    places: RefCell<HashMap<SocketAddr, Rc<Slot>>>,
}

#[derive(Default)]
struct Slot {
    open: Cell<usize>,
    kept: RefCell<Vec<Kept>>,
}

struct Kept {
    conn: Conn,
    since: Timestamp,
    until: Timestamp,
}

/// A connection that is in use.
pub(crate) struct Lent {
    pub(crate) conn: Conn,
    /// Whether it carried a request before.
    pub(crate) is_kept: bool,
    _open: Open,
}

/// Counts one open connection for as long as it lives.
struct Open(Rc<Slot>);

impl Open {
    fn new(slot: Rc<Slot>) -> Open {
        slot.open.set(slot.open.get() + 1);
        Open(slot)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NoConn {
    /// The server's connections are used up.
    #[error("as many connections as the server takes are in use")]
    Full,
    /// It did not come about.
    #[error("no connection came about")]
    Io(#[from] io::Error),
    /// It did not come about in time.
    #[error("no connection came about in time")]
    Timeout,
}

/// How long a connection may take to come about.
const CONNECT_WITHIN: Millis = Millis(400);

/// How long an unused connection is kept where the server does not say.
const KEPT_WITHIN: Millis = Millis(4_000);

/// A server may end an unused connection this long before it said.
const KEPT_MARGIN: Millis = Millis(1_000);

/// A connection that was unused for longer is not given to a request that must not be lost:
/// its server may be ending it at this moment.
const FRESH_WITHIN: Millis = Millis(300);

impl Pool {
    pub(crate) fn new(metrics: Metrics) -> Pool {
        Pool { clock: Clock, metrics, places: RefCell::default() }
    }

    /// A connection to `address`, of which at most `most` are open.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        most: usize,
        only_fresh: bool,
    ) -> Result<Lent, NoConn> {
        let slot = self.places.borrow_mut().entry(address).or_default().clone();
        if let Some(conn) = self.kept(&slot, only_fresh) {
            return Ok(Lent { conn, is_kept: true, _open: Open::new(slot) });
        }
        if slot.open.get() + slot.kept.borrow().len() >= most
            && slot.kept.borrow_mut().pop().is_none()
        {
            return Err(NoConn::Full);
        }
        let open = Open::new(slot);
        self.metrics.server_connections.inc();
        let connecting = sl_http::connect(address);
        let conn = tokio::time::timeout(CONNECT_WITHIN.into(), connecting)
            .await
            .map_err(|_| NoConn::Timeout)??;
        Ok(Lent { conn, is_kept: false, _open: open })
    }

    /// Takes a connection back for the next request; the server keeps it for `within`.
    pub(crate) fn put(&self, address: SocketAddr, lent: Lent, within: Option<Millis>) {
        let slot = self.places.borrow_mut().entry(address).or_default().clone();
        let now = self.clock.now();
        let within = Millis(within.unwrap_or(KEPT_WITHIN).0.saturating_sub(KEPT_MARGIN.0));
        let until = now.after(within.min(KEPT_WITHIN));
        slot.kept.borrow_mut().push(Kept { conn: lent.conn, since: now, until });
    }

    /// Drops the connections that were unused for too long.
    pub(crate) fn prune(&self) {
        let now = self.clock.now();
        self.places.borrow_mut().retain(|_, slot| {
            slot.kept.borrow_mut().retain(|it| !it.until.is_due(now));
            slot.open.get() > 0 || !slot.kept.borrow().is_empty()
        });
    }

    fn kept(&self, slot: &Slot, only_fresh: bool) -> Option<Conn> {
        let now = self.clock.now();
        let mut kept = slot.kept.borrow_mut();
        // The one that was used last is the least likely to have been ended.
        while let Some(mut last) = kept.pop() {
            if last.until.is_due(now) || !last.conn.is_quiet() {
                continue;
            }
            if only_fresh && last.since.after(FRESH_WITHIN).is_due(now) {
                kept.push(last);
                return None;
            }
            return Some(last.conn);
        }
        None
    }
}
