//! How long a conductor takes from news to renamed files, and what CPU it costs, at two sizes in one run.
//! Proxies are streams and directories only.

use super::bench::{io, Bench};
use hdrhistogram::Histogram;
use prost::Message;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_controller_core::load_report::{
    LoadReport, Metric, NodeReport, OperationReport, LATENCY, UTILIZATION,
};
use wheelspread_controller_core::membership::Introduction;
use wheelspread_drill::{cpu_of, proxy_name, DrillError};
use wheelspread_files::{read_tables, CURRENT};
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor::{self as reactor, Interest, Moved, Poll, Token, Watcher};
use wheelspread_xds::loads;

#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub nodes: usize,
    pub proxies: usize,
    /// From a list that was swapped in to a proxy's renamed link, in milliseconds.
    pub list_to_link_ms_p50: f64,
    pub list_to_link_ms_p99: f64,
    pub swaps: u64,
    /// Seconds of CPU a second, with sums of every proxy coming once a second.
    pub cpu: f64,
    /// From the first stream to the last proxy's first tables, in milliseconds.
    pub all_joined_ms: f64,
}

const WATCHER: Token = Token(1 << 40);
const ZONES: [&str; 3] = ["a", "b", "c"];

struct Peer {
    connection: ClientConnection,
    zone: usize,
    accepted: bool,
}

pub fn file(listen: &str, proxies: usize) -> String {
    format!(
        "conductor: {{name: measured, listen: \"{listen}\", tables: tables, list: nodes.json}}
log: {{level: warn}}
deployment:
  zones: [a, b, c]
  operations:
    - {{name: quote, latency_objective: 1s, integration_timeout: 3s, billed_value: 2, repeat: idempotent}}
    - {{name: plan, latency_objective: 1s, integration_timeout: 3s, billed_value: 1, repeat: idempotent,
       stays_in_zone: true}}
  proxies: {{count: {proxies}, errors_until_avoided: 3, usual_rate: 3}}
  rules: {{without_node_at_most: 3s, drain_grace: 3s, cold_start_share: 0.2, warm_after: 10s,
          cold_overload_factor: 4, cold_overload_span: 2s}}
  channel: {{lines_waiting_at_most: 2000000, lines_per_second: 1000000, head_lines: 6, delay_at_most: 500ms}}
  sums: {{period: 1s, loads: [utilization]}}
"
    )
}

pub fn list(version: u64, nodes: usize, draining: &BTreeSet<usize>) -> EndpointSnapshot {
    let record = |at: usize| EndpointRecord {
        node: NodeId {
            address: [127, 0, 1 + (at / 200) as u8, 1 + (at % 200) as u8],
            port: 9000,
        },
        zone: ZONES[at % 3].to_string(),
        kind: String::new(),
        cell: String::new(),
        draining: draining.contains(&at),
        weight: 1.0,
        started: None,
    };
    EndpointSnapshot {
        version: version.to_string(),
        records: (0..nodes).map(record).collect(),
    }
}

