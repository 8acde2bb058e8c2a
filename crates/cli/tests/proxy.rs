//! A proxy process: node selection, retries, faulty clients and nodes, table changes.

#[path = "common/proxy.rs"]
mod common;

use common::{equal_weights, read_until, start_with_manual_node, ProxyProcess};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::Version;
use wheelspread_drill::load::{load, FastNodes, Faults, Load};
use wheelspread_files::read_tables;
use wheelspread_xds::status;

#[test]
fn selections_match_published_weights() {
    let nodes = FastNodes::start(6, false, 1).expect("nodes");
    let weights = [1.0, 2.0, 3.0, 5.0, 8.0, 13.0];
    let entries: Vec<_> = nodes.addresses.iter().copied().zip(weights).collect();
    let mut proxy = ProxyProcess::new(
        "avoid: {after_errors: 0}",
        &entries,
        RetryPolicy::IfUnprocessed,
    );
    let mut last = vec![0; 6];
    let mut assert_shares = |weights: &[f64], first_attempts: f64| {
        let executed = nodes.execution_counts().executed;
        let sum: f64 = weights.iter().sum();
        for (node, weight) in weights.iter().enumerate() {
            let share = (executed[node] - last[node]) as f64 / first_attempts;
            // Tolerance: 2 % of the expected share, or three standard deviations of it if that is more.
            let expected_share = weight / sum;
            let tolerance = (expected_share * 0.02)
                .max(3.0 * (expected_share * (1.0 - expected_share) / first_attempts).sqrt());
            assert!(
                (share - expected_share).abs() <= tolerance,
                "seed 11, node {node}: share {share:.4}, expected {expected_share:.4}"
            );
        }
        last = executed;
    };
    let loaded = proxy.load("quote", 32, 100_000, 0);
    assert_eq!(loaded.responses, BTreeMap::from([(200, 100_000)]));
    assert_shares(&weights, 100_000.0);
    // New weights, checked by the requests executed after their publication.
    let reversed_weights = [13.0, 8.0, 5.0, 3.0, 2.0, 1.0];
    let entries: Vec<_> = nodes
        .addresses
        .iter()
        .copied()
        .zip(reversed_weights)
        .collect();
    proxy.publish(&entries, RetryPolicy::IfUnprocessed, None);
    proxy.wait_until_applied();
    proxy.load("quote", 32, 60_000, 100_000);
    assert_shares(&reversed_weights, 60_000.0);
}

#[test]
fn a_table_change_under_load_fails_no_request_and_takes_effect_at_once() {
    let nodes = FastNodes::start(4, false, 1).expect("nodes");
    let mut proxy = ProxyProcess::new("", &equal_weights(&nodes), RetryPolicy::IfUnprocessed);
    let address = proxy.address;
    let load_thread = std::thread::spawn(move || {
        let max_duration = Span::from_seconds(60.0);
        let options = Load {
            target: address,
            operation: "quote",
            connections: 16,
            invocations: 40_000,
            max_duration,
            first_id: 0,
        };
        load(options).expect("the load run ends")
    });
    for round in 0..20 {
        let entries: Vec<_> = equal_weights(&nodes)
            .into_iter()
            .skip(round % 3)
            .take(2)
            .collect();
        proxy.publish(&entries, RetryPolicy::IfUnprocessed, None);
        std::thread::sleep(Duration::from_millis(15));
    }
    let loaded = load_thread.join().expect("the thread finishes");
    assert_eq!(
        loaded.responses.get(&200),
        Some(&40_000),
        "{:?}",
        loaded.responses
    );
    proxy.publish(
        &equal_weights(&nodes)[..1],
        RetryPolicy::IfUnprocessed,
        None,
    );
    proxy.wait_until_applied();
    let before = nodes.execution_counts().executed;
    proxy.load("quote", 8, 1000, 0);
    let after = nodes.execution_counts().executed;
    assert_eq!(
        (after[0] - before[0], &after[1..]),
        (1000, &before[1..]),
        "a removed node must get no request"
    );
}

