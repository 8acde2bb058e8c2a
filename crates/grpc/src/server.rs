//! The side that is called. Each stream of a connection has a key; its messages come as events.

use crate::frame::{frame, Deframer};
use crate::io::{Peer, Socket};
use crate::{Limits, Status};
use bytes::Bytes;
use h2::server::{Connection, Handshake, SendResponse};
use h2::{Ping, PingPong, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use wheelspread::time::Moment;

/// A stream of one connection, never used again there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u32);

#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    Opened {
        stream: StreamKey,
        path: String,
    },
    Message {
        stream: StreamKey,
        bytes: Bytes,
    },
    /// The stream is over, by the peer's end, its reset, or what it did wrong.
    Closed {
        stream: StreamKey,
        reason: String,
    },
}

enum State {
    Shaking(Handshake<Socket, Bytes>),
    Open(Connection<Socket, Bytes>),
    Over,
}

struct Stream {
    receive: RecvStream,
    send: SendStream<Bytes>,
    deframer: Deframer,
    /// Since when a message is begun and not whole.
    partial_since: Option<Moment>,
    queue: std::collections::VecDeque<Bytes>,
    queued: usize,
    /// The peer has ended its side.
    ended: bool,
}

pub struct ServerConnection {
    state: State,
    limits: Limits,
    since: Moment,
    streams: BTreeMap<StreamKey, Stream>,
    next: u32,
    events: Vec<ServerEvent>,
    failed: Option<String>,
    stopping: bool,
    peer: Peer,
    pings: Option<PingPong>,
    pinged: Option<Moment>,
    heard: Moment,
}

impl ServerConnection {
    pub fn new(now: Moment, socket: TcpStream, limits: Limits) -> ServerConnection {
        ServerConnection::over(now, Socket::plain(socket), limits)
    }

    /// The same under TLS.
    pub fn secured(
        now: Moment,
        socket: TcpStream,
        limits: Limits,
        tls: Arc<rustls::ServerConfig>,
    ) -> Result<ServerConnection, rustls::Error> {
        let tls = rustls::ServerConnection::new(tls)?;
        Ok(ServerConnection::over(
            now,
            Socket::tls(socket, tls),
            limits,
        ))
    }

