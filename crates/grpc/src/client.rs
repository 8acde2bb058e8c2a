//! The side that calls: one connection with one stream, which both sides may send on at any time.

use crate::frame::{frame, Deframer};
use crate::io::Socket;
use crate::Limits;
use bytes::Bytes;
use h2::client::{Connection, ResponseFuture, SendRequest};
use h2::{Ping, PingPong, RecvStream, SendStream};
use http::{Method, Request, Version};
use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use wheelspread::time::{Moment, Span};

#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// The stream stands; messages may be sent.
    Opened,
    Message {
        bytes: Bytes,
    },
}

type Shaking = Pin<
    Box<
        dyn Future<Output = Result<(SendRequest<Bytes>, Connection<Socket, Bytes>), h2::Error>>
            + Send,
    >,
>;

enum State {
    Shaking(Shaking),
    Open(Box<Open>),
    Over,
}

struct Open {
    connection: Connection<Socket, Bytes>,
    pings: Option<PingPong>,
    closed: Option<String>,
    pinged: Option<Moment>,
    quiet_since: Moment,
    /// Held so that the connection stays open.
    _requests: SendRequest<Bytes>,
    stream: Stream,
}

struct Stream {
    send: SendStream<Bytes>,
    response: Option<ResponseFuture>,
    receive: Option<RecvStream>,
    deframer: Deframer,
}

pub struct ClientConnection {
    state: State,
    path: String,
    limits: Limits,
    since: Moment,
    queue: std::collections::VecDeque<Bytes>,
    queued: usize,
    events: Vec<ClientEvent>,
    failed: Option<String>,
}

impl ClientConnection {
    /// A socket that is connecting or connected, and the path of the stream that will be opened on it.
    pub fn new(now: Moment, socket: TcpStream, path: &str, limits: Limits) -> ClientConnection {
        ClientConnection::over(now, Socket::plain(socket), path, limits)
    }

    /// The same under TLS, with a peer that has a certificate for `name`.
    pub fn secured(
        now: Moment,
        socket: TcpStream,
        path: &str,
        limits: Limits,
        tls: Arc<rustls::ClientConfig>,
        name: rustls::pki_types::ServerName<'static>,
    ) -> Result<ClientConnection, rustls::Error> {
        let tls = rustls::ClientConnection::new(tls, name)?;
        Ok(ClientConnection::over(
            now,
            Socket::tls(socket, tls),
            path,
            limits,
        ))
    }

    fn over(now: Moment, socket: Socket, path: &str, limits: Limits) -> ClientConnection {
        let handshake = h2::client::Builder::new()
            .initial_window_size(256 << 10)
            .max_header_list_size(16 << 10)
            .enable_push(false)
            .handshake(socket);
        ClientConnection {
            state: State::Shaking(Box::pin(handshake)),
            path: path.to_string(),
            limits,
            since: now,
            queue: Default::default(),
            queued: 0,
            events: Vec::new(),
            failed: None,
        }
    }

    /// Reads and writes what can be; returns what happened, and why the stream is over if it is.
    pub fn turn(&mut self, now: Moment) -> (Vec<ClientEvent>, Option<String>) {
        let over = self.push(now);
        (std::mem::take(&mut self.events), over)
    }

    /// The same, but what happened is kept for the next turn.
    pub fn push(&mut self, now: Moment) -> Option<String> {
        let mut context = Context::from_waker(Waker::noop());
        for _ in 0..1000 {
            match self.step(now, &mut context) {
                Ok(true) => {}
                Ok(false) => break,
                Err(reason) => {
                    self.failed = Some(reason);
                    break;
                }
            }
        }
        if matches!(self.state, State::Shaking(_)) && now - self.since > self.limits.patience {
            self.failed
                .get_or_insert("no handshake in time".to_string());
        }
        if self.failed.is_some() {
            self.state = State::Over;
        }
        self.failed.clone()
    }

    fn step(&mut self, now: Moment, context: &mut Context) -> Result<bool, String> {
        match &mut self.state {
            State::Shaking(handshake) => match handshake.as_mut().poll(context) {
                Poll::Ready(Ok((mut requests, mut connection))) => {
                    let request = Request::builder()
                        .method(Method::POST)
                        .version(Version::HTTP_2)
                        .uri(format!("http://conductor{}", self.path))
                        .header("content-type", "application/grpc")
                        .header("te", "trailers")
                        .body(())
                        .map_err(|error| error.to_string())?;
                    let sent = requests
                        .send_request(request, false)
                        .map_err(|error| error.to_string())?;
                    let (response, send) = sent;
                    let deframer = Deframer::new(self.limits.longest_message);
                    let stream = Stream {
                        send,
                        response: Some(response),
                        receive: None,
                        deframer,
                    };
                    let pings = connection.ping_pong();
                    let open = Open {
                        connection,
                        pings,
                        closed: None,
                        pinged: None,
                        quiet_since: now,
                        _requests: requests,
                        stream,
                    };
                    self.state = State::Open(Box::new(open));
                    self.events.push(ClientEvent::Opened);
                    Ok(true)
                }
                Poll::Ready(Err(error)) => Err(format!("handshake: {error}")),
                Poll::Pending => Ok(false),
            },
            State::Open(open) => {
                let Open {
                    connection,
                    stream,
                    closed,
                    ..
                } = open.as_mut();
                if closed.is_none() {
                    if let Poll::Ready(result) = Pin::new(connection).poll(context) {
                        let plain = "the peer closed the connection".to_string();
                        *closed = Some(result.err().map_or(plain, |error| error.to_string()));
                    }
                }
                // What came before the end still counts, the reason for it above all.
                let read = read(stream, &mut self.events, context)?;
                if let Some(reason) = closed.as_ref().filter(|_| !read) {
                    return Err(reason.clone());
                }
                if closed.is_some() {
                    return Ok(true);
                }
                let wrote = write(stream, &mut self.queue, &mut self.queued, context)?;
                let pinged = open.ping(now, self.limits.ping, context)?;
                Ok(read | wrote | pinged)
            }
            State::Over => Ok(false),
        }
    }

