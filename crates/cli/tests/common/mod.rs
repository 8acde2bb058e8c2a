//! A controller process with a directory of its own, and load report streams opened as proxies open them.

#![allow(dead_code)] // Each test binary uses some of these items.

pub mod client;
pub mod keys;
pub mod memory;

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

/// A controller process and its files. Dropping it kills the process.
pub struct ControllerProcess {
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

impl ControllerProcess {
    pub fn new() -> ControllerProcess {
        let directory = tempfile::tempdir().expect("a directory");
        let listen = wheelspread_drill::own_port().expect("a free port");
        let controller = ControllerProcess {
            directory,
            listen,
            child: None,
            version: 0,
        };
        controller.write_config("list: nodes.json");
        controller
    }

    /// Writes the configuration file; `endpoint_list` holds the settings of the endpoint list.
    pub fn write_config(&self, endpoint_list: &str) {
        let address_settings = format!(
            "conductor: {{name: c0, listen: \"{}\", tables: tables, {endpoint_list}}}",
            self.listen
        );
        let log = "log: {form: json, level: debug}";
        std::fs::write(
            self.path("conductor.yaml"),
            format!("{address_settings}\n{log}\n{DEPLOYMENT}"),
        )
        .expect("written");
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn start(&mut self) {
        self.start_with_failpoints("");
    }

    /// Starts the process with failpoints in the format of `FAILPOINTS`, and waits until it listens.
    pub fn start_with_failpoints(&mut self, failpoints: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))
            .expect("a log file");
        let child = Command::new(PROGRAM)
            .arg("run")
            .arg(self.path("conductor.yaml"))
            .stdin(Stdio::null())
            .stderr(log)
            .env("FAILPOINTS", failpoints)
            .spawn()
            .expect("the process starts");
        self.child = Some(child);
        let listen = self.listen;
        let admin_socket = self.path("tables").join("admin.sock");
        let listens = || {
            std::net::TcpStream::connect(listen).is_ok()
                && std::os::unix::net::UnixStream::connect(&admin_socket).is_ok()
        };
        // A process that a failpoint ends during its start never listens.
        self.wait_until("the controller listens", |controller| {
            listens() || !controller.is_running()
        });
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("the process runs").id()
    }

    /// Kills the process (SIGKILL), as a crash would.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("the process runs");
        child.kill().expect("killed");
        child.wait().expect("the process has exited");
    }

    /// Sends SIGTERM and waits until the process has exited.
    pub fn terminate(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("the process runs");
        let pid = process_id(child.id());
        pid.and_then(|pid| rustix::process::kill_process(pid, rustix::process::Signal::TERM).ok())
            .expect("signal sent");
        child.wait().expect("the process has exited")
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.path("log")).unwrap_or_default()
    }

    /// Replaces the endpoint list file: nodes at `ports`, of which those in `draining` drain.
    pub fn publish_endpoint_list(&mut self, ports: &[u16], draining: &[u16]) {
        self.version += 1;
        let text = endpoint_list_text(self.version, ports, draining);
        wheelspread_files::replace_file(&self.path("nodes.json"), &text).expect("file replaced");
    }

    /// Directory of a proxy's table files.
    pub fn proxy_directory(&self, name: &str) -> PathBuf {
        self.path("tables").join("gateways").join(name)
    }

    /// Version of a proxy's tables on disk, and the ports of their entries.
    pub fn published(&self, name: &str) -> Option<(u64, Vec<u16>)> {
        let published =
            read_tables(&self.proxy_directory(name)).expect("complete tables at any time")?;
        let ports = published.tables.operations[0]
            .entries
            .iter()
            .map(|entry| entry.node.port)
            .collect();
        Some((published.tables.version.0, ports))
    }

    /// Waits until a condition holds; returns how long that took. Fails with the controller's log after 15 s.
    pub fn wait_until(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&mut ControllerProcess) -> bool,
    ) -> Duration {
        let begin = Instant::now();
        while !condition(self) {
            assert!(
                begin.elapsed() < Duration::from_secs(15),
                "timed out waiting for: {what}\n{}",
                self.log()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        begin.elapsed()
    }

    /// Opens the load report stream of a proxy and sends the proxy's identity.
    pub fn open_report_stream(&self, name: &str, zone: &str) -> ReportStream {
        let socket = reactor::connect(self.listen.ip().octets(), self.listen.port())
            .expect("connection started");
        let connection =
            ClientConnection::new(reactor::now(), socket, loads::METHOD, Limits::default());
        let mut stream = ReportStream {
            connection,
            accepted: false,
            close_reason: None,
        };
        let identity = wheelspread_controller_core::membership::ProxyIdentity {
            name: name.to_string(),
            zone: zone.to_string(),
            usual_rate: None,
        };
        stream
            .connection
            .send(&encode(&loads::identity_request(&identity)));
        stream
    }
}

/// Runs a command to its end; returns its exit code, and its standard output followed by its standard error.
pub fn run_to_end(command: &mut Command) -> (i32, String) {
    let output = command.output().expect("the process runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

pub fn encode(message: &impl prost::Message) -> Vec<u8> {
    message.encode_to_vec()
}

fn process_id(pid: u32) -> Option<rustix::process::Pid> {
    rustix::process::Pid::from_raw(pid as i32)
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The load report stream of a proxy.
pub struct ReportStream {
    pub connection: ClientConnection,
    /// Whether the controller has answered.
    pub accepted: bool,
    /// Why the connection ended; `None` while it is open.
    pub close_reason: Option<String>,
}

impl ReportStream {
    pub fn poll(&mut self) {
        let (events, close_reason) = self.connection.turn(reactor::now());
        self.accepted |= events
            .iter()
            .any(|event| matches!(event, ClientEvent::Message { .. }));
        self.close_reason = self.close_reason.take().or(close_reason);
    }
}

/// An endpoint list of nodes at `ports` in zone `north`, of which those in `draining` drain.
pub fn endpoint_list_text(version: u64, ports: &[u16], draining: &[u16]) -> String {
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

/// Replaces a file in one step.
pub fn write(path: &Path, text: &str) {
    wheelspread_files::replace_file(path, text).expect("file replaced");
}
