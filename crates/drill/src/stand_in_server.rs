//! Stand-in servers for the nodes, all in one thread: a few cores, a queue, a cold start, loads told in
//! answers, and everything that can go wrong with them or on the way to them.

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

/// A node's number in its thread.
pub type NodeKey = usize;

pub enum NodeCommand {
    Start(NodeSpec, Sender<(NodeKey, SocketAddrV4)>),
    /// The process ends.
    Stop(NodeKey),
    /// No reset, no answer; on again: it comes back cold.
    SetSilent(NodeKey, bool),
    /// A share of what comes errs at once.
    SetErrorRatio(NodeKey, f64),
    /// A share of the answers is lost on the way back.
    SetResponseLossRatio(NodeKey, f64),
    SetConnectionLimit(NodeKey, usize),
    /// Times the work that everything takes.
    SetWorkFactor(f64),
    /// What proxies of these numbers meet at nodes of a kind: slower by a factor, or refused.
    SetOneSidedFault {
        kind: usize,
        proxies: BTreeSet<usize>,
        work_factor: f64,
        refuse: bool,
    },
    /// No bytes pass between this zone and the others.
    SetZoneCut(Option<usize>),
    /// Seconds that answers take longer on their way.
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
