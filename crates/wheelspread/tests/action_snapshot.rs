//! Runs the balancer on three generated event streams with fixed seeds and compares all actions with recorded
//! snapshots. A refactoring must not change the snapshots.
//!
//! The streams contain joins and leaves, load reports, endpoint list changes, drains, warming nodes, lost reports,
//! late acknowledgements and a restart. The actions are written in a notation of this file, not with `Debug`, so
//! that renaming a type does not change a snapshot.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use wheelspread::ids::*;
use wheelspread::pcg::Pcg;
use wheelspread::settings::{SettingValue, Settings};
use wheelspread::time::{Moment, Span};
use wheelspread::Balancer;
use wheelspread::*;

const START_SECONDS: f64 = 5000.0;
const STEP_SECONDS: f64 = 0.1;
const STEP_COUNT: usize = 500;
const RESTART_AT_STEP: usize = 380;

struct FleetSpec {
    settings: Vec<(&'static str, &'static str)>,
    zones: u16,
    nodes: u8,
    proxies: u16,
    /// Requests per second that one proxy receives.
    proxy_rate: f64,
    /// Requests per second that one node can serve.
    node_rate: f64,
    /// Names of the metrics that nodes report, for the settings `report.field.N`.
    metrics: &'static [&'static str],
    /// Whether another controller sends gossip.
    has_peers: bool,
}

struct World {
    fleet: FleetSpec,
    random: Pcg,
    balancer: Balancer,
    step: usize,
    nodes: BTreeMap<u8, SimulatedNode>,
    joined: BTreeSet<u16>,
    /// Markers that are not acknowledged yet, with the step in which the acknowledgements follow.
    pending_markers: Vec<(usize, MarkerId)>,
    log: String,
}

struct SimulatedNode {
    status: EndpointStatus,
    started: Option<Moment>,
    failing: bool,
}

fn node_id(number: u8) -> NodeId {
    NodeId {
        address: [10, 1, number / 16, number],
        port: 9000,
    }
}

/// Settings of all three fleets.
const COMMON_SETTINGS: [(&str, &str); 34] = [
    ("conductor.count", "1"),
    ("conductor.tick", "0.05"),
    ("operation.count", "3"),
    ("channel.lines_waiting_at_most", "3000"),
    ("channel.lines_per_second", "2000"),
    ("channel.head_lines", "5"),
    ("channel.delay_at_most", "0.5"),
    ("channel.messages_at_most", "24"),
    ("channel.messages_window", "10"),
    ("proxy.errors_until_avoided", "3"),
    ("proxy.connection_idle", "5"),
    ("sums.period", "1"),
    ("level.form", "share"),
    ("price.cross_zone", "0.05"),
    ("peers.may_tell", "false"),
    ("rules.cold_overload_factor", "3"),
    ("rules.cold_start_share", "0.2"),
    ("rules.warm_after", "8"),
    ("rules.drain_grace", "2"),
    ("operation.0.latency_objective", "0.5"),
    ("operation.0.integration_timeout", "2"),
    ("operation.0.billed_value", "1"),
    ("operation.0.repeat", "idempotent"),
    ("operation.1.latency_objective", "1"),
    ("operation.1.integration_timeout", "4"),
    ("operation.1.billed_value", "3"),
    ("operation.1.repeat", "fingerprinted"),
    ("operation.1.repeat_group", "all"),
    ("operation.1.repeat_window", "5"),
    ("operation.1.stays_in_zone", "true"),
    ("operation.2.latency_objective", "1"),
    ("operation.2.integration_timeout", "4"),
    ("operation.2.billed_value", "2"),
    ("operation.2.repeat", "side-effecting"),
];

fn settings(fleet: &FleetSpec) -> Settings {
    let mut settings = Settings::default();
    let counts = [
        ("zone.count", fleet.zones.to_string()),
        ("proxy.count", fleet.proxies.to_string()),
    ];
    let metrics = fleet
        .metrics
        .iter()
        .enumerate()
        .map(|(index, name)| (format!("report.field.{index}"), name.to_string()));
    let fixed_settings = COMMON_SETTINGS
        .iter()
        .chain(&fleet.settings)
        .map(|(name, value)| (name.to_string(), value.to_string()));
    for (name, value) in fixed_settings
        .chain(counts.map(|(name, value)| (name.to_string(), value)))
        .chain(metrics)
    {
        let value = match (value.parse::<f64>(), value.as_str()) {
            (Ok(number), _) => SettingValue::Number(number),
            (_, "true") => SettingValue::Flag(true),
            (_, "false") => SettingValue::Flag(false),
            _ => SettingValue::Text(value),
        };
        settings.0.insert(name, value);
    }
    settings
}

