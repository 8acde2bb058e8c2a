//! Client and server connections over loopback sockets, and misbehaving peers, driven by one event loop.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use wheelspread::time::{Moment, Span};
use wheelspread_grpc::*;
use wheelspread_reactor::{accept, connect, listen, now, Interest, Poll, Token};

struct TestServer {
    poll: Poll,
    listener: TcpListener,
    server: Option<ServerConnection>,
    events: Vec<ServerEvent>,
    close_reason: Option<String>,
    limits: Limits,
}

impl TestServer {
    fn new(limits: Limits) -> TestServer {
        let poll = Poll::new().expect("epoll");
        let listener = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("listens");
        poll.add(&listener, Token(0), Interest::Readable)
            .expect("registers");
        TestServer {
            poll,
            listener,
            server: None,
            events: Vec::new(),
            close_reason: None,
            limits,
        }
    }

    fn port(&self) -> u16 {
        self.listener.local_addr().expect("bound").port()
    }

    fn turn(&mut self, at: Moment) {
        let mut ready = Vec::new();
        self.poll
            .wait(Span::from_seconds(0.005), &mut ready)
            .expect("waits");
        for socket in accept(&self.listener).0 {
            self.poll
                .add(&socket, Token(1), Interest::Edges)
                .expect("registers");
            self.server = Some(ServerConnection::new(at, socket, self.limits));
        }
        if let Some(server) = &mut self.server {
            let (events, close_reason) = server.turn(at);
            self.events.extend(events);
            self.close_reason = self.close_reason.take().or(close_reason);
        }
    }

    fn run_until(&mut self, what: &str, mut done: impl FnMut(&mut TestServer) -> bool) {
        let deadline = now() + Span::from_seconds(10.0);
        while !done(self) {
            assert!(
                now() < deadline,
                "timed out waiting for {what}: events {:?}, close reason {:?}",
                self.events,
                self.close_reason
            );
            self.turn(now());
        }
    }

    fn client(&mut self) -> ClientConnection {
        let socket = connect([127, 0, 0, 1], self.port()).expect("starts to connect");
        self.poll
            .add(&socket, Token(2), Interest::Edges)
            .expect("registers");
        ClientConnection::new(now(), socket, "/a.Service/Stream", Limits::default())
    }

    /// A client whose first message has reached the server.
    fn connected_client(&mut self) -> ClientConnection {
        let mut client = self.client();
        client.send(b"hello");
        self.run_until("the first message", |test| {
            client.turn(now());
            !message_lengths(&test.events).is_empty()
        });
        client
    }
}

fn message_lengths(events: &[ServerEvent]) -> Vec<usize> {
    let length = |event: &ServerEvent| match event {
        ServerEvent::Message { bytes, .. } => Some(bytes.len()),
        _ => None,
    };
    events.iter().filter_map(length).collect()
}

#[test]
fn messages_longer_than_the_flow_control_window_arrive_in_both_directions() {
    let mut test = TestServer::new(Limits {
        max_queued_bytes: 4 << 20,
        ..Limits::default()
    });
    let mut client = test.client();
    for length in [0, 1, 100_000, 900_000] {
        assert!(client.send(&vec![7; length]));
    }
    test.run_until("all messages", |test| {
        client.turn(now());
        message_lengths(&test.events) == [0, 1, 100_000, 900_000]
    });
    let ServerEvent::Opened { stream, path } = test.events[0].clone() else {
        panic!("{:?}", test.events)
    };
    assert_eq!(path, "/a.Service/Stream");
    let answer = vec![3; 2_000_000];
    assert!(test
        .server
        .as_mut()
        .is_some_and(|server| server.send(stream, &answer)));
    let mut received = Vec::new();
    test.run_until("the answer", |_| {
        received.extend(client.turn(now()).0);
        received
            .iter()
            .any(|event| matches!(event, ClientEvent::Message { bytes } if bytes == &answer[..]))
    });
    test.server
        .as_mut()
        .map(|server| server.close(stream, Status::Unavailable, "stopping"));
    let mut close_reason = None;
    test.run_until("the close reason", |_| {
        close_reason = close_reason.take().or(client.turn(now()).1);
        close_reason.is_some()
    });
    assert_eq!(
        close_reason.as_deref(),
        Some("ended with status 14: stopping")
    );
}

#[test]
fn the_send_queue_for_a_peer_that_does_not_read_is_bounded() {
    let mut test = TestServer::new(Limits {
        max_queued_bytes: 300_000,
        ..Limits::default()
    });
    let _client = test.connected_client();
    let ServerEvent::Opened { stream, .. } = test.events[0].clone() else {
        panic!("{:?}", test.events)
    };
    let mut rejected = 0;
    for _ in 0..200 {
        test.turn(now());
        let server = test.server.as_mut().expect("open");
        rejected += usize::from(!server.send(stream, &[1; 100_000]));
        assert!(server.queued_bytes(stream) <= 400_000);
    }
    assert!(
        rejected > 100,
        "the client reads nothing, but only {rejected} of 200 messages were rejected"
    );
}

