//! Fast stand-in nodes and a closed-loop client for measuring a proxy at full speed. The nodes do no work:
//! they count requests and inject faults at configured ratios.

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

/// Faults of a node, each as a ratio of the requests that it receives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The request is executed; the connection is reset instead of a response.
    pub reset: f64,
    /// The request is executed; no response is sent.
    pub silent: f64,
    /// The request is executed; the response is 500.
    pub error: f64,
    /// The request is not executed; the response is 503.
    pub refuse: f64,
    /// The request is executed and answered; the connection is closed without a `Connection: close` header.
    pub close: f64,
}

/// How many requests the nodes executed.
#[derive(Clone, Debug, Default)]
pub struct ExecutionCounts {
    /// Executed requests by node.
    pub executed: Vec<u64>,
    /// Executions by request id; empty unless the nodes were started with `keep_ids`.
    pub effects: HashMap<u64, u32>,
}

/// Stand-in servers that answer immediately, for measurements of proxies.
pub struct FastNodes {
    /// The listening address of each node.
    pub addresses: Vec<SocketAddrV4>,
    /// Counts of the requests executed so far.
    pub counts: Arc<Mutex<ExecutionCounts>>,
    /// The current fault ratios of each node.
    pub faults: Arc<Mutex<Vec<Faults>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

const RESPONSE_OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const RESPONSE_ERROR: &[u8] = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const RESPONSE_UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n";
/// The first token of listeners; smaller tokens are indices of connections.
const LISTENERS: u64 = 1 << 40;

impl FastNodes {
    /// Starts `count` nodes on one thread. With `keep_ids`, executions are counted by request id too.
    pub fn start(count: usize, keep_ids: bool, seed: u64) -> std::io::Result<FastNodes> {
        let mut poll = Poll::new()?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for index in 0..count {
            let listener = reactor::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
            poll.add(
                &listener,
                Token(LISTENERS + index as u64),
                Interest::Readable,
            )?;
            if let SocketAddr::V4(address) = listener.local_addr()? {
                addresses.push(address);
            }
            listeners.push(listener);
        }
        let counts = Arc::new(Mutex::new(ExecutionCounts {
            executed: vec![0; count],
            effects: HashMap::new(),
        }));
        let faults = Arc::new(Mutex::new(vec![Faults::default(); count]));
        let stop = Arc::new(AtomicBool::new(false));
        let (stop_requested, shared_counts, shared_faults) =
            (stop.clone(), counts.clone(), faults.clone());
        let run = move || {
            let mut nodes = NodeLoop {
                listeners,
                connections: Slab::new(),
                shared_counts,
                shared_faults,
                keep_ids,
                rng: Pcg::new(seed),
            };
            let mut ready = Vec::new();
            while !stop_requested.load(Ordering::Relaxed) {
                if poll.wait(Span::from_seconds(0.05), &mut ready).is_err() {
                    return;
                }
                for ready in ready.drain(..) {
                    match ready.token.0.checked_sub(LISTENERS) {
                        Some(index) => nodes.accept(&poll, index as usize),
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
            counts,
            faults,
            stop,
            thread: Some(thread),
        })
    }

    /// Replaces the fault ratios of one node.
    pub fn set_faults(&self, node: usize, faults: Faults) {
        if let Ok(mut all) = self.faults.lock() {
            all[node] = faults;
        }
    }

    /// A copy of the counts of the requests executed so far.
    pub fn execution_counts(&self) -> ExecutionCounts {
        self.counts
            .lock()
            .map(|counts| counts.clone())
            .unwrap_or_default()
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
    connections: Slab<(usize, TcpStream, Vec<u8>)>,
    shared_counts: Arc<Mutex<ExecutionCounts>>,
    shared_faults: Arc<Mutex<Vec<Faults>>>,
    keep_ids: bool,
    rng: Pcg,
}

impl NodeLoop {
    fn accept(&mut self, poll: &Poll, index: usize) {
        for socket in reactor::accept(&self.listeners[index]).0 {
            let slot = self.connections.insert((index, socket, Vec::new()));
            if poll
                .add(
                    &self.connections[slot].1,
                    Token(slot as u64),
                    Interest::Edges,
                )
                .is_err()
            {
                self.connections.remove(slot);
            }
        }
    }

    fn serve(&mut self, slot: usize) {
        let Some((node, socket, input)) = self.connections.get_mut(slot) else {
            return;
        };
        let mut buffer = [0u8; 16384];
        let closed = loop {
            match socket.read(&mut buffer) {
                Ok(0) => break true,
                Ok(count) => input.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        let node = *node;
        let mut closes_connection = closed;
        while let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            let id = if self.keep_ids {
                request_id(&input[..end])
            } else {
                None
            };
            input.drain(..end + 4);
            let faults = self
                .shared_faults
                .lock()
                .map(|all| all[node])
                .unwrap_or_default();
            let mut draw = self.rng.unit();
            let mut is_drawn = |ratio: f64| {
                draw -= ratio;
                draw < 0.0 && draw >= -ratio
            };
            let ratios = [
                faults.refuse,
                faults.reset,
                faults.silent,
                faults.error,
                faults.close,
            ];
            let drawn = ratios.map(&mut is_drawn);
            if !drawn[0] {
                if let Ok(mut shared_counts) = self.shared_counts.lock() {
                    shared_counts.executed[node] += 1;
                    if let Some(id) = id {
                        *shared_counts.effects.entry(id).or_insert(0) += 1;
                    }
                }
            }
            let response: &[u8] = match drawn {
                [true, ..] => RESPONSE_UNAVAILABLE,
                [_, true, ..] => {
                    let (_, socket, _) = self.connections.remove(slot);
                    return reactor::reset(socket);
                }
                [_, _, true, ..] => continue,
                [_, _, _, true, _] => RESPONSE_ERROR,
                _ => RESPONSE_OK,
            };
            // Responses fit the socket buffer; a failed write means that the connection is gone.
            closes_connection |= socket.write(response).is_err() || drawn[4];
        }
        if closes_connection {
            self.connections.remove(slot);
        }
    }
}

/// The numeric value of the header `x-request-id`, if there is one.
fn request_id(head: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(head).ok()?;
    let (_, rest) = text.split_once("x-request-id: ")?;
    rest.split("\r\n").next()?.parse().ok()
}

/// The result of a load, as the client saw it.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Responses by HTTP status.
    pub responses: BTreeMap<u16, u64>,
    /// Requests whose connection ended without a response.
    pub failed: u64,
    /// Latencies of responses in microseconds.
    pub latencies_us: Histogram<u64>,
    /// The duration of the load in seconds.
    pub seconds: f64,
}

impl LoadResult {
    /// All requests that ended, with or without a response.
    pub fn total(&self) -> u64 {
        self.responses.values().sum::<u64>() + self.failed
    }

    /// Responses with status 200 per second.
    pub fn successes_per_second(&self) -> f64 {
        self.responses.get(&200).copied().unwrap_or(0) as f64 / self.seconds.max(1e-9)
    }

    /// The latency at a quantile (0 to 1), in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// The parameters of a closed-loop load on a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    /// The proxy's listening address.
    pub target: SocketAddrV4,
    /// The operation that is requested.
    pub operation: &'a str,
    /// How many connections are open at the same time.
    pub connections: usize,
    /// How many requests are sent at most.
    pub invocations: u64,
    /// The time after which no further requests are sent.
    pub max_duration: Span,
    /// The id of the first request; each further request adds 1.
    pub first_id: u64,
}

struct ClientConnection {
    socket: TcpStream,
    input: Vec<u8>,
    sent_at: Moment,
    in_flight: bool,
}

/// Puts a load on a proxy: each connection sends its next request when the response to the last one is
/// complete. Requests that are in flight 10 s after `max_duration` are an error.
pub fn load(load: Load) -> std::io::Result<LoadResult> {
    let mut poll = Poll::new()?;
    let latencies_us =
        Histogram::new(3).map_err(|error| std::io::Error::other(error.to_string()))?;
    let mut result = LoadResult {
        responses: BTreeMap::new(),
        failed: 0,
        latencies_us,
        seconds: 0.0,
    };
    let started = reactor::now();
    let mut connections: Vec<Option<ClientConnection>> =
        (0..load.connections).map(|_| None).collect();
    let (mut sent, mut in_flight) = (0, 0);
    let mut ready = Vec::new();
    let mut free_slots: Vec<usize> = (0..load.connections).collect();
    let mut buffer = [0u8; 16384];
    loop {
        let now = reactor::now();
        let expired = now - started > load.max_duration;
        while let Some(slot) = free_slots.pop() {
            if sent >= load.invocations || expired {
                free_slots.push(slot);
                break;
            }
            let is_new = connections[slot].is_none();
            if is_new {
                let socket = reactor::connect(load.target.ip().octets(), load.target.port())?;
                poll.add(&socket, Token(slot as u64), Interest::Edges)?;
                connections[slot] = Some(ClientConnection {
                    socket,
                    input: Vec::new(),
                    sent_at: now,
                    in_flight: false,
                });
            }
            let Some(connection) = &mut connections[slot] else {
                continue;
            };
            (connection.sent_at, connection.in_flight) = (now, true);
            in_flight += 1;
            if !is_new {
                write(connection, &load, &mut sent);
            }
        }
        if in_flight == 0 && (sent >= load.invocations || expired) {
            result.seconds = (reactor::now() - started).seconds();
            return Ok(result);
        }
        if now - started > load.max_duration + Span::from_seconds(10.0) {
            return Err(std::io::Error::other(format!(
                "{in_flight} requests had no response 10 s after the end of the load"
            )));
        }
        poll.wait(Span::from_seconds(0.1), &mut ready)?;
        let now = reactor::now();
        for ready in ready.drain(..) {
            let slot = ready.token.0 as usize;
            let Some(connection) = &mut connections[slot] else {
                continue;
            };
            if connection.in_flight
                && connection.input.is_empty()
                && connection.sent_at == Moment::default()
            {
                continue;
            }
            // A connection that has just been established sends its first request.
            if ready.writable && connection.in_flight && connection.input.capacity() == 0 {
                connection.input.reserve(256);
                connection.sent_at = now;
                write(connection, &load, &mut sent);
            }
            let closed = loop {
                match connection.socket.read(&mut buffer) {
                    Ok(0) => break true,
                    Ok(count) => connection.input.extend_from_slice(&buffer[..count]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                    Err(error) if error.kind() == ErrorKind::NotConnected => break false,
                    Err(_) => break true,
                }
            };
            let response = complete_response(&connection.input);
            if let (Some((status, closes_after)), true) = (response, connection.in_flight) {
                *result.responses.entry(status).or_insert(0) += 1;
                let _ = result
                    .latencies_us
                    .record((now - connection.sent_at).micros().max(1) as u64);
                connection.input.clear();
                connection.in_flight = false;
                in_flight -= 1;
                if closes_after || closed {
                    connections[slot] = None;
                }
                free_slots.push(slot);
            } else if closed {
                if connection.in_flight {
                    result.failed += 1;
                    in_flight -= 1;
                    free_slots.push(slot);
                }
                connections[slot] = None;
            }
        }
    }
}

fn write(connection: &mut ClientConnection, load: &Load, sent: &mut u64) {
    let id = load.first_id + *sent;
    *sent += 1;
    let text = format!(
        "GET /{} HTTP/1.1\r\nHost: load\r\nx-request-id: {id}\r\n\r\n",
        load.operation
    );
    // Requests fit the socket buffer; a failed write is seen as the end of the connection.
    let _ = connection.socket.write(text.as_bytes());
}

/// The status of a completely received response, and whether it closes the connection.
fn complete_response(input: &[u8]) -> Option<(u16, bool)> {
    let end = input.windows(4).position(|window| window == b"\r\n\r\n")?;
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
