//! Drives the module: messages and lists become events, what it orders becomes messages. It is settled
//! once for all that was heard, not more often than each tick.

use crate::handshake::{effect, Effect, Party};
use crate::membership::{List, Membership, SourceId};
use crate::message::{self, Bounds, Message};
use crate::table_store::{Kept, TableStore};
use crate::ConnectionId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use wheelspread::ids::{NodeId, ProxyId, TimerId, ZoneId};
use wheelspread::rolling_window::RollingWindow;
use wheelspread::settings::Settings;
use wheelspread::time::{Moment, Span};
use wheelspread::Balancer;
use wheelspread::{Action, EndpointListKind, Event};
use wheelspread_settings::Names;

/// What becomes of a message at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Nothing,
    /// It has said who it is.
    Known,
    Pong,
    Close(String),
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Write {
        connection: ConnectionId,
        bytes: Rc<[u8]>,
    },
    Close {
        connection: ConnectionId,
        why: &'static str,
    },
    ReadList,
    Probe {
        node: NodeId,
        address: SocketAddrV4,
    },
    Remark(String),
}

/// A stream is taken for silent when a mark is unacked, and nothing else came, for so long: seconds, and
/// times the longest delay of a message and the slowest answer of late. A stream that is only slow must
/// not be ended: its proxy would go on by what it holds, and the time limits with it.
const SILENT: (f64, f64, f64) = (1.5, 3.0, 2.0);
/// Answers count for so long, in buckets of a second.
const ANSWERS: usize = 10;
/// Between two looks for silent streams and names long gone, in seconds.
const LOOK: f64 = 0.25;
/// Times the age at which nodes are warm: how long a name that nothing holds is remembered.
const NAMES_KEPT: f64 = 10.0;

struct Stream {
    connection: ConnectionId,
    heard: Moment,
}

/// The slowest of the answers that came in a bucket of time.
#[derive(Clone, Copy, Debug, Default)]
struct Slowest(f64);

impl std::ops::AddAssign for Slowest {
    fn add_assign(&mut self, more: Slowest) {
        self.0 = self.0.max(more.0);
    }
}

pub struct Desk {
    balancer: Balancer,
    names: Names,
    figures: Figures,
    membership: Membership,
    tables: TableStore,
    parties: BTreeMap<ConnectionId, Party>,
    streams: BTreeMap<ProxyId, Stream>,
    /// The newest connection that each proxy has joined on.
    newest: BTreeMap<ProxyId, ConnectionId>,
    timers: BTreeSet<(Moment, TimerId)>,
    answers: RollingWindow<Slowest>,
    /// Something was heard since the last moment settled.
    pending: bool,
    settled: Option<Moment>,
    next_look: Moment,
    out: Vec<Out>,
}

/// What the settings say to this part.
struct Figures {
    bounds: Bounds,
    tick: Span,
    /// The longest delay of a message.
    delay: Span,
    warm_after: Span,
}

impl Figures {
    fn read(facts: &Settings) -> Figures {
        let span = |name| Span::from_seconds(facts.number_or(name, 0.0));
        let timeouts =
            (0..16).map(|at| facts.number_or(&format!("operation.{at}.integration_timeout"), 0.0));
        // A mean time carries noise, and a try may outlast its client.
        let longest_try = Span::from_seconds(timeouts.fold(1.0, f64::max) * 4.0);
        let proxies = facts.number_or("proxy.count", 0.0).clamp(0.0, 65535.0) as u16;
        Figures {
            bounds: Bounds {
                proxies,
                longest_try,
            },
            tick: span("conductor.tick"),
            delay: span("channel.delay_at_most"),
            warm_after: span("rules.warm_after"),
        }
    }
}

impl Desk {
    pub fn start(now: Moment, seed: u64, facts: Settings, names: Names) -> Result<Desk, String> {
        let second = Span::from_seconds(1.0);
        let figures = Figures::read(&facts);
        Ok(Desk {
            balancer: Balancer::start(now, seed, facts).map_err(|error| error.to_string())?,
            figures,
            membership: Membership::default(),
            tables: TableStore::new(&names.operations),
            names,
            parties: BTreeMap::new(),
            streams: BTreeMap::new(),
            newest: BTreeMap::new(),
            timers: BTreeSet::new(),
            answers: RollingWindow::new(second, ANSWERS),
            pending: true,
            settled: None,
            next_look: now,
            out: Vec::new(),
        })
    }

