//! What the protocol state of a controller on a platform costs: CPU seconds for each second that passes, by how
//! many proxies have joined. Proxies, nodes and load reports are synthetic; there are no sockets, and no clock
//! but the CPU's.
//!
//!     cargo run --release -p wheelspread-platform-core --example load -- PROXIES NODES SECONDS

use serde_json::{json, Value};
use wheelspread::time::Moment;
use wheelspread_platform_core::{ConnectionId, ControllerCore, EndpointList, Output, SourceId};
use wheelspread_settings::{from_wire, Names};

const EPOCH: f64 = 1.0e9;
/// Seconds between two wake-ups, as messages come.
const WAKE: f64 = 0.002;

fn settings_of(proxies: usize) -> Value {
    json!({"az": 0, "me": 0, "peers_total": 5, "discovery": "push", "tick": 0.001,
        "zones": ["a", "b"], "kinds": ["k", "l"],
        "classes": [
            {"name": "lookup", "aim": 1.5, "deadline": 5.0, "worth": 3.0, "idempotency": "read_like"},
            {"name": "order", "aim": 1.5, "deadline": 5.0, "worth": 2.0, "idempotency": "non_idempotent"}],
        "feedback": {"fields": ["busy", "q"], "via": "piggyback"}, "limits": {"conn_idle": 15.0},
        "rules": {"overload_factor": 4.0, "start_capacity": 0.22, "warm_after": 16.0,
            "stop_sending_within": 3.4},
        "extra": {"admit": "ratio", "backlog": 268000.0, "bare": 2.0, "head": 4.0, "period": 1.0,
            "proxy_count": proxies, "push_delay_max": 0.4, "push_rate": 134000.0, "pushes_allowed": 20,
            "update_window": 10.0, "fails_to_eject": 8}})
}

fn send(core: &mut ControllerCore, now: f64, connection: usize, text: &str) {
    let strings: Vec<&[u8]> = text.split(' ').map(str::as_bytes).collect();
    core.handle_message(
        Moment::from_seconds(now),
        ConnectionId(connection as u64),
        &strings,
    );
}

fn cpu() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let [proxies, nodes, seconds] = arguments[..] else {
        eprintln!("load PROXIES NODES SECONDS");
        std::process::exit(2);
    };
    let value = settings_of(proxies);
    let start = Moment::from_seconds(EPOCH);
    let mut core = ControllerCore::start(start, 7, from_wire(&value), Names::from_wire(&value))
        .expect("it starts");
    let zone = |at: usize| ["a", "b"][at % 2];
    let kind = |at: usize| ["k", "l"][at / 2 % 2];
    let entry = |at: usize, status: &str| {
        json!({"name": format!("s{at}"), "address": "127.0.0.9:80", "zone": zone(at), "type": kind(at),
            "group": 1, "status": status, "weight": 1.0, "since_ms": 0})
    };
    let entries: Vec<Value> = (0..nodes).map(|at| entry(at, "Ready")).collect();
    let list = json!({"index": 1, "snapshot": true, "endpoints": entries});
    core.handle_endpoint_list(
        start,
        &EndpointList::parse(&list, core.names()).expect("a list"),
        SourceId(1),
    );
    for zone in 0..2 {
        send(
            &mut core,
            EPOCH,
            zone,
            &format!("collector az {}", ["a", "b"][zone]),
        );
    }
    for proxy in 0..proxies {
        let az = zone(proxy);
        send(
            &mut core,
            EPOCH,
            10 + proxy,
            &format!("joined sidecar {proxy} az {az} share 2.5 standing 1"),
        );
    }
    let (mut messages, mut bytes, mut decide_seconds, mut wakes) = (0usize, 0usize, 0.0, 0usize);
    let (mut markers, before) = (Vec::new(), cpu());
    let steps = (seconds as f64 / WAKE) as usize;
    for step in 0..steps {
        let now = EPOCH + step as f64 * WAKE;
        // Once a second each proxy reports its demand and each zone's collector each node; one node a second
        // drains; acknowledgements come with the next wake-up.
        let of = |count: usize, at: usize| (count * at / 500)..(count * (at + 1) / 500);
        for proxy in of(proxies, step % 500) {
            for class in ["lookup", "order"] {
                let n = 1 + (proxy + step / 500) % 3;
                let text = format!("usage sidecar {proxy} kind {class} n {n} bad 0 window 1000");
                send(&mut core, now, 10 + proxy, &text);
            }
        }
        for node in of(nodes, step % 500) {
            for (at, az) in ["a", "b"].iter().enumerate() {
                let ms = 80 + (node * 7 + step / 500 * 13) % 40;
                let text = format!(
                    "heard az {az} host s{node} n 12 bad 0 avg {ms} window 1000 report util:0.5,queue:0"
                );
                send(&mut core, now, at, &text);
            }
        }
        if step % 500 == 250 {
            let (at, version) = (step / 500, step as u64 + 2);
            let list = json!({"index": version, "snapshot": false, "endpoints": [entry(at % nodes, "Terminating")]});
            let list = EndpointList::parse(&list, core.names()).expect("a list");
            core.handle_endpoint_list(Moment::from_seconds(now), &list, SourceId(1));
        }
        for (connection, marker) in std::mem::take(&mut markers) {
            let proxy: usize = connection - 10;
            send(
                &mut core,
                now,
                connection,
                &format!("applied sidecar {proxy} version {marker} lag_ms 150"),
            );
        }
        let began = cpu();
        let out = core.decide(Moment::from_seconds(now));
        decide_seconds += cpu() - began;
        wakes += 1;
        for out in out {
            if let Output::Write {
                connection,
                bytes: written,
            } = out
            {
                (messages, bytes) = (messages + 1, bytes + written.len());
                let text = String::from_utf8_lossy(&written);
                if let Some(marker) = text
                    .split("stamp\r\n")
                    .nth(1)
                    .and_then(|rest| rest.split("\r\n").nth(1))
                {
                    markers.push((connection.0 as usize, marker.to_string()));
                }
            }
        }
    }
    let spent = cpu() - before;
    println!(
        "{proxies} proxies, {nodes} nodes: {:.4} s of CPU a second, {:.4} of it to settle, {:.1} us a wake-up; \
         {messages} messages, {bytes} bytes",
        spent / seconds as f64,
        decide_seconds / seconds as f64,
        decide_seconds / wakes as f64 * 1e6,
    );
}
