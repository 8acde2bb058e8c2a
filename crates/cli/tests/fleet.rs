//! `wheelspread fleet`: controllers that hang, are down or give invalid answers; orders that reach a part of the
//! fleet, cross each other, and meet restarts.

mod common;

use common::keys::Authority;
use common::{run_to_end, Stage, Stream, PROGRAM};
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{PoisonError, RwLock};
use std::time::{Duration, Instant};
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, NodeReport, OperationReport};
use wheelspread_xds::loads;

/// Tests with bounds on time share the machine with each other, but not with the one that starts thirty conductors:
/// beside it a sound one took longer than the 0.6 s that it is given.
static MACHINE: RwLock<()> = RwLock::new(());

const PORTS: [u16; 4] = [9201, 9202, 9203, 9204];

fn fleet(file: &Path, arguments: &[&str]) -> (i32, String, Duration) {
    let begin = Instant::now();
    let mut command = Command::new(PROGRAM);
    let (code, text) = run_to_end(command.arg("fleet").arg(file).args(arguments));
    (code, text, begin.elapsed())
}

fn json(file: &Path, arguments: &[&str]) -> (i32, Value, Duration) {
    let (code, text, took) = fleet(file, &[arguments, &["--json"]].concat());
    (
        code,
        serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}")),
        took,
    )
}

/// A fleet file over roots, by name.
fn file(directory: &Path, roots: &[(&str, PathBuf)]) -> PathBuf {
    let lines = roots
        .iter()
        .map(|(name, root)| format!("  - {{name: {name}, root: {}}}\n", root.display()));
    let path = directory.join("fleet.yaml");
    let text = format!(
        "within: 2s\norder_within: 4s\nconductors:\n{}",
        lines.collect::<String>()
    );
    std::fs::write(&path, text).expect("written");
    path
}

fn started(count: usize) -> Vec<Stage> {
    let mut stages: Vec<Stage> = (0..count).map(|_| Stage::new()).collect();
    for stage in &mut stages {
        stage.list(&PORTS, &[]);
        stage.start();
    }
    stages
}

fn signal(stage: &Stage, signal: rustix::process::Signal) {
    let pid = rustix::process::Pid::from_raw(stage.pid() as i32).expect("it runs");
    rustix::process::kill_process(pid, signal).expect("told");
}

#[test]
fn thirty_controllers_answer_within_the_deadline_while_five_hang_and_three_are_down() {
    let _alone = MACHINE.write().unwrap_or_else(PoisonError::into_inner);
    let mut stages = started(30);
    let names: Vec<String> = (0..30).map(|n| format!("c{n:02}")).collect();
    let directory = tempfile::tempdir().expect("a directory");
    let roots: Vec<(&str, PathBuf)> = names
        .iter()
        .zip(&stages)
        .map(|(name, stage)| (name.as_str(), stage.path("tables")))
        .collect();
    let path = file(directory.path(), &roots);
    let (code, told, took) = json(&path, &["status"]);
    assert_eq!(
        (
            code,
            told["conductors"].as_object().map(serde_json::Map::len)
        ),
        (0, Some(30)),
        "{told}"
    );
    assert!(took < Duration::from_secs(2), "all sound: {took:?}");
    stages[..5]
        .iter()
        .for_each(|stage| signal(stage, rustix::process::Signal::STOP));
    stages[5..8].iter_mut().for_each(Stage::kill);
    let (code, told, took) = json(&path, &["status", "--within", "1s"]);
    assert_eq!(code, 3);
    assert!(took < Duration::from_millis(1900), "{took:?}");
    let said = |n: usize| {
        told["conductors"][&names[n]]["failed"]
            .as_str()
            .map(str::to_string)
    };
    for n in 0..30 {
        match n {
            0..5 => assert!(
                said(n).is_some_and(|why| why.contains("no answer within")),
                "{told}"
            ),
            5..8 => assert!(
                said(n).is_some_and(|why| why.contains("nobody listens")),
                "{told}"
            ),
            _ => assert_eq!(said(n), None, "{told}"),
        }
    }
    // A drain reaches those that live, and is said to be a part.
    let (code, told, took) = json(
        &path,
        &[
            "drain",
            "127.0.0.1:9201",
            "--within",
            "500ms",
            "--order-within",
            "2s",
        ],
    );
    assert_eq!(
        (code, told["told"]["outcome"].as_str()),
        (3, Some("partly")),
        "{told}"
    );
    assert!(took < Duration::from_secs(3), "{took:?}");
    let taken = told["told"]["conductors"]
        .as_object()
        .expect("all")
        .values();
    assert_eq!(
        taken.filter(|reply| reply[1]["taken"].is_object()).count(),
        22,
        "{told}"
    );
    // Those that hung had it in their sockets or not; told again, all that live have it.
    stages[..5]
        .iter()
        .for_each(|stage| signal(stage, rustix::process::Signal::CONT));
    stages[5..8].iter_mut().for_each(Stage::start);
    let (code, told, _) = json(&path, &["status"]);
    assert!(code == 1 || code == 0, "{told}");
    let (code, told, _) = json(&path, &["sync"]);
    assert_eq!(code, 0, "{told}");
    let (code, told, _) = json(&path, &["status"]);
    assert_eq!(
        (code, told["disagreements"].as_array().map(Vec::len)),
        (0, Some(0)),
        "{told}"
    );
    let drains = told["conductors"]
        .as_object()
        .expect("all")
        .values()
        .map(|told| told["drains"].as_u64());
    assert!(drains.clone().all(|count| count == Some(1)), "{told}");
}

