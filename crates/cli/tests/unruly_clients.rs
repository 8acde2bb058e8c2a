//! Clients of a proxy that send without pause, send only a part of a request, or leave: what other clients get, how
//! much memory the proxy takes, and what reaches the nodes.

#[path = "common/memory.rs"]
mod memory;
#[path = "common/proxy.rs"]
mod proxy;

use proxy::{read_until, ProxyProcess};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use wheelspread::RetryPolicy;

const SMALL_REQUEST: &[u8] = b"GET /quote HTTP/1.1\r\nHost: a\r\n\r\n";
/// The longest time that a small request of another client may take: the integration timeout of its operation.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(600);

/// A proxy without usable entries, which answers each request itself with 503.
fn start_without_entries() -> ProxyProcess {
    ProxyProcess::new("", &[], RetryPolicy::Never)
}

/// Sends small requests without pause until `end`, or until the proxy takes nothing for a second.
fn flood(stream: &mut TcpStream, end: Instant) {
    let requests = SMALL_REQUEST.repeat(4096);
    let stalled = Duration::from_secs(1);
    stream.set_write_timeout(Some(stalled)).expect("set");
    while Instant::now() < end && stream.write_all(&requests).is_ok() {}
}

// A client whose pipelined requests the proxy answers itself was served until its socket was empty, so never ended.
#[test]
fn a_client_that_sends_without_pause_does_not_delay_others() {
    let proxy = start_without_entries();
    let end = Instant::now() + Duration::from_secs(4);
    let mut sender = proxy.client();
    let mut receiver = sender.try_clone().expect("cloned");
    let sending = std::thread::spawn(move || flood(&mut sender, end));
    let receiving = std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 20];
        while Instant::now() < end && receiver.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    let mut slowest = Duration::ZERO;
    while Instant::now() + ANSWER_TIME_MAX < end {
        let begin = Instant::now();
        let mut client = proxy.client();
        client.write_all(SMALL_REQUEST).expect("sent");
        assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 503"));
        slowest = slowest.max(begin.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(slowest < ANSWER_TIME_MAX, "{slowest:?}");
    sending.join().expect("the thread finishes");
    receiving.join().expect("the thread finishes");
}

// Responses to a client that does not read them were buffered without a limit.
#[test]
fn a_client_that_does_not_read_its_responses_is_not_read_from() {
    let proxy = start_without_entries();
    let mut sender = proxy.client();
    let begin = Instant::now();
    flood(&mut sender, begin + Duration::from_secs(15));
    let taken_for = begin.elapsed();
    assert!(
        taken_for < Duration::from_secs(12),
        "the proxy took requests for {taken_for:?}"
    );
}
