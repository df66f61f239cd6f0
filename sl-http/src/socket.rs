//! Socket options, which make a connection fail when its peer's host stops responding.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::{Conn, PeerMonitor, peer_monitor::HOST_TIMEOUT};

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes that fail the connection after another interval, so that an idle
/// peer counts as gone as early as one for which bytes are under way.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Connects to `address` for calls that end within seconds: the connection also fails when the peer
/// reads nothing for [`HOST_TIMEOUT`].
///
/// # Errors
///
/// If the connection cannot be opened or an option cannot be set.
pub async fn connect(address: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(HOST_TIMEOUT))?;
    Ok(Conn::new(stream))
}

/// Connects to `address`. The connection fails when the peer's host is gone, which `monitor` finds,
/// and not when the peer is slow to read.
///
/// # Errors
///
/// If the connection cannot be opened or an option cannot be set.
pub async fn connect_monitored(address: SocketAddr, monitor: &PeerMonitor) -> io::Result<Conn> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    Ok(Conn::monitored(stream, monitor))
}

/// Sets a connection's options: small writes are sent without delay, and the connection fails
/// if its peer's host is gone while it is idle.
///
/// # Errors
///
/// If the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
