//! How connections, watches and the process end. Two means make the order of events certain: a peer holds back half of
//! a message, or the controller is stopped while several peers send, so that it finds all their input at once when it
//! continues. docs/connection-closing.md names each of these cases.

#[path = "common/platform.rs"]
mod common;

use common::{
    endpoint_list, ready_nodes, ControllerProcess, DiscoveryAgent, ManualDiscovery, Peer,
};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

const READY: &str = "Ready";
const TERMINATING: &str = "Terminating";
const JOIN: &str = "joined sidecar 3 az a share 12.5 standing 1";

/// Opens an unidentified connection and waits until the controller has accepted it, which an answered ping shows.
fn connect_unidentified(controller: &ControllerProcess) -> Peer {
    let mut peer = Peer::dial(controller.listen);
    ping(&mut peer);
    peer
}

/// Waits for the answer to a ping. By then the controller has read everything that other connections sent before it.
fn ping(peer: &mut Peer) {
    peer.send("ping");
    peer.receive_until("pong");
}

/// Opens a connection that joins as `proxy` and acknowledges its first tables.
fn join_proxy(controller: &ControllerProcess, proxy: u16) -> Peer {
    let mut peer = Peer::dial(controller.listen);
    peer.send(&format!(
        "joined sidecar {proxy} az a share 12.5 standing 1"
    ));
    let message = peer.receive_until("replace 1");
    peer.acknowledge(proxy, &message);
    peer
}

/// A message as it is encoded on the wire.
fn bytes(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    wheelspread_resp::encode(&text.split(' ').collect::<Vec<_>>(), &mut bytes);
    bytes
}

// ---- crossing streams of one proxy ----

#[test]
fn the_older_of_two_crossing_streams_never_joins_again() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2", "s3"]));
    let controller = ControllerProcess::start(agent.address, 64);
    let mut old = join_proxy(&controller, 3);
    let mut new = connect_unidentified(&controller);
    // The controller reads both in one turn, the newer stream first, and closes the older one with a join still unread.
    controller.while_stopped(|| {
        new.stream
            .write_all(&bytes(JOIN))
            .expect("the controller reads");
        old.stream
            .write_all(&bytes(JOIN))
            .expect("the controller reads");
        old.stream
            .write_all(&bytes("applied sidecar 3 version 1 lag_ms 2.5"))
            .expect("the controller reads");
    });
    let message = new.receive_until("replace 1");
    new.acknowledge(3, &message);
    while old.receive().is_some() {}
    agent.publish(endpoint_list(6, false, &[("s1", TERMINATING)]));
    new.receive_until("s1:0");
    ping(&mut new);
}

#[test]
fn a_connection_older_than_the_current_stream_can_not_replace_it() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2", "s3"]));
    let controller = ControllerProcess::start(agent.address, 64);
    let mut old = connect_unidentified(&controller);
    let join = bytes(JOIN);
    old.stream
        .write_all(&join[..20])
        .expect("the controller reads");
    let mut new = join_proxy(&controller, 3);
    old.stream
        .write_all(&join[20..])
        .expect("the controller reads");
    assert_eq!(
        old.receive(),
        None,
        "a join completed after the newer stream must be refused"
    );
    agent.publish(endpoint_list(6, false, &[("s1", TERMINATING)]));
    new.receive_until("s1:0");
}

// ---- closed streams ----

#[test]
fn messages_received_with_the_close_count_and_the_proxy_may_rejoin() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2", "s3"]));
    let controller = ControllerProcess::start(agent.address, 64);
    let mut watcher = connect_unidentified(&controller);
    // A ping is answered even if the peer has closed its sending side.
    let mut half_closed = Peer::dial(controller.listen);
    half_closed.send("ping");
    half_closed
        .stream
        .shutdown(Shutdown::Write)
        .expect("an open connection");
    half_closed.receive_until("pong");
    assert_eq!(half_closed.receive(), None);
    // A join, a ping and the close arrive in one read. The peer no longer reads, so that its side answers the tables
    // with a reset.
    let first = Peer::dial(controller.listen);
    controller.while_stopped(|| {
        (&first.stream)
            .write_all(&[bytes(JOIN), bytes("ping")].concat())
            .expect("the controller reads");
        first
            .stream
            .shutdown(Shutdown::Both)
            .expect("an open connection");
    });
    ping(&mut watcher);
    let mut rejoined = join_proxy(&controller, 3);
    agent.publish(endpoint_list(6, false, &[("s1", TERMINATING)]));
    rejoined.receive_until("s1:0");
}

