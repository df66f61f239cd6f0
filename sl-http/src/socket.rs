//! Socket options, which make a connection fail when its peer stops responding.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::Conn;

/// Sent bytes that stay unacknowledged for this long fail the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes that fail the connection.
const KEEPALIVE_PROBES_MAX: u32 = 3;

/// Connects to `address` and sets the socket options of [`set_socket_options`].
///
/// # Errors
///
/// If the connection cannot be opened or an option cannot be set.
pub async fn connect(address: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    Ok(Conn::new(stream))
}

/// Sets a connection's options: small writes are sent without delay, and the connection fails
/// if the peer stops acknowledging.
///
/// # Errors
///
/// If the operating system rejects an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)
}
