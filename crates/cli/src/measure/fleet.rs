//! What it costs to look after many conductors: the time of a whole answer by their number, and what being asked
//! costs one of them.

use super::controller::{self, Stage};
use super::controller_process::{io, Bench};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_drill::DrillError;
use wheelspread_fleet::{Fleet, Line, Request};

/// Nodes that a stand-in tells of.
const NODES: usize = 400;

/// Answers every caller at once with what a conductor of 400 nodes would say.
fn stand_in(listener: UnixListener) {
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
            let mut asked = [0; 4096];
            let Ok(count) = stream.read(&mut asked) else {
                continue;
            };
            let body = if asked[..count].starts_with(b"GET /v1/nodes") {
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
pub fn whole_answer(count: usize, rounds: usize) -> Result<f64, DrillError> {
    let directory = tempfile::tempdir().map_err(io("a directory"))?;
    let mut conductors = BTreeMap::new();
    for number in 0..count {
        let path = directory.path().join(format!("{number}.sock"));
        stand_in(UnixListener::bind(&path).map_err(io("a socket"))?);
        conductors.insert(format!("c{number:03}"), Line::Unix(path));
    }
    let within = Duration::from_secs(10);
    let fleet = Fleet {
        conductors,
        within,
        order_within: Span::from_seconds(10.0),
    };
    let mut times = Vec::new();
    for _ in 0..rounds {
        let begin = Instant::now();
        for target in ["/v1/status", "/v1/nodes"] {
            let answers = fleet.ask(&Request::get(target), within);
            if let Some((name, Err(failed))) = answers.iter().find(|(_, answer)| answer.is_err()) {
                return Err(DrillError::NotReady(format!("{name}: {failed}")));
            }
        }
        times.push(begin.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    Ok(times[rounds / 2])
}

/// One conductor that is asked so often a second, or not at all.
pub fn asked(
    program: &Path,
    nodes: usize,
    proxies: usize,
    rounds: u32,
    per_second: u32,
) -> Result<(controller::Measured, u64, f64), DrillError> {
    let mut stage = Stage::new(Bench::new(nodes)?, proxies)?;
    stage
        .bench
        .start(program, |listen| controller::file(listen, proxies))?;
    let line = Line::Unix(stage.bench.root().path().join("admin.sock"));
    let (over, answers, spent) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let told = std::thread::scope(|scope| {
        if per_second > 0 {
            scope.spawn(|| {
                let every = Duration::from_secs_f64(1.0 / f64::from(per_second));
                for target in ["/v1/status", "/v1/nodes", "/v1/tables", "/v1/sums"]
                    .iter()
                    .cycle()
                {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let begin = Instant::now();
                    let until = begin + Duration::from_secs(2);
                    if wheelspread_fleet::call(&line, &Request::get(*target), until).is_ok() {
                        answers.fetch_add(1, Ordering::Relaxed);
                        spent.fetch_add(begin.elapsed().as_micros() as u64, Ordering::Relaxed);
                    }
                    std::thread::sleep(every.saturating_sub(begin.elapsed()));
                }
            });
        }
        let told = stage.rounds(nodes, proxies, rounds);
        over.store(true, Ordering::Relaxed);
        told
    })?;
    let answers = answers.into_inner();
    Ok((
        told,
        answers,
        spent.into_inner() as f64 / 1e3 / answers.max(1) as f64,
    ))
}
