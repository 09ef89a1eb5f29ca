//! Free ports for listeners of processes that a test starts.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port. All ports lie below those that the system gives to outgoing connections: a port of that range may be
/// taken by any connection between the choice of the port and the start of its listener.
const FIRST_PORT: u32 = 20_000;

/// Ports of one test process.
const PORTS_PER_PROCESS: u32 = 200;

/// Test processes whose ports differ.
const PROCESSES: u32 = 60;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns an address on the loopback interface that this process has not returned before and that is free.
pub fn free_address() -> SocketAddr {
    let first = FIRST_PORT + std::process::id() % PROCESSES * PORTS_PER_PROCESS;
    assert!(
        first + PORTS_PER_PROCESS <= first_outgoing_port(),
        "ports from {first} on may be taken by outgoing connections"
    );
    for _ in 0..PORTS_PER_PROCESS {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let port = u16::try_from(first + offset).unwrap();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port from {first} on is free");
}

/// Returns the first port that the system gives to outgoing connections.
fn first_outgoing_port() -> u32 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let first = range.split_whitespace().next().unwrap();
    first.parse().unwrap()
}
