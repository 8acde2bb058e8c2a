//! Clients of a controller's listeners, for proxies and for operators, that send only a part of what they begin, or without
//! pause: how much memory the controller takes, and when it serves others.

mod common;
#[path = "common/http2.rs"]
mod http2;

use common::memory::{peak_resident_kib, resident_kib};
use common::ControllerProcess;
use http2::RawConnection;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_xds::loads;

/// Bytes of a message that is never finished, without its last part.
const PARTIAL_MESSAGE_BYTES: usize = 2_500_000;
const MESSAGE_BYTES: u32 = 3_000_000;

/// The longest time that another proxy's stream may take to be accepted: `channel.delay_at_most` of the deployment.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(300);

/// How long it takes until another proxy's load report stream is accepted.
fn time_to_join(controller: &ControllerProcess) -> Duration {
    let begin = Instant::now();
    let mut stream = controller.open_report_stream("p1", "north");
    while !stream.accepted && begin.elapsed() < Duration::from_secs(10) {
        stream.poll();
        std::thread::sleep(Duration::from_millis(1));
    }
    begin.elapsed()
}

/// The first part of a gRPC message.
fn partial_message() -> Vec<u8> {
    let mut bytes = vec![0];
    bytes.extend(MESSAGE_BYTES.to_be_bytes());
    bytes.resize(PARTIAL_MESSAGE_BYTES, b'x');
    bytes
}

/// Limit of the controller for the buffers of all connections.
const BUFFERS_KIB: u64 = 16 << 10;
/// Memory of the process beside the buffers: connections, streams, and what the allocator keeps.
const OTHER_KIB: u64 = 24 << 10;

/// Starts a controller and waits for its first join: after its start it decodes the descriptors of all messages once,
/// which takes long in a debug build and does not belong to the answer times that the tests check.
fn start_with_buffers() -> ControllerProcess {
    let mut controller = ControllerProcess::new();
    let limit = format!("list: nodes.json, buffers_at_most: {}", BUFFERS_KIB << 10);
    controller.write_config(&limit);
    controller.publish_endpoint_list(&[9001], &[]);
    controller.start();
    time_to_join(&controller);
    controller
}

/// Checks that the controller stayed within its limit for buffers, and serves others.
fn check_growth(controller: &mut ControllerProcess, before: u64) {
    let growth = peak_resident_kib(controller.pid()).saturating_sub(before);
    assert!(growth < BUFFERS_KIB + OTHER_KIB, "grown by {growth} KiB");
    let joined_in = time_to_join(controller);
    assert!(joined_in < ANSWER_TIME_MAX, "{joined_in:?}");
}

/// The first message of a load report stream, with its frame.
fn identity_message(name: &str) -> Vec<u8> {
    let identity = ProxyIdentity {
        name: name.to_string(),
        zone: "north".to_string(),
        usual_rate: None,
    };
    let message = common::encode(&loads::identity_request(&identity));
    let mut bytes = vec![0];
    bytes.extend((message.len() as u32).to_be_bytes());
    bytes.extend(message);
    bytes
}

