//! Streams of sums: connections, who is on them, and when they have been silent for too long.

use std::collections::BTreeMap;
use std::net::TcpStream;
use wheelspread::time::{Moment, Span};
use wheelspread_grpc::{Limits, ServerConnection, ServerEvent, Status, StreamKey};
use wheelspread_reactor::Token;
use wheelspread_session::membership::StreamId;
use wheelspread_session::Observation;
use wheelspread_xds::loads;

/// Periods without a report after which a stream counts as dead; at least so many seconds.
const SILENT: (f64, f64) = (10.0, 10.0);

struct Reporter {
    connection: Token,
    key: StreamKey,
    introduced: bool,
    heard: Moment,
}

pub struct Streams {
    connections: BTreeMap<Token, ServerConnection>,
    reporters: BTreeMap<StreamId, Reporter>,
    ids: BTreeMap<(Token, StreamKey), StreamId>,
    next_token: u64,
    next_stream: u64,
    limits: Limits,
    silent: Span,
    most: usize,
    /// Connections that were given something to send, or opened, and not turned since.
    stirred: Vec<Token>,
}

impl Streams {
    /// Tokens from `first` on belong to connections.
    pub fn new(first: Token, most: usize, period: Span) -> Streams {
        let silent = (period * SILENT.0).seconds().max(SILENT.1);
        Streams {
            connections: BTreeMap::new(),
            reporters: BTreeMap::new(),
            ids: BTreeMap::new(),
            next_token: first.0,
            next_stream: 0,
            limits: Limits::default(),
            silent: Span::from_seconds(silent),
            most,
            stirred: Vec::new(),
        }
    }

    pub fn full(&self) -> bool {
        self.connections.len() >= self.most
    }

    pub fn next_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    pub fn add(&mut self, now: Moment, token: Token, socket: TcpStream) {
        self.connections.insert(token, ServerConnection::new(now, socket, self.limits));
        self.stirred.push(token);
    }

    pub fn stir(&mut self, token: Token) {
        self.stirred.push(token);
    }

    /// Lets all that were stirred read and write, and those whose time is over.
    pub fn turn(&mut self, now: Moment, told: &mut Vec<Observation>) {
        let due = self.connections.iter().filter(|(_, c)| c.wake_at().is_some_and(|at| at <= now));
        let due: Vec<Token> = due.map(|(token, _)| *token).collect();
        self.stirred.extend(due);
        self.silence(now);
        while !self.stirred.is_empty() {
            let mut stirred = std::mem::take(&mut self.stirred);
            stirred.sort();
            stirred.dedup();
            for token in stirred {
                self.turn_one(now, token, told);
            }
        }
    }

    fn turn_one(&mut self, now: Moment, token: Token, told: &mut Vec<Observation>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let (events, over) = connection.turn(now);
        for event in events {
            match event {
                ServerEvent::Opened { stream, path } => self.opened(now, token, stream, &path),
                ServerEvent::Message { stream, bytes } => {
                    if let Some(id) = self.ids.get(&(token, stream)).copied() {
                        self.message(now, id, &bytes, told);
                    }
                }
                ServerEvent::Closed { stream, reason } => {
                    let Some(id) = self.ids.remove(&(token, stream)) else { continue };
                    tracing::debug!(stream = id.0, reason, "stream closed");
                    if self.reporters.remove(&id).is_some_and(|reporter| reporter.introduced) {
                        told.push(Observation::StreamClosed { stream: id });
                    }
                }
            }
        }
        if let Some(reason) = over {
            tracing::debug!(connection = token.0, reason, "connection over");
            self.connections.remove(&token);
        }
    }

    fn opened(&mut self, now: Moment, token: Token, key: StreamKey, path: &str) {
        if path != loads::METHOD {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.close(key, Status::Unimplemented, "this conductor serves load reports only");
                self.stirred.push(token);
            }
            return;
        }
        self.next_stream += 1;
        let id = StreamId(self.next_stream);
        self.ids.insert((token, key), id);
        self.reporters.insert(id, Reporter { connection: token, key, introduced: false, heard: now });
    }

    fn message(&mut self, now: Moment, id: StreamId, bytes: &[u8], told: &mut Vec<Observation>) {
        let Some(reporter) = self.reporters.get_mut(&id) else { return };
        reporter.heard = now;
        let request = match loads::decode_request(bytes) {
            Ok(request) => request,
            Err(error) => return self.close(id, Status::InvalidArgument, &error.to_string()),
        };
        if !reporter.introduced {
            match loads::introduction(&request) {
                Some(who) => {
                    reporter.introduced = true;
                    told.push(Observation::StreamOpened { stream: id, who });
                }
                None => return self.close(id, Status::InvalidArgument, "the first report names no node"),
            }
        }
        if let Some(report) = loads::report(&request) {
            told.push(Observation::Report { stream: id, report });
        }
    }

    fn silence(&mut self, now: Moment) {
        let silent = self.reporters.iter().filter(|(_, reporter)| now - reporter.heard > self.silent);
        for id in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            let reason = format!("nothing came for {} s", self.silent.seconds());
            self.close(id, Status::DeadlineExceeded, &reason);
        }
    }

    pub fn send(&mut self, id: StreamId, message: &[u8]) {
        let Some(reporter) = self.reporters.get(&id) else { return };
        let (token, key) = (reporter.connection, reporter.key);
        if let Some(connection) = self.connections.get_mut(&token) {
            if !connection.send(key, message) {
                connection.close(key, Status::ResourceExhausted, "answers are not taken");
            }
            self.stirred.push(token);
        }
    }

    pub fn close(&mut self, id: StreamId, status: Status, reason: &str) {
        let Some(reporter) = self.reporters.get(&id) else { return };
        let (token, key) = (reporter.connection, reporter.key);
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.close(key, status, reason);
            self.stirred.push(token);
        }
    }

    /// Tells all proxies that this conductor goes away.
    pub fn stop(&mut self, now: Moment) {
        for id in self.reporters.keys().copied().collect::<Vec<_>>() {
            self.close(id, Status::Unavailable, "the conductor stops");
        }
        self.connections.values_mut().for_each(ServerConnection::stop);
        self.stirred.extend(self.connections.keys().copied());
        self.turn(now, &mut Vec::new());
    }

    pub fn wake_at(&self) -> Option<Moment> {
        let heard = self.reporters.values().map(|reporter| reporter.heard).min();
        let silent = heard.map(|heard| heard + self.silent + Span::from_seconds(0.001));
        self.connections.values().filter_map(ServerConnection::wake_at).chain(silent).min()
    }

    pub fn stirred(&self) -> bool {
        !self.stirred.is_empty()
    }
}
