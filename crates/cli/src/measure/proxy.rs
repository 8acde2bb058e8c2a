//! Measures the cost of a proxy: compares, in one run, requests through the proxy with requests sent directly to the node.

use super::error::{io, not_ready, MeasureError};
use super::sampling::resident_kib;
use super::{program, wait_until_listening};
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_controller_core::Deployment;
use wheelspread_drill::load::{load, FastNodes, Faults, Load, LoadResult};
use wheelspread_drill::{cpu_of, free_port};
use wheelspread_files::{Swap, TableRoot};
use wheelspread_xds::tables;

/// The figures of one route from client to node.
#[derive(Clone, Debug)]
struct Route {
    route: &'static str,
    loaded: LoadResult,
    /// The proxy's CPU time per request, in microseconds; none on the direct route.
    cpu_us: Option<f64>,
}

/// The deployment that the published table belongs to.
const DEPLOYMENT: &str = "
zones: [north]
operations:
  - {name: book, latency_objective: 300ms, integration_timeout: 1s, billed_value: 1, repeat: side-effecting}
rules: {without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 10s,
        cold_overload_factor: 4, cold_overload_span: 2s}
channel: {lines_waiting_at_most: 1000, lines_per_second: 1000, delay_at_most: 500ms}
";

/// The duration of the requests that are sent on a route before it is measured.
const WARM_UP_SECONDS: f64 = 0.3;
/// The time limit for the started proxy to accept connections.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// A table set with one table that contains all nodes at equal weight.
fn table_set(nodes: &[SocketAddrV4]) -> TableSet {
    let entry = |address: &SocketAddrV4| TableEntry {
        node: NodeId {
            address: address.ip().octets(),
            port: address.port(),
        },
        zone: "north".to_string(),
        weight: 1.0,
    };
    let table = OperationTable {
        operation: OperationId(0),
        table: TableId(0),
        entries: nodes.iter().map(entry).collect(),
        admission_limit: None,
        retry: RetryPolicy::TwiceOnAnyFailure,
    };
    TableSet {
        bundle: BundleId(0),
        version: Version(1),
        configuration: 0,
        operations: vec![table],
    }
}

/// Publishes the table set into the proxy's tables root, as a controller does.
fn publish_tables(directory: &Path, nodes: &[SocketAddrV4]) -> Result<(), MeasureError> {
    let root = TableRoot::new(directory.join("tables"));
    root.prepare().map_err(io("the tables root"))?;
    let deployment: Deployment = serde_yaml_ng::from_str(DEPLOYMENT).map_err(not_ready)?;
    let set = table_set(nodes);
    let documents = tables::write(&set, &deployment).map_err(not_ready)?;
    let swap = Swap::new(&root, set.version, &documents, "g");
    swap.run().map_err(not_ready)?;
    Ok(())
}

/// A proxy process that uses one published table; the process is killed on drop.
struct ProxyProcess {
    _directory: tempfile::TempDir,
    child: Child,
    address: SocketAddrV4,
}

impl ProxyProcess {
    fn start(program: &Path, nodes: &[SocketAddrV4]) -> Result<ProxyProcess, MeasureError> {
        let directory = tempfile::tempdir().map_err(io("a temporary directory"))?;
        publish_tables(directory.path(), nodes)?;
        let address = free_port().map_err(io("a port"))?;
        let no_controller = free_port().map_err(io("a port"))?;
        let path = directory.path().join("proxy.yaml");
        std::fs::write(&path, proxy_file(address, no_controller))
            .map_err(io("the configuration file"))?;
        let child = Command::new(program)
            .arg("proxy")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(io("the proxy"))?;
        let process = ProxyProcess {
            _directory: directory,
            child,
            address,
        };
        process.wait_until_ready()?;
        Ok(process)
    }

    fn wait_until_ready(&self) -> Result<(), MeasureError> {
        wait_until_listening(self.address, START_TIMEOUT, "the proxy does not listen")
    }
}

