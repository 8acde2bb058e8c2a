//! TableFiles by a discovery stream of the conductor that the proxy is joined to: dialled when it joins, dialled
//! again while it stays joined, and told what is held already.

use crate::config::ProxyConfig;
use crate::table_files::TableUpdate;
use crate::tls::{self, TlsSide};
use std::net::{Ipv4Addr, SocketAddrV4};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::Introduction;
use wheelspread_discovery::reader::Reader;
use wheelspread_discovery::{Ask, Kind};
use wheelspread_files::Held;
use wheelspread_grpc::{ClientConnection, ClientEvent};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::discovery;

pub struct Stream {
    who: Introduction,
    sides: Vec<SocketAddrV4>,
    source: Option<Ipv4Addr>,
    token: Token,
    redial: Span,
    conductor: Option<usize>,
    connection: Option<Box<ClientConnection>>,
    dial_at: Option<Moment>,
    reader: Reader,
    /// A dialled stream still has to be said who calls.
    silent: bool,
    tls: Option<TlsSide>,
}

impl Stream {
    pub fn new(plan: &ProxyConfig, token: Token) -> Stream {
        let operations = &plan.core.operations;
        let names = |make: &dyn Fn(&str) -> String| {
            operations.iter().map(|rules| make(&rules.name)).collect()
        };
        let reader = Reader::new(vec![
            (
                Kind::Endpoints,
                names(&|name| format!("{}{name}", discovery::LINES_APART)),
            ),
            (
                Kind::Lines,
                names(&|name| format!("{}{name}/*", discovery::LINE)),
            ),
            (Kind::Routes, vec![discovery::OPERATIONS.to_string()]),
        ]);
        Stream {
            who: plan.introduction(),
            sides: plan.sides(),
            source: plan.source,
            token,
            redial: plan.waits.redial,
            conductor: None,
            connection: None,
            dial_at: None,
            reader,
            silent: true,
            tls: plan.tls.clone(),
        }
    }

    /// The proxy is joined to this conductor from now on.
    pub fn follow(&mut self, now: Moment, conductor: usize) {
        if self.conductor != Some(conductor) || self.connection.is_none() {
            (self.conductor, self.connection, self.dial_at) = (Some(conductor), None, Some(now));
        }
    }

    /// TableSource, answers, dials; returns what came of it.
    pub fn turn(&mut self, poll: &Poll, now: Moment) -> Vec<TableUpdate> {
        let mut looked = Vec::new();
        if self.dial_at.is_some_and(|at| now >= at) {
            self.dial(poll, now);
        }
        let mut over = None;
        // What is said back goes out with a turn of its own, in which more may come.
        while let Some(connection) = self.connection.as_mut().filter(|_| over.is_none()) {
            let (events, ended) = connection.turn(now);
            over = ended;
            if events.is_empty() {
                break;
            }
            for event in events {
                match event {
                    ClientEvent::Opened => {
                        self.silent = true;
                        for ask in self.reader.hello() {
                            self.say(&ask);
                        }
                    }
                    ClientEvent::Message { bytes } => {
                        if let Err(reason) = self.told(&bytes, &mut looked) {
                            over = Some(reason);
                        }
                    }
                }
            }
        }
        if let Some(reason) = over {
            tracing::debug!(reason, "stream of tables over");
            self.connection = None;
            self.dial_at = Some(now + self.redial);
        }
        looked
    }

    fn say(&mut self, ask: &Ask) {
        let who = std::mem::take(&mut self.silent).then_some(&self.who);
        let message = discovery::ask(who, self.reader.version(), ask);
        if let Some(connection) = &mut self.connection {
            connection.send(&message);
        }
    }

    fn told(&mut self, bytes: &[u8], looked: &mut Vec<TableUpdate>) -> Result<(), String> {
        let told = discovery::read_told(bytes).map_err(|error| error.to_string())?;
        let mut made = None;
        let step = self.reader.told(
            told.kind,
            &told.nonce,
            told.version,
            &told.delta,
            |reader, version| {
                let values = |kind| reader.held(kind).map(|(_, bytes)| bytes);
                let assignments = values(Kind::Endpoints);
                let orders = discovery::orders(
                    version,
                    reader.held(Kind::Lines),
                    assignments,
                    values(Kind::Routes),
                );
                made = Some(orders.map_err(|error| error.to_string())?);
                Ok(())
            },
        );
        if let Some(reason) = step.reply.error.clone().filter(|_| step.restart.is_none()) {
            looked.push(TableUpdate::Rejected(reason));
        }
        if let (Some(orders), Some(_)) = (made, step.complete) {
            looked.push(TableUpdate::New(Box::new(Held {
                orders,
                hash: self.reader.name(),
            })));
        }
        self.say(&step.reply);
        step.restart.map_or(Ok(()), Err)
    }

    fn dial(&mut self, poll: &Poll, now: Moment) {
        let Some(side) = self
            .conductor
            .and_then(|conductor| self.sides.get(conductor))
        else {
            return;
        };
        let socket = reactor::connect_from(self.source, side.ip().octets(), side.port());
        let dialled = socket.and_then(|socket| {
            poll.add(&socket, self.token, Interest::Edges)?;
            tls::connect(now, socket, discovery::DELTA, self.tls.as_ref())
        });
        self.dial_at = None;
        match dialled {
            Ok(connection) => self.connection = Some(Box::new(connection)),
            Err(_) => self.dial_at = Some(now + self.redial),
        }
    }

    pub fn wake_at(&self, now: Moment) -> Moment {
        // Pings of an open stream are looked after as well.
        self.dial_at.unwrap_or(now + Span::from_seconds(0.5))
    }
}