/// Opens streams with these additional header fields, and sends as much of an unfinished message on each as the
/// controller takes within 4 s.
fn hold_incomplete_messages(connections: usize, streams: usize, fields: usize, message: &[u8]) {
    let mut controller = start_with_buffers();
    let before = resident_kib(controller.pid());
    let fields = vec![("a", "b"); fields];
    let mut clients: Vec<(RawConnection, Vec<(u32, usize)>)> = (0..connections)
        .map(|_| {
            let mut connection = RawConnection::dial(controller.listen);
            let streams = (0..streams)
                .map(|_| (connection.open(loads::METHOD, &fields), 0))
                .collect();
            (connection, streams)
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        for (connection, streams) in &mut clients {
            connection.receive();
            for (stream, sent) in streams {
                if !connection.is_closed {
                    *sent += connection.send_data(*stream, &message[*sent..]);
                }
            }
        }
    }
    check_growth(&mut controller, before);
}

// Only each stream had a limit: 30 connections with 20 streams took 1.6 GB.
#[test]
fn incomplete_messages_of_all_streams_take_no_more_memory_than_the_limit() {
    hold_incomplete_messages(6, 10, 0, &partial_message());
}

// A connection could have 100 streams with heads of 480 fields: 300 connections with 90 streams took 0.7 GB.
#[test]
fn heads_of_many_short_fields_take_no_more_memory_than_the_limit() {
    hold_incomplete_messages(60, 90, 400, &partial_message()[..500]);
}

// Messages that the transport had received, and what all connections had reported, were not counted.
#[test]
fn small_messages_of_many_connections_take_no_more_memory_than_the_limit() {
    let mut controller = start_with_buffers();
    let before = resident_kib(controller.pid());
    let messages = vec![0; 16 << 10];
    let mut clients: Vec<(RawConnection, u32)> = (0..250)
        .map(|number| {
            let mut connection = RawConnection::dial(controller.listen);
            let stream = connection.open(loads::METHOD, &[]);
            let identity = identity_message(&format!("f{number}"));
            connection.send_data(stream, &identity);
            (connection, stream)
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        for (connection, stream) in &mut clients {
            connection.receive();
            while !connection.is_closed && connection.send_data(*stream, &messages) > 0 {}
        }
    }
    check_growth(&mut controller, before);
}

// Guards the limit of a turn: a turn went on for as long as a sender was fast enough.
#[test]
fn a_client_that_sends_empty_messages_without_pause_delays_no_other() {
    let controller = start_with_buffers();
    let begin = Instant::now();
    let end = begin + Duration::from_secs(4);
    let mut sender = RawConnection::dial(controller.listen);
    let sending = std::thread::spawn(move || {
        let stream = sender.open(loads::METHOD, &[]);
        let messages = vec![0; 16 << 10];
        while Instant::now() < end && !sender.is_closed {
            if sender.send_data(stream, &messages) == 0 {
                sender.receive();
            }
        }
    });
    let slowest_until = |until: Instant| {
        let mut slowest = Duration::ZERO;
        while Instant::now() < until {
            slowest = slowest.max(time_to_join(&controller));
        }
        slowest
    };
    let slowest_before_half = slowest_until(begin + Duration::from_secs(2));
    let half_time_kib = peak_resident_kib(controller.pid());
    let slowest = slowest_before_half.max(slowest_until(end));
    sending.join().expect("the thread finishes");
    assert!(slowest < ANSWER_TIME_MAX, "{slowest:?}");
    let growth = peak_resident_kib(controller.pid()).saturating_sub(half_time_kib);
    assert!(growth < 2 << 10, "grown by {growth} KiB in the second half");
}

/// Sends a query to the operators' API; returns the response's first line.
fn query(controller: &ControllerProcess) -> String {
    let mut socket =
        UnixStream::connect(controller.path("tables/admin.sock")).expect("the process listens");
    socket
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("set");
    let _ = socket.write_all(b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut text = String::new();
    let _ = socket.read_to_string(&mut text);
    text.lines().next().unwrap_or_default().to_string()
}

// 64 connections without a complete request kept all operators out for 10 s.
#[test]
fn operators_are_served_beside_hundreds_of_half_requests() {
    let controller = start_with_buffers();
    let half_request = |_| {
        let mut socket =
            UnixStream::connect(controller.path("tables/read.sock")).expect("the process listens");
        let _ = socket.write_all(b"GET /v1/status HTTP/1.1\r\n");
        socket
    };
    let mut half_requests: Vec<UnixStream> = (0..300).map(half_request).collect();
    std::thread::sleep(Duration::from_millis(300));
    // Connections that were just ending when the first ones came have left room for some more.
    half_requests.extend((0..10).map(half_request));
    for _ in 0..5 {
        let begin = Instant::now();
        assert_eq!(query(&controller), "HTTP/1.1 200 OK");
        assert!(begin.elapsed() < ANSWER_TIME_MAX, "{:?}", begin.elapsed());
    }
    drop(half_requests);
}
