//! A controller process under faults of its environment: invalid endpoint lists, kills, invalid streams, unwritable
//! directories, signals.

mod common;

use common::memory::resident_kib;
use common::{encode, endpoint_list_text, write, ControllerProcess, PROGRAM};
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, NodeReport, OperationReport};
use wheelspread_xds::loads;

const PORTS: [u16; 8] = [9001, 9002, 9003, 9004, 9005, 9006, 9007, 9008];

/// Starts a controller with eight listed nodes and one proxy that has its tables.
fn start_with_proxy() -> (ControllerProcess, common::ReportStream) {
    let mut controller = ControllerProcess::new();
    controller.publish_endpoint_list(&PORTS, &[]);
    controller.start();
    let mut stream = controller.open_report_stream("g1", "north");
    controller.wait_until("tables", |controller| {
        stream.poll();
        controller.published("g1").is_some()
    });
    assert!(stream.accepted);
    (controller, stream)
}

#[test]
fn invalid_endpoint_lists_are_rejected_with_a_reason() {
    let (mut controller, mut stream) = start_with_proxy();
    let list = controller.path("nodes.json");
    let valid_list = endpoint_list_text(7, &PORTS, &[]);
    for (text, reason) in [
        (
            valid_list[..valid_list.len() / 2].to_string(),
            "can't be read",
        ),
        ("[]".to_string(), "can't be read"),
        (
            endpoint_list_text(1, &[9001, 9999], &[]),
            "not newer than version 1",
        ),
        (endpoint_list_text(8, &[], &[]), "names no node while 8"),
        (valid_list.replace("\"north\"", "\"moon\""), "zone `moon`"),
    ] {
        write(&list, &text);
        controller.wait_until(reason, |controller| controller.log().contains(reason));
    }
    stream.poll();
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(
        controller.published("g1").expect("published").1.len(),
        8,
        "the last accepted list must stay in force"
    );
    // A list without most of the nodes is in doubt. It is accepted after a while, since no load report shows traffic to
    // the missing nodes.
    write(&list, &endpoint_list_text(10, &PORTS[..3], &[]));
    controller.wait_until("the list to be in doubt", |controller| {
        controller.log().contains("5 of 8 ready nodes are missing")
    });
    assert_eq!(controller.published("g1").expect("published").1.len(), 8);
    let took = controller.wait_until("tables of the small list", |controller| {
        stream.poll();
        controller
            .published("g1")
            .is_some_and(|published| published.1 == PORTS[..3])
    });
    assert!(
        took < Duration::from_secs(2),
        "longer than the grace period: {took:?}"
    );
}

#[test]
fn a_swapped_directory_is_detected_like_a_swapped_file() {
    let mut controller = ControllerProcess::new();
    for (name, text) in [
        ("a", endpoint_list_text(1, &PORTS, &[])),
        ("b", endpoint_list_text(2, &PORTS, &[9001])),
    ] {
        std::fs::create_dir_all(controller.path("lists").join(name)).expect("created");
        write(
            &controller.path("lists").join(name).join("nodes.json"),
            &text,
        );
    }
    let point_link_to = |target: &str| {
        std::os::unix::fs::symlink(target, controller.path("lists/.next")).expect("created");
        std::fs::rename(controller.path("lists/.next"), controller.path("lists/now"))
            .expect("file replaced");
    };
    point_link_to("a");
    controller.write_config("list: lists/now/nodes.json, watched_directory: lists");
    controller.start();
    let mut stream = controller.open_report_stream("g1", "north");
    controller.wait_until("tables", |controller| {
        stream.poll();
        controller
            .published("g1")
            .is_some_and(|published| published.1.contains(&9001))
    });
    std::os::unix::fs::symlink("b", controller.path("lists/.next")).expect("created");
    std::fs::rename(controller.path("lists/.next"), controller.path("lists/now"))
        .expect("file replaced");
    controller.wait_until("the drain", |controller| {
        controller
            .published("g1")
            .is_some_and(|published| !published.1.contains(&9001))
    });
}

