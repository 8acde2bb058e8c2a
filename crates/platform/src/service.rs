//! The loop: hears everything that is ready, settles once, and writes what follows.

use crate::clock::Clock;
use crate::connection::{Connection, Over};
use crate::exchange::Exchange;
use crate::file::{BadFile, PlatformFile};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use tracing::{debug, info, warn};
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_orders::{load_of, ConnectionId, Desk, List, Out, Reply};
use wheelspread_reactor::{self as reactor, Interest, Poll, Readiness, Signals, Token};

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const FIRST: u64 = 16;

/// Descriptors that are no connections of proxies, collectors or strangers: the loop's own and exchanges.
const OWN_SOCKETS: usize = 28;
/// Calls at a time, the watch of the list among them.
const EXCHANGES: usize = 12;
/// Seconds until who has not said who it is must go.
const STRANGER: f64 = 1.6;
/// Seconds for an answer of discovery; of a watch, which says something every other second, between two.
const LIST: f64 = 2.0;
const WATCH: f64 = 3.0;
/// Seconds from a lost watch to the next, first and at most.
const AGAIN: (f64, f64) = (0.05, 1.0);
/// Of the memory: what buffers of connections may take together.
const BUFFERS: f64 = 0.25;
/// Seconds between two tries to read a new configuration that may be half written, and how many.
const REREAD: (f64, u32) = (0.1, 50);
/// Seconds between two lines of the log that say how it stands.
const REPORT: f64 = 10.0;
const PROBE: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The full list, once.
    Read,
    Watch,
    Probe(NodeId),
}

struct Open {
    exchange: Exchange,
    purpose: Purpose,
    since: Moment,
    heard: Moment,
    address: SocketAddrV4,
}

/// Counted since the last report.
#[derive(Default)]
struct Counts {
    strangers: u64,
    left_out: u64,
    lost: u64,
}

pub struct Service {
    path: PathBuf,
    file: PlatformFile,
    clock: Clock,
    poll: Poll,
    signals: Signals,
    listener: TcpListener,
    desk: Desk,
    connections: BTreeMap<u64, Connection>,
    exchanges: BTreeMap<u64, Open>,
    next: u64,
    /// Connections that may have more to read than their turn allowed.
    again: BTreeSet<u64>,
    dial_at: Moment,
    dial_wait: f64,
    reread: Option<(Moment, u32)>,
    counts: Counts,
    report_at: Moment,
    scratch: Vec<u8>,
}

#[derive(Debug, thiserror::Error)]
pub enum NoStart {
    #[error(transparent)]
    File(#[from] BadFile),
    #[error("the settings can't be used: {0}")]
    Facts(String),
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
}

impl Service {
    pub fn start(path: &Path) -> Result<Service, NoStart> {
        let file = PlatformFile::read(path)?;
        let clock = Clock::new();
        let now = clock.now();
        let mut desk =
            Desk::start(now, file.seed, file.facts.clone(), file.names.clone()).map_err(NoStart::Facts)?;
        if let Some(known) = &file.known {
            desk.list(now, known, true);
        }
        let io = |what: &str| {
            let what = what.to_string();
            move |error| NoStart::Io { what, error }
        };
        let poll = Poll::new().map_err(io("epoll"))?;
        let wanted = [reactor::TERMINATE, reactor::INTERRUPT, reactor::RELOAD];
        let signals = Signals::new(&poll, SIGNALS, &wanted).map_err(io("signals"))?;
        let listener = reactor::listen(file.listen).map_err(io(&file.listen.to_string()))?;
        poll.add(&listener, LISTENER, Interest::Readable).map_err(io("epoll"))?;
        info!(name = file.name, listen = %file.listen, sockets = file.sockets, memory = file.memory, "ready");
        Ok(Service {
            path: path.to_path_buf(),
            file,
            clock,
            poll,
            signals,
            listener,
            desk,
            connections: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            next: FIRST,
            again: BTreeSet::new(),
            dial_at: now,
            dial_wait: AGAIN.0,
            reread: None,
            counts: Counts::default(),
            report_at: now + Span::from_seconds(REPORT),
            scratch: vec![0; 64 << 10],
        })
    }

