//! The server side. Each stream of a connection has a key, and its messages are returned as events.

mod stream;

use crate::error::ConnectionError;
use crate::io::{PeerCertificate, ReadBudget, Socket};
use crate::{Limits, Status, MAX_HEADER_LIST_BYTES, STREAM_WINDOW_BYTES};
use bytes::Bytes;
use h2::server::{Connection, Handshake, SendResponse};
use h2::{Ping, PingPong, RecvStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use stream::{Stream, StreamEnd};
use wheelspread::time::{Moment, Span};

/// Identifies a stream of a connection. Keys are not reused on their connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u32);

/// An event on a server connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The peer opened a stream.
    Opened {
        /// The new stream.
        stream: StreamKey,
        /// The request path, which names the called gRPC method.
        path: String,
    },
    /// A message arrived from the peer.
    Message {
        /// The stream on which the message arrived.
        stream: StreamKey,
        /// The message without its frame header.
        bytes: Bytes,
    },
    /// The stream was closed: by the peer, because of a violated limit, or by [`ServerConnection::close`].
    Closed {
        /// The closed stream.
        stream: StreamKey,
        /// Why the stream was closed.
        reason: String,
    },
}

enum State {
    Handshaking(Handshake<Socket, Bytes>),
    Open(Connection<Socket, Bytes>),
    Closed,
}

/// Flow-control window of a connection, shared by all its streams. It bounds the bytes received in one step.
const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES;

/// Maximum number of steps per turn. A step accepts one stream, and the heads of streams that are not accepted yet stay
/// in memory, so a turn accepts as many streams as a connection may have.
const MAX_STEPS_PER_TURN: usize = 128;

/// Number of bytes that are read from the socket in one turn. They may hold thousands of messages or header fields.
const MAX_BYTES_PER_TURN: usize = 16 << 10;

/// Maximum number of reset streams that are remembered, to ignore frames for them that are still in transit.
const MAX_RESET_STREAMS: usize = 20;

/// Time-outs are compared with `>`, so the event loop wakes this long after they expire.
const WAKE_MARGIN: Duration = Duration::from_millis(1);

/// A server connection with its streams.
pub struct ServerConnection {
    state: State,
    limits: Limits,
    started_at: Moment,
    streams: BTreeMap<StreamKey, Stream>,
    next_key: u32,
    events: Vec<ServerEvent>,
    failure: Option<ConnectionError>,
    is_stopping: bool,
    peer_certificate: PeerCertificate,
    pings: Option<PingPong>,
    ping_sent_at: Option<Moment>,
    last_received_at: Moment,
    /// Bounds what is read in a turn.
    read_budget: ReadBudget,
    /// Whether the last turn ended at its limits.
    has_more: bool,
}

impl ServerConnection {
    /// Creates a connection on an accepted socket.
    pub fn new(now: Moment, socket: TcpStream, limits: Limits) -> ServerConnection {
        ServerConnection::from_socket(now, Socket::plain(socket), limits)
    }

    /// As [`ServerConnection::new`] with TLS.
    pub fn with_tls(
        now: Moment,
        socket: TcpStream,
        limits: Limits,
        tls: Arc<rustls::ServerConfig>,
    ) -> Result<ServerConnection, rustls::Error> {
        let tls = rustls::ServerConnection::new(tls)?;
        Ok(ServerConnection::from_socket(
            now,
            Socket::tls(socket, tls),
            limits,
        ))
    }