/// What a stand-in does with a caller.
#[derive(Clone, Copy, Debug)]
enum Manner {
    NeverAccepts,
    NeverAnswers,
    StopsHalfWay,
    ClosesHalfWay,
    Garbage,
    Gigabyte,
    SaysAGigabyte,
    NoJson,
    Older,
}

fn stand_in(root: &Path, manner: Manner) -> Option<UnixListener> {
    std::fs::create_dir_all(root).expect("made");
    let listener = UnixListener::bind(root.join("admin.sock")).expect("bound");
    if let Manner::NeverAccepts = manner {
        // Its queue is filled, so that another caller can't even connect.
        let mut open = Vec::new();
        listener.set_nonblocking(true).expect("set");
        while open.len() < 5000 {
            let socket = rustix::net::socket_with(
                rustix::net::AddressFamily::UNIX,
                rustix::net::SocketType::STREAM,
                rustix::net::SocketFlags::NONBLOCK,
                None,
            );
            let socket = socket.expect("a socket");
            let address =
                rustix::net::SocketAddrUnix::new(root.join("admin.sock")).expect("an address");
            match rustix::net::connect(&socket, &address) {
                Ok(()) => open.push(socket),
                Err(_) => break,
            }
        }
        std::mem::forget(open);
        return Some(listener);
    }
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || behave(stream, manner));
        }
    });
    None
}

fn behave(mut stream: UnixStream, manner: Manner) {
    let _ = stream.read(&mut [0; 4096]);
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let _ = match manner {
        Manner::NeverAccepts | Manner::NeverAnswers => Ok(()),
        Manner::StopsHalfWay | Manner::ClosesHalfWay => {
            stream.write_all(format!("{}{{\"name\":", head(500)).as_bytes())
        }
        Manner::Garbage => stream.write_all(b"\x16\x03\x01 what you sent is not for me\r\n\r\n"),
        Manner::NoJson => stream.write_all(format!("{}<html>hello</html>", head(18)).as_bytes()),
        Manner::SaysAGigabyte => stream.write_all(head(1 << 30).as_bytes()),
        Manner::Older => {
            let body = "{\"error\":\"GET /v1/status is not served here\"}";
            let head = format!(
                "HTTP/1.1 404 Not Found\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(format!("{head}{body}").as_bytes())
        }
        Manner::Gigabyte => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nx: ");
            while stream.write_all(&[b'a'; 65536]).is_ok() {}
            Ok(())
        }
    };
    if !matches!(
        manner,
        Manner::ClosesHalfWay | Manner::Garbage | Manner::NoJson | Manner::Older
    ) {
        std::thread::sleep(Duration::from_secs(5));
    }
}

