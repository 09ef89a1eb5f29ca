//! Free ports for the listeners of a test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// First port. All ports lie below the ephemeral range, since an outgoing connection may take a port of that
/// range between the choice of the port and the start of its listener.
const FIRST_PORT: u32 = 20_000;

/// Number of ports of one test process.
const PORTS_PER_PROCESS: u32 = 200;

/// Number of consecutive process ids whose ports are disjoint.
const PROCESSES: u32 = 60;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a free address on the loopback interface that this process has not returned before.
pub fn free_address() -> SocketAddr {
    let first = FIRST_PORT + std::process::id() % PROCESSES * PORTS_PER_PROCESS;
    assert!(
        first + PORTS_PER_PROCESS <= first_ephemeral_port(),
        "ports from {first} on overlap the ephemeral range"
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

/// Returns the first port of the ephemeral range.
fn first_ephemeral_port() -> u32 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let first = range.split_whitespace().next().unwrap();
    first.parse().unwrap()
}