    /// Queues a message. `false`: the peer takes too little.
    pub fn send(&mut self, message: &[u8]) -> bool {
        if self.queued + message.len() > self.limits.queued {
            return false;
        }
        let bytes = frame(message);
        self.queued += bytes.len();
        self.queue.push_back(bytes);
        true
    }

    /// Queues bytes as they are, for peers that mean to misbehave.
    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.queued += bytes.len();
        self.queue.push_back(Bytes::copy_from_slice(bytes));
    }
}

impl Open {
    /// A peer that is hung keeps its connection; only an answer shows that it is there.
    fn ping(
        &mut self,
        now: Moment,
        (every, patience): (Span, Span),
        context: &mut Context,
    ) -> Result<bool, String> {
        let Some(pings) = &mut self.pings else {
            return Ok(false);
        };
        if let Some(since) = self.pinged {
            return match pings.poll_pong(context) {
                Poll::Ready(Ok(_)) => {
                    (self.pinged, self.quiet_since) = (None, now);
                    Ok(true)
                }
                Poll::Ready(Err(error)) => Err(error.to_string()),
                Poll::Pending if now - since > patience => {
                    Err(format!("no answer to a ping for {} s", patience.seconds()))
                }
                Poll::Pending => Ok(false),
            };
        }
        if now - self.quiet_since < every {
            return Ok(false);
        }
        pings
            .send_ping(Ping::opaque())
            .map_err(|error| error.to_string())?;
        self.pinged = Some(now);
        Ok(true)
    }
}

fn read(
    stream: &mut Stream,
    events: &mut Vec<ClientEvent>,
    context: &mut Context,
) -> Result<bool, String> {
    if let Some(response) = &mut stream.response {
        match Pin::new(response).poll(context) {
            Poll::Ready(Ok(response)) => {
                if response.status() != http::StatusCode::OK {
                    return Err(format!("answered with {}", response.status()));
                }
                stream.response = None;
                stream.receive = Some(response.into_body());
                return Ok(true);
            }
            Poll::Ready(Err(error)) => return Err(error.to_string()),
            Poll::Pending => return Ok(false),
        }
    }
    let Some(receive) = &mut stream.receive else {
        return Ok(false);
    };
    match receive.poll_data(context) {
        Poll::Ready(Some(Ok(piece))) => {
            stream.deframer.push(&piece);
            let _ = receive.flow_control().release_capacity(piece.len());
            while let Some(bytes) = stream
                .deframer
                .take_message()
                .map_err(|error| error.to_string())?
            {
                events.push(ClientEvent::Message { bytes });
            }
            Ok(true)
        }
        Poll::Ready(Some(Err(error))) => Err(error.to_string()),
        Poll::Ready(None) => {
            let text = match receive.poll_trailers(context) {
                Poll::Ready(Ok(Some(trailers))) => {
                    let part = |name: &str| {
                        trailers
                            .get(name)
                            .and_then(|value| value.to_str().ok())
                            .map(str::to_string)
                    };
                    let (status, message) = (part("grpc-status"), part("grpc-message"));
                    format!(
                        "ended with status {}: {}",
                        status.unwrap_or_default(),
                        message.unwrap_or_default()
                    )
                }
                _ => "ended".to_string(),
            };
            Err(text)
        }
        Poll::Pending => Ok(false),
    }
}

fn write(
    stream: &mut Stream,
    queue: &mut std::collections::VecDeque<Bytes>,
    queued: &mut usize,
    context: &mut Context,
) -> Result<bool, String> {
    let mut moved = false;
    while let Some(next) = queue.front() {
        stream.send.reserve_capacity(next.len());
        if stream.send.capacity() == 0 {
            match stream.send.poll_capacity(context) {
                Poll::Ready(Some(Err(error))) => return Err(error.to_string()),
                Poll::Ready(None) => return Err("the stream takes no more".to_string()),
                _ if stream.send.capacity() == 0 => break,
                _ => {}
            }
        }
        let room = stream.send.capacity();
        let Some(mut bytes) = queue.pop_front() else {
            break;
        };
        let piece = bytes.split_to(room.min(bytes.len()));
        *queued -= piece.len();
        if !bytes.is_empty() {
            queue.push_front(bytes);
        }
        stream
            .send
            .send_data(piece, false)
            .map_err(|error| error.to_string())?;
        moved = true;
    }
    Ok(moved)
}
