//! Peers of a controller on a platform that send without pause or send only a part of a message: when other peers get
//! their answers, and how much memory the controller takes.

#[path = "common/platform.rs"]
mod common;
#[path = "common/memory.rs"]
mod memory;
#[path = "common/senders.rs"]
mod senders;

use common::{ready_nodes, ControllerProcess, DiscoveryAgent, Peer};
use memory::{peak_resident_kib, resident_kib};
use senders::Senders;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The time by which the platform extends the time limits of its rules.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(300);
/// Descriptors that the configuration allows the controller.
const SOCKETS: usize = 256;

fn encode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    wheelspread_resp::encode(&text.split(' ').collect::<Vec<_>>(), &mut bytes);
    bytes
}

/// The longest time that a ping on a new connection takes until `end`.
fn slowest_ping(controller: &ControllerProcess, end: Instant) -> Duration {
    let mut slowest = Duration::ZERO;
    while Instant::now() < end {
        let begin = Instant::now();
        let mut peer = Peer::dial(controller.listen);
        peer.send("ping");
        peer.receive_until("pong");
        slowest = slowest.max(begin.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    slowest
}

/// Sends `messages` over and over on one connection that also reads, until `end`.
fn flood(controller: &ControllerProcess, messages: Vec<u8>, end: Instant) {
    let mut sender = TcpStream::connect(controller.listen).expect("the process listens");
    sender.write_all(&encode("collector az a")).expect("sent");
    let mut receiver = sender.try_clone().expect("cloned");
    std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while receiver.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    std::thread::spawn(
        move || while Instant::now() < end && sender.write_all(&messages).is_ok() {},
    );
}

// Each ping was answered by a write of its own, for 256 KiB of pings in one turn.
#[test]
fn a_peer_that_sends_pings_without_pause_delays_no_other() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, SOCKETS);
    let end = Instant::now() + Duration::from_secs(3);
    flood(&controller, encode("ping").repeat(4096), end);
    let slowest = slowest_ping(&controller, end);
    assert!(slowest < ANSWER_TIME_MAX, "{slowest:?}");
}

// Guards the limit of a turn: reports that name ever new nodes, and messages that are no reports.
#[test]
fn a_peer_that_sends_new_names_and_unknown_messages_without_pause_delays_no_other() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, SOCKETS);
    let before = resident_kib(controller.id());
    let end = Instant::now() + Duration::from_secs(3);
    let messages: Vec<u8> = (0..20_000)
        .flat_map(|number| {
            let report = format!("heard az a host new-{number} n 5 bad 5 window 1000");
            [
                encode(&report),
                encode(&format!("kind-{number} a b")),
                b"*0\r\n".to_vec(),
            ]
            .concat()
        })
        .collect();
    flood(&controller, messages, end);
    let slowest = slowest_ping(&controller, end);
    assert!(slowest < ANSWER_TIME_MAX, "{slowest:?}");
    let growth = peak_resident_kib(controller.id()).saturating_sub(before);
    assert!(growth < 8 << 10, "grown by {growth} KiB");
}

/// Limit of the controller for the buffers of all connections: a quarter of the 32 MB that the configuration allows.
const BUFFERS_KIB: u64 = 8 << 10;
/// Memory of the process beside the buffers: connections, and what the allocator keeps.
const OTHER_KIB: u64 = 8 << 10;

/// Sends `once` and then `repeated` on 150 connections of collectors for 2 s, and checks how much the controller grows.
fn check_growth(once: &[u8], repeated: &[u8]) {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, SOCKETS);
    let before = resident_kib(controller.id());
    let once = [&encode("collector az a"), once].concat();
    let mut senders = Senders::connect(controller.listen, 150);
    senders.send_for(Duration::from_secs(2), &once, repeated);
    let slowest = slowest_ping(&controller, Instant::now() + Duration::from_millis(500));
    assert!(slowest < ANSWER_TIME_MAX, "{slowest:?}");
    let growth = peak_resident_kib(controller.id()).saturating_sub(before);
    assert!(growth < BUFFERS_KIB + OTHER_KIB, "grown by {growth} KiB");
}

// One connection was closed in each turn while hundreds went on to fill their buffers.
#[test]
fn peers_that_send_half_of_a_large_message_take_no_more_memory_than_the_limit() {
    let mut message = b"*63\r\n$5\r\nheard\r\n$900000\r\n".to_vec();
    message.resize(600_000, b'x');
    check_growth(&message, &[]);
}

// Each invalid message of a turn left a diagnostic in memory until all connections were read: 300 took 433 MB.
#[test]
fn invalid_messages_of_many_peers_take_no_more_memory_than_the_limit() {
    check_growth(&[], &b"*0\r\n".repeat(16 << 10));
}
