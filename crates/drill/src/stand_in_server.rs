//! Stand-in nodes, all in one thread: a few cores, a waiting room, a cold start, loads told in answers, and
//! everything that can go wrong with them or on the way to them.

use crate::records::{Record, Recorder};
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::{Deployment, RetryClass};
use wheelspread_http1::{request, Body};
use wheelspread_reactor::{self as reactor, Interest, Poll, Readiness, Token};
use wheelspread_xds::orca;

#[derive(Clone, Debug)]
pub struct NodeSpec {
    pub zone: usize,
    pub kind: usize,
    pub kind_name: String,
    pub cores: u32,
    pub speed: f64,
    pub cold: bool,
    pub queue: usize,
    pub connections: usize,
}

/// A node's number in its thread.
pub type NodeKey = usize;

pub enum NodeCommand {
    Start(NodeSpec, Sender<(NodeKey, SocketAddrV4)>),
    /// The process ends.
    Stop(NodeKey),
    /// No reset, no answer; on again: it comes back cold.
    Silent(NodeKey, bool),
    /// A share of what comes errs at once.
    Errors(NodeKey, f64),
    /// A share of the answers is lost on the way back.
    AnswersLost(NodeKey, f64),
    Connections(NodeKey, usize),
    /// Times the work that everything takes.
    Slow(f64),
    /// What proxies of these numbers meet at nodes of a kind: slower by a factor, or refused.
    OneSided {
        kind: usize,
        proxies: BTreeSet<usize>,
        slow: f64,
        refuse: bool,
    },
    /// No bytes pass between this zone and the others.
    Cut(Option<usize>),
    /// Seconds that answers take longer on their way.
    SlowLink(f64),
    End,
}

impl WorkerCommand for NodeCommand {
    const STOP: NodeCommand = NodeCommand::End;
}

pub struct StandInServers {
    worker: Worker<NodeCommand>,
}

impl StandInServers {
    pub fn start(
        plan: Deployment,
        recorder: Recorder,
        seed: u64,
    ) -> std::io::Result<StandInServers> {
        let worker = Worker::spawn("nodes", Poll::new()?, move |poll, inbox| {
            ServerLoop::new(plan, recorder, seed, poll, inbox).run();
        })?;
        Ok(StandInServers { worker })
    }

    pub fn send(&self, command: NodeCommand) {
        self.worker.send(command);
    }

    pub fn add(&self, spec: NodeSpec) -> Option<(NodeKey, SocketAddrV4)> {
        let (tell, told) = channel();
        self.send(NodeCommand::Start(spec, tell));
        told.recv().ok()
    }
}

/// Proxies call from addresses of their own, which tell zone and number.
pub fn proxy_address(zone: usize, proxy: usize) -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        1 + zone as u8,
        (proxy / 250) as u8,
        (1 + proxy % 250) as u8,
    )
}

pub fn proxy_of(address: IpAddr) -> (usize, usize) {
    match address {
        IpAddr::V4(v4) => {
            let [_, zone, high, low] = v4.octets();
            (
                usize::from(zone).saturating_sub(1),
                usize::from(high) * 250 + usize::from(low).saturating_sub(1),
            )
        }
        IpAddr::V6(_) => (0, 0),
    }
}

/// How far back utilization looks.
const UTILIZATION: f64 = 0.5;

struct Call {
    socket: TcpStream,
    zone: usize,
    proxy: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    busy: bool,
}

struct Job {
    call: usize,
    id: String,
    operation: String,
    work: f64,
}

struct Node {
    spec: NodeSpec,
    name: String,
    address: SocketAddrV4,
    listener: Option<TcpListener>,
    calls: Slab<Call>,
    started: Moment,
    generation: u32,
    silent: bool,
    down: bool,
    errors: f64,
    lost: f64,
    connections: usize,
    running: usize,
    waiting: VecDeque<Job>,
    /// What came lately, to see whether a cold one is pushed over.
    came: VecDeque<(Moment, f64)>,
    busy: f64,
    busy_at: Moment,
}

