//! The loop: hears everything that is ready, settles once, and writes what follows.

use crate::clock::Clock;
use crate::close_reason::{Ending, LastLook};
use crate::config::{BadFile, PlatformFile};
use crate::connection::{Connection, Over};
use crate::exchange::Exchange;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use tracing::{debug, info, warn};
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_platform_core::{
    load_of, ConnectionId, Desk, List, Out, Reply, SourceId, WatchPlace, CONFIGURATION,
};
use wheelspread_reactor::{self as reactor, Interest, Poll, Readiness, Signals, Token};

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const FIRST: u64 = 16;

/// Descriptors that are no connections of proxies, collectors or strangers: the loop's own and exchanges.
const OWN_SOCKETS: usize = 28;
/// Calls at a time, the watch of the list among them.
const EXCHANGES: usize = 12;
/// Of them, those that may be probes: the list must find one free.
const PROBES: usize = EXCHANGES - 4;
/// Seconds until who has not said who it is must go; and in which nobody is evicted for want of a descriptor,
/// since proxies that come in hundreds need that long to say a word. Those who wait to be accepted lose nothing.
const STRANGER: f64 = 1.6;
const YOUNG: f64 = 0.1;
/// Seconds between two tries for an address that the conductor before this one still holds, and how many.
const REBIND: (f64, u32) = (0.05, 200);
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
    source: SourceId,
    place: WatchPlace,
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
    /// Those that have not said who they are, longest here first; and what all connections hold in memory.
    strangers: BTreeSet<u64>,
    held: usize,
    /// The listener is left alone until then: there is no descriptor for who waits there.
    listen_at: Option<Moment>,
    exchanges: BTreeMap<u64, Open>,
    next: u64,
    /// Connections that may have more to read than their turn allowed.
    again: BTreeSet<u64>,
    dial_at: Moment,
    dial_wait: f64,
    /// The newest asking for the list; whether it must be heard in full before changes mean anything.
    source: SourceId,
    recount: bool,
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
    Settings(String),
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    /// Which is no failure.
    #[error("told to stop")]
    Told,
}

