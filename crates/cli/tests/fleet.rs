//! `wheelspread fleet`: controllers that hang, are down or give invalid answers; orders that reach only some of the
//! controllers, conflict with each other, or coincide with restarts.

mod common;

use common::keys::Authority;
use common::{run_to_end, ControllerProcess, ReportStream, PROGRAM};
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

/// Held exclusively by the test that starts thirty controllers, and shared by the tests with time limits: beside those
/// thirty, a healthy controller took longer than its limit of 0.6 s.
static MACHINE_LOCK: RwLock<()> = RwLock::new(());

const PORTS: [u16; 4] = [9201, 9202, 9203, 9204];

/// Runs `wheelspread fleet`; returns its exit code, its output and how long it took.
fn run_fleet(path: &Path, arguments: &[&str]) -> (i32, String, Duration) {
    let begin = Instant::now();
    let mut command = Command::new(PROGRAM);
    let (code, text) = run_to_end(command.arg("fleet").arg(path).args(arguments));
    (code, text, begin.elapsed())
}

/// Runs `wheelspread fleet` with `--json`.
fn run_fleet_json(path: &Path, arguments: &[&str]) -> (i32, Value, Duration) {
    let (code, text, took) = run_fleet(path, &[arguments, &["--json"]].concat());
    (
        code,
        serde_json::from_str(&text).unwrap_or_else(|error| panic!("{error}: {text}")),
        took,
    )
}

/// Writes a fleet file that names controllers and their root directories.
fn write_fleet_file(directory: &Path, roots: &[(&str, PathBuf)]) -> PathBuf {
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

fn start_controllers(count: usize) -> Vec<ControllerProcess> {
    let mut controllers: Vec<ControllerProcess> =
        (0..count).map(|_| ControllerProcess::new()).collect();
    for controller in &mut controllers {
        controller.publish_endpoint_list(&PORTS, &[]);
        controller.start();
    }
    controllers
}

fn send_signal(controller: &ControllerProcess, signal: rustix::process::Signal) {
    let pid = rustix::process::Pid::from_raw(controller.pid() as i32).expect("the process runs");
    rustix::process::kill_process(pid, signal).expect("signal sent");
}

#[test]
fn thirty_controllers_answer_within_the_deadline_while_five_hang_and_three_are_down() {
    let _exclusive = MACHINE_LOCK.write().unwrap_or_else(PoisonError::into_inner);
    let mut controllers = start_controllers(30);
    let names: Vec<String> = (0..30).map(|n| format!("c{n:02}")).collect();
    let directory = tempfile::tempdir().expect("a directory");
    let roots: Vec<(&str, PathBuf)> = names
        .iter()
        .zip(&controllers)
        .map(|(name, controller)| (name.as_str(), controller.path("tables")))
        .collect();
    let path = write_fleet_file(directory.path(), &roots);
    let (code, output, took) = run_fleet_json(&path, &["status"]);
    assert_eq!(
        (
            code,
            output["conductors"].as_object().map(serde_json::Map::len)
        ),
        (0, Some(30)),
        "{output}"
    );
    assert!(
        took < Duration::from_secs(2),
        "all controllers answer: {took:?}"
    );
    controllers[..5]
        .iter()
        .for_each(|controller| send_signal(controller, rustix::process::Signal::STOP));
    controllers[5..8]
        .iter_mut()
        .for_each(ControllerProcess::kill);
    let (code, output, took) = run_fleet_json(&path, &["status", "--within", "1s"]);
    assert_eq!(code, 3);
    assert!(took < Duration::from_millis(1900), "{took:?}");
    let failure = |n: usize| {
        output["conductors"][&names[n]]["failed"]
            .as_str()
            .map(str::to_string)
    };
    for n in 0..30 {
        match n {
            0..5 => assert!(
                failure(n).is_some_and(|reason| reason.contains("no answer within")),
                "{output}"
            ),
            5..8 => assert!(
                failure(n).is_some_and(|reason| reason.contains("no process accepts connections")),
                "{output}"
            ),
            _ => assert_eq!(failure(n), None, "{output}"),
        }
    }
    // A drain reaches the controllers that run, and is reported as partly done.
    let (code, output, took) = run_fleet_json(
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
        (code, output["told"]["outcome"].as_str()),
        (3, Some("partly")),
        "{output}"
    );
    assert!(took < Duration::from_secs(3), "{took:?}");
    let accepted = output["told"]["conductors"]
        .as_object()
        .expect("an object of controllers")
        .values();
    assert_eq!(
        accepted
            .filter(|reply| reply[1]["taken"].is_object())
            .count(),
        22,
        "{output}"
    );
    // The stopped controllers may or may not have received the order. After `sync` all thirty have it.
    controllers[..5]
        .iter()
        .for_each(|controller| send_signal(controller, rustix::process::Signal::CONT));
    controllers[5..8]
        .iter_mut()
        .for_each(ControllerProcess::start);
    let (code, output, _) = run_fleet_json(&path, &["status"]);
    assert!(code == 1 || code == 0, "{output}");
    let (code, output, _) = run_fleet_json(&path, &["sync"]);
    assert_eq!(code, 0, "{output}");
    let (code, output, _) = run_fleet_json(&path, &["status"]);
    assert_eq!(
        (code, output["disagreements"].as_array().map(Vec::len)),
        (0, Some(0)),
        "{output}"
    );
    let drains = output["conductors"]
        .as_object()
        .expect("an object of controllers")
        .values()
        .map(|status| status["drains"].as_u64());
    assert!(drains.clone().all(|count| count == Some(1)), "{output}");
}

/// How a stand-in controller behaves towards a client.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    NeverAccepts,
    NeverAnswers,
    StopsWithinAnswer,
    ClosesWithinAnswer,
    NotHttp,
    EndlessHead,
    AnnouncesGibibyte,
    NotJson,
    OlderInterface,
}

