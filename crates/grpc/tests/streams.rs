//! Both sides over loopback sockets, and peers that misbehave, driven by one loop.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use wheelspread::time::{Moment, Span};
use wheelspread_grpc::*;
use wheelspread_reactor::{accept, connect, listen, now, Interest, Poll, Token};

struct Stage {
    poll: Poll,
    listener: TcpListener,
    server: Option<ServerConnection>,
    events: Vec<ServerEvent>,
    over: Option<String>,
    limits: Limits,
}

impl Stage {
    fn new(limits: Limits) -> Stage {
        let poll = Poll::new().expect("epoll");
        let listener = listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("listens");
        poll.add(&listener, Token(0), Interest::Readable)
            .expect("registers");
        Stage {
            poll,
            listener,
            server: None,
            events: Vec::new(),
            over: None,
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
            let (events, over) = server.turn(at);
            self.events.extend(events);
            self.over = self.over.take().or(over);
        }
    }

    fn until(&mut self, what: &str, mut done: impl FnMut(&mut Stage) -> bool) {
        let deadline = now() + Span::from_seconds(10.0);
        while !done(self) {
            assert!(
                now() < deadline,
                "{what} did not come: {:?} {:?}",
                self.events,
                self.over
            );
            self.turn(now());
        }
    }

    fn client(&mut self) -> ClientConnection {
        let socket = connect([127, 0, 0, 1], self.port()).expect("begins");
        self.poll
            .add(&socket, Token(2), Interest::Edges)
            .expect("registers");
        ClientConnection::new(now(), socket, "/a.Service/Stream", Limits::default())
    }

    /// A client whose first message has come.
    fn opened(&mut self) -> ClientConnection {
        let mut client = self.client();
        client.send(b"hello");
        self.until("the stream", |stage| {
            client.turn(now());
            !messages(&stage.events).is_empty()
        });
        client
    }
}

fn messages(events: &[ServerEvent]) -> Vec<usize> {
    let length = |event: &ServerEvent| match event {
        ServerEvent::Message { bytes, .. } => Some(bytes.len()),
        _ => None,
    };
    events.iter().filter_map(length).collect()
}

#[test]
fn messages_go_both_ways_also_when_they_are_longer_than_the_window() {
    let mut stage = Stage::new(Limits {
        max_queued_bytes: 4 << 20,
        ..Limits::default()
    });
    let mut client = stage.client();
    for length in [0, 1, 100_000, 900_000] {
        assert!(client.send(&vec![7; length]));
    }
    stage.until("all messages", |stage| {
        client.turn(now());
        messages(&stage.events) == [0, 1, 100_000, 900_000]
    });
    let ServerEvent::Opened { stream, path } = stage.events[0].clone() else {
        panic!("{:?}", stage.events)
    };
    assert_eq!(path, "/a.Service/Stream");
    let answer = vec![3; 2_000_000];
    assert!(stage
        .server
        .as_mut()
        .is_some_and(|server| server.send(stream, &answer)));
    let mut got = Vec::new();
    stage.until("the answer", |_| {
        got.extend(client.turn(now()).0);
        got.iter()
            .any(|event| matches!(event, ClientEvent::Message { bytes } if bytes == &answer[..]))
    });
    stage
        .server
        .as_mut()
        .map(|server| server.close(stream, Status::Unavailable, "stopping"));
    let mut over = None;
    stage.until("the end", |_| {
        over = over.take().or(client.turn(now()).1);
        over.is_some()
    });
    assert_eq!(over.as_deref(), Some("ended with status 14: stopping"));
}

#[test]
fn a_peer_that_takes_nothing_costs_no_more_than_was_allowed() {
    let mut stage = Stage::new(Limits {
        max_queued_bytes: 300_000,
        ..Limits::default()
    });
    let _client = stage.opened();
    let ServerEvent::Opened { stream, .. } = stage.events[0].clone() else {
        panic!("{:?}", stage.events)
    };
    let mut refused = 0;
    for _ in 0..200 {
        stage.turn(now());
        let server = stage.server.as_mut().expect("open");
        refused += usize::from(!server.send(stream, &[1; 100_000]));
        assert!(server.queued_bytes(stream) <= 400_000);
    }
    assert!(
        refused > 100,
        "the client reads nothing: {refused} were refused"
    );
}

