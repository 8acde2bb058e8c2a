//! What ends, with the order of events made certain: a peer holds its half, or the conductor is halted while
//! several peers speak, so that it finds all of it at once. docs/endings.md names each of these.

#[path = "common/platform.rs"]
mod stage;

use rustix::process::Signal;
use serde_json::json;
use stage::{list, objects, Agent, Manual, Party, Platform};
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};

const READY: &str = "Ready";
const DRAINS: &str = "Terminating";
const JOINS: &str = "joined sidecar 3 az a share 12.5 standing 1";

/// A stranger that the conductor has accepted, since it was answered.
fn stranger(platform: &Platform) -> Party {
    let mut party = Party::dial(platform.listen);
    ping(&mut party);
    party
}

/// What was sent before on other connections has been read when this returns.
fn ping(party: &mut Party) {
    party.say("ping");
    party.until("pong");
}

fn joined(platform: &Platform, proxy: u16) -> Party {
    let mut party = Party::dial(platform.listen);
    party.say(&format!(
        "joined sidecar {proxy} az a share 12.5 standing 1"
    ));
    let said = party.until("replace 1");
    party.answer(proxy, &said);
    party
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
    let mut new = stranger(&platform);
    // Both are read in one turn, the newer first: the older is told to end with a joining still unread.
    platform.halted(|| {
        new.stream.write_all(&bytes(JOINS)).expect("it reads");
        old.stream.write_all(&bytes(JOINS)).expect("it reads");
        old.stream
            .write_all(&bytes("applied sidecar 3 version 1 lag_ms 2.5"))
            .expect("it reads");
    });
    let said = new.until("replace 1");
    new.answer(3, &said);
    while old.hear().is_some() {}
    agent.say(list(6, false, &[("s1", DRAINS)]));
    new.until("s1:0");
    ping(&mut new);
}

#[test]
fn a_connection_from_before_the_stream_that_stands_can_not_take_its_place() {
    let agent = Agent::start(objects(&["s1", "s2", "s3"]));
    let platform = Platform::start(agent.address, 64);
    let mut old = stranger(&platform);
    let half = bytes(JOINS);
    old.stream.write_all(&half[..20]).expect("it reads");
    let mut new = joined(&platform, 3);
    old.stream.write_all(&half[20..]).expect("it reads");
    assert_eq!(old.hear(), None, "the rest of its joining comes too late");
    agent.say(list(6, false, &[("s1", DRAINS)]));
    new.until("s1:0");
}

// ---- streams that end ----

#[test]
fn what_came_with_the_end_counts_and_the_proxy_may_come_back() {
    let agent = Agent::start(objects(&["s1", "s2", "s3"]));
    let platform = Platform::start(agent.address, 64);
    let mut watcher = stranger(&platform);
    // A sign of life is answered also where nothing more will be said.
    let mut half = Party::dial(platform.listen);
    half.say("ping");
    half.stream.shutdown(Shutdown::Write).expect("open");
    half.until("pong");
    assert_eq!(half.hear(), None);
    // A joining, an answer and the end in one read; then a reset after unread orders.
    let first = Party::dial(platform.listen);
    platform.halted(|| {
        (&first.stream)
            .write_all(&[bytes(JOINS), bytes("ping")].concat())
            .expect("it reads");
        first.stream.shutdown(Shutdown::Both).expect("open");
    });
    ping(&mut watcher);
    let mut again = joined(&platform, 3);
    agent.say(list(6, false, &[("s1", DRAINS)]));
    again.until("s1:0");
}

#[test]
fn a_message_may_be_cut_at_each_byte() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 64);
    let whole = bytes("joined sidecar 5 az a share 12.5 standing 1");
    let mut other = joined(&platform, 1);
    for cut in 1..whole.len() {
        let mut party = Party::dial(platform.listen);
        party.stream.write_all(&whole[..cut]).expect("it reads");
        ping(&mut other);
        party.stream.write_all(&whole[cut..]).expect("it reads");
        party.until("replace 1");
    }
}