    /// The peer's certificate; `None` before the TLS handshake is complete and without a client certificate.
    pub fn peer_certificate(&self) -> Option<&rustls::pki_types::CertificateDer<'static>> {
        self.peer_certificate.get()
    }

    fn from_socket(now: Moment, socket: Socket, limits: Limits) -> ServerConnection {
        let peer_certificate = socket.peer_certificate();
        let read_budget = ReadBudget::default();
        let socket = socket.with_read_budget(read_budget.clone());
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(limits.max_streams)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_reset_streams(MAX_RESET_STREAMS)
            .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
            .max_send_buffer_size(limits.max_queued_bytes)
            .handshake(socket);
        ServerConnection {
            state: State::Handshaking(handshake),
            limits,
            started_at: now,
            streams: BTreeMap::new(),
            next_key: 0,
            events: Vec::new(),
            failure: None,
            is_stopping: false,
            peer_certificate,
            pings: None,
            ping_sent_at: None,
            last_received_at: now,
            read_budget,
            has_more: false,
        }
    }

    /// Reads and writes until the socket would block or the limits of a turn are reached. Returns the events and, if the
    /// connection is closed, the reason.
    pub fn turn(&mut self, now: Moment) -> (Vec<ServerEvent>, Option<String>) {
        let mut context = Context::from_waker(Waker::noop());
        // Progress in one part may unblock another, so all are polled until none makes progress.
        self.read_budget.reset(MAX_BYTES_PER_TURN);
        self.has_more = true;
        for _ in 0..MAX_STEPS_PER_TURN {
            let has_progressed = self.poll_connection(&mut context)
                | self.read_streams(now, &mut context)
                | self.write_streams(&mut context);
            if !has_progressed || self.failure.is_some() {
                self.has_more = self.read_budget.is_exhausted() && self.failure.is_none();
                break;
            }
        }
        self.check_keepalive(now, &mut context);
        let is_past_timeout = now - self.started_at > self.limits.progress_timeout;
        if is_past_timeout && matches!(self.state, State::Handshaking(_)) {
            self.failure
                .get_or_insert(ConnectionError::HandshakeTimeout);
        }
        let failure = self.failure.as_ref().map(ToString::to_string);
        if let Some(reason) = &failure {
            self.state = State::Closed;
            for stream in std::mem::take(&mut self.streams).into_keys() {
                let reason = reason.clone();
                self.events.push(ServerEvent::Closed { stream, reason });
            }
        }
        (std::mem::take(&mut self.events), failure)
    }

    /// Polls the handshake, or accepts a stream. Returns whether there was progress.
    fn poll_connection(&mut self, context: &mut Context) -> bool {
        match &mut self.state {
            State::Handshaking(handshake) => match Pin::new(handshake).poll(context) {
                Poll::Ready(Ok(mut connection)) => {
                    self.pings = connection.ping_pong();
                    self.state = State::Open(connection);
                }
                Poll::Ready(Err(error)) => self.failure = Some(ConnectionError::Handshake(error)),
                Poll::Pending => return false,
            },
            State::Open(connection) => match connection.poll_accept(context) {
                Poll::Ready(Some(Ok((request, respond)))) => self.accept(request, respond),
                Poll::Ready(Some(Err(error))) => self.failure = Some(error.into()),
                Poll::Ready(None) => self.failure = Some(ConnectionError::ClosedByPeer),
                Poll::Pending => return false,
            },
            State::Closed => return false,
        }
        true
    }

    /// Closes the connection of a peer that does not acknowledge a ping. Table streams may be idle for hours, so only
    /// an acknowledged ping shows that the peer still responds.
    fn check_keepalive(&mut self, now: Moment, context: &mut Context) {
        let Some(pings) = &mut self.pings else { return };
        let limits = self.limits.server_keepalive;
        match self.ping_sent_at {
            Some(sent_at) => match pings.poll_pong(context) {
                Poll::Ready(Ok(_)) => {
                    self.ping_sent_at = None;
                    self.last_received_at = now;
                }
                Poll::Pending if now - sent_at >= limits.timeout => {
                    self.failure
                        .get_or_insert(ConnectionError::ClientPingTimeout);
                }
                Poll::Ready(Err(_)) | Poll::Pending => {}
            },
            None if now - self.last_received_at >= limits.interval
                && pings.send_ping(Ping::opaque()).is_ok() =>
            {
                self.ping_sent_at = Some(now);
                // Polled again so that the ping is sent in this turn and not in the next.
                self.poll_connection(context);
            }
            None => {}
        }
    }

    fn accept(&mut self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        if request.method() != Method::POST || !is_grpc(request.headers()) {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
            let _ = respond.send_response(response, true);
            return;
        }
        let path = request.uri().path().to_string();
        let mut response = Response::new(());
        response
            .headers_mut()
            .insert("content-type", HeaderValue::from_static("application/grpc"));
        let Ok(send) = respond.send_response(response, false) else {
            return;
        };
        let key = StreamKey(self.next_key);
        self.next_key += 1;
        let stream = Stream::new(request.into_body(), send, self.limits.max_message_bytes);
        self.streams.insert(key, stream);
        self.events.push(ServerEvent::Opened { stream: key, path });
    }

    /// Reads all streams and closes those that ended or stalled. Returns whether there was progress.
    fn read_streams(&mut self, now: Moment, context: &mut Context) -> bool {
        let mut has_progressed = false;
        let mut ends: Vec<(StreamKey, StreamEnd)> = Vec::new();
        for (key, stream) in &mut self.streams {
            let result = stream.read(now, context, |bytes| {
                let stream = *key;
                self.events.push(ServerEvent::Message { stream, bytes });
            });
            if result.has_received {
                self.last_received_at = now;
            }
            has_progressed |= result.has_progressed;
            ends.extend(result.end.map(|end| (*key, end)));
            let stalled = stream.end_if_stalled(now, self.limits.progress_timeout);
            ends.extend(stalled.map(|end| (*key, end)));
        }
        for (key, end) in ends {
            has_progressed |= self.close(key, end.status, &end.reason);
        }
        has_progressed
    }

    /// Sends queued frames of all streams. Returns whether there was progress.
    fn write_streams(&mut self, context: &mut Context) -> bool {
        let mut has_progressed = false;
        for stream in self.streams.values_mut() {
            has_progressed |= stream.write(context);
        }
        has_progressed
    }

    /// Queues a message. Returns `false` without queueing it if the message would exceed `max_queued_bytes` or the
    /// stream is closed.
    pub fn send(&mut self, stream: StreamKey, message: &[u8]) -> bool {
        let limit = self.limits.max_queued_bytes;
        self.streams
            .get_mut(&stream)
            .is_some_and(|stream| stream.send(message, limit))
    }

    /// Number of bytes queued for sending on a stream; 0 if the stream is closed.
    pub fn queued_bytes(&self, stream: StreamKey) -> usize {
        self.streams.get(&stream).map_or(0, Stream::queued_bytes)
    }

    /// Closes a stream with a status and a reason for the peer. Returns `false` if the stream was closed already.
    pub fn close(&mut self, key: StreamKey, status: Status, reason: &str) -> bool {
        let Some(stream) = self.streams.remove(&key) else {
            return false;
        };
        stream.finish(status, reason);
        self.events.push(ServerEvent::Closed {
            stream: key,
            reason: reason.to_string(),
        });
        true
    }

    /// Whether the last turn ended at its limits, so that another one is due though the socket does not become ready.
    pub fn has_more(&self) -> bool {
        self.has_more
    }

    /// Bytes of memory taken by unread data, incomplete messages and messages to send.
    pub fn buffer_bytes(&mut self) -> usize {
        self.streams.values_mut().map(Stream::buffer_bytes).sum()
    }

    /// Closes the stream with the largest buffers. Returns `false` if no stream has any.
    pub fn close_largest(&mut self, status: Status, reason: &str) -> bool {
        let sizes = self
            .streams
            .iter_mut()
            .map(|(key, stream)| (stream.buffer_bytes(), *key));
        let largest = sizes.max().filter(|(bytes, _)| *bytes > 0);
        largest.is_some_and(|(_, key)| self.close(key, status, reason))
    }

    /// Starts a graceful shutdown: new streams are not accepted, open streams stay open.
    pub fn stop(&mut self) {
        if let (State::Open(connection), false) = (&mut self.state, self.is_stopping) {
            connection.graceful_shutdown();
            self.is_stopping = true;
        }
    }

    /// When `turn` is to be called even if the socket is not ready: the next time-out or ping.
    pub fn wake_at(&self) -> Option<Moment> {
        let margin = Span::from_seconds(WAKE_MARGIN.as_secs_f64());
        let is_handshaking = matches!(self.state, State::Handshaking(_));
        let handshake = is_handshaking.then_some(self.started_at);
        let partial = self
            .streams
            .values()
            .filter_map(Stream::partial_since)
            .min();
        let progress = handshake
            .into_iter()
            .chain(partial)
            .min()
            .map(|since| since + self.limits.progress_timeout + margin);
        let keepalive = self.limits.server_keepalive;
        let ping = self
            .ping_sent_at
            .map_or(self.last_received_at + keepalive.interval, |sent_at| {
                sent_at + keepalive.timeout
            });
        let ping = self.pings.is_some().then_some(ping + margin);
        progress.into_iter().chain(ping).min()
    }
}

fn is_grpc(headers: &HeaderMap) -> bool {
    let content_type = headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    content_type
        .is_some_and(|kind| kind == "application/grpc" || kind.starts_with("application/grpc+"))
}
