//! Stand-in clients: an open-loop load with random arrivals, a timeout for each invocation and, where it is
//! safe, retries.

mod connections;
mod state;

use self::state::{Connection, Due, Invocation, ProxyTarget};
use crate::records::{ClientOutcome, Record, Recorder};
use crate::script::Script;
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_reactor::{self as reactor, Poll};

pub enum ClientCommand {
    /// Sets the factor on the base rate of the given proxies, or of all.
    SetRate {
        proxies: Option<Vec<usize>>,
        factor: f64,
    },
    /// Sets the address of a proxy; `None` while it is down.
    SetAddress {
        proxy: usize,
        address: Option<SocketAddr>,
    },
    /// Starts no further invocations, and ends when those in flight have ended.
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
            .map(|(rate, address)| ProxyTarget {
                address,
                base_rate: *rate,
                factor: 1.0,
            })
            .collect();
        let worker = Worker::spawn("clients", Poll::new()?, move |poll, inbox| {
            let mut population = PopulationLoop {
                script,
                recorder,
                rng: Pcg::new(seed),
                poll,
                inbox,
                proxies,
                connections: Slab::new(),
                idle: BTreeMap::new(),
                due: BTreeMap::new(),
                last_sequence: 0,
                finishing: false,
            };
            population.run();
        })?;
        Ok(ClientPopulation { worker })
    }

    pub fn send(&self, command: ClientCommand) {
        self.worker.send(command);
    }
}

struct PopulationLoop {
    script: Script,
    recorder: Recorder,
    rng: Pcg,
    poll: Poll,
    inbox: Inbox<ClientCommand>,
    proxies: Vec<ProxyTarget>,
    connections: Slab<Connection>,
    idle: BTreeMap<usize, Vec<usize>>,
    due: BTreeMap<(Moment, u64), Due>,
    last_sequence: u64,
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
                    Due::Arrival { proxy } => self.start_invocation(now, proxy),
                    Due::Retry(invocation) => self.invoke(now, invocation),
                    Due::Timeout { slot, use_number } => self.on_timeout(now, slot, use_number),
                }
            }
            let busy = self
                .connections
                .iter()
                .any(|(_, connection)| connection.invocation.is_some());
            let retry_pending = self.due.values().any(|due| matches!(due, Due::Retry(_)));
            if self.finishing && !busy && !retry_pending {
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
                    for command in self.inbox.take() {
                        self.execute(command);
                    }
                } else {
                    self.on_ready(now, ready.token.0 as usize);
                }
            }
        }
    }

    fn execute(&mut self, command: ClientCommand) {
        match command {
            ClientCommand::SetRate { proxies, factor } => {
                for (number, proxy) in self.proxies.iter_mut().enumerate() {
                    if proxies.as_ref().is_none_or(|some| some.contains(&number)) {
                        proxy.factor = factor;
                    }
                }
            }
            ClientCommand::SetAddress { proxy, address } => self.proxies[proxy].address = address,
            ClientCommand::Finish => self.finishing = true,
        }
    }

    fn schedule(&mut self, at: Moment, due: Due) {
        self.last_sequence += 1;
        self.due.insert((at, self.last_sequence), due);
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.unit()).ln()
    }

    fn schedule_arrival(&mut self, now: Moment, proxy: usize) {
        let rate = self.proxies[proxy].base_rate * self.proxies[proxy].factor;
        let wait = if rate > 0.0 {
            self.exponential() / rate
        } else {
            0.1
        };
        self.schedule(
            now + Span::from_seconds(wait.min(5.0)),
            Due::Arrival { proxy },
        );
    }

    fn start_invocation(&mut self, now: Moment, proxy: usize) {
        if self.finishing {
            return;
        }
        self.schedule_arrival(now, proxy);
        if self.proxies[proxy].base_rate <= 0.0 {
            return;
        }
        let shares: f64 = self
            .script
            .traffic
            .operations
            .iter()
            .map(|operation| operation.share)
            .sum();
        let mut draw = self.rng.unit() * shares;
        let mut chosen = 0;
        for (at, operation) in self.script.traffic.operations.iter().enumerate() {
            chosen = at;
            draw -= operation.share;
            if draw < 0.0 {
                break;
            }
        }
        // Half of the mean work is fixed, the other half is exponentially distributed.
        let mean = self.script.traffic.operations[chosen].work.seconds();
        let work = mean * (0.5 + 0.5 * self.exponential().min(6.0));
        self.last_sequence += 1;
        let id = format!("{:x}-{:x}", self.last_sequence, self.rng.draw());
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

    fn operation_config(
        &self,
        invocation: &Invocation,
    ) -> &wheelspread_controller_core::deployment::OperationConfig {
        let name = &self.script.traffic.operations[invocation.operation].name;
        let operations = &self.script.deployment.operations;
        operations
            .iter()
            .find(|operation| operation.name == *name)
            .unwrap_or(&operations[0])
    }

    fn finish(
        &mut self,
        now: Moment,
        invocation: Invocation,
        outcome: ClientOutcome,
        unsent: bool,
    ) {
        let config = self.operation_config(&invocation);
        let (deadline, retry_class) = (
            invocation.arrived + config.integration_timeout,
            config.retry_class,
        );
        let is_safe = unsent || retry_class == RetryClass::Idempotent;
        let may_retry = invocation.attempt < self.script.traffic.retries && is_safe;
        let wait = Span::from_seconds(0.1 + 0.2 * self.rng.unit());
        if matches!(outcome, ClientOutcome::RateLimited | ClientOutcome::Errored)
            && may_retry
            && now + wait < deadline
        {
            return self.schedule(
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
        self.recorder.record(
            now,
            Record::InvocationEnded {
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
