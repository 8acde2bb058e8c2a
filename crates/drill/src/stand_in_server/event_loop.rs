//! The event loop of the stand-in servers: commands, connections, work that is due.

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
    pub(super) plan: Deployment,
    pub(super) recorder: Recorder,
    pub(super) chance: Pcg,
    pub(super) poll: Poll,
    pub(super) inbox: Inbox<NodeCommand>,
    pub(super) nodes: Vec<Node>,
    pub(super) due: BTreeMap<(Moment, u64), Due>,
    pub(super) next: u64,
    pub(super) slow: f64,
    pub(super) one_sided: Option<OneSidedFault>,
    pub(super) cut: Option<usize>,
    pub(super) slow_link: f64,
    /// When a fingerprint was first seen, for nodes that drop repeats together.
    pub(super) seen: HashMap<String, Moment>,
}

impl ServerLoop {
    pub(super) fn new(
        plan: Deployment,
        recorder: Recorder,
        seed: u64,
        poll: Poll,
        inbox: Inbox<NodeCommand>,
    ) -> ServerLoop {
        ServerLoop {
            plan,
            recorder,
            chance: Pcg::new(seed),
            poll,
            inbox,
            nodes: Vec::new(),
            due: BTreeMap::new(),
            next: 0,
            slow: 1.0,
            one_sided: None,
            cut: None,
            slow_link: 0.0,
            seen: HashMap::new(),
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
                    for order in self.inbox.take() {
                        if matches!(order, NodeCommand::End) {
                            return;
                        }
                        self.execute(now, order);
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

    pub(super) fn execute(&mut self, now: Moment, order: NodeCommand) {
        match order {
            NodeCommand::Start(spec, tell) => {
                if let Some(told) = self.start(now, spec) {
                    let _ = tell.send(told);
                }
            }
            NodeCommand::Stop(key) => {
                self.recorder.note(
                    now,
                    Record::Ceased {
                        node: self.nodes[key].name.clone(),
                    },
                );
                self.close(key);
            }
            NodeCommand::Silent(key, true) => self.nodes[key].silent = true,
            NodeCommand::Silent(key, false) => self.come_back(now, key),
            NodeCommand::Errors(key, share) => self.nodes[key].errors = share,
            NodeCommand::AnswersLost(key, share) => self.nodes[key].lost = share,
            NodeCommand::Connections(key, most) => {
                let node = &mut self.nodes[key];
                node.max_connections = most;
                let over: Vec<usize> = node
                    .connections
                    .iter()
                    .map(|(slot, _)| slot)
                    .skip(most)
                    .collect();
                over.into_iter()
                    .for_each(|slot| reactor::reset(node.connections.remove(slot).socket));
            }
            NodeCommand::Slow(factor) => self.slow = factor,
            NodeCommand::OneSided {
                kind,
                proxies,
                slow,
                refuse,
            } => {
                self.one_sided = (!proxies.is_empty()).then_some(OneSidedFault {
                    kind,
                    proxies,
                    slow,
                    refuse,
                });
            }
            NodeCommand::Cut(zone) => {
                self.cut = zone;
                // What was held back on the way comes through.
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
            NodeCommand::SlowLink(seconds) => self.slow_link = seconds,
            NodeCommand::End => {}
        }
    }

    pub(super) fn later(&mut self, at: Moment, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    pub(super) fn on_due(&mut self, now: Moment, due: Due) {
        match due {
            Due::Answer {
                node,
                generation,
                connection,
                bytes,
            } if self.nodes[node].generation == generation => {
                self.send(now, node, connection, bytes);
            }
            Due::Done {
                node: key,
                generation,
                job,
            } if self.nodes[key].generation == generation => {
                self.count_busy(now, key);
                self.nodes[key].running -= 1;
                if let Some(next) = self.nodes[key].waiting.pop_front() {
                    self.begin(now, key, next);
                }
                self.record_effect(now, key, &job);
                if self.nodes[key].lost > 0.0 && self.chance.unit() < self.nodes[key].lost {
                    return; // it ran, and nobody hears of it
                }
                let bytes = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{}\r\nok",
                    self.load_header(now, key)
                );
                self.answer(now, key, job.connection, bytes.into_bytes());
            }
            _ => {}
        }
    }
}
