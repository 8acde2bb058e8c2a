//! A controller process that runs with `--platform` on loopback. The discovery agent, proxies, collectors and
//! unidentified peers are stand-ins that send the messages described in docs/platform.md.

#![allow(dead_code)] // Each test binary uses some of these items.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use wheelspread_resp::{encode, Decoder, Limits};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_wheelspread");
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// An endpoint entry.
pub fn entry(name: &str, status: &str) -> Value {
    json!({"name": name, "address": "127.0.0.9:9000", "zone": "a", "type": "k", "group": 1,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// The watch's objects in the order of their publication; the first is the complete list.
pub type Objects = Arc<Mutex<Vec<Value>>>;

/// A discovery agent. It sends all objects published so far and each new one, and closes its connections when it
/// is stopped.
pub struct DiscoveryAgent {
    pub address: SocketAddr,
    pub objects: Objects,
    pub stopped: Arc<AtomicBool>,
}

impl DiscoveryAgent {
    pub fn start(objects: Objects) -> DiscoveryAgent {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("a local address");
        let agent = DiscoveryAgent {
            address,
            objects: objects.clone(),
            stopped: Arc::default(),
        };
        let stopped = agent.stopped.clone();
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let (objects, stopped) = (objects.clone(), stopped.clone());
                    std::thread::spawn(move || serve_discovery(stream, &objects, &stopped));
                }
                sleep(Duration::from_millis(2));
            }
        });
        agent
    }

    pub fn publish(&self, object: Value) {
        self.objects
            .lock()
            .expect("the lock is not poisoned")
            .push(object);
    }
}

pub fn serve_discovery(stream: TcpStream, objects: &Objects, stopped: &AtomicBool) {
    stream.set_nonblocking(false).expect("a stream");
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    let _ = reader.read_line(&mut line);
    let published = || objects.lock().expect("the lock is not poisoned").clone();
    let mut out = &stream;
    if !line.contains("watch=1") {
        let text = published()
            .first()
            .map(Value::to_string)
            .unwrap_or_default();
        let _ = write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        return;
    }
    let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (mut sent, mut sent_at) = (0, Instant::now());
    while !stopped.load(Ordering::Relaxed) {
        let published = published();
        let new_lines: String = published[sent..]
            .iter()
            .map(|object| format!("{object}\n"))
            .collect();
        let text = if new_lines.is_empty() && sent_at.elapsed() > Duration::from_secs(1) {
            "\n"
        } else {
            &new_lines
        };
        // Chunks end within lines, which HTTP permits.
        for piece in text.as_bytes().chunks(70) {
            let head = format!("{:x}\r\n", piece.len());
            let chunk = [head.as_bytes(), piece, b"\r\n"].concat();
            if out.write_all(&chunk).is_err() {
                return;
            }
            sent_at = Instant::now();
        }
        sent = published.len();
        sleep(Duration::from_millis(5));
    }
}

/// A connection to the controller.
pub struct Peer {
    pub stream: TcpStream,
    pub decoder: Decoder,
}

impl Peer {
    pub fn dial(to: SocketAddr) -> Peer {
        let stream = TcpStream::connect(to).expect("the controller listens");
        stream
            .set_read_timeout(Some(Duration::from_millis(20)))
            .expect("a stream");
        Peer {
            stream,
            decoder: Decoder::new(Limits {
                message_bytes: 1 << 20,
                strings: 64,
            }),
        }
    }

    pub fn send(&mut self, text: &str) {
        let mut bytes = Vec::new();
        encode(&text.split(' ').collect::<Vec<_>>(), &mut bytes);
        // Written in pieces, since a network may deliver them so.
        bytes
            .chunks(7)
            .for_each(|piece| self.stream.write_all(piece).expect("the controller reads"));
    }