#[test]
fn side_effecting_requests_are_never_retried_after_they_may_have_executed() {
    let nodes = FastNodes::start(4, true, 5).expect("nodes");
    let faults = Faults {
        reset: 0.02,
        silent: 0.0005,
        error: 0.05,
        refuse: 0.05,
        close: 0.05,
    };
    (0..4).for_each(|node| nodes.set_faults(node, faults));
    // The tables allow retries after any failure; the proxy must not retry a side-effecting request nevertheless.
    let proxy = ProxyProcess::new(
        "avoid: {after_errors: 0}",
        &equal_weights(&nodes),
        RetryPolicy::TwiceOnAnyFailure,
    );
    let loaded = proxy.load("book", 64, 30_000, 0);
    let effects = nodes.execution_counts().effects;
    assert_eq!(effects.values().filter(|count| **count > 1).count(), 0);
    assert!(effects.len() > 28_000, "{}", effects.len());
    // Errors and resets reach the client; most refusals are retried at another node with success.
    let count = |status: u16| loaded.responses.get(&status).copied().unwrap_or(0);
    assert!(
        count(500) > 1000 && count(502) > 300 && count(504) > 0 && count(503) < 400,
        "{:?}",
        loaded.responses
    );
    // Requests of an idempotent operation are retried, and nearly all succeed.
    let loaded = proxy.load("quote", 64, 10_000, 1_000_000);
    let succeeded = loaded.responses.get(&200).copied().unwrap_or(0);
    assert!(succeeded > 9_960, "{:?}", loaded.responses);
}

#[test]
fn a_node_that_stops_answering_is_ejected_and_returns_after_probation() {
    let nodes = FastNodes::start(3, false, 5).expect("nodes");
    nodes.set_faults(
        0,
        Faults {
            silent: 1.0,
            ..Faults::default()
        },
    );
    let proxy = ProxyProcess::new(
        "avoid: {after_errors: 3, span: 700ms}",
        &equal_weights(&nodes),
        RetryPolicy::OnceOnAnyFailure,
    );
    proxy.load("quote", 4, 2000, 0);
    let requests_while_silent = nodes.execution_counts().executed[0];
    assert!(
        (3..40).contains(&requests_while_silent),
        "{requests_while_silent} of 2000 requests went to the silent node"
    );
    nodes.set_faults(0, Faults::default());
    std::thread::sleep(Duration::from_millis(3000));
    proxy.load("quote", 4, 3000, 0);
    let requests_after_return = nodes.execution_counts().executed[0] - requests_while_silent;
    assert!(
        requests_after_return > 600,
        "{requests_after_return} of 3000 requests went to the returned node"
    );
}

#[test]
fn requests_succeed_beside_refusing_nodes_zero_weights_and_a_thousand_entries() {
    let nodes = FastNodes::start(2, false, 5).expect("nodes");
    let mut entries = equal_weights(&nodes);
    let refusing: Vec<_> = (0..1000)
        .map(|_| (SocketAddrV4::new(Ipv4Addr::new(127, 9, 9, 9), 9), 0.002))
        .collect();
    entries.extend(
        refusing
            .into_iter()
            .enumerate()
            .map(|(index, (address, weight))| {
                (SocketAddrV4::new(*address.ip(), 1 + index as u16), weight)
            }),
    );
    let mut proxy = ProxyProcess::new("", &entries, RetryPolicy::IfUnprocessed);
    let loaded = proxy.load("quote", 8, 4000, 0);
    // Nodes that refuse connections have half of the weight: one retry recovers most of those requests.
    let succeeded = loaded.responses.get(&200).copied().unwrap_or(0);
    assert!(succeeded > 2600, "{:?}", loaded.responses);
    assert!(
        loaded
            .responses
            .keys()
            .all(|status| [200, 502].contains(status)),
        "{:?}",
        loaded.responses
    );
    proxy.publish(&[], RetryPolicy::Never, None);
    proxy.wait_until_applied();
    assert!(proxy
        .exchange(b"GET /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 503"));
    // With an admission limit of 0 the proxy answers 429 at once, with a `Retry-After` header.
    proxy.publish(&equal_weights(&nodes), RetryPolicy::Never, Some(0.0));
    proxy.wait_until_applied();
    let answer = proxy.exchange(b"GET /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(
        answer.starts_with("HTTP/1.1 429") && answer.contains("Retry-After: 1"),
        "{answer}"
    );
}