#[test]
fn a_message_may_be_cut_at_each_byte() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, 64);
    let join = bytes("joined sidecar 5 az a share 12.5 standing 1");
    let mut other = join_proxy(&controller, 1);
    for cut in 1..join.len() {
        let mut peer = Peer::dial(controller.listen);
        peer.stream
            .write_all(&join[..cut])
            .expect("the controller reads");
        ping(&mut other);
        peer.stream
            .write_all(&join[cut..])
            .expect("the controller reads");
        peer.receive_until("replace 1");
    }
}

#[test]
fn a_peer_that_was_not_read_in_time_is_not_closed_as_silent() {
    let manual = ManualDiscovery::start();
    let controller = ControllerProcess::start(manual.address, 64);
    let (mut watch, read) = manual.watch_and_list();
    read.respond(&endpoint_list(5, true, &[("s1", READY), ("s2", READY)]));
    watch.begin_watch();
    watch.send_object(&endpoint_list(5, true, &[("s1", READY), ("s2", READY)]));
    let mut late_joiner = connect_unidentified(&controller);
    let mut proxy = Peer::dial(controller.listen);
    proxy.send(JOIN);
    let message = proxy.receive_until("replace 1");
    // The controller is stopped for longer than the time limits of an unidentified connection, a watch and a silent
    // stream. All three peers send just before the controller continues.
    controller.while_stopped(|| {
        std::thread::sleep(Duration::from_millis(3300));
        watch.send_chunk("\n");
        proxy.acknowledge(3, &message);
        late_joiner
            .stream
            .write_all(&bytes("joined sidecar 4 az a share 12.5 standing 1"))
            .expect("the controller reads");
    });
    late_joiner.receive_until("replace 1");
    ping(&mut proxy);
    watch.send_object(&endpoint_list(6, false, &[("s1", TERMINATING)]));
    proxy.receive_until("s1:0");
    late_joiner.receive_until("s1:0");
}

#[test]
fn a_peer_that_pings_and_never_reads_is_reset_and_affects_no_other() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, 64);
    let mut other = join_proxy(&controller, 1);
    let mut flooding = join_proxy(&controller, 2);
    let pings = bytes("ping").repeat(1000);
    // The kernel buffers some megabytes of answers; the controller's send queue is bounded.
    let failed_write = (0..10_000).find(|_| flooding.stream.write_all(&pings).is_err());
    assert!(failed_write.is_some(), "the connection was never reset");
    ping(&mut other);
    agent.publish(endpoint_list(6, false, &[("s1", TERMINATING)]));
    other.receive_until("s1:0");
    join_proxy(&controller, 2);
}

// ---- file descriptors ----

#[test]
fn the_listener_resumes_when_a_descriptor_is_free() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    // The limit leaves room for twenty connections: eight proxies and twelve collectors of one zone.
    let controller = ControllerProcess::start(agent.address, 48);
    let mut proxies: Vec<Peer> = (0..7).map(|proxy| join_proxy(&controller, proxy)).collect();
    let mut collectors = Vec::new();
    for _ in 0..13 {
        let mut peer = Peer::dial(controller.listen);
        peer.send("collector az a");
        ping(&mut peer);
        collectors.push(peer);
    }
    // Collectors of a zone that has a newer one are closed to make room, the oldest first. Once only the newest is
    // left, no collector can be closed.
    let last = join_proxy(&controller, 7);
    assert_eq!(collectors[0].receive(), None);
    ping(&mut collectors[12]);
    proxies.push(last);
    for collector in &mut collectors[1..12] {
        let mut peer = connect_unidentified(&controller);
        assert_eq!(collector.receive(), None);
        peer.send("collector az a");
        // It is now the newest collector of its zone, and older ones are closed first.
        ping(&mut peer);
        std::mem::swap(collector, &mut peer);
    }
    proxies.iter_mut().for_each(ping);
}

