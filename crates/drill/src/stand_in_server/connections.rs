//! Connections of the stand-in servers: accepting, reading requests, sending responses.

use super::address::proxy_of;
use super::event_loop::ServerLoop;
use super::state::{Connection, Due, Job};
use super::NodeKey;
use crate::records::Record;
use std::io::{ErrorKind, Read, Write};
use wheelspread::time::{Moment, Span};
use wheelspread_http1::{parse_request, Body};
use wheelspread_reactor::{self as reactor, Interest, Token};

impl ServerLoop {
    pub(super) fn accept(&mut self, now: Moment, key: NodeKey) {
        let node = &mut self.nodes[key];
        let Some(listener) = node.listener.as_ref().filter(|_| !node.silent) else {
            return;
        };
        for socket in reactor::accept(listener).0 {
            let peer = socket.peer_addr().map(|peer| proxy_of(peer.ip()));
            let (Ok((zone, proxy)), true) = (peer, node.connections.len() < node.max_connections)
            else {
                reactor::reset(socket);
                continue;
            };
            let connection = Connection {
                socket,
                zone,
                proxy,
                input: Vec::new(),
                output: Vec::new(),
                busy: false,
            };
            let slot = node.connections.insert(connection);
            let token = Token((key as u64) << 32 | (slot as u64 + 1));
            if self
                .poll
                .add(&node.connections[slot].socket, token, Interest::Edges)
                .is_err()
            {
                node.connections.remove(slot);
            }
        }
        let connections: Vec<usize> = self.nodes[key]
            .connections
            .iter()
            .map(|(slot, _)| slot)
            .collect();
        connections
            .into_iter()
            .for_each(|connection| self.on_ready(now, key, connection));
    }

    pub(super) fn is_reachable_from(&self, key: NodeKey, zone: usize) -> bool {
        self.cut_zone
            .is_none_or(|cut_zone| (self.nodes[key].spec.zone == cut_zone) == (zone == cut_zone))
    }

    pub(super) fn on_ready(&mut self, now: Moment, key: NodeKey, slot: usize) {
        let Some(connection) = self.nodes[key].connections.get(slot) else {
            return;
        };
        if self.nodes[key].silent || !self.is_reachable_from(key, connection.zone) {
            return;
        }
        let connection = &mut self.nodes[key].connections[slot];
        let mut buffer = [0u8; 4096];
        let closed = loop {
            match connection.socket.read(&mut buffer) {
                Ok(0) => break true,
                Ok(count) => connection.input.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        while !connection.output.is_empty() {
            match connection.socket.write(&connection.output) {
                Ok(count) if count > 0 => drop(connection.output.drain(..count)),
                _ => break,
            }
        }
        if closed {
            // Jobs that have started continue; their responses are dropped.
            self.nodes[key].connections.remove(slot);
            return;
        }
        if !connection.busy {
            self.read_request(now, key, slot);
        }
    }

    /// Reads and admits the next request of a connection, if it has arrived completely.
    pub(super) fn read_request(&mut self, now: Moment, key: NodeKey, slot: usize) {
        let Some(connection) = self.nodes[key].connections.get_mut(slot) else {
            return;
        };
        let Ok(Some(head)) = parse_request(&connection.input, Default::default()) else {
            return;
        };
        let mut body = Body::new(head.framing);
        let Ok(taken) = body.take(&connection.input[head.length..]) else {
            return;
        };
        if !body.is_complete() {
            return;
        }
        let text = |range: &std::ops::Range<usize>| {
            String::from_utf8_lossy(&connection.input[range.clone()]).into_owned()
        };
        let header = |name: &str| {
            let found = head
                .headers
                .iter()
                .find(|(key, _)| text(key).eq_ignore_ascii_case(name));
            found.map(|(_, value)| text(value)).unwrap_or_default()
        };
        let operation = text(&head.target).trim_start_matches('/').to_string();
        let job = Job {
            connection: slot,
            id: header("x-request-id"),
            operation,
            work: header("x-work").parse().unwrap_or(0.01),
        };
        let (proxy, end) = (connection.proxy, head.length + taken);
        connection.input.drain(..end);
        connection.busy = true;
        let node = self.nodes[key].name.clone();
        let (id, operation) = (job.id.clone(), job.operation.clone());
        self.recorder.record(
            now,
            Record::RequestArrived {
                node,
                proxy,
                id,
                operation,
                work: job.work,
            },
        );
        self.admit_request(now, key, proxy, job);
    }

    pub(super) fn send_response(
        &mut self,
        now: Moment,
        key: NodeKey,
        connection: usize,
        bytes: Vec<u8>,
    ) {
        let generation = self.nodes[key].generation;
        if self.response_delay > 0.0 {
            let at = now + Span::from_seconds(self.response_delay);
            return self.schedule(
                at,
                Due::SendResponse {
                    node: key,
                    generation,
                    connection,
                    bytes,
                },
            );
        }
        self.write_response(now, key, connection, bytes);
    }

    pub(super) fn write_response(
        &mut self,
        now: Moment,
        key: NodeKey,
        slot: usize,
        bytes: Vec<u8>,
    ) {
        // The connection may have ended and its slot been reused; one that is not busy awaits no response.
        let Some(connection) = self.nodes[key]
            .connections
            .get_mut(slot)
            .filter(|connection| connection.busy)
        else {
            return;
        };
        connection.output.extend_from_slice(&bytes);
        connection.busy = false;
        self.on_ready(now, key, slot);
    }
}
