//! The state of the stand-in servers and their scheduled events.

use super::{NodeKey, NodeSpec};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use wheelspread::time::Moment;

pub(super) struct Connection {
    pub(super) socket: TcpStream,
    pub(super) zone: usize,
    pub(super) proxy: usize,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    pub(super) busy: bool,
}

pub(super) struct Job {
    pub(super) connection: usize,
    pub(super) id: String,
    pub(super) operation: String,
    pub(super) work: f64,
}

pub(super) struct Node {
    pub(super) spec: NodeSpec,
    pub(super) name: String,
    pub(super) address: SocketAddrV4,
    pub(super) listener: Option<TcpListener>,
    pub(super) connections: Slab<Connection>,
    pub(super) started: Moment,
    pub(super) generation: u32,
    pub(super) silent: bool,
    pub(super) down: bool,
    pub(super) error_ratio: f64,
    pub(super) loss_ratio: f64,
    pub(super) max_connections: usize,
    pub(super) running: usize,
    pub(super) waiting: VecDeque<Job>,
    /// Time and work of recent requests, from which the overload of a warming node is detected.
    pub(super) recent_work: VecDeque<(Moment, f64)>,
    pub(super) utilization: f64,
    pub(super) utilization_at: Moment,
}

pub(super) enum Due {
    FinishJob {
        node: NodeKey,
        generation: u32,
        job: Job,
    },
    SendResponse {
        node: NodeKey,
        generation: u32,
        connection: usize,
        bytes: Vec<u8>,
    },
}

/// Slower work, or rejection, of requests of the given proxies at nodes of a kind.
pub(super) struct OneSidedFault {
    pub(super) kind: usize,
    pub(super) proxies: BTreeSet<usize>,
    /// The factor on the work of these requests.
    pub(super) work_factor: f64,
    pub(super) refuse: bool,
}
