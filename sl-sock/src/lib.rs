//! Options of TCP sockets that Linux has and no well-kept library offers with a safe interface. All unsafe
//! code of the workspace is here; see docs/design/slow-readers.md for why it is needed.

use std::{
    io,
    mem::{MaybeUninit, size_of},
    os::fd::{AsFd, AsRawFd},
    time::Duration,
};

/// What the system knows of the delivery of a connection's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpInfo {
    /// Segments that were sent and not acknowledged.
    pub unacknowledged: u32,
    /// Probes that the peer has not answered.
    pub unanswered_probes: u8,
    /// How often the interval between probes or retransmissions was doubled.
    pub backoff: u8,
    /// The retransmission timeout.
    pub retransmission_timeout: Duration,
    /// Time since data was last sent, for the first time or again. Probes without data do not count.
    pub since_data_sent: Duration,
    /// Time since the peer's last acknowledgement.
    pub since_ack: Duration,
}

/// The number of the option in `linux/tcp.h`; Linux has it since 6.15.
const TCP_RTO_MAX_MS: libc::c_int = 44;

/// The system's knowledge of a connection, as `TCP_INFO` has it.
///
/// # Errors
///
/// If the system rejects the call, for instance since `socket` is no TCP socket.
pub fn tcp_info(socket: &impl AsFd) -> io::Result<TcpInfo> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut len = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: `info` is valid for `len` bytes, to which the system writes at most as many.
    #[expect(unsafe_code, reason = "no library has a safe interface to TCP_INFO")]
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut len,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: all fields are integers, for which zeros are valid, as the system leaves those that it does
    // not write.
    #[expect(unsafe_code, reason = "the structure was filled by the system")]
    let info = unsafe { info.assume_init() };
    Ok(TcpInfo {
        unacknowledged: info.tcpi_unacked,
        unanswered_probes: info.tcpi_probes,
        backoff: info.tcpi_backoff,
        retransmission_timeout: Duration::from_micros(info.tcpi_rto.into()),
        since_data_sent: Duration::from_millis(info.tcpi_last_data_sent.into()),
        since_ack: Duration::from_millis(info.tcpi_last_ack_recv.into()),
    })
}

/// The bytes that were written to a connection and that the peer's system has not acknowledged.
///
/// # Errors
///
/// If the system rejects the call, for instance since `socket` is no TCP socket.
pub fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the system writes one integer to `bytes`.
    #[expect(unsafe_code, reason = "no library has a safe interface to SIOCOUTQ")]
    let result = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(usize::try_from(bytes).unwrap_or(0))
}

/// Sets the longest interval between two retransmissions or probes, from 1 s to 120 s.
///
/// # Errors
///
/// If the system does not have the option.
pub fn set_retransmission_interval_max(socket: &impl AsFd, interval: Duration) -> io::Result<()> {
    let millis = u32::try_from(interval.as_millis()).unwrap_or(u32::MAX);
    // SAFETY: the system reads as many bytes from `millis` as it has.
    #[expect(unsafe_code, reason = "no library has a safe interface to TCP_RTO_MAX_MS")]
    let result = unsafe {
        libc::setsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            TCP_RTO_MAX_MS,
            (&raw const millis).cast(),
            size_of::<u32>() as libc::socklen_t,
        )
    };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}
