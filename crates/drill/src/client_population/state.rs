//! The state of the stand-in clients and what they have scheduled.

use std::net::{SocketAddr, TcpStream};
use wheelspread::time::Moment;

/// Where clients reach a proxy, and how much they ask of it.
pub(super) struct ProxyTarget {
    pub(super) address: Option<SocketAddr>,
    pub(super) base_rate: f64,
    pub(super) factor: f64,
}

/// What a client wants done, over all its attempts.
#[derive(Clone)]
pub(super) struct Invocation {
    pub(super) proxy: usize,
    pub(super) id: String,
    pub(super) operation: usize,
    pub(super) work: f64,
    pub(super) arrived: Moment,
    pub(super) attempt: u32,
}

/// A connection to a proxy, idle between invocations.
pub(super) struct Connection {
    pub(super) socket: TcpStream,
    pub(super) proxy: usize,
    pub(super) invocation: Option<Invocation>,
    pub(super) output: Vec<u8>,
    pub(super) input: Vec<u8>,
    pub(super) use_number: u64,
}

/// What the clients have scheduled.
pub(super) enum Due {
    Arrival { proxy: usize },
    Retry(Invocation),
    Timeout { slot: usize, use_number: u64 },
}
