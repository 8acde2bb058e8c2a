//! How connections, watches and the process end, with the order of events made certain: a peer withholds half of
//! a message, or the controller is stopped while several peers send, so that it finds all of it at once.
//! docs/connection-closing.md names each of these.

#[path = "common/platform.rs"]
mod stage;

use rustix::process::Signal;
use serde_json::json;
use stage::{list, objects, Agent, ManualDiscovery, Peer, Platform};
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

const READY: &str = "Ready";
const DRAINS: &str = "Terminating";
const JOINS: &str = "joined sidecar 3 az a share 12.5 standing 1";

/// An unidentified connection that the controller has accepted, since its ping was answered.
fn unidentified(platform: &Platform) -> Peer {
    let mut peer = Peer::dial(platform.listen);
    ping(&mut peer);
    peer
}

/// What was sent before on other connections has been read when this returns.
fn ping(peer: &mut Peer) {
    peer.send("ping");
    peer.receive_until("pong");
}

fn joined(platform: &Platform, proxy: u16) -> Peer {
    let mut peer = Peer::dial(platform.listen);
    peer.send(&format!(
        "joined sidecar {proxy} az a share 12.5 standing 1"
    ));
    let message = peer.receive_until("replace 1");
    peer.acknowledge(proxy, &message);
    peer
}

fn bytes(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    wheelspread_resp::encode(&text.split(' ').collect::<Vec<_>>(), &mut bytes);
    bytes
}

// ---- streams that cross ----

#[test]
fn the_older_of_two_crossing_streams_never_joins_again() {
    let agent = Agent::start(objects(&["s1", "s2", "s3"]));
    let platform = Platform::start(agent.address, 64);
    let mut old = joined(&platform, 3);
    let mut new = unidentified(&platform);
    // Both are read in one turn, the newer first: the older is closed with a join still unread.
    platform.while_stopped(|| {
        new.stream.write_all(&bytes(JOINS)).expect("it reads");
        old.stream.write_all(&bytes(JOINS)).expect("it reads");
        old.stream
            .write_all(&bytes("applied sidecar 3 version 1 lag_ms 2.5"))
            .expect("it reads");
    });
    let message = new.receive_until("replace 1");
    new.acknowledge(3, &message);
    while old.receive().is_some() {}
    agent.publish(list(6, false, &[("s1", DRAINS)]));
    new.receive_until("s1:0");
    ping(&mut new);
}

#[test]
fn a_connection_older_than_the_current_stream_can_not_replace_it() {
    let agent = Agent::start(objects(&["s1", "s2", "s3"]));
    let platform = Platform::start(agent.address, 64);
    let mut old = unidentified(&platform);
    let half = bytes(JOINS);
    old.stream.write_all(&half[..20]).expect("it reads");
    let mut new = joined(&platform, 3);
    old.stream.write_all(&half[20..]).expect("it reads");
    assert_eq!(
        old.receive(),
        None,
        "the rest of its joining comes too late"
    );
    agent.publish(list(6, false, &[("s1", DRAINS)]));
    new.receive_until("s1:0");
}

// ---- streams that end ----

#[test]
fn messages_received_with_the_close_count_and_the_proxy_may_rejoin() {
    let agent = Agent::start(objects(&["s1", "s2", "s3"]));
    let platform = Platform::start(agent.address, 64);
    let mut watcher = unidentified(&platform);
    // A ping is answered also where nothing more will be sent.
    let mut half = Peer::dial(platform.listen);
    half.send("ping");
    half.stream.shutdown(Shutdown::Write).expect("open");
    half.receive_until("pong");
    assert_eq!(half.receive(), None);
    // A joining, an answer and the end in one read; then a reset after unread orders.
    let first = Peer::dial(platform.listen);
    platform.while_stopped(|| {
        (&first.stream)
            .write_all(&[bytes(JOINS), bytes("ping")].concat())
            .expect("it reads");
        first.stream.shutdown(Shutdown::Both).expect("open");
    });
    ping(&mut watcher);
    let mut again = joined(&platform, 3);
    agent.publish(list(6, false, &[("s1", DRAINS)]));
    again.receive_until("s1:0");
}

#[test]
fn a_message_may_be_cut_at_each_byte() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 64);
    let whole = bytes("joined sidecar 5 az a share 12.5 standing 1");
    let mut other = joined(&platform, 1);
    for cut in 1..whole.len() {
        let mut peer = Peer::dial(platform.listen);
        peer.stream.write_all(&whole[..cut]).expect("it reads");
        ping(&mut other);
        peer.stream.write_all(&whole[cut..]).expect("it reads");
        peer.receive_until("replace 1");
    }
}

