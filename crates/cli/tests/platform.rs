//! A controller on a platform as a process on loopback in ordinary operation; how it ends is in `endings.rs`.

#[path = "common/platform.rs"]
mod stage;

use serde_json::json;
use stage::{entry, objects, Agent, Peer, Platform};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_proxy_is_served_through_endpoint_list_changes_and_a_new_discovery_address() {
    let first = Agent::start(objects(&["s1", "s2", "s3"]));
    let mut platform = Platform::start(first.address, 64);
    let mut unidentified = Peer::dial(platform.listen);
    unidentified.send("ping");
    assert_eq!(unidentified.receive().as_deref(), Some("pong"));
    let mut proxy = Peer::dial(platform.listen);
    proxy.send("joined sidecar 3 az a share 12.5 standing 1");
    let message = proxy.receive_until("replace 1");
    proxy.acknowledge(3, &message);
    first
        .publish(json!({"index": 6, "snapshot": false, "endpoints": [entry("s1", "Terminating")]}));
    let message = proxy.receive_until("s1:0");
    proxy.acknowledge(3, &message);
    // Discovery moves: the new place is named by a new configuration, the old one ends.
    let second = Agent::start(first.objects.clone());
    platform.configure(second.address, 64, 2.0);
    platform.signal(rustix::process::Signal::HUP);
    sleep(Duration::from_millis(200));
    first.moved.store(true, Ordering::Relaxed);
    second.publish(json!({"index": 7, "snapshot": false, "endpoints": [entry("s2", "Gone")]}));
    proxy.receive_until("s2:0");
    platform.signal(rustix::process::Signal::TERM);
    let ended = platform
        .child
        .take()
        .expect("it runs")
        .wait()
        .expect("it ends");
    assert!(ended.success(), "{ended}");
}

#[test]
fn unidentified_connections_are_closed_and_take_no_place_from_proxies() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 48);
    let begin = Instant::now();
    let mut silent: Vec<Peer> = (0..90).map(|_| Peer::dial(platform.listen)).collect();
    let mut strange: Vec<Peer> = Vec::new();
    let half = "*3\r\n$6\r\njoined\r\n$7\r\nside";
    let endless = format!("*9\r\n$4000\r\n{}", "x".repeat(3000));
    for text in [
        "GET / HTTP/1.1\r\n\r\n",
        "*-1\r\n",
        "*1\r\n$9999999\r\n",
        half,
        &endless,
    ] {
        let mut peer = Peer::dial(platform.listen);
        peer.stream.write_all(text.as_bytes()).expect("it reads");
        strange.push(peer);
    }
    for text in [
        "joined sidecar 8 az a share 1 standing 1",
        "usage sidecar 1 kind lookup n 1 bad 0 window 1000",
    ] {
        let mut peer = Peer::dial(platform.listen);
        peer.send(text);
        strange.push(peer);
    }
    let mut proxies: Vec<Peer> = (0..8).map(|_| Peer::dial(platform.listen)).collect();
    for (at, proxy) in proxies.iter_mut().enumerate() {
        proxy.send(&format!("joined sidecar {at} az a share 12.5 standing 1"));
    }
    proxies
        .iter_mut()
        .for_each(|proxy| _ = proxy.receive_until("replace 1"));
    strange
        .iter_mut()
        .for_each(|peer| assert_eq!(peer.receive(), None));
    silent
        .iter_mut()
        .for_each(|peer| assert_eq!(peer.receive(), None));
    assert!(
        begin.elapsed() < Duration::from_secs(3),
        "after {:?}",
        begin.elapsed()
    );
    proxies[0].send("ping");
    proxies[0].receive_until("pong");
}
