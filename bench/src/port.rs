//! Ports for child processes.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports below this are left alone.
const FIRST: u16 = 10_000;
/// Ports from here on are the system's own, for outgoing connections.
const END: u16 = 32_000;

/// An address on loopback that nobody listens on. It lies outside the range from which
/// the system takes ports for outgoing connections, so that none takes it meanwhile;
/// processes begin their search at different places.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = END - FIRST;
    let start = (u64::from(std::process::id()).wrapping_mul(SPREAD) % u64::from(span)) as u16;
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) % span;
        let port = FIRST + (start + step) % span;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Sets processes with neighbouring ids far apart.
const SPREAD: u64 = 7_919;
