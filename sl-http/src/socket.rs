//! Options of sockets: a connection whose other side fell silent has to show it.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::Conn;

/// Unacknowledged bytes end a connection after this long.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection without traffic is probed after this long, and then this often.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 3;

/// Connects to `address`.
///
/// # Errors
///
/// Where the connection does not come about.
pub async fn connect(address: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    Ok(Conn::new(stream))
}

/// Sets a connection's options: no delay for small writes, and an end to it where the
/// other side stays silent.
///
/// # Errors
///
/// Where the system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
