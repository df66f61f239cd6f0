//! Ports for instances, which no other process on the machine gets at the same time.
//!
//! A port that was only probed can be handed out by another process too before the instance
//! listens on it. So an allocator reserves blocks of consecutive ports: whoever listens on the
//! first port of a block owns the block, and the system allows one listener only. The system
//! also releases the block when its owner exits, however that ends.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    ops::Range,
    sync::{LazyLock, Mutex},
};

/// The first port of the first block. All blocks are below the system's ephemeral range,
/// because an outgoing connection could take an ephemeral port before the instance listens on
/// it.
const FIRST_PORT: u16 = 10_000;

/// Ports in a block, including the first one, by which it is reserved.
const BLOCK_PORTS: u16 = 50;

/// Number of blocks, which reach up to port 29,999.
const BLOCK_COUNT: u16 = 400;

/// Hands out ports of the blocks that it has reserved. Dropping it releases the blocks.
#[derive(Debug, Default)]
pub struct PortAllocator {
    /// The listeners that reserve the blocks.
    reservations: Vec<TcpListener>,
    /// Ports of the newest block that were not handed out yet.
    unused: Range<u16>,
}

impl PortAllocator {
    /// Returns a loopback address whose port is free for TCP and UDP. No allocator on this
    /// machine returns its port again before this one is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::AddrInUse`] if all blocks are reserved.
    pub fn allocate(&mut self) -> io::Result<SocketAddr> {
        loop {
            let Some(port) = self.unused.next() else {
                self.reserve_block()?;
                continue;
            };
            // A process that does not reserve its ports may listen inside the block.
            let address = loopback(port);
            let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
            if is_free {
                return Ok(address);
            }
        }
    }

    /// Reserves the next free block. Processes begin their search at different blocks, so that
    /// one rarely gets the ports that another has just released.
    fn reserve_block(&mut self) -> io::Result<()> {
        let start = std::process::id() % u32::from(BLOCK_COUNT);
        let start = start as u16;
        for index in 0..BLOCK_COUNT {
            let block = (start + index) % BLOCK_COUNT;
            let first_port = FIRST_PORT + block * BLOCK_PORTS;
            if let Ok(reservation) = TcpListener::bind(loopback(first_port)) {
                self.reservations.push(reservation);
                self.unused = first_port + 1..first_port + BLOCK_PORTS;
                return Ok(());
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "all blocks of ports are reserved"))
    }
}

/// Returns a loopback address whose port is reserved for this process until it exits.
///
/// # Panics
///
/// Panics if all blocks of ports are reserved.
pub fn free_port() -> SocketAddr {
    static ALLOCATOR: LazyLock<Mutex<PortAllocator>> = LazyLock::new(Mutex::default);
    // A test that panicked while it held the lock leaves the allocator intact.
    let mut allocator = ALLOCATOR.lock().unwrap_or_else(|e| e.into_inner());
    allocator.allocate().expect("no free port on loopback")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
