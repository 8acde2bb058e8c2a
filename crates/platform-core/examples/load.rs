//! Measures the CPU time of a platform controller's protocol state per simulated second, for a given number of
//! proxies and nodes. Proxies, nodes and load reports are synthetic; there are no sockets, time is simulated, and
//! only the process's CPU clock is read.
//!
//!     cargo run --release -p wheelspread-platform-core --example load -- PROXIES NODES SECONDS

use serde_json::{json, Value};
use wheelspread::time::Moment;
use wheelspread_platform_core::{ConnectionId, ControllerCore, EndpointList, Output, SourceId};
use wheelspread_settings::{from_wire, Names};

const START_SECONDS: f64 = 1.0e9;
/// Simulated seconds between two wake-ups of the core.
const WAKE_INTERVAL_SECONDS: f64 = 0.002;
const WAKES_PER_SECOND: usize = 500;
const ZONES: [&str; 2] = ["a", "b"];
const KINDS: [&str; 2] = ["k", "l"];
const OPERATIONS: [&str; 2] = ["lookup", "order"];
/// Connection ids below this are for collectors, one for each zone.
const FIRST_PROXY_CONNECTION: usize = 10;
const SOURCE: SourceId = SourceId(1);

fn platform_settings(proxies: usize) -> Value {
    json!({"az": 0, "me": 0, "peers_total": 5, "discovery": "push", "tick": 0.001,
        "zones": ZONES, "kinds": KINDS,
        "classes": [
            {"name": "lookup", "aim": 1.5, "deadline": 5.0, "worth": 3.0, "idempotency": "read_like"},
            {"name": "order", "aim": 1.5, "deadline": 5.0, "worth": 2.0, "idempotency": "non_idempotent"}],
        "feedback": {"fields": ["busy", "q"], "via": "piggyback"}, "limits": {"conn_idle": 15.0},
        "rules": {"overload_factor": 4.0, "start_capacity": 0.22, "warm_after": 16.0,
            "stop_sending_within": 3.4},
        "extra": {"admit": "ratio", "backlog": 268000.0, "bare": 2.0, "head": 4.0, "period": 1.0,
            "proxy_count": proxies, "push_delay_max": 0.4, "push_rate": 134000.0, "pushes_allowed": 20,
            "update_window": 10.0, "fails_to_eject": 8}})
}

fn endpoint(node: usize, status: &str) -> Value {
    json!({"name": format!("s{node}"), "address": "127.0.0.9:80", "zone": ZONES[node % 2],
        "type": KINDS[node / 2 % 2], "group": 1, "status": status, "weight": 1.0, "since_ms": 0})
}

fn cpu_seconds() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// The indices below `count` that are due at this wake-up. Each index is due once per second.
fn due(count: usize, wake: usize) -> std::ops::Range<usize> {
    let phase = wake % WAKES_PER_SECOND;
    (count * phase / WAKES_PER_SECOND)..(count * (phase + 1) / WAKES_PER_SECOND)
}

/// An acknowledgement to send at the next wake-up.
struct DueAcknowledgement {
    connection: usize,
    marker: String,
}

/// The measured totals.
#[derive(Default)]
struct Totals {
    messages: usize,
    bytes: usize,
    decide_seconds: f64,
    wakes: usize,
}

struct Load {
    core: ControllerCore,
    proxies: usize,
    nodes: usize,
    acknowledgements: Vec<DueAcknowledgement>,
    totals: Totals,
}

impl Load {
    fn start(proxies: usize, nodes: usize) -> Load {
        let value = platform_settings(proxies);
        let start = Moment::from_seconds(START_SECONDS);
        let core = ControllerCore::start(start, 7, from_wire(&value), Names::from_wire(&value))
            .expect("the settings are valid");
        let mut load = Load {
            core,
            proxies,
            nodes,
            acknowledgements: Vec::new(),
            totals: Totals::default(),
        };
        let endpoints = (0..nodes).map(|node| endpoint(node, "Ready")).collect();
        load.send_list(START_SECONDS, 1, true, endpoints);
        load.connect_all();
        load
    }

    fn connect_all(&mut self) {
        for (connection, zone) in ZONES.iter().enumerate() {
            self.send(START_SECONDS, connection, &format!("collector az {zone}"));
        }
        for proxy in 0..self.proxies {
            let zone = ZONES[proxy % 2];
            let text = format!("joined sidecar {proxy} az {zone} share 2.5 standing 1");
            self.send(START_SECONDS, FIRST_PROXY_CONNECTION + proxy, &text);
        }
    }

