//! A proxy process that reads its tables from a directory, and nodes for it.

#![allow(dead_code)] // Each test binary uses some of these items.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_controller_core::Deployment;
use wheelspread_drill::load::{load, FastNodes, Load, LoadResult};
use wheelspread_files::{Swap, TableRoot};
use wheelspread_xds::{status, tables};

const DEPLOYMENT: &str = r#"{
  "zones": ["north"], "operations": [
    {"name": "quote", "latency_objective": "200ms", "integration_timeout": "600ms", "billed_value": 1,
     "repeat": "idempotent"},
    {"name": "book", "latency_objective": "200ms", "integration_timeout": "600ms", "billed_value": 1,
     "repeat": "side-effecting"}],
  "rules": {"without_node_at_most": "2s", "drain_grace": "2s", "cold_start_share": 0.2,
            "warm_after": "10s", "cold_overload_factor": 4, "cold_overload_span": "2s"},
  "channel": {"lines_waiting_at_most": 1000, "lines_per_second": 1000, "delay_at_most": "500ms"}}"#;

/// A proxy process and its files. Dropping it kills the process.
pub struct ProxyProcess {
    directory: tempfile::TempDir,
    pub address: SocketAddrV4,
    child: Child,
    version: u64,
    deployment: Deployment,
}

fn unused_address() -> SocketAddrV4 {
    wheelspread_drill::own_port().expect("a free port")
}

impl ProxyProcess {
    /// Starts a proxy that reads its tables from a directory, without a controller. `more_settings` is
    /// appended to its configuration.
    pub fn new(
        more_settings: &str,
        entries: &[(SocketAddrV4, f64)],
        retry: RetryPolicy,
    ) -> ProxyProcess {
        let directory = tempfile::tempdir().expect("a directory");
        TableRoot::new(directory.path().join("tables"))
            .prepare()
            .expect("created");
        let address = unused_address();
        let text = format!(
            "proxy: {{name: g1, zone: north, listen: \"{address}\", seed: 11}}\n\
             conductors: [{{reports: \"{}\", tables: tables}}]\n\
             operations:\n  - {{name: quote, repeat: idempotent, integration_timeout: 600ms}}\n  \
             - {{name: book, repeat: side-effecting, integration_timeout: 600ms}}\n\
             follows_unjoined: true\nrepeats: {{part: 1, at_once: 1000}}\n{more_settings}\n",
            unused_address()
        );
        std::fs::write(directory.path().join("proxy.yaml"), text).expect("written");
        let deployment: Deployment = serde_json::from_str(DEPLOYMENT).expect("a valid deployment");
        let mut proxy = ProxyProcess {
            child: start(&directory),
            directory,
            address,
            version: 0,
            deployment,
        };
        proxy.publish(entries, retry, None);
        proxy.wait_until_applied();
        proxy
    }

    pub fn root(&self) -> TableRoot {
        TableRoot::new(self.directory.path().join("tables"))
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn publish(
        &mut self,
        entries: &[(SocketAddrV4, f64)],
        retry: RetryPolicy,
        limit: Option<f64>,
    ) {
        self.version += 1;
        let entry = |(address, weight): &(SocketAddrV4, f64)| TableEntry {
            node: NodeId {
                address: address.ip().octets(),
                port: address.port(),
            },
            zone: "north".to_string(),
            weight: *weight,
        };
        let table = |operation| OperationTable {
            operation: OperationId(operation),
            table: TableId(0),
            entries: entries.iter().map(entry).collect(),
            admission_limit: limit,
            retry,
        };
        let set = TableSet {
            bundle: BundleId(0),
            configuration: 0,
            version: Version(self.version),
            operations: vec![table(0), table(1)],
        };
        let documents = tables::write(&set, &self.deployment).expect("written");
        Swap::new(&self.root(), set.version, &documents, "g1")
            .run()
            .expect("file replaced");
    }

    /// Waits until the proxy's status file names the version that was published last.
    pub fn wait_until_applied(&self) {
        let begin = Instant::now();
        let holds = || {
            let text = std::fs::read_to_string(self.root().status("g1")).ok()?;
            Some(status::read(&text).ok()?.version.0)
        };
        while holds() != Some(self.version) {
            assert!(
                begin.elapsed() < Duration::from_secs(10),
                "the proxy has version {:?}",
                holds()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn load(
        &self,
        operation: &str,
        connections: usize,
        invocations: u64,
        first_id: u64,
    ) -> LoadResult {
        let max_duration = Span::from_seconds(120.0);
        let target = self.address;
        load(Load {
            target,
            operation,
            connections,
            invocations,
            max_duration,
            first_id,
        })
        .expect("the load run ends")
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the process listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set");
        stream
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends bytes, and reads until the proxy closes the connection or sends nothing for 900 ms.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.client();
        stream.write_all(bytes).expect("sent");
        stream
            .set_read_timeout(Some(Duration::from_millis(900)))
            .expect("set");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }
}

fn start(directory: &tempfile::TempDir) -> Child {
    Command::new(env!("CARGO_BIN_EXE_wheelspread"))
        .arg("proxy")
        .arg(directory.path().join("proxy.yaml"))
        .stderr(Stdio::null())
        .spawn()
        .expect("the process starts")
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Table entries of equal weights for all nodes.
pub fn equal_weights(nodes: &FastNodes) -> Vec<(SocketAddrV4, f64)> {
    nodes
        .addresses
        .iter()
        .map(|address| (*address, 1.0))
        .collect()
}

/// A proxy with one node, whose connections the test accepts and answers itself.
pub fn start_with_manual_node(retry: RetryPolicy) -> (TcpListener, ProxyProcess) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("a local address") else {
        panic!("IPv4")
    };
    let proxy = ProxyProcess::new("sizes: {connections_per_node: 4}", &[(address, 1.0)], retry);
    (listener, proxy)
}

/// Reads byte by byte until the text ends with `end`.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    let (mut text, mut byte) = (Vec::new(), [0u8; 1]);
    while !text.ends_with(end.as_bytes()) {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            other => panic!("{other:?} after {}", String::from_utf8_lossy(&text)),
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}
