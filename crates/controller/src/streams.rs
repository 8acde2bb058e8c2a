//! gRPC streams of proxies, for load reports and discovery. This module owns the connections, knows whether the
//! proxy on each stream has identified itself, and closes load report streams that have been silent for too long;
//! `receive` handles messages that arrive on streams.

mod buffers;
mod receive;

use buffers::BufferAccount;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::ops::Bound;
use std::sync::Arc;
use tracing::{debug, warn};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::Observation;
use wheelspread_discovery::Request;
use wheelspread_grpc::tls::valid_for;
use wheelspread_grpc::{Limits, ServerConfig, ServerConnection, ServerEvent, Status, StreamKey};
use wheelspread_reactor::Token;

/// The time without a report after which a load report stream is closed.
struct SilenceLimit {
    /// In report periods.
    periods: f64,
    /// Lower bound of the time.
    minimum: Span,
}

const SILENCE_LIMIT: SilenceLimit = SilenceLimit {
    periods: 10.0,
    minimum: Span::from_seconds(10.0),
};

/// Time between two checks for silent streams and due connections. Each check visits every stream, which takes a
/// noticeable time with thousands of them.
const MAINTENANCE_INTERVAL: Span = Span::from_seconds(0.25);
/// Number of observations and requests after which no further connection is read before they are handled: hundreds of
/// connections may send thousands of small messages each.
const MAX_OBSERVATIONS: usize = 1024;
/// Longest part of a client's node id that an error shows, in characters.
const SHOWN_NAME_CHARS: usize = 100;

/// A stream on which a proxy sends load reports.
struct ReportStream {
    connection: Token,
    key: StreamKey,
    is_identified: bool,
    last_report_at: Moment,
}

/// A stream on which a proxy reads its tables.
struct DiscoveryStream {
    connection: Token,
    key: StreamKey,
    is_delta: bool,
    is_identified: bool,
}

/// TLS settings of the listener.
struct ListenerTls {
    tls: Arc<ServerConfig>,
    /// Whether a proxy's node id has to be a name in its certificate.
    checks_node_id: bool,
}

/// A client gave a node id that is not a name in its certificate.
#[derive(Debug, thiserror::Error)]
#[error("the client's certificate is not valid for node id `{shown_name}`")]
struct IdentityError {
    shown_name: String,
}

/// Connections of proxies and the streams on them.
pub struct Streams {
    connections: BTreeMap<Token, ServerConnection>,
    report_streams: BTreeMap<StreamId, ReportStream>,
    discovery_streams: BTreeMap<StreamId, DiscoveryStream>,
    ids: BTreeMap<(Token, StreamKey), StreamId>,
    /// Received requests that the discovery server has not taken yet.
    discovery_requests: Vec<(StreamId, Request)>,
    /// Discovery streams that may have room for a response and may have one due.
    writable: BTreeSet<StreamId>,
    /// Connections that are readable, were just accepted, or have something new to send.
    ready: Vec<Token>,
    /// Connections whose last turn ended at its limits. They continue after the event loop has polled again.
    deferred: BTreeSet<Token>,
    /// The deferred connection that had its turn last.
    last_backlog_turn: Token,
    buffers: BufferAccount,
    last_token: u64,
    last_stream: u64,
    limits: Limits,
    connection_limit: usize,
    silence_limit: Span,
    maintenance_at: Moment,
    tls: Option<ListenerTls>,
}

impl Streams {
    /// Connections get the tokens above `first`; `buffer_limit` is in bytes; load reports are due every
    /// `report_period`.
    pub fn new(
        first: Token,
        connection_limit: usize,
        buffer_limit: usize,
        report_period: Span,
    ) -> Streams {
        let silence_limit = report_period * SILENCE_LIMIT.periods;
        Streams {
            connections: BTreeMap::new(),
            report_streams: BTreeMap::new(),
            discovery_streams: BTreeMap::new(),
            ids: BTreeMap::new(),
            discovery_requests: Vec::new(),
            writable: BTreeSet::new(),
            ready: Vec::new(),
            deferred: BTreeSet::new(),
            last_backlog_turn: first,
            buffers: BufferAccount::new(buffer_limit),
            last_token: first.0,
            last_stream: 0,
            limits: Limits::default(),
            connection_limit,
            silence_limit: silence_limit.max(SILENCE_LIMIT.minimum),
            maintenance_at: Moment::default(),
            tls: None,
        }
    }

    /// Sets the keys for new connections; open connections keep theirs.
    pub fn set_tls(&mut self, tls: Arc<ServerConfig>, checks_node_id: bool) {
        self.tls = Some(ListenerTls {
            tls,
            checks_node_id,
        });
    }

