//! The event loop of the stand-in servers: commands, connections and scheduled events.

use super::state::{Due, Node, OneSidedFault};
use super::NodeCommand;
use crate::records::{Record, Recorder};
use crate::worker::{Inbox, INBOX};
use std::collections::{BTreeMap, HashMap};
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::Deployment;
use wheelspread_reactor::{self as reactor, Poll, Readiness};

pub(super) struct ServerLoop {
    pub(super) deployment: Deployment,
    pub(super) recorder: Recorder,
    pub(super) rng: Pcg,
    pub(super) poll: Poll,
    pub(super) inbox: Inbox<NodeCommand>,
    pub(super) nodes: Vec<Node>,
    pub(super) due: BTreeMap<(Moment, u64), Due>,
    pub(super) last_sequence: u64,
    pub(super) work_factor: f64,
    pub(super) one_sided: Option<OneSidedFault>,
    pub(super) cut_zone: Option<usize>,
    pub(super) response_delay: f64,
    /// When each fingerprint (request id) was first executed. Shared by all nodes, as they deduplicate together.
    pub(super) fingerprints_first_seen: HashMap<String, Moment>,
}

impl ServerLoop {
    pub(super) fn new(
        deployment: Deployment,
        recorder: Recorder,
        seed: u64,
        poll: Poll,
        inbox: Inbox<NodeCommand>,
    ) -> ServerLoop {
        ServerLoop {
            deployment,
            recorder,
            rng: Pcg::new(seed),
            poll,
            inbox,
            nodes: Vec::new(),
            due: BTreeMap::new(),
            last_sequence: 0,
            work_factor: 1.0,
            one_sided: None,
            cut_zone: None,
            response_delay: 0.0,
            fingerprints_first_seen: HashMap::new(),
        }
    }

    pub(super) fn run(mut self) {
        let mut ready: Vec<Readiness> = Vec::new();
        loop {
            let now = reactor::now();
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
                let due = entry.remove();
                self.on_due(now, due);
            }
            let wait = self
                .due
                .first_key_value()
                .map_or(Span::from_seconds(1.0), |(key, _)| key.0 - now);
            if self.poll.wait(wait, &mut ready).is_err() {
                return;
            }
            let now = reactor::now();
            for ready in ready.drain(..) {
                if ready.token == INBOX {
                    for command in self.inbox.take() {
                        if matches!(command, NodeCommand::End) {
                            return;
                        }
                        self.execute(now, command);
                    }
                    continue;
                }
                let (key, slot) = (
                    (ready.token.0 >> 32) as usize,
                    (ready.token.0 & 0xffff_ffff) as usize,
                );
                match slot.checked_sub(1) {
                    None => self.accept(now, key),
                    Some(connection) => self.on_ready(now, key, connection),
                }
            }
        }
    }

    pub(super) fn execute(&mut self, now: Moment, command: NodeCommand) {
        match command {
            NodeCommand::Start(spec, reply) => {
                if let Some(started_node) = self.start(now, spec) {
                    let _ = reply.send(started_node);
                }
            }
            NodeCommand::Stop(key) => {
                self.recorder.record(
                    now,
                    Record::NodeStopped {
                        node: self.nodes[key].name.clone(),
                    },
                );
                self.close(key);
            }
            NodeCommand::SetSilent(key, true) => self.nodes[key].silent = true,
            NodeCommand::SetSilent(key, false) => self.restart(now, key),
            NodeCommand::SetErrorRatio(key, ratio) => self.nodes[key].error_ratio = ratio,
            NodeCommand::SetLossRatio(key, ratio) => self.nodes[key].loss_ratio = ratio,
            NodeCommand::SetConnectionLimit(key, max_connections) => {
                let node = &mut self.nodes[key];
                node.max_connections = max_connections;
                let excess: Vec<usize> = node
                    .connections
                    .iter()
                    .map(|(slot, _)| slot)
                    .skip(max_connections)
                    .collect();
                excess
                    .into_iter()
                    .for_each(|slot| reactor::reset(node.connections.remove(slot).socket));
            }
            NodeCommand::SetWorkFactor(factor) => self.work_factor = factor,
            NodeCommand::SetOneSidedFault {
                kind,
                proxies,
                work_factor,
                refuse,
            } => {
                self.one_sided = (!proxies.is_empty()).then_some(OneSidedFault {
                    kind,
                    proxies,
                    work_factor,
                    refuse,
                });
            }
            NodeCommand::SetZoneCut(zone) => {
                self.cut_zone = zone;
                // Reads and writes what the cut has held back.
                for key in 0..self.nodes.len() {
                    let connections: Vec<usize> = self.nodes[key]
                        .connections
                        .iter()
                        .map(|(slot, _)| slot)
                        .collect();
                    connections
                        .into_iter()
                        .for_each(|connection| self.on_ready(now, key, connection));
                }
            }
            NodeCommand::SetResponseDelay(seconds) => self.response_delay = seconds,
            NodeCommand::End => {}
        }
    }

    pub(super) fn schedule(&mut self, at: Moment, due: Due) {
        self.last_sequence += 1;
        self.due.insert((at, self.last_sequence), due);
    }

    pub(super) fn on_due(&mut self, now: Moment, due: Due) {
        match due {
            Due::SendResponse {
                node,
                generation,
                connection,
                bytes,
            } if self.nodes[node].generation == generation => {
                self.write_response(now, node, connection, bytes);
            }
            Due::FinishJob {
                node: key,
                generation,
                job,
            } if self.nodes[key].generation == generation => {
                self.update_utilization(now, key);
                self.nodes[key].running -= 1;
                if let Some(next) = self.nodes[key].waiting.pop_front() {
                    self.start_job(now, key, next);
                }
                self.record_effect(now, key, &job);
                if self.nodes[key].loss_ratio > 0.0 && self.rng.unit() < self.nodes[key].loss_ratio
                {
                    return; // executed, but the response is lost
                }
                let bytes = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{}\r\nok",
                    self.load_header(now, key)
                );
                self.send_response(now, key, job.connection, bytes.into_bytes());
            }
            _ => {}
        }
    }
}
