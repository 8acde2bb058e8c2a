//! The network between proxies and controllers, as a relay that can lose streams, hold them up, make what
//! goes up late, or let nobody through.

use crate::stand_in_server::proxy_of;
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

pub enum NetworkCommand {
    /// Breaks the streams of these proxies.
    Break(BTreeSet<usize>),
    /// These proxies reach no controller: what they have breaks, what they try comes to nothing.
    Refuse(BTreeSet<usize>),
    /// Nothing passes for these proxies, and nothing breaks.
    Hold(BTreeSet<usize>),
    /// Seconds that sums take longer.
    Late(f64),
    End,
}

impl WorkerCommand for NetworkCommand {
    const STOP: NetworkCommand = NetworkCommand::End;
}

pub struct Network {
    pub ports: Vec<SocketAddrV4>,
    worker: Worker<NetworkCommand>,
}

const LISTENERS: u64 = 1 << 40;

impl Network {
    /// A port for each controller that is passed on to where that one listens.
    pub fn start(controllers: Vec<SocketAddrV4>) -> std::io::Result<Network> {
        let poll = Poll::new()?;
        let (mut listeners, mut ports) = (Vec::new(), Vec::new());
        for (number, to) in controllers.iter().enumerate() {
            let listener = reactor::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
            poll.add(
                &listener,
                Token(LISTENERS + number as u64),
                Interest::Readable,
            )?;
            if let SocketAddr::V4(port) = listener.local_addr()? {
                ports.push(port);
            }
            listeners.push((listener, *to));
        }
        let worker = Worker::spawn("wires", poll, move |poll, inbox| {
            let mut relay = NetworkLoop {
                poll,
                inbox,
                listeners,
                streams: Slab::new(),
                refused: BTreeSet::new(),
                held: BTreeSet::new(),
                late: Span::ZERO,
            };
            relay.run();
        })?;
        Ok(Network { ports, worker })
    }

    pub fn send(&self, command: NetworkCommand) {
        self.worker.send(command);
    }
}

struct Stream {
    proxy: usize,
    below: TcpStream,
    above: TcpStream,
    up: VecDeque<(Moment, Vec<u8>)>,
    down: Vec<u8>,
}

struct NetworkLoop {
    poll: Poll,
    inbox: Inbox<NetworkCommand>,
    listeners: Vec<(TcpListener, SocketAddrV4)>,
    streams: Slab<Stream>,
    refused: BTreeSet<usize>,
    held: BTreeSet<usize>,
    late: Span,
}

impl NetworkLoop {
    fn run(&mut self) {
        let mut ready = Vec::new();
        loop {
            let now = reactor::now();
            let due = self
                .streams
                .iter()
                .filter_map(|(_, stream)| stream.up.front())
                .map(|(at, _)| *at)
                .min();
            let wait = due.map_or(Span::from_seconds(1.0), |at| {
                (at - now).max(Span::from_seconds(0.002))
            });
            if self.poll.wait(wait, &mut ready).is_err() {
                return;
            }
            let now = reactor::now();
            let mut touched: BTreeSet<usize> = self
                .streams
                .iter()
                .filter(|(_, s)| s.up.front().is_some_and(|(at, _)| *at <= now))
                .map(|(n, _)| n)
                .collect();
            for ready in ready.drain(..) {
                match ready.token {
                    INBOX => {
                        for order in self.inbox.take() {
                            if matches!(order, NetworkCommand::End) {
                                return;
                            }
                            self.execute(order);
                        }
                        touched.extend(self.streams.iter().map(|(slot, _)| slot));
                    }
                    Token(token) if token >= LISTENERS => self.accept((token - LISTENERS) as usize),
                    Token(token) => drop(touched.insert(token as usize / 2)),
                }
            }
            for slot in touched {
                self.pass(now, slot);
            }
        }
    }

    fn execute(&mut self, order: NetworkCommand) {
        match order {
            NetworkCommand::Break(proxies) => self.cut(&proxies),
            NetworkCommand::Refuse(proxies) => {
                self.cut(&proxies);
                self.refused = proxies;
            }
            NetworkCommand::Hold(proxies) => self.held = proxies,
            NetworkCommand::Late(seconds) => self.late = Span::from_seconds(seconds),
            NetworkCommand::End => {}
        }
    }

    fn cut(&mut self, proxies: &BTreeSet<usize>) {
        let cut: Vec<usize> = self
            .streams
            .iter()
            .filter(|(_, s)| proxies.contains(&s.proxy))
            .map(|(slot, _)| slot)
            .collect();
        for slot in cut {
            let stream = self.streams.remove(slot);
            reactor::reset(stream.below);
            reactor::reset(stream.above);
        }
    }

    fn accept(&mut self, number: usize) {
        let (listener, to) = &self.listeners[number];
        for below in reactor::accept(listener).0 {
            let proxy = below.peer_addr().map(|peer| proxy_of(peer.ip()).1);
            let above = reactor::connect(to.ip().octets(), to.port());
            let (Ok(proxy), Ok(above)) = (proxy, above) else {
                continue;
            };
            if self.refused.contains(&proxy) {
                reactor::reset(below);
                continue;
            }
            let slot = self.streams.insert(Stream {
                proxy,
                below,
                above,
                up: VecDeque::new(),
                down: Vec::new(),
            });
            let stream = &self.streams[slot];
            let below = self
                .poll
                .add(&stream.below, Token(slot as u64 * 2), Interest::Edges);
            let above = self
                .poll
                .add(&stream.above, Token(slot as u64 * 2 + 1), Interest::Edges);
            if below.and(above).is_err() {
                self.streams.remove(slot);
            }
        }
    }

    fn pass(&mut self, now: Moment, slot: usize) {
        let Some(stream) = self.streams.get_mut(slot) else {
            return;
        };
        if self.held.contains(&stream.proxy) {
            return;
        }
        let mut came = Vec::new();
        let mut over = drain(&stream.below, &mut came);
        if !came.is_empty() {
            stream.up.push_back((now + self.late, came));
        }
        over |= drain(&stream.above, &mut stream.down);
        while let Some((_, bytes)) = stream.up.front_mut().filter(|(at, _)| *at <= now) {
            over |= push(&stream.above, bytes);
            if !bytes.is_empty() {
                break;
            }
            stream.up.pop_front();
        }
        over |= push(&stream.below, &mut stream.down);
        if over {
            self.streams.remove(slot);
        }
    }
}

/// Reads all there is; `true`: the end.
fn drain(mut socket: &TcpStream, into: &mut Vec<u8>) -> bool {
    let mut piece = [0u8; 16384];
    loop {
        match socket.read(&mut piece) {
            Ok(0) => return true,
            Ok(count) => into.extend_from_slice(&piece[..count]),
            Err(error) => {
                return !matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::NotConnected
                )
            }
        }
    }
}

fn push(mut socket: &TcpStream, bytes: &mut Vec<u8>) -> bool {
    while !bytes.is_empty() {
        match socket.write(bytes) {
            Ok(count) => drop(bytes.drain(..count)),
            Err(error) => {
                return !matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::NotConnected
                )
            }
        }
    }
    false
}

/// By zone, for cuts.
pub fn proxies_in(zones: &BTreeMap<usize, usize>, zone: usize) -> BTreeSet<usize> {
    zones
        .iter()
        .filter(|(_, at)| **at == zone)
        .map(|(proxy, _)| *proxy)
        .collect()
}
