//! A controller process under faults around it: endpoint lists, kills, streams, directories, signals.

mod common;

use common::{encode, list_text, resident_kib, write, Stage, PROGRAM};
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, NodeReport, OperationReport};
use wheelspread_xds::loads;

const PORTS: [u16; 8] = [9001, 9002, 9003, 9004, 9005, 9006, 9007, 9008];

/// A conductor with a list of eight nodes and one proxy that has its tables.
fn joined() -> (Stage, common::Stream) {
    let mut stage = Stage::new();
    stage.list(&PORTS, &[]);
    stage.start();
    let mut stream = stage.stream("g1", "north");
    stage.until("tables", |stage| {
        stream.turn();
        stage.held("g1").is_some()
    });
    assert!(stream.accepted);
    (stage, stream)
}

#[test]
fn invalid_endpoint_lists_are_rejected_with_a_reason() {
    let (mut stage, mut stream) = joined();
    let list = stage.path("nodes.json");
    let whole = list_text(7, &PORTS, &[]);
    for (text, reason) in [
        (whole[..whole.len() / 2].to_string(), "can't be read"),
        ("[]".to_string(), "can't be read"),
        (list_text(1, &[9001, 9999], &[]), "not newer than version 1"),
        (list_text(8, &[], &[]), "names no node while 8"),
        (whole.replace("\"north\"", "\"moon\""), "zone `moon`"),
    ] {
        write(&list, &text);
        stage.until(reason, |stage| stage.log().contains(reason));
    }
    stream.turn();
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(
        stage.held("g1").expect("held").1.len(),
        8,
        "the last good list stands"
    );
    // A list that lacks most is doubted; as nobody hears of the missing ones, it is believed in time.
    write(&list, &list_text(10, &PORTS[..3], &[]));
    stage.until("the doubt", |stage| {
        stage.log().contains("5 of 8 ready nodes are missing")
    });
    assert_eq!(stage.held("g1").expect("held").1.len(), 8);
    let took = stage.until("the small list", |stage| {
        stream.turn();
        stage.held("g1").is_some_and(|held| held.1 == PORTS[..3])
    });
    assert!(took < Duration::from_secs(2), "within the grace: {took:?}");
}

#[test]
fn a_swapped_directory_is_detected_like_a_swapped_file() {
    let mut stage = Stage::new();
    for (name, text) in [
        ("a", list_text(1, &PORTS, &[])),
        ("b", list_text(2, &PORTS, &[9001])),
    ] {
        std::fs::create_dir_all(stage.path("lists").join(name)).expect("made");
        write(&stage.path("lists").join(name).join("nodes.json"), &text);
    }
    let point = |to: &str| {
        std::os::unix::fs::symlink(to, stage.path("lists/.next")).expect("made");
        std::fs::rename(stage.path("lists/.next"), stage.path("lists/now")).expect("swapped");
    };
    point("a");
    stage.write_file("list: lists/now/nodes.json, watched_directory: lists");
    stage.start();
    let mut stream = stage.stream("g1", "north");
    stage.until("tables", |stage| {
        stream.turn();
        stage.held("g1").is_some_and(|held| held.1.contains(&9001))
    });
    std::os::unix::fs::symlink("b", stage.path("lists/.next")).expect("made");
    std::fs::rename(stage.path("lists/.next"), stage.path("lists/now")).expect("swapped");
    stage.until("the drain", |stage| {
        stage.held("g1").is_some_and(|held| !held.1.contains(&9001))
    });
}

#[test]
fn a_crash_while_tables_are_written_leaves_complete_tables_and_rising_versions() {
    let (mut stage, mut stream) = joined();
    for round in 0..8u16 {
        let last = stage.held("g1").expect("held").0;
        let drained = PORTS[usize::from(round) % 8];
        // The kill strikes some milliseconds after the swap: before, within or after the writing.
        stage.list(&PORTS, &[drained]);
        std::thread::sleep(Duration::from_millis(u64::from(round) * 3));
        stage.kill();
        let (version, ports) = stage.held("g1").expect("whole");
        // One drains, and the one before it may not be back yet.
        assert!(
            version >= last && ports.len() >= 6,
            "{version} after {last}: {ports:?}"
        );
        stage.start();
        stream = stage.stream("g1", "north");
        let took = stage.until("the drain after a restart", |stage| {
            stream.turn();
            stage
                .held("g1")
                .is_some_and(|held| !held.1.contains(&drained) && !held.1.is_empty())
        });
        assert!(took < Duration::from_secs(2), "within the grace: {took:?}");
        assert!(
            stage.held("g1").expect("held").0 >= version,
            "versions never fall"
        );
    }
    drop(stream);
}

#[test]
fn tables_of_a_proxy_absent_after_a_restart_drop_the_removed_nodes() {
    let (mut stage, stream) = joined();
    stage.kill();
    drop(stream);
    stage.list(&PORTS, &[9003]);
    stage.start();
    let took = stage.until("the old files pruned", |stage| {
        stage
            .held("g1")
            .is_some_and(|held| held.1.len() == 7 && !held.1.contains(&9003))
    });
    assert!(took < Duration::from_secs(2), "within the grace: {took:?}");
    assert!(stage.log().contains("has not come back"));
}

