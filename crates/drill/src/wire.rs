//! The network between gateways and conductors, as a relay that can lose streams, hold them up, make what
//! goes up late, or let nobody through.

use crate::node::gateway_of;
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

pub enum WireOrder {
    /// Breaks the streams of these gateways.
    Break(BTreeSet<usize>),
    /// These gateways reach no conductor: what they have breaks, what they try comes to nothing.
    Refuse(BTreeSet<usize>),
    /// Nothing passes for these gateways, and nothing breaks.
    Hold(BTreeSet<usize>),
    /// Seconds that sums take longer.
    Late(f64),
    End,
}

impl WorkerCommand for WireOrder {
    const STOP: WireOrder = WireOrder::End;
}

pub struct Wires {
    pub ports: Vec<SocketAddrV4>,
    worker: Worker<WireOrder>,
}

const LISTENERS: u64 = 1 << 40;

impl Wires {
    /// A port for each conductor that is passed on to where that one listens.
    pub fn start(conductors: Vec<SocketAddrV4>) -> std::io::Result<Wires> {
        let poll = Poll::new()?;
        let (mut listeners, mut ports) = (Vec::new(), Vec::new());
        for (number, to) in conductors.iter().enumerate() {
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
            let mut relay = Relay {
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
        Ok(Wires { ports, worker })
    }

    pub fn order(&self, order: WireOrder) {
        self.worker.send(order);
    }
}

struct Stream {
    gateway: usize,
    below: TcpStream,
    above: TcpStream,
    up: VecDeque<(Moment, Vec<u8>)>,
    down: Vec<u8>,
}

struct Relay {
    poll: Poll,
    inbox: Inbox<WireOrder>,
    listeners: Vec<(TcpListener, SocketAddrV4)>,
    streams: Slab<Stream>,
    refused: BTreeSet<usize>,
    held: BTreeSet<usize>,
    late: Span,
}

impl Relay {
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
                            if matches!(order, WireOrder::End) {
                                return;
                            }
                            self.obey(order);
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

    fn obey(&mut self, order: WireOrder) {
        match order {
            WireOrder::Break(gateways) => self.cut(&gateways),
            WireOrder::Refuse(gateways) => {
                self.cut(&gateways);
                self.refused = gateways;
            }
            WireOrder::Hold(gateways) => self.held = gateways,
            WireOrder::Late(seconds) => self.late = Span::from_seconds(seconds),
            WireOrder::End => {}
        }
    }

    fn cut(&mut self, gateways: &BTreeSet<usize>) {
        let cut: Vec<usize> = self
            .streams
            .iter()
            .filter(|(_, s)| gateways.contains(&s.gateway))
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
            let gateway = below.peer_addr().map(|peer| gateway_of(peer.ip()).1);
            let above = reactor::connect(to.ip().octets(), to.port());
            let (Ok(gateway), Ok(above)) = (gateway, above) else {
                continue;
            };
            if self.refused.contains(&gateway) {
                reactor::reset(below);
                continue;
            }
            let slot = self.streams.insert(Stream {
                gateway,
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
        if self.held.contains(&stream.gateway) {
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
pub fn gateways_in(zones: &BTreeMap<usize, usize>, zone: usize) -> BTreeSet<usize> {
    zones
        .iter()
        .filter(|(_, at)| **at == zone)
        .map(|(gateway, _)| *gateway)
        .collect()
}