impl World {
    fn new(fleet: FleetSpec, seed: u64) -> World {
        let now = Moment::from_seconds(START_SECONDS);
        let balancer =
            Balancer::start(now, seed, settings(&fleet)).expect("the settings are complete");
        let ready_node = |number| {
            (
                number,
                SimulatedNode {
                    status: EndpointStatus::Ready,
                    started: None,
                    failing: false,
                },
            )
        };
        World {
            random: Pcg::new(seed),
            balancer,
            step: 0,
            nodes: (0..fleet.nodes).map(ready_node).collect(),
            joined: BTreeSet::new(),
            pending_markers: Vec::new(),
            log: String::new(),
            fleet,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_seconds(START_SECONDS + self.step as f64 * STEP_SECONDS)
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.unit() < probability
    }

    fn zone_of_node(&self, number: u8) -> ZoneId {
        ZoneId(u16::from(number) % self.fleet.zones)
    }

    fn handle(&mut self, event: &Event) {
        let now = self.now();
        if let Err(error) = self.balancer.handle_event(now, event) {
            let error = error.to_string();
            writeln!(
                self.log,
                "{} refused, {} bytes",
                self.step,
                error.len().min(1)
            )
            .expect("writing to a string succeeds");
        }
    }

    fn entry(&self, number: u8) -> EndpointEntry {
        let node = &self.nodes[&number];
        EndpointEntry {
            node: node_id(number),
            zone: self.zone_of_node(number),
            kind: KindId(number % 2),
            cell: CellId(u16::from(number % 4)),
            status: node.status,
            weight: 1.0 + f64::from(number % 2),
            started: node.started,
        }
    }

    fn publish_list(&mut self, kind: EndpointListKind, numbers: &[u8]) {
        let entries = numbers.iter().map(|number| self.entry(*number)).collect();
        self.handle(&Event::EndpointList { kind, entries });
    }

    fn join(&mut self, proxy: u16, holds_no_table: bool) {
        self.joined.insert(proxy);
        let zone = ZoneId(proxy % self.fleet.zones);
        let usual_rate = self.fleet.proxy_rate * (0.8 + 0.4 * self.random.unit());
        self.handle(&Event::ProxyJoined {
            proxy: ProxyId(proxy),
            zone,
            usual_rate,
            holds_no_table,
        });
    }

    fn update_membership(&mut self) {
        match self.step {
            0 => {
                let numbers: Vec<u8> = self.nodes.keys().copied().collect();
                self.publish_list(EndpointListKind::Complete, &numbers);
            }
            RESTART_AT_STEP => self.restart(),
            _ => {}
        }
        if self.step < usize::from(self.fleet.proxies) {
            self.join(self.step as u16, true);
        }
        if self.step > 100 && self.chance(0.02) {
            let proxy = self.random.draw() as u16 % self.fleet.proxies;
            if self.joined.remove(&proxy) {
                self.handle(&Event::ProxyLeft {
                    proxy: ProxyId(proxy),
                });
            } else {
                self.join(proxy, false);
            }
        }
    }

    fn restart(&mut self) {
        let seed = u64::from(self.random.draw());
        let snapshots: Vec<_> = self.balancer.capacity_snapshots().collect();
        self.balancer = Balancer::start(self.now(), seed, settings(&self.fleet))
            .expect("the settings are complete");
        self.pending_markers.clear();
        let numbers: Vec<u8> = self.nodes.keys().copied().collect();
        self.publish_list(EndpointListKind::Cached, &numbers);
        self.balancer.restore_capacities(&snapshots);
        for proxy in std::mem::take(&mut self.joined) {
            self.join(proxy, false);
        }
    }

    /// Changes a random node: it drains, is gone, restarts, or starts or stops failing.
    fn change_one_node(&mut self) {
        if self.step < 60 || !self.chance(0.05) {
            return;
        }
        let number = self.random.draw() as u8 % self.fleet.nodes;
        let (choice, now) = (self.random.draw() % 4, self.now());
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        match (choice, node.status) {
            (0, EndpointStatus::Ready) => node.status = EndpointStatus::Draining,
            (1, EndpointStatus::Draining) => node.status = EndpointStatus::Gone,
            (_, EndpointStatus::Draining | EndpointStatus::Gone) => {
                (node.status, node.started, node.failing) =
                    (EndpointStatus::Ready, Some(now), false);
            }
            (2, EndpointStatus::Ready) => node.failing = !node.failing,
            _ => return,
        }
        self.publish_list(EndpointListKind::Changes, &[number]);
    }

    fn send_reports(&mut self) {
        if self.step % 10 != 7 {
            return;
        }
        // In the middle of the stream, demand exceeds the capacity of all nodes together.
        let demand_factor = if (200..300).contains(&self.step) {
            2.5
        } else {
            1.0
        };
        for proxy in self.joined.clone() {
            for operation in 0..3 {
                let count =
                    self.fleet.proxy_rate * demand_factor * (0.2 + 0.2 * self.random.unit());
                let (proxy, operation) = (ProxyId(proxy), OperationId(operation));
                let report_window = Span::from_seconds(1.0);
                self.handle(&Event::DemandReport {
                    proxy,
                    operation,
                    requests: count,
                    failures: 0.0,
                    window: report_window,
                });
            }
        }
        let ready = self
            .nodes
            .iter()
            .filter(|(_, node)| node.status == EndpointStatus::Ready);
        let ready: Vec<(u8, bool)> = ready
            .map(|(number, node)| (*number, node.failing))
            .collect();
        let requested_rate = self.joined.len() as f64 * self.fleet.proxy_rate * demand_factor
            / ready.len().max(1) as f64;
        for (number, failing) in ready {
            let utilization =
                requested_rate / self.fleet.node_rate * (0.8 + 0.4 * self.random.unit());
            for zone in 0..self.fleet.zones {
                if self.chance(0.1) {
                    continue;
                }
                self.node_report(
                    number,
                    ZoneId(zone),
                    requested_rate / f64::from(self.fleet.zones),
                    utilization,
                    failing,
                );
            }
        }
    }

    fn node_report(
        &mut self,
        number: u8,
        zone: ZoneId,
        requested_rate: f64,
        utilization: f64,
        failing: bool,
    ) {
        let attempt_count = (requested_rate * (0.8 + 0.4 * self.random.unit())).round();
        let failure_ratio = if failing {
            0.95
        } else {
            (utilization - 1.0).clamp(0.0, 0.6)
        };
        let latency_seconds = 0.02 + 0.08 * utilization.min(3.0) * self.random.unit();
        let value = |name: &&str| {
            if *name == "queue" {
                (utilization - 0.6).max(0.0) * 10.0
            } else {
                utilization.min(1.0)
            }
        };
        self.handle(&Event::NodeLoadReport {
            zone,
            node: node_id(number),
            attempts: attempt_count,
            failures: (attempt_count * failure_ratio).floor(),
            mean_latency: Span::from_seconds(latency_seconds),
            window: Span::from_seconds(1.0),
            metrics: self.fleet.metrics.iter().map(value).collect(),
        });
    }

    fn send_gossip(&mut self) {
        if !self.fleet.has_peers || self.step % 20 != 11 {
            return;
        }
        // The message begins with two bytes for the number of proxies and four bytes for each demand class; eight
        // bytes for each node follow.
        let mut bytes = vec![4, 0];
        for _ in 0..2 * self.fleet.zones {
            bytes.extend((30.0f32 + self.random.unit() as f32).to_le_bytes());
        }
        for number in 0..self.fleet.nodes {
            bytes.extend(node_id(number).address);
            bytes.extend(node_id(number).port.to_le_bytes());
            bytes.extend((64 * u16::from(number + 1)).to_le_bytes());
        }
        self.handle(&Event::PeerGossip {
            from: PeerId(2),
            payload: bytes,
        });
    }

    fn acknowledge(&mut self) {
        let step = self.step;
        let (due, later) = self
            .pending_markers
            .drain(..)
            .partition(|(due_step, _)| *due_step <= step);
        self.pending_markers = later;
        let due: Vec<(usize, MarkerId)> = due;
        for (_, marker_id) in due {
            for proxy in self.joined.clone() {
                if !self.chance(0.05) {
                    self.handle(&Event::MarkerAcknowledged {
                        proxy: ProxyId(proxy),
                        marker: marker_id,
                        latency: Span::from_seconds(0.2),
                    });
                }
            }
        }
    }

    fn decide(&mut self) {
        let mut actions = Vec::new();
        let now = self.now();
        self.balancer.decide(now, &mut actions);
        for action in &actions {
            if let Action::SendMarker {
                marker: marker_id, ..
            } = action
            {
                let delay_steps = 1 + self.random.draw() as usize % 6;
                self.pending_markers
                    .push((self.step + delay_steps, *marker_id));
            }
            writeln!(self.log, "{} {}", self.step, describe(action))
                .expect("writing to a string succeeds");
        }
    }

    fn play(mut self) -> String {
        while self.step < STEP_COUNT {
            self.update_membership();
            self.change_one_node();
            self.send_reports();
            self.send_gossip();
            self.acknowledge();
            self.decide();
            self.step += 1;
        }
        self.log
    }
}

fn describe_node(node: &NodeId) -> String {
    format!("n{}", node.address[3])
}

fn describe_operations(operations: &[OperationId]) -> String {
    operations
        .iter()
        .map(|operation| format!("o{}", operation.0))
        .collect::<Vec<_>>()
        .join("+")
}

fn describe_retry(retry: RetryPolicy) -> &'static str {
    match retry {
        RetryPolicy::Never => "never",
        RetryPolicy::IfUnprocessed => "unprocessed",
        RetryPolicy::OnceOnAnyFailure => "once",
        RetryPolicy::TwiceOnAnyFailure => "twice",
    }
}