#[test]
fn invalid_load_report_streams_are_closed_with_a_reason_and_affect_no_other() {
    let (mut stage, mut good) = joined();
    let bad_report = |operations, seconds| {
        let report = LoadReport {
            window: Span::from_seconds(seconds),
            operations,
        };
        encode(&loads::request(&report, |_| "north".to_string()))
    };
    let many = NodeReport {
        succeeded: u64::MAX,
        errored: u64::MAX,
        ..NodeReport::default()
    };
    let absurd = OperationReport {
        operation: "quote".into(),
        nodes: vec![many],
        ..OperationReport::default()
    };
    let mut streams = Vec::new();
    for (name, raw, message) in [
        ("b1", false, bad_report(vec![absurd], 1.0)),
        (
            "b2",
            false,
            bad_report(
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
        let mut stream = stage.stream(name, "north");
        if raw {
            stream.connection.send_raw(&message);
        } else {
            stream.connection.send(&message);
        }
        streams.push(stream);
    }
    // Nonsense, silence, and a peer that goes away within its preface.
    let mut nonsense = TcpStream::connect(stage.listen).expect("dials");
    nonsense.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    let _silent = TcpStream::connect(stage.listen).expect("dials");
    let mut gone = TcpStream::connect(stage.listen).expect("dials");
    gone.write_all(b"PRI * HTTP").expect("sent");
    drop(gone);
    for (number, mut stream) in streams.into_iter().enumerate() {
        stage.until(&format!("the end of stream b{}", number + 1), |_| {
            good.turn();
            stream.turn();
            stream.over.is_some()
        });
    }
    // Nodes that never were are left out and the stream goes on.
    let ghost = NodeReport {
        node: Some(wheelspread::ids::NodeId {
            address: [127, 0, 0, 1],
            port: 1,
        }),
        succeeded: 5,
        ..NodeReport::default()
    };
    let ghosts = OperationReport {
        operation: "quote".into(),
        nodes: vec![ghost],
        ..OperationReport::default()
    };
    good.connection.send(&bad_report(vec![ghosts], 1.0));
    stage.until("the notice of unknown nodes", |stage| {
        good.turn();
        stage.log().contains("not listed")
    });
    // The good one is served as before, and memory is bounded.
    stage.list(&PORTS, &[9005]);
    stage.until("the drain", |stage| {
        good.turn();
        stage.held("g1").is_some_and(|held| !held.1.contains(&9005))
    });
    assert!(good.over.is_none() && stage.runs());
    let kib = resident_kib(stage.pid());
    assert!(kib < 120_000, "{kib} KiB");
}

#[test]
fn an_unwritable_table_directory_is_logged_and_retried() {
    let mut stage = Stage::new();
    stage.list(&PORTS, &[]);
    std::fs::create_dir_all(stage.path("tables/gateways")).expect("made");
    std::fs::write(stage.gateway("g1"), "in the way").expect("written");
    stage.start();
    let mut stream = stage.stream("g1", "north");
    stage.until("the failure", |stage| {
        stream.turn();
        stage.log().matches("tables not written").count() >= 2
    });
    std::fs::remove_file(stage.gateway("g1")).expect("removed");
    stage.until("tables", |stage| {
        stream.turn();
        stage.held("g1").is_some_and(|held| held.1.len() == 8)
    });
}

#[test]
fn a_graceful_shutdown_notifies_proxies_and_leaves_the_last_tables() {
    let (mut stage, mut stream) = joined();
    let before = stage.held("g1");
    let status = stage.terminate();
    assert!(status.success());
    let begin = Instant::now();
    while stream.over.is_none() && begin.elapsed() < Duration::from_secs(5) {
        stream.turn();
    }
    assert_eq!(
        stream.over.as_deref(),
        Some("ended with status 14: the conductor stops")
    );
    assert_eq!(stage.held("g1"), before);
}

#[test]
fn a_second_controller_on_the_same_root_is_refused() {
    let (stage, _stream) = joined();
    let text = std::fs::read_to_string(stage.path("conductor.yaml")).expect("there");
    std::fs::write(
        stage.path("other.yaml"),
        text.replace(&stage.listen.port().to_string(), "0"),
    )
    .expect("written");
    let output = Command::new(PROGRAM)
        .arg("run")
        .arg(stage.path("other.yaml"))
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && said.contains("in use by another controller"),
        "{said}"
    );
}

#[test]
fn an_invalid_configuration_is_reported_with_its_line_and_exit_code_2() {
    let stage = Stage::new();
    let path = stage.path("conductor.yaml");
    let text = std::fs::read_to_string(&path).expect("there");
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
            .expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(
            said.contains("line 11, deployment.channel.lines_per_second: -1"),
            "{said}"
        );
    }
    std::fs::write(&path, &text).expect("written");
    assert!(Command::new(PROGRAM)
        .arg("check")
        .arg(&path)
        .status()
        .expect("it runs")
        .success());
}
