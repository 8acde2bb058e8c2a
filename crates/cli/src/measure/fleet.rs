//! What operating many controllers costs: the time of a complete answer by their number, and what being polled costs
//! one of them.

use super::controller::{self, Measured};
use super::controller_process::ControllerProcess;
use super::error::{io, MeasureError};
use super::file_proxies::FileProxies;
use super::fleet_config::controller_file;
use super::sampling::median;
use super::{program, SIZES};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_fleet::{ControllerAddress, Fleet, Request};

/// Nodes in the answers of a stand-in.
const NODES: usize = 400;

/// Controllers of a fleet, stand-ins in this process.
const CONTROLLER_COUNTS: [usize; 6] = [1, 3, 10, 30, 100, 300];
/// The targets that a polled controller is asked for in turn.
const POLLED_TARGETS: [&str; 4] = ["/v1/status", "/v1/nodes", "/v1/tables", "/v1/sums"];

/// Serves every connection with the answers of a controller of 400 nodes.
fn start_stand_in(listener: UnixListener) {
    let node = |at: usize| {
        json!({ "node": format!("127.0.{}.{}:9000", at / 200, at % 200), "zone": "north", "listing": "ready",
                "cold": false, "by_order": false, "weight": 1.0 })
    };
    let nodes =
        json!({ "list": "1", "nodes": (0..NODES).map(node).collect::<Vec<_>>() }).to_string();
    let status = json!({ "interface": 1, "name": "c", "list": "1", "configuration": 1, "configuration_lacking": 0,
        "nodes": { "ready": NODES, "draining": 0, "cold": 0 }, "gateways": { "joined": 890, "known": 890 },
        "sums_heard_s": 0.2, "lines_waiting": 0.0, "lines_waiting_at_most": 9000.0 });
    let status = status.to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let Ok(count) = stream.read(&mut request) else {
                continue;
            };
            let body = if request[..count].starts_with(b"GET /v1/nodes") {
                &nodes
            } else {
                &status
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(body.as_bytes()));
        }
    });
}

/// Milliseconds for status and nodes of all, the median of some rounds.
fn complete_answer_ms(count: usize, rounds: usize) -> Result<f64, MeasureError> {
    let directory = tempfile::tempdir().map_err(io("a directory"))?;
    let mut conductors = BTreeMap::new();
    for number in 0..count {
        let path = directory.path().join(format!("{number}.sock"));
        start_stand_in(UnixListener::bind(&path).map_err(io("a socket"))?);
        conductors.insert(format!("c{number:03}"), ControllerAddress::Unix(path));
    }
    let within = Duration::from_secs(10);
    let fleet = Fleet {
        controllers: conductors,
        answer_timeout: within,
        order_timeout: Span::from_seconds(10.0),
    };
    let mut times = Vec::new();
    for _ in 0..rounds {
        let begin = Instant::now();
        for target in ["/v1/status", "/v1/nodes"] {
            let answers = fleet.call_all(&Request::get(target), within);
            if let Some((name, Err(failed))) = answers.iter().find(|(_, answer)| answer.is_err()) {
                return Err(MeasureError::NotReady(format!("{name}: {failed}")));
            }
        }
        times.push(begin.elapsed().as_secs_f64() * 1e3);
    }
    Ok(median(&mut times))
}

/// A controller's figures while it is polled.
struct Polled {
    figures: Measured,
    answers: u64,
    mean_answer_ms: f64,
}

/// Polls `line` until `over`; counts the answers and the microseconds that they took.
fn poll(
    line: &ControllerAddress,
    per_second: u32,
    over: &AtomicBool,
    answers: &AtomicU64,
    answer_micros: &AtomicU64,
) {
    let interval = Duration::from_secs_f64(1.0 / f64::from(per_second));
    for target in POLLED_TARGETS.iter().cycle() {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let begin = Instant::now();
        let until = begin + Duration::from_secs(2);
        if wheelspread_fleet::call(line, &Request::get(*target), until).is_ok() {
            answers.fetch_add(1, Ordering::Relaxed);
            answer_micros.fetch_add(begin.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
        std::thread::sleep(interval.saturating_sub(begin.elapsed()));
    }
}

/// Measures one controller that is polled `per_second` times a second, or not at all.
fn measure_polled(
    program: &Path,
    nodes: usize,
    proxies: usize,
    rounds: u32,
    per_second: u32,
) -> Result<Polled, MeasureError> {
    let mut fleet = FileProxies::new(ControllerProcess::new(nodes)?, proxies)?;
    fleet
        .controller
        .start(program, |listen| controller_file(listen, proxies))?;
    let line = ControllerAddress::Unix(fleet.controller.root().path().join("admin.sock"));
    let over = AtomicBool::new(false);
    let (answers, answer_micros) = (AtomicU64::new(0), AtomicU64::new(0));
    let figures = std::thread::scope(|scope| {
        if per_second > 0 {
            scope.spawn(|| poll(&line, per_second, &over, &answers, &answer_micros));
        }
        let figures = controller::measure_running(&mut fleet, nodes, proxies, rounds);
        over.store(true, Ordering::Relaxed);
        figures
    })?;
    let answers = answers.into_inner();
    Ok(Polled {
        figures,
        answers,
        mean_answer_ms: answer_micros.into_inner() as f64 / 1e3 / answers.max(1) as f64,
    })
}

/// Measures both and prints them.
pub fn run(rounds: u32) -> Result<(), MeasureError> {
    say!("{:>12}{:>18}", "conductors", "whole answer ms");
    for count in CONTROLLER_COUNTS {
        let ms = complete_answer_ms(count, 9)?;
        say!("{count:>12}{ms:>18.1}");
    }
    let program = program()?;
    let (nodes, proxies) = SIZES[2];
    say!(
        "{:>16}{:>14}{:>14}{:>10}{:>10}{:>14}",
        "asked a second",
        "p50 ms",
        "p99 ms",
        "CPU s/s",
        "answers",
        "each ms"
    );
    for per_second in [0, 10, 0, 10] {
        let polled = measure_polled(&program, nodes, proxies, rounds, per_second)?;
        say!(
            "{per_second:>16}{:>14.1}{:>14.1}{:>10.3}{:>10}{:>14.1}",
            polled.figures.list_to_link_ms_p50,
            polled.figures.list_to_link_ms_p99,
            polled.figures.cpu,
            polled.answers,
            polled.mean_answer_ms
        );
    }
    Ok(())
}