#[test]
fn an_unidentified_connection_that_joins_as_descriptors_run_out_is_read_first() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, 48);
    let mut unidentified_peers: Vec<Peer> =
        (0..20).map(|_| connect_unidentified(&controller)).collect();
    let since = Instant::now();
    // Three connections arrive while the oldest unidentified peer sends its join and the second oldest the rest of its
    // join.
    let join = bytes("joined sidecar 1 az a share 12.5 standing 1");
    unidentified_peers[1]
        .stream
        .write_all(&join[..30])
        .expect("the controller reads");
    ping(&mut unidentified_peers[19]);
    let mut new_peers = controller.while_stopped(|| {
        while since.elapsed() < Duration::from_millis(150) {
            std::thread::yield_now();
        }
        let new_peers: Vec<Peer> = (0..3).map(|_| Peer::dial(controller.listen)).collect();
        unidentified_peers[0]
            .stream
            .write_all(&bytes("joined sidecar 0 az a share 12.5 standing 1"))
            .expect("the controller reads");
        unidentified_peers[1]
            .stream
            .write_all(&join[30..])
            .expect("the controller reads");
        new_peers
    });
    unidentified_peers[0].receive_until("replace 1");
    unidentified_peers[1].receive_until("replace 1");
    new_peers.iter_mut().for_each(ping);
    assert!(
        (2..5).all(|index| unidentified_peers[index].receive().is_none()),
        "the next oldest connections must be closed"
    );
}

#[test]
fn all_proxies_may_join_one_controller_beside_silent_connections() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, 48);
    // As after a restart of the controller, all proxies join at once, between connections that send nothing.
    let (mut proxies, mut silent) = (Vec::new(), Vec::new());
    controller.while_stopped(|| {
        for proxy in 0..8 {
            silent.extend((0..10).map(|_| Peer::dial(controller.listen)));
            let mut peer = Peer::dial(controller.listen);
            peer.send(&format!(
                "joined sidecar {proxy} az a share 12.5 standing 0"
            ));
            proxies.push(peer);
        }
    });
    proxies
        .iter_mut()
        .for_each(|proxy| _ = proxy.receive_until("replace 1"));
    silent
        .iter_mut()
        .for_each(|peer| assert_eq!(peer.receive(), None));
}

// ---- endpoint list ----

/// Starts a controller with a joined proxy, after the first complete list.
fn start_with_watch(
    nodes: &[(&str, &str)],
) -> (
    ManualDiscovery,
    ControllerProcess,
    Peer,
    common::DiscoveryRequest,
) {
    let manual = ManualDiscovery::start();
    let controller = ControllerProcess::start(manual.address, 64);
    let (mut watch, read) = manual.watch_and_list();
    read.respond(&endpoint_list(40, true, nodes));
    watch.begin_watch();
    watch.send_object(&endpoint_list(40, true, nodes));
    let proxy = join_proxy(&controller, 3);
    (manual, controller, proxy, watch)
}

const THREE: &[(&str, &str)] = &[("s1", READY), ("s2", READY), ("s3", READY)];

#[test]
fn a_ping_is_answered_before_discovery_answers() {
    let manual = ManualDiscovery::start();
    let controller = ControllerProcess::start(manual.address, 64);
    let requests = manual.watch_and_list();
    // Discovery has received both requests and has answered neither.
    let mut peer = connect_unidentified(&controller);
    ping(&mut peer);
    let mut proxy = join_proxy(&controller, 3);
    let (mut watch, _read) = requests;
    watch.begin_watch();
    watch.send_object(&endpoint_list(2, true, &[("s1", READY)]));
    proxy.receive_until("s1:");
}

