//! The proxy as a process: picks, repeats, clients and nodes that misbehave, tables that change.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_controller_core::Deployment;
use wheelspread_drill::load::{load, FastNodes, Faults, Load, LoadResult};
use wheelspread_files::{read_tables, Swap, TableRoot};
use wheelspread_xds::{status, tables};

const PLAN: &str = r#"{
  "zones": ["north"], "operations": [
    {"name": "quote", "latency_objective": "200ms", "integration_timeout": "600ms", "billed_value": 1,
     "repeat": "idempotent"},
    {"name": "book", "latency_objective": "200ms", "integration_timeout": "600ms", "billed_value": 1,
     "repeat": "side-effecting"}],
  "rules": {"without_node_at_most": "2s", "drain_grace": "2s", "cold_start_share": 0.2,
            "warm_after": "10s", "cold_overload_factor": 4, "cold_overload_span": "2s"},
  "channel": {"lines_waiting_at_most": 1000, "lines_per_second": 1000, "delay_at_most": "500ms"}}"#;

struct Stage {
    directory: tempfile::TempDir,
    address: SocketAddrV4,
    child: Child,
    version: u64,
    plan: Deployment,
}

fn free() -> SocketAddrV4 {
    wheelspread_drill::own_port().expect("a port")
}

impl Stage {
    /// A proxy that goes by what is swapped into a directory; no conductor is there.
    fn new(more: &str, lines: &[(SocketAddrV4, f64)], retry: RetryPolicy) -> Stage {
        let directory = tempfile::tempdir().expect("a directory");
        TableRoot::new(directory.path().join("tables"))
            .prepare()
            .expect("made");
        let address = free();
        let text = format!(
            "proxy: {{name: g1, zone: north, listen: \"{address}\", seed: 11}}\n\
             conductors: [{{reports: \"{}\", tables: tables}}]\n\
             operations:\n  - {{name: quote, repeat: idempotent, integration_timeout: 600ms}}\n  \
             - {{name: book, repeat: side-effecting, integration_timeout: 600ms}}\n\
             follows_unjoined: true\nrepeats: {{part: 1, at_once: 1000}}\n{more}\n",
            free()
        );
        std::fs::write(directory.path().join("proxy.yaml"), text).expect("written");
        let plan: Deployment = serde_json::from_str(PLAN).expect("a plan");
        let mut stage = Stage {
            child: start(&directory),
            directory,
            address,
            version: 0,
            plan,
        };
        stage.publish(lines, retry, None);
        stage.wait();
        stage
    }