fn raw(stage: &Stage) -> TcpStream {
    TcpStream::connect((Ipv4Addr::LOCALHOST, stage.port())).expect("connects")
}

#[test]
fn who_says_nothing_or_nonsense_is_let_go_with_a_reason() {
    let mut stage = Stage::new(Limits::default());
    let _silent = raw(&stage);
    stage.until("the connection", |stage| stage.server.is_some());
    stage.turn(now() + Span::from_seconds(11.0));
    assert_eq!(stage.over.as_deref(), Some("no handshake in time"));
    let mut stage = Stage::new(Limits::default());
    let mut nonsense = raw(&stage);
    nonsense
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\nfill fill fill")
        .expect("sent");
    stage.until("the refusal", |stage| stage.over.is_some());
    assert!(
        stage
            .over
            .as_ref()
            .is_some_and(|over| over.starts_with("handshake")),
        "{:?}",
        stage.over
    );
}

#[test]
fn half_a_message_and_then_nothing_is_closed_after_a_while() {
    let mut stage = Stage::new(Limits::default());
    let mut client = stage.client();
    // The frame says nine bytes and three come: a whole message whose content is half a frame.
    client.send(b"whole");
    stage.until("the stream", |stage| {
        client.turn(now());
        !messages(&stage.events).is_empty()
    });
    client.send_raw(&[0, 0, 0, 0, 9, 1, 2, 3]);
    for _ in 0..20 {
        client.turn(now());
        stage.turn(now());
    }
    let wake = stage
        .server
        .as_ref()
        .and_then(ServerConnection::wake_at)
        .expect("it waits for the rest");
    stage.turn(wake);
    let closed = |event: &ServerEvent| matches!(event, ServerEvent::Closed { reason, .. } if reason.contains("did not come, 8 bytes"));
    assert!(stage.events.iter().any(closed), "{:?}", stage.events);
}

#[test]
fn a_message_of_a_hundred_megabytes_is_refused_at_its_head() {
    let mut stage = Stage::new(Limits::default());
    let mut client = stage.client();
    client.send_raw(&[0, 0x06, 0x40, 0, 0]);
    client.send_raw(&[0; 100_000]);
    stage.until("the refusal", |stage| {
        client.turn(now());
        stage.events.iter().any(
            |event| matches!(event, ServerEvent::Closed { reason, .. } if reason.contains("104857600 bytes")),
        )
    });
}

#[test]
fn a_connection_that_breaks_ends_its_streams() {
    let mut stage = Stage::new(Limits::default());
    let client = stage.opened();
    drop(client);
    stage.until("the end", |stage| stage.over.is_some());
    assert!(stage
        .events
        .iter()
        .any(|event| matches!(event, ServerEvent::Closed { .. })));
}

#[test]
fn a_peer_that_is_hung_is_noticed_by_its_silence() {
    let mut stage = Stage::new(Limits::default());
    let mut client = stage.opened();
    // Pings are answered while the peer's loop goes round.
    let start = now();
    assert_eq!(client.turn(start + Span::from_seconds(2.0)).1, None);
    for _ in 0..20 {
        stage.turn(now());
        assert_eq!(client.turn(start + Span::from_seconds(2.5)).1, None);
    }
    // From here on it stands still.
    assert_eq!(client.turn(start + Span::from_seconds(4.0)).1, None);
    let over = client.turn(start + Span::from_seconds(7.5)).1;
    assert_eq!(over.as_deref(), Some("no answer to a ping for 3 s"));
}

#[test]
fn a_peer_that_is_there_may_be_idle_for_hours_and_one_that_is_not_is_found() {
    let mut stage = Stage::new(Limits::default());
    let mut client = stage.opened();
    let (start, second) = (now(), Span::from_seconds(1.0));
    // It says nothing but answers pings; a scripted clock runs through an hour.
    for passed in 0..400 {
        let at = start + second * (9.0 * f64::from(passed));
        stage.turn(at);
        for _ in 0..3 {
            client.turn(now());
            stage.turn(at);
        }
        assert_eq!(stage.over, None, "after {passed} times 9 s");
    }
    // From here on it is hung: nothing answers for it.
    let silent = start + second * 3600.0;
    for passed in 0..30 {
        stage.turn(silent + second * f64::from(passed));
    }
    assert_eq!(stage.over.as_deref(), Some("no answer to a ping"));
}