#[test]
fn an_incomplete_table_is_rejected_and_reported() {
    let nodes = FastNodes::start(2, false, 5).expect("nodes");
    let proxy = ProxyProcess::new("", &equal_weights(&nodes), RetryPolicy::Never);
    let root = proxy.root();
    let published = read_tables(&root.proxy("g1"))
        .expect("complete tables")
        .expect("tables exist");
    let incomplete_version = root.version(Version(7));
    std::fs::create_dir_all(&incomplete_version).expect("created");
    std::fs::write(
        incomplete_version.join("eds.json"),
        "{\"versionInfo\": \"7\", \"reso",
    )
    .expect("written");
    std::fs::write(incomplete_version.join("rds.json"), "{}").expect("written");
    std::os::unix::fs::symlink("../../versions/000000000007", root.proxy("g1").join("next"))
        .expect("created");
    std::fs::rename(
        root.proxy("g1").join("next"),
        root.proxy("g1").join("current"),
    )
    .expect("file replaced");
    let begin = Instant::now();
    loop {
        let text = std::fs::read_to_string(root.status("g1")).expect("the status file exists");
        let status_file = status::read(&text).expect("a complete status file");
        if let Some((version, reason)) = status_file.rejected {
            assert_eq!(
                (version, status_file.version),
                (Version(7), published.tables.version),
                "{reason}"
            );
            break;
        }
        assert!(begin.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(
        proxy.load("quote", 4, 500, 0).responses,
        BTreeMap::from([(200, 500)])
    );
}

#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "a content length with chunked encoding")]
#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400; "two content lengths")]
#[test_case("GET /quote HTTP/1.1\nHost: a\n\n", 400; "bare line feeds")]
#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400; "an invalid chunk size")]
#[test_case("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404; "an unknown operation")]
#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", 413; "a body too long")]
fn unsupported_requests_are_answered_and_the_connection_closed(text: &str, status: u16) {
    let nodes = FastNodes::start(1, false, 5).expect("nodes");
    let proxy = ProxyProcess::new("", &equal_weights(&nodes), RetryPolicy::Never);
    // A request smuggled behind the invalid one must not reach the node.
    let answer = proxy.exchange(format!("{text}GET /quote HTTP/1.1\r\nHost: b\r\n\r\n").as_bytes());
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert_eq!(
        (
            answer.matches("HTTP/1.1").count(),
            nodes.execution_counts().executed[0]
        ),
        (1, 0),
        "{answer}"
    );
    assert!(answer.contains("Connection: close"));
    let long = format!(
        "GET /quote HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    assert!(proxy.exchange(long.as_bytes()).starts_with("HTTP/1.1 431 "));
}

/// Starts a proxy with one node, a listener whose connections the test serves itself.
#[test]
fn bodies_are_forwarded_complete_in_both_directions_and_connections_are_reused() {
    let (listener, proxy) = start_with_manual_node(RetryPolicy::Never);
    let mut client = proxy.client();
    client
        .write_all(
            b"POST /quote HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
        )
        .expect("sent");
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 100 "));
    for piece in ["4\r\nwh", "ol\r\n", "1\r\ne\r\n0\r\n", "\r\n"] {
        client.write_all(piece.as_bytes()).expect("sent");
        std::thread::sleep(Duration::from_millis(10));
    }
    let (mut node, _) = listener.accept().expect("connection accepted");
    let request = read_until(&mut node, "0\r\n\r\n");
    assert!(
        request.ends_with("\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n")
            && !request.contains("Expect"),
        "{request}"
    );
    // A response much longer than the proxy's buffers, read slowly by the client, must arrive complete.
    let long = vec![b'x'; 3_000_000];
    let expected = long.len();
    let sender = std::thread::spawn(move || {
        node.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", long.len()).as_bytes(),
        )
        .expect("sent");
        node.write_all(&long).expect("read in time");
        node
    });
    read_until(&mut client, "\r\n\r\n");
    let (mut got, mut piece) = (0, vec![0u8; 100_000]);
    while got < expected {
        std::thread::sleep(Duration::from_millis(2));
        got += client.read(&mut piece).expect("more");
    }
    let mut node = sender.join().expect("sent");
    // A second request on the same two connections; the client closes its sending side meanwhile.
    client
        .write_all(b"GET /quote HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("half closed");
    assert!(read_until(&mut node, "\r\n\r\n").starts_with("GET /quote"));
    node.write_all(b"HTTP/1.1 200 OK\r\n\r\nuntil the end")
        .expect("sent");
    drop(node);
    let mut rest = String::new();
    client.read_to_string(&mut rest).expect("the end");
    assert!(rest.ends_with("\r\n\r\nuntil the end"), "{rest}");
}

// A body longer than what is read in one turn must be read to its end, though no further bytes arrive meanwhile.
#[test]
fn a_long_request_that_arrives_at_once_is_forwarded_complete() {
    let (listener, proxy) = start_with_manual_node(RetryPolicy::Never);
    let mut client = proxy.client();
    client
        .set_write_timeout(Some(Duration::from_secs(10)))
        .expect("set");
    let body = vec![b'x'; 1 << 20];
    let head = format!(
        "POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    client.write_all(head.as_bytes()).expect("sent");
    client.write_all(&body).expect("sent");
    let (mut node, _) = listener.accept().expect("connection accepted");
    read_until(&mut node, "\r\n\r\n");
    let mut received = vec![0; body.len()];
    node.read_exact(&mut received).expect("the whole body");
    assert!(received == body);
    node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

#[test]
fn a_connection_closed_while_idle_is_replaced_and_one_closed_under_a_request_is_not_retried() {
    let (listener, proxy) = start_with_manual_node(RetryPolicy::IfUnprocessed);
    let send_request = |client: &mut TcpStream| {
        client
            .write_all(b"GET /book HTTP/1.1\r\nHost: a\r\nx-request-id: 1\r\n\r\n")
            .expect("sent");
    };
    let mut client = proxy.client();
    send_request(&mut client);
    let (mut node, _) = listener.accept().expect("connection accepted");
    read_until(&mut node, "\r\n\r\n");
    node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    read_until(&mut client, "\r\n\r\n");
    // The node closes the idle connection. The proxy notices before it writes, so the next request goes over a new one.
    drop(node);
    std::thread::sleep(Duration::from_millis(50));
    send_request(&mut client);
    let (mut node, _) = listener.accept().expect("new connection accepted");
    read_until(&mut node, "\r\n\r\n");
    node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    read_until(&mut client, "\r\n\r\n");
    // The node closes after it has read the request and before it answers: the request may have been executed, so the
    // proxy does not retry it.
    send_request(&mut client);
    read_until(&mut node, "\r\n\r\n");
    drop(node);
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 502 "));
    listener.set_nonblocking(true).expect("set");
    std::thread::sleep(Duration::from_millis(100));
    assert!(
        listener.accept().is_err(),
        "the proxy must not connect again"
    );
}

#[test]
fn a_disconnected_client_frees_its_node_and_a_slow_node_times_out() {
    let (listener, proxy) = start_with_manual_node(RetryPolicy::Never);
    let mut client = proxy.client();
    client
        .write_all(b"GET /quote HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    let (mut node, _) = listener.accept().expect("connection accepted");
    read_until(&mut node, "\r\n\r\n");
    let client_handle = Arc::new(client);
    wheelspread_reactor::reset(Arc::try_unwrap(client_handle).expect("a single owner"));
    node.set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    assert!(
        matches!(node.read(&mut [0u8; 1]), Ok(0) | Err(_)),
        "the proxy must close the connection to the node"
    );
    let begin = Instant::now();
    let answer = proxy.exchange(b"GET /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(
        (500..900).contains(&begin.elapsed().as_millis()),
        "{:?}",
        begin.elapsed()
    );
    // A client that disconnects within a request.
    let mut disconnecting = proxy.client();
    disconnecting
        .write_all(b"GET /quote HTTP/1.1\r\nHo")
        .expect("sent");
    drop(disconnecting);
    assert!(proxy.path("proxy.yaml").exists());
}