    /// The next message; `None` once the connection has ended.
    pub fn receive(&mut self) -> Option<String> {
        let begin = Instant::now();
        let mut buffer = [0; 4096];
        loop {
            if let Some(strings) = self.decoder.next_message().expect("valid messages") {
                let message: Vec<_> = strings
                    .iter()
                    .map(|string| String::from_utf8_lossy(string))
                    .collect();
                return Some(message.join(" "));
            }
            assert!(
                begin.elapsed() < TIMEOUT,
                "no message received and the connection still open"
            );
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(count) => self.decoder.feed(&buffer[..count]),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
    }

    pub fn receive_until(&mut self, text: &str) -> String {
        loop {
            let message = self
                .receive()
                .unwrap_or_else(|| panic!("connection closed before `{text}` was received"));
            if message.contains(text) {
                return message;
            }
        }
    }

    /// Acknowledges the version marker of a message.
    pub fn acknowledge(&mut self, proxy: u16, message: &str) {
        let marker = message
            .split("stamp ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next())
            .expect("a version marker");
        self.send(&format!(
            "applied sidecar {proxy} version {marker} lag_ms 2.5"
        ));
    }
}

/// A controller process and its directory. Dropping it kills the process.
pub struct ControllerProcess {
    pub directory: tempfile::TempDir,
    pub listen: SocketAddr,
    pub child: Option<Child>,
}

impl ControllerProcess {
    pub fn start(discovery: SocketAddr, sockets: usize) -> ControllerProcess {
        let mut controller = ControllerProcess::prepare(discovery, sockets);
        controller.spawn();
        controller.wait_until_listening();
        controller
    }

    /// Reserves an address and writes a configuration without starting the process.
    pub fn prepare(discovery: SocketAddr, sockets: usize) -> ControllerProcess {
        let listen = wheelspread_drill::own_port().expect("a free port").into();
        let directory = tempfile::tempdir().expect("a directory");
        let controller = ControllerProcess {
            directory,
            listen,
            child: None,
        };
        controller.configure(discovery, sockets, 3.0);
        controller
    }

    pub fn spawn(&mut self) {
        let log = std::fs::File::create(self.log()).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["run", "--platform"])
            .arg(self.config())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the process starts");
        self.child = Some(child);
    }

    pub fn wait_until_listening(&self) {
        let begin = Instant::now();
        while TcpStream::connect(self.listen).is_err() {
            assert!(begin.elapsed() < TIMEOUT, "the controller does not listen");
            sleep(Duration::from_millis(5));
        }
    }

    pub fn log(&self) -> PathBuf {
        self.directory.path().join("log")
    }

    pub fn wait_for_log(&self, text: &str, mut meanwhile: impl FnMut()) {
        let begin = Instant::now();
        while !std::fs::read_to_string(self.log()).is_ok_and(|log| log.contains(text)) {
            assert!(
                begin.elapsed() < TIMEOUT,
                "the log does not contain `{text}`"
            );
            meanwhile();
            sleep(Duration::from_millis(5));
        }
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let mut child = self.child.take().expect("the process runs");
        let begin = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("a child") {
                return status;
            }
            assert!(begin.elapsed() < TIMEOUT, "the process does not exit");
            sleep(Duration::from_millis(2));
        }
    }