#[test]
fn who_was_not_read_in_time_is_not_taken_for_silent() {
    let manual = Manual::start();
    let platform = Platform::start(manual.address, 64);
    let (mut watch, read) = manual.both();
    read.full(&list(5, true, &[("s1", READY), ("s2", READY)]));
    watch.begin();
    watch.object(&list(5, true, &[("s1", READY), ("s2", READY)]));
    let mut late = stranger(&platform);
    let mut proxy = Party::dial(platform.listen);
    proxy.say(JOINS);
    let said = proxy.until("replace 1");
    // Longer than a stranger, a watch and a silent stream have: all of them speak in the last moment.
    platform.halted(|| {
        std::thread::sleep(Duration::from_millis(3300));
        watch.chunk("\n");
        proxy.answer(3, &said);
        late.stream
            .write_all(&bytes("joined sidecar 4 az a share 12.5 standing 1"))
            .expect("it reads");
    });
    late.until("replace 1");
    ping(&mut proxy);
    watch.object(&list(6, false, &[("s1", DRAINS)]));
    proxy.until("s1:0");
    late.until("s1:0");
}

#[test]
fn a_peer_that_asks_and_never_reads_is_reset_and_costs_nobody_else() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 64);
    let mut other = joined(&platform, 1);
    let mut flood = joined(&platform, 2);
    let pings = bytes("ping").repeat(1000);
    // What the kernel holds for it is some megabytes; what waits for it in the conductor is bounded.
    let cut = (0..10_000).find(|_| flood.stream.write_all(&pings).is_err());
    assert!(cut.is_some(), "it was never reset");
    ping(&mut other);
    agent.say(list(6, false, &[("s1", DRAINS)]));
    other.until("s1:0");
    joined(&platform, 2);
}

// ---- descriptors ----

#[test]
fn the_listener_is_taken_up_again_when_a_descriptor_gets_free() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    // Room for twenty: of the eight proxies that there are and twelve collectors of one zone.
    let platform = Platform::start(agent.address, 48);
    let mut proxies: Vec<Party> = (0..7).map(|proxy| joined(&platform, proxy)).collect();
    let mut collectors = Vec::new();
    for _ in 0..13 {
        let mut party = Party::dial(platform.listen);
        party.say("collector az a");
        ping(&mut party);
        collectors.push(party);
    }
    // Collectors that a newer one has come for give way, the oldest first; then nobody is left who could.
    let last = joined(&platform, 7);
    assert_eq!(collectors[0].hear(), None);
    ping(&mut collectors[12]);
    proxies.push(last);
    for collector in &mut collectors[1..12] {
        let mut party = stranger(&platform);
        assert_eq!(collector.hear(), None);
        party.say("collector az a");
        // It is the newer one now, and older ones go before it.
        ping(&mut party);
        std::mem::swap(collector, &mut party);
    }
    proxies.iter_mut().for_each(ping);
}

#[test]
fn a_stranger_that_speaks_as_descriptors_run_out_is_heard_first() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 48);
    let mut here: Vec<Party> = (0..20).map(|_| stranger(&platform)).collect();
    let since = Instant::now();
    // Callers come while the oldest says who it is, and the second has said half of it.
    let joining = bytes("joined sidecar 1 az a share 12.5 standing 1");
    here[1].stream.write_all(&joining[..30]).expect("it reads");
    ping(&mut here[19]);
    let mut callers = platform.halted(|| {
        while since.elapsed() < Duration::from_millis(150) {
            std::thread::yield_now();
        }
        let callers: Vec<Party> = (0..3).map(|_| Party::dial(platform.listen)).collect();
        here[0]
            .stream
            .write_all(&bytes("joined sidecar 0 az a share 12.5 standing 1"))
            .expect("it reads");
        here[1].stream.write_all(&joining[30..]).expect("it reads");
        callers
    });
    here[0].until("replace 1");
    here[1].until("replace 1");
    callers.iter_mut().for_each(ping);
    assert!(
        (2..5).all(|at| here[at].hear().is_none()),
        "the next ones have given way"
    );
}

#[test]
fn the_whole_fleet_may_come_to_one_conductor_beside_silent_strangers() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 48);
    // As after a kill: all at once, each with its joining, between strangers that say nothing.
    let (mut proxies, mut strangers) = (Vec::new(), Vec::new());
    platform.halted(|| {
        for proxy in 0..8 {
            strangers.extend((0..10).map(|_| Party::dial(platform.listen)));
            let mut party = Party::dial(platform.listen);
            party.say(&format!(
                "joined sidecar {proxy} az a share 12.5 standing 0"
            ));
            proxies.push(party);
        }
    });
    proxies
        .iter_mut()
        .for_each(|proxy| _ = proxy.until("replace 1"));
    strangers
        .iter_mut()
        .for_each(|party| assert_eq!(party.hear(), None));
}

