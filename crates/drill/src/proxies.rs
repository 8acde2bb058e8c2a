//! The proxies of a drill: real proxies, all on one event loop, with a recorder of what they do.

use crate::records::{EntriesByOperation, Record, Recorder};
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

/// Commands to the thread of the proxies.
pub enum ProxyCommand {
    /// Kills a proxy without notice.
    Kill(usize),
    /// Starts a proxy on a new port and without tables; sends its address, or `None` if it did not start.
    Start(Box<ProxyConfig>, usize, Sender<Option<SocketAddr>>),
    /// Ends the thread.
    End,
}

impl WorkerCommand for ProxyCommand {
    const STOP: ProxyCommand = ProxyCommand::End;
}

/// The numbers of the proxies that have applied tables.
type ProxiesWithTables = Arc<Mutex<BTreeSet<usize>>>;

/// The handle of the thread in which all proxies of a drill run.
pub struct Proxies {
    proxies_with_tables: ProxiesWithTables,
    worker: Worker<ProxyCommand>,
}

impl Proxies {
    /// Starts the thread, without proxies. With `always_joined`, each proxy is recorded as joined to controller
    /// 0 at its start, for drills without controllers.
    pub fn start(recorder: Recorder, always_joined: bool) -> std::io::Result<Proxies> {
        let proxies_with_tables = ProxiesWithTables::default();
        let shared = proxies_with_tables.clone();
        let worker = Worker::spawn("gateways", Poll::new()?, move |poll, inbox| {
            run(poll, inbox, recorder, always_joined, shared);
        })?;
        Ok(Proxies {
            proxies_with_tables,
            worker,
        })
    }

    /// Whether a proxy has ever applied tables.
    pub fn has_tables(&self, proxy: usize) -> bool {
        self.proxies_with_tables
            .lock()
            .is_ok_and(|proxies_with_tables| proxies_with_tables.contains(&proxy))
    }

    /// Sends a command to the thread.
    pub fn send(&self, command: ProxyCommand) {
        self.worker.send(command);
    }

    /// Starts a proxy and waits for its address; `None` if it did not start.
    pub fn add(&self, config: ProxyConfig, number: usize) -> Option<SocketAddr> {
        let (reply, replied) = channel();
        self.send(ProxyCommand::Start(Box::new(config), number, reply));
        replied.recv().ok().flatten()
    }
}

fn run(
    mut poll: Poll,
    inbox: Inbox<ProxyCommand>,
    recorder: Recorder,
    always_joined: bool,
    proxies_with_tables: ProxiesWithTables,
) {
    let mut proxies: Vec<Option<Proxy<ProxyRecorder>>> = Vec::new();
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
                    // A failed watch shows in the records: the proxy applies no tables.
                    let _ = proxy.on_ready(&poll, now, ready);
                }
                continue;
            }
            for command in inbox.take() {
                match command {
                    ProxyCommand::End => return,
                    ProxyCommand::Kill(proxy) => {
                        proxies[proxy] = None;
                        recorder.record(now, Record::ProxyKilled { proxy });
                    }
                    ProxyCommand::Start(config, proxy, reply) => {
                        if proxies.len() <= proxy {
                            proxies.resize_with(proxy + 1, || None);
                        }
                        let streams = config.table_source == TableSource::Stream;
                        let proxy_recorder = ProxyRecorder {
                            recorder: recorder.clone(),
                            proxies_with_tables: proxies_with_tables.clone(),
                            proxy,
                            controller: 0,
                            streams,
                        };
                        if always_joined {
                            recorder.record(
                                now,
                                Record::Joined {
                                    proxy,
                                    controller: 0,
                                },
                            );
                        }
                        let started =
                            Proxy::start(&poll, now, proxy as u32, *config, proxy_recorder).ok();
                        let _ = reply.send(started.as_ref().and_then(|proxy| proxy.address().ok()));
                        proxies[proxy] = started;
                    }
                }
            }
        }
    }
}

