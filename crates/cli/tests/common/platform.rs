//! A controller on a platform as a process on loopback. Discovery's agent, proxies, collectors and unidentified
//! peers are stand-ins that send what docs/platform.md describes.

#![allow(dead_code)] // each test binary uses its part

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

pub fn entry(name: &str, status: &str) -> Value {
    json!({"name": name, "address": "127.0.0.9:9000", "zone": "a", "type": "k", "group": 1,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// Objects of the watch so far; the first is the full list.
pub type Objects = Arc<Mutex<Vec<Value>>>;

/// An agent of discovery. It sends all objects so far, and closes its connections when it is moved away.
pub struct Agent {
    pub address: SocketAddr,
    pub objects: Objects,
    pub moved: Arc<AtomicBool>,
}

impl Agent {
    pub fn start(objects: Objects) -> Agent {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("bound");
        let agent = Agent {
            address,
            objects: objects.clone(),
            moved: Arc::default(),
        };
        let moved = agent.moved.clone();
        std::thread::spawn(move || {
            while !moved.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let (objects, moved) = (objects.clone(), moved.clone());
                    std::thread::spawn(move || serve(stream, &objects, &moved));
                }
                sleep(Duration::from_millis(2));
            }
        });
        agent
    }

    pub fn publish(&self, object: Value) {
        self.objects.lock().expect("nobody failed").push(object);
    }
}

pub fn serve(stream: TcpStream, objects: &Objects, moved: &AtomicBool) {
    stream.set_nonblocking(false).expect("a stream");
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    let _ = reader.read_line(&mut line);
    let known = || objects.lock().expect("nobody failed").clone();
    let mut out = &stream;
    if !line.contains("watch=1") {
        let text = known().first().map(Value::to_string).unwrap_or_default();
        let _ = write!(
            out,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        return;
    }
    let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (mut sent, mut sent_at) = (0, Instant::now());
    while !moved.load(Ordering::Relaxed) {
        let known = known();
        let news: String = known[sent..]
            .iter()
            .map(|object| format!("{object}\n"))
            .collect();
        let text = if news.is_empty() && sent_at.elapsed() > Duration::from_secs(1) {
            "\n"
        } else {
            &news
        };
        // Chunks end within lines, as they may.
        for some in text.as_bytes().chunks(70) {
            let head = format!("{:x}\r\n", some.len());
            let chunk = [head.as_bytes(), some, b"\r\n"].concat();
            if out.write_all(&chunk).is_err() {
                return;
            }
            sent_at = Instant::now();
        }
        sent = known.len();
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
        let stream = TcpStream::connect(to).expect("it listens");
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
        // In pieces, as a network may bring them.
        bytes
            .chunks(7)
            .for_each(|some| self.stream.write_all(some).expect("it reads"));
    }

    /// The next message; `None` when the connection is over.
    pub fn receive(&mut self) -> Option<String> {
        let begin = Instant::now();
        let mut room = [0; 4096];
        loop {
            if let Some(strings) = self.decoder.next_message().expect("messages") {
                let words: Vec<_> = strings
                    .iter()
                    .map(|string| String::from_utf8_lossy(string))
                    .collect();
                return Some(words.join(" "));
            }
            assert!(
                begin.elapsed() < TIMEOUT,
                "nothing is received and nothing is closed"
            );
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(count) => self.decoder.feed(&room[..count]),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
    }

    pub fn receive_until(&mut self, words: &str) -> String {
        loop {
            let message = self
                .receive()
                .unwrap_or_else(|| panic!("closed before {words} was received"));
            if message.contains(words) {
                return message;
            }
        }
    }

    /// Acknowledges the marker of a message.
    pub fn acknowledge(&mut self, proxy: u16, message: &str) {
        let marker = message
            .split("stamp ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next())
            .expect("a marker");
        self.send(&format!(
            "applied sidecar {proxy} version {marker} lag_ms 2.5"
        ));
    }
}

pub struct Platform {
    pub directory: tempfile::TempDir,
    pub listen: SocketAddr,
    pub child: Option<Child>,
}

impl Platform {
    pub fn start(discovery: SocketAddr, sockets: usize) -> Platform {
        let mut platform = Platform::prepare(discovery, sockets);
        platform.spawn();
        platform.wait_until_listening();
        platform
    }

    /// A place and a configuration; nothing runs yet.
    pub fn prepare(discovery: SocketAddr, sockets: usize) -> Platform {
        let listen = wheelspread_drill::own_port().expect("a port").into();
        let directory = tempfile::tempdir().expect("a directory");
        let platform = Platform {
            directory,
            listen,
            child: None,
        };
        platform.configure(discovery, sockets, 3.0);
        platform
    }

    pub fn spawn(&mut self) {
        let log = std::fs::File::create(self.log()).expect("a log");
        let child = Command::new(PROGRAM)
            .args(["run", "--platform"])
            .arg(self.config())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("it starts");
        self.child = Some(child);
    }

    pub fn wait_until_listening(&self) {
        let begin = Instant::now();
        while TcpStream::connect(self.listen).is_err() {
            assert!(begin.elapsed() < TIMEOUT, "it does not listen");
            sleep(Duration::from_millis(5));
        }
    }

    pub fn log(&self) -> PathBuf {
        self.directory.path().join("log")
    }

    pub fn wait_for_log(&self, words: &str, mut meanwhile: impl FnMut()) {
        let begin = Instant::now();
        while !std::fs::read_to_string(self.log()).is_ok_and(|log| log.contains(words)) {
            assert!(begin.elapsed() < TIMEOUT, "it does not say {words}");
            meanwhile();
            sleep(Duration::from_millis(5));
        }
    }

    /// Waits for the end of the process.
    pub fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let mut child = self.child.take().expect("it runs");
        let begin = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("a child") {
                return status;
            }
            assert!(begin.elapsed() < TIMEOUT, "it does not end");
            sleep(Duration::from_millis(2));
        }
    }

    /// Runs something while the controller is stopped: it finds all of it at once afterwards.
    pub fn while_stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal(rustix::process::Signal::STOP);
        let stat = format!("/proc/{}/stat", self.child.as_ref().expect("it runs").id());
        let begin = Instant::now();
        let state = || std::fs::read_to_string(&stat).expect("a process");
        while !state()
            .rsplit(')')
            .next()
            .is_some_and(|rest| rest.trim_start().starts_with('T'))
        {
            assert!(begin.elapsed() < TIMEOUT, "it does not halt");
            std::thread::yield_now();
        }
        let result = meanwhile();
        self.signal(rustix::process::Signal::CONT);
        result
    }

    pub fn config(&self) -> PathBuf {
        self.directory.path().join("config.json")
    }

    pub fn configure(&self, discovery: SocketAddr, sockets: usize, grace: f64) {
        let settings = json!({"az": 0, "me": 0, "peers_total": 1, "discovery": "push", "tick": 0.005,
            "zones": ["a"], "kinds": ["k"],
            "classes": [{"name": "lookup", "aim": 1.0, "deadline": 3.0, "idempotency": "read_like"}],
            "feedback": {"fields": ["busy"], "via": "piggyback"},
            "rules": {"overload_factor": 4.0, "start_capacity": 0.2, "warm_after": 10.0,
                "stop_sending_within": grace},
            "extra": {"admit": "ratio", "backlog": 9000.0, "bare": 2.0, "head": 4.0, "period": 1.0,
                "proxy_count": 8, "push_delay_max": 0.5, "push_rate": 9000.0, "pushes_allowed": 20,
                "update_window": 10.0}});
        let known = json!({"index": 1, "snapshot": true, "endpoints": [entry("old", "Ready")]});
        let config = json!({"name": "n0", "listen": self.listen.to_string(), "seed": "8c1f30d27a5be964",
            "discovery": discovery.to_string(), "known": known, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}});
        self.write_config(&config.to_string());
    }

    pub fn write_config(&self, text: &str) {
        std::fs::write(self.config(), text).expect("written");
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = self.child.as_ref().expect("it runs").id();
        let pid = rustix::process::Pid::from_raw(id as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("the signal is sent");
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn objects(names: &[&str]) -> Objects {
    let entries: Vec<Value> = names.iter().map(|name| entry(name, "Ready")).collect();
    Arc::new(Mutex::new(vec![
        json!({"index": 5, "snapshot": true, "endpoints": entries}),
    ]))
}

/// Discovery whose every answer a test gives itself.
pub struct ManualDiscovery {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl ManualDiscovery {
    pub fn start() -> ManualDiscovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("bound");
        ManualDiscovery { listener, address }
    }

    /// The next request to discovery.
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
                        "a head without an end"
                    );
                }
                return DiscoveryRequest { stream, target };
            }
            assert!(begin.elapsed() < TIMEOUT, "discovery gets no request");
            sleep(Duration::from_millis(1));
        }
    }

    /// The two requests of a start and of a new address, in whatever order: the watch, and the complete list.
    pub fn watch_and_list(&self) -> (DiscoveryRequest, DiscoveryRequest) {
        let (first, second) = (self.next_request(), self.next_request());
        match first.is_watch() {
            true => (first, second),
            false => (second, first),
        }
    }
}

/// A request to discovery, not answered yet.
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

    /// Sends a complete response.
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

    /// Waits until the controller has closed it.
    pub fn wait_until_closed(&mut self) {
        let mut room = [0; 64];
        assert!(
            matches!(self.stream.read(&mut room), Ok(0) | Err(_)),
            "it sends more"
        );
    }
}

pub fn list(version: u64, full: bool, nodes: &[(&str, &str)]) -> Value {
    let entries: Vec<Value> = nodes
        .iter()
        .map(|(name, status)| entry(name, status))
        .collect();
    json!({"index": version, "snapshot": full, "endpoints": entries})
}
