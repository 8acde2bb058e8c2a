//! The proxies of a drill: real proxies, several on one loop, and what they did written down.

use crate::records::{Lines, Record, Recorder};
use crate::script::Script;
use crate::stand_in_server::proxy_address;
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_files::LoadedTables;
use wheelspread_proxy::observer::RequestOutcome;
use wheelspread_proxy::{
    ControllerEndpoint, Proxy, ProxyConfig, RequestObserver, TableSource, Timeouts,
};
use wheelspread_proxy_core::{
    CoreConfig, EjectionPolicy, Failure, OperationRules, RetryBudgetConfig, RetrySafety,
    SelectionPolicy,
};
use wheelspread_reactor::{self as reactor, Poll};

/// What the proxies' thread is told.
pub enum ProxyCommand {
    /// The proxy of this number ends without notice.
    Die(usize),
    /// It comes back, on a new port, knowing nothing; the address is told.
    Start(Box<ProxyConfig>, usize, Sender<Option<SocketAddr>>),
    /// The thread ends.
    End,
}

impl WorkerCommand for ProxyCommand {
    const STOP: ProxyCommand = ProxyCommand::End;
}

/// Proxies that hold tables.
type Holding = Arc<Mutex<BTreeSet<usize>>>;

/// The handle of the thread in which all proxies of a drill run.
pub struct Proxies {
    holding: Holding,
    worker: Worker<ProxyCommand>,
}

impl Proxies {
    /// Starts the thread without proxies. `joined_always`: there is no controller to join.
    pub fn start(recorder: Recorder, joined_always: bool) -> std::io::Result<Proxies> {
        let holding = Holding::default();
        let held = holding.clone();
        let worker = Worker::spawn("gateways", Poll::new()?, move |poll, inbox| {
            run(poll, inbox, recorder, joined_always, held);
        })?;
        Ok(Proxies { holding, worker })
    }

    /// Whether a proxy ever held tables.
    pub fn held(&self, proxy: usize) -> bool {
        self.holding
            .lock()
            .is_ok_and(|holding| holding.contains(&proxy))
    }

    /// Sends a command to the thread.
    pub fn send(&self, command: ProxyCommand) {
        self.worker.send(command);
    }

    /// Starts a proxy and waits for its address; none: it did not start.
    pub fn add(&self, plan: ProxyConfig, number: usize) -> Option<SocketAddr> {
        let (tell, told) = channel();
        self.send(ProxyCommand::Start(Box::new(plan), number, tell));
        told.recv().ok().flatten()
    }
}

fn run(
    mut poll: Poll,
    inbox: Inbox<ProxyCommand>,
    recorder: Recorder,
    joined_always: bool,
    holding: Holding,
) {
    let mut proxies: Vec<Option<Proxy<Seen>>> = Vec::new();
    let mut ready = Vec::new();
    loop {
        let now = reactor::now();
        let mut wake = now + Span::from_seconds(1.0);
        for proxy in proxies.iter_mut().flatten() {
            proxy.run_due_work(&poll, now);
            wake = wake.min(proxy.next_wakeup(now));
        }
        if poll.wait(wake - reactor::now(), &mut ready).is_err() {
            return;
        }
        let now = reactor::now();
        for ready in ready.drain(..) {
            if ready.token != INBOX {
                let number = (ready.token.0 >> 32) as usize;
                if let Some(proxy) = proxies.get_mut(number).and_then(Option::as_mut) {
                    // A watch that fails shows as tables that are never taken.
                    let _ = proxy.on_ready(&poll, now, ready);
                }
                continue;
            }
            for order in inbox.take() {
                match order {
                    ProxyCommand::End => return,
                    ProxyCommand::Die(proxy) => {
                        proxies[proxy] = None;
                        recorder.note(now, Record::Died { proxy });
                    }
                    ProxyCommand::Start(plan, proxy, tell) => {
                        if proxies.len() <= proxy {
                            proxies.resize_with(proxy + 1, || None);
                        }
                        let streams = plan.table_source == TableSource::Stream;
                        let seen = Seen {
                            recorder: recorder.clone(),
                            holding: holding.clone(),
                            proxy,
                            controller: 0,
                            streams,
                        };
                        if joined_always {
                            recorder.note(
                                now,
                                Record::Joined {
                                    proxy,
                                    controller: 0,
                                },
                            );
                        }
                        let started = Proxy::start(&poll, now, proxy as u32, *plan, seen).ok();
                        let _ = tell.send(started.as_ref().and_then(|proxy| proxy.address().ok()));
                        proxies[proxy] = started;
                    }
                }
            }
        }
    }
}

