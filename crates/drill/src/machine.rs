//! Free ports and the CPU time of processes.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::sync::Mutex;

/// A loopback address with a port that is free at the time of the call.
pub fn free_port() -> io::Result<SocketAddrV4> {
    match TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        other => Err(io::Error::other(other.to_string())),
    }
}

/// A listen address for a controller that starts later. The loopback address is derived from the process id
/// and no port is returned twice. With ports of 127.0.0.1, a concurrent drill or an outgoing connection
/// sometimes took the port first, and the controller could not start.
pub fn own_port() -> io::Result<SocketAddrV4> {
    static RETURNED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 64 | (high & 63), middle, low.clamp(1, 254));
    loop {
        let port = TcpListener::bind((address, 0))?.local_addr()?.port();
        if RETURNED_PORTS
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .insert(port)
        {
            return Ok(SocketAddrV4::new(address, port));
        }
    }
}

/// The CPU time of a process so far in seconds (user and system), from `/proc`; 0 if it cannot be read.
pub fn cpu_of(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("stat"))
        .unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / 100.0
}
