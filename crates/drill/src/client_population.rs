//! Stand-in clients: invocations that come by chance and don't wait for each other, with a patience of
//! their own and, where it is safe, another attempt.

use crate::records::{ClientOutcome, Record, Recorder};
use crate::script::Script;
use crate::stand_in_server::proxy_address;
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use slab::Slab;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_http1::{response, Body};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

pub enum ClientCommand {
    /// Times the usual rate, of all proxies or of some.
    Rate {
        proxies: Option<Vec<usize>>,
        factor: f64,
    },
    /// A proxy listens somewhere else, or not at all.
    At {
        proxy: usize,
        address: Option<SocketAddr>,
    },
    /// No new invocations; ends when those under way are done.
    Finish,
}

impl WorkerCommand for ClientCommand {
    const STOP: ClientCommand = ClientCommand::Finish;
}

pub struct ClientPopulation {
    worker: Worker<ClientCommand>,
}

impl ClientPopulation {
    pub fn start(
        script: &Script,
        rates: Vec<f64>,
        addresses: Vec<Option<SocketAddr>>,
        recorder: Recorder,
        seed: u64,
    ) -> std::io::Result<ClientPopulation> {
        let script = script.clone();
        let proxies = rates
            .iter()
            .zip(addresses)
            .map(|(rate, at)| ProxyTarget {
                at,
                usual: *rate,
                factor: 1.0,
            })
            .collect();
        let worker = Worker::spawn("clients", Poll::new()?, move |poll, inbox| {
            let mut crowd = PopulationLoop {
                script,
                recorder,
                chance: Pcg::new(seed),
                poll,
                inbox,
                proxies,
                connections: Slab::new(),
                idle: BTreeMap::new(),
                due: BTreeMap::new(),
                next: 0,
                finishing: false,
            };
            crowd.run();
        })?;
        Ok(ClientPopulation { worker })
    }

    pub fn send(&self, command: ClientCommand) {
        self.worker.send(command);
    }
}

struct ProxyTarget {
    at: Option<SocketAddr>,
    usual: f64,
    factor: f64,
}

#[derive(Clone)]
struct Invocation {
    proxy: usize,
    id: String,
    operation: usize,
    work: f64,
    arrived: Moment,
    attempt: u32,
}

struct Connection {
    socket: TcpStream,
    proxy: usize,
    invocation: Option<Invocation>,
    output: Vec<u8>,
    input: Vec<u8>,
    use_number: u64,
}

enum Due {
    Arrival { proxy: usize },
    Retry(Invocation),
    Timeout { slot: usize, use_number: u64 },
}

struct PopulationLoop {
    script: Script,
    recorder: Recorder,
    chance: Pcg,
    poll: Poll,
    inbox: Inbox<ClientCommand>,
    proxies: Vec<ProxyTarget>,
    connections: Slab<Connection>,
    idle: BTreeMap<usize, Vec<usize>>,
    due: BTreeMap<(Moment, u64), Due>,
    next: u64,
    finishing: bool,
}

