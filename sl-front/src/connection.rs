//! The caller's connection underneath Rocket.
//!
//! Rocket tells a handler nothing of its caller's socket: neither that the caller closed
//! it, nor a way to break it when a chunked body fails midway (Rocket would end such a
//! body as if it were whole). Both are asked of the kernel here, by the caller's address.

use std::{
    collections::{BTreeMap, HashSet},
    fs,
    net::SocketAddr,
    os::fd::RawFd,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use nix::sys::socket::{Shutdown, SockaddrStorage, getpeername, getsockname, shutdown};
use sl_base::RequestId;

/// A caller's connection, by its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Connection {
    /// The port that the caller called.
    pub(crate) port: u16,
    /// The caller's end.
    pub(crate) remote: Option<SocketAddr>,
}

impl Connection {
    /// Closes the connection both ways, so that the caller sees its answer break off.
    pub(crate) fn abort(&self) {
        let Some(remote) = self.remote else { return };
        for (fd, peer) in connections(self.port) {
            if peer == remote {
                // A failure means that the connection is closed already.
                let _ = shutdown(fd, Shutdown::Both);
            }
        }
    }
}

/// Which requests wait on which connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Callers(Arc<Mutex<BTreeMap<RequestId, Connection>>>);

/// A request's entry among the callers; it leaves with the guard.
#[derive(Debug)]
pub(crate) struct Caller {
    callers: Callers,
    request: RequestId,
}

impl Callers {
    pub(crate) fn enter(&self, request: RequestId, connection: Connection) -> Caller {
        self.lock().insert(request, connection);
        Caller { callers: self.clone(), request }
    }

    /// The request that came last.
    pub(crate) fn last(&self) -> Option<RequestId> {
        self.lock().keys().next_back().copied()
    }

    /// Takes out the requests up to `last` whose callers closed their connections. The
    /// kernel is asked only where there are such requests: most end before they are old.
    pub(crate) fn take_gone(&self, port: u16, last: RequestId) -> Vec<RequestId> {
        let before: Vec<RequestId> = self.lock().range(..=last).map(|it| *it.0).collect();
        if before.is_empty() {
            return Vec::new();
        }
        let open: HashSet<SocketAddr> = connections(port).map(|(_, peer)| peer).collect();
        let mut callers = self.lock();
        let gone: Vec<RequestId> = before
            .into_iter()
            .filter(|id| callers.get(id).is_some_and(|it| it.is_gone(&open)))
            .collect();
        for id in &gone {
            callers.remove(id);
        }
        gone
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestId, Connection>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    fn is_gone(&self, open: &HashSet<SocketAddr>) -> bool {
        self.remote.is_some_and(|it| !open.contains(&it))
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.lock().remove(&self.request);
    }
}

/// This process's open connections on `port`, with their other ends.
fn connections(port: u16) -> impl Iterator<Item = (RawFd, SocketAddr)> {
    fs::read_dir("/proc/self/fd")
        .into_iter()
        .flatten()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
        .filter_map(move |fd| Some((fd, peer(fd, port)?)))
}

fn peer(fd: RawFd, port: u16) -> Option<SocketAddr> {
    let ours = address(getsockname::<SockaddrStorage>(fd).ok()?)?;
    if ours.port() != port {
        return None;
    }
    address(getpeername::<SockaddrStorage>(fd).ok()?)
}

fn address(storage: SockaddrStorage) -> Option<SocketAddr> {
    let v4 = storage.as_sockaddr_in().map(|it| SocketAddr::V4((*it).into()));
    v4.or_else(|| storage.as_sockaddr_in6().map(|it| SocketAddr::V6((*it).into())))
}