    /// Runs until it is told to stop.
    pub fn run(mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            let wait = if self.again.is_empty() { self.wake_at() - self.clock.now() } else { Span::ZERO };
            self.poll.wait(wait, &mut ready)?;
            let now = self.clock.now();
            let mut callers = false;
            for token in std::mem::take(&mut self.again) {
                self.read(now, token);
            }
            for ready in &ready {
                match ready.token {
                    LISTENER => callers = true,
                    SIGNALS => {
                        let came = self.signals.came();
                        if came.iter().any(|signal| *signal != reactor::RELOAD) {
                            info!("told to stop");
                            return Ok(());
                        }
                        if !came.is_empty() {
                            self.reread = Some((now, 0));
                        }
                    }
                    _ => self.ready(now, ready),
                }
            }
            // Those who wait here have said something, if they ever will, before new ones push them out.
            if callers {
                self.accept(now);
            }
            self.keep(now);
            for out in self.desk.settle(now) {
                self.carry_out(now, out);
            }
        }
    }

    fn wake_at(&self) -> Moment {
        let mut at = self.desk.wake_at().min(self.report_at);
        if let Some((again, _)) = self.reread {
            at = at.min(again);
        }
        at
    }

    fn token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    // ---- who connects ----

    fn room(&self) -> usize {
        self.file.sockets.saturating_sub(OWN_SOCKETS)
    }

    fn accept(&mut self, now: Moment) {
        // As many as there is room for when every stranger has given way.
        let known = self.connections.values().filter(|connection| connection.known).count();
        let most = self.room().saturating_sub(known).clamp(1, 64);
        let (accepted, error) = reactor::accept_at_most(&self.listener, most);
        for stream in accepted {
            if self.connections.len() >= self.room() && !self.evict() {
                // All descriptors are held by proxies and collectors: this one comes to nothing.
                self.counts.strangers += 1;
                continue;
            }
            let token = self.token();
            if let Err(error) = self.poll.add(&stream, Token(token), Interest::Edges) {
                warn!(%error, "a connection can't be watched");
                continue;
            }
            self.connections.insert(token, Connection::new(stream, now));
            self.read(now, token);
        }
        if let Some(error) = error {
            warn!(%error, connections = self.connections.len(), "connections wait");
            self.evict();
        }
    }

    /// Ends the stranger that has been silent longest, where descriptors run out.
    fn evict(&mut self) -> bool {
        let oldest =
            self.connections.iter().find(|(_, connection)| !connection.known).map(|(token, _)| *token);
        oldest.and_then(|token| self.end_connection(token, "descriptors are short")).is_some()
    }

    fn end_connection(&mut self, token: u64, why: &str) -> Option<Connection> {
        self.again.remove(&token);
        let connection = self.connections.remove(&token)?;
        let (count, who) = match connection.known {
            true => (&mut self.counts.lost, "stream"),
            false => (&mut self.counts.strangers, "stranger"),
        };
        *count += 1;
        debug!(token, why, who, "ended");
        Some(connection)
    }

    fn ready(&mut self, now: Moment, ready: &Readiness) {
        let token = ready.token.0;
        if self.exchanges.contains_key(&token) {
            return self.answer(now, token);
        }
        if ready.writable {
            if let Some(Err(over)) = self.connections.get_mut(&token).map(Connection::push) {
                return self.over(now, token, &over);
            }
        }
        if ready.readable || ready.closed {
            self.read(now, token);
        }
    }

