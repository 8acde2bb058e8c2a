//! Connections of the stand-in servers: accepting, reading requests, sending answers.

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

    pub(super) fn passes(&self, key: NodeKey, zone: usize) -> bool {
        self.cut
            .is_none_or(|cut| (self.nodes[key].spec.zone == cut) == (zone == cut))
    }

    pub(super) fn on_ready(&mut self, now: Moment, key: NodeKey, slot: usize) {
        let Some(connection) = self.nodes[key].connections.get(slot) else {
            return;
        };
        if self.nodes[key].silent || !self.passes(key, connection.zone) {
            return;
        }
        let connection = &mut self.nodes[key].connections[slot];
        let mut piece = [0u8; 4096];
        let over = loop {
            match connection.socket.read(&mut piece) {
                Ok(0) => break true,
                Ok(count) => connection.input.extend_from_slice(&piece[..count]),
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
        if over {
            // Work that has begun goes on.
            self.nodes[key].connections.remove(slot);
            return;
        }
        if !connection.busy {
            self.take_request(now, key, slot);
        }
    }

    /// Takes the next request of a connection, if it is here as a whole.
    pub(super) fn take_request(&mut self, now: Moment, key: NodeKey, slot: usize) {
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
        self.recorder.note(
            now,
            Record::Came {
                node,
                proxy,
                id,
                operation,
                work: job.work,
            },
        );
        self.admit_request(now, key, proxy, job);
    }

    pub(super) fn answer(&mut self, now: Moment, key: NodeKey, connection: usize, bytes: Vec<u8>) {
        let generation = self.nodes[key].generation;
        if self.slow_link > 0.0 {
            let at = now + Span::from_seconds(self.slow_link);
            return self.later(
                at,
                Due::Answer {
                    node: key,
                    generation,
                    connection,
                    bytes,
                },
            );
        }
        self.send(now, key, connection, bytes);
    }

    pub(super) fn send(&mut self, now: Moment, key: NodeKey, slot: usize, bytes: Vec<u8>) {
        // A slot that was given to another connection meanwhile is not busy with this.
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