    fn send(&mut self, now: f64, connection: usize, text: &str) {
        let strings: Vec<&[u8]> = text.split(' ').map(str::as_bytes).collect();
        let connection = ConnectionId(connection as u64);
        self.core
            .handle_message(Moment::from_seconds(now), connection, &strings);
    }

    fn send_list(&mut self, now: f64, version: u64, full: bool, endpoints: Vec<Value>) {
        let list = json!({"index": version, "snapshot": full, "endpoints": endpoints});
        let list = EndpointList::parse(&list, self.core.names()).expect("the list is valid");
        self.core
            .handle_endpoint_list(Moment::from_seconds(now), &list, SOURCE);
    }

    /// Runs one wake-up. Once per second each proxy sends demand reports, each collector sends a load report for
    /// each node, and one node drains. Markers are acknowledged at the next wake-up.
    fn wake(&mut self, wake: usize) {
        let now = START_SECONDS + wake as f64 * WAKE_INTERVAL_SECONDS;
        self.report_demand(now, wake);
        self.report_node_load(now, wake);
        if wake % WAKES_PER_SECOND == WAKES_PER_SECOND / 2 {
            let node = wake / WAKES_PER_SECOND % self.nodes;
            let changed = vec![endpoint(node, "Terminating")];
            self.send_list(now, wake as u64 + 2, false, changed);
        }
        self.acknowledge(now);
        self.decide(now);
    }

    fn report_demand(&mut self, now: f64, wake: usize) {
        for proxy in due(self.proxies, wake) {
            for operation in OPERATIONS {
                let n = 1 + (proxy + wake / WAKES_PER_SECOND) % 3;
                let text =
                    format!("usage sidecar {proxy} kind {operation} n {n} bad 0 window 1000");
                self.send(now, FIRST_PROXY_CONNECTION + proxy, &text);
            }
        }
    }

    fn report_node_load(&mut self, now: f64, wake: usize) {
        for node in due(self.nodes, wake) {
            for (connection, zone) in ZONES.iter().enumerate() {
                let millis = 80 + (node * 7 + wake / WAKES_PER_SECOND * 13) % 40;
                let text = format!(
                    "heard az {zone} host s{node} n 12 bad 0 avg {millis} window 1000 report util:0.5,queue:0"
                );
                self.send(now, connection, &text);
            }
        }
    }

    fn acknowledge(&mut self, now: f64) {
        for due in std::mem::take(&mut self.acknowledgements) {
            let proxy = due.connection - FIRST_PROXY_CONNECTION;
            let text = format!("applied sidecar {proxy} version {} lag_ms 150", due.marker);
            self.send(now, due.connection, &text);
        }
    }

    fn decide(&mut self, now: f64) {
        let began = cpu_seconds();
        let outputs = self.core.decide(Moment::from_seconds(now));
        self.totals.decide_seconds += cpu_seconds() - began;
        self.totals.wakes += 1;
        for output in outputs {
            if let Output::Write { connection, bytes } = output {
                self.totals.messages += 1;
                self.totals.bytes += bytes.len();
                self.acknowledgements
                    .extend(marker_of(&bytes).map(|marker| DueAcknowledgement {
                        connection: connection.0 as usize,
                        marker,
                    }));
            }
        }
    }
}

/// The version marker of a message, if it has one.
fn marker_of(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let after = text.split("stamp\r\n").nth(1)?;
    after.split("\r\n").nth(1).map(str::to_string)
}

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let [proxies, nodes, seconds] = arguments[..] else {
        eprintln!("usage: load PROXIES NODES SECONDS");
        std::process::exit(2);
    };
    let mut load = Load::start(proxies, nodes);
    let before = cpu_seconds();
    for wake in 0..(seconds as f64 / WAKE_INTERVAL_SECONDS) as usize {
        load.wake(wake);
    }
    let cpu_total = cpu_seconds() - before;
    let totals = load.totals;
    println!(
        "{proxies} proxies, {nodes} nodes: {:.4} s of CPU per second, {:.4} s of it in decide(), {:.1} us per wake-up; \
         {} messages, {} bytes",
        cpu_total / seconds as f64,
        totals.decide_seconds / seconds as f64,
        totals.decide_seconds / totals.wakes as f64 * 1e6,
        totals.messages,
        totals.bytes,
    );
}