#[test]
fn a_watch_that_ends_within_an_object_is_reopened_from_the_last_complete_one() {
    let (manual, _controller, mut proxy, mut watch) = start_with_watch(THREE);
    watch.send_object(&endpoint_list(41, false, &[("s1", TERMINATING)]));
    let object = endpoint_list(42, false, &[("s2", TERMINATING)]).to_string();
    watch.send_chunk(&object[..object.len() - 9]);
    drop(watch);
    proxy.receive_until("s1:0");
    let mut next = manual.next_request();
    assert!(next.target.contains("from=41"), "{}", next.target);
    // The second watch ends properly, with a last object that no line end follows.
    next.begin_watch();
    next.send_chunk(&endpoint_list(42, false, &[("s2", TERMINATING)]).to_string());
    next.send_raw("0\r\n\r\n");
    proxy.receive_until("s2:0");
    assert!(manual.next_request().target.contains("from=42"));
}

#[test]
fn a_watch_with_another_answer_than_a_list_is_reopened() {
    let manual = ManualDiscovery::start();
    let controller = ControllerProcess::start(manual.address, 64);
    let (mut watch, read) = manual.watch_and_list();
    read.respond(&endpoint_list(40, true, THREE));
    let mut proxy = join_proxy(&controller, 3);
    // The body of the error response would never end.
    watch.send_raw("HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.send_chunk("\n");
    watch.wait_until_closed();
    let mut next = manual.next_request();
    next.begin_watch();
    next.send_object(&endpoint_list(41, false, &[("s1", TERMINATING)]));
    proxy.receive_until("s1:0");
}

#[test]
fn discovery_may_restart_its_versions_while_the_controller_runs() {
    let (manual, _controller, mut proxy, watch) = start_with_watch(THREE);
    drop(watch);
    // The restarted agent sends a complete list with a lower version; a node that the list does not name is removed.
    let mut next = manual.next_request();
    assert!(next.target.contains("from=40"), "{}", next.target);
    next.begin_watch();
    next.send_object(&endpoint_list(2, true, &[("s2", READY), ("s3", READY)]));
    proxy.receive_until("s1:0");
    next.send_object(&endpoint_list(3, false, &[("s2", TERMINATING)]));
    proxy.receive_until("s2:0");
    drop(next);
    // The agent's versions restart once more, and it sends changes only: the controller requests the complete list.
    let mut next = manual.next_request();
    next.begin_watch();
    next.send_object(&endpoint_list(1, false, &[("s9", READY)]));
    next.wait_until_closed();
    let read = manual.next_request();
    assert!(!read.is_watch(), "{}", read.target);
    read.respond(&endpoint_list(1, true, &[("s9", READY)]));
    proxy.receive_until("s3:0");
    let mut next = manual.next_request();
    assert!(next.target.contains("from=1"), "{}", next.target);
    next.begin_watch();
    next.send_object(&endpoint_list(2, false, &[("s9", TERMINATING)]));
    proxy.receive_until("s9:0");
}

#[test]
fn a_watch_at_the_previous_address_reverts_nothing() {
    let (_old_discovery, controller, mut proxy, mut watch) = start_with_watch(THREE);
    let new_discovery = ManualDiscovery::start();
    controller.configure(new_discovery.address, 64, 3.0);
    controller.signal(Signal::HUP);
    let (mut next, read) = new_discovery.watch_and_list();
    // Until the new agent has answered, changes from the old one still apply.
    watch.send_object(&endpoint_list(41, false, &[("s1", TERMINATING)]));
    proxy.receive_until("s1:0");
    read.respond(&endpoint_list(7, true, &[("s2", READY), ("s3", READY)]));
    next.begin_watch();
    next.send_object(&endpoint_list(8, false, &[("s2", TERMINATING)]));
    let message = proxy.receive_until("s2:0");
    assert!(!message.contains("s1:"), "{message}");
    // Both lists of the old agent are read before that of the new one, and neither restores a node.
    controller.while_stopped(|| {
        watch.send_object(&endpoint_list(50, true, THREE));
        watch.send_object(&endpoint_list(51, false, &[("s1", READY)]));
        next.send_object(&endpoint_list(9, false, &[("s4", READY)]));
    });
    let message = proxy.receive_until("s4:");
    assert!(
        !message.contains("s1:") && !message.contains("s2:"),
        "{message}"
    );
}

// ---- signals ----

#[test]
fn a_reload_while_the_watch_connects_and_two_in_a_row_end_at_the_last_address() {
    let first = ManualDiscovery::start();
    let controller = ControllerProcess::start(first.address, 64);
    // The first agent has received the requests and never answers.
    let _held = first.watch_and_list();
    let (second, third) = (ManualDiscovery::start(), ManualDiscovery::start());
    controller.while_stopped(|| {
        controller.configure(second.address, 64, 3.0);
        controller.signal(Signal::HUP);
        controller.configure(third.address, 64, 3.0);
        controller.signal(Signal::HUP);
    });
    let (mut watch, read) = third.watch_and_list();
    read.respond(&endpoint_list(40, true, THREE));
    watch.begin_watch();
    let mut proxy = join_proxy(&controller, 3);
    watch.send_object(&endpoint_list(41, false, &[("s1", TERMINATING)]));
    proxy.receive_until("s1:0");
}

#[test]
fn invalid_settings_leave_the_old_ones_in_force_and_prevent_a_start() {
    let (manual, mut controller, mut proxy, mut watch) = start_with_watch(THREE);
    let valid = std::fs::read_to_string(controller.config()).expect("a configuration");
    // An incomplete file first, then a complete one with an invalid value: the settings in force stay.
    controller.write_config(&valid[..valid.len() / 2]);
    controller.signal(Signal::HUP);
    let mut invalid: serde_json::Value = serde_json::from_str(&valid).expect("JSON");
    invalid["settings"]["extra"]["backlog"] = json!("much");
    controller.write_config(&invalid.to_string());
    controller.wait_for_log("`extra.backlog` should be a number of at least 0", || {
        // The watch and the proxy send meanwhile, so that neither is closed as silent.
        watch.send_chunk("\n");
        ping(&mut proxy);
    });
    watch.send_object(&endpoint_list(41, false, &[("s1", TERMINATING)]));
    proxy.receive_until("s1:0");
    controller.signal(Signal::TERM);
    assert!(controller.wait_for_exit().success());
    controller.spawn();
    assert_eq!(controller.wait_for_exit().code(), Some(2));
    drop(manual);
}

#[test]
fn a_stop_signal_ends_whatever_is_half_done() {
    let (_manual, mut controller, mut proxy, mut watch) = start_with_watch(THREE);
    let mut joining = connect_unidentified(&controller);
    joining
        .stream
        .write_all(&bytes(JOIN)[..20])
        .expect("the controller reads");
    ping(&mut proxy);
    // Unread input, an unread object of the watch, connections not yet accepted, a reload and two stop signals.
    let mut new_peers = controller.while_stopped(|| {
        joining
            .stream
            .write_all(&bytes(JOIN)[20..])
            .expect("the controller reads");
        watch.send_object(&endpoint_list(41, false, &[("s1", TERMINATING)]));
        let new_peers: Vec<Peer> = (0..5).map(|_| Peer::dial(controller.listen)).collect();
        controller.signal(Signal::HUP);
        controller.signal(Signal::TERM);
        controller.signal(Signal::TERM);
        new_peers
    });
    let status = controller.wait_for_exit();
    assert!(status.success(), "{status}");
    new_peers
        .iter_mut()
        .for_each(|peer| assert_eq!(peer.receive(), None));
    assert_eq!(joining.receive(), None);
    while proxy.receive().is_some() {}
}

#[test]
fn a_listen_address_still_in_use_is_retried_and_a_signal_ends_the_wait() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1"]));
    let mut controller = ControllerProcess::prepare(agent.address, 64);
    let held_listener = TcpListener::bind(controller.listen).expect("a free port");
    controller.spawn();
    controller.wait_for_log("listen address in use, retrying", || {});
    controller.signal(Signal::TERM);
    let status = controller.wait_for_exit();
    assert!(status.success(), "{status}");
    controller.spawn();
    controller.wait_for_log("listen address in use, retrying", || {});
    // A reload signal during the wait must not end the process.
    controller.signal(Signal::HUP);
    drop(held_listener);
    controller.wait_until_listening();
    join_proxy(&controller, 3);
}