/// The text of the proxy's configuration; no process listens at the address for its load reports.
fn proxy_file(address: SocketAddrV4, no_controller: SocketAddrV4) -> String {
    format!(
        "proxy: {{name: g, zone: north, listen: \"{address}\"}}\n\
         conductors: [{{reports: \"{no_controller}\", tables: tables}}]\n\
         operations: [{{name: book, repeat: side-effecting, integration_timeout: 1s}}]\n\
         avoid: {{after_errors: 0}}\nsizes: {{connections_per_node: 2000}}\nfollows_unjoined: true\n"
    )
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Measures the direct route and the route through a proxy. Each of the `connections` connections has one request in
/// flight at a time.
fn measure_routes(
    program: &Path,
    connections: usize,
    seconds: f64,
) -> Result<Vec<Route>, MeasureError> {
    let nodes = FastNodes::start(4, false, 1).map_err(io("nodes"))?;
    let proxy = ProxyProcess::start(program, &nodes.addresses)?;
    let routes = [
        ("direct", nodes.addresses[0], None),
        ("proxy", proxy.address, Some(proxy.child.id())),
    ];
    let mut measured = Vec::new();
    for (route, target, pid) in routes {
        let requests = |seconds: f64| Load {
            target,
            operation: "book",
            connections,
            invocations: u64::MAX,
            max_duration: Span::from_seconds(seconds),
            first_id: 0,
        };
        load(requests(WARM_UP_SECONDS)).map_err(io("warming up"))?;
        let cpu_before = pid.map_or(0.0, cpu_of);
        let loaded = load(requests(seconds)).map_err(io("the load"))?;
        let cpu_us = pid.map(|pid| (cpu_of(pid) - cpu_before) * 1e6 / loaded.total().max(1) as f64);
        measured.push(Route {
            route,
            loaded,
            cpu_us,
        });
    }
    Ok(measured)
}

/// The number of idle connections and the memory that they take, in bytes.
struct Idle {
    connections: usize,
    bytes: u64,
}

fn measure_idle(program: &Path, count: usize) -> Result<Idle, MeasureError> {
    let nodes = FastNodes::start(1, false, 1).map_err(io("nodes"))?;
    let proxy = ProxyProcess::start(program, &nodes.addresses)?;
    let resident = || resident_kib(proxy.child.id()) as u64 * 1024;
    let before = resident();
    let mut open = Vec::new();
    for _ in 0..count {
        // The machine may allow fewer open files.
        match TcpStream::connect(proxy.address) {
            Ok(stream) => open.push(stream),
            Err(_) => break,
        }
    }
    std::thread::sleep(std::time::Duration::from_millis(500));
    Ok(Idle {
        connections: open.len(),
        bytes: resident().saturating_sub(before),
    })
}

/// The results of side-effecting requests to nodes that reset connections, never answer, fail and refuse requests.
struct Effects {
    sent: u64,
    executed: usize,
    executed_twice: usize,
}

fn measure_effects(program: &Path, count: u64) -> Result<Effects, MeasureError> {
    let nodes = FastNodes::start(4, true, 3).map_err(io("nodes"))?;
    let faults = Faults {
        reset: 0.01,
        silent: 0.0002,
        error: 0.02,
        refuse: 0.05,
        close: 0.02,
    };
    (0..4).for_each(|node| nodes.set_faults(node, faults));
    let proxy = ProxyProcess::start(program, &nodes.addresses)?;
    let loaded = load(Load {
        target: proxy.address,
        operation: "book",
        connections: 128,
        invocations: count,
        max_duration: Span::from_seconds(600.0),
        first_id: 0,
    });
    let loaded = loaded.map_err(io("the load"))?;
    let effects = nodes.execution_counts().effects;
    let executed_twice = effects.values().filter(|times| **times > 1).count();
    Ok(Effects {
        sent: loaded.total(),
        executed: effects.len(),
        executed_twice,
    })
}

/// The numbers of connections at which throughput and latency are measured.
const CONNECTION_COUNTS: [usize; 4] = [1, 10, 100, 1000];
/// The number of idle connections to open.
const IDLE_CONNECTIONS: usize = 10_000;

/// Measures throughput, the memory of idle connections and side effects, and prints the figures.
pub fn run(seconds: f64, effects: u64) -> Result<(), MeasureError> {
    let program = program()?;
    print_line!(
        "{:>12}{:>9}{:>12}{:>10}{:>10}{:>10}{:>14}",
        "connections",
        "route",
        "per second",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us each"
    );
    for connections in CONNECTION_COUNTS {
        print_routes(
            connections,
            &measure_routes(&program, connections, seconds)?,
        );
    }
    let idle = measure_idle(&program, IDLE_CONNECTIONS)?;
    print_line!(
        "{} idle connections: {:.1} kB each",
        idle.connections,
        idle.bytes as f64 / 1e3 / idle.connections as f64
    );
    let effects = measure_effects(&program, effects)?;
    print_line!(
        "{} side-effecting invocations with faults: {} executed, {} executed more than once",
        effects.sent,
        effects.executed,
        effects.executed_twice
    );
    if effects.executed_twice > 0 {
        return Err(MeasureError::DuplicateEffect);
    }
    Ok(())
}

fn print_routes(connections: usize, routes: &[Route]) {
    for route in routes {
        print_line!(
            "{connections:>12}{:>9}{:>12.0}{:>10.3}{:>10.3}{:>10.3}{:>14}",
            route.route,
            route.loaded.successes_per_second(),
            route.loaded.latency_ms(0.5),
            route.loaded.latency_ms(0.99),
            route.loaded.latency_ms(0.999),
            route
                .cpu_us
                .map_or("-".to_string(), |us| format!("{us:.1}"))
        );
    }
    if let [direct, proxied] = routes {
        let throughput_ratio =
            proxied.loaded.successes_per_second() / direct.loaded.successes_per_second().max(1.0);
        let added_us = (proxied.loaded.latency_ms(0.5) - direct.loaded.latency_ms(0.5)) * 1e3;
        print_line!(
            "{:>12}  {throughput_ratio:.2} of the direct throughput, {added_us:.0} us added at the median",
            ""
        );
    }
}