/// Writes an action. Numbers are written with all digits, so that two values that differ in the last bit give
/// different text.
fn describe(action: &Action) -> String {
    match action {
        Action::SetWeight {
            table,
            node,
            weight,
        } => {
            format!("weight t{} {} {weight:?}", table.0, describe_node(node))
        }
        Action::ClearTable { table } => format!("clear t{}", table.0),
        Action::BindTable {
            proxy,
            table,
            operations,
        } => {
            format!(
                "bind p{} t{} {}",
                proxy.0,
                table.0,
                describe_operations(operations)
            )
        }
        Action::SetAdmission {
            table,
            operations,
            limit,
            retry,
        } => {
            let table = table.map_or("all".to_string(), |table| format!("t{}", table.0));
            let retry = describe_retry(*retry);
            format!(
                "admit {table} {} {limit:?} {retry}",
                describe_operations(operations)
            )
        }
        Action::EjectNode { node, ejected } => {
            format!("withdraw {} {ejected}", describe_node(node))
        }
        Action::SendMarker { marker, to_all } => format!("marker {} {to_all}", marker.0),
        Action::ProbeNode { node } => format!("probe {}", describe_node(node)),
        Action::SendGossip { peer, payload } => {
            let hex: String = payload.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("gossip {:?} {hex}", peer.as_ref().map(|peer| peer.0))
        }
        Action::SetTimer { after, timer } => format!("timer {} {}", after.micros(), timer.0),
        Action::RequestEndpointList => "read list".to_string(),
        Action::WatchEndpoints { enabled } => format!("watch {enabled}"),
        Action::Log { message } => format!("log {message}"),
    }
}

