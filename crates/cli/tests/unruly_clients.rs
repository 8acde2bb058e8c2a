//! Clients of a proxy that send without pause, send only a part of a request, or leave: what other clients get, how
//! much memory the proxy takes, and what reaches the nodes.

#[path = "common/memory.rs"]
mod memory;
#[path = "common/proxy.rs"]
mod proxy;
#[path = "common/senders.rs"]
mod senders;

use memory::{peak_resident_kib, resident_kib};
use proxy::{equal_weights, read_until, start_with_manual_node, ProxyProcess};
use senders::Senders;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use wheelspread::RetryPolicy;
use wheelspread_drill::load::{FastNodes, Faults};

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

/// Limit of the proxy for the buffers of all clients.
const BUFFERS_KIB: u64 = 16 << 10;
/// Memory of the proxy beside the buffers: connections, and what the allocator keeps.
const OTHER_KIB: u64 = 16 << 10;

/// Sends a request on each of many connections, as far as the proxy takes it within 2 s. Checks meanwhile that another
/// client gets its answers, and then that the proxy has not grown by more than its limit for buffers.
fn hold_requests(request: &[u8], clients: usize) {
    let nodes = FastNodes::start(1, false, 1).expect("nodes");
    let settings = format!(
        "sizes: {{buffers: {}, connections_per_node: {clients}}}",
        BUFFERS_KIB << 10
    );
    let proxy = ProxyProcess::new(&settings, &equal_weights(&nodes), RetryPolicy::Never);
    let before = resident_kib(proxy.id());
    let mut senders = Senders::connect(proxy.address.into(), clients);
    senders.send_for(Duration::from_secs(2), request, &[]);
    for _ in 0..10 {
        let begin = Instant::now();
        let mut client = proxy.client();
        client.write_all(SMALL_REQUEST).expect("sent");
        let answer = read_until(&mut client, "\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(begin.elapsed() < ANSWER_TIME_MAX, "{:?}", begin.elapsed());
    }
    let growth = peak_resident_kib(proxy.id()).saturating_sub(before);
    assert!(growth < BUFFERS_KIB + OTHER_KIB, "grown by {growth} KiB");
}

/// A request whose head announces `announced` bytes of body, with `sent` bytes.
fn large_request(announced: usize, sent: usize) -> Vec<u8> {
    let head = format!("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: {announced}\r\n\r\n");
    let mut request = head.into_bytes();
    request.resize(request.len() + sent, b'x');
    request
}

// The buffers of all clients together had no limit: 300 clients that stopped half way took 264 MB.
#[test]
fn clients_that_stop_half_way_through_a_request_take_no_more_memory_than_the_limit() {
    hold_requests(&large_request(1_000_000, 900_000), 200);
}

// Complete requests that wait for a node were not limited: 1500 of 30 kB took 41 MB where 8 MB were allowed.
#[test]
fn requests_that_wait_for_a_node_take_no_more_memory_than_the_limit() {
    const REQUEST_BYTES: usize = 30_000;
    const BUFFER_BYTES: usize = 1_000_000;
    let nodes = FastNodes::start(1, false, 1).expect("nodes");
    let faults = Faults {
        silent: 1.0,
        ..Faults::default()
    };
    nodes.set_faults(0, faults);
    let settings = format!(
        "avoid: {{after_errors: 0}}\nsizes: {{body: 60000, buffers: {BUFFER_BYTES}, connections_per_node: 200}}"
    );
    let proxy = ProxyProcess::new(&settings, &equal_weights(&nodes), RetryPolicy::Never);
    let request = large_request(REQUEST_BYTES, REQUEST_BYTES);
    let mut clients: Vec<TcpStream> = (0..100).map(|_| proxy.client()).collect();
    for client in &mut clients {
        client.write_all(&request).expect("sent");
    }
    let answers: Vec<String> = clients
        .iter_mut()
        .map(|client| read_until(client, "\r\n\r\n"))
        .collect();
    let count = |status: &str| {
        let start = format!("HTTP/1.1 {status} ");
        answers
            .iter()
            .filter(|text| text.starts_with(&start))
            .count()
    };
    let (waited, rejected) = (count("504"), count("503"));
    assert_eq!(waited + rejected, clients.len(), "{answers:?}");
    assert!(
        (1..=BUFFER_BYTES / REQUEST_BYTES).contains(&waited),
        "{waited} requests waited for the node"
    );
}

// Guards the limit of a head, beside that of all buffers: a head of short fields that never ends.
#[test]
fn clients_with_heads_of_many_short_fields_take_no_more_memory_than_the_limit() {
    let fields = b"a:b\r\n".repeat(3000);
    let request = [b"GET /quote HTTP/1.1\r\nHost: a\r\n".as_slice(), &fields].concat();
    hold_requests(&request, 400);
}

/// Sends 40 requests of 60 kB at once, of which the proxy reads only a part while the node has not answered the first.
fn send_pipelined(client: &mut TcpStream) {
    let mut request =
        b"POST /book HTTP/1.1\r\nHost: a\r\nx-request-id: 1\r\nContent-Length: 60000\r\n\r\n"
            .to_vec();
    request.resize(request.len() + 60_000, b'x');
    client.write_all(&request.repeat(40)).expect("sent");
}

// The proxy read on in the requests of a client that had closed its connection, and started the next one.
#[test]
fn no_request_is_sent_on_after_its_client_has_left() {
    let (listener, proxy) = start_with_manual_node(RetryPolicy::Never);
    let mut client = proxy.client();
    send_pipelined(&mut client);
    let (mut node, _) = listener.accept().expect("connection accepted");
    read_until(&mut node, "\r\n\r\n");
    node.read_exact(&mut vec![0; 60_000]).expect("the body");
    drop(client);
    std::thread::sleep(Duration::from_millis(100));
    node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    node.set_read_timeout(Some(Duration::from_secs(1)))
        .expect("set");
    let mut rest = Vec::new();
    let read = node.read_to_end(&mut rest);
    assert!(
        rest.is_empty(),
        "the node got {} bytes of another request, then {read:?}",
        rest.len()
    );
}

// Guards pipelines of clients that stay: each request is sent on.
#[test]
fn pipelined_requests_of_a_client_that_stays_are_all_sent_on() {
    let nodes = FastNodes::start(1, true, 1).expect("nodes");
    let proxy = ProxyProcess::new("", &equal_weights(&nodes), RetryPolicy::Never);
    let mut client = proxy.client();
    let sending = client.try_clone().expect("cloned");
    let sender = std::thread::spawn(move || {
        let mut sending = sending;
        send_pipelined(&mut sending);
        sending
    });
    for _ in 0..40 {
        // The text begins with the body of the response before.
        let text = read_until(&mut client, "\r\n\r\n");
        assert_eq!(text.matches("HTTP/1.1 200").count(), 1, "{text}");
    }
    sender.join().expect("sent");
}
