//! Proxies that are load report streams and directories only, for measurements of a controller.

use super::controller_process::ControllerProcess;
use super::error::{io, MeasureError};
use super::fleet_config::{introduction, zone_of, ZONES};
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

/// How long all proxies together may take until they have tables.
const JOIN_TIMEOUT: Span = Span::from_seconds(20.0);
/// The interval of a proxy's load reports.
const REPORT_PERIOD: Span = Span::from_seconds(1.0);
/// Apart from the proxies' numbers, which are their tokens.
const WATCHER: Token = Token(1 << 40);

/// A proxy's connection to the controller.
struct Peer {
    connection: ClientConnection,
    zone: usize,
    accepted: bool,
}

/// The load report of a proxy that sent requests to its tables' nodes at the usual rate.
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

/// Proxies of one controller, each a load report stream and a directory whose link is swapped.
pub struct FileProxies {
    poll: Poll,
    watcher: Watcher,
    directories: BTreeMap<PathBuf, usize>,
    peers: Vec<Peer>,
    /// By zone, the load report that a proxy there sends in each period.
    reports: BTreeMap<usize, Vec<u8>>,
    reported_at: Moment,
    /// The controller that they are served by.
    pub controller: ControllerProcess,
}

impl FileProxies {
    /// Prepares the proxies' directories; nothing connects yet.
    pub fn new(controller: ControllerProcess, proxies: usize) -> Result<FileProxies, MeasureError> {
        let root = controller.root();
        let poll = Poll::new().map_err(io("epoll"))?;
        let mut watcher = Watcher::new(&poll, WATCHER).map_err(io("inotify"))?;
        let mut directories: BTreeMap<PathBuf, usize> = BTreeMap::new();
        for proxy in 0..proxies {
            let gateway = root.proxy(&proxy_name(proxy));
            std::fs::create_dir_all(&gateway).map_err(io("a directory"))?;
            watcher.add(&gateway).map_err(io("a watch"))?;
            directories.insert(gateway, proxy);
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

    /// Lets streams go on until `until`; `swapped` gets each proxy whose link was swapped and when, and ends it with `true`.
    pub fn turn(&mut self, until: Moment, mut swapped: impl FnMut(usize, Moment) -> bool) {
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

    /// Every proxy opens its stream; how many milliseconds until the last has tables.
    pub fn join(&mut self, proxies: usize) -> Result<f64, MeasureError> {
        let listen = self.controller.listen();
        let begin = reactor::now();
        // Connections to a controller that was killed.
        self.peers.clear();
        for proxy in 0..proxies {
            let socket = reactor::connect(listen.0, listen.1).map_err(io("a stream"))?;
            self.poll
                .add(&socket, Token(proxy as u64), Interest::Edges)
                .map_err(io("a stream"))?;
            let mut connection =
                ClientConnection::new(begin, socket, loads::METHOD, Limits::default());
            connection.send(&loads::identity_request(&introduction(proxy)).encode_to_vec());
            self.peers.push(Peer {
                connection,
                zone: zone_of(proxy),
                accepted: false,
            });
        }
        let mut first = FirstTables::since(begin);
        self.turn(begin + JOIN_TIMEOUT, |proxy, at| {
            first.record(proxy, at) == proxies
        });
        let all_joined_ms = first.all_joined_ms(proxies, "proxies")?;
        self.prepare_reports(proxies);
        Ok(all_joined_ms)
    }

    /// Reports follow the nodes in each zone's first tables.
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

    /// Lets streams go on for `wait` seconds; first sends reports if the last ones are a period old.
    pub fn report_and_wait(&mut self, wait: f64) {
        let at = reactor::now();
        if at - self.reported_at >= REPORT_PERIOD {
            self.reported_at = at;
            self.report(at);
        }
        self.turn(at + Span::from_seconds(wait), |_, _| false);
    }

    /// Every proxy sends its load report.
    pub fn report(&mut self, at: Moment) {
        for (number, peer) in self.peers.iter_mut().enumerate() {
            peer.connection.send(&self.reports[&peer.zone]);
            peer.connection.turn(at);
            debug_assert!(peer.accepted, "stream {number}");
        }
    }
}