    /// Other settings, from now on. Zones, kinds and operations stay what they are.
    pub fn refigure(&mut self, facts: Settings, names: &Names) -> Result<(), String> {
        if *names != self.names {
            return Err(
                "zones, kinds, operations and reports stay what they are while this runs"
                    .to_string(),
            );
        }
        let figures = Figures::read(&facts);
        self.balancer
            .reconfigure(facts)
            .map_err(|error| error.to_string())?;
        self.figures = figures;
        self.pending = true;
        Ok(())
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    pub fn proxies(&self) -> usize {
        self.streams.len()
    }

    /// The version of the list that stands.
    pub fn version(&self) -> Option<u64> {
        self.membership.version()
    }

    /// Takes a list. Whether it was news.
    pub fn list(&mut self, now: Moment, list: &List, source: SourceId) -> bool {
        let Some(event) = self.membership.take(list, source, now) else {
            return false;
        };
        self.hear(now, &event);
        true
    }

    /// The list could not be read when it was asked for.
    pub fn no_list(&mut self, now: Moment) {
        self.hear(
            now,
            &Event::EndpointList {
                kind: EndpointListKind::Unavailable,
                entries: Vec::new(),
            },
        );
    }

    pub fn probed(
        &mut self,
        now: Moment,
        node: NodeId,
        answered: bool,
        took: Span,
        load: Vec<f64>,
    ) {
        self.hear(
            now,
            &Event::ProbeCompleted {
                node,
                succeeded: answered,
                latency: took,
                metrics: load,
            },
        );
    }

    fn hear(&mut self, now: Moment, event: &Event) {
        self.pending = true;
        if let Err(error) = self.balancer.handle_event(now, event) {
            self.out.push(Out::Remark(error.to_string()));
        }
    }

    /// A message of a connection.
    pub fn message(&mut self, now: Moment, connection: ConnectionId, strings: &[&[u8]]) -> Reply {
        let party = self
            .parties
            .get(&connection)
            .copied()
            .unwrap_or(Party::Stranger);
        let read = message::read(strings, &self.names, &self.figures.bounds);
        let why = read
            .as_ref()
            .err()
            .map(ToString::to_string)
            .unwrap_or_default();
        let message = read.ok();
        if let Some(stream) = self.stream_of(party) {
            stream.heard = now;
        }
        match (effect(party, message.as_ref()), message) {
            (Effect::Pong, _) => Reply::Pong,
            (Effect::Collect, Some(Message::Collector { zone })) => {
                self.parties.insert(connection, Party::Collector(zone));
                Reply::Known
            }
            // Connections are numbered as they came: this one was given up by its proxy for a newer one.
            (Effect::Join, Some(Message::Joined { proxy, .. }))
                if self
                    .newest
                    .get(&proxy)
                    .is_some_and(|newest| *newest > connection) =>
            {
                Reply::Close("its proxy has a newer stream".to_string())
            }
            (
                Effect::Join,
                Some(Message::Joined {
                    proxy,
                    zone,
                    usual_rate,
                    standing,
                }),
            ) => {
                if let Some(old) = self.streams.get(&proxy).map(|stream| stream.connection) {
                    // A new stream may come before the end of the old one is seen.
                    self.end(now, old, "its proxy has a newer stream");
                }
                self.parties.insert(connection, Party::Proxy(proxy));
                self.streams.insert(
                    proxy,
                    Stream {
                        connection,
                        heard: now,
                    },
                );
                self.newest.insert(proxy, connection);
                self.tables.join(proxy);
                self.hear(
                    now,
                    &Event::ProxyJoined {
                        proxy,
                        zone,
                        usual_rate,
                        fresh: standing,
                    },
                );
                Reply::Known
            }
            (Effect::Hear, Some(message)) => {
                self.figures(now, message);
                Reply::Nothing
            }
            (Effect::Close, _) => Reply::Close(why),
            _ => {
                self.out.push(Out::Remark(format!("left out: {why}")));
                Reply::Nothing
            }
        }
    }

    fn stream_of(&mut self, party: Party) -> Option<&mut Stream> {
        match party {
            Party::Proxy(proxy) => self.streams.get_mut(&proxy),
            _ => None,
        }
    }

    fn figures(&mut self, now: Moment, message: Message) {
        match message {
            Message::Met {
                zone,
                node,
                tries,
                errored,
                latency,
                over,
                load,
            } => match self.membership.id(&node) {
                Some(node) => {
                    self.hear(
                        now,
                        &Event::NodeLoadReport {
                            zone,
                            node,
                            attempts: tries,
                            failures: errored,
                            mean_latency: latency,
                            window: over,
                            metrics: load,
                        },
                    );
                }
                None => self.out.push(Out::Remark(format!(
                    "sums of a node that was never listed: {node}"
                ))),
            },
            Message::Offered {
                proxy,
                operation,
                count,
                errored,
                over,
            } => {
                self.hear(
                    now,
                    &Event::DemandReport {
                        proxy,
                        operation,
                        requests: count,
                        failures: errored,
                        window: over,
                    },
                );
            }
            Message::Applied { proxy, mark, took } => {
                self.answers.add(now, Slowest(took.seconds()));
                let marks = self.tables.acked(proxy, mark);
                if marks.is_empty() {
                    self.out.push(Out::Remark(format!(
                        "{proxy:?} answers a mark it was not sent"
                    )));
                }
                for mark in marks {
                    self.hear(
                        now,
                        &Event::MarkerAcknowledged {
                            proxy,
                            marker: mark,
                            latency: took,
                        },
                    );
                }
            }
            _ => {}
        }
    }

    /// Ends a connection from this side. Until its owner has closed it, it is nobody.
    fn end(&mut self, now: Moment, connection: ConnectionId, why: &'static str) {
        self.out.push(Out::Close { connection, why });
        self.leave(now, connection);
        self.parties.insert(connection, Party::Ended);
    }

    /// A connection has ended.
    pub fn closed(&mut self, now: Moment, connection: ConnectionId) {
        self.leave(now, connection);
        self.parties.remove(&connection);
    }

    fn leave(&mut self, now: Moment, connection: ConnectionId) {
        let Some(Party::Proxy(proxy)) = self.parties.get(&connection).copied() else {
            return;
        };
        if self
            .streams
            .get(&proxy)
            .is_some_and(|stream| stream.connection == connection)
        {
            self.streams.remove(&proxy);
            self.tables.leave(proxy);
            self.hear(now, &Event::ProxyLeft { proxy });
        }
    }

    /// The collector that is missed least: a newer one has come for its zone, as after a silent break, which
    /// nothing else tells of.
    pub fn spare(&self) -> Option<ConnectionId> {
        let newer = |at: &ConnectionId, zone: ZoneId| {
            self.parties
                .range(at..)
                .skip(1)
                .any(|(_, party)| *party == Party::Collector(zone))
        };
        let spare = |(at, party): (&ConnectionId, &Party)| match party {
            Party::Collector(zone) if newer(at, *zone) => Some(*at),
            _ => None,
        };
        self.parties.iter().find_map(spare)
    }

    /// Settles the moment if it is time, and tells what is to be done.
    pub fn settle(&mut self, now: Moment) -> Vec<Out> {
        if now >= self.next_look {
            self.look(now);
        }
        while let Some((_, timer)) = self.timers.first().copied().filter(|first| first.0 <= now) {
            self.timers.pop_first();
            self.hear(now, &Event::TimerFired { timer });
        }
        if self.pending
            && self
                .settled
                .is_none_or(|last| now >= last + self.figures.tick)
        {
            (self.pending, self.settled) = (false, Some(now));
            let mut actions = Vec::new();
            self.balancer.decide(now, &mut actions);
            actions.iter().for_each(|action| self.act(now, action));
            for (proxy, bytes) in self.tables.messages(now, &self.membership) {
                if let Some(Stream { connection, .. }) = self.streams.get(&proxy) {
                    self.out.push(Out::Write {
                        connection: *connection,
                        bytes,
                    });
                }
            }
        }
        std::mem::take(&mut self.out)
    }

    fn act(&mut self, now: Moment, action: &Action) {
        if self.tables.order(action) == Kept::Kept {
            return;
        }
        match action {
            Action::SetTimer { after, timer } => _ = self.timers.insert((now + *after, *timer)),
            Action::RequestEndpointList => self.out.push(Out::ReadList),
            Action::ProbeNode { node } => {
                if let Some(address) = self.membership.address(*node) {
                    self.out.push(Out::Probe {
                        node: *node,
                        address,
                    });
                }
            }
            Action::Log { message: text } => self.out.push(Out::Remark(text.clone())),
            // Changes of the list come unasked, and conductors have no way to each other here.
            Action::WatchEndpoints { .. } | Action::SendGossip { .. } => {}
            _ => {}
        }
    }

    /// When `settle` is to be called again if nothing comes.
    pub fn wake_at(&self) -> Moment {
        let timer = self
            .timers
            .first()
            .map_or(self.next_look, |first| first.0)
            .min(self.next_look);
        match (self.pending, self.settled) {
            (true, Some(last)) => timer.min(last + self.figures.tick),
            (true, None) => Moment::default(),
            _ => timer,
        }
    }

    /// Streams that have fallen silent, which nothing else tells of: a machine that vanished sends no end,
    /// and what waits for its answers would hold up the orders to all others. Their owner reads them once
    /// more before the moment settles: an answer that has come and was not read yet is none too late.
    pub fn silent(&self, now: Moment) -> Vec<ConnectionId> {
        if now < self.next_look {
            return Vec::new();
        }
        let slowest = self.answers.total(now).0;
        let limit =
            Span::from_seconds(SILENT.0 + SILENT.2 * slowest) + self.figures.delay * SILENT.1;
        let silent = |(proxy, stream): (&ProxyId, &Stream)| {
            let sent = self.tables.unacked(*proxy)?;
            (now - sent > limit && now - stream.heard > limit).then_some(stream.connection)
        };
        self.streams.iter().filter_map(silent).collect()
    }

    fn look(&mut self, now: Moment) {
        for connection in self.silent(now) {
            self.end(now, connection, "it has fallen silent");
        }
        self.next_look = now + Span::from_seconds(LOOK);
        let (tables, membership) = (&self.tables, &mut self.membership);
        membership.forget(now, self.figures.warm_after * NAMES_KEPT, |node| {
            tables.names(node)
        });
    }
}
