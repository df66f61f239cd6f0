use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use bench::ports::PortAllocator;

/// Ports for each allocator, more than two blocks hold.
const PORTS: usize = 120;

fn allocate(allocator: &mut PortAllocator) -> SocketAddr {
    allocator.allocate().unwrap()
}

// Two test runs that begin at the same port probed each port one after the other, and each
// found it free before the instance of the other one listened on it.
#[test]
fn two_allocators_never_hand_out_the_same_port() {
    let (mut first, mut second) = (PortAllocator::default(), PortAllocator::default());
    let mut allocated = HashSet::new();
    for _ in 0..PORTS {
        for allocator in [&mut first, &mut second] {
            let address = allocate(allocator);
            assert!(allocated.insert(address), "{address} was handed out twice");
        }
    }
}

// An instance whose port is in use already exits at its start.
#[test]
fn an_allocated_port_is_free_for_tcp_and_udp() {
    let mut allocator = PortAllocator::default();
    for _ in 0..PORTS {
        let address = allocate(&mut allocator);
        TcpListener::bind(address).unwrap();
        UdpSocket::bind(address).unwrap();
    }
}

// A test run would end with no ports left if the blocks of earlier runs stayed reserved.
#[test]
fn the_ports_of_a_dropped_allocator_are_handed_out_again() {
    const RUNS: usize = 500;
    for _ in 0..RUNS {
        allocate(&mut PortAllocator::default());
    }
}