    /// Checks that the client of a connection may use this node id, if the listener's settings ask for that.
    fn check_node_id(&self, token: Token, name: &str) -> Result<(), IdentityError> {
        if !self.tls.as_ref().is_some_and(|tls| tls.checks_node_id) {
            return Ok(());
        }
        let connection = self.connections.get(&token);
        let certificate = connection.and_then(ServerConnection::peer_certificate);
        if certificate.is_some_and(|certificate| valid_for(certificate, name)) {
            return Ok(());
        }
        Err(IdentityError {
            shown_name: name.chars().take(SHOWN_NAME_CHARS).collect(),
        })
    }

    /// Whether the limit of open connections is reached.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.connection_limit
    }

    /// Allocates a token for a new connection.
    pub fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    /// Adds an accepted connection.
    pub fn add(&mut self, now: Moment, token: Token, socket: TcpStream) {
        let connection = match &self.tls {
            None => ServerConnection::new(now, socket, self.limits),
            Some(listener) => {
                let tls = listener.tls.clone();
                match ServerConnection::with_tls(now, socket, self.limits, tls) {
                    Ok(connection) => connection,
                    Err(error) => return warn!(%error, "connection rejected"),
                }
            }
        };
        self.connections.insert(token, connection);
        self.ready.push(token);
    }

    /// Marks a connection to be read and written by the next [`Streams::process_ready`].
    pub fn mark_ready(&mut self, token: Token) {
        self.ready.push(token);
    }

    /// Whether a connection is waiting to be read or written, so that the loop must not sleep.
    pub fn has_ready_connections(&self) -> bool {
        !self.ready.is_empty() || !self.deferred.is_empty()
    }

    /// Reads and writes the connections that are ready or due, each up to the limits of one turn. Connections whose last
    /// turn ended at its limits come after the others, so that clients that send without pause delay no other.
    pub fn process_ready(&mut self, now: Moment, observations: &mut Vec<Observation>) {
        if now >= self.maintenance_at {
            self.maintenance_at = now + MAINTENANCE_INTERVAL;
            self.mark_due_connections(now);
            self.close_silent_streams(now);
        }
        let backlog = std::mem::take(&mut self.deferred);
        self.process_interactive(now, &backlog, observations);
        self.process_backlog(now, backlog, observations);
        // Sends what the first turns caused.
        self.process_interactive(now, &BTreeSet::new(), observations);
    }

    /// Processes the ready connections that are not in the backlog and whose turn has not ended at its limits.
    fn process_interactive(
        &mut self,
        now: Moment,
        backlog: &BTreeSet<Token>,
        observations: &mut Vec<Observation>,
    ) {
        let mut queue = self.take_ready().into_iter();
        while let Some(token) = queue.next() {
            if self.has_enough_to_handle(observations) {
                self.ready.push(token);
                self.ready.extend(queue);
                return;
            }
            if !backlog.contains(&token) && !self.deferred.contains(&token) {
                self.process_connection(now, token, observations);
            }
        }
    }

    /// Gives one connection of the backlog its turn, the next after the one that had it last. The others wait until the
    /// event loop has polled again: their turns take longer than all that other connections need.
    fn process_backlog(
        &mut self,
        now: Moment,
        mut backlog: BTreeSet<Token>,
        observations: &mut Vec<Observation>,
    ) {
        let after = (Bound::Excluded(self.last_backlog_turn), Bound::Unbounded);
        let next = backlog.range(after).next().or_else(|| backlog.first());
        if let Some(token) = next.copied() {
            backlog.remove(&token);
            self.last_backlog_turn = token;
            self.process_connection(now, token, observations);
        }
        self.deferred.extend(backlog);
    }

    fn has_enough_to_handle(&self, observations: &[Observation]) -> bool {
        observations.len() + self.discovery_requests.len() >= MAX_OBSERVATIONS
    }

    /// Takes the ready connections, each once and in the order in which they became ready.
    fn take_ready(&mut self) -> Vec<Token> {
        let mut seen = BTreeSet::new();
        let mut ready = std::mem::take(&mut self.ready);
        ready.retain(|token| seen.insert(*token));
        ready
    }

    fn mark_due_connections(&mut self, now: Moment) {
        let is_due =
            |connection: &ServerConnection| connection.wake_at().is_some_and(|at| at <= now);
        let due = self
            .connections
            .iter()
            .filter(|(_, connection)| is_due(connection));
        self.ready.extend(due.map(|(token, _)| *token));
    }

    fn process_connection(
        &mut self,
        now: Moment,
        token: Token,
        observations: &mut Vec<Observation>,
    ) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let (events, close_reason) = connection.turn(now);
        if connection.has_more() {
            self.deferred.insert(token);
        }
        for event in events {
            match event {
                ServerEvent::Opened { stream, path } => {
                    self.open_stream(now, token, stream, &path);
                }
                ServerEvent::Message { stream, bytes } => {
                    if let Some(id) = self.ids.get(&(token, stream)).copied() {
                        self.receive_message(now, id, &bytes, observations);
                    }
                }
                ServerEvent::Closed { stream, reason } => {
                    self.remove_stream((token, stream), &reason, observations);
                }
            }
        }
        self.mark_connection_writable(token);
        if let Some(reason) = close_reason {
            debug!(connection = token.0, reason, "connection closed");
            self.connections.remove(&token);
        }
        self.limit_buffers(token);
    }

    fn remove_stream(
        &mut self,
        key: (Token, StreamKey),
        reason: &str,
        observations: &mut Vec<Observation>,
    ) {
        let Some(id) = self.ids.remove(&key) else {
            return;
        };
        debug!(stream = id.0, reason, "stream closed");
        let report_stream = self.report_streams.remove(&id);
        if report_stream.is_some_and(|stream| stream.is_identified) {
            observations.push(Observation::StreamClosed { stream: id });
        }
        self.writable.remove(&id);
        let discovery_stream = self.discovery_streams.remove(&id);
        if discovery_stream.is_some_and(|stream| stream.is_identified) {
            observations.push(Observation::Unsubscribed { stream: id });
        }
    }

    /// Marks all discovery streams of a connection writable: the socket may have accepted bytes of any of them.
    fn mark_connection_writable(&mut self, token: Token) {
        let keys = (token, StreamKey(0))..=(token, StreamKey(u32::MAX));
        let streams = self.ids.range(keys).map(|(_, id)| *id);
        self.writable
            .extend(streams.filter(|id| self.discovery_streams.contains_key(id)));
    }

    /// Returns the discovery requests received since the last call.
    pub fn take_discovery_requests(&mut self) -> Vec<(StreamId, Request)> {
        std::mem::take(&mut self.discovery_requests)
    }

    /// Marks a discovery stream that may have a response due.
    pub fn mark_writable(&mut self, id: StreamId) {
        self.writable.insert(id);
    }

    /// Returns the marked discovery streams that have no unsent bytes. A stream that still has some is marked again
    /// once its connection is processed.
    pub fn take_writable(&mut self) -> Vec<StreamId> {
        let queued_bytes = |id: &StreamId| {
            let stream = self.discovery_streams.get(id)?;
            let connection = self.connections.get(&stream.connection)?;
            Some(connection.queued_bytes(stream.key))
        };
        let writable = std::mem::take(&mut self.writable);
        writable
            .into_iter()
            .filter(|id| queued_bytes(id) == Some(0))
            .collect()
    }

    fn connection_of(&self, id: StreamId) -> Option<(Token, StreamKey)> {
        if let Some(stream) = self.report_streams.get(&id) {
            return Some((stream.connection, stream.key));
        }
        let stream = self.discovery_streams.get(&id)?;
        Some((stream.connection, stream.key))
    }

    fn close_silent_streams(&mut self, now: Moment) {
        let silent: Vec<StreamId> = self
            .report_streams
            .iter()
            .filter(|(_, stream)| now - stream.last_report_at > self.silence_limit)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            let reason = format!(
                "no load report received for {} s",
                self.silence_limit.seconds()
            );
            self.close(id, Status::DeadlineExceeded, &reason);
        }
    }

    /// Queues a message. A stream whose send queue is full, because its client reads too slowly, is closed.
    pub fn send(&mut self, id: StreamId, message: &[u8]) {
        let Some((token, key)) = self.connection_of(id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            if !connection.send(key, message) {
                connection.close(
                    key,
                    Status::ResourceExhausted,
                    "send queue full: the client reads too slowly",
                );
            }
            self.ready.push(token);
        }
    }

    /// Closes a stream with a status and a reason, which are sent to its client.
    pub fn close(&mut self, id: StreamId, status: Status, reason: &str) {
        let Some((token, key)) = self.connection_of(id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.close(key, status, reason);
            self.ready.push(token);
        }
    }

    /// Closes all streams with `UNAVAILABLE` and stops accepting new ones, as the controller is shutting down.
    pub fn stop(&mut self, now: Moment) {
        for id in self.ids.values().copied().collect::<Vec<_>>() {
            self.close(id, Status::Unavailable, "the conductor stops");
        }
        for connection in self.connections.values_mut() {
            connection.stop();
        }
        self.ready.extend(self.connections.keys().copied());
        self.process_ready(now, &mut Vec::new());
    }

    /// When [`Streams::process_ready`] should be called even though no connection is ready.
    pub fn wake_at(&self) -> Option<Moment> {
        (!self.connections.is_empty()).then_some(self.maintenance_at)
    }
}