    fn read(&mut self, now: Moment, token: u64) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let desk = &mut self.desk;
        let counts = &mut self.counts;
        let read = connection.read(&mut self.scratch, |connection| loop {
            let reply = match connection.reader.message()? {
                Some(strings) => desk.message(now, ConnectionId(token), &strings),
                None => return Ok(()),
            };
            match reply {
                Reply::Nothing => {}
                Reply::Known => connection.know(),
                Reply::Pong => connection.write(b"*1\r\n$4\r\npong\r\n")?,
                Reply::Close(why) => {
                    counts.left_out += 1;
                    debug!(token, why, "not taken");
                    return Err(Over::Ended);
                }
            }
        });
        self.connections.insert(token, connection);
        match read {
            Ok(true) => drop(self.again.insert(token)),
            Ok(false) => {}
            Err(over) => self.over(now, token, &over),
        }
    }

    fn over(&mut self, now: Moment, token: u64, over: &Over) {
        self.desk.closed(now, ConnectionId(token));
        if let (Over::Unread, Some(connection)) = (over, self.end_connection(token, &over.to_string())) {
            reactor::reset(connection.stream);
        }
    }

    // ---- discovery and probes ----

    fn exchange(&mut self, now: Moment, address: SocketAddrV4, target: &str, purpose: Purpose) -> bool {
        if self.exchanges.len() >= EXCHANGES {
            return false;
        }
        let opened = Exchange::get(address, target).and_then(|exchange| {
            let token = self.token();
            self.poll.add(&exchange.stream, Token(token), Interest::Edges)?;
            self.exchanges.insert(token, Open { exchange, purpose, since: now, heard: now, address });
            Ok(())
        });
        if let Err(error) = &opened {
            debug!(%error, ?purpose, "no exchange begun");
        }
        opened.is_ok()
    }

    fn answer(&mut self, now: Moment, token: u64) {
        let Some(open) = self.exchanges.get_mut(&token) else { return };
        let turned = open.exchange.turn(&mut self.scratch);
        open.heard = now;
        let lines = if open.purpose == Purpose::Watch && open.exchange.status == 200 {
            open.exchange.lines()
        } else {
            Vec::new()
        };
        for line in lines {
            self.listed(now, &line);
            self.dial_wait = AGAIN.0;
        }
        match turned {
            Ok(false) => {}
            Ok(true) => self.answered(now, token),
            Err(error) => {
                debug!(%error, "exchange failed");
                self.failed(now, token);
            }
        }
    }

    fn listed(&mut self, now: Moment, text: &[u8]) {
        let read = serde_json::from_slice(text).map_err(|error| error.to_string());
        match read.and_then(|value| List::read(&value, self.desk.names())) {
            Ok(list) => {
                list.refused.iter().for_each(|why| warn!(why, "left out of the list"));
                let taken = self.desk.list(now, &list, false);
                debug!(version = list.version, full = list.full, count = list.entries.len(), taken, "list");
            }
            Err(why) => warn!(why, "list can't be read"),
        }
    }

    fn answered(&mut self, now: Moment, token: u64) {
        let Some(open) = self.exchanges.remove(&token) else { return };
        match open.purpose {
            Purpose::Read if open.exchange.status == 200 => self.listed(now, &open.exchange.carried),
            Purpose::Read => self.desk.no_list(now),
            Purpose::Watch => self.redial(now),
            Purpose::Probe(node) => {
                let text = String::from_utf8_lossy(&open.exchange.carried);
                let load = load_of(&text, '=', self.desk.names()).unwrap_or_default();
                self.desk.probed(now, node, open.exchange.status == 200, now - open.since, load);
            }
        }
    }

    fn failed(&mut self, now: Moment, token: u64) {
        let Some(open) = self.exchanges.remove(&token) else { return };
        match open.purpose {
            Purpose::Read => self.desk.no_list(now),
            Purpose::Watch => self.redial(now),
            Purpose::Probe(node) => self.desk.probed(now, node, false, now - open.since, Vec::new()),
        }
    }

    fn redial(&mut self, now: Moment) {
        self.dial_at = now + Span::from_seconds(self.dial_wait);
        self.dial_wait = (self.dial_wait * 2.0).min(AGAIN.1);
    }

    // ---- what time brings ----

    fn keep(&mut self, now: Moment) {
        let late = |since: Moment, seconds: f64| now - since > Span::from_seconds(seconds);
        let strange = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.known && late(connection.since, STRANGER));
        for token in strange.map(|(token, _)| *token).collect::<Vec<_>>() {
            self.end_connection(token, "it has not said who it is");
        }
        // Who reads slowly may cost memory, but not all of it.
        let held: usize = self.connections.values().map(Connection::held).sum();
        if held as f64 > self.file.memory as f64 * BUFFERS {
            let largest = self
                .connections
                .iter()
                .max_by_key(|(_, connection)| connection.held())
                .map(|(token, _)| *token);
            largest.into_iter().for_each(|token| self.over(now, token, &Over::Unread));
        }
        let silent = self.exchanges.iter().filter(|(_, open)| match open.purpose {
            Purpose::Watch if open.exchange.status == 0 => late(open.since, LIST),
            Purpose::Watch => late(open.heard, WATCH),
            Purpose::Read => late(open.since, LIST),
            Purpose::Probe(_) => late(open.since, PROBE),
        });
        for token in silent.map(|(token, _)| *token).collect::<Vec<_>>() {
            debug!("an exchange is not answered");
            self.failed(now, token);
        }
        let address = self.file.discovery;
        let watches = |open: &Open| open.purpose == Purpose::Watch && open.address == address;
        if now >= self.dial_at && !self.exchanges.values().any(watches) {
            let from = self.desk.version().map(|version| format!("&from={version}")).unwrap_or_default();
            self.redial(now);
            self.exchange(now, address, &format!("/catalog/members?watch=1{from}"), Purpose::Watch);
        }
        if let Some((at, tries)) = self.reread.filter(|(at, _)| now >= *at) {
            self.reload(now, at, tries);
        }
        if now >= self.report_at {
            self.report(now);
        }
    }

    /// Takes a new configuration. The file may be half written: the old one stands until it can be read.
    fn reload(&mut self, now: Moment, at: Moment, tries: u32) {
        let read = PlatformFile::read(&self.path);
        let taken = read.map_err(|error| error.to_string()).and_then(|file| {
            self.desk.refigure(file.facts.clone(), &file.names)?;
            Ok(file)
        });
        match taken {
            Ok(file) => {
                info!(discovery = %file.discovery, "configuration taken");
                if file.discovery != self.file.discovery {
                    (self.dial_at, self.dial_wait) = (now, AGAIN.0);
                }
                (self.file, self.reread) = (file, None);
            }
            Err(why) if tries < REREAD.1 => {
                debug!(why, "configuration not taken yet");
                self.reread = Some((at + Span::from_seconds(REREAD.0), tries + 1));
            }
            Err(why) => {
                warn!(why, "configuration not taken, the one before stands");
                self.reread = None;
            }
        }
    }

    fn report(&mut self, now: Moment) {
        self.report_at = now + Span::from_seconds(REPORT);
        let Counts { strangers, left_out, lost } = std::mem::take(&mut self.counts);
        let buffers: usize = self.connections.values().map(Connection::held).sum();
        info!(
            proxies = self.desk.proxies(),
            connections = self.connections.len(),
            exchanges = self.exchanges.len(),
            list = self.desk.version(),
            strangers,
            left_out,
            lost,
            buffers,
            "stands"
        );
    }

    // ---- what follows ----

    fn carry_out(&mut self, now: Moment, out: Out) {
        match out {
            Out::Write { connection, bytes } => {
                if let Some(Err(over)) =
                    self.connections.get_mut(&connection.0).map(|connection| connection.write(&bytes))
                {
                    self.over(now, connection.0, &over);
                }
            }
            Out::Close { connection, why } => drop(self.end_connection(connection.0, why)),
            Out::ReadList => {
                if !self.exchange(now, self.file.discovery, "/catalog/members", Purpose::Read) {
                    self.desk.no_list(now);
                }
            }
            Out::Probe { node, address } => {
                let target = if self.file.names.fields.is_empty() { "/ping" } else { "/_load" };
                if !self.exchange(now, address, target, Purpose::Probe(node)) {
                    self.desk.probed(now, node, false, Span::ZERO, Vec::new());
                }
            }
            Out::Remark(text) => {
                self.counts.left_out += 1;
                debug!(text, "remark");
            }
        }
    }
}