#[test]
fn a_crash_while_tables_are_written_leaves_complete_tables_and_rising_versions() {
    let (mut controller, mut stream) = start_with_proxy();
    for round in 0..8u16 {
        let last = controller.published("g1").expect("published").0;
        let drained = PORTS[usize::from(round) % 8];
        // The kill comes 0 to 21 ms after the list is replaced: before, during or after the writing of tables.
        controller.publish_endpoint_list(&PORTS, &[drained]);
        std::thread::sleep(Duration::from_millis(u64::from(round) * 3));
        controller.kill();
        let (version, ports) = controller.published("g1").expect("complete tables");
        // One node drains, and the one that drained before it may not be back yet.
        assert!(
            version >= last && ports.len() >= 6,
            "{version} after {last}: {ports:?}"
        );
        controller.start();
        stream = controller.open_report_stream("g1", "north");
        let took = controller.wait_until("the drain after a restart", |controller| {
            stream.poll();
            controller
                .published("g1")
                .is_some_and(|published| !published.1.contains(&drained) && !published.1.is_empty())
        });
        assert!(
            took < Duration::from_secs(2),
            "longer than the grace period: {took:?}"
        );
        assert!(
            controller.published("g1").expect("published").0 >= version,
            "versions must not decrease"
        );
    }
    drop(stream);
}

#[test]
fn tables_of_a_proxy_absent_after_a_restart_drop_the_removed_nodes() {
    let (mut controller, stream) = start_with_proxy();
    controller.kill();
    drop(stream);
    controller.publish_endpoint_list(&PORTS, &[9003]);
    controller.start();
    let took = controller.wait_until("the removed node pruned from the old files", |controller| {
        controller
            .published("g1")
            .is_some_and(|published| published.1.len() == 7 && !published.1.contains(&9003))
    });
    assert!(
        took < Duration::from_secs(2),
        "longer than the grace period: {took:?}"
    );
    assert!(controller.log().contains("has not come back"));
}

#[test]
fn invalid_load_report_streams_are_closed_with_a_reason_and_affect_no_other() {
    let (mut controller, mut valid_stream) = start_with_proxy();
    let encode_report = |operations, seconds| {
        let report = LoadReport {
            window: Span::from_seconds(seconds),
            operations,
        };
        encode(&loads::request(&report, |_| "north".to_string()))
    };
    let overflowing_node = NodeReport {
        succeeded: u64::MAX,
        errored: u64::MAX,
        ..NodeReport::default()
    };
    let overflowing_report = OperationReport {
        operation: "quote".into(),
        nodes: vec![overflowing_node],
        ..OperationReport::default()
    };
    let mut streams = Vec::new();
    for (name, raw, message) in [
        ("b1", false, encode_report(vec![overflowing_report], 1.0)),
        (
            "b2",
            false,
            encode_report(
                vec![OperationReport {
                    operation: "quote".into(),
                    ..Default::default()
                }],
                -3.0,
            ),
        ),
        ("b3", false, vec![0xff; 100]),
        ("b4", true, vec![0, 0x06, 0x40, 0, 0]),
        ("b5", true, vec![1, 0, 0, 0, 1, 9]),
    ] {
        let mut stream = controller.open_report_stream(name, "north");
        if raw {
            stream.connection.send_raw(&message);
        } else {
            stream.connection.send(&message);
        }
        streams.push(stream);
    }
    // An HTTP/1 request, a silent connection, and a peer that closes within the HTTP/2 preface.
    let mut http1_peer = TcpStream::connect(controller.listen).expect("connection opened");
    http1_peer
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .expect("sent");
    let _silent = TcpStream::connect(controller.listen).expect("connection opened");
    let mut partial_preface = TcpStream::connect(controller.listen).expect("connection opened");
    partial_preface.write_all(b"PRI * HTTP").expect("sent");
    drop(partial_preface);
    for (number, mut stream) in streams.into_iter().enumerate() {
        controller.wait_until(&format!("the end of stream b{}", number + 1), |_| {
            valid_stream.poll();
            stream.poll();
            stream.close_reason.is_some()
        });
    }
    // Reports on nodes that were never listed are skipped, and the stream stays open.
    let unlisted_node = NodeReport {
        node: Some(wheelspread::ids::NodeId {
            address: [127, 0, 0, 1],
            port: 1,
        }),
        succeeded: 5,
        ..NodeReport::default()
    };
    let unlisted_report = OperationReport {
        operation: "quote".into(),
        nodes: vec![unlisted_node],
        ..OperationReport::default()
    };
    valid_stream
        .connection
        .send(&encode_report(vec![unlisted_report], 1.0));
    controller.wait_until("the log line on unlisted nodes", |controller| {
        valid_stream.poll();
        controller.log().contains("not listed")
    });
    // The valid stream is served as before, and memory stays bounded.
    controller.publish_endpoint_list(&PORTS, &[9005]);
    controller.wait_until("the drain", |controller| {
        valid_stream.poll();
        controller
            .published("g1")
            .is_some_and(|published| !published.1.contains(&9005))
    });
    assert!(valid_stream.close_reason.is_none() && controller.is_running());
    let kib = resident_kib(controller.pid());
    assert!(kib < 120_000, "{kib} KiB");
}