// ---- the list ----

/// A conductor with a proxy, after the first full list.
fn watched(nodes: &[(&str, &str)]) -> (Manual, Platform, Party, stage::Asked) {
    let manual = Manual::start();
    let platform = Platform::start(manual.address, 64);
    let (mut watch, read) = manual.both();
    read.full(&list(40, true, nodes));
    watch.begin();
    watch.object(&list(40, true, nodes));
    let proxy = joined(&platform, 3);
    (manual, platform, proxy, watch)
}

const THREE: &[(&str, &str)] = &[("s1", READY), ("s2", READY), ("s3", READY)];

#[test]
fn a_sign_of_life_does_not_wait_for_discovery() {
    let manual = Manual::start();
    let platform = Platform::start(manual.address, 64);
    let asked = manual.both();
    // Discovery has been asked and has not answered.
    let mut sign = stranger(&platform);
    ping(&mut sign);
    let mut proxy = joined(&platform, 3);
    let (mut watch, _read) = asked;
    watch.begin();
    watch.object(&list(2, true, &[("s1", READY)]));
    proxy.until("s1:");
}

#[test]
fn a_watch_that_ends_within_an_object_is_dialled_from_what_was_whole() {
    let (manual, _platform, mut proxy, mut watch) = watched(THREE);
    watch.object(&list(41, false, &[("s1", DRAINS)]));
    let cut = list(42, false, &[("s2", DRAINS)]).to_string();
    watch.chunk(&cut[..cut.len() - 9]);
    drop(watch);
    proxy.until("s1:0");
    let mut next = manual.asked();
    assert!(next.target.contains("from=41"), "{}", next.target);
    // This one ends properly, with an object that no line's end follows.
    next.begin();
    next.chunk(&list(42, false, &[("s2", DRAINS)]).to_string());
    next.raw("0\r\n\r\n");
    proxy.until("s2:0");
    assert!(manual.asked().target.contains("from=42"));
}

