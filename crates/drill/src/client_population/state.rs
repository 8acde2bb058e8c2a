//! The state of the stand-in clients and their scheduled events.

use std::net::{SocketAddr, TcpStream};
use wheelspread::time::Moment;

/// The address of a proxy, its base rate per second and the current factor on it.
pub(super) struct ProxyTarget {
    pub(super) address: Option<SocketAddr>,
    pub(super) base_rate: f64,
    pub(super) factor: f64,
}

/// An invocation of a client, over all of its attempts.
#[derive(Clone)]
pub(super) struct Invocation {
    pub(super) proxy: usize,
    pub(super) id: String,
    pub(super) operation: usize,
    pub(super) work: f64,
    pub(super) arrived: Moment,
    pub(super) attempt: u32,
}

/// A connection to a proxy; `invocation` is `None` while it is idle.
pub(super) struct Connection {
    pub(super) socket: TcpStream,
    pub(super) proxy: usize,
    pub(super) invocation: Option<Invocation>,
    pub(super) output: Vec<u8>,
    pub(super) input: Vec<u8>,
    pub(super) use_number: u64,
}

/// A scheduled event of the clients.
pub(super) enum Due {
    Arrival { proxy: usize },
    Retry(Invocation),
    Timeout { slot: usize, use_number: u64 },
}
