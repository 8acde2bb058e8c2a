//! The state of the stand-in servers and what they have scheduled.

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
    pub(super) response_loss_ratio: f64,
    pub(super) max_connections: usize,
    pub(super) running: usize,
    pub(super) waiting: VecDeque<Job>,
    /// What came lately, to see whether a cold one is pushed over.
    pub(super) recent_work: VecDeque<(Moment, f64)>,
    pub(super) utilization: f64,
    pub(super) utilization_at: Moment,
}

pub(super) enum Due {
    Done {
        node: NodeKey,
        generation: u32,
        job: Job,
    },
    Answer {
        node: NodeKey,
        generation: u32,
        connection: usize,
        bytes: Vec<u8>,
    },
}

/// What proxies of these numbers meet at nodes of a kind: slower work, or refusal.
pub(super) struct OneSidedFault {
    pub(super) kind: usize,
    pub(super) proxies: BTreeSet<usize>,
    /// Times the work that everything takes.
    pub(super) work_factor: f64,
    pub(super) refuse: bool,
}