#[test]
fn a_peer_that_was_not_read_in_time_is_not_closed_as_silent() {
    let manual = ManualDiscovery::start();
    let platform = Platform::start(manual.address, 64);
    let (mut watch, read) = manual.watch_and_list();
    read.respond(&list(5, true, &[("s1", READY), ("s2", READY)]));
    watch.begin_watch();
    watch.send_object(&list(5, true, &[("s1", READY), ("s2", READY)]));
    let mut late = unidentified(&platform);
    let mut proxy = Peer::dial(platform.listen);
    proxy.send(JOINS);
    let message = proxy.receive_until("replace 1");
    // Longer than the limits of an unidentified connection, a watch and a silent stream: all send at the last moment.
    platform.while_stopped(|| {
        std::thread::sleep(Duration::from_millis(3300));
        watch.send_chunk("\n");
        proxy.acknowledge(3, &message);
        late.stream
            .write_all(&bytes("joined sidecar 4 az a share 12.5 standing 1"))
            .expect("it reads");
    });
    late.receive_until("replace 1");
    ping(&mut proxy);
    watch.send_object(&list(6, false, &[("s1", DRAINS)]));
    proxy.receive_until("s1:0");
    late.receive_until("s1:0");
}

#[test]
fn a_peer_that_pings_and_never_reads_is_reset_and_affects_no_other() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 64);
    let mut other = joined(&platform, 1);
    let mut flood = joined(&platform, 2);
    let pings = bytes("ping").repeat(1000);
    // What the kernel holds for it is some megabytes; what waits for it in the controller is bounded.
    let cut = (0..10_000).find(|_| flood.stream.write_all(&pings).is_err());
    assert!(cut.is_some(), "it was never reset");
    ping(&mut other);
    agent.publish(list(6, false, &[("s1", DRAINS)]));
    other.receive_until("s1:0");
    joined(&platform, 2);
}

// ---- descriptors ----

#[test]
fn the_listener_resumes_when_a_descriptor_is_free() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    // Room for twenty: of the eight proxies that there are and twelve collectors of one zone.
    let platform = Platform::start(agent.address, 48);
    let mut proxies: Vec<Peer> = (0..7).map(|proxy| joined(&platform, proxy)).collect();
    let mut collectors = Vec::new();
    for _ in 0..13 {
        let mut peer = Peer::dial(platform.listen);
        peer.send("collector az a");
        ping(&mut peer);
        collectors.push(peer);
    }
    // Collectors that a newer one has come for give way, the oldest first; then nobody is left who could.
    let last = joined(&platform, 7);
    assert_eq!(collectors[0].receive(), None);
    ping(&mut collectors[12]);
    proxies.push(last);
    for collector in &mut collectors[1..12] {
        let mut peer = unidentified(&platform);
        assert_eq!(collector.receive(), None);
        peer.send("collector az a");
        // It is the newer one now, and older ones go before it.
        ping(&mut peer);
        std::mem::swap(collector, &mut peer);
    }
    proxies.iter_mut().for_each(ping);
}

#[test]
fn an_unidentified_connection_that_joins_as_descriptors_run_out_is_read_first() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 48);
    let mut here: Vec<Peer> = (0..20).map(|_| unidentified(&platform)).collect();
    let since = Instant::now();
    // Callers come while the oldest joins, and the second has sent half of its join.
    let joining = bytes("joined sidecar 1 az a share 12.5 standing 1");
    here[1].stream.write_all(&joining[..30]).expect("it reads");
    ping(&mut here[19]);
    let mut callers = platform.while_stopped(|| {
        while since.elapsed() < Duration::from_millis(150) {
            std::thread::yield_now();
        }
        let callers: Vec<Peer> = (0..3).map(|_| Peer::dial(platform.listen)).collect();
        here[0]
            .stream
            .write_all(&bytes("joined sidecar 0 az a share 12.5 standing 1"))
            .expect("it reads");
        here[1].stream.write_all(&joining[30..]).expect("it reads");
        callers
    });
    here[0].receive_until("replace 1");
    here[1].receive_until("replace 1");
    callers.iter_mut().for_each(ping);
    assert!(
        (2..5).all(|at| here[at].receive().is_none()),
        "the next ones have given way"
    );
}

