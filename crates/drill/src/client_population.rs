//! Stand-in clients: invocations that come by chance and don't wait for each other, with a patience of
//! their own and, where it is safe, another attempt.

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
    ) -> &wheelspread_controller_core::deployment::OperationConfig {
        let name = &self.script.traffic.operations[invocation.operation].name;
        let plans = &self.script.deployment.operations;
        plans
            .iter()
            .find(|plan| plan.name == *name)
            .unwrap_or(&plans[0])
    }

    fn end(&mut self, now: Moment, invocation: Invocation, outcome: ClientOutcome, unsent: bool) {
        let plan = self.plan(&invocation);
        let (deadline, repeat) = (
            invocation.arrived + plan.integration_timeout,
            plan.retry_class,
        );
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
