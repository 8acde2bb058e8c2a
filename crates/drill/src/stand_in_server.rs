//! Stand-in servers for the nodes, all in one thread. Each has cores, a queue, a slow start and load reports in
//! its responses. Faults of the nodes, and of the network to them, can be injected.

mod address;
mod connections;
mod event_loop;
mod lifecycle;
mod state;
mod work;

pub use self::address::{proxy_address, proxy_of};
use self::event_loop::ServerLoop;
pub use self::work::WARMING_OVERLOAD_TOLERANCE;
use crate::records::Recorder;
use crate::worker::{Worker, WorkerCommand};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::mpsc::{channel, Sender};
use wheelspread_controller_core::deployment::Deployment;
use wheelspread_reactor::Poll;

#[derive(Clone, Debug)]
pub struct NodeSpec {
    pub zone: usize,
    pub kind: usize,
    pub kind_name: String,
    pub cores: u32,
    pub speed: f64,
    pub cold: bool,
    pub queue: usize,
    pub connections: usize,
}

/// The index of a node in the thread of the stand-in servers.
pub type NodeKey = usize;

pub enum NodeCommand {
    Start(NodeSpec, Sender<(NodeKey, SocketAddrV4)>),
    /// Stops a node.
    Stop(NodeKey),
    /// `true`: the node accepts and answers nothing, without resets; `false`: it restarts, cold.
    SetSilent(NodeKey, bool),
    /// Sets the ratio of requests that fail immediately with 500.
    SetErrorRatio(NodeKey, f64),
    /// Sets the ratio of responses that are lost.
    SetLossRatio(NodeKey, f64),
    /// Sets the maximum number of connections of a node; excess connections are reset.
    SetConnectionLimit(NodeKey, usize),
    /// Sets the factor on the work of all requests.
    SetWorkFactor(f64),
    /// Slows down requests of the given proxies at nodes of a kind by a factor, or answers them with 503; no
    /// proxies end the fault.
    SetOneSidedFault {
        kind: usize,
        proxies: BTreeSet<usize>,
        work_factor: f64,
        refuse: bool,
    },
    /// Lets no bytes pass between a zone and the others; `None` ends the cut.
    SetZoneCut(Option<usize>),
    /// Sets the delay of responses in seconds.
    SetResponseDelay(f64),
    End,
}

impl WorkerCommand for NodeCommand {
    const STOP: NodeCommand = NodeCommand::End;
}

pub struct StandInServers {
    worker: Worker<NodeCommand>,
}

impl StandInServers {
    pub fn start(
        deployment: Deployment,
        recorder: Recorder,
        seed: u64,
    ) -> std::io::Result<StandInServers> {
        let worker = Worker::spawn("nodes", Poll::new()?, move |poll, inbox| {
            ServerLoop::new(deployment, recorder, seed, poll, inbox).run();
        })?;
        Ok(StandInServers { worker })
    }

    pub fn send(&self, command: NodeCommand) {
        self.worker.send(command);
    }

    pub fn add(&self, spec: NodeSpec) -> Option<(NodeKey, SocketAddrV4)> {
        let (reply, replied) = channel();
        self.send(NodeCommand::Start(spec, reply));
        replied.recv().ok()
    }
}
