//! A conductor of a platform as a process on loopback, in its ordinary life; its ends are in `endings.rs`.

#[path = "common/platform.rs"]
mod stage;

use serde_json::json;
use stage::{entry, objects, Agent, Party, Platform};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_proxy_is_served_through_changes_of_the_list_and_a_move_of_discovery() {
    let first = Agent::start(objects(&["s1", "s2", "s3"]));
    let mut platform = Platform::start(first.address, 64);
    let mut sign = Party::dial(platform.listen);
    sign.say("ping");
    assert_eq!(sign.hear().as_deref(), Some("pong"));
    let mut proxy = Party::dial(platform.listen);
    proxy.say("joined sidecar 3 az a share 12.5 standing 1");
    let said = proxy.until("replace 1");
    proxy.answer(3, &said);
    first.say(json!({"index": 6, "snapshot": false, "endpoints": [entry("s1", "Terminating")]}));
    let said = proxy.until("s1:0");
    proxy.answer(3, &said);
    // Discovery moves: the new place is named by a new configuration, the old one ends.
    let second = Agent::start(first.objects.clone());
    platform.configure(second.address, 64, 2.0);
    platform.signal(rustix::process::Signal::HUP);
    sleep(Duration::from_millis(200));
    first.moved.store(true, Ordering::Relaxed);
    second.say(json!({"index": 7, "snapshot": false, "endpoints": [entry("s2", "Gone")]}));
    proxy.until("s2:0");
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
fn strangers_are_sent_away_and_take_no_room_from_proxies() {
    let agent = Agent::start(objects(&["s1", "s2"]));
    let platform = Platform::start(agent.address, 48);
    let begin = Instant::now();
    let mut silent: Vec<Party> = (0..90).map(|_| Party::dial(platform.listen)).collect();
    let mut strange: Vec<Party> = Vec::new();
    let half = "*3\r\n$6\r\njoined\r\n$7\r\nside";
    let endless = format!("*9\r\n$4000\r\n{}", "x".repeat(3000));
    for text in [
        "GET / HTTP/1.1\r\n\r\n",
        "*-1\r\n",
        "*1\r\n$9999999\r\n",
        half,
        &endless,
    ] {
        let mut party = Party::dial(platform.listen);
        party.stream.write_all(text.as_bytes()).expect("it reads");
        strange.push(party);
    }
    for text in [
        "joined sidecar 8 az a share 1 standing 1",
        "usage sidecar 1 kind lookup n 1 bad 0 window 1000",
    ] {
        let mut party = Party::dial(platform.listen);
        party.say(text);
        strange.push(party);
    }
    let mut proxies: Vec<Party> = (0..8).map(|_| Party::dial(platform.listen)).collect();
    for (at, proxy) in proxies.iter_mut().enumerate() {
        proxy.say(&format!("joined sidecar {at} az a share 12.5 standing 1"));
    }
    proxies
        .iter_mut()
        .for_each(|proxy| _ = proxy.until("replace 1"));
    strange
        .iter_mut()
        .for_each(|party| assert_eq!(party.hear(), None));
    silent
        .iter_mut()
        .for_each(|party| assert_eq!(party.hear(), None));
    assert!(
        begin.elapsed() < Duration::from_secs(3),
        "after {:?}",
        begin.elapsed()
    );
    proxies[0].say("ping");
    proxies[0].until("pong");
}