/// What a proxy would tell that met its tables' nodes at its usual rate.
fn report(nodes: &[NodeId]) -> Vec<u8> {
    let met = |operation: &str| OperationReport {
        operation: operation.to_string(),
        nodes: nodes
            .iter()
            .map(|node| NodeReport {
                node: Some(*node),
                succeeded: 2,
                metrics: BTreeMap::from([
                    (
                        LATENCY.to_string(),
                        Metric {
                            count: 2,
                            total: 200.0,
                        },
                    ),
                    (
                        UTILIZATION.to_string(),
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
        operations: vec![met("quote"), met("plan")],
    };
    loads::request(&report, |_| String::new()).encode_to_vec()
}

pub fn measure(
    program: &Path,
    nodes: usize,
    proxies: usize,
    rounds: u32,
) -> Result<Measured, DrillError> {
    let mut stage = Stage::new(Bench::new(nodes)?, proxies)?;
    stage.bench.start(program, |listen| file(listen, proxies))?;
    stage.rounds(nodes, proxies, rounds)
}

/// A conductor with proxies that are streams and directories.
pub struct Stage {
    poll: Poll,
    watcher: Watcher,
    places: BTreeMap<PathBuf, usize>,
    peers: Vec<Peer>,
    /// By zone, what a proxy there tells in a period.
    told: BTreeMap<usize, Vec<u8>>,
    told_at: Moment,
    pub bench: Bench,
}

impl Stage {
    pub fn new(bench: Bench, proxies: usize) -> Result<Stage, DrillError> {
        let root = bench.root();
        let poll = Poll::new().map_err(io("epoll"))?;
        let mut watcher = Watcher::new(&poll, WATCHER).map_err(io("inotify"))?;
        let mut places: BTreeMap<PathBuf, usize> = BTreeMap::new();
        for proxy in 0..proxies {
            let gateway = root.gateway(&proxy_name(proxy));
            std::fs::create_dir_all(&gateway).map_err(io("a directory"))?;
            watcher.add(&gateway).map_err(io("a watch"))?;
            places.insert(gateway, proxy);
        }
        let (told, told_at) = (BTreeMap::new(), Moment::default());
        Ok(Stage {
            poll,
            watcher,
            places,
            peers: Vec::new(),
            told,
            told_at,
            bench,
        })
    }

    /// Lets streams go on until `until`; proxies whose links were swapped, and when.
    fn turn(&mut self, until: Moment, mut swapped: impl FnMut(usize, Moment) -> bool) {
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
                for moved in self.watcher.moved().unwrap_or_default() {
                    let Moved::Into { directory, name } = moved else {
                        continue;
                    };
                    if name == CURRENT
                        && self
                            .places
                            .get(&directory)
                            .is_some_and(|proxy| swapped(*proxy, now))
                    {
                        return;
                    }
                }
            }
        }
    }

    /// Every proxy opens its stream; how many milliseconds until the last has tables.
    pub fn join(&mut self, proxies: usize) -> Result<f64, DrillError> {
        let seconds = Span::from_seconds;
        let listen = self.bench.listen();
        let begin = reactor::now();
        // Of a conductor that was killed.
        self.peers.clear();
        for proxy in 0..proxies {
            let socket = reactor::connect(listen.0, listen.1).map_err(io("a stream"))?;
            self.poll
                .add(&socket, Token(proxy as u64), Interest::Edges)
                .map_err(io("a stream"))?;
            let mut connection =
                ClientConnection::new(begin, socket, loads::METHOD, Limits::default());
            let who = Introduction {
                name: proxy_name(proxy),
                zone: ZONES[proxy % 3].to_string(),
                usual_rate: None,
            };
            connection.send(&loads::introduce(&who).encode_to_vec());
            self.peers.push(Peer {
                connection,
                zone: proxy % 3,
                accepted: false,
            });
        }
        let mut first: BTreeSet<usize> = BTreeSet::new();
        let mut last = begin;
        self.turn(begin + seconds(20.0), |proxy, at| {
            if first.insert(proxy) {
                last = at;
            }
            first.len() == proxies
        });
        if first.len() < proxies {
            let text = format!("{} of {proxies} proxies got tables", first.len());
            return Err(DrillError::NotReady(text));
        }
        for zone in 0..3.min(proxies) {
            let held = read_tables(&self.bench.root().gateway(&proxy_name(zone)))
                .ok()
                .flatten();
            let lines: Option<Vec<NodeId>> = held.map(|held| {
                held.orders.operations[0]
                    .lines
                    .iter()
                    .map(|line| line.node)
                    .collect()
            });
            self.told.insert(zone, report(&lines.unwrap_or_default()));
        }
        Ok((last - begin).seconds() * 1e3)
    }

    /// Proxies tell what they met in the last second, once it is over.
    pub fn report_and_wait(&mut self, wait: f64) {
        let at = reactor::now();
        if at - self.told_at >= Span::from_seconds(1.0) {
            self.told_at = at;
            self.report(at);
        }
        self.turn(at + Span::from_seconds(wait), |_, _| false);
    }

    fn report(&mut self, at: Moment) {
        for (number, peer) in self.peers.iter_mut().enumerate() {
            peer.connection.send(&self.told[&peer.zone]);
            peer.connection.turn(at);
            debug_assert!(peer.accepted, "stream {number}");
        }
    }

    pub fn rounds(
        &mut self,
        nodes: usize,
        proxies: usize,
        rounds: u32,
    ) -> Result<Measured, DrillError> {
        let seconds = Span::from_seconds;
        let pid = self.bench.pid();
        let all_joined_ms = self.join(proxies)?;
        let mut times =
            Histogram::<u64>::new(3).map_err(|error| DrillError::NotReady(error.to_string()))?;
        let mut swaps = 0;
        let (cpu_before, since) = (cpu_of(pid), reactor::now());
        for round in 0..rounds {
            let at = reactor::now();
            self.report(at);
            self.turn(at + seconds(0.6), |_, _| false);
            // One node drains and the one before it comes back: lines of every table change.
            let draining = BTreeSet::from([(round as usize * 7) % nodes]);
            let at = reactor::now();
            self.bench.swap_list(u64::from(round) + 2, &draining)?;
            let mut seen = BTreeSet::new();
            let mut came = Vec::new();
            self.turn(at + seconds(0.4), |proxy, now| {
                if seen.insert(proxy) {
                    came.push(now - at);
                }
                false
            });
            for span in came {
                swaps += 1;
                let _ = times.record(span.micros().max(1) as u64);
            }
        }
        let spent = (reactor::now() - since).seconds();
        Ok(Measured {
            nodes,
            proxies,
            list_to_link_ms_p50: times.value_at_quantile(0.5) as f64 / 1e3,
            list_to_link_ms_p99: times.value_at_quantile(0.99) as f64 / 1e3,
            swaps,
            cpu: (cpu_of(pid) - cpu_before) / spent,
            all_joined_ms,
        })
    }
}
