//! Streams of sums and of tables: connections, who is on them, and when they have been silent for too long.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::sync::Arc;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::Observation;
use wheelspread_discovery::Request;
use wheelspread_grpc::tls::speaks_for;
use wheelspread_grpc::{Limits, ServerConfig, ServerConnection, ServerEvent, Status, StreamKey};
use wheelspread_reactor::Token;
use wheelspread_xds::{discovery, loads};

/// Periods without a report after which a stream counts as dead; at least so many seconds.
const SILENT: (f64, f64) = (10.0, 10.0);

/// Between two looks at who is silent, in seconds: with thousands of streams it is no small matter.
const LOOK: f64 = 0.25;

struct Reporter {
    connection: Token,
    key: StreamKey,
    introduced: bool,
    heard: Moment,
}

/// Somebody who reads tables.
struct Reader {
    connection: Token,
    key: StreamKey,
    delta: bool,
    introduced: bool,
}

pub struct Streams {
    connections: BTreeMap<Token, ServerConnection>,
    reporters: BTreeMap<StreamId, Reporter>,
    readers: BTreeMap<StreamId, Reader>,
    /// Requests of readers, for the front.
    asks: Vec<(StreamId, Request)>,
    /// Readers to whom something may be sent now.
    open: BTreeSet<StreamId>,
    ids: BTreeMap<(Token, StreamKey), StreamId>,
    next_token: u64,
    next_stream: u64,
    limits: Limits,
    next_look: Moment,
    tls: Option<Arc<ServerConfig>>,
    /// Node ids have to be names of certificates.
    named: bool,
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
            readers: BTreeMap::new(),
            asks: Vec::new(),
            open: BTreeSet::new(),
            ids: BTreeMap::new(),
            next_token: first.0,
            next_stream: 0,
            limits: Limits::default(),
            next_look: Moment::default(),
            tls: None,
            named: false,
            silent: Span::from_seconds(silent),
            most,
            stirred: Vec::new(),
        }
    }

    /// Keys for connections from now on; those that are open keep theirs.
    pub fn secure(&mut self, tls: Arc<ServerConfig>, named: bool) {
        (self.tls, self.named) = (Some(tls), named);
    }

    /// Why a client may not call itself by this name.
    fn impostor(&self, token: Token, name: &str) -> Option<String> {
        let peer = self
            .connections
            .get(&token)
            .and_then(ServerConnection::peer);
        let wrong = self.named && !peer.is_some_and(|certificate| speaks_for(certificate, name));
        let shown: String = name.chars().take(100).collect();
        wrong.then(|| format!("its certificate is not one for `{shown}`"))
    }

    pub fn full(&self) -> bool {
        self.connections.len() >= self.most
    }

    pub fn next_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    pub fn add(&mut self, now: Moment, token: Token, socket: TcpStream) {
        let connection = match &self.tls {
            None => ServerConnection::new(now, socket, self.limits),
            Some(tls) => match ServerConnection::secured(now, socket, self.limits, tls.clone()) {
                Ok(connection) => connection,
                Err(error) => return tracing::warn!(%error, "connection turned away"),
            },
        };
        self.connections.insert(token, connection);
        self.stirred.push(token);
    }

    pub fn stir(&mut self, token: Token) {
        self.stirred.push(token);
    }

    /// Lets all that were stirred read and write, and those whose time is over.
    pub fn turn(&mut self, now: Moment, told: &mut Vec<Observation>) {
        if now >= self.next_look {
            self.next_look = now + Span::from_seconds(LOOK);
            let due = self
                .connections
                .iter()
                .filter(|(_, c)| c.wake_at().is_some_and(|at| at <= now));
            let due: Vec<Token> = due.map(|(token, _)| *token).collect();
            self.stirred.extend(due);
            self.silence(now);
        }
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
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
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
                    let Some(id) = self.ids.remove(&(token, stream)) else {
                        continue;
                    };
                    tracing::debug!(stream = id.0, reason, "stream closed");
                    if self
                        .reporters
                        .remove(&id)
                        .is_some_and(|reporter| reporter.introduced)
                    {
                        told.push(Observation::StreamClosed { stream: id });
                    }
                    self.open.remove(&id);
                    if self
                        .readers
                        .remove(&id)
                        .is_some_and(|reader| reader.introduced)
                    {
                        told.push(Observation::Unsubscribed { stream: id });
                    }
                }
            }
        }
        // What the socket took makes room for more.
        let of = self
            .ids
            .range((token, StreamKey(0))..=(token, StreamKey(u32::MAX)));
        self.open.extend(
            of.map(|(_, id)| *id)
                .filter(|id| self.readers.contains_key(id)),
        );
        if let Some(reason) = over {
            tracing::debug!(connection = token.0, reason, "connection over");
            self.connections.remove(&token);
        }
    }

    fn opened(&mut self, now: Moment, token: Token, key: StreamKey, path: &str) {
        let delta = path == discovery::DELTA_METHOD;
        if delta || path == discovery::STATE_OF_THE_WORLD_METHOD {
            self.next_stream += 1;
            let id = StreamId(self.next_stream);
            self.ids.insert((token, key), id);
            self.readers.insert(
                id,
                Reader {
                    connection: token,
                    key,
                    delta,
                    introduced: false,
                },
            );
            return;
        }
        if path != loads::METHOD {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.close(
                    key,
                    Status::Unimplemented,
                    "aggregated discovery and load reports are served here",
                );
                self.stirred.push(token);
            }
            return;
        }
        self.next_stream += 1;
        let id = StreamId(self.next_stream);
        self.ids.insert((token, key), id);
        self.reporters.insert(
            id,
            Reporter {
                connection: token,
                key,
                introduced: false,
                heard: now,
            },
        );
    }

    fn message(&mut self, now: Moment, id: StreamId, bytes: &[u8], told: &mut Vec<Observation>) {
        if self.readers.contains_key(&id) {
            return self.asked(id, bytes, told);
        }
        let Some(reporter) = self.reporters.get_mut(&id) else {
            return;
        };
        reporter.heard = now;
        let request = match loads::decode_request(bytes) {
            Ok(request) => request,
            Err(error) => return self.close(id, Status::InvalidArgument, &error.to_string()),
        };
        if !reporter.introduced {
            match loads::introduction(&request) {
                Some(who) => {
                    let token = reporter.connection;
                    if let Some(reason) = self.impostor(token, &who.name) {
                        return self.close(id, Status::PermissionDenied, &reason);
                    }
                    let Some(reporter) = self.reporters.get_mut(&id) else {
                        return;
                    };
                    reporter.introduced = true;
                    told.push(Observation::StreamOpened {
                        stream: id,
                        introduction: who,
                    });
                }
                None => {
                    return self.close(
                        id,
                        Status::InvalidArgument,
                        "the first report names no node",
                    )
                }
            }
        }
        if let Some(report) = loads::report(&request) {
            told.push(Observation::LoadReport { stream: id, report });
        }
    }

    fn asked(&mut self, id: StreamId, bytes: &[u8], told: &mut Vec<Observation>) {
        let Some(reader) = self.readers.get_mut(&id) else {
            return;
        };
        let request = if reader.delta {
            discovery::decode_delta_request(bytes)
        } else {
            discovery::decode_state_of_the_world_request(bytes)
        };
        let request = match request {
            Ok(request) => request,
            Err(error) => return self.close(id, Status::InvalidArgument, &error.to_string()),
        };
        if !reader.introduced {
            let Some(who) = request.introduction else {
                return self.close(
                    id,
                    Status::InvalidArgument,
                    "the first request names no node",
                );
            };
            let token = reader.connection;
            if let Some(reason) = self.impostor(token, &who.name) {
                return self.close(id, Status::PermissionDenied, &reason);
            }
            let Some(reader) = self.readers.get_mut(&id) else {
                return;
            };
            reader.introduced = true;
            told.push(Observation::Subscribed {
                stream: id,
                introduction: who,
                initial_version: request.held_version,
            });
        }
        self.asks.push((id, request.request));
    }

    /// What readers asked for since the last call.
    pub fn asks(&mut self) -> Vec<(StreamId, Request)> {
        std::mem::take(&mut self.asks)
    }

    /// Something new is there for a reader.
    pub fn offer(&mut self, id: StreamId) {
        self.open.insert(id);
    }

    /// Readers to look after; whoever still has something unsent is told of again once it is taken.
    pub fn open(&mut self) -> Vec<StreamId> {
        let waits = |id: &StreamId| {
            let reader = self.readers.get(id)?;
            Some(self.connections.get(&reader.connection)?.queued(reader.key))
        };
        let open = std::mem::take(&mut self.open);
        open.into_iter().filter(|id| waits(id) == Some(0)).collect()
    }

    fn place(&self, id: StreamId) -> Option<(Token, StreamKey)> {
        let reporter = self
            .reporters
            .get(&id)
            .map(|reporter| (reporter.connection, reporter.key));
        reporter.or_else(|| {
            self.readers
                .get(&id)
                .map(|reader| (reader.connection, reader.key))
        })
    }

    fn silence(&mut self, now: Moment) {
        let silent = self
            .reporters
            .iter()
            .filter(|(_, reporter)| now - reporter.heard > self.silent);
        for id in silent.map(|(id, _)| *id).collect::<Vec<_>>() {
            let reason = format!("nothing came for {} s", self.silent.seconds());
            self.close(id, Status::DeadlineExceeded, &reason);
        }
    }

    pub fn send(&mut self, id: StreamId, message: &[u8]) {
        let Some((token, key)) = self.place(id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            if !connection.send(key, message) {
                connection.close(key, Status::ResourceExhausted, "answers are not taken");
            }
            self.stirred.push(token);
        }
    }

    pub fn close(&mut self, id: StreamId, status: Status, reason: &str) {
        let Some((token, key)) = self.place(id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.close(key, status, reason);
            self.stirred.push(token);
        }
    }

    /// Tells all proxies that this conductor goes away.
    pub fn stop(&mut self, now: Moment) {
        for id in self.ids.values().copied().collect::<Vec<_>>() {
            self.close(id, Status::Unavailable, "the conductor stops");
        }
        self.connections
            .values_mut()
            .for_each(ServerConnection::stop);
        self.stirred.extend(self.connections.keys().copied());
        self.turn(now, &mut Vec::new());
    }

    pub fn wake_at(&self) -> Option<Moment> {
        (!self.connections.is_empty()).then_some(self.next_look)
    }

    pub fn stirred(&self) -> bool {
        !self.stirred.is_empty()
    }
}