enum Due {
    Done {
        node: NodeKey,
        generation: u32,
        job: Job,
    },
    Answer {
        node: NodeKey,
        generation: u32,
        call: usize,
        bytes: Vec<u8>,
    },
}

struct ServerLoop {
    plan: Deployment,
    recorder: Recorder,
    chance: Pcg,
    poll: Poll,
    inbox: Inbox<NodeCommand>,
    nodes: Vec<Node>,
    due: BTreeMap<(Moment, u64), Due>,
    next: u64,
    slow: f64,
    one_sided: Option<(usize, BTreeSet<usize>, f64, bool)>,
    cut: Option<usize>,
    slow_link: f64,
    /// When a fingerprint was first seen, for nodes that drop repeats together.
    seen: HashMap<String, Moment>,
}

impl ServerLoop {
    fn new(
        plan: Deployment,
        recorder: Recorder,
        seed: u64,
        poll: Poll,
        inbox: Inbox<NodeCommand>,
    ) -> ServerLoop {
        ServerLoop {
            plan,
            recorder,
            chance: Pcg::new(seed),
            poll,
            inbox,
            nodes: Vec::new(),
            due: BTreeMap::new(),
            next: 0,
            slow: 1.0,
            one_sided: None,
            cut: None,
            slow_link: 0.0,
            seen: HashMap::new(),
        }
    }