#[test]
fn a_watch_that_is_answered_other_than_by_the_list_is_dialled_again() {
    let manual = Manual::start();
    let platform = Platform::start(manual.address, 64);
    let (mut watch, read) = manual.both();
    read.full(&list(40, true, THREE));
    let mut proxy = joined(&platform, 3);
    // It would go on for ever.
    watch.raw("HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.chunk("\n");
    watch.until_it_ends();
    let mut next = manual.asked();
    next.begin();
    next.object(&list(41, false, &[("s1", DRAINS)]));
    proxy.until("s1:0");
}

#[test]
fn discovery_that_counts_anew_needs_no_restart() {
    let (manual, _platform, mut proxy, watch) = watched(THREE);
    drop(watch);
    // It comes back with a full list of a lower version; a node that is not named is removed.
    let mut next = manual.asked();
    assert!(next.target.contains("from=40"), "{}", next.target);
    next.begin();
    next.object(&list(2, true, &[("s2", READY), ("s3", READY)]));
    proxy.until("s1:0");
    next.object(&list(3, false, &[("s2", DRAINS)]));
    proxy.until("s2:0");
    drop(next);
    // It counts anew once more, and speaks only of changes: the full list is asked for.
    let mut next = manual.asked();
    next.begin();
    next.object(&list(1, false, &[("s9", READY)]));
    next.until_it_ends();
    let read = manual.asked();
    assert!(!read.watches(), "{}", read.target);
    read.full(&list(1, true, &[("s9", READY)]));
    proxy.until("s3:0");
    let mut next = manual.asked();
    assert!(next.target.contains("from=1"), "{}", next.target);
    next.begin();
    next.object(&list(2, false, &[("s9", DRAINS)]));
    proxy.until("s9:0");
}

#[test]
fn a_source_that_was_left_undoes_nothing() {
    let (_old, platform, mut proxy, mut watch) = watched(THREE);
    let moved = Manual::start();
    platform.configure(moved.address, 64, 3.0);
    platform.signal(Signal::HUP);
    let (mut next, read) = moved.both();
    // Until the new place has spoken, the old one counts.
    watch.object(&list(41, false, &[("s1", DRAINS)]));
    proxy.until("s1:0");
    read.full(&list(7, true, &[("s2", READY), ("s3", READY)]));
    next.begin();
    next.object(&list(8, false, &[("s2", DRAINS)]));
    let said = proxy.until("s2:0");
    assert!(!said.contains("s1:"), "{said}");
    // Both lists of the old place are read before the new one's, and neither brings a node back.
    platform.halted(|| {
        watch.object(&list(50, true, THREE));
        watch.object(&list(51, false, &[("s1", READY)]));
        next.object(&list(9, false, &[("s4", READY)]));
    });
    let said = proxy.until("s4:");
    assert!(!said.contains("s1:") && !said.contains("s2:"), "{said}");
}

// ---- signals ----

#[test]
fn a_reload_while_the_watch_is_dialled_and_two_in_a_row_end_at_the_last_place() {
    let first = Manual::start();
    let platform = Platform::start(first.address, 64);
    // The first place has been asked and never answers.
    let _held = first.both();
    let (second, third) = (Manual::start(), Manual::start());
    platform.halted(|| {
        platform.configure(second.address, 64, 3.0);
        platform.signal(Signal::HUP);
        platform.configure(third.address, 64, 3.0);
        platform.signal(Signal::HUP);
    });
    let (mut watch, read) = third.both();
    read.full(&list(40, true, THREE));
    watch.begin();
    let mut proxy = joined(&platform, 3);
    watch.object(&list(41, false, &[("s1", DRAINS)]));
    proxy.until("s1:0");
}

#[test]
fn settings_that_can_not_be_used_leave_the_old_ones_in_force_and_never_start() {
    let (manual, mut platform, mut proxy, mut watch) = watched(THREE);
    let fine = std::fs::read_to_string(platform.config()).expect("a configuration");
    // Half written first, then whole but of no use: the drain's grace and the rest stand.
    platform.write_config(&fine[..fine.len() / 2]);
    platform.signal(Signal::HUP);
    let mut bad: serde_json::Value = serde_json::from_str(&fine).expect("JSON");
    bad["settings"]["extra"]["backlog"] = json!("much");
    platform.write_config(&bad.to_string());
    platform.until_it_says("`extra.backlog` should be a number of at least 0", || {
        // Nobody falls silent meanwhile.
        watch.chunk("\n");
        ping(&mut proxy);
    });
    watch.object(&list(41, false, &[("s1", DRAINS)]));
    proxy.until("s1:0");
    platform.signal(Signal::TERM);
    assert!(platform.ended().success());
    platform.spawn();
    assert_eq!(platform.ended().code(), Some(2));
    drop(manual);
}

#[test]
fn a_conductor_that_is_told_to_stop_ends_whatever_is_half_done() {
    let (_manual, mut platform, mut proxy, mut watch) = watched(THREE);
    let mut half = stranger(&platform);
    half.stream
        .write_all(&bytes(JOINS)[..20])
        .expect("it reads");
    ping(&mut proxy);
    // Unread input, an unread object of the watch, callers that nobody has accepted, a reload and two signals.
    let mut callers = platform.halted(|| {
        half.stream
            .write_all(&bytes(JOINS)[20..])
            .expect("it reads");
        watch.object(&list(41, false, &[("s1", DRAINS)]));
        let callers: Vec<Party> = (0..5).map(|_| Party::dial(platform.listen)).collect();
        platform.signal(Signal::HUP);
        platform.signal(Signal::TERM);
        platform.signal(Signal::TERM);
        callers
    });
    let ended = platform.ended();
    assert!(ended.success(), "{ended}");
    callers
        .iter_mut()
        .for_each(|party| assert_eq!(party.hear(), None));
    assert_eq!(half.hear(), None);
    while proxy.hear().is_some() {}
}

#[test]
fn an_address_that_is_still_held_is_waited_for_and_a_signal_ends_the_wait() {
    let agent = Agent::start(objects(&["s1"]));
    let mut platform = Platform::prepare(agent.address, 64);
    let held = TcpListener::bind(platform.listen).expect("a port");
    platform.spawn();
    platform.until_it_says("still held", || {});
    platform.signal(Signal::TERM);
    let ended = platform.ended();
    assert!(ended.success(), "{ended}");
    platform.spawn();
    platform.until_it_says("still held", || {});
    // A reload while it starts is no reason to end either.
    platform.signal(Signal::HUP);
    drop(held);
    platform.until_it_listens();
    joined(&platform, 3);
}