    fn root(&self) -> TableRoot {
        TableRoot::new(self.directory.path().join("tables"))
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn publish(&mut self, lines: &[(SocketAddrV4, f64)], retry: RetryPolicy, quota: Option<f64>) {
        self.version += 1;
        let line = |(address, weight): &(SocketAddrV4, f64)| TableEntry {
            node: NodeId {
                address: address.ip().octets(),
                port: address.port(),
            },
            zone: "north".to_string(),
            weight: *weight,
        };
        let table = |operation| OperationTable {
            operation: OperationId(operation),
            table: TableId(0),
            entries: lines.iter().map(line).collect(),
            admission_limit: quota,
            retry,
        };
        let set = TableSet {
            bundle: BundleId(0),
            configuration: 0,
            version: Version(self.version),
            operations: vec![table(0), table(1)],
        };
        let documents = tables::write(&set, &self.plan).expect("written");
        Swap::new(&self.root(), set.version, &documents, "g1")
            .run()
            .expect("swapped");
    }

    /// Until the proxy says that it holds what was published last.
    fn wait(&self) {
        let begin = Instant::now();
        let holds = || {
            let text = std::fs::read_to_string(self.root().status("g1")).ok()?;
            Some(status::read(&text).ok()?.version.0)
        };
        while holds() != Some(self.version) {
            assert!(
                begin.elapsed() < Duration::from_secs(10),
                "it holds {:?}",
                holds()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn load(
        &self,
        operation: &str,
        connections: usize,
        invocations: u64,
        first_id: u64,
    ) -> LoadResult {
        let max_duration = Span::from_seconds(120.0);
        let target = self.address;
        load(Load {
            target,
            operation,
            connections,
            invocations,
            max_duration,
            first_id,
        })
        .expect("all have an end")
    }

    fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("set");
        stream
    }

    /// Sends bytes and reads until the proxy closes, or says nothing for a while.
    fn talk(&self, bytes: &[u8]) -> String {
        let mut stream = self.client();
        stream.write_all(bytes).expect("sent");
        stream
            .set_read_timeout(Some(Duration::from_millis(900)))
            .expect("set");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }
}

fn start(directory: &tempfile::TempDir) -> Child {
    Command::new(env!("CARGO_BIN_EXE_wheelspread"))
        .arg("proxy")
        .arg(directory.path().join("proxy.yaml"))
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts")
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn equal_weights(nodes: &FastNodes) -> Vec<(SocketAddrV4, f64)> {
    nodes
        .addresses
        .iter()
        .map(|address| (*address, 1.0))
        .collect()
}

#[test]
fn picks_match_published_weights() {
    let nodes = FastNodes::start(6, false, 1).expect("nodes");
    let weights = [1.0, 2.0, 3.0, 5.0, 8.0, 13.0];
    let lines: Vec<_> = nodes.addresses.iter().copied().zip(weights).collect();
    let mut stage = Stage::new(
        "avoid: {after_errors: 0}",
        &lines,
        RetryPolicy::IfUnprocessed,
    );
    let mut last = vec![0; 6];
    let mut judge = |weights: &[f64], first_tries: f64| {
        let executed = nodes.execution_counts().executed;
        let sum: f64 = weights.iter().sum();
        for (node, weight) in weights.iter().enumerate() {
            let share = (executed[node] - last[node]) as f64 / first_tries;
            // Two percent, or what chance does to the smallest share (three standard deviations).
            let wanted = weight / sum;
            let off = (wanted * 0.02).max(3.0 * (wanted * (1.0 - wanted) / first_tries).sqrt());
            assert!(
                (share - wanted).abs() <= off,
                "seed 11, node {node}: {share:.4} for {wanted:.4}"
            );
        }
        last = executed;
    };
    let loaded = stage.load("quote", 32, 100_000, 0);
    assert_eq!(loaded.responses, BTreeMap::from([(200, 100_000)]));
    judge(&weights, 100_000.0);
    // Other weights from here on, judged by what is executed under them.
    let turned = [13.0, 8.0, 5.0, 3.0, 2.0, 1.0];
    let lines: Vec<_> = nodes.addresses.iter().copied().zip(turned).collect();
    stage.publish(&lines, RetryPolicy::IfUnprocessed, None);
    stage.wait();
    stage.load("quote", 32, 60_000, 100_000);
    judge(&turned, 60_000.0);
}

#[test]
fn a_table_change_under_load_fails_no_request_and_takes_effect_at_once() {
    let nodes = FastNodes::start(4, false, 1).expect("nodes");
    let mut stage = Stage::new("", &equal_weights(&nodes), RetryPolicy::IfUnprocessed);
    let address = stage.address;
    let under_load = std::thread::spawn(move || {
        let max_duration = Span::from_seconds(60.0);
        let wish = Load {
            target: address,
            operation: "quote",
            connections: 16,
            invocations: 40_000,
            max_duration,
            first_id: 0,
        };
        load(wish).expect("all have an end")
    });
    for round in 0..20 {
        let lines: Vec<_> = equal_weights(&nodes)
            .into_iter()
            .skip(round % 3)
            .take(2)
            .collect();
        stage.publish(&lines, RetryPolicy::IfUnprocessed, None);
        std::thread::sleep(Duration::from_millis(15));
    }
    let loaded = under_load.join().expect("it ends");
    assert_eq!(
        loaded.responses.get(&200),
        Some(&40_000),
        "{:?}",
        loaded.responses
    );
    stage.publish(
        &equal_weights(&nodes)[..1],
        RetryPolicy::IfUnprocessed,
        None,
    );
    stage.wait();
    let before = nodes.execution_counts().executed;
    stage.load("quote", 8, 1000, 0);
    let after = nodes.execution_counts().executed;
    assert_eq!(
        (after[0] - before[0], &after[1..]),
        (1000, &before[1..]),
        "nothing goes to a node that left"
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
    // Tables order repeats after any failure, as for another operation: the proxy knows better.
    let stage = Stage::new(
        "avoid: {after_errors: 0}",
        &equal_weights(&nodes),
        RetryPolicy::TwiceOnAnyFailure,
    );
    let loaded = stage.load("book", 64, 30_000, 0);
    let effects = nodes.execution_counts().effects;
    assert_eq!(effects.values().filter(|count| **count > 1).count(), 0);
    assert!(effects.len() > 28_000, "{}", effects.len());
    // Errors and resets reach the client; refusals are mostly made good at another node.
    let count = |status: u16| loaded.responses.get(&status).copied().unwrap_or(0);
    assert!(
        count(500) > 1000 && count(502) > 300 && count(504) > 0 && count(503) < 400,
        "{:?}",
        loaded.responses
    );
    // What may run twice is repeated, and nearly all of it succeeds.
    let loaded = stage.load("quote", 64, 10_000, 1_000_000);
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
    let stage = Stage::new(
        "avoid: {after_errors: 3, span: 700ms}",
        &equal_weights(&nodes),
        RetryPolicy::OnceOnAnyFailure,
    );
    stage.load("quote", 4, 2000, 0);
    let shunned = nodes.execution_counts().executed[0];
    assert!((3..40).contains(&shunned), "{shunned} of 2000 went there");
    nodes.set_faults(0, Faults::default());
    std::thread::sleep(Duration::from_millis(3000));
    stage.load("quote", 4, 3000, 0);
    let back = nodes.execution_counts().executed[0] - shunned;
    assert!(back > 600, "{back} of 3000");
}

#[test]
fn requests_succeed_beside_refusing_nodes_zero_weights_and_a_thousand_entries() {
    let nodes = FastNodes::start(2, false, 5).expect("nodes");
    let mut lines = equal_weights(&nodes);
    let dead: Vec<_> = (0..1000)
        .map(|_| (SocketAddrV4::new(Ipv4Addr::new(127, 9, 9, 9), 9), 0.002))
        .collect();
    lines.extend(
        dead.into_iter().enumerate().map(|(at, (address, weight))| {
            (SocketAddrV4::new(*address.ip(), 1 + at as u16), weight)
        }),
    );
    let mut stage = Stage::new("", &lines, RetryPolicy::IfUnprocessed);
    let loaded = stage.load("quote", 8, 4000, 0);
    // Half of the weight is at nodes that refuse: nearly all is made good by one more try.
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
    stage.publish(&[], RetryPolicy::Never, None);
    stage.wait();
    assert!(stage
        .talk(b"GET /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 503"));
    // A level of nothing turns away at once and says when to come again.
    stage.publish(&equal_weights(&nodes), RetryPolicy::Never, Some(0.0));
    stage.wait();
    let answer = stage.talk(b"GET /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(
        answer.starts_with("HTTP/1.1 429") && answer.contains("Retry-After: 1"),
        "{answer}"
    );
}

#[test]
fn an_incomplete_table_is_rejected_and_reported() {
    let nodes = FastNodes::start(2, false, 5).expect("nodes");
    let stage = Stage::new("", &equal_weights(&nodes), RetryPolicy::Never);
    let root = stage.root();
    let held = read_tables(&root.proxy("g1"))
        .expect("whole")
        .expect("there");
    let torn = root.version(Version(7));
    std::fs::create_dir_all(&torn).expect("made");
    std::fs::write(torn.join("eds.json"), "{\"versionInfo\": \"7\", \"reso").expect("torn");
    std::fs::write(torn.join("rds.json"), "{}").expect("written");
    std::os::unix::fs::symlink("../../versions/000000000007", root.proxy("g1").join("next"))
        .expect("made");
    std::fs::rename(
        root.proxy("g1").join("next"),
        root.proxy("g1").join("current"),
    )
    .expect("swapped");
    let begin = Instant::now();
    loop {
        let text = std::fs::read_to_string(root.status("g1")).expect("there");
        let told = status::read(&text).expect("whole");
        if let Some((version, reason)) = told.rejected {
            assert_eq!(
                (version, told.version),
                (Version(7), held.tables.version),
                "{reason}"
            );
            break;
        }
        assert!(begin.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(
        stage.load("quote", 4, 500, 0).responses,
        BTreeMap::from([(200, 500)])
    );
}

#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "both framings")]
#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400; "two lengths")]
#[test_case("GET /quote HTTP/1.1\nHost: a\n\n", 400; "bare line feeds")]
#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400; "a bad chunk")]
#[test_case("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", 404; "no such operation")]
#[test_case("POST /quote HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", 413; "a body too long")]
fn unsupported_requests_are_answered_and_the_connection_closed(text: &str, status: u16) {
    let nodes = FastNodes::start(1, false, 5).expect("nodes");
    let stage = Stage::new("", &equal_weights(&nodes), RetryPolicy::Never);
    // A request that would be smuggled behind it must not reach the node.
    let answer = stage.talk(format!("{text}GET /quote HTTP/1.1\r\nHost: b\r\n\r\n").as_bytes());
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
    assert!(stage.talk(long.as_bytes()).starts_with("HTTP/1.1 431 "));
}

/// A node that the test plays by hand.
fn by_hand(retry: RetryPolicy) -> (TcpListener, Stage) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let std::net::SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        panic!("IPv4")
    };
    let stage = Stage::new("sizes: {connections_per_node: 4}", &[(address, 1.0)], retry);
    (listener, stage)
}

fn read_until(stream: &mut TcpStream, end: &str) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    let (mut text, mut byte) = (Vec::new(), [0u8; 1]);
    while !text.ends_with(end.as_bytes()) {
        match stream.read(&mut byte) {
            Ok(1) => text.push(byte[0]),
            other => panic!("{other:?} after {}", String::from_utf8_lossy(&text)),
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn bodies_are_forwarded_complete_in_both_directions_and_connections_are_reused() {
    let (listener, stage) = by_hand(RetryPolicy::Never);
    let mut client = stage.client();
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
    let (mut node, _) = listener.accept().expect("dialled");
    let request = read_until(&mut node, "0\r\n\r\n");
    assert!(
        request.ends_with("\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n")
            && !request.contains("Expect"),
        "{request}"
    );
    // An answer much longer than what is held, taken slowly: nothing of it is lost.
    let long = vec![b'x'; 3_000_000];
    let expected = long.len();
    let sender = std::thread::spawn(move || {
        node.write_all(
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", long.len()).as_bytes(),
        )
        .expect("sent");
        node.write_all(&long).expect("taken in time");
        node
    });
    read_until(&mut client, "\r\n\r\n");
    let (mut got, mut piece) = (0, vec![0u8; 100_000]);
    while got < expected {
        std::thread::sleep(Duration::from_millis(2));
        got += client.read(&mut piece).expect("more");
    }
    let mut node = sender.join().expect("sent");
    // A second request on both connections, from a client that ends its side meanwhile.
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

#[test]
fn a_pooled_connection_closed_under_a_request_is_distinguished_from_one_that_took_it() {
    let (listener, stage) = by_hand(RetryPolicy::IfUnprocessed);
    let ask = |client: &mut TcpStream| {
        client
            .write_all(b"GET /book HTTP/1.1\r\nHost: a\r\nx-request-id: 1\r\n\r\n")
            .expect("sent");
    };
    let mut client = stage.client();
    ask(&mut client);
    let (mut node, _) = listener.accept().expect("dialled");
    read_until(&mut node, "\r\n\r\n");
    node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    read_until(&mut client, "\r\n\r\n");
    // Closed while idle: seen before anything is written, so the next goes by a new connection.
    drop(node);
    std::thread::sleep(Duration::from_millis(50));
    ask(&mut client);
    let (mut node, _) = listener.accept().expect("dialled anew");
    read_until(&mut node, "\r\n\r\n");
    node.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("sent");
    read_until(&mut client, "\r\n\r\n");
    // Closed after it was written and before an answer: it may have run, and is not made again.
    ask(&mut client);
    read_until(&mut node, "\r\n\r\n");
    drop(node);
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 502 "));
    listener.set_nonblocking(true).expect("set");
    std::thread::sleep(Duration::from_millis(100));
    assert!(listener.accept().is_err(), "nobody dials again");
}

#[test]
fn a_disconnected_client_frees_its_node_and_a_slow_node_times_out() {
    let (listener, stage) = by_hand(RetryPolicy::Never);
    let mut client = stage.client();
    client
        .write_all(b"GET /quote HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    let (mut node, _) = listener.accept().expect("dialled");
    read_until(&mut node, "\r\n\r\n");
    let gone = Arc::new(client);
    wheelspread_reactor::reset(Arc::try_unwrap(gone).expect("one holder"));
    node.set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
    assert!(
        matches!(node.read(&mut [0u8; 1]), Ok(0) | Err(_)),
        "the node sees that nobody waits"
    );
    let begin = Instant::now();
    let answer = stage.talk(b"GET /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(
        (500..900).contains(&begin.elapsed().as_millis()),
        "{:?}",
        begin.elapsed()
    );
    // A request that stops half-way is let go, though not at once.
    let mut slow = stage.client();
    slow.write_all(b"GET /quote HTTP/1.1\r\nHo").expect("sent");
    drop(slow);
    assert!(stage.path("proxy.yaml").exists());
}
