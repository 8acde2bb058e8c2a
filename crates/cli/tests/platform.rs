//! A conductor of a platform as a process on loopback. Discovery's agent, proxies, collectors and strangers
//! are stand-ins that say on sockets what docs/platform.md says they do.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use wheelspread_resp::{write, Limits, Reader};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wheelspread");
const PATIENCE: Duration = Duration::from_secs(10);

fn entry(name: &str, status: &str) -> Value {
    json!({"name": name, "address": "127.0.0.9:9000", "zone": "a", "type": "k", "group": 1,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// Objects of the watch so far; the first is the full list.
type Objects = Arc<Mutex<Vec<Value>>>;

/// An agent of discovery. It says what it has been sent, and ends its connections when it is moved away.
struct Agent {
    address: SocketAddr,
    objects: Objects,
    moved: Arc<AtomicBool>,
}

impl Agent {
    fn start(objects: Objects) -> Agent {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("bound");
        let agent = Agent { address, objects: objects.clone(), moved: Arc::default() };
        let moved = agent.moved.clone();
        std::thread::spawn(move || {
            while !moved.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let (objects, moved) = (objects.clone(), moved.clone());
                    std::thread::spawn(move || answer(stream, &objects, &moved));
                }
                sleep(Duration::from_millis(2));
            }
        });
        agent
    }

    fn say(&self, object: Value) {
        self.objects.lock().expect("nobody failed").push(object);
    }
}

fn answer(stream: TcpStream, objects: &Objects, moved: &AtomicBool) {
    stream.set_nonblocking(false).expect("a stream");
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    let _ = reader.read_line(&mut line);
    let known = || objects.lock().expect("nobody failed").clone();
    let mut out = &stream;
    if !line.contains("watch=1") {
        let text = known().first().map(Value::to_string).unwrap_or_default();
        let _ = write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        return;
    }
    let _ = out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (mut said, mut spoke) = (0, Instant::now());
    while !moved.load(Ordering::Relaxed) {
        let known = known();
        let news: String = known[said..].iter().map(|object| format!("{object}\n")).collect();
        let text = if news.is_empty() && spoke.elapsed() > Duration::from_secs(1) { "\n" } else { &news };
        // Chunks end within lines, as they may.
        for some in text.as_bytes().chunks(70) {
            let head = format!("{:x}\r\n", some.len());
            let chunk = [head.as_bytes(), some, b"\r\n"].concat();
            if out.write_all(&chunk).is_err() {
                return;
            }
            spoke = Instant::now();
        }
        said = known.len();
        sleep(Duration::from_millis(5));
    }
}

/// A connection to the conductor.
struct Party {
    stream: TcpStream,
    reader: Reader,
}

impl Party {
    fn dial(to: SocketAddr) -> Party {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a stream");
        Party { stream, reader: Reader::new(Limits { message: 1 << 20, strings: 64 }) }
    }

    fn say(&mut self, text: &str) {
        let mut bytes = Vec::new();
        write(&text.split(' ').collect::<Vec<_>>(), &mut bytes);
        // In pieces, as a network may bring them.
        bytes.chunks(7).for_each(|some| self.stream.write_all(some).expect("it reads"));
    }

    /// The next message; `None` when the connection is over.
    fn hear(&mut self) -> Option<String> {
        let begin = Instant::now();
        let mut room = [0; 4096];
        loop {
            if let Some(strings) = self.reader.message().expect("messages") {
                let words: Vec<_> = strings.iter().map(|string| String::from_utf8_lossy(string)).collect();
                return Some(words.join(" "));
            }
            assert!(begin.elapsed() < PATIENCE, "nothing is said and nothing ends");
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(count) => self.reader.feed(&room[..count]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
    }

    fn until(&mut self, words: &str) -> String {
        loop {
            let said = self.hear().unwrap_or_else(|| panic!("it ended before it said {words}"));
            if said.contains(words) {
                return said;
            }
        }
    }

    /// Answers the mark of a message.
    fn answer(&mut self, proxy: u16, said: &str) {
        let mark = said.split("stamp ").nth(1).and_then(|rest| rest.split(' ').next()).expect("a mark");
        self.say(&format!("applied sidecar {proxy} version {mark} lag_ms 2.5"));
    }
}

struct Platform {
    directory: tempfile::TempDir,
    listen: SocketAddr,
    child: Option<Child>,
}

impl Platform {
    fn start(agent: &Agent, sockets: usize) -> Platform {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let listen = free.local_addr().expect("bound");
        drop(free);
        let directory = tempfile::tempdir().expect("a directory");
        let mut platform = Platform { directory, listen, child: None };
        platform.configure(agent, sockets, 3.0);
        let child = Command::new(PROGRAM)
            .args(["run", "--platform"])
            .arg(platform.config())
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        platform.child = Some(child);
        let begin = Instant::now();
        while TcpStream::connect(listen).is_err() {
            assert!(begin.elapsed() < PATIENCE, "it does not listen");
            sleep(Duration::from_millis(5));
        }
        platform
    }

    fn config(&self) -> PathBuf {
        self.directory.path().join("config.json")
    }

    fn configure(&self, agent: &Agent, sockets: usize, grace: f64) {
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
            "discovery": agent.address.to_string(), "known": known, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}});
        std::fs::write(self.config(), config.to_string()).expect("written");
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let id = self.child.as_ref().expect("it runs").id();
        let pid = rustix::process::Pid::from_raw(id as i32).expect("a process");
        rustix::process::kill_process(pid, signal).expect("told");
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

fn objects(names: &[&str]) -> Objects {
    let entries: Vec<Value> = names.iter().map(|name| entry(name, "Ready")).collect();
    Arc::new(Mutex::new(vec![json!({"index": 5, "snapshot": true, "endpoints": entries})]))
}

#[test]
fn a_proxy_is_served_through_changes_of_the_list_and_a_move_of_discovery() {
    let first = Agent::start(objects(&["s1", "s2", "s3"]));
    let mut platform = Platform::start(&first, 64);
    let mut sign = Party::dial(platform.listen);
    sign.say("ping");
    assert_eq!(sign.hear().as_deref(), Some("pong"));
    let mut proxy = Party::dial(platform.listen);
    proxy.say("joined sidecar 3 az a share 12.5 standing 1");
    let said = proxy.until("replace 1");
    proxy.answer(3, &said);
    first.say(json!({"index": 6, "snapshot": false, "endpoints": [entry("s1", "Terminating")]}));
    let said = proxy.until("s1:0");
    proxy.answer(3, &said);
    // Discovery moves: the new place is named by a new configuration, the old one ends.
    let second = Agent::start(first.objects.clone());
    platform.configure(&second, 64, 2.0);
    platform.signal(rustix::process::Signal::HUP);
    sleep(Duration::from_millis(200));
    first.moved.store(true, Ordering::Relaxed);
    second.say(json!({"index": 7, "snapshot": false, "endpoints": [entry("s2", "Gone")]}));
    proxy.until("s2:0");
    platform.signal(rustix::process::Signal::TERM);
    let ended = platform.child.take().expect("it runs").wait().expect("it ends");
    assert!(ended.success(), "{ended}");
}

#[test]
fn strangers_are_sent_away_and_take_no_room_from_proxies() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(&agent, 48);
    let begin = Instant::now();
    let mut silent: Vec<Party> = (0..90).map(|_| Party::dial(platform.listen)).collect();
    let mut strange: Vec<Party> = Vec::new();
    let half = "*3\r\n$6\r\njoined\r\n$7\r\nside";
    let endless = format!("*9\r\n$4000\r\n{}", "x".repeat(3000));
    for text in ["GET / HTTP/1.1\r\n\r\n", "*-1\r\n", "*1\r\n$9999999\r\n", half, &endless] {
        let mut party = Party::dial(platform.listen);
        party.stream.write_all(text.as_bytes()).expect("it reads");
        strange.push(party);
    }
    for text in
        ["joined sidecar 8 az a share 1 standing 1", "usage sidecar 1 kind lookup n 1 bad 0 window 1000"]
    {
        let mut party = Party::dial(platform.listen);
        party.say(text);
        strange.push(party);
    }
    let mut proxies: Vec<Party> = (0..8).map(|_| Party::dial(platform.listen)).collect();
    for (at, proxy) in proxies.iter_mut().enumerate() {
        proxy.say(&format!("joined sidecar {at} az a share 12.5 standing 1"));
    }
    proxies.iter_mut().for_each(|proxy| _ = proxy.until("replace 1"));
    strange.iter_mut().for_each(|party| assert_eq!(party.hear(), None));
    silent.iter_mut().for_each(|party| assert_eq!(party.hear(), None));
    assert!(begin.elapsed() < Duration::from_secs(3), "after {:?}", begin.elapsed());
    proxies[0].say("ping");
    proxies[0].until("pong");
}