fn start_stand_in(root: &Path, behavior: Behavior) -> Option<UnixListener> {
    std::fs::create_dir_all(root).expect("created");
    let listener = UnixListener::bind(root.join("admin.sock")).expect("socket bound");
    if let Behavior::NeverAccepts = behavior {
        // The listen queue is filled, so that no other client can connect.
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
            std::thread::spawn(move || answer_as(stream, behavior));
        }
    });
    None
}

fn answer_as(mut stream: UnixStream, behavior: Behavior) {
    let _ = stream.read(&mut [0; 4096]);
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let _ = match behavior {
        Behavior::NeverAccepts | Behavior::NeverAnswers => Ok(()),
        Behavior::StopsWithinAnswer | Behavior::ClosesWithinAnswer => {
            stream.write_all(format!("{}{{\"name\":", head(500)).as_bytes())
        }
        Behavior::NotHttp => stream.write_all(b"\x16\x03\x01 what you sent is not for me\r\n\r\n"),
        Behavior::NotJson => stream.write_all(format!("{}<html>hello</html>", head(18)).as_bytes()),
        Behavior::AnnouncesGibibyte => stream.write_all(head(1 << 30).as_bytes()),
        Behavior::OlderInterface => {
            let body = "{\"error\":\"GET /v1/status is not served here\"}";
            let head = format!(
                "HTTP/1.1 404 Not Found\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(format!("{head}{body}").as_bytes())
        }
        Behavior::EndlessHead => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nx: ");
            while stream.write_all(&[b'a'; 65536]).is_ok() {}
            Ok(())
        }
    };
    if !matches!(
        behavior,
        Behavior::ClosesWithinAnswer
            | Behavior::NotHttp
            | Behavior::NotJson
            | Behavior::OlderInterface
    ) {
        std::thread::sleep(Duration::from_secs(5));
    }
}