#[test]
fn all_proxies_may_join_one_controller_beside_silent_connections() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 48);
    // As after a kill: all at once, each with its joining, between connections that send nothing.
    let (mut proxies, mut silent) = (Vec::new(), Vec::new());
    platform.while_stopped(|| {
        for proxy in 0..8 {
            silent.extend((0..10).map(|_| Peer::dial(platform.listen)));
            let mut peer = Peer::dial(platform.listen);
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

// ---- the list ----

/// A controller with a proxy, after the first complete list.
fn watched(nodes: &[(&str, &str)]) -> (ManualDiscovery, Platform, Peer, stage::DiscoveryRequest) {
    let manual = ManualDiscovery::start();
    let platform = Platform::start(manual.address, 64);
    let (mut watch, read) = manual.watch_and_list();
    read.respond(&list(40, true, nodes));
    watch.begin_watch();
    watch.send_object(&list(40, true, nodes));
    let proxy = joined(&platform, 3);
    (manual, platform, proxy, watch)
}

const THREE: &[(&str, &str)] = &[("s1", READY), ("s2", READY), ("s3", READY)];

#[test]
fn a_ping_is_answered_before_discovery_answers() {
    let manual = ManualDiscovery::start();
    let platform = Platform::start(manual.address, 64);
    let asked = manual.watch_and_list();
    // Discovery has been asked and has not answered.
    let mut peer = unidentified(&platform);
    ping(&mut peer);
    let mut proxy = joined(&platform, 3);
    let (mut watch, _read) = asked;
    watch.begin_watch();
    watch.send_object(&list(2, true, &[("s1", READY)]));
    proxy.receive_until("s1:");
}

#[test]
fn a_watch_that_ends_within_an_object_is_reopened_from_the_last_complete_one() {
    let (manual, _platform, mut proxy, mut watch) = watched(THREE);
    watch.send_object(&list(41, false, &[("s1", DRAINS)]));
    let cut = list(42, false, &[("s2", DRAINS)]).to_string();
    watch.send_chunk(&cut[..cut.len() - 9]);
    drop(watch);
    proxy.receive_until("s1:0");
    let mut next = manual.next_request();
    assert!(next.target.contains("from=41"), "{}", next.target);
    // This one ends properly, with an object that no line's end follows.
    next.begin_watch();
    next.send_chunk(&list(42, false, &[("s2", DRAINS)]).to_string());
    next.send_raw("0\r\n\r\n");
    proxy.receive_until("s2:0");
    assert!(manual.next_request().target.contains("from=42"));
}

#[test]
fn a_watch_with_another_answer_than_a_list_is_reopened() {
    let manual = ManualDiscovery::start();
    let platform = Platform::start(manual.address, 64);
    let (mut watch, read) = manual.watch_and_list();
    read.respond(&list(40, true, THREE));
    let mut proxy = joined(&platform, 3);
    // It would go on for ever.
    watch.send_raw("HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.send_chunk("\n");
    watch.wait_until_closed();
    let mut next = manual.next_request();
    next.begin_watch();
    next.send_object(&list(41, false, &[("s1", DRAINS)]));
    proxy.receive_until("s1:0");
}

#[test]
fn discovery_may_restart_its_versions_while_the_controller_runs() {
    let (manual, _platform, mut proxy, watch) = watched(THREE);
    drop(watch);
    // It comes back with a full list of a lower version; a node that is not named is removed.
    let mut next = manual.next_request();
    assert!(next.target.contains("from=40"), "{}", next.target);
    next.begin_watch();
    next.send_object(&list(2, true, &[("s2", READY), ("s3", READY)]));
    proxy.receive_until("s1:0");
    next.send_object(&list(3, false, &[("s2", DRAINS)]));
    proxy.receive_until("s2:0");
    drop(next);
    // It counts anew once more, and speaks only of changes: the full list is asked for.
    let mut next = manual.next_request();
    next.begin_watch();
    next.send_object(&list(1, false, &[("s9", READY)]));
    next.wait_until_closed();
    let read = manual.next_request();
    assert!(!read.is_watch(), "{}", read.target);
    read.respond(&list(1, true, &[("s9", READY)]));
    proxy.receive_until("s3:0");
    let mut next = manual.next_request();
    assert!(next.target.contains("from=1"), "{}", next.target);
    next.begin_watch();
    next.send_object(&list(2, false, &[("s9", DRAINS)]));
    proxy.receive_until("s9:0");
}

#[test]
fn a_watch_at_the_previous_address_reverts_nothing() {
    let (_old, platform, mut proxy, mut watch) = watched(THREE);
    let moved = ManualDiscovery::start();
    platform.configure(moved.address, 64, 3.0);
    platform.signal(Signal::HUP);
    let (mut next, read) = moved.watch_and_list();
    // Until the new place has spoken, the old one counts.
    watch.send_object(&list(41, false, &[("s1", DRAINS)]));
    proxy.receive_until("s1:0");
    read.respond(&list(7, true, &[("s2", READY), ("s3", READY)]));
    next.begin_watch();
    next.send_object(&list(8, false, &[("s2", DRAINS)]));
    let message = proxy.receive_until("s2:0");
    assert!(!message.contains("s1:"), "{message}");
    // Both lists of the old place are read before the new one's, and neither brings a node back.
    platform.while_stopped(|| {
        watch.send_object(&list(50, true, THREE));
        watch.send_object(&list(51, false, &[("s1", READY)]));
        next.send_object(&list(9, false, &[("s4", READY)]));
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
    let platform = Platform::start(first.address, 64);
    // The first place has been asked and never answers.
    let _held = first.watch_and_list();
    let (second, third) = (ManualDiscovery::start(), ManualDiscovery::start());
    platform.while_stopped(|| {
        platform.configure(second.address, 64, 3.0);
        platform.signal(Signal::HUP);
        platform.configure(third.address, 64, 3.0);
        platform.signal(Signal::HUP);
    });
    let (mut watch, read) = third.watch_and_list();
    read.respond(&list(40, true, THREE));
    watch.begin_watch();
    let mut proxy = joined(&platform, 3);
    watch.send_object(&list(41, false, &[("s1", DRAINS)]));
    proxy.receive_until("s1:0");
}

#[test]
fn invalid_settings_leave_the_old_ones_in_force_and_prevent_a_start() {
    let (manual, mut platform, mut proxy, mut watch) = watched(THREE);
    let fine = std::fs::read_to_string(platform.config()).expect("a configuration");
    // Half written first, then whole but of no use: the drain's grace and the rest stand.
    platform.write_config(&fine[..fine.len() / 2]);
    platform.signal(Signal::HUP);
    let mut bad: serde_json::Value = serde_json::from_str(&fine).expect("JSON");
    bad["settings"]["extra"]["backlog"] = json!("much");
    platform.write_config(&bad.to_string());
    platform.wait_for_log("`extra.backlog` should be a number of at least 0", || {
        // Nobody falls silent meanwhile.
        watch.send_chunk("\n");
        ping(&mut proxy);
    });
    watch.send_object(&list(41, false, &[("s1", DRAINS)]));
    proxy.receive_until("s1:0");
    platform.signal(Signal::TERM);
    assert!(platform.wait_for_exit().success());
    platform.spawn();
    assert_eq!(platform.wait_for_exit().code(), Some(2));
    drop(manual);
}

#[test]
fn a_stop_signal_ends_whatever_is_half_done() {
    let (_manual, mut platform, mut proxy, mut watch) = watched(THREE);
    let mut half = unidentified(&platform);
    half.stream
        .write_all(&bytes(JOINS)[..20])
        .expect("it reads");
    ping(&mut proxy);
    // Unread input, an unread object of the watch, callers that nobody has accepted, a reload and two signals.
    let mut callers = platform.while_stopped(|| {
        half.stream
            .write_all(&bytes(JOINS)[20..])
            .expect("it reads");
        watch.send_object(&list(41, false, &[("s1", DRAINS)]));
        let callers: Vec<Peer> = (0..5).map(|_| Peer::dial(platform.listen)).collect();
        platform.signal(Signal::HUP);
        platform.signal(Signal::TERM);
        platform.signal(Signal::TERM);
        callers
    });
    let ended = platform.wait_for_exit();
    assert!(ended.success(), "{ended}");
    callers
        .iter_mut()
        .for_each(|peer| assert_eq!(peer.receive(), None));
    assert_eq!(half.receive(), None);
    while proxy.receive().is_some() {}
}

#[test]
fn a_listen_address_still_in_use_is_retried_and_a_signal_ends_the_wait() {
    let agent = Agent::start(objects(&["s1"]));
    let mut platform = Platform::prepare(agent.address, 64);
    let held = TcpListener::bind(platform.listen).expect("a port");
    platform.spawn();
    platform.wait_for_log("listen address in use, retrying", || {});
    platform.signal(Signal::TERM);
    let ended = platform.wait_for_exit();
    assert!(ended.success(), "{ended}");
    platform.spawn();
    platform.wait_for_log("listen address in use, retrying", || {});
    // A reload while it starts is no reason to end either.
    platform.signal(Signal::HUP);
    drop(held);
    platform.wait_until_listening();
    joined(&platform, 3);
}