fn connect_raw(test: &TestServer) -> TcpStream {
    TcpStream::connect((Ipv4Addr::LOCALHOST, test.port())).expect("connects")
}

#[test]
fn a_silent_peer_or_one_with_an_invalid_handshake_is_disconnected_with_a_reason() {
    let mut test = TestServer::new(Limits::default());
    let _silent = connect_raw(&test);
    test.run_until("the connection", |test| test.server.is_some());
    test.turn(now() + Span::from_seconds(11.0));
    assert_eq!(test.close_reason.as_deref(), Some("handshake timed out"));
    let mut test = TestServer::new(Limits::default());
    let mut invalid_peer = connect_raw(&test);
    invalid_peer
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\nfill fill fill")
        .expect("sent");
    test.run_until("the rejection", |test| test.close_reason.is_some());
    assert!(
        test.close_reason
            .as_ref()
            .is_some_and(|close_reason| close_reason.starts_with("handshake failed: ")),
        "{:?}",
        test.close_reason
    );
}

#[test]
fn a_stream_whose_message_stays_incomplete_is_closed_after_the_timeout() {
    let mut test = TestServer::new(Limits::default());
    let mut client = test.client();
    // The header declares nine bytes, and only three follow.
    client.send(b"whole");
    test.run_until("the first message", |test| {
        client.turn(now());
        !message_lengths(&test.events).is_empty()
    });
    client.send_raw(&[0, 0, 0, 0, 9, 1, 2, 3]);
    for _ in 0..20 {
        client.turn(now());
        test.turn(now());
    }
    let wake = test
        .server
        .as_ref()
        .and_then(ServerConnection::wake_at)
        .expect("a time-out for the incomplete message");
    test.turn(wake);
    let closed = |event: &ServerEvent| matches!(event, ServerEvent::Closed { reason, .. } if reason.contains("incomplete, 8 bytes"));
    assert!(test.events.iter().any(closed), "{:?}", test.events);
}

#[test]
fn a_message_of_100_mib_is_rejected_once_its_header_is_read() {
    let mut test = TestServer::new(Limits::default());
    let mut client = test.client();
    client.send_raw(&[0, 0x06, 0x40, 0, 0]);
    client.send_raw(&[0; 100_000]);
    test.run_until("the rejection", |test| {
        client.turn(now());
        test.events.iter().any(
            |event| matches!(event, ServerEvent::Closed { reason, .. } if reason.contains("104857600 bytes")),
        )
    });
}

#[test]
fn a_broken_connection_closes_its_streams() {
    let mut test = TestServer::new(Limits::default());
    let client = test.connected_client();
    drop(client);
    test.run_until("the close reason", |test| test.close_reason.is_some());
    assert!(test
        .events
        .iter()
        .any(|event| matches!(event, ServerEvent::Closed { .. })));
}

#[test]
fn a_client_detects_a_hung_server_by_an_unacknowledged_ping() {
    let mut test = TestServer::new(Limits::default());
    let mut client = test.connected_client();
    // The server acknowledges pings while its event loop runs.
    let start = now();
    assert_eq!(client.turn(start + Span::from_seconds(2.0)).1, None);
    for _ in 0..20 {
        test.turn(now());
        assert_eq!(client.turn(start + Span::from_seconds(2.5)).1, None);
    }
    // From here on the server's event loop no longer runs.
    assert_eq!(client.turn(start + Span::from_seconds(4.0)).1, None);
    let close_reason = client.turn(start + Span::from_seconds(7.5)).1;
    assert_eq!(
        close_reason.as_deref(),
        Some("server did not acknowledge a ping within 3 s")
    );
}

#[test]
fn an_idle_client_that_acknowledges_pings_stays_connected_and_a_hung_one_is_disconnected() {
    let mut test = TestServer::new(Limits::default());
    let mut client = test.connected_client();
    let (start, second) = (now(), Span::from_seconds(1.0));
    // The client sends no messages but acknowledges pings, while a simulated clock advances by one hour.
    for passed in 0..400 {
        let at = start + second * (9.0 * f64::from(passed));
        test.turn(at);
        for _ in 0..3 {
            client.turn(now());
            test.turn(at);
        }
        assert_eq!(test.close_reason, None, "after {passed} intervals of 9 s");
    }
    // From here on the client's event loop no longer runs, so pings are not acknowledged.
    let hung_at = start + second * 3600.0;
    for passed in 0..30 {
        test.turn(hung_at + second * f64::from(passed));
    }
    assert_eq!(
        test.close_reason.as_deref(),
        Some("client did not acknowledge a ping in time")
    );
}