#[test_case(Behavior::NeverAccepts, "no process accepts connections"; "never accepts")]
#[test_case(Behavior::NeverAnswers, "no answer within"; "accepts and never answers")]
#[test_case(Behavior::StopsWithinAnswer, "stopped after"; "hangs within the answer")]
#[test_case(Behavior::ClosesWithinAnswer, "stopped after"; "closes within the answer")]
#[test_case(Behavior::NotHttp, "can't be read"; "answers bytes that are not HTTP")]
#[test_case(Behavior::NotJson, "can't be read"; "answers a body that is not JSON")]
#[test_case(Behavior::EndlessHead, "can't be read"; "answers an endless head")]
#[test_case(Behavior::AnnouncesGibibyte, "longer than 16 MiB"; "announces a body of one GiB")]
#[test_case(Behavior::OlderInterface, "an older program"; "serves an older interface")]
fn a_faulty_controller_is_reported_and_delays_no_other(behavior: Behavior, expected: &str) {
    let _shared = MACHINE_LOCK.read().unwrap_or_else(PoisonError::into_inner);
    let mut healthy = ControllerProcess::new();
    healthy.publish_endpoint_list(&PORTS, &[]);
    healthy.start();
    let directory = tempfile::tempdir().expect("a directory");
    // The controller listens before the end of its first turn, in which it writes and syncs its state.
    let single_controller_file =
        write_fleet_file(directory.path(), &[("good", healthy.path("tables"))]);
    healthy.wait_until("the healthy controller to answer", |_| {
        run_fleet_json(&single_controller_file, &["status"]).1["conductors"]["good"]["nodes"]
            ["ready"]
            == 4
    });
    let root = directory.path().join("bad");
    let listener = start_stand_in(&root, behavior);
    let path = write_fleet_file(
        directory.path(),
        &[("bad", root), ("good", healthy.path("tables"))],
    );
    let (code, output, took) = run_fleet_json(&path, &["status", "--within", "600ms"]);
    assert_eq!(code, 3, "{output}");
    assert!(took < Duration::from_millis(1500), "{took:?}");
    let reason = output["conductors"]["bad"]["failed"]
        .as_str()
        .unwrap_or_default();
    assert!(reason.contains(expected), "{output}");
    assert_eq!(
        output["conductors"]["good"]["nodes"]["ready"], 4,
        "{output}"
    );
    drop(listener);
}

/// A proxy that reports load at the nodes of its tables.
struct Proxy {
    stream: ReportStream,
    last_report: Instant,
}

impl Proxy {
    fn new(controller: &ControllerProcess) -> Proxy {
        Proxy {
            stream: controller.open_report_stream("g1", "north"),
            last_report: Instant::now(),
        }
    }

    fn poll(&mut self, controller: &ControllerProcess) {
        self.stream.poll();
        if self.last_report.elapsed() < Duration::from_millis(150) {
            return;
        }
        let elapsed = Span::from_seconds(self.last_report.elapsed().as_secs_f64());
        self.last_report = Instant::now();
        let node_report = |port: u16| NodeReport {
            node: Some(wheelspread::ids::NodeId {
                address: [127, 0, 0, 1],
                port,
            }),
            succeeded: 5,
            ..NodeReport::default()
        };
        let nodes = controller.published("g1").map_or(Vec::new(), |published| {
            published.1.into_iter().map(node_report).collect()
        });
        let operation = OperationReport {
            operation: "quote".into(),
            nodes,
            ..OperationReport::default()
        };
        let report = LoadReport {
            window: elapsed,
            operations: vec![operation],
        };
        let message = common::encode(&loads::request(&report, |_| "north".to_string()));
        self.stream.connection.send(&message);
    }
}