/// The configuration of a proxy. Its source address identifies its zone and number.
pub fn proxy_config(
    script: &Script,
    proxy: usize,
    zone: usize,
    endpoints: &[(SocketAddrV4, PathBuf)],
    seed: u64,
    treats_all_as_idempotent: bool,
    without_controllers: bool,
) -> ProxyConfig {
    let deployment = &script.deployment;
    let count = endpoints.len();
    let controllers = (0..count).map(|at| &endpoints[(proxy + at) % count]);
    let rules =
        |operation: &wheelspread_controller_core::deployment::OperationConfig| OperationRules {
            name: operation.name.clone(),
            retry_safety: match operation.retry_class {
                // For the violation of rule 2: the proxy retries whatever its tables allow.
                _ if treats_all_as_idempotent => RetrySafety::Idempotent,
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
        max_buffer_bytes: 64 << 20,
        max_client_connections: 5000,
        max_connections_per_node: 64,
        timeouts: Timeouts {
            node_idle: deployment.proxies.connection_idle,
            reconnect_delay: Span::from_seconds(0.7),
            ..Timeouts::default()
        },
        publishes_status: true,
        follows_unjoined: without_controllers,
        tls: None,
        table_source: if deployment.table_delivery.files {
            TableSource::Files
        } else {
            TableSource::Stream
        },
    }
}

/// The name of a proxy, as used by controllers and directories.
pub fn proxy_name(proxy: usize) -> String {
    format!("gateway-{proxy:03}")
}

/// Records what one proxy does.
struct ProxyRecorder {
    recorder: Recorder,
    proxies_with_tables: ProxiesWithTables,
    proxy: usize,
    controller: usize,
    streams: bool,
}

/// The entries of loaded tables, by operation.
pub fn entries_by_operation(loaded: &LoadedTables) -> EntriesByOperation {
    let entry =
        |entry: &wheelspread_controller_core::TableEntry| (format_node(entry.node), entry.weight);
    let by_operation = |table: &wheelspread_xds::tables::ProxyTable| {
        (
            table.operation.clone(),
            table.entries.iter().map(entry).collect(),
        )
    };
    loaded.tables.operations.iter().map(by_operation).collect()
}

impl RequestObserver for ProxyRecorder {
    fn attempt_sent(&mut self, now: Moment, id: &str, operation: &str, node: NodeId, number: u32) {
        let (proxy, id, node) = (self.proxy, id.to_string(), format_node(node));
        let operation = operation.to_string();
        self.recorder.record(
            now,
            Record::AttemptSent {
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
        self.recorder.record(
            now,
            Record::AttemptEnded {
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
        self.recorder.record(
            now,
            Record::RequestFinished {
                proxy: self.proxy,
                id: id.to_string(),
                outcome,
            },
        );
    }

    fn tables_applied(&mut self, now: Moment, loaded: &LoadedTables) {
        let (version, hash) = (loaded.tables.version.0, loaded.hash.clone());
        let (proxy, controller) = (self.proxy, self.controller);
        if let Ok(mut proxies_with_tables) = self.proxies_with_tables.lock() {
            proxies_with_tables.insert(proxy);
        }
        if self.streams {
            // No directory shows published tables, so that their arrival over the stream counts as the swap.
            let (hash, entries) = (hash.clone(), entries_by_operation(loaded));
            self.recorder.record(
                now,
                Record::TablesSwapped {
                    controller,
                    proxy,
                    version,
                    hash,
                    entries,
                },
            );
        }
        self.recorder.record(
            now,
            Record::Tables {
                proxy,
                controller,
                version,
                hash,
                entries: entries_by_operation(loaded),
            },
        );
    }

    fn tables_rejected(&mut self, now: Moment, reason: &str) {
        self.recorder.record(
            now,
            Record::TablesRejected {
                proxy: self.proxy,
                reason: reason.to_string(),
            },
        );
    }

    fn controller_joined(&mut self, now: Moment, controller: usize, of: usize) {
        // `controller` is an index into the proxy's own list, which starts with its preferred controller.
        self.controller = (self.proxy + controller) % of;
        self.recorder.record(
            now,
            Record::Joined {
                proxy: self.proxy,
                controller: self.controller,
            },
        );
    }

    fn controller_left(&mut self, now: Moment, _reason: &str) {
        self.recorder
            .record(now, Record::Left { proxy: self.proxy });
    }
}
