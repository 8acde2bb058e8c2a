//! The client side: one connection with one stream, on which both sides may send at any time.

mod keepalive;
mod stream;

use crate::error::ConnectionError;
use crate::frame::frame;
use crate::io::Socket;
use crate::send_queue::SendQueue;
use crate::{Limits, MAX_HEADER_LIST_BYTES, MAX_STEPS_PER_TURN, STREAM_WINDOW_BYTES};
use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use http::{Method, Request, Version};
use keepalive::KeepAliveState;
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use stream::Stream;
use wheelspread::time::Moment;

/// What happened on a client's connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// The stream is open; messages may be sent.
    Opened,
    /// The peer sent a message.
    Message {
        /// The message without its frame.
        bytes: Bytes,
    },
}

type HandshakeResult = Result<(SendRequest<Bytes>, Connection<Socket, Bytes>), h2::Error>;
type Handshake = Pin<Box<dyn Future<Output = HandshakeResult> + Send>>;

enum State {
    Handshaking(Handshake),
    Open(Box<Open>),
    Closed,
}

struct Open {
    connection: Connection<Socket, Bytes>,
    keepalive: KeepAliveState,
    /// Why the connection ended; what arrived before is still read.
    closed: Option<ConnectionError>,
    /// The connection stays open as long as this exists.
    _requests: SendRequest<Bytes>,
    stream: Stream,
}

/// A client's connection with its one stream.
pub struct ClientConnection {
    state: State,
    path: String,
    limits: Limits,
    started_at: Moment,
    queue: SendQueue,
    events: Vec<ClientEvent>,
    failure: Option<ConnectionError>,
}

impl ClientConnection {
    /// Takes a connecting or connected socket, and the path of the stream to open on it.
    pub fn new(now: Moment, socket: TcpStream, path: &str, limits: Limits) -> ClientConnection {
        ClientConnection::from_socket(now, Socket::plain(socket), path, limits)
    }

    /// As [`ClientConnection::new`] under TLS, with a peer that has a certificate for `name`.
    pub fn with_tls(
        now: Moment,
        socket: TcpStream,
        path: &str,
        limits: Limits,
        tls: Arc<rustls::ClientConfig>,
        name: rustls::pki_types::ServerName<'static>,
    ) -> Result<ClientConnection, rustls::Error> {
        let tls = rustls::ClientConnection::new(tls, name)?;
        Ok(ClientConnection::from_socket(
            now,
            Socket::tls(socket, tls),
            path,
            limits,
        ))
    }

    fn from_socket(now: Moment, socket: Socket, path: &str, limits: Limits) -> ClientConnection {
        let handshake = h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .enable_push(false)
            .handshake(socket);
        ClientConnection {
            state: State::Handshaking(Box::pin(handshake)),
            path: path.to_string(),
            limits,
            started_at: now,
            queue: SendQueue::default(),
            events: Vec::new(),
            failure: None,
        }
    }

    /// Reads and writes until the socket would block. Returns the events, and why the connection is over if
    /// it is.
    pub fn turn(&mut self, now: Moment) -> (Vec<ClientEvent>, Option<String>) {
        let close_reason = self.advance(now);
        (std::mem::take(&mut self.events), close_reason)
    }

    /// As [`ClientConnection::turn`], but the events stay for the next turn.
    pub fn advance(&mut self, now: Moment) -> Option<String> {
        let mut context = Context::from_waker(Waker::noop());
        for _ in 0..MAX_STEPS_PER_TURN {
            match self.step(now, &mut context) {
                Ok(true) => {}
                Ok(false) => break,
                Err(reason) => {
                    self.failure = Some(reason);
                    break;
                }
            }
        }
        let is_past_timeout = now - self.started_at > self.limits.progress_timeout;
        if is_past_timeout && matches!(self.state, State::Handshaking(_)) {
            self.failure
                .get_or_insert(ConnectionError::HandshakeTimeout);
        }
        if self.failure.is_some() {
            self.state = State::Closed;
        }
        self.failure.as_ref().map(ToString::to_string)
    }

    /// Whether anything moved.
    fn step(&mut self, now: Moment, context: &mut Context) -> Result<bool, ConnectionError> {
        match &mut self.state {
            State::Handshaking(handshake) => match handshake.as_mut().poll(context) {
                Poll::Ready(Ok((requests, connection))) => {
                    let open = Open::new(now, requests, connection, &self.path, self.limits)?;
                    self.state = State::Open(Box::new(open));
                    self.events.push(ClientEvent::Opened);
                    Ok(true)
                }
                Poll::Ready(Err(error)) => Err(ConnectionError::Handshake(error)),
                Poll::Pending => Ok(false),
            },
            State::Open(open) => {
                open.step(now, self.limits, &mut self.queue, &mut self.events, context)
            }
            State::Closed => Ok(false),
        }
    }

    /// Queues a message. `false`: the queue is full, because the peer reads too slowly.
    pub fn send(&mut self, message: &[u8]) -> bool {
        if self.queue.bytes() + message.len() > self.limits.max_queued_bytes {
            return false;
        }
        self.queue.push(frame(message));
        true
    }

    /// Queues bytes as they are, for tests of malformed frames.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.queue.push(Bytes::copy_from_slice(bytes));
    }
}

impl Open {
    /// Opens the stream.
    fn new(
        now: Moment,
        mut requests: SendRequest<Bytes>,
        mut connection: Connection<Socket, Bytes>,
        path: &str,
        limits: Limits,
    ) -> Result<Open, ConnectionError> {
        let request = Request::builder()
            .method(Method::POST)
            .version(Version::HTTP_2)
            .uri(format!("http://conductor{path}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(())?;
        let (response, send) = requests.send_request(request, false)?;
        let keepalive = KeepAliveState::new(now, connection.ping_pong());
        Ok(Open {
            connection,
            keepalive,
            closed: None,
            _requests: requests,
            stream: Stream::new(send, response, limits.max_message_bytes),
        })
    }

    /// Whether anything moved.
    fn step(
        &mut self,
        now: Moment,
        limits: Limits,
        queue: &mut SendQueue,
        events: &mut Vec<ClientEvent>,
        context: &mut Context,
    ) -> Result<bool, ConnectionError> {
        if self.closed.is_none() {
            if let Poll::Ready(result) = Pin::new(&mut self.connection).poll(context) {
                let reason = result.err().map(ConnectionError::Http2);
                self.closed = Some(reason.unwrap_or(ConnectionError::ClosedByPeer));
            }
        }
        // What arrived before the end still counts, above all the status that gives the reason.
        let has_read = self.stream.read(events, context)?;
        if self.closed.is_some() && has_read {
            return Ok(true);
        }
        if let Some(reason) = self.closed.take() {
            return Err(reason);
        }
        let has_written = self.stream.write(queue, context)?;
        let has_pinged = self.keepalive.step(now, limits.client_keepalive, context)?;
        Ok(has_read | has_written | has_pinged)
    }
}