/// Proxies as the script has them, calling from addresses that tell who they are.
pub fn plan(
    script: &Script,
    proxy: usize,
    zone: usize,
    endpoints: &[(SocketAddrV4, PathBuf)],
    seed: u64,
    trusting: bool,
    follows: bool,
) -> ProxyConfig {
    let deployment = &script.deployment;
    let count = endpoints.len();
    let controllers = (0..count).map(|at| &endpoints[(proxy + at) % count]);
    let rules =
        |operation: &wheelspread_controller_core::deployment::OperationConfig| OperationRules {
            name: operation.name.clone(),
            retry_safety: match operation.retry_class {
                // A proxy that trusts its tables blindly, to see the audit find what comes of it.
                _ if trusting => RetrySafety::Idempotent,
                RetryClass::Idempotent => RetrySafety::Idempotent,
                RetryClass::Fingerprinted => RetrySafety::Fingerprinted {
                    window: operation.retry_window,
                },
                RetryClass::SideEffecting => RetrySafety::SideEffecting,
            },
            integration_timeout: operation.integration_timeout,
        };
    ProxyConfig {
        name: proxy_name(proxy),
        zone: deployment.zones[zone].clone(),
        listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        source: Some(proxy_address(zone, proxy)),
        usual_rate: None,
        seed: seed.wrapping_add(proxy as u64),
        controllers: controllers
            .map(|(reports, tables)| ControllerEndpoint {
                reports: *reports,
                tables: tables.clone(),
            })
            .collect(),
        core: CoreConfig {
            operations: deployment.operations.iter().map(rules).collect(),
            selection: SelectionPolicy::WeightedRandom,
            ejection: EjectionPolicy {
                consecutive_failures: deployment.proxies.errors_until_avoided,
                ejection_time: Span::from_seconds(4.0),
            },
            retry_budget: RetryBudgetConfig {
                ratio: 0.2,
                burst: 20.0,
            },
            max_in_flight_per_node: 0,
        },
        max_head_bytes: 16 << 10,
        max_body_bytes: 1 << 16,
        max_client_connections: 5000,
        max_connections_per_node: 64,
        timeouts: Timeouts {
            node_idle: deployment.proxies.connection_idle,
            reconnect_delay: Span::from_seconds(0.7),
            ..Timeouts::default()
        },
        publishes_status: true,
        follows_unjoined: follows,
        tls: None,
        table_source: if deployment.table_delivery.files {
            TableSource::Files
        } else {
            TableSource::Stream
        },
    }
}

/// The name of a proxy by its number, as controllers and directories know it.
pub fn proxy_name(proxy: usize) -> String {
    format!("gateway-{proxy:03}")
}

/// Writes down what one proxy does.
struct Seen {
    recorder: Recorder,
    holding: Holding,
    proxy: usize,
    controller: usize,
    streams: bool,
}

/// The entries of tables that a reader holds.
pub fn lines(held: &LoadedTables) -> Lines {
    let line =
        |line: &wheelspread_controller_core::TableEntry| (format_node(line.node), line.weight);
    let of = |told: &wheelspread_xds::tables::ProxyTable| {
        (
            told.operation.clone(),
            told.entries.iter().map(line).collect(),
        )
    };
    held.tables.operations.iter().map(of).collect()
}

impl RequestObserver for Seen {
    fn attempt_sent(&mut self, now: Moment, id: &str, operation: &str, node: NodeId, number: u32) {
        let (proxy, id, node) = (self.proxy, id.to_string(), format_node(node));
        let operation = operation.to_string();
        self.recorder.note(
            now,
            Record::Sent {
                proxy,
                id,
                operation,
                node,
                number,
            },
        );
    }

    fn attempt_ended(
        &mut self,
        now: Moment,
        id: &str,
        node: NodeId,
        number: u32,
        failure: Option<Failure>,
    ) {
        let outcome = failure.map_or("succeeded".to_string(), |failure| {
            format!("{failure:?}").to_lowercase()
        });
        let (proxy, id, node) = (self.proxy, id.to_string(), format_node(node));
        self.recorder.note(
            now,
            Record::Ended {
                proxy,
                id,
                node,
                number,
                outcome,
            },
        );
    }

    fn request_finished(&mut self, now: Moment, id: &str, outcome: RequestOutcome) {
        let outcome = match outcome {
            RequestOutcome::Upstream(status) => format!("node-{status}"),
            RequestOutcome::RateLimited => "rate-limited".to_string(),
            RequestOutcome::NoNode => "no-node".to_string(),
            RequestOutcome::Failed(failure) => format!("{failure:?}").to_lowercase(),
            RequestOutcome::ClientGone => "client-gone".to_string(),
        };
        self.recorder.note(
            now,
            Record::Answered {
                proxy: self.proxy,
                id: id.to_string(),
                outcome,
            },
        );
    }

    fn tables_applied(&mut self, now: Moment, held: &LoadedTables) {
        let (version, hash) = (held.tables.version.0, held.hash.clone());
        let (proxy, controller) = (self.proxy, self.controller);
        if let Ok(mut holding) = self.holding.lock() {
            holding.insert(proxy);
        }
        if self.streams {
            // No directory shows what was sent: what came over its stream does.
            let (hash, lines) = (hash.clone(), lines(held));
            self.recorder.note(
                now,
                Record::Swapped {
                    controller,
                    proxy,
                    version,
                    hash,
                    lines,
                },
            );
        }
        self.recorder.note(
            now,
            Record::Tables {
                proxy,
                controller,
                version,
                hash,
                lines: lines(held),
            },
        );
    }

    fn tables_rejected(&mut self, now: Moment, reason: &str) {
        self.recorder.note(
            now,
            Record::TablesRefused {
                proxy: self.proxy,
                reason: reason.to_string(),
            },
        );
    }

    fn controller_joined(&mut self, now: Moment, controller: usize, of: usize) {
        // Told by its place among the proxy's own controllers, which begin with its usual one.
        self.controller = (self.proxy + controller) % of;
        self.recorder.note(
            now,
            Record::Joined {
                proxy: self.proxy,
                controller: self.controller,
            },
        );
    }

    fn controller_left(&mut self, now: Moment, _reason: &str) {
        self.recorder.note(now, Record::Left { proxy: self.proxy });
    }
}
