//! Measures the cost of operating many controllers: the time of a complete answer by the number of controllers, and
//! the cost that polling adds to one controller.

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

/// The number of nodes in the answers of a stand-in.
const NODES: usize = 400;

/// The fleet sizes; the controllers are stand-ins in this process.
const CONTROLLER_COUNTS: [usize; 6] = [1, 3, 10, 30, 100, 300];
/// The targets that the polling thread requests in turn.
const POLLED_TARGETS: [&str; 4] = ["/v1/status", "/v1/nodes", "/v1/tables", "/v1/sums"];

/// Answers every connection like a controller with [`NODES`] nodes.
fn start_stand_in(listener: UnixListener) {
    let node = |index: usize| {
        json!({ "node": format!("127.0.{}.{}:9000", index / 200, index % 200), "zone": "north", "listing": "ready",
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

/// The median time, over `rounds`, in which all controllers answer both queries (status and nodes), in milliseconds.
fn complete_answer_ms(count: usize, rounds: usize) -> Result<f64, MeasureError> {
    let directory = tempfile::tempdir().map_err(io("a temporary directory"))?;
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
    let mut durations_ms = Vec::new();
    for _ in 0..rounds {
        let begin = Instant::now();
        for target in ["/v1/status", "/v1/nodes"] {
            let answers = fleet.call_all(&Request::get(target), within);
            if let Some((name, Err(failed))) = answers.iter().find(|(_, answer)| answer.is_err()) {
                return Err(MeasureError::NotReady(format!("{name}: {failed}")));
            }
        }
        durations_ms.push(begin.elapsed().as_secs_f64() * 1e3);
    }
    Ok(median(&mut durations_ms))
}

/// The figures of a controller that is being polled.
struct Polled {
    figures: Measured,
    answers: u64,
    mean_answer_ms: f64,
}

/// Polls `line` until `stop` is set; counts the answers and adds up their durations in microseconds.
fn poll(
    line: &ControllerAddress,
    per_second: u32,
    stop: &AtomicBool,
    answers: &AtomicU64,
    answer_micros: &AtomicU64,
) {
    let interval = Duration::from_secs_f64(1.0 / f64::from(per_second));
    for target in POLLED_TARGETS.iter().cycle() {
        if stop.load(Ordering::Relaxed) {
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

/// Measures one controller that is polled `per_second` times per second; 0 disables polling.
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
    let stop = AtomicBool::new(false);
    let (answers, answer_micros) = (AtomicU64::new(0), AtomicU64::new(0));
    let figures = std::thread::scope(|scope| {
        if per_second > 0 {
            scope.spawn(|| poll(&line, per_second, &stop, &answers, &answer_micros));
        }
        let figures = controller::measure_running(&mut fleet, nodes, proxies, rounds);
        stop.store(true, Ordering::Relaxed);
        figures
    })?;
    let answers = answers.into_inner();
    Ok(Polled {
        figures,
        answers,
        mean_answer_ms: answer_micros.into_inner() as f64 / 1e3 / answers.max(1) as f64,
    })
}

/// Runs both measurements and prints the figures.
pub fn run(rounds: u32) -> Result<(), MeasureError> {
    print_line!("{:>12}{:>18}", "conductors", "answer ms");
    for count in CONTROLLER_COUNTS {
        let ms = complete_answer_ms(count, 9)?;
        print_line!("{count:>12}{ms:>18.1}");
    }
    let program = program()?;
    let (nodes, proxies) = SIZES[2];
    print_line!(
        "{:>16}{:>14}{:>14}{:>10}{:>10}{:>14}",
        "polls per s",
        "p50 ms",
        "p99 ms",
        "CPU s/s",
        "answers",
        "mean ms"
    );
    for per_second in [0, 10, 0, 10] {
        let polled = measure_polled(&program, nodes, proxies, rounds, per_second)?;
        print_line!(
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