#[test]
fn an_unwritable_table_directory_is_logged_and_retried() {
    let mut controller = ControllerProcess::new();
    controller.publish_endpoint_list(&PORTS, &[]);
    std::fs::create_dir_all(controller.path("tables/gateways")).expect("created");
    std::fs::write(controller.proxy_directory("g1"), "in the way").expect("written");
    controller.start();
    let mut stream = controller.open_report_stream("g1", "north");
    controller.wait_until("the failed write to be logged twice", |controller| {
        stream.poll();
        controller.log().matches("tables not written").count() >= 2
    });
    std::fs::remove_file(controller.proxy_directory("g1")).expect("removed");
    controller.wait_until("tables", |controller| {
        stream.poll();
        controller
            .published("g1")
            .is_some_and(|published| published.1.len() == 8)
    });
}

#[test]
fn a_graceful_shutdown_notifies_proxies_and_leaves_the_last_tables() {
    let (mut controller, mut stream) = start_with_proxy();
    let before = controller.published("g1");
    let status = controller.terminate();
    assert!(status.success());
    let begin = Instant::now();
    while stream.close_reason.is_none() && begin.elapsed() < Duration::from_secs(5) {
        stream.poll();
    }
    assert_eq!(
        stream.close_reason.as_deref(),
        Some("ended with status 14: the conductor stops")
    );
    assert_eq!(controller.published("g1"), before);
}

#[test]
fn a_second_controller_on_the_same_root_is_refused() {
    let (controller, _stream) = start_with_proxy();
    let text = std::fs::read_to_string(controller.path("conductor.yaml")).expect("the file exists");
    std::fs::write(
        controller.path("other.yaml"),
        text.replace(&controller.listen.port().to_string(), "0"),
    )
    .expect("written");
    let output = Command::new(PROGRAM)
        .arg("run")
        .arg(controller.path("other.yaml"))
        .output()
        .expect("the process runs");
    let error_output = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && error_output.contains("in use by another controller"),
        "{error_output}"
    );
}

#[test]
fn an_invalid_configuration_is_reported_with_its_line_and_exit_code_2() {
    let controller = ControllerProcess::new();
    let path = controller.path("conductor.yaml");
    let text = std::fs::read_to_string(&path).expect("the file exists");
    std::fs::write(
        &path,
        text.replace("lines_per_second: 5000", "lines_per_second: -1"),
    )
    .expect("written");
    for command in ["check", "run"] {
        let output = Command::new(PROGRAM)
            .arg(command)
            .arg(&path)
            .output()
            .expect("the process runs");
        let error_output = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{error_output}");
        assert!(
            error_output.contains("line 11, deployment.channel.lines_per_second: -1"),
            "{error_output}"
        );
    }
    std::fs::write(&path, &text).expect("written");
    assert!(Command::new(PROGRAM)
        .arg("check")
        .arg(&path)
        .status()
        .expect("the process runs")
        .success());
}