    fn run(mut self) {
        let mut ready: Vec<Readiness> = Vec::new();
        loop {
            let now = reactor::now();
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
                let due = entry.remove();
                self.happen(now, due);
            }
            let wait = self
                .due
                .first_key_value()
                .map_or(Span::from_seconds(1.0), |(key, _)| key.0 - now);
            if self.poll.wait(wait, &mut ready).is_err() {
                return;
            }
            let now = reactor::now();
            for ready in ready.drain(..) {
                if ready.token == INBOX {
                    for order in self.inbox.take() {
                        if matches!(order, NodeCommand::End) {
                            return;
                        }
                        self.execute(now, order);
                    }
                    continue;
                }
                let (key, slot) = (
                    (ready.token.0 >> 32) as usize,
                    (ready.token.0 & 0xffff_ffff) as usize,
                );
                match slot.checked_sub(1) {
                    None => self.accept(now, key),
                    Some(call) => self.call_ready(now, key, call),
                }
            }
        }
    }

    fn execute(&mut self, now: Moment, order: NodeCommand) {
        match order {
            NodeCommand::Start(spec, tell) => {
                if let Some(told) = self.start(now, spec) {
                    let _ = tell.send(told);
                }
            }
            NodeCommand::Stop(key) => {
                self.recorder.note(
                    now,
                    Record::Ceased {
                        node: self.nodes[key].name.clone(),
                    },
                );
                self.close(key);
            }
            NodeCommand::Silent(key, true) => self.nodes[key].silent = true,
            NodeCommand::Silent(key, false) => self.come_back(now, key),
            NodeCommand::Errors(key, share) => self.nodes[key].errors = share,
            NodeCommand::AnswersLost(key, share) => self.nodes[key].lost = share,
            NodeCommand::Connections(key, most) => {
                let node = &mut self.nodes[key];
                node.connections = most;
                let over: Vec<usize> = node.calls.iter().map(|(slot, _)| slot).skip(most).collect();
                over.into_iter()
                    .for_each(|slot| reactor::reset(node.calls.remove(slot).socket));
            }
            NodeCommand::Slow(factor) => self.slow = factor,
            NodeCommand::OneSided {
                kind,
                proxies,
                slow,
                refuse,
            } => {
                self.one_sided = (!proxies.is_empty()).then_some((kind, proxies, slow, refuse));
            }
            NodeCommand::Cut(zone) => {
                self.cut = zone;
                // What was held back on the way comes through.
                for key in 0..self.nodes.len() {
                    let calls: Vec<usize> =
                        self.nodes[key].calls.iter().map(|(slot, _)| slot).collect();
                    calls
                        .into_iter()
                        .for_each(|call| self.call_ready(now, key, call));
                }
            }
            NodeCommand::SlowLink(seconds) => self.slow_link = seconds,
            NodeCommand::End => {}
        }
    }

    fn start(&mut self, now: Moment, spec: NodeSpec) -> Option<(NodeKey, SocketAddrV4)> {
        let listener = reactor::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).ok()?;
        let SocketAddr::V4(address) = listener.local_addr().ok()? else {
            return None;
        };
        let key = self.nodes.len();
        self.poll
            .add(&listener, Token((key as u64) << 32), Interest::Readable)
            .ok()?;
        let long_ago = now - self.plan.rules.warm_after * 10.0;
        let connections = spec.connections;
        let node = Node {
            name: address.to_string(),
            address,
            listener: Some(listener),
            calls: Slab::new(),
            started: if spec.cold { now } else { long_ago },
            generation: 0,
            silent: false,
            down: false,
            errors: 0.0,
            lost: 0.0,
            connections,
            running: 0,
            waiting: VecDeque::new(),
            came: VecDeque::new(),
            busy: 0.0,
            busy_at: now,
            spec,
        };
        self.note_start(now, &node, node.spec.cold);
        self.nodes.push(node);
        Some((key, address))
    }

    fn note_start(&self, now: Moment, node: &Node, cold: bool) {
        self.recorder.note(
            now,
            Record::Started {
                node: node.name.clone(),
                zone: node.spec.zone,
                kind: node.spec.kind_name.clone(),
                capacity: f64::from(node.spec.cores) * node.spec.speed,
                cold,
            },
        );
    }

    fn close(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key];
        (node.listener, node.down) = (None, true);
        node.generation += 1;
        (node.running, node.waiting) = (0, VecDeque::new());
        for call in std::mem::take(&mut node.calls) {
            reactor::reset(call.1.socket);
        }
    }

    fn come_back(&mut self, now: Moment, key: NodeKey) {
        self.close(key);
        let Ok(listener) = TcpListener::bind(self.nodes[key].address) else {
            return;
        };
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        let _ = self
            .poll
            .add(&listener, Token((key as u64) << 32), Interest::Readable);
        let node = &mut self.nodes[key];
        (node.listener, node.down, node.silent, node.started) = (Some(listener), false, false, now);
        node.came.clear();
        let node = &self.nodes[key];
        self.note_start(now, node, true);
    }

    fn accept(&mut self, now: Moment, key: NodeKey) {
        let node = &mut self.nodes[key];
        let Some(listener) = node.listener.as_ref().filter(|_| !node.silent) else {
            return;
        };
        for socket in reactor::accept(listener).0 {
            let peer = socket.peer_addr().map(|peer| proxy_of(peer.ip()));
            let (Ok((zone, proxy)), true) = (peer, node.calls.len() < node.connections) else {
                reactor::reset(socket);
                continue;
            };
            let call = Call {
                socket,
                zone,
                proxy,
                input: Vec::new(),
                output: Vec::new(),
                busy: false,
            };
            let slot = node.calls.insert(call);
            let token = Token((key as u64) << 32 | (slot as u64 + 1));
            if self
                .poll
                .add(&node.calls[slot].socket, token, Interest::Edges)
                .is_err()
            {
                node.calls.remove(slot);
            }
        }
        let calls: Vec<usize> = self.nodes[key].calls.iter().map(|(slot, _)| slot).collect();
        calls
            .into_iter()
            .for_each(|call| self.call_ready(now, key, call));
    }

    fn passes(&self, key: NodeKey, zone: usize) -> bool {
        self.cut
            .is_none_or(|cut| (self.nodes[key].spec.zone == cut) == (zone == cut))
    }

    fn call_ready(&mut self, now: Moment, key: NodeKey, slot: usize) {
        let Some(call) = self.nodes[key].calls.get(slot) else {
            return;
        };
        if self.nodes[key].silent || !self.passes(key, call.zone) {
            return;
        }
        let call = &mut self.nodes[key].calls[slot];
        let mut piece = [0u8; 4096];
        let over = loop {
            match call.socket.read(&mut piece) {
                Ok(0) => break true,
                Ok(count) => call.input.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        while !call.output.is_empty() {
            match call.socket.write(&call.output) {
                Ok(count) if count > 0 => drop(call.output.drain(..count)),
                _ => break,
            }
        }
        if over {
            // Work that has begun goes on.
            self.nodes[key].calls.remove(slot);
            return;
        }
        if !call.busy {
            self.take(now, key, slot);
        }
    }

    /// Takes the next request of a connection, if it is here as a whole.
    fn take(&mut self, now: Moment, key: NodeKey, slot: usize) {
        let Some(call) = self.nodes[key].calls.get_mut(slot) else {
            return;
        };
        let Ok(Some(head)) = request(&call.input, Default::default()) else {
            return;
        };
        let mut body = Body::new(head.framing);
        let Ok(taken) = body.take(&call.input[head.length..]) else {
            return;
        };
        if !body.done() {
            return;
        }
        let text = |range: &std::ops::Range<usize>| {
            String::from_utf8_lossy(&call.input[range.clone()]).into_owned()
        };
        let header = |name: &str| {
            let found = head
                .headers
                .iter()
                .find(|(key, _)| text(key).eq_ignore_ascii_case(name));
            found.map(|(_, value)| text(value)).unwrap_or_default()
        };
        let operation = text(&head.target).trim_start_matches('/').to_string();
        let job = Job {
            call: slot,
            id: header("x-request-id"),
            operation,
            work: header("x-work").parse().unwrap_or(0.01),
        };
        let (proxy, end) = (call.proxy, head.length + taken);
        call.input.drain(..end);
        call.busy = true;
        let node = self.nodes[key].name.clone();
        let (id, operation) = (job.id.clone(), job.operation.clone());
        self.recorder.note(
            now,
            Record::Came {
                node,
                proxy,
                id,
                operation,
                work: job.work,
            },
        );
        self.came(now, key, proxy, job);
    }

    fn came(&mut self, now: Moment, key: NodeKey, proxy: usize, job: Job) {
        if self.pushed_over(now, key, job.work) {
            self.recorder.note(
                now,
                Record::Fell {
                    node: self.nodes[key].name.clone(),
                },
            );
            return self.close(key);
        }
        let (mut extra, mut refuse) = (1.0, false);
        if let Some((kind, proxies, slow, refuses)) = &self.one_sided {
            if *kind == self.nodes[key].spec.kind && proxies.contains(&proxy) {
                (extra, refuse) = (*slow, *refuses);
            }
        }
        let errs = self.nodes[key].errors > 0.0 && self.chance.unit() < self.nodes[key].errors;
        let full = self.nodes[key].waiting.len() >= self.nodes[key].spec.queue;
        if errs || refuse || full {
            let status = if errs { "500 Error" } else { "503 Full" };
            let again = if errs { "" } else { "Retry-After: 1\r\n" };
            let bytes = format!(
                "HTTP/1.1 {status}\r\nContent-Length: 0\r\n{again}{}\r\n",
                self.loads(now, key)
            );
            return self.answer(now, key, job.call, bytes.into_bytes());
        }
        let job = Job {
            work: job.work * extra,
            ..job
        };
        if self.nodes[key].running < self.nodes[key].spec.cores as usize {
            self.begin(now, key, job);
        } else {
            self.nodes[key].waiting.push_back(job);
        }
    }

    fn warmth(&self, now: Moment, key: NodeKey) -> f64 {
        let (age, rules) = (now - self.nodes[key].started, &self.plan.rules);
        let risen = (age.seconds() / rules.warm_after.seconds()).clamp(0.0, 1.0);
        rules.cold_start_share + (1.0 - rules.cold_start_share) * risen
    }

    fn pushed_over(&mut self, now: Moment, key: NodeKey, work: f64) -> bool {
        let warmth = self.warmth(now, key);
        let rules = &self.plan.rules;
        let (span, factor) = (rules.cold_overload_span, rules.cold_overload_factor);
        let node = &mut self.nodes[key];
        if warmth >= 1.0 {
            return false;
        }
        node.came.push_back((now, work));
        while node.came.front().is_some_and(|(at, _)| now - *at > span) {
            node.came.pop_front();
        }
        let sum: f64 = node.came.iter().map(|(_, work)| work).sum();
        let capacity = f64::from(node.spec.cores) * node.spec.speed * warmth;
        sum > factor * capacity * span.seconds() * SLACK
    }

    fn begin(&mut self, now: Moment, key: NodeKey, job: Job) {
        self.count_busy(now, key);
        let took = job.work * self.slow / (self.nodes[key].spec.speed * self.warmth(now, key));
        let node = &mut self.nodes[key];
        node.running += 1;
        let generation = node.generation;
        self.later(
            now + Span::from_seconds(took),
            Due::Done {
                node: key,
                generation,
                job,
            },
        );
    }

    fn later(&mut self, at: Moment, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    fn count_busy(&mut self, now: Moment, key: NodeKey) {
        let node = &mut self.nodes[key];
        let share = node.running as f64 / f64::from(node.spec.cores);
        let keep = (-(now - node.busy_at).seconds() / UTILIZATION).exp();
        (node.busy, node.busy_at) = (node.busy * keep + share * (1.0 - keep), now);
    }

    fn loads(&mut self, now: Moment, key: NodeKey) -> String {
        self.count_busy(now, key);
        let node = &self.nodes[key];
        let figures = [
            ("cpu_utilization", node.busy),
            ("named_metrics.queue", node.waiting.len() as f64),
        ];
        format!("{}: {}\r\n", orca::HEADER, orca::write(&figures))
    }

    fn happen(&mut self, now: Moment, due: Due) {
        match due {
            Due::Answer {
                node,
                generation,
                call,
                bytes,
            } if self.nodes[node].generation == generation => {
                self.send(now, node, call, bytes);
            }
            Due::Done {
                node: key,
                generation,
                job,
            } if self.nodes[key].generation == generation => {
                self.count_busy(now, key);
                self.nodes[key].running -= 1;
                if let Some(next) = self.nodes[key].waiting.pop_front() {
                    self.begin(now, key, next);
                }
                self.take_effect(now, key, &job);
                if self.nodes[key].lost > 0.0 && self.chance.unit() < self.nodes[key].lost {
                    return; // it ran, and nobody hears of it
                }
                let bytes = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{}\r\nok",
                    self.loads(now, key)
                );
                self.answer(now, key, job.call, bytes.into_bytes());
            }
            _ => {}
        }
    }

    fn take_effect(&mut self, now: Moment, key: NodeKey, job: &Job) {
        let plan = self
            .plan
            .operations
            .iter()
            .find(|operation| operation.name == job.operation);
        let Some(plan) = plan else { return };
        if plan.repeat == RetryClass::Fingerprinted {
            let first = *self.seen.entry(job.id.clone()).or_insert(now);
            if first != now && now - first < plan.repeat_window {
                return;
            }
        }
        let (node, id, operation) = (
            self.nodes[key].name.clone(),
            job.id.clone(),
            job.operation.clone(),
        );
        self.recorder.note(
            now,
            Record::Effect {
                node,
                id,
                operation,
            },
        );
    }

    fn answer(&mut self, now: Moment, key: NodeKey, call: usize, bytes: Vec<u8>) {
        let generation = self.nodes[key].generation;
        if self.slow_link > 0.0 {
            let at = now + Span::from_seconds(self.slow_link);
            return self.later(
                at,
                Due::Answer {
                    node: key,
                    generation,
                    call,
                    bytes,
                },
            );
        }
        self.send(now, key, call, bytes);
    }

    fn send(&mut self, now: Moment, key: NodeKey, slot: usize, bytes: Vec<u8>) {
        // A slot that was given to another connection meanwhile is not busy with this.
        let Some(call) = self.nodes[key].calls.get_mut(slot).filter(|call| call.busy) else {
            return;
        };
        call.output.extend_from_slice(&bytes);
        call.busy = false;
        self.call_ready(now, key, slot);
    }
}

/// Over the budget by which rule 4 is counted; chance alone may go a little beyond it.
pub const SLACK: f64 = 1.1;
