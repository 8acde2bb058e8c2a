//! Stand-in proxies for measurements of a controller, each with only a load report stream and a table directory.

use super::controller_process::ControllerProcess;
use super::error::{io, MeasureError};
use super::fleet_config::{proxy_identity, zone_of, ZONES};
use super::sampling::FirstTables;
use prost::Message;
use std::collections::BTreeMap;
use std::path::PathBuf;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::load_report::{
    LoadReport, Metric, NodeReport, OperationReport, LATENCY_METRIC, UTILIZATION_METRIC,
};
use wheelspread_drill::proxy_name;
use wheelspread_files::{read_tables, CURRENT};
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor::{self as reactor, FsEvent, Interest, Poll, Token, Watcher};
use wheelspread_xds::loads;

/// The time limit for all proxies to receive their first tables.
const JOIN_TIMEOUT: Span = Span::from_seconds(20.0);
/// The interval of a proxy's load reports.
const REPORT_PERIOD: Span = Span::from_seconds(1.0);
/// The token of the directory watcher; a proxy's token is its index, which is always smaller.
const WATCHER: Token = Token(1 << 40);

/// A proxy's connection to the controller.
struct Peer {
    connection: ClientConnection,
    zone: usize,
    accepted: bool,
}

/// The encoded load report of a proxy that sent requests to `nodes` at the usual rate.
fn load_report(nodes: &[NodeId]) -> Vec<u8> {
    let operation_report = |operation: &str| OperationReport {
        operation: operation.to_string(),
        nodes: nodes
            .iter()
            .map(|node| NodeReport {
                node: Some(*node),
                succeeded: 2,
                metrics: BTreeMap::from([
                    (
                        LATENCY_METRIC.to_string(),
                        Metric {
                            count: 2,
                            total: 200.0,
                        },
                    ),
                    (
                        UTILIZATION_METRIC.to_string(),
                        Metric {
                            count: 2,
                            total: 0.8,
                        },
                    ),
                ]),
                ..NodeReport::default()
            })
            .collect(),
        ..OperationReport::default()
    };
    let report = LoadReport {
        window: Span::from_seconds(1.0),
        operations: vec![operation_report("quote"), operation_report("plan")],
    };
    loads::request(&report, |_| String::new()).encode_to_vec()
}

/// The stand-in proxies of one controller, each with a load report stream and a directory whose link is swapped.
pub struct FileProxies {
    poll: Poll,
    watcher: Watcher,
    directories: BTreeMap<PathBuf, usize>,
    peers: Vec<Peer>,
    /// The load report that a proxy sends in each period, by the proxy's zone.
    reports: BTreeMap<usize, Vec<u8>>,
    reported_at: Moment,
    /// The controller that serves the proxies.
    pub controller: ControllerProcess,
}

impl FileProxies {
    /// Creates and watches the proxies' directories, without opening connections.
    pub fn new(controller: ControllerProcess, proxies: usize) -> Result<FileProxies, MeasureError> {
        let root = controller.root();
        let poll = Poll::new().map_err(io("epoll"))?;
        let mut watcher = Watcher::new(&poll, WATCHER).map_err(io("inotify"))?;
        let mut directories: BTreeMap<PathBuf, usize> = BTreeMap::new();
        for proxy in 0..proxies {
            let directory = root.proxy(&proxy_name(proxy));
            std::fs::create_dir_all(&directory).map_err(io("a directory"))?;
            watcher.add(&directory).map_err(io("a watch"))?;
            directories.insert(directory, proxy);
        }
        Ok(FileProxies {
            poll,
            watcher,
            directories,
            peers: Vec::new(),
            reports: BTreeMap::new(),
            reported_at: Moment::default(),
            controller,
        })
    }

    /// Handles events until `until`. Calls `swapped` with each proxy whose link was swapped and the time of the swap, and
    /// returns early if it returns `true`.
    pub fn run_until(&mut self, until: Moment, mut swapped: impl FnMut(usize, Moment) -> bool) {
        let mut ready = Vec::new();
        loop {
            let now = reactor::now();
            if now >= until || self.poll.wait(until - now, &mut ready).is_err() {
                return;
            }
            let now = reactor::now();
            for ready in ready.drain(..) {
                if ready.token != WATCHER {
                    let peer = &mut self.peers[ready.token.0 as usize];
                    let (events, _) = peer.connection.turn(now);
                    peer.accepted |= events
                        .iter()
                        .any(|event| matches!(event, ClientEvent::Message { .. }));
                    continue;
                }
                for proxy in self.swapped_links() {
                    if swapped(proxy, now) {
                        return;
                    }
                }
            }
        }
    }

    /// Proxies whose links were swapped since the last call.
    fn swapped_links(&mut self) -> Vec<usize> {
        let moved = self.watcher.events().unwrap_or_default();
        let swapped = moved.into_iter().filter_map(|moved| match moved {
            FsEvent::File { directory, name } if name == CURRENT => {
                self.directories.get(&directory).copied()
            }
            _ => None,
        });
        swapped.collect()
    }

    /// Opens every proxy's stream; returns the time until the last proxy has tables, in milliseconds.
    pub fn join(&mut self, proxies: usize) -> Result<f64, MeasureError> {
        let listen = self.controller.listen();
        let begin = reactor::now();
        // Drop the connections to a controller that was killed.
        self.peers.clear();
        for proxy in 0..proxies {
            let socket = reactor::connect(listen.0, listen.1).map_err(io("a stream"))?;
            self.poll
                .add(&socket, Token(proxy as u64), Interest::Edges)
                .map_err(io("a stream"))?;
            let mut connection =
                ClientConnection::new(begin, socket, loads::METHOD, Limits::default());
            connection.send(&loads::identity_request(&proxy_identity(proxy)).encode_to_vec());
            self.peers.push(Peer {
                connection,
                zone: zone_of(proxy),
                accepted: false,
            });
        }
        let mut first_tables = FirstTables::since(begin);
        self.run_until(begin + JOIN_TIMEOUT, |proxy, at| {
            first_tables.record(proxy, at) == proxies
        });
        let all_joined_ms = first_tables.all_joined_ms(proxies, "proxies")?;
        self.prepare_reports(proxies);
        Ok(all_joined_ms)
    }

    /// Prepares each zone's load report from the nodes in the zone's first tables.
    fn prepare_reports(&mut self, proxies: usize) {
        for zone in 0..ZONES.len().min(proxies) {
            let tables = read_tables(&self.controller.root().proxy(&proxy_name(zone)))
                .ok()
                .flatten();
            let nodes: Option<Vec<NodeId>> = tables.map(|tables| {
                tables.tables.operations[0]
                    .entries
                    .iter()
                    .map(|line| line.node)
                    .collect()
            });
            self.reports
                .insert(zone, load_report(&nodes.unwrap_or_default()));
        }
    }

    /// Sends reports if the last ones are at least a period old, then handles events for `wait` seconds.
    pub fn report_and_wait(&mut self, wait: f64) {
        let at = reactor::now();
        if at - self.reported_at >= REPORT_PERIOD {
            self.reported_at = at;
            self.report(at);
        }
        self.run_until(at + Span::from_seconds(wait), |_, _| false);
    }

    /// Sends every proxy's load report.
    pub fn report(&mut self, at: Moment) {
        for (index, peer) in self.peers.iter_mut().enumerate() {
            peer.connection.send(&self.reports[&peer.zone]);
            peer.connection.turn(at);
            debug_assert!(peer.accepted, "stream {index}");
        }
    }
}
