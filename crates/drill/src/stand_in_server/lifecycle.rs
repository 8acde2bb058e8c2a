//! Start, stop and restart of a stand-in server.

use super::event_loop::ServerLoop;
use super::state::Node;
use super::{NodeKey, NodeSpec};
use crate::records::Record;
use slab::Slab;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use wheelspread::time::Moment;
use wheelspread_reactor::{self as reactor, Interest, Token};

impl ServerLoop {
    pub(super) fn start(&mut self, now: Moment, spec: NodeSpec) -> Option<(NodeKey, SocketAddrV4)> {
        let listener = reactor::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).ok()?;
        let SocketAddr::V4(address) = listener.local_addr().ok()? else {
            return None;
        };
        let key = self.nodes.len();
        self.poll
            .add(&listener, Token((key as u64) << 32), Interest::Readable)
            .ok()?;
        let already_warm = now - self.deployment.rules.warm_after * 10.0;
        let max_connections = spec.connections;
        let node = Node {
            name: address.to_string(),
            address,
            listener: Some(listener),
            connections: Slab::new(),
            started: if spec.cold { now } else { already_warm },
            generation: 0,
            silent: false,
            down: false,
            error_ratio: 0.0,
            loss_ratio: 0.0,
            max_connections,
            running: 0,
            waiting: VecDeque::new(),
            recent_work: VecDeque::new(),
            utilization: 0.0,
            utilization_at: now,
            spec,
        };
        self.record_start(now, &node, node.spec.cold);
        self.nodes.push(node);
        Some((key, address))
    }

    pub(super) fn record_start(&self, now: Moment, node: &Node, cold: bool) {
        self.recorder.record(
            now,
            Record::NodeStarted {
                node: node.name.clone(),
                zone: node.spec.zone,
                kind: node.spec.kind_name.clone(),
                capacity: f64::from(node.spec.cores) * node.spec.speed,
                cold,
            },
        );
    }

    pub(super) fn close(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key];
        (node.listener, node.down) = (None, true);
        node.generation += 1;
        (node.running, node.waiting) = (0, VecDeque::new());
        for connection in std::mem::take(&mut node.connections) {
            reactor::reset(connection.1.socket);
        }
    }

    pub(super) fn restart(&mut self, now: Moment, key: NodeKey) {
        self.close(key);
        let Ok(listener) = TcpListener::bind(self.nodes[key].address) else {
            return;
        };
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        let _ = self
            .poll
            .add(&listener, Token((key as u64) << 32), Interest::Readable);
        let node = &mut self.nodes[key];
        (node.listener, node.down, node.silent, node.started) = (Some(listener), false, false, now);
        node.recent_work.clear();
        let node = &self.nodes[key];
        self.record_start(now, node, true);
    }
}
