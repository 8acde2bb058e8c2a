//! Connections of the stand-in clients: sending requests, reading responses, timeouts.

use super::state::{Connection, Due, Invocation};
use super::PopulationLoop;
use crate::records::ClientOutcome;
use crate::stand_in_server::proxy_address;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use wheelspread::time::Moment;
use wheelspread_http1::{parse_response, Body};
use wheelspread_reactor::{self as reactor, Interest, Token};

impl PopulationLoop {
    pub(super) fn invoke(&mut self, now: Moment, invocation: Invocation) {
        let deadline = invocation.arrived + self.operation_config(&invocation).integration_timeout;
        let name = &self.script.traffic.operations[invocation.operation].name;
        // Each client attempt has its own request id, so that only retries of the proxy repeat an id.
        let output = format!(
            "POST /{name} HTTP/1.1\r\nHost: drill\r\nx-request-id: {}.{}\r\nx-work: {:.5}\r\nContent-Length: 0\r\n\r\n",
            invocation.id, invocation.attempt, invocation.work
        );
        let proxy = invocation.proxy;
        let Some(slot) = self.connection_to(proxy) else {
            return self.finish(now, invocation, ClientOutcome::Errored, false);
        };
        self.last_sequence += 1;
        let use_number = self.last_sequence;
        let connection = &mut self.connections[slot];
        (
            connection.invocation,
            connection.output,
            connection.use_number,
        ) = (Some(invocation), output.into_bytes(), use_number);
        self.schedule(deadline, Due::Timeout { slot, use_number });
        self.on_ready(now, slot);
    }

    pub(super) fn connection_to(&mut self, proxy: usize) -> Option<usize> {
        let address = self.proxies[proxy].address?;
        while let Some(slot) = self.idle.get_mut(&proxy).and_then(Vec::pop) {
            let is_current = self
                .connections
                .get(slot)
                .and_then(|connection| connection.socket.peer_addr().ok())
                == Some(address);
            if is_current {
                return Some(slot);
            }
            self.connections.try_remove(slot);
        }
        let SocketAddr::V4(v4) = address else {
            return None;
        };
        let source = proxy_address(200, proxy);
        let socket = reactor::connect_from(Some(source), v4.ip().octets(), v4.port()).ok()?;
        let connection = Connection {
            socket,
            proxy,
            invocation: None,
            output: Vec::new(),
            input: Vec::new(),
            use_number: 0,
        };
        let slot = self.connections.insert(connection);
        self.poll
            .add(
                &self.connections[slot].socket,
                Token(slot as u64),
                Interest::Edges,
            )
            .ok()?;
        Some(slot)
    }

    pub(super) fn on_ready(&mut self, now: Moment, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        while !connection.output.is_empty() {
            match connection.socket.write(&connection.output) {
                Ok(count) if count > 0 => drop(connection.output.drain(..count)),
                _ => break,
            }
        }
        let mut buffer = [0u8; 4096];
        let closed = loop {
            match connection.socket.read(&mut buffer) {
                Ok(0) => break true,
                Ok(count) => connection.input.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == ErrorKind::NotConnected => break false,
                Err(_) => break true,
            }
        };
        let status = match parse_response(&connection.input, false, Default::default()) {
            Ok(Some(head)) => {
                let mut body = Body::new(head.framing);
                let taken = body.take(&connection.input[head.length..]).unwrap_or(0);
                body.is_complete()
                    .then_some((head.status, head.length + taken, head.keep_alive))
            }
            _ => None,
        };
        match (status, closed) {
            (Some((status, length, keep_alive)), _) => {
                connection.input.drain(..length);
                let invocation = connection.invocation.take();
                if keep_alive && !closed {
                    let proxy = connection.proxy;
                    self.idle.entry(proxy).or_default().push(slot);
                } else {
                    self.connections.remove(slot);
                }
                let outcome = match status {
                    200..=299 => ClientOutcome::Succeeded,
                    429 => ClientOutcome::RateLimited,
                    _ => ClientOutcome::Errored,
                };
                // With these statuses the proxy states that it sent nothing to a node.
                let unsent = matches!(status, 429 | 503);
                invocation
                    .into_iter()
                    .for_each(|invocation| self.finish(now, invocation, outcome, unsent));
            }
            (None, true) => {
                let connection = self.connections.remove(slot);
                connection.invocation.into_iter().for_each(|invocation| {
                    self.finish(now, invocation, ClientOutcome::Errored, false);
                });
            }
            (None, false) => {}
        }
    }

    pub(super) fn on_timeout(&mut self, now: Moment, slot: usize, use_number: u64) {
        let is_pending = self.connections.get(slot).is_some_and(|connection| {
            connection.use_number == use_number && connection.invocation.is_some()
        });
        if is_pending {
            let connection = self.connections.remove(slot);
            connection
                .invocation
                .into_iter()
                .for_each(|invocation| self.finish(now, invocation, ClientOutcome::Timeout, false));
        }
    }
}
