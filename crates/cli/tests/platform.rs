//! A controller process that runs with `--platform` on loopback, in ordinary operation. The closing of connections and
//! the end of the process are covered by `endings.rs`.

#[path = "common/platform.rs"]
mod common;

use common::{entry, ready_nodes, ControllerProcess, DiscoveryAgent, Peer};
use serde_json::json;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_proxy_is_served_through_endpoint_list_changes_and_a_new_discovery_address() {
    let first = DiscoveryAgent::start(ready_nodes(&["s1", "s2", "s3"]));
    let mut controller = ControllerProcess::start(first.address, 64);
    let mut unidentified = Peer::dial(controller.listen);
    unidentified.send("ping");
    assert_eq!(unidentified.receive().as_deref(), Some("pong"));
    let mut proxy = Peer::dial(controller.listen);
    proxy.send("joined sidecar 3 az a share 12.5 standing 1");
    let message = proxy.receive_until("replace 1");
    proxy.acknowledge(3, &message);
    first
        .publish(json!({"index": 6, "snapshot": false, "endpoints": [entry("s1", "Terminating")]}));
    let message = proxy.receive_until("s1:0");
    proxy.acknowledge(3, &message);
    // Discovery moves: a reloaded configuration names the new address, and the old agent closes its connections.
    let second = DiscoveryAgent::start(first.objects.clone());
    controller.configure(second.address, 64, 2.0);
    controller.signal(rustix::process::Signal::HUP);
    sleep(Duration::from_millis(200));
    first.stopped.store(true, Ordering::Relaxed);
    second.publish(json!({"index": 7, "snapshot": false, "endpoints": [entry("s2", "Gone")]}));
    proxy.receive_until("s2:0");
    controller.signal(rustix::process::Signal::TERM);
    let status = controller
        .child
        .take()
        .expect("the process runs")
        .wait()
        .expect("the process exits");
    assert!(status.success(), "{status}");
}

#[test]
fn unidentified_connections_are_closed_and_take_no_place_from_proxies() {
    let agent = DiscoveryAgent::start(ready_nodes(&["s1", "s2"]));
    let controller = ControllerProcess::start(agent.address, 48);
    let begin = Instant::now();
    let mut silent: Vec<Peer> = (0..90).map(|_| Peer::dial(controller.listen)).collect();
    let mut invalid: Vec<Peer> = Vec::new();
    let partial_join = "*3\r\n$6\r\njoined\r\n$7\r\nside";
    let partial_string = format!("*9\r\n$4000\r\n{}", "x".repeat(3000));
    for text in [
        "GET / HTTP/1.1\r\n\r\n",
        "*-1\r\n",
        "*1\r\n$9999999\r\n",
        partial_join,
        &partial_string,
    ] {
        let mut peer = Peer::dial(controller.listen);
        peer.stream
            .write_all(text.as_bytes())
            .expect("the controller reads");
        invalid.push(peer);
    }
    for text in [
        "joined sidecar 8 az a share 1 standing 1",
        "usage sidecar 1 kind lookup n 1 bad 0 window 1000",
    ] {
        let mut peer = Peer::dial(controller.listen);
        peer.send(text);
        invalid.push(peer);
    }
    let mut proxies: Vec<Peer> = (0..8).map(|_| Peer::dial(controller.listen)).collect();
    for (index, proxy) in proxies.iter_mut().enumerate() {
        proxy.send(&format!(
            "joined sidecar {index} az a share 12.5 standing 1"
        ));
    }
    proxies
        .iter_mut()
        .for_each(|proxy| _ = proxy.receive_until("replace 1"));
    invalid
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