    /// The certificate by which the peer named itself.
    pub fn peer(&self) -> Option<&rustls::pki_types::CertificateDer<'static>> {
        self.peer.get()
    }

    fn over(now: Moment, socket: Socket, limits: Limits) -> ServerConnection {
        let peer = socket.peer();
        let handshake = h2::server::Builder::new()
            .max_concurrent_streams(limits.streams)
            .max_header_list_size(16 << 10)
            .initial_window_size(256 << 10)
            .initial_connection_window_size(1 << 20)
            .max_concurrent_reset_streams(20)
            .max_pending_accept_reset_streams(20)
            .max_send_buffer_size(limits.queued)
            .handshake(socket);
        ServerConnection {
            state: State::Shaking(handshake),
            limits,
            since: now,
            streams: BTreeMap::new(),
            next: 0,
            events: Vec::new(),
            failed: None,
            stopping: false,
            peer,
            pings: None,
            pinged: None,
            heard: now,
        }
    }

    /// Reads and writes what can be. Returns what happened, and why the connection is over if it is.
    pub fn turn(&mut self, now: Moment) -> (Vec<ServerEvent>, Option<String>) {
        let mut context = Context::from_waker(Waker::noop());
        // What one part does may let another go on, so it goes round until nothing moves.
        for _ in 0..1000 {
            let moved = self.connection(&mut context)
                | self.read(now, &mut context)
                | self.write(&mut context);
            if !moved || self.failed.is_some() {
                break;
            }
        }
        self.ping(now, &mut context);
        if matches!(self.state, State::Shaking(_)) && now - self.since > self.limits.patience {
            self.failed
                .get_or_insert("no handshake in time".to_string());
        }
        if let Some(reason) = &self.failed {
            self.state = State::Over;
            for stream in std::mem::take(&mut self.streams).into_keys() {
                self.events.push(ServerEvent::Closed {
                    stream,
                    reason: reason.clone(),
                });
            }
        }
        (std::mem::take(&mut self.events), self.failed.clone())
    }

    fn connection(&mut self, context: &mut Context) -> bool {
        match &mut self.state {
            State::Shaking(handshake) => match Pin::new(handshake).poll(context) {
                Poll::Ready(Ok(mut connection)) => {
                    self.pings = connection.ping_pong();
                    self.state = State::Open(connection);
                    true
                }
                Poll::Ready(Err(error)) => {
                    self.failed = Some(format!("handshake: {error}"));
                    true
                }
                Poll::Pending => false,
            },
            State::Open(connection) => match connection.poll_accept(context) {
                Poll::Ready(Some(Ok((request, respond)))) => {
                    self.accept(request, respond);
                    true
                }
                Poll::Ready(Some(Err(error))) => {
                    self.failed = Some(error.to_string());
                    true
                }
                Poll::Ready(None) => {
                    self.failed = Some("the peer closed the connection".to_string());
                    true
                }
                Poll::Pending => false,
            },
            State::Over => false,
        }
    }

    /// Streams of tables may be idle for hours; whether the peer is still there only an answer shows.
    fn ping(&mut self, now: Moment, context: &mut Context) {
        let Some(pings) = &mut self.pings else { return };
        let (every, patience) = self.limits.server_ping;
        match self.pinged {
            Some(since) => match pings.poll_pong(context) {
                Poll::Ready(Ok(_)) => (self.pinged, self.heard) = (None, now),
                Poll::Ready(Err(_)) => {}
                Poll::Pending if now - since >= patience => {
                    self.failed.get_or_insert("no answer to a ping".to_string());
                }
                Poll::Pending => {}
            },
            None if now - self.heard >= every && pings.send_ping(Ping::opaque()).is_ok() => {
                self.pinged = Some(now);
                // Sent with this turn, not the next.
                self.connection(context);
            }
            None => {}
        }
    }

    fn accept(&mut self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let grpc = |headers: &HeaderMap| {
            let kind = headers
                .get("content-type")
                .and_then(|kind| kind.to_str().ok());
            kind.is_some_and(|kind| {
                kind == "application/grpc" || kind.starts_with("application/grpc+")
            })
        };
        if request.method() != Method::POST || !grpc(request.headers()) {
            let response = Response::builder().status(415).body(()).unwrap_or_default();
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
        let stream = StreamKey(self.next);
        self.next += 1;
        self.streams.insert(
            stream,
            Stream {
                receive: request.into_body(),
                send,
                deframer: Deframer::new(self.limits.longest_message),
                partial_since: None,
                queue: Default::default(),
                queued: 0,
                ended: false,
            },
        );
        self.events.push(ServerEvent::Opened { stream, path });
    }

    fn read(&mut self, now: Moment, context: &mut Context) -> bool {
        let mut moved = false;
        let mut over = Vec::new();
        for (key, stream) in &mut self.streams {
            while !stream.ended {
                match stream.receive.poll_data(context) {
                    Poll::Ready(Some(Ok(piece))) => {
                        moved = true;
                        self.heard = now;
                        stream.deframer.push(&piece);
                        // The window opens by what was taken in, so no more than one message waits here.
                        let _ = stream.receive.flow_control().release_capacity(piece.len());
                        let result = loop {
                            match stream.deframer.take_message() {
                                Ok(Some(bytes)) => self.events.push(ServerEvent::Message {
                                    stream: *key,
                                    bytes,
                                }),
                                Ok(None) => break Ok(()),
                                Err(error) => break Err(error),
                            }
                        };
                        stream.partial_since = stream
                            .deframer
                            .partial()
                            .then(|| stream.partial_since.unwrap_or(now));
                        if let Err(error) = result {
                            over.push((*key, Status::ResourceExhausted, error.to_string()));
                            break;
                        }
                    }
                    Poll::Ready(Some(Err(error))) => {
                        over.push((*key, Status::Ok, error.to_string()));
                        break;
                    }
                    Poll::Ready(None) => {
                        stream.ended = true;
                        moved = true;
                        let reason = if stream.deframer.partial() {
                            "the peer ended it within a message"
                        } else {
                            "the peer ended it"
                        };
                        over.push((*key, Status::Ok, reason.to_string()));
                    }
                    Poll::Pending => break,
                }
            }
            if stream
                .partial_since
                .is_some_and(|since| now - since > self.limits.patience)
            {
                let reason = format!(
                    "the rest of a message did not come, {} bytes had",
                    stream.deframer.held()
                );
                over.push((*key, Status::DeadlineExceeded, reason));
            }
        }
        for (key, status, reason) in over {
            moved |= self.close(key, status, &reason);
        }
        moved
    }

    fn write(&mut self, context: &mut Context) -> bool {
        let mut moved = false;
        for stream in self.streams.values_mut() {
            while let Some(next) = stream.queue.front() {
                stream.send.reserve_capacity(next.len());
                let room = stream.send.capacity();
                if room == 0 {
                    // Asked so that more room is told of; what is there is sent with the next turn.
                    let _ = stream.send.poll_capacity(context);
                    if stream.send.capacity() == 0 {
                        break;
                    }
                    continue;
                }
                let Some(mut bytes) = stream.queue.pop_front() else {
                    break;
                };
                let piece = bytes.split_to(room.min(bytes.len()));
                stream.queued -= piece.len();
                if !bytes.is_empty() {
                    stream.queue.push_front(bytes);
                }
                moved = true;
                if stream.send.send_data(piece, false).is_err() {
                    stream.queue.clear();
                    stream.queued = 0;
                }
            }
        }
        moved
    }

    /// Queues a message. `false`: the peer takes too little, or the stream is gone.
    pub fn send(&mut self, stream: StreamKey, message: &[u8]) -> bool {
        let Some(stream) = self.streams.get_mut(&stream) else {
            return false;
        };
        if stream.queued + message.len() > self.limits.queued {
            return false;
        }
        let bytes = frame(message);
        stream.queued += bytes.len();
        stream.queue.push_back(bytes);
        true
    }

    /// Bytes that wait to be sent on a stream.
    pub fn queued(&self, stream: StreamKey) -> usize {
        self.streams.get(&stream).map_or(0, |stream| stream.queued)
    }

    /// Ends a stream with a status that the peer is told.
    pub fn close(&mut self, key: StreamKey, status: Status, reason: &str) -> bool {
        let Some(mut stream) = self.streams.remove(&key) else {
            return false;
        };
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(status.code()));
        let plain: String = reason
            .chars()
            .filter(|c| (' '..='~').contains(c) && *c != '%')
            .take(200)
            .collect();
        if let Ok(text) = HeaderValue::from_str(&plain) {
            trailers.insert("grpc-message", text);
        }
        // What is dropped afterwards resets what the peer still sends, once the trailers are out.
        let _ = stream.send.send_trailers(trailers);
        self.events.push(ServerEvent::Closed {
            stream: key,
            reason: reason.to_string(),
        });
        true
    }

    /// Takes no more streams; those that are open may end by themselves.
    pub fn stop(&mut self) {
        if let (State::Open(connection), false) = (&mut self.state, self.stopping) {
            connection.graceful_shutdown();
            self.stopping = true;
        }
    }

    /// When `turn` should be called though the socket is quiet.
    pub fn wake_at(&self) -> Option<Moment> {
        let shaking = matches!(self.state, State::Shaking(_)).then_some(self.since);
        let partial = self
            .streams
            .values()
            .filter_map(|stream| stream.partial_since)
            .min();
        let least = wheelspread::time::Span::from_seconds(0.001);
        let own = shaking
            .into_iter()
            .chain(partial)
            .min()
            .map(|since| since + self.limits.patience + least);
        let (every, patience) = self.limits.server_ping;
        let ping = self
            .pinged
            .map_or(self.heard + every, |since| since + patience);
        let ping = self.pings.is_some().then_some(ping + least);
        own.into_iter().chain(ping).min()
    }
}
