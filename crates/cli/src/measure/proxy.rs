//! What a proxy costs beside the same client that sends straight to the node, in one run.

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

/// One way from client to node.
#[derive(Clone, Debug)]
struct Way {
    way: &'static str,
    loaded: LoadResult,
    /// CPU of the proxy for each request, in microseconds.
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

/// Requests of this length warm a way up before it is measured.
const WARM_UP_SECONDS: f64 = 0.3;
/// How long the proxy may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// One table with all nodes at equal weight.
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

/// Publishes the table into the proxy's root, as a controller would.
fn publish_tables(directory: &Path, nodes: &[SocketAddrV4]) -> Result<(), MeasureError> {
    let root = TableRoot::new(directory.join("tables"));
    root.prepare().map_err(io("the root"))?;
    let deployment: Deployment = serde_yaml_ng::from_str(DEPLOYMENT).map_err(not_ready)?;
    let set = table_set(nodes);
    let documents = tables::write(&set, &deployment).map_err(not_ready)?;
    let swap = Swap::new(&root, set.version, &documents, "g");
    swap.run().map_err(not_ready)?;
    Ok(())
}

/// A proxy process that goes by one published table; it is killed when this is dropped.
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
        std::fs::write(&path, proxy_file(address, no_controller)).map_err(io("a file"))?;
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
        process.wait_until_it_listens()?;
        Ok(process)
    }

    fn wait_until_it_listens(&self) -> Result<(), MeasureError> {
        wait_until_listening(self.address, START_TIMEOUT, "the proxy does not listen")
    }
}

/// The proxy's configuration; nobody listens where it sends its reports.
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

/// Straight, and through a proxy, with so many connections that each wait for their answer.
fn measure_ways(
    program: &Path,
    connections: usize,
    seconds: f64,
) -> Result<Vec<Way>, MeasureError> {
    let nodes = FastNodes::start(4, false, 1).map_err(io("nodes"))?;
    let proxy = ProxyProcess::start(program, &nodes.addresses)?;
    let ways = [
        ("direct", nodes.addresses[0], None),
        ("proxy", proxy.address, Some(proxy.child.id())),
    ];
    let mut measured = Vec::new();
    for (way, target, pid) in ways {
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
        measured.push(Way {
            way,
            loaded,
            cpu_us,
        });
    }
    Ok(measured)
}

/// Idle connections, and the bytes of memory that they cost.
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
        // One machine may allow fewer open files than this.
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

/// Side-effecting requests while nodes reset, lose, fail and refuse.
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

/// Connections at which throughput and latency are measured.
const CONNECTION_COUNTS: [usize; 4] = [1, 10, 100, 1000];
/// Idle connections that are opened.
const IDLE_CONNECTIONS: usize = 10_000;

/// Measures throughput, idle connections and side effects, and prints them.
pub fn run(seconds: f64, effects: u64) -> Result<(), MeasureError> {
    let program = program()?;
    say!(
        "{:>12}{:>9}{:>12}{:>10}{:>10}{:>10}{:>14}",
        "connections",
        "way",
        "per second",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us each"
    );
    for connections in CONNECTION_COUNTS {
        print_ways(connections, &measure_ways(&program, connections, seconds)?);
    }
    let idle = measure_idle(&program, IDLE_CONNECTIONS)?;
    say!(
        "{} idle connections: {:.1} kB each",
        idle.connections,
        idle.bytes as f64 / 1e3 / idle.connections as f64
    );
    let effects = measure_effects(&program, effects)?;
    say!(
        "{} side-effecting invocations with faults: {} took effect, {} twice",
        effects.sent,
        effects.executed,
        effects.executed_twice
    );
    if effects.executed_twice > 0 {
        return Err(MeasureError::DuplicateEffect);
    }
    Ok(())
}

fn print_ways(connections: usize, ways: &[Way]) {
    for way in ways {
        say!(
            "{connections:>12}{:>9}{:>12.0}{:>10.3}{:>10.3}{:>10.3}{:>14}",
            way.way,
            way.loaded.successes_per_second(),
            way.loaded.latency_ms(0.5),
            way.loaded.latency_ms(0.99),
            way.loaded.latency_ms(0.999),
            way.cpu_us.map_or("-".to_string(), |us| format!("{us:.1}"))
        );
    }
    if let [direct, proxied] = ways {
        let part =
            proxied.loaded.successes_per_second() / direct.loaded.successes_per_second().max(1.0);
        let added = (proxied.loaded.latency_ms(0.5) - direct.loaded.latency_ms(0.5)) * 1e3;
        say!(
            "{:>12}  {part:.2} of the direct throughput, {added:.0} us added at the median",
            ""
        );
    }
}