impl Service {
    pub fn start(path: &Path) -> Result<Service, NoStart> {
        let io = |what: &str| {
            let what = what.to_string();
            move |error| NoStart::Io { what, error }
        };
        // First of all: a signal that came before would end the program, and not by its own hand.
        let mut poll = Poll::new().map_err(io("epoll"))?;
        let wanted = [reactor::TERMINATE, reactor::INTERRUPT, reactor::RELOAD];
        let signals = Signals::new(&poll, SIGNALS, &wanted).map_err(io("signals"))?;
        let file = PlatformFile::read(path)?;
        let clock = Clock::new();
        let now = clock.now();
        let mut desk = Desk::start(now, file.seed, file.facts.clone(), file.names.clone())
            .map_err(NoStart::Settings)?;
        file.refused
            .iter()
            .for_each(|why| warn!(why, "left out of the known list"));
        if let Some(known) = &file.known {
            desk.list(now, known, CONFIGURATION);
        }
        let mut reload = false;
        let listener = bind(&mut poll, &signals, &mut reload, file.listen)?;
        poll.add(&listener, LISTENER, Interest::Readable)
            .map_err(io("epoll"))?;
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
            strangers: BTreeSet::new(),
            held: 0,
            listen_at: None,
            exchanges: BTreeMap::new(),
            next: FIRST,
            again: BTreeSet::new(),
            dial_at: now,
            dial_wait: AGAIN.0,
            source: CONFIGURATION,
            recount: false,
            reread: reload.then_some((now, 0)),
            counts: Counts::default(),
            report_at: now + Span::from_seconds(REPORT),
            scratch: vec![0; 64 << 10],
        })
    }

    /// Runs until it is told to stop.
    pub fn run(mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            let wait = if self.again.is_empty() {
                self.wake_at() - self.clock.now()
            } else {
                Span::ZERO
            };
            self.poll.wait(wait, &mut ready)?;
            let now = self.clock.now();
            if ready.iter().any(|ready| ready.token == SIGNALS) && self.told(now) {
                self.stop();
                return Ok(());
            }
            for token in std::mem::take(&mut self.again) {
                self.read(now, token);
            }
            for ready in ready.iter().filter(|ready| ready.token.0 >= FIRST) {
                self.ready(now, ready);
            }
            // Those who wait here have said something, if they ever will, before new ones push them out.
            if ready.iter().any(|ready| ready.token == LISTENER) {
                self.accept(now);
            }
            self.keep(now);
            for out in self.desk.settle(now) {
                self.carry_out(now, out);
            }
        }
    }

    /// Whether it is to stop.
    fn told(&mut self, now: Moment) -> bool {
        let came = self.signals.came();
        if came.contains(&reactor::RELOAD) {
            self.reread = Some((now, 0));
        }
        came.iter().any(|signal| *signal != reactor::RELOAD)
    }

    /// What was ordered and waits is pushed as far as it goes; a message that is cut takes no effect. Callers
    /// that nobody has accepted are refused as the listener ends with the program.
    fn stop(mut self) {
        info!("told to stop");
        self.connections
            .values_mut()
            .for_each(|connection| _ = connection.push());
    }

    fn wake_at(&self) -> Moment {
        let mut at = self.desk.wake_at().min(self.report_at);
        for other in [self.reread.map(|(again, _)| again), self.listen_at]
            .into_iter()
            .flatten()
        {
            at = at.min(other);
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
        let known = self.connections.len() - self.strangers.len();
        let most = self.room().saturating_sub(known).clamp(1, 64);
        for _ in 0..most {
            if self.connections.len() >= self.room() && !self.evict(now) {
                if let Some(young) = self
                    .strangers
                    .first()
                    .and_then(|token| self.connections.get(token))
                {
                    return self.rest_listener(young.since + Span::from_seconds(YOUNG));
                }
                // All descriptors are held by proxies and collectors: who comes is sent elsewhere.
                let (accepted, error) = reactor::accept_at_most(&self.listener, 1);
                self.counts.strangers += accepted.len() as u64;
                match (accepted.is_empty(), error) {
                    (false, _) => continue,
                    (true, None) => return,
                    (true, Some(_)) => return self.rest_listener(now + Span::from_seconds(YOUNG)),
                }
            }
            let (accepted, error) = reactor::accept_at_most(&self.listener, 1);
            if let Some(error) = error {
                warn!(%error, connections = self.connections.len(), "connections wait");
                if !self.evict(now) {
                    self.rest_listener(now + Span::from_seconds(YOUNG));
                }
                return;
            }
            let Some(stream) = accepted.into_iter().next() else {
                return;
            };
            let token = self.token();
            if let Err(error) = self.poll.add(&stream, Token(token), Interest::Edges) {
                warn!(%error, "a connection can't be watched");
                continue;
            }
            self.connections.insert(token, Connection::new(stream, now));
            self.strangers.insert(token);
            self.read(now, token);
        }
    }

    /// Who waits to be accepted can wait; being told of them again and again would take all the time.
    fn rest_listener(&mut self, until: Moment) {
        match self.poll.remove(&self.listener) {
            Ok(()) => self.listen_at = Some(until),
            Err(error) => warn!(%error, "the listener can't be left alone"),
        }
    }

    fn take_up_listener(&mut self, now: Moment) {
        if self.listen_at.is_some_and(|at| now >= at) {
            match self.poll.add(&self.listener, LISTENER, Interest::Readable) {
                Ok(()) => self.listen_at = None,
                Err(error) => warn!(%error, "the listener can't be watched"),
            }
        }
    }

    /// Ends the stranger that has been silent longest, where descriptors run out; else a collector that a
    /// newer one of its zone has come for. Whether there is room for one more.
    fn evict(&mut self, now: Moment) -> bool {
        let old = |connection: &Connection| now - connection.since >= Span::from_seconds(YOUNG);
        while let Some(token) = self.strangers.first().copied() {
            if !self.connections.get(&token).is_some_and(old) {
                break;
            }
            if self.end(now, token, Ending::Evicted, "descriptors are short") {
                return true;
            }
        }
        let spare = self.desk.spare();
        spare.is_some_and(|spare| {
            self.end(
                now,
                spare.0,
                Ending::Replaced,
                "its zone has a newer collector",
            )
        })
    }

    /// Ends a connection, and pays what is owed in that instant. Whether it has ended.
    fn end(&mut self, now: Moment, token: u64, ending: Ending, why: &str) -> bool {
        let owed = ending.owed();
        if owed.look != LastLook::None {
            self.read(now, token);
            if owed.look == LastLook::Spares && !self.strangers.contains(&token) {
                return !self.connections.contains_key(&token);
            }
        }
        self.desk.closed(now, ConnectionId(token));
        self.again.remove(&token);
        let stranger = self.strangers.remove(&token);
        // The last look may have ended it.
        let Some(connection) = self.connections.remove(&token) else {
            return true;
        };
        self.held -= connection.held();
        let (count, who) = match stranger {
            false => (&mut self.counts.lost, "stream"),
            true => (&mut self.counts.strangers, "stranger"),
        };
        *count += 1;
        debug!(token, why, who, ?ending, "ended");
        if owed.reset {
            reactor::reset(connection.stream);
        }
        true
    }

    fn ready(&mut self, now: Moment, ready: &Readiness) {
        let token = ready.token.0;
        if self.exchanges.contains_key(&token) {
            return self.answer(now, token);
        }
        // What it said before it ended counts, so it is read before a write can fail.
        if ready.readable || ready.closed {
            self.read(now, token);
        }
        if ready.writable {
            self.write(now, token, &[]);
        }
    }

    fn write(&mut self, now: Moment, token: u64, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let before = connection.held();
        let written = if bytes.is_empty() {
            connection.push()
        } else {
            connection.write(bytes)
        };
        self.held = self.held + connection.held() - before;
        match written {
            Ok(()) => {}
            Err(Over::Unread) => {
                _ = self.end(now, token, Ending::Unread, &Over::Unread.to_string())
            }
            Err(over) => _ = self.end(now, token, Ending::WriteFailed, &over.to_string()),
        }
    }

    fn read(&mut self, now: Moment, token: u64) {
        let Some(mut connection) = self.connections.remove(&token) else {
            return;
        };
        let before = connection.held();
        let (desk, counts, strangers) = (&mut self.desk, &mut self.counts, &mut self.strangers);
        let read = connection.read(&mut self.scratch, |connection| loop {
            let reply = match connection.reader.message()? {
                Some(strings) => desk.message(now, ConnectionId(token), &strings),
                None => return Ok(()),
            };
            match reply {
                Reply::Nothing => {}
                Reply::Known => {
                    connection.know();
                    strangers.remove(&token);
                }
                // Where it is gone already, what it said still counts; reading finds its end.
                Reply::Pong => {
                    if let Err(Over::Unread) = connection.write(b"*1\r\n$4\r\npong\r\n") {
                        return Err(Over::Unread);
                    }
                }
                Reply::Close(why) => {
                    counts.left_out += 1;
                    return Err(Over::Refused(why));
                }
            }
        });
        self.held = self.held + connection.held() - before;
        self.connections.insert(token, connection);
        let ending = match &read {
            Ok(more) => {
                if *more {
                    self.again.insert(token);
                }
                return;
            }
            Err(Over::Ended | Over::Failed(_)) => Ending::Ended,
            Err(Over::Unreadable(_)) => Ending::Unreadable,
            Err(Over::Refused(_)) => Ending::Refused,
            Err(Over::Unread) => Ending::Flooded,
        };
        let why = read.err().map(|over| over.to_string()).unwrap_or_default();
        self.end(now, token, ending, &why);
    }

    // ---- discovery and probes ----

    fn exchange(
        &mut self,
        now: Moment,
        address: SocketAddrV4,
        target: &str,
        purpose: Purpose,
    ) -> bool {
        if self.exchanges.len()
            >= if matches!(purpose, Purpose::Probe(_)) {
                PROBES
            } else {
                EXCHANGES
            }
        {
            return false;
        }
        let (source, place) = (self.source, WatchPlace::from(self.desk.version()));
        let opened = Exchange::get(address, target).and_then(|exchange| {
            let token = self.token();
            self.poll
                .add(&exchange.stream, Token(token), Interest::Edges)?;
            let open = Open {
                exchange,
                purpose,
                since: now,
                heard: now,
                address,
                source,
                place,
            };
            self.exchanges.insert(token, open);
            Ok(())
        });
        if let Err(error) = &opened {
            debug!(%error, ?purpose, "no exchange begun");
        }
        opened.is_ok()
    }

    fn answer(&mut self, now: Moment, token: u64) {
        let Some(open) = self.exchanges.get_mut(&token) else {
            return;
        };
        let came = open.exchange.came;
        let turned = open.exchange.turn(&mut self.scratch);
        if open.exchange.came > came {
            open.heard = now;
        }
        let watches = open.purpose == Purpose::Watch && open.exchange.status == 200;
        let mut lines = if watches {
            open.exchange.lines()
        } else {
            Vec::new()
        };
        // An answer may end with an object that no line's end follows. One that was cut is no JSON.
        if watches && !matches!(turned, Ok(false)) && !open.exchange.carried.is_empty() {
            lines.push(std::mem::take(&mut open.exchange.carried));
        }
        let refused = open.purpose == Purpose::Watch && !watches && open.exchange.status != 0;
        for line in lines {
            if !self.watched(now, token, &line) {
                return self.count_anew(now, token);
            }
        }
        match turned {
            // What a watch is answered other than by the list may go on for ever.
            Ok(_) if refused => self.failed(now, token),
            Ok(false) => {}
            Ok(true) => self.answered(now, token),
            Err(error) => {
                debug!(%error, "exchange failed");
                self.failed(now, token);
            }
        }
    }

    fn list(&self, text: &[u8]) -> Option<List> {
        let read = serde_json::from_slice(text).map_err(|error| error.to_string());
        match read.and_then(|value| List::read(&value, self.desk.names())) {
            Ok(list) => {
                list.refused
                    .iter()
                    .for_each(|why| warn!(why, "left out of the list"));
                Some(list)
            }
            Err(why) => {
                warn!(why, "list can't be read");
                None
            }
        }
    }

    fn listed(&mut self, now: Moment, list: &List, source: SourceId) {
        let taken = self.desk.list(now, list, source);
        let (version, full, count) = (list.version, list.full, list.entries.len());
        debug!(version, full, count, taken, source = source.0, "list");
    }

    /// An object of a watch. Whether it goes on from what was said on it before.
    fn watched(&mut self, now: Moment, token: u64, line: &[u8]) -> bool {
        let Some(list) = self.list(line) else {
            return true;
        };
        let Some(open) = self.exchanges.get_mut(&token) else {
            return true;
        };
        let (source, current) = (open.source, open.address == self.file.discovery);
        if !open.place.follows(&list) {
            return !current;
        }
        self.dial_wait = AGAIN.0;
        self.listed(now, &list, source);
        true
    }

    /// A watch has gone back to lower versions: changes by them mean nothing before the full list is known.
    fn count_anew(&mut self, now: Moment, token: u64) {
        info!("discovery counts anew");
        self.exchanges.remove(&token);
        self.source.0 += 1;
        self.recount = self.ask_list(now);
    }

    fn ask_list(&mut self, now: Moment) -> bool {
        let asked = self.exchange(now, self.file.discovery, "/catalog/members", Purpose::Read);
        if !asked {
            self.desk.no_list(now);
        }
        asked
    }

    fn answered(&mut self, now: Moment, token: u64) {
        let Some(open) = self.exchanges.get(&token) else {
            return;
        };
        if open.purpose == Purpose::Read && open.exchange.status != 200 {
            return self.failed(now, token);
        }
        let Some(open) = self.exchanges.remove(&token) else {
            return;
        };
        match open.purpose {
            Purpose::Read => {
                if let Some(list) = self.list(&open.exchange.carried) {
                    self.listed(now, &list, open.source);
                    // What the watch beside it says next goes on from here.
                    let beside = |other: &&mut Open| {
                        other.purpose == Purpose::Watch && other.source == open.source
                    };
                    let watch = self.exchanges.values_mut().find(beside);
                    watch.into_iter().for_each(|watch| watch.place.told(&list));
                }
                self.read_ended(open.source);
            }
            Purpose::Watch => self.watch_ended(now, open.address),
            Purpose::Probe(node) => {
                let text = String::from_utf8_lossy(&open.exchange.carried);
                let load = load_of(&text, '=', self.desk.names()).unwrap_or_default();
                self.desk.probed(
                    now,
                    node,
                    open.exchange.status == 200,
                    now - open.since,
                    load,
                );
            }
        }
    }

    fn failed(&mut self, now: Moment, token: u64) {
        let Some(open) = self.exchanges.remove(&token) else {
            return;
        };
        match open.purpose {
            Purpose::Read => {
                self.desk.no_list(now);
                self.read_ended(open.source);
            }
            Purpose::Watch => self.watch_ended(now, open.address),
            Purpose::Probe(node) => {
                self.desk
                    .probed(now, node, false, now - open.since, Vec::new())
            }
        }
    }

    /// The watch may be dialled now, from whatever version stands.
    fn read_ended(&mut self, source: SourceId) {
        self.recount &= source != self.source;
    }

    /// The end of a watch at a place that discovery has left holds up no other.
    fn watch_ended(&mut self, now: Moment, address: SocketAddrV4) {
        if address == self.file.discovery {
            self.redial(now);
        }
    }

    fn redial(&mut self, now: Moment) {
        self.dial_at = now + Span::from_seconds(self.dial_wait);
        self.dial_wait = (self.dial_wait * 2.0).min(AGAIN.1);
    }

    // ---- what time brings ----

    fn keep(&mut self, now: Moment) {
        let late = |since: Moment, seconds: f64| now - since > Span::from_seconds(seconds);
        let strange = |token: &u64| {
            self.connections
                .get(token)
                .is_some_and(|one| late(one.since, STRANGER))
        };
        let strangers: Vec<u64> = self.strangers.iter().copied().take_while(strange).collect();
        for token in strangers {
            self.end(now, token, Ending::Late, "it has not said who it is");
        }
        for silent in self.desk.silent(now) {
            self.read(now, silent.0);
        }
        // Who reads slowly may cost memory, but not all of it.
        if self.held as f64 > self.file.memory as f64 * BUFFERS {
            let largest = self
                .connections
                .iter()
                .max_by_key(|(_, one)| one.held())
                .map(|(token, _)| *token);
            largest
                .into_iter()
                .for_each(|token| _ = self.end(now, token, Ending::Crowded, "buffers are full"));
        }
        self.take_up_listener(now);
        self.keep_exchanges(now);
        if let Some((at, tries)) = self.reread.filter(|(at, _)| now >= *at) {
            self.reload(now, at, tries);
        }
        self.keep_watch(now);
        if now >= self.report_at {
            self.report(now);
        }
    }

    fn keep_exchanges(&mut self, now: Moment) {
        let late = |since: Moment, seconds: f64| now - since > Span::from_seconds(seconds);
        let silent = |open: &Open| match open.purpose {
            Purpose::Watch if open.exchange.status == 0 => late(open.since, LIST),
            Purpose::Watch => late(open.heard, WATCH),
            Purpose::Read => late(open.since, LIST),
            Purpose::Probe(_) => late(open.since, PROBE),
        };
        let over = self
            .exchanges
            .iter()
            .filter(|(_, open)| silent(open))
            .map(|(token, _)| *token);
        for token in over.collect::<Vec<_>>() {
            // What has come and was not read yet is none too late.
            self.answer(now, token);
            if self.exchanges.get(&token).is_some_and(silent) {
                debug!("an exchange is not answered");
                self.failed(now, token);
            }
        }
    }

    fn keep_watch(&mut self, now: Moment) {
        let address = self.file.discovery;
        let watches = |open: &Open| open.purpose == Purpose::Watch && open.address == address;
        if now >= self.dial_at && !self.recount && !self.exchanges.values().any(watches) {
            let from = self
                .desk
                .version()
                .map(|version| format!("&from={version}"))
                .unwrap_or_default();
            self.redial(now);
            self.source.0 += 1;
            self.exchange(
                now,
                address,
                &format!("/catalog/members?watch=1{from}"),
                Purpose::Watch,
            );
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
                let moved = file.discovery != self.file.discovery;
                (self.file, self.reread) = (file, None);
                if moved {
                    // Elsewhere versions may be others: the full list is asked for beside the watch.
                    (self.dial_at, self.dial_wait, self.recount) = (now, AGAIN.0, false);
                    self.keep_watch(now);
                    self.ask_list(now);
                }
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
        let Counts {
            strangers,
            left_out,
            lost,
        } = std::mem::take(&mut self.counts);
        let buffers = self.held;
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
            Out::Write { connection, bytes } => self.write(now, connection.0, &bytes),
            Out::Close { connection, why } => {
                _ = self.end(now, connection.0, Ending::Replaced, why)
            }
            Out::ReadList => _ = self.ask_list(now),
            Out::Probe { node, address } => {
                let target = if self.file.names.fields.is_empty() {
                    "/ping"
                } else {
                    "/_load"
                };
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

/// Listens. The conductor before this one may still be ending, and holds the address until it has.
fn bind(
    poll: &mut Poll,
    signals: &Signals,
    reload: &mut bool,
    address: SocketAddrV4,
) -> Result<TcpListener, NoStart> {
    let mut tries = 0;
    loop {
        let error = match reactor::listen(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        if error.kind() != io::ErrorKind::AddrInUse || tries >= REBIND.1 {
            return Err(NoStart::Io {
                what: address.to_string(),
                error,
            });
        }
        if tries == 0 {
            warn!(%address, "the address is still held");
        }
        tries += 1;
        let waited = poll.wait(Span::from_seconds(REBIND.0), &mut Vec::new());
        waited.map_err(|error| NoStart::Io {
            what: "epoll".to_string(),
            error,
        })?;
        let came = signals.came();
        *reload |= came.contains(&reactor::RELOAD);
        if came.iter().any(|signal| *signal != reactor::RELOAD) {
            return Err(NoStart::Told);
        }
    }
}
