//! A controller process on a directory of its own, and load report streams as proxies open them.

#![allow(dead_code)] // each test binary uses its part

pub mod client;
pub mod keys;

use std::fs::File;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use wheelspread_files::read_tables;
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor as reactor;
use wheelspread_xds::loads;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_wheelspread");

/// A controller with its files; it is killed when this is dropped.
pub struct Stage {
    pub directory: tempfile::TempDir,
    pub listen: SocketAddrV4,
    child: Option<Child>,
    version: u64,
}

const DEPLOYMENT: &str = "
deployment:
  zones: [north, south]
  operations:
    - {name: quote, latency_objective: 1s, integration_timeout: 3s, billed_value: 1, repeat: idempotent}
  proxies: {count: 4, usual_rate: 10}
  rules: {without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 5s,
          cold_overload_factor: 4, cold_overload_span: 2s}
  channel: {lines_waiting_at_most: 1000, lines_per_second: 5000, delay_at_most: 300ms}
  sums: {period: 300ms, loads: [utilization]}
";

impl Stage {
    pub fn new() -> Stage {
        let directory = tempfile::tempdir().expect("a directory");
        let listen = wheelspread_drill::own_port().expect("a port");
        let stage = Stage {
            directory,
            listen,
            child: None,
            version: 0,
        };
        stage.write_file("list: nodes.json");
        stage
    }

    pub fn write_file(&self, list: &str) {
        let place = format!(
            "conductor: {{name: c0, listen: \"{}\", tables: tables, {list}}}",
            self.listen
        );
        let log = "log: {form: json, level: debug}";
        std::fs::write(
            self.path("conductor.yaml"),
            format!("{place}\n{log}\n{DEPLOYMENT}"),
        )
        .expect("written");
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn start(&mut self) {
        self.start_with("");
    }

    /// Starts it with failpoints, as `FAILPOINTS` takes them, and waits until it listens.
    pub fn start_with(&mut self, faults: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))
            .expect("a log");
        let child = Command::new(PROGRAM)
            .arg("run")
            .arg(self.path("conductor.yaml"))
            .stdin(Stdio::null())
            .stderr(log)
            .env("FAILPOINTS", faults)
            .spawn()
            .expect("it starts");
        self.child = Some(child);
        let listen = self.listen;
        let operators = self.path("tables").join("admin.sock");
        let listens = || {
            std::net::TcpStream::connect(listen).is_ok()
                && std::os::unix::net::UnixStream::connect(&operators).is_ok()
        };
        // One that is made to end at once never listens.
        self.until("it listens", |stage| listens() || !stage.runs());
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Kills it as a crash would.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("gone");
    }

    /// Asks it to stop (SIGTERM) and waits until it has ended.
    pub fn terminate(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("it runs");
        let pid = rustix_pid(child.id());
        pid.and_then(|pid| rustix::process::kill_process(pid, rustix::process::Signal::TERM).ok())
            .expect("told");
        child.wait().expect("gone")
    }

    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.path("log")).unwrap_or_default()
    }

    /// Swaps an endpoint list in: ports, and those of them that drain.
    pub fn list(&mut self, ports: &[u16], draining: &[u16]) {
        self.version += 1;
        let text = list_text(self.version, ports, draining);
        wheelspread_files::replace_file(&self.path("nodes.json"), &text).expect("swapped");
    }

    pub fn gateway(&self, name: &str) -> PathBuf {
        self.path("tables").join("gateways").join(name)
    }

    /// The version of a proxy's tables and the ports that they name.
    pub fn held(&self, name: &str) -> Option<(u64, Vec<u16>)> {
        let held = read_tables(&self.gateway(name)).expect("whole tables at any time")?;
        let ports = held.tables.operations[0]
            .entries
            .iter()
            .map(|line| line.node.port)
            .collect();
        Some((held.tables.version.0, ports))
    }

    /// Waits for a condition, and fails with the log if it does not come within 15 s.
    pub fn until(&mut self, what: &str, mut done: impl FnMut(&mut Stage) -> bool) -> Duration {
        let begin = Instant::now();
        while !done(self) {
            assert!(
                begin.elapsed() < Duration::from_secs(15),
                "not seen: {what}\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        begin.elapsed()
    }

    /// Opens the load report stream of a proxy.
    pub fn stream(&self, name: &str, zone: &str) -> Stream {
        let socket =
            reactor::connect(self.listen.ip().octets(), self.listen.port()).expect("dials");
        let connection =
            ClientConnection::new(reactor::now(), socket, loads::METHOD, Limits::default());
        let mut stream = Stream {
            connection,
            accepted: false,
            over: None,
        };
        let who = wheelspread_controller_core::membership::ProxyIdentity {
            name: name.to_string(),
            zone: zone.to_string(),
            usual_rate: None,
        };
        stream
            .connection
            .send(&encode(&loads::identity_request(&who)));
        stream
    }
}

/// Runs a command to its end; its exit code, and what it wrote to both streams.
pub fn run_to_end(command: &mut Command) -> (i32, String) {
    let output = command.output().expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Resident memory of a process in KiB; an unreadable figure fails the test.
pub fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).expect("a figure")
}

pub fn encode(message: &impl prost::Message) -> Vec<u8> {
    message.encode_to_vec()
}

fn rustix_pid(pid: u32) -> Option<rustix::process::Pid> {
    rustix::process::Pid::from_raw(pid as i32)
}

impl Drop for Stage {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The load report stream of a proxy.
pub struct Stream {
    pub connection: ClientConnection,
    pub accepted: bool,
    pub over: Option<String>,
}

impl Stream {
    pub fn turn(&mut self) {
        let (events, over) = self.connection.turn(reactor::now());
        self.accepted |= events
            .iter()
            .any(|event| matches!(event, ClientEvent::Message { .. }));
        self.over = self.over.take().or(over);
    }
}

pub fn list_text(version: u64, ports: &[u16], draining: &[u16]) -> String {
    let endpoint = |port: &u16| {
        let health = if draining.contains(port) {
            "DRAINING"
        } else {
            "HEALTHY"
        };
        format!(
            r#"{{"endpoint": {{"address": {{"socketAddress": {{"address": "127.0.0.1", "portValue": {port}}}}}}},
                "healthStatus": "{health}"}}"#
        )
    };
    let endpoints: Vec<String> = ports.iter().map(endpoint).collect();
    format!(
        r#"{{"versionInfo": "{version}", "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
          "resources": [{{"@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            "clusterName": "nodes", "endpoints": [{{"locality": {{"zone": "north"}}, "lbEndpoints": [{}]}}]}}]}}"#,
        endpoints.join(",")
    )
}

pub fn write(path: &Path, text: &str) {
    wheelspread_files::replace_file(path, text).expect("swapped");
}
