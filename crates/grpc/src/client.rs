//! The client side: a connection with one bidirectional stream.

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

/// An event on a client connection.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// The HTTP/2 handshake is complete and the request was sent.
    Opened,
    /// A message arrived from the peer.
    Message {
        /// The message without its frame header.
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
    /// Why the connection ended. Data that arrived before the end is still read.
    closed: Option<ConnectionError>,
    /// Kept because h2 closes the connection once the last handle is dropped.
    _requests: SendRequest<Bytes>,
    stream: Stream,
}

/// A client connection with its single stream.
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
    /// Creates a connection on a connecting or connected socket. `path` is the path of the stream to open.
    pub fn new(now: Moment, socket: TcpStream, path: &str, limits: Limits) -> ClientConnection {
        ClientConnection::from_socket(now, Socket::plain(socket), path, limits)
    }

    /// As [`ClientConnection::new`] with TLS; the peer must present a certificate for `name`.
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

    /// Reads and writes until the socket would block. Returns the events and, if the connection is closed, the
    /// reason.
    pub fn turn(&mut self, now: Moment) -> (Vec<ClientEvent>, Option<String>) {
        let close_reason = self.advance(now);
        (std::mem::take(&mut self.events), close_reason)
    }

    /// As [`ClientConnection::turn`], but keeps the events for the next turn.
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

    /// Polls the handshake or the open connection once. Returns whether there was progress.
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

    /// Queues a message. Returns `false` without queueing it if the message would exceed `max_queued_bytes`.
    pub fn send(&mut self, message: &[u8]) -> bool {
        if self.queue.bytes() + message.len() > self.limits.max_queued_bytes {
            return false;
        }
        self.queue.push(frame(message));
        true
    }

    /// Queues bytes without a frame header, for tests of malformed frames.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.queue.push(Bytes::copy_from_slice(bytes));
    }
}

impl Open {
    /// Sends the request that opens the stream.
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

    /// Polls the connection, its stream and the keep-alive once. Returns whether there was progress.
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
        // Data that arrived before the connection ended is still read, in particular the status, which has the reason.
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