impl PopulationLoop {
    fn run(&mut self) {
        let now = reactor::now();
        (0..self.proxies.len()).for_each(|proxy| self.schedule_arrival(now, proxy));
        let mut ready = Vec::new();
        loop {
            let now = reactor::now();
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
                match entry.remove() {
                    Due::Arrival { proxy } => self.arrive(now, proxy),
                    Due::Retry(invocation) => self.invoke(now, invocation),
                    Due::Timeout { slot, use_number } => self.on_timeout(now, slot, use_number),
                }
            }
            let busy = self
                .connections
                .iter()
                .any(|(_, connection)| connection.invocation.is_some());
            let again = self.due.values().any(|due| matches!(due, Due::Retry(_)));
            if self.finishing && !busy && !again {
                return;
            }
            let wait = self
                .due
                .first_key_value()
                .map_or(Span::from_seconds(0.5), |(key, _)| key.0 - now);
            if self.poll.wait(wait, &mut ready).is_err() {
                return;
            }
            let now = reactor::now();
            for ready in ready.drain(..) {
                if ready.token == INBOX {
                    for order in self.inbox.take() {
                        self.execute(order);
                    }
                } else {
                    self.on_ready(now, ready.token.0 as usize);
                }
            }
        }
    }

    fn execute(&mut self, order: ClientCommand) {
        match order {
            ClientCommand::Rate { proxies, factor } => {
                for (number, proxy) in self.proxies.iter_mut().enumerate() {
                    if proxies.as_ref().is_none_or(|some| some.contains(&number)) {
                        proxy.factor = factor;
                    }
                }
            }
            ClientCommand::At { proxy, address } => self.proxies[proxy].at = address,
            ClientCommand::Finish => self.finishing = true,
        }
    }

    fn later(&mut self, at: Moment, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.chance.unit()).ln()
    }

    fn schedule_arrival(&mut self, now: Moment, proxy: usize) {
        let rate = self.proxies[proxy].usual * self.proxies[proxy].factor;
        let wait = if rate > 0.0 {
            self.exponential() / rate
        } else {
            0.1
        };
        self.later(
            now + Span::from_seconds(wait.min(5.0)),
            Due::Arrival { proxy },
        );
    }

    fn arrive(&mut self, now: Moment, proxy: usize) {
        if self.finishing {
            return;
        }
        self.schedule_arrival(now, proxy);
        if self.proxies[proxy].usual <= 0.0 {
            return;
        }
        let shares: f64 = self
            .script
            .traffic
            .operations
            .iter()
            .map(|operation| operation.share)
            .sum();
        let mut mark = self.chance.unit() * shares;
        let mut chosen = 0;
        for (at, operation) in self.script.traffic.operations.iter().enumerate() {
            chosen = at;
            mark -= operation.share;
            if mark < 0.0 {
                break;
            }
        }
        // Half of the work is fixed, the rest by chance.
        let mean = self.script.traffic.operations[chosen].work.seconds();
        let work = mean * (0.5 + 0.5 * self.exponential().min(6.0));
        self.next += 1;
        let id = format!("{:x}-{:x}", self.next, self.chance.draw());
        self.invoke(
            now,
            Invocation {
                proxy,
                id,
                operation: chosen,
                work,
                arrived: now,
                attempt: 0,
            },
        );
    }

    fn plan(
        &self,
        invocation: &Invocation,
    ) -> &wheelspread_controller_core::deployment::OperationPlan {
        let name = &self.script.traffic.operations[invocation.operation].name;
        let plans = &self.script.deployment.operations;
        plans
            .iter()
            .find(|plan| plan.name == *name)
            .unwrap_or(&plans[0])
    }

    fn invoke(&mut self, now: Moment, invocation: Invocation) {
        let deadline = invocation.arrived + self.plan(&invocation).integration_timeout;
        let name = &self.script.traffic.operations[invocation.operation].name;
        // Attempts of the client's own are invocations of their own: only the proxy repeats one.
        let output = format!(
            "POST /{name} HTTP/1.1\r\nHost: drill\r\nx-request-id: {}.{}\r\nx-work: {:.5}\r\nContent-Length: 0\r\n\r\n",
            invocation.id, invocation.attempt, invocation.work
        );
        let proxy = invocation.proxy;
        let Some(slot) = self.connection_to(proxy) else {
            return self.end(now, invocation, ClientOutcome::Errored, false);
        };
        self.next += 1;
        let use_number = self.next;
        let connection = &mut self.connections[slot];
        (
            connection.invocation,
            connection.output,
            connection.use_number,
        ) = (Some(invocation), output.into_bytes(), use_number);
        self.later(deadline, Due::Timeout { slot, use_number });
        self.on_ready(now, slot);
    }

    fn connection_to(&mut self, proxy: usize) -> Option<usize> {
        let address = self.proxies[proxy].at?;
        while let Some(slot) = self.idle.get_mut(&proxy).and_then(Vec::pop) {
            let here = self
                .connections
                .get(slot)
                .and_then(|connection| connection.socket.peer_addr().ok())
                == Some(address);
            if here {
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

    fn on_ready(&mut self, now: Moment, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot) else {
            return;
        };
        while !connection.output.is_empty() {
            match connection.socket.write(&connection.output) {
                Ok(count) if count > 0 => drop(connection.output.drain(..count)),
                _ => break,
            }
        }
        let mut piece = [0u8; 4096];
        let over = loop {
            match connection.socket.read(&mut piece) {
                Ok(0) => break true,
                Ok(count) => connection.input.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(error) if error.kind() == ErrorKind::NotConnected => break false,
                Err(_) => break true,
            }
        };
        let status = match response(&connection.input, false, Default::default()) {
            Ok(Some(head)) => {
                let mut body = Body::new(head.framing);
                let taken = body.take(&connection.input[head.length..]).unwrap_or(0);
                body.done()
                    .then_some((head.status, head.length + taken, head.keep_alive))
            }
            _ => None,
        };
        match (status, over) {
            (Some((status, length, keep_alive)), _) => {
                connection.input.drain(..length);
                let invocation = connection.invocation.take();
                if keep_alive && !over {
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
                // The proxy said itself that it sent nothing.
                let unsent = matches!(status, 429 | 503);
                invocation
                    .into_iter()
                    .for_each(|invocation| self.end(now, invocation, outcome, unsent));
            }
            (None, true) => {
                let connection = self.connections.remove(slot);
                connection.invocation.into_iter().for_each(|invocation| {
                    self.end(now, invocation, ClientOutcome::Errored, false);
                });
            }
            (None, false) => {}
        }
    }

    fn on_timeout(&mut self, now: Moment, slot: usize, use_number: u64) {
        let waits = self.connections.get(slot).is_some_and(|connection| {
            connection.use_number == use_number && connection.invocation.is_some()
        });
        if waits {
            let connection = self.connections.remove(slot);
            connection
                .invocation
                .into_iter()
                .for_each(|invocation| self.end(now, invocation, ClientOutcome::GivenUp, false));
        }
    }

    fn end(&mut self, now: Moment, invocation: Invocation, outcome: ClientOutcome, unsent: bool) {
        let plan = self.plan(&invocation);
        let (deadline, repeat) = (invocation.arrived + plan.integration_timeout, plan.repeat);
        let safe = unsent || repeat == RetryClass::Idempotent;
        let may = invocation.attempt < self.script.traffic.retries && safe;
        let wait = Span::from_seconds(0.1 + 0.2 * self.chance.unit());
        if matches!(outcome, ClientOutcome::RateLimited | ClientOutcome::Errored)
            && may
            && now + wait < deadline
        {
            return self.later(
                now + wait,
                Due::Retry(Invocation {
                    attempt: invocation.attempt + 1,
                    ..invocation
                }),
            );
        }
        let operation = self.script.traffic.operations[invocation.operation]
            .name
            .clone();
        let (proxy, id, attempt) = (invocation.proxy, invocation.id, invocation.attempt);
        let latency = (now - invocation.arrived).seconds();
        self.recorder.note(
            now,
            Record::Done {
                proxy,
                id,
                operation,
                attempt,
                latency,
                outcome,
            },
        );
    }
}