#[test_case(Manner::NeverAccepts, "nobody listens"; "never accepts")]
#[test_case(Manner::NeverAnswers, "no answer within"; "accepts and never answers")]
#[test_case(Manner::StopsHalfWay, "stopped after"; "hangs half way through")]
#[test_case(Manner::ClosesHalfWay, "stopped after"; "closes half way through")]
#[test_case(Manner::Garbage, "can't be read"; "answers garbage")]
#[test_case(Manner::NoJson, "can't be read"; "answers what is no JSON")]
#[test_case(Manner::Gigabyte, "can't be read"; "answers a head without end")]
#[test_case(Manner::SaysAGigabyte, "longer than 16 MiB"; "answers a gigabyte")]
#[test_case(Manner::Older, "an older program"; "serves an older interface")]
fn a_faulty_controller_is_reported_and_delays_no_other(manner: Manner, said: &str) {
    let _shared = MACHINE.read().unwrap_or_else(PoisonError::into_inner);
    let mut sound = Stage::new();
    sound.list(&PORTS, &[]);
    sound.start();
    let directory = tempfile::tempdir().expect("a directory");
    // It listens before its first turn is over, in which it writes and syncs what it keeps.
    let alone = file(directory.path(), &[("good", sound.path("tables"))]);
    sound.until("it answers", |_| {
        json(&alone, &["status"]).1["conductors"]["good"]["nodes"]["ready"] == 4
    });
    let root = directory.path().join("bad");
    let kept = stand_in(&root, manner);
    let path = file(
        directory.path(),
        &[("bad", root), ("good", sound.path("tables"))],
    );
    let (code, told, took) = json(&path, &["status", "--within", "600ms"]);
    assert_eq!(code, 3, "{told}");
    assert!(took < Duration::from_millis(1500), "{took:?}");
    let why = told["conductors"]["bad"]["failed"]
        .as_str()
        .unwrap_or_default();
    assert!(why.contains(said), "{told}");
    assert_eq!(told["conductors"]["good"]["nodes"]["ready"], 4, "{told}");
    drop(kept);
}

/// A gateway that reports what its tables would make it send.
struct Gateway {
    stream: Stream,
    sent: Instant,
}

impl Gateway {
    fn new(stage: &Stage) -> Gateway {
        Gateway {
            stream: stage.stream("g1", "north"),
            sent: Instant::now(),
        }
    }

    fn turn(&mut self, stage: &Stage) {
        self.stream.turn();
        if self.sent.elapsed() < Duration::from_millis(150) {
            return;
        }
        let over = Span::from_seconds(self.sent.elapsed().as_secs_f64());
        self.sent = Instant::now();
        let met = |port: u16| NodeReport {
            node: Some(wheelspread::ids::NodeId {
                address: [127, 0, 0, 1],
                port,
            }),
            succeeded: 5,
            ..NodeReport::default()
        };
        let nodes = stage
            .held("g1")
            .map_or(Vec::new(), |held| held.1.into_iter().map(met).collect());
        let operation = OperationReport {
            operation: "quote".into(),
            nodes,
            ..OperationReport::default()
        };
        let report = LoadReport {
            window: over,
            operations: vec![operation],
        };
        let message = common::encode(&loads::request(&report, |_| "north".to_string()));
        self.stream.connection.send(&message);
    }
}

