//! The network between proxies and controllers: a relay that can reset streams, pause them, delay data to
//! controllers, or refuse connections.

use crate::stand_in_server::proxy_of;
use crate::worker::{Inbox, Worker, WorkerCommand, INBOX};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

pub enum NetworkCommand {
    /// Resets the streams of these proxies.
    ResetStreams(BTreeSet<usize>),
    /// Resets the streams of these proxies and refuses their new connections, until the next command of this
    /// kind.
    RefuseConnections(BTreeSet<usize>),
    /// Forwards no data for these proxies; their streams stay open.
    Pause(BTreeSet<usize>),
    /// The delay of all data to controllers (load reports), in seconds.
    SetDelay(f64),
    End,
}

impl WorkerCommand for NetworkCommand {
    const STOP: NetworkCommand = NetworkCommand::End;
}

pub struct Network {
    pub addresses: Vec<SocketAddrV4>,
    worker: Worker<NetworkCommand>,
}

/// The first token of listeners; smaller tokens belong to streams, two to each.
const LISTENERS: u64 = 1 << 40;

impl Network {
    /// Starts a relay with one listener for each controller address.
    pub fn start(controllers: Vec<SocketAddrV4>) -> std::io::Result<Network> {
        let poll = Poll::new()?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for (index, to) in controllers.iter().enumerate() {
            let listener = reactor::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
            poll.add(
                &listener,
                Token(LISTENERS + index as u64),
                Interest::Readable,
            )?;
            if let SocketAddr::V4(address) = listener.local_addr()? {
                addresses.push(address);
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
                paused: BTreeSet::new(),
                report_delay: Span::ZERO,
            };
            relay.run();
        })?;
        Ok(Network { addresses, worker })
    }

    pub fn send(&self, command: NetworkCommand) {
        self.worker.send(command);
    }
}

struct Stream {
    proxy: usize,
    proxy_side: TcpStream,
    controller_side: TcpStream,
    to_controller: VecDeque<(Moment, Vec<u8>)>,
    to_proxy: Vec<u8>,
}

struct NetworkLoop {
    poll: Poll,
    inbox: Inbox<NetworkCommand>,
    listeners: Vec<(TcpListener, SocketAddrV4)>,
    streams: Slab<Stream>,
    refused: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    report_delay: Span,
}

impl NetworkLoop {
    fn run(&mut self) {
        let mut ready = Vec::new();
        loop {
            let now = reactor::now();
            let due = self
                .streams
                .iter()
                .filter_map(|(_, stream)| stream.to_controller.front())
                .map(|(at, _)| *at)
                .min();
            let wait = due.map_or(Span::from_seconds(1.0), |at| {
                (at - now).max(Span::from_seconds(0.002))
            });
            if self.poll.wait(wait, &mut ready).is_err() {
                return;
            }
            let now = reactor::now();
            let mut pending: BTreeSet<usize> = self
                .streams
                .iter()
                .filter(|(_, stream)| {
                    stream
                        .to_controller
                        .front()
                        .is_some_and(|(at, _)| *at <= now)
                })
                .map(|(slot, _)| slot)
                .collect();
            for ready in ready.drain(..) {
                match ready.token {
                    INBOX => {
                        for command in self.inbox.take() {
                            if matches!(command, NetworkCommand::End) {
                                return;
                            }
                            self.execute(command);
                        }
                        pending.extend(self.streams.iter().map(|(slot, _)| slot));
                    }
                    Token(token) if token >= LISTENERS => self.accept((token - LISTENERS) as usize),
                    Token(token) => drop(pending.insert(token as usize / 2)),
                }
            }
            for slot in pending {
                self.forward(now, slot);
            }
        }
    }

    fn execute(&mut self, command: NetworkCommand) {
        match command {
            NetworkCommand::ResetStreams(proxies) => self.reset_streams(&proxies),
            NetworkCommand::RefuseConnections(proxies) => {
                self.reset_streams(&proxies);
                self.refused = proxies;
            }
            NetworkCommand::Pause(proxies) => self.paused = proxies,
            NetworkCommand::SetDelay(seconds) => self.report_delay = Span::from_seconds(seconds),
            NetworkCommand::End => {}
        }
    }

    fn reset_streams(&mut self, proxies: &BTreeSet<usize>) {
        let slots: Vec<usize> = self
            .streams
            .iter()
            .filter(|(_, stream)| proxies.contains(&stream.proxy))
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            let stream = self.streams.remove(slot);
            reactor::reset(stream.proxy_side);
            reactor::reset(stream.controller_side);
        }
    }

    fn accept(&mut self, index: usize) {
        let (listener, to) = &self.listeners[index];
        for proxy_side in reactor::accept(listener).0 {
            let proxy = proxy_side.peer_addr().map(|peer| proxy_of(peer.ip()).1);
            let controller_side = reactor::connect(to.ip().octets(), to.port());
            let (Ok(proxy), Ok(controller_side)) = (proxy, controller_side) else {
                continue;
            };
            if self.refused.contains(&proxy) {
                reactor::reset(proxy_side);
                continue;
            }
            let slot = self.streams.insert(Stream {
                proxy,
                proxy_side,
                controller_side,
                to_controller: VecDeque::new(),
                to_proxy: Vec::new(),
            });
            let stream = &self.streams[slot];
            let proxy_side =
                self.poll
                    .add(&stream.proxy_side, Token(slot as u64 * 2), Interest::Edges);
            let controller_side = self.poll.add(
                &stream.controller_side,
                Token(slot as u64 * 2 + 1),
                Interest::Edges,
            );
            if proxy_side.and(controller_side).is_err() {
                self.streams.remove(slot);
            }
        }
    }

    fn forward(&mut self, now: Moment, slot: usize) {
        let Some(stream) = self.streams.get_mut(slot) else {
            return;
        };
        if self.paused.contains(&stream.proxy) {
            return;
        }
        let mut received = Vec::new();
        let mut closed = read_available(&stream.proxy_side, &mut received);
        if !received.is_empty() {
            stream
                .to_controller
                .push_back((now + self.report_delay, received));
        }
        closed |= read_available(&stream.controller_side, &mut stream.to_proxy);
        while let Some((_, bytes)) = stream
            .to_controller
            .front_mut()
            .filter(|(at, _)| *at <= now)
        {
            closed |= write_available(&stream.controller_side, bytes);
            if !bytes.is_empty() {
                break;
            }
            stream.to_controller.pop_front();
        }
        closed |= write_available(&stream.proxy_side, &mut stream.to_proxy);
        if closed {
            self.streams.remove(slot);
        }
    }
}

/// Reads all available bytes; `true` if the connection has ended.
fn read_available(mut socket: &TcpStream, into: &mut Vec<u8>) -> bool {
    let mut buffer = [0u8; 16384];
    loop {
        match socket.read(&mut buffer) {
            Ok(0) => return true,
            Ok(count) => into.extend_from_slice(&buffer[..count]),
            Err(error) => {
                return !matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::NotConnected
                )
            }
        }
    }
}

/// Writes as much as the socket accepts; `true` if the connection has ended.
fn write_available(mut socket: &TcpStream, bytes: &mut Vec<u8>) -> bool {
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

/// The proxies of a zone; `zones` maps proxies to zones.
pub fn proxies_in_zone(zones: &BTreeMap<usize, usize>, zone: usize) -> BTreeSet<usize> {
    zones
        .iter()
        .filter(|(_, at)| **at == zone)
        .map(|(proxy, _)| *proxy)
        .collect()
}