#[test]
fn actions_of_a_single_controller_stay_the_same() {
    let fleet = FleetSpec {
        settings: vec![],
        zones: 2,
        nodes: 10,
        proxies: 12,
        proxy_rate: 40.0,
        node_rate: 90.0,
        metrics: &["utilization"],
        has_peers: false,
    };
    insta::assert_snapshot!(World::new(fleet, 1).play());
}

#[test]
fn actions_of_a_controller_with_peers_stay_the_same() {
    let fleet = FleetSpec {
        settings: vec![
            ("conductor.count", "2"),
            ("peers.may_tell", "true"),
            ("level.form", "rate"),
        ],
        zones: 3,
        nodes: 9,
        proxies: 16,
        proxy_rate: 25.0,
        node_rate: 80.0,
        metrics: &["queue"],
        has_peers: true,
    };
    insta::assert_snapshot!(World::new(fleet, 2).play());
}

#[test]
fn actions_with_subsets_and_a_tight_queue_stay_the_same() {
    let fleet = FleetSpec {
        settings: vec![
            ("channel.lines_waiting_at_most", "400"),
            ("channel.messages_at_most", "12"),
            ("operation.1.stays_in_zone", "false"),
            ("rules.warm_after", "5"),
        ],
        zones: 1,
        nodes: 40,
        proxies: 40,
        proxy_rate: 15.0,
        node_rate: 25.0,
        metrics: &[],
        has_peers: false,
    };
    insta::assert_snapshot!(World::new(fleet, 3).play());
}