#[test]
fn waiting_for_a_drain_ends_when_load_reports_show_no_traffic_to_the_node() {
    let mut stages = started(1);
    let stage = &mut stages[0];
    let directory = tempfile::tempdir().expect("a directory");
    let path = file(directory.path(), &[("c0", stage.path("tables"))]);
    let mut gateway = Gateway::new(stage);
    stage.until("tables", |stage| {
        gateway.turn(stage);
        stage.held("g1").is_some_and(|held| held.1.len() == 4)
    });
    let tool = std::thread::spawn({
        let path = path.clone();
        move || json(&path, &["drain", "127.0.0.1:9202", "--wait", "--by", "ada"])
    });
    stage.until("the tool", |stage| {
        gateway.turn(stage);
        tool.is_finished()
    });
    let (code, told, _) = tool.join().expect("it ran");
    assert_eq!(code, 0, "{told}");
    let line = told["waited"]["lines"][0].as_str().unwrap_or_default();
    assert!(
        line.contains("quiet: 0 of 1 gateways name it, 0 tries reported by 1"),
        "{told}"
    );
    assert_eq!(
        stage.held("g1").map(|held| held.1),
        Some(vec![9201, 9203, 9204])
    );
    // It stays in force over a kill, from the first table on, and is taken back by order.
    stage.kill();
    stage.start();
    let mut gateway = Gateway::new(stage);
    for _ in 0..100 {
        gateway.turn(stage);
        assert!(
            !stage.held("g1").expect("held").1.contains(&9202),
            "it came back by itself"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let (code, told, _) = json(
        &path,
        &["undrain", "127.0.0.1:9202", "--by", "bob", "--wait"],
    );
    assert_eq!(code, 0, "{told}");
    stage.until("it is back", |stage| {
        gateway.turn(stage);
        stage.held("g1").is_some_and(|held| held.1.contains(&9202))
    });
    let log = stage.log();
    assert!(
        log.contains("\"audit\":true") && log.contains("\\\"by\\\":\\\"ada\\\""),
        "orders leave audit lines"
    );
}

#[test]
fn a_drain_that_would_empty_a_pool_is_refused_unless_forced_and_then_audited() {
    let stages = started(1);
    let directory = tempfile::tempdir().expect("a directory");
    let path = file(directory.path(), &[("c0", stages[0].path("tables"))]);
    for port in &PORTS[..3] {
        assert_eq!(fleet(&path, &["drain", &format!("127.0.0.1:{port}")]).0, 0);
    }
    let (code, told, _) = fleet(&path, &["drain", "127.0.0.1:9204"]);
    assert!(
        code == 1 && told.contains("pool: no node would be left for `quote`"),
        "{told}"
    );
    let (code, told, _) = fleet(&path, &["drain", "127.0.0.1:9204", "--force", "cold"]);
    assert!(
        code == 1 && told.contains("pool:"),
        "another check is no override: {told}"
    );
    assert_eq!(
        fleet(&path, &["drain", "127.0.0.1:9204", "--force", "pool"]).0,
        0
    );
    assert!(stages[0].log().contains("drain order overrides checks"));
    for (node, said) in [
        ("nonsense", "should be an address"),
        ("127.0.0.1:7", "is not listed"),
    ] {
        let (code, told, _) = fleet(&path, &["drain", node]);
        assert!(code == 1 && told.contains(said), "{told}");
    }
}

#[test]
fn the_later_of_two_orders_wins_at_every_controller_though_one_was_unreachable_between_them() {
    let mut stages = started(3);
    let directory = tempfile::tempdir().expect("a directory");
    let roots: Vec<(&str, PathBuf)> = ["c0", "c1", "c2"]
        .into_iter()
        .zip(&stages)
        .map(|(name, stage)| (name, stage.path("tables")))
        .collect();
    let path = file(directory.path(), &roots);
    // A tool that is killed in the middle: one conductor has its order, the others never heard of it.
    let one = directory.path().join("one");
    std::fs::create_dir_all(&one).expect("made");
    let alone = file(&one, &roots[..1]);
    assert_eq!(
        fleet(&alone, &["drain", "127.0.0.1:9203", "--by", "ada"]).0,
        0
    );
    let (code, told, _) = fleet(&path, &["status"]);
    assert!(
        code == 1 && told.contains("two minds: 127.0.0.1:9203: draining by order: c0"),
        "{told}"
    );
    // Run again it reaches all.
    assert_eq!(
        fleet(&path, &["drain", "127.0.0.1:9203", "--by", "ada"]).0,
        0
    );
    assert_eq!(fleet(&path, &["status"]).0, 0);
    // One is away while it is taken back by another, and comes back with the older order in force.
    stages[2].kill();
    let (code, told, _) = fleet(
        &path,
        &[
            "undrain",
            "127.0.0.1:9203",
            "--by",
            "bob",
            "--order-within",
            "600ms",
        ],
    );
    assert!(
        code == 3 && told.contains("a part of the conductors only"),
        "{told}"
    );
    stages[2].start();
    let (code, told, _) = fleet(&path, &["status"]);
    assert!(code == 1 && told.contains("c2"), "{told}");
    let (code, told, _) = fleet(&path, &["sync"]);
    assert!(code == 0 && told.contains("1 orders told"), "{told}");
    assert_eq!(fleet(&path, &["status"]).0, 0);
    // An order that was given before the one in force changes nothing, wherever it comes late.
    let late = r#"{"id":"late","node":"127.0.0.1:9203","word":"drain","by":"ada","given_ms":5}"#;
    let told = raw(
        &stages[1].path("tables/admin.sock"),
        "POST",
        "/v1/drains",
        late,
    );
    assert!(
        told.starts_with("HTTP/1.1 409") && told.contains("given later, goes before it"),
        "{told}"
    );
}

fn raw(socket: &Path, method: &str, target: &str, body: &str) -> String {
    let mut stream = UnixStream::connect(socket).expect("it listens");
    let head = format!(
        "{method} {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("taken");
    let mut told = String::new();
    stream.read_to_string(&mut told).expect("answered");
    told
}

#[test]
fn a_client_with_read_access_can_not_give_orders() {
    let mut stage = Stage::new();
    let (authority, port) = (
        Authority::new(),
        wheelspread_drill::free_port().expect("a port"),
    );
    for (name, file) in [
        ("localhost", "server"),
        ("desk", "desk"),
        ("guest", "guest"),
    ] {
        let (certificate, key) = authority.issue(name);
        std::fs::write(stage.path(&format!("{file}.pem")), certificate).expect("written");
        std::fs::write(stage.path(&format!("{file}.key")), key).expect("written");
    }
    std::fs::write(stage.path("roots.pem"), authority.0.pem()).expect("written");
    let plan = format!(
        "administration: {{listen: \"{port}\", certificate: server.pem, key: server.key, clients: roots.pem, writers: [desk]}}"
    );
    let text = std::fs::read_to_string(stage.path("conductor.yaml")).expect("written");
    std::fs::write(stage.path("conductor.yaml"), format!("{plan}\n{text}")).expect("written");
    stage.list(&PORTS, &[]);
    stage.start();
    let order = r#"{"id":"o1","node":"127.0.0.1:9203","word":"drain","by":"ada"}"#;
    let told = raw(&stage.path("tables/read.sock"), "GET", "/v1/status", "");
    assert!(told.starts_with("HTTP/1.1 200"), "{told}");
    let told = raw(&stage.path("tables/read.sock"), "POST", "/v1/drains", order);
    assert!(told.starts_with("HTTP/1.1 403"), "{told}");
    let desk = |who: &str, arguments: &[&str]| {
        let path = stage.path(&format!("fleet-{who}.yaml"));
        let keys = format!("tls: {{servers: roots.pem, certificate: {who}.pem, key: {who}.key}}");
        let place =
            format!("conductors: [{{name: c0, address: \"{port}\", server_name: localhost}}]");
        std::fs::write(&path, format!("{keys}\n{place}\norder_within: 2s\n")).expect("written");
        fleet(&path, arguments)
    };
    let (code, told, _) = desk("guest", &["status"]);
    assert!(code == 0 && told.contains("1 of 1 answered"), "{told}");
    let (code, told, _) = desk("guest", &["drain", "127.0.0.1:9203"]);
    assert!(
        code == 1 && told.contains("may ask and not order"),
        "{told}"
    );
    let (code, told, _) = desk("desk", &["drain", "127.0.0.1:9203"]);
    assert!(code == 0, "{told}");
    // A certificate of somebody else's authority is not heard at all.
    let (certificate, key) = Authority::new().issue("desk");
    std::fs::write(stage.path("stranger.pem"), certificate).expect("written");
    std::fs::write(stage.path("stranger.key"), key).expect("written");
    let (code, told, _) = desk("stranger", &["status", "--within", "500ms"]);
    assert_eq!(code, 3, "{told}");
}

#[test_case("{}", "no conductor is named"; "empty")]
#[test_case("{conductors: [{name: a}]}", "conductors.0: either a root or an address"; "neither")]
#[test_case("{conductors: [{name: a, address: \"127.0.0.1:1\"}]}", "needs the keys of `tls`"; "no keys")]
#[test_case("{conductors: [{name: a, root: x}, {name: a, root: y}]}", "`a` is named twice"; "twice")]
#[test_case("{roots: nowhere}", "nowhere"; "no directory")]
#[test_case("{conductor: []}", "unknown field"; "misspelt")]
#[test_case("{conductors: [{name: a, root: x}], within: 1}", "is not a time span"; "no unit")]
fn an_invalid_fleet_file_is_rejected_with_a_reason(text: &str, said: &str) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("fleet.yaml");
    std::fs::write(&path, text).expect("written");
    let (code, told, _) = fleet(&path, &["status"]);
    assert_eq!(code, 2, "{told}");
    assert!(told.contains(said), "{told}");
}

#[test]
fn a_directory_of_roots_is_a_fleet_that_includes_unreachable_controllers() {
    let mut stages = started(2);
    let directory = tempfile::tempdir().expect("a directory");
    let roots = directory.path().join("roots");
    for (name, stage) in ["c0", "c1"].into_iter().zip(&stages) {
        std::fs::create_dir_all(roots.join(name)).expect("made");
        std::os::unix::fs::symlink(stage.path("tables"), roots.join(name).join("tables"))
            .expect("linked");
    }
    std::fs::create_dir_all(roots.join("nothing")).expect("made");
    let path = directory.path().join("fleet.yaml");
    std::fs::write(&path, "{roots: roots, within: 1s}").expect("written");
    let (code, told, _) = fleet(&path, &["status"]);
    assert!(code == 0 && told.contains("2 of 2 answered"), "{told}");
    stages[1].kill();
    let (code, told, _) = fleet(&path, &["status"]);
    assert!(
        code == 3 && told.contains("1 of 2 answered") && told.contains("c1"),
        "{told}"
    );
    // The same again and again, as a watcher has it.
    let (code, told, _) = fleet(&path, &["watch", "--every", "100ms", "--times", "2"]);
    assert_eq!(
        (code, told.matches("1 of 2 answered").count()),
        (3, 2),
        "{told}"
    );
}

/// A drain, and one that is taken back, at a conductor that is killed at a named place and a tool that is killed
/// after some milliseconds and run again.
fn ordered_with_kills(faults: &str, tool_lives: Option<u64>) -> bool {
    let mut stage = Stage::new();
    stage.list(&PORTS, &[]);
    stage.start_with(faults);
    let first = stage.pid();
    let directory = tempfile::tempdir().expect("a directory");
    let path = file(directory.path(), &[("c0", stage.path("tables"))]);
    let tool = |stage: &mut Stage, word: &str, lives: Option<u64>| {
        let order = [
            word,
            "127.0.0.1:9202",
            "--by",
            "ada",
            "--within",
            "300ms",
            "--order-within",
            "3s",
        ];
        let mut child = Command::new(PROGRAM)
            .arg("fleet")
            .arg(&path)
            .args(order)
            .stdout(std::process::Stdio::null())
            .spawn()
            .expect("it runs");
        let begin = Instant::now();
        loop {
            if !stage.runs() {
                stage.start();
            }
            if lives.is_some_and(|ms| begin.elapsed() >= Duration::from_millis(ms)) {
                let _ = child.kill();
            }
            if let Some(status) = child.try_wait().expect("ours") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    };
    for word in ["drain", "undrain", "drain"] {
        if tool_lives.is_some() {
            tool(&mut stage, word, tool_lives);
        }
        assert_eq!(
            tool(&mut stage, word, None),
            Some(0),
            "{faults} {word}\n{}",
            stage.log()
        );
    }
    stage.kill();
    stage.start();
    let told = raw(
        &stage.path("tables/admin.sock"),
        "GET",
        "/v1/where/127.0.0.1:9202",
        "",
    );
    assert!(
        told.contains("\"listing\":\"draining\"") && told.contains("\"word\":\"drain\""),
        "{faults}: {told}"
    );
    let told = raw(&stage.path("tables/admin.sock"), "GET", "/v1/drains", "");
    assert_eq!(told.matches("\"order\"").count(), 1, "{faults}: {told}");
    stage.pid() != first && stage.log().matches("controller starting").count() > 2
}

#[test]
fn no_order_is_lost_or_duplicated_wherever_controller_and_client_are_killed() {
    let mut cases = Vec::new();
    for point in [
        "store.begin",
        "store.half",
        "store.written",
        "store.synced",
        "store.told",
    ] {
        // The list is written at the start, then each of the three orders.
        for skipped in 0..4 {
            let lives = [None, Some(8), Some(20)][skipped % 3];
            cases.push((format!("{point}={skipped}*off->1*return(kill)->off"), lives));
        }
    }
    let (next, killed) = (
        std::sync::atomic::AtomicUsize::new(0),
        std::sync::atomic::AtomicUsize::new(0),
    );
    let one = std::sync::atomic::Ordering::Relaxed;
    std::thread::scope(|scope| {
        for _ in 0..5 {
            scope.spawn(|| {
                while let Some((faults, lives)) = cases.get(next.fetch_add(1, one)) {
                    killed.fetch_add(usize::from(ordered_with_kills(faults, *lives)), one);
                }
            });
        }
    });
    let killed = killed.into_inner();
    assert!(
        killed >= 15,
        "{killed} came by the place where they were to be killed"
    );
}
