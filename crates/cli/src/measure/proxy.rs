//! What a proxy costs beside the same client that sends straight to the node, in one run.

use super::controller_process::memory_of;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_controller_core::Deployment;
use wheelspread_drill::load::{load, FastNodes, Faults, Load, Loaded};
use wheelspread_drill::{cpu_of, free_port, DrillError};
use wheelspread_files::{swap::Swap, Root};
use wheelspread_xds::tables;

/// One way from client to node.
#[derive(Clone, Debug)]
pub struct Way {
    pub way: &'static str,
    pub loaded: Loaded,
    /// Of the proxy, for each invocation, in microseconds.
    pub cpu_us: Option<f64>,
}

const PLAN: &str = "
zones: [north]
operations:
  - {name: book, latency_objective: 300ms, integration_timeout: 1s, billed_value: 1, repeat: side-effecting}
rules: {without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 10s,
        cold_overload_factor: 4, cold_overload_span: 2s}
channel: {lines_waiting_at_most: 1000, lines_per_second: 1000, delay_at_most: 500ms}
";

fn named(what: &str) -> impl Fn(io::Error) -> DrillError + '_ {
    move |source| DrillError::Io {
        what: what.to_string(),
        source,
    }
}

fn not_ready(error: impl ToString) -> DrillError {
    DrillError::NotReady(error.to_string())
}

/// A proxy process that goes by one swapped table.
struct Running {
    _directory: tempfile::TempDir,
    child: Child,
    address: SocketAddrV4,
}

impl Running {
    fn start(program: &Path, nodes: &[SocketAddrV4]) -> Result<Running, DrillError> {
        let directory = tempfile::tempdir().map_err(named("a temporary directory"))?;
        let root = Root::new(directory.path().join("tables"));
        root.prepare().map_err(named("the root"))?;
        let plan: Deployment = serde_yaml_ng::from_str(PLAN).map_err(not_ready)?;
        let line = |address: &SocketAddrV4| TableEntry {
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
            entries: nodes.iter().map(line).collect(),
            admission_limit: None,
            retry: RetryPolicy::TwiceOnAnyFailure,
        };
        let set = TableSet {
            bundle: BundleId(0),
            version: Version(1),
            configuration: 0,
            operations: vec![table],
        };
        let documents = tables::write(&set, &plan).map_err(not_ready)?;
        Swap::new(&root, set.version, &documents, "g")
            .run()
            .map_err(not_ready)?;
        let (address, nobody) = (
            free_port().map_err(named("a port"))?,
            free_port().map_err(named("a port"))?,
        );
        let text = format!(
            "proxy: {{name: g, zone: north, listen: \"{address}\"}}\n\
             conductors: [{{reports: \"{nobody}\", tables: tables}}]\n\
             operations: [{{name: book, repeat: side-effecting, integration_timeout: 1s}}]\n\
             avoid: {{after_errors: 0}}\nsizes: {{connections_per_node: 2000}}\nfollows_unjoined: true\n"
        );
        let path = directory.path().join("proxy.yaml");
        std::fs::write(&path, text).map_err(named("a file"))?;
        let child = Command::new(program)
            .arg("proxy")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(named("the proxy"))?;
        let running = Running {
            _directory: directory,
            child,
            address,
        };
        for _ in 0..500 {
            if TcpStream::connect(address).is_ok() {
                return Ok(running);
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        Err(not_ready("the proxy does not listen"))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Straight, and through a proxy, with so many connections that each wait for their answer.
pub fn measure_proxy(
    program: &Path,
    connections: usize,
    seconds: f64,
) -> Result<Vec<Way>, DrillError> {
    let nodes = FastNodes::start(4, false, 1).map_err(named("nodes"))?;
    let running = Running::start(program, &nodes.addresses)?;
    let ways = [
        ("direct", nodes.addresses[0], None),
        ("proxy", running.address, Some(running.child.id())),
    ];
    let mut measured = Vec::new();
    for (way, target, pid) in ways {
        let wish = |seconds: f64| Load {
            target,
            operation: "book",
            connections,
            invocations: u64::MAX,
            at_most: Span::from_seconds(seconds),
            from: 0,
        };
        load(wish(0.3)).map_err(named("warming up"))?;
        let before = pid.map_or(0.0, cpu_of);
        let loaded = load(wish(seconds)).map_err(named("the load"))?;
        let spent = pid.map(|pid| (cpu_of(pid) - before) * 1e6 / loaded.total().max(1) as f64);
        measured.push(Way {
            way,
            loaded,
            cpu_us: spent,
        });
    }
    Ok(measured)
}

/// Connections that say nothing, and the bytes that they cost.
pub fn measure_idle(program: &Path, count: usize) -> Result<(usize, u64), DrillError> {
    let nodes = FastNodes::start(1, false, 1).map_err(named("nodes"))?;
    let running = Running::start(program, &nodes.addresses)?;
    let resident = || memory_of(running.child.id()) as u64 * 1024;
    let before = resident();
    let mut open = Vec::new();
    for _ in 0..count {
        // One machine may allow fewer open files than this.
        match TcpStream::connect(running.address) {
            Ok(stream) => open.push(stream),
            Err(_) => break,
        }
    }
    std::thread::sleep(std::time::Duration::from_millis(500));
    Ok((open.len(), resident().saturating_sub(before)))
}

/// Side-effecting invocations while nodes reset, lose, fail and refuse: how many were asked, how many took
/// effect, and how many did so twice.
pub fn measure_effects(program: &Path, count: u64) -> Result<(u64, usize, usize), DrillError> {
    let nodes = FastNodes::start(4, true, 3).map_err(named("nodes"))?;
    let faults = Faults {
        reset: 0.01,
        silent: 0.0002,
        error: 0.02,
        refuse: 0.05,
        close: 0.02,
    };
    (0..4).for_each(|node| nodes.set_faults(node, faults));
    let running = Running::start(program, &nodes.addresses)?;
    let loaded = load(Load {
        target: running.address,
        operation: "book",
        connections: 128,
        invocations: count,
        at_most: Span::from_seconds(600.0),
        from: 0,
    });
    let loaded = loaded.map_err(named("the load"))?;
    let effects = nodes.seen().effects;
    let twice = effects.values().filter(|times| **times > 1).count();
    Ok((loaded.total(), effects.len(), twice))
}