    /// Runs `meanwhile` while the process is stopped (SIGSTOP), so that the controller finds everything sent in that
    /// time at once when it continues.
    pub fn while_stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal(rustix::process::Signal::STOP);
        let stat = format!(
            "/proc/{}/stat",
            self.child.as_ref().expect("the process runs").id()
        );
        let begin = Instant::now();
        let state = || std::fs::read_to_string(&stat).expect("a process");
        while !state()
            .rsplit(')')
            .next()
            .is_some_and(|rest| rest.trim_start().starts_with('T'))
        {
            assert!(begin.elapsed() < TIMEOUT, "the process does not stop");
            std::thread::yield_now();
        }
        let result = meanwhile();
        self.signal(rustix::process::Signal::CONT);
        result
    }

    pub fn config(&self) -> PathBuf {
        self.directory.path().join("config.json")
    }

    pub fn configure(&self, discovery: SocketAddr, sockets: usize, drain_grace: f64) {
        let settings = json!({"az": 0, "me": 0, "peers_total": 1, "discovery": "push", "tick": 0.005,
            "zones": ["a"], "kinds": ["k"],
            "classes": [{"name": "lookup", "aim": 1.0, "deadline": 3.0, "idempotency": "read_like"}],
            "feedback": {"fields": ["busy"], "via": "piggyback"},
            "rules": {"overload_factor": 4.0, "start_capacity": 0.2, "warm_after": 10.0,
                "stop_sending_within": drain_grace},
            "extra": {"admit": "ratio", "backlog": 9000.0, "bare": 2.0, "head": 4.0, "period": 1.0,
                "proxy_count": 8, "push_delay_max": 0.5, "push_rate": 9000.0, "pushes_allowed": 20,
                "update_window": 10.0}});
        let cached_list =
            json!({"index": 1, "snapshot": true, "endpoints": [entry("old", "Ready")]});
        let config = json!({"name": "n0", "listen": self.listen.to_string(), "seed": "8c1f30d27a5be964",
            "discovery": discovery.to_string(), "known": cached_list, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}});
        self.write_config(&config.to_string());
    }

    pub fn write_config(&self, text: &str) {
        std::fs::write(self.config(), text).expect("written");
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("the process runs").id()
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = self.child.as_ref().expect("the process runs").id();
        let pid = rustix::process::Pid::from_raw(id as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("the signal is sent");
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A watch whose first object is the complete list of these nodes, all ready.
pub fn ready_nodes(names: &[&str]) -> Objects {
    let entries: Vec<Value> = names.iter().map(|name| entry(name, "Ready")).collect();
    Arc::new(Mutex::new(vec![
        json!({"index": 5, "snapshot": true, "endpoints": entries}),
    ]))
}

/// A discovery agent whose every response is written by the test.
pub struct ManualDiscovery {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl ManualDiscovery {
    pub fn start() -> ManualDiscovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("a local address");
        ManualDiscovery { listener, address }
    }

    /// Waits for the next request to discovery.
    pub fn next_request(&self) -> DiscoveryRequest {
        let begin = Instant::now();
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).expect("a stream");
                stream.set_read_timeout(Some(TIMEOUT)).expect("a stream");
                let mut target = String::new();
                let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
                reader.read_line(&mut target).expect("a request");
                let mut line = String::new();
                while line != "\r\n" {
                    line.clear();
                    assert!(
                        reader.read_line(&mut line).expect("a request") > 0,
                        "the request head is incomplete"
                    );
                }
                return DiscoveryRequest { stream, target };
            }
            assert!(begin.elapsed() < TIMEOUT, "no request to discovery");
            sleep(Duration::from_millis(1));
        }
    }

    /// The two requests that a controller sends when it starts or gets a new discovery address, which arrive in any
    /// order: the watch, and the read of the complete list.
    pub fn watch_and_list(&self) -> (DiscoveryRequest, DiscoveryRequest) {
        let (first, second) = (self.next_request(), self.next_request());
        match first.is_watch() {
            true => (first, second),
            false => (second, first),
        }
    }
}

/// A request to discovery that is not answered yet.
pub struct DiscoveryRequest {
    pub stream: TcpStream,
    pub target: String,
}

impl DiscoveryRequest {
    pub fn is_watch(&self) -> bool {
        self.target.contains("watch=1")
    }

    pub fn send_raw(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Sends a complete response and closes the connection.
    pub fn respond(mut self, list: &Value) {
        let text = list.to_string();
        self.send_raw(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        ));
    }

    pub fn begin_watch(&mut self) {
        self.send_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    pub fn send_chunk(&mut self, text: &str) {
        self.send_raw(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    pub fn send_object(&mut self, list: &Value) {
        self.send_chunk(&format!("{list}\n"));
    }

    /// Waits until the controller has closed the connection.
    pub fn wait_until_closed(&mut self) {
        let mut buffer = [0; 64];
        assert!(
            matches!(self.stream.read(&mut buffer), Ok(0) | Err(_)),
            "the controller sends more"
        );
    }
}

/// An endpoint list, complete or of changes only; each node has a name and a status.
pub fn endpoint_list(version: u64, complete: bool, nodes: &[(&str, &str)]) -> Value {
    let entries: Vec<Value> = nodes
        .iter()
        .map(|(name, status)| entry(name, status))
        .collect();
    json!({"index": version, "snapshot": complete, "endpoints": entries})
}
