//! Fast stand-in nodes and a closed-loop client, to see what a proxy does and costs at full speed. Nodes
//! here do no work; they count, and go wrong as often as they are told.

use hdrhistogram::Histogram;
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

/// Of the requests at a node, the parts that go wrong in each way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Executed; the connection is reset instead of an answer.
    pub reset: f64,
    /// Executed; no answer ever comes.
    pub silent: f64,
    /// Executed; answered with 500.
    pub error: f64,
    /// Not executed; answered with 503.
    pub refuse: f64,
    /// Executed and answered; then the connection is closed without a word.
    pub close: f64,
}

/// What the nodes executed.
#[derive(Clone, Debug, Default)]
pub struct ExecutionCounts {
    /// By node, how often an invocation was executed there.
    pub executed: Vec<u64>,
    /// By invocation, how often it was executed, if ids are kept.
    pub effects: HashMap<u64, u32>,
}

/// Stand-in servers that answer at once, for measurements of proxies.
pub struct FastNodes {
    /// Where each of them listens.
    pub addresses: Vec<SocketAddrV4>,
    /// What they have executed so far.
    pub met: Arc<Mutex<ExecutionCounts>>,
    /// The faults of each.
    pub faults: Arc<Mutex<Vec<Faults>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const ERROR: &[u8] = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const FULL: &[u8] = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n";
const LISTENERS: u64 = 1 << 40;

impl FastNodes {
    /// Starts this many. With `keep_ids` executions are counted by invocation too.
    pub fn start(count: usize, keep_ids: bool, seed: u64) -> std::io::Result<FastNodes> {
        let mut poll = Poll::new()?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for number in 0..count {
            let listener = reactor::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
            poll.add(
                &listener,
                Token(LISTENERS + number as u64),
                Interest::Readable,
            )?;
            if let SocketAddr::V4(address) = listener.local_addr()? {
                addresses.push(address);
            }
            listeners.push(listener);
        }
        let met = Arc::new(Mutex::new(ExecutionCounts {
            executed: vec![0; count],
            effects: HashMap::new(),
        }));
        let faults = Arc::new(Mutex::new(vec![Faults::default(); count]));
        let stop = Arc::new(AtomicBool::new(false));
        let (told, book, wrong) = (stop.clone(), met.clone(), faults.clone());
        let run = move || {
            let mut nodes = NodeLoop {
                listeners,
                calls: Slab::new(),
                book,
                wrong,
                keep_ids,
                chance: Pcg::new(seed),
            };
            let mut ready = Vec::new();
            while !told.load(Ordering::Relaxed) {
                if poll.wait(Span::from_seconds(0.05), &mut ready).is_err() {
                    return;
                }
                for ready in ready.drain(..) {
                    match ready.token.0.checked_sub(LISTENERS) {
                        Some(number) => nodes.accept(&poll, number as usize),
                        None => nodes.serve(ready.token.0 as usize),
                    }
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("fast-nodes".to_string())
            .spawn(run)?;
        Ok(FastNodes {
            addresses,
            met,
            faults,
            stop,
            thread: Some(thread),
        })
    }

    /// Sets the faults of one node from now on.
    pub fn set_faults(&self, node: usize, faults: Faults) {
        if let Ok(mut all) = self.faults.lock() {
            all[node] = faults;
        }
    }

    /// A copy of what they have executed so far.
    pub fn seen(&self) -> ExecutionCounts {
        self.met.lock().map(|met| met.clone()).unwrap_or_default()
    }
}

impl Drop for FastNodes {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct NodeLoop {
    listeners: Vec<TcpListener>,
    calls: Slab<(usize, TcpStream, Vec<u8>)>,
    book: Arc<Mutex<ExecutionCounts>>,
    wrong: Arc<Mutex<Vec<Faults>>>,
    keep_ids: bool,
    chance: Pcg,
}

impl NodeLoop {
    fn accept(&mut self, poll: &Poll, number: usize) {
        for socket in reactor::accept(&self.listeners[number]).0 {
            let slot = self.calls.insert((number, socket, Vec::new()));
            if poll
                .add(&self.calls[slot].1, Token(slot as u64), Interest::Edges)
                .is_err()
            {
                self.calls.remove(slot);
            }
        }
    }

    fn serve(&mut self, slot: usize) {
        let Some((node, socket, input)) = self.calls.get_mut(slot) else {
            return;
        };
        let mut piece = [0u8; 16384];
        let over = loop {
            match socket.read(&mut piece) {
                Ok(0) => break true,
                Ok(count) => input.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        let node = *node;
        let mut ends = over;
        while let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let id = if self.keep_ids {
                request_id(&input[..end])
            } else {
                None
            };
            input.drain(..end + 4);
            let faults = self.wrong.lock().map(|all| all[node]).unwrap_or_default();
            let mut draw = self.chance.unit();
            let mut strikes = |part: f64| {
                draw -= part;
                draw < 0.0 && draw >= -part
            };
            let kinds = [
                faults.refuse,
                faults.reset,
                faults.silent,
                faults.error,
                faults.close,
            ];
            let struck = kinds.map(&mut strikes);
            if !struck[0] {
                if let Ok(mut book) = self.book.lock() {
                    book.executed[node] += 1;
                    if let Some(id) = id {
                        *book.effects.entry(id).or_insert(0) += 1;
                    }
                }
            }
            let answer: &[u8] = match struck {
                [true, ..] => FULL,
                [_, true, ..] => {
                    let (_, socket, _) = self.calls.remove(slot);
                    return reactor::reset(socket);
                }
                [_, _, true, ..] => continue,
                [_, _, _, true, _] => ERROR,
                _ => ANSWER,
            };
            // Answers are short; a socket that takes none of one is as good as gone.
            ends |= socket.write(answer).is_err() || struck[4];
        }
        if ends {
            self.calls.remove(slot);
        }
    }
}

/// The number in `x-request-id`.
fn request_id(head: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(head).ok()?;
    let (_, rest) = text.split_once("x-request-id: ")?;
    rest.split("\r\n").next()?.parse().ok()
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// Answers by HTTP status.
    pub answers: BTreeMap<u16, u64>,
    /// Ended without an answer.
    pub broken: u64,
    /// Latencies in microseconds.
    pub micros: Histogram<u64>,
    /// How long the load lasted.
    pub seconds: f64,
}

impl Loaded {
    /// All answers.
    pub fn total(&self) -> u64 {
        self.answers.values().sum::<u64>() + self.broken
    }

    /// Answers a second.
    pub fn per_second(&self) -> f64 {
        self.answers.get(&200).copied().unwrap_or(0) as f64 / self.seconds.max(1e-9)
    }

    /// The latency at this quantile, in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// A load to be put on a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    /// Where the proxy listens.
    pub target: SocketAddrV4,
    /// The operation that is invoked.
    pub operation: &'a str,
    /// Connections that are open at once.
    pub connections: usize,
    /// Ends after so many invocations, or after so long.
    pub invocations: u64,
    /// The longest time that the load lasts.
    pub at_most: Span,
    /// The first id.
    pub from: u64,
}

struct ClientConnection {
    socket: TcpStream,
    input: Vec<u8>,
    since: Moment,
    open: bool,
}

/// Each connection sends its next request when it has its answer.
pub fn load(load: Load) -> std::io::Result<Loaded> {
    let mut poll = Poll::new()?;
    let micros = Histogram::new(3).map_err(|error| std::io::Error::other(error.to_string()))?;
    let mut loaded = Loaded {
        answers: BTreeMap::new(),
        broken: 0,
        micros,
        seconds: 0.0,
    };
    let begin = reactor::now();
    let mut lines: Vec<Option<ClientConnection>> = (0..load.connections).map(|_| None).collect();
    let (mut sent, mut open) = (0, 0);
    let mut ready = Vec::new();
    let mut free: Vec<usize> = (0..load.connections).collect();
    let mut piece = [0u8; 16384];
    loop {
        let now = reactor::now();
        let over = now - begin > load.at_most;
        while let Some(slot) = free.pop() {
            if sent >= load.invocations || over {
                free.push(slot);
                break;
            }
            let fresh = lines[slot].is_none();
            if fresh {
                let socket = reactor::connect(load.target.ip().octets(), load.target.port())?;
                poll.add(&socket, Token(slot as u64), Interest::Edges)?;
                lines[slot] = Some(ClientConnection {
                    socket,
                    input: Vec::new(),
                    since: now,
                    open: false,
                });
            }
            let Some(line) = &mut lines[slot] else {
                continue;
            };
            (line.since, line.open) = (now, true);
            open += 1;
            if !fresh {
                write(line, &load, &mut sent);
            }
        }
        if open == 0 && (sent >= load.invocations || over) {
            loaded.seconds = (reactor::now() - begin).seconds();
            return Ok(loaded);
        }
        if now - begin > load.at_most + Span::from_seconds(10.0) {
            return Err(std::io::Error::other(format!(
                "{open} invocations got no end"
            )));
        }
        poll.wait(Span::from_seconds(0.1), &mut ready)?;
        let now = reactor::now();
        for ready in ready.drain(..) {
            let slot = ready.token.0 as usize;
            let Some(line) = &mut lines[slot] else {
                continue;
            };
            if line.open && line.input.is_empty() && line.since == Moment::default() {
                continue;
            }
            // A connection that has just come about sends its first request.
            if ready.writable && line.open && line.input.capacity() == 0 {
                line.input.reserve(256);
                line.since = now;
                write(line, &load, &mut sent);
            }
            let over = loop {
                match line.socket.read(&mut piece) {
                    Ok(0) => break true,
                    Ok(count) => line.input.extend_from_slice(&piece[..count]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                    Err(error) if error.kind() == ErrorKind::NotConnected => break false,
                    Err(_) => break true,
                }
            };
            let answered = complete_response(&line.input);
            if let (Some((status, closes)), true) = (answered, line.open) {
                *loaded.answers.entry(status).or_insert(0) += 1;
                let _ = loaded
                    .micros
                    .record((now - line.since).micros().max(1) as u64);
                line.input.clear();
                line.open = false;
                open -= 1;
                if closes || over {
                    lines[slot] = None;
                }
                free.push(slot);
            } else if over {
                if line.open {
                    loaded.broken += 1;
                    open -= 1;
                    free.push(slot);
                }
                lines[slot] = None;
            }
        }
    }
}

fn write(line: &mut ClientConnection, load: &Load, sent: &mut u64) {
    let id = load.from + *sent;
    *sent += 1;
    let text = format!(
        "GET /{} HTTP/1.1\r\nHost: load\r\nx-request-id: {id}\r\n\r\n",
        load.operation
    );
    // Requests are short; what can't be written shows as a connection that ends.
    let _ = line.socket.write(text.as_bytes());
}

/// The status of an answer that has arrived completely, and whether the connection ends with it.
fn complete_response(input: &[u8]) -> Option<(u16, bool)> {
    let end = input.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&input[..end]).ok()?;
    let status = head.get(9..12)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let length = lower
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    (input.len() >= end + 4 + length.unwrap_or(0))
        .then(|| (status, lower.contains("connection: close")))
}