#[test]
fn waiting_for_a_drain_ends_when_load_reports_show_no_traffic_to_the_node() {
    let mut controllers = start_controllers(1);
    let controller = &mut controllers[0];
    let directory = tempfile::tempdir().expect("a directory");
    let path = write_fleet_file(directory.path(), &[("c0", controller.path("tables"))]);
    let mut proxy = Proxy::new(controller);
    controller.wait_until("tables", |controller| {
        proxy.poll(controller);
        controller
            .published("g1")
            .is_some_and(|published| published.1.len() == 4)
    });
    let client = std::thread::spawn({
        let path = path.clone();
        move || run_fleet_json(&path, &["drain", "127.0.0.1:9202", "--wait", "--by", "ada"])
    });
    controller.wait_until("the end of the command", |controller| {
        proxy.poll(controller);
        client.is_finished()
    });
    let (code, output, _) = client.join().expect("the thread finished");
    assert_eq!(code, 0, "{output}");
    let progress = output["waited"]["lines"][0].as_str().unwrap_or_default();
    assert!(
        progress.contains("quiet: 0 of 1 gateways name it, 0 tries reported by 1"),
        "{output}"
    );
    assert_eq!(
        controller.published("g1").map(|published| published.1),
        Some(vec![9201, 9203, 9204])
    );
    // After a kill the drain is in force from the first table on, until an order cancels it.
    controller.kill();
    controller.start();
    let mut proxy = Proxy::new(controller);
    for _ in 0..100 {
        proxy.poll(controller);
        assert!(
            !controller
                .published("g1")
                .expect("published")
                .1
                .contains(&9202),
            "the node came back without an order"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    let (code, output, _) = run_fleet_json(
        &path,
        &["undrain", "127.0.0.1:9202", "--by", "bob", "--wait"],
    );
    assert_eq!(code, 0, "{output}");
    controller.wait_until("the node to be back", |controller| {
        proxy.poll(controller);
        controller
            .published("g1")
            .is_some_and(|published| published.1.contains(&9202))
    });
    let log = controller.log();
    assert!(
        log.contains("\"audit\":true") && log.contains("\\\"by\\\":\\\"ada\\\""),
        "the order has no audit line"
    );
}

#[test]
fn a_drain_that_would_empty_a_pool_is_refused_unless_forced_and_then_audited() {
    let controllers = start_controllers(1);
    let directory = tempfile::tempdir().expect("a directory");
    let path = write_fleet_file(directory.path(), &[("c0", controllers[0].path("tables"))]);
    for port in &PORTS[..3] {
        assert_eq!(
            run_fleet(&path, &["drain", &format!("127.0.0.1:{port}")]).0,
            0
        );
    }
    let (code, output, _) = run_fleet(&path, &["drain", "127.0.0.1:9204"]);
    assert!(
        code == 1 && output.contains("pool: no node would be left for `quote`"),
        "{output}"
    );
    let (code, output, _) = run_fleet(&path, &["drain", "127.0.0.1:9204", "--force", "cold"]);
    assert!(
        code == 1 && output.contains("pool:"),
        "forcing another check must not override this one: {output}"
    );
    assert_eq!(
        run_fleet(&path, &["drain", "127.0.0.1:9204", "--force", "pool"]).0,
        0
    );
    assert!(controllers[0]
        .log()
        .contains("drain order overrides checks"));
    for (node, expected) in [
        ("nonsense", "should be an address"),
        ("127.0.0.1:7", "is not listed"),
    ] {
        let (code, output, _) = run_fleet(&path, &["drain", node]);
        assert!(code == 1 && output.contains(expected), "{output}");
    }
}

#[test]
fn the_later_of_two_orders_wins_at_every_controller_though_one_was_unreachable_between_them() {
    let mut controllers = start_controllers(3);
    let directory = tempfile::tempdir().expect("a directory");
    let roots: Vec<(&str, PathBuf)> = ["c0", "c1", "c2"]
        .into_iter()
        .zip(&controllers)
        .map(|(name, controller)| (name, controller.path("tables")))
        .collect();
    let path = write_fleet_file(directory.path(), &roots);
    // Stands for a client that is killed midway: one controller has its order, the others never received it.
    let subdirectory = directory.path().join("one");
    std::fs::create_dir_all(&subdirectory).expect("created");
    let single_controller_file = write_fleet_file(&subdirectory, &roots[..1]);
    assert_eq!(
        run_fleet(
            &single_controller_file,
            &["drain", "127.0.0.1:9203", "--by", "ada"]
        )
        .0,
        0
    );
    let (code, output, _) = run_fleet(&path, &["status"]);
    assert!(
        code == 1 && output.contains("controllers disagree: 127.0.0.1:9203: draining by order: c0"),
        "{output}"
    );
    // The repeated command reaches all controllers.
    assert_eq!(
        run_fleet(&path, &["drain", "127.0.0.1:9203", "--by", "ada"]).0,
        0
    );
    assert_eq!(run_fleet(&path, &["status"]).0, 0);
    // One controller is down while another operator cancels the drain, and restarts with the older order in force.
    controllers[2].kill();
    let (code, output, _) = run_fleet(
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
        code == 3 && output.contains("a part of the conductors only"),
        "{output}"
    );
    controllers[2].start();
    let (code, output, _) = run_fleet(&path, &["status"]);
    assert!(code == 1 && output.contains("c2"), "{output}");
    let (code, output, _) = run_fleet(&path, &["sync"]);
    assert!(code == 0 && output.contains("1 orders told"), "{output}");
    assert_eq!(run_fleet(&path, &["status"]).0, 0);
    // An order given before the one in force changes nothing when it arrives late.
    let older_order =
        r#"{"id":"late","node":"127.0.0.1:9203","word":"drain","by":"ada","given_ms":5}"#;
    let output = send_request(
        &controllers[1].path("tables/admin.sock"),
        "POST",
        "/v1/drains",
        older_order,
    );
    assert!(
        output.starts_with("HTTP/1.1 409") && output.contains("given later, goes before it"),
        "{output}"
    );
}

/// Sends one HTTP request to an administration socket; returns the complete response.
fn send_request(socket: &Path, method: &str, target: &str, body: &str) -> String {
    let mut stream = UnixStream::connect(socket).expect("the process listens");
    let head = format!(
        "{method} {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("taken");
    let mut output = String::new();
    stream.read_to_string(&mut output).expect("answered");
    output
}

#[test]
fn a_client_with_read_access_can_not_give_orders() {
    let mut controller = ControllerProcess::new();
    let (authority, port) = (
        Authority::new(),
        wheelspread_drill::free_port().expect("a free port"),
    );
    for (name, file) in [
        ("localhost", "server"),
        ("desk", "desk"),
        ("guest", "guest"),
    ] {
        let (certificate, key) = authority.issue(name);
        std::fs::write(controller.path(&format!("{file}.pem")), certificate).expect("written");
        std::fs::write(controller.path(&format!("{file}.key")), key).expect("written");
    }
    std::fs::write(controller.path("roots.pem"), authority.0.pem()).expect("written");
    let administration = format!(
        "administration: {{listen: \"{port}\", certificate: server.pem, key: server.key, clients: roots.pem, writers: [desk]}}"
    );
    let text = std::fs::read_to_string(controller.path("conductor.yaml")).expect("written");
    std::fs::write(
        controller.path("conductor.yaml"),
        format!("{administration}\n{text}"),
    )
    .expect("written");
    controller.publish_endpoint_list(&PORTS, &[]);
    controller.start();
    let order = r#"{"id":"o1","node":"127.0.0.1:9203","word":"drain","by":"ada"}"#;
    let output = send_request(
        &controller.path("tables/read.sock"),
        "GET",
        "/v1/status",
        "",
    );
    assert!(output.starts_with("HTTP/1.1 200"), "{output}");
    let output = send_request(
        &controller.path("tables/read.sock"),
        "POST",
        "/v1/drains",
        order,
    );
    assert!(output.starts_with("HTTP/1.1 403"), "{output}");
    let run_fleet_as = |client_name: &str, arguments: &[&str]| {
        let path = controller.path(&format!("fleet-{client_name}.yaml"));
        let keys = format!(
            "tls: {{servers: roots.pem, certificate: {client_name}.pem, key: {client_name}.key}}"
        );
        let controller_entry =
            format!("conductors: [{{name: c0, address: \"{port}\", server_name: localhost}}]");
        std::fs::write(
            &path,
            format!("{keys}\n{controller_entry}\norder_within: 2s\n"),
        )
        .expect("written");
        run_fleet(&path, arguments)
    };
    let (code, output, _) = run_fleet_as("guest", &["status"]);
    assert!(code == 0 && output.contains("1 of 1 answered"), "{output}");
    let (code, output, _) = run_fleet_as("guest", &["drain", "127.0.0.1:9203"]);
    assert!(
        code == 1 && output.contains("may ask and not order"),
        "{output}"
    );
    let (code, output, _) = run_fleet_as("desk", &["drain", "127.0.0.1:9203"]);
    assert!(code == 0, "{output}");
    // A client with a certificate of another authority gets no answer.
    let (certificate, key) = Authority::new().issue("desk");
    std::fs::write(controller.path("stranger.pem"), certificate).expect("written");
    std::fs::write(controller.path("stranger.key"), key).expect("written");
    let (code, output, _) = run_fleet_as("stranger", &["status", "--within", "500ms"]);
    assert_eq!(code, 3, "{output}");
}

#[test_case("{}", "no conductor is named"; "no controller")]
#[test_case("{conductors: [{name: a}]}", "conductors.0: either a root or an address"; "neither root nor address")]
#[test_case("{conductors: [{name: a, address: \"127.0.0.1:1\"}]}", "needs the keys of `tls`"; "address without keys")]
#[test_case("{conductors: [{name: a, root: x}, {name: a, root: y}]}", "`a` is named twice"; "duplicate name")]
#[test_case("{roots: nowhere}", "nowhere"; "missing directory")]
#[test_case("{conductor: []}", "unknown field"; "unknown field")]
#[test_case("{conductors: [{name: a, root: x}], within: 1}", "is not a time span"; "time span without unit")]
fn an_invalid_fleet_file_is_rejected_with_a_reason(text: &str, expected: &str) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("fleet.yaml");
    std::fs::write(&path, text).expect("written");
    let (code, output, _) = run_fleet(&path, &["status"]);
    assert_eq!(code, 2, "{output}");
    assert!(output.contains(expected), "{output}");
}

#[test]
fn a_directory_of_roots_is_a_fleet_that_includes_unreachable_controllers() {
    let mut controllers = start_controllers(2);
    let directory = tempfile::tempdir().expect("a directory");
    let roots = directory.path().join("roots");
    for (name, controller) in ["c0", "c1"].into_iter().zip(&controllers) {
        std::fs::create_dir_all(roots.join(name)).expect("created");
        std::os::unix::fs::symlink(controller.path("tables"), roots.join(name).join("tables"))
            .expect("linked");
    }
    std::fs::create_dir_all(roots.join("nothing")).expect("created");
    let path = directory.path().join("fleet.yaml");
    std::fs::write(&path, "{roots: roots, within: 1s}").expect("written");
    let (code, output, _) = run_fleet(&path, &["status"]);
    assert!(code == 0 && output.contains("2 of 2 answered"), "{output}");
    controllers[1].kill();
    let (code, output, _) = run_fleet(&path, &["status"]);
    assert!(
        code == 3 && output.contains("1 of 2 answered") && output.contains("c1"),
        "{output}"
    );
    // `watch` prints the same status repeatedly.
    let (code, output, _) = run_fleet(&path, &["watch", "--every", "100ms", "--times", "2"]);
    assert_eq!(
        (code, output.matches("1 of 2 answered").count()),
        (3, 2),
        "{output}"
    );
}

/// Gives three orders (drain, undrain, drain) to a controller that failpoints kill. With `client_lifetime_ms`, the
/// client of each order is killed after that time and run again. Returns whether the controller was restarted after a
/// kill by a failpoint.
fn run_orders_with_kills(failpoints: &str, client_lifetime_ms: Option<u64>) -> bool {
    let mut controller = ControllerProcess::new();
    controller.publish_endpoint_list(&PORTS, &[]);
    controller.start_with_failpoints(failpoints);
    let first_pid = controller.pid();
    let directory = tempfile::tempdir().expect("a directory");
    let path = write_fleet_file(directory.path(), &[("c0", controller.path("tables"))]);
    let run_client =
        |controller: &mut ControllerProcess, command: &str, lifetime_ms: Option<u64>| {
            let arguments = [
                command,
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
                .args(arguments)
                .stdout(std::process::Stdio::null())
                .spawn()
                .expect("the process runs");
            let begin = Instant::now();
            loop {
                if !controller.is_running() {
                    controller.start();
                }
                if lifetime_ms.is_some_and(|ms| begin.elapsed() >= Duration::from_millis(ms)) {
                    let _ = child.kill();
                }
                if let Some(status) = child.try_wait().expect("a child process") {
                    return status.code();
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        };
    for command in ["drain", "undrain", "drain"] {
        if client_lifetime_ms.is_some() {
            run_client(&mut controller, command, client_lifetime_ms);
        }
        assert_eq!(
            run_client(&mut controller, command, None),
            Some(0),
            "{failpoints} {command}\n{}",
            controller.log()
        );
    }
    controller.kill();
    controller.start();
    let output = send_request(
        &controller.path("tables/admin.sock"),
        "GET",
        "/v1/where/127.0.0.1:9202",
        "",
    );
    assert!(
        output.contains("\"listing\":\"draining\"") && output.contains("\"word\":\"drain\""),
        "{failpoints}: {output}"
    );
    let output = send_request(
        &controller.path("tables/admin.sock"),
        "GET",
        "/v1/drains",
        "",
    );
    assert_eq!(
        output.matches("\"order\"").count(),
        1,
        "{failpoints}: {output}"
    );
    controller.pid() != first_pid && controller.log().matches("controller starting").count() > 2
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
        // The endpoint list is written at the start, then each of the three orders.
        for skipped in 0..4 {
            let lifetime_ms = [None, Some(8), Some(20)][skipped % 3];
            cases.push((
                format!("{point}={skipped}*off->1*return(kill)->off"),
                lifetime_ms,
            ));
        }
    }
    let (next, killed) = (
        std::sync::atomic::AtomicUsize::new(0),
        std::sync::atomic::AtomicUsize::new(0),
    );
    let relaxed = std::sync::atomic::Ordering::Relaxed;
    std::thread::scope(|scope| {
        for _ in 0..5 {
            scope.spawn(|| {
                while let Some((failpoints, lifetime_ms)) = cases.get(next.fetch_add(1, relaxed)) {
                    killed.fetch_add(
                        usize::from(run_orders_with_kills(failpoints, *lifetime_ms)),
                        relaxed,
                    );
                }
            });
        }
    });
    let killed = killed.into_inner();
    assert!(
        killed >= 15,
        "only {killed} runs reached the failpoint that kills the controller"
    );
}
