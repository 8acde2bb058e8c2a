//! Changes of configuration at conductor processes that are killed on the way, told from what gateways get:
//! files, streams, and the versions that lie under the root.

mod common;

use common::client::Client;
use common::{run_to_end, Stage, Stream, PROGRAM};
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, NodeReport, OperationReport};
use wheelspread_files::read_tables;
use wheelspread_xds::{loads, tables::Orders};

const PORTS: [u16; 6] = [9101, 9102, 9103, 9104, 9105, 9106];
const MOVED: u16 = 9101;

const DEPLOYMENT: &str = "
changes: {watch: 400ms, apply_at_most: 5s}
deployment:
  zones: [north, south]
  operations:
    - {name: quote, latency_objective: 1s, integration_timeout: 3s, billed_value: 1, repeat: idempotent, stays_in_zone: true}
  proxies: {count: 4, usual_rate: 10}
  rules: {without_node_at_most: 2s, drain_grace: 600ms, cold_start_share: 0.2, warm_after: 5s,
          cold_overload_factor: 4, cold_overload_span: 2s}
  channel: {lines_waiting_at_most: 1000, lines_per_second: 5000, delay_at_most: 200ms}
  sums: {period: 100ms, loads: [utilization]}
";

const CHANGE: &str = "{id: spring, by: dispatch, sets: {\"nodes.127.0.0.1:9101.zone\": south,
  operations.quote.integration_timeout: 2500ms}}";

struct World {
    stage: Stage,
    files: BTreeMap<&'static str, Stream>,
    stream: Option<Client>,
    reported: Instant,
    /// What each gateway held, one after the other.
    held: BTreeMap<&'static str, Vec<Orders>>,
}

fn zone_of(gateway: &str) -> &'static str {
    if gateway.starts_with('n') {
        "north"
    } else {
        "south"
    }
}

fn list(version: u64) -> String {
    let url = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    let zone = |name: &str, ports: &[u16]| {
        let address = |port: &u16| serde_json::json!({ "address": "127.0.0.1", "portValue": port });
        let each = ports
            .iter()
            .map(|port| serde_json::json!({ "endpoint": { "address": { "socketAddress": address(port) } } }));
        serde_json::json!({ "locality": { "zone": name }, "lbEndpoints": each.collect::<Vec<_>>() })
    };
    let endpoints = [zone("north", &PORTS[..3]), zone("south", &PORTS[3..])];
    let listed =
        serde_json::json!({ "@type": url, "clusterName": "nodes", "endpoints": endpoints });
    serde_json::json!({ "versionInfo": version.to_string(), "typeUrl": url, "resources": [listed] })
        .to_string()
}

impl World {
    fn new(faults: &str) -> World {
        let mut stage = Stage::new();
        let place = format!(
            "conductor: {{name: c0, listen: \"{}\", tables: tables, list: nodes.json}}",
            stage.listen
        );
        let text = format!("{place}\nlog: {{form: json, level: debug}}\n{DEPLOYMENT}");
        std::fs::write(stage.path("conductor.yaml"), text).expect("written");
        std::fs::write(stage.path("change.yaml"), CHANGE).expect("written");
        common::write(&stage.path("nodes.json"), &list(1));
        stage.start_with(faults);
        let (files, held) = (BTreeMap::new(), BTreeMap::new());
        World {
            stage,
            files,
            stream: None,
            reported: Instant::now(),
            held,
        }
    }

    /// Gateways dial, read, tell; a conductor that was killed is started again, without faults.
    fn turn(&mut self) {
        if !self.stage.runs() {
            self.files.clear();
            self.stream = None;
            self.stage.start();
        }
        for name in ["n1", "s1"] {
            let stage = &self.stage;
            let stream = self
                .files
                .entry(name)
                .or_insert_with(|| stage.stream(name, zone_of(name)));
            stream.turn();
            if let Ok(Some(told)) = read_tables(&stage.gateway(name)) {
                note(&mut self.held, name, told.orders);
            }
        }
        let client = self
            .stream
            .get_or_insert_with(|| Client::dial(&self.stage, "n2", "north"));
        client.turn();
        if let Some(orders) = &client.orders {
            note(&mut self.held, "n2", orders.clone());
        }
        if self.files.values().any(|stream| stream.over.is_some()) {
            self.files.retain(|_, stream| stream.over.is_none());
        }
        if client.over.is_some() {
            self.stream = None;
        }
        if self.reported.elapsed() > Duration::from_millis(100) {
            self.reported = Instant::now();
            let node = wheelspread::ids::NodeId {
                address: [127, 0, 0, 1],
                port: PORTS[4],
            };
            let node = NodeReport {
                node: Some(node),
                succeeded: 1,
                ..NodeReport::default()
            };
            let operation = "quote".to_string();
            let quote = OperationReport {
                operation,
                nodes: vec![node],
                ..OperationReport::default()
            };
            let report = LoadReport {
                window: Span::from_seconds(0.1),
                operations: vec![quote],
            };
            let report = common::encode(&loads::request(&report, |_| String::new()));
            self.files.values_mut().for_each(|stream| {
                stream.connection.send(&report);
            });
        }
        std::thread::sleep(Duration::from_millis(3));
    }

    fn change(&self, arguments: &[&str]) -> (i32, String) {
        change_at(&[&self.stage], arguments)
    }

    /// Tells an order again, as an operator would, until a conductor has answered it.
    fn insist(&mut self, arguments: &[&str]) -> String {
        let begin = Instant::now();
        loop {
            self.turn();
            match self.change(arguments) {
                (3, text) => assert!(
                    begin.elapsed() < Duration::from_secs(15),
                    "{arguments:?}: {text}"
                ),
                (_, text) => return text,
            }
        }
    }

    fn until_state(&mut self, id: &str, wanted: &str) {
        let begin = Instant::now();
        loop {
            self.turn();
            let (_, text) = self.change(&["show", id, "--json"]);
            if text.contains(&format!("\"state\":\"{wanted}\"")) {
                break;
            }
            let late = begin.elapsed() > Duration::from_secs(15);
            assert!(!late, "{id} is not {wanted}: {text}\n{}", self.stage.log());
        }
    }

    fn staged(&mut self) {
        let file = self.stage.path("change.yaml").display().to_string();
        let begin = Instant::now();
        while self.held.len() < 3 {
            self.turn();
            assert!(
                begin.elapsed() < Duration::from_secs(15),
                "{:?}",
                self.held.keys()
            );
        }
        let told = self.insist(&["stage", &file]);
        assert!(
            told.contains("staged") || told.contains("checked"),
            "{told}"
        );
    }

    /// No version that any gateway could have read says one thing of the old configuration and another of the
    /// new, and nobody went back.
    fn judge(&self, new_at_end: bool) {
        for (name, held) in &self.held {
            let mut newest = false;
            let mut turns = 0;
            for orders in held {
                let new = is_new(name, orders).unwrap_or_else(|mix| panic!("{name}: {mix}"));
                turns += u32::from(new != newest);
                newest = new;
            }
            assert_eq!(newest, new_at_end, "{name}: {held:?}");
            assert!(
                turns <= if new_at_end { 1 } else { 2 },
                "{name} was told twice: {held:?}"
            );
        }
    }

    /// The same for every version that still lies under the root, whoever was pointed at it.
    fn judge_versions(&self) -> usize {
        let mut count = 0;
        for entry in std::fs::read_dir(self.stage.path("tables/versions"))
            .expect("there")
            .flatten()
        {
            let link = self.stage.path("looked-at");
            std::fs::create_dir_all(&link).expect("made");
            let current = link.join("current");
            let _ = std::fs::remove_file(&current);
            std::os::unix::fs::symlink(entry.path(), &current).expect("linked");
            let Ok(Some(told)) = read_tables(&link) else {
                continue;
            };
            // Of which gateways they are is told by their nodes.
            let south = told.orders.operations[0]
                .lines
                .iter()
                .any(|line| line.node.port >= PORTS[3]);
            let gateway = if south { "s1" } else { "n1" };
            is_new(gateway, &told.orders)
                .unwrap_or_else(|mix| panic!("version {:?}: {mix}", entry.path()));
            count += 1;
        }
        count
    }
}

fn note(held: &mut BTreeMap<&'static str, Vec<Orders>>, name: &'static str, orders: Orders) {
    let all = held.entry(name).or_default();
    if all.last().is_none_or(|last| last.version != orders.version) {
        all.push(orders);
    }
}

/// Whether tables are of the new configuration; what is of both, or of neither, is an error.
fn is_new(gateway: &str, orders: &Orders) -> Result<bool, String> {
    let told = &orders.operations[0];
    let moved = told.lines.iter().any(|line| line.node.port == MOVED);
    let seconds = told.timeout.map_or(0.0, wheelspread::time::Span::seconds);
    match (zone_of(gateway), seconds, moved) {
        (_, 3.0, moved) if moved == (zone_of(gateway) == "north") || !moved => Ok(false),
        ("north", 2.5, false) | ("south", 2.5, _) => Ok(true),
        (zone, timeout, moved) => Err(format!(
            "a mix in {zone}: timeout {timeout} s, moved node there: {moved}"
        )),
    }
}

fn change_at(stages: &[&Stage], arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(PROGRAM);
    command.arg("change");
    for stage in stages {
        command.arg("--at").arg(stage.path("tables"));
    }
    run_to_end(command.args(arguments))
}

/// Plays a change with a fault; returns whether the conductor was killed.
fn play(faults: &str, undo: bool) -> bool {
    let mut world = World::new(faults);
    let first = world.stage.pid();
    world.staged();
    world.insist(&["apply", "spring"]);
    if undo {
        world.insist(&["undo", "spring", "--why", "not liked"]);
    }
    world.until_state("spring", if undo { "undone" } else { "kept" });
    for _ in 0..30 {
        world.turn();
    }
    world.judge(!undo);
    assert!(world.judge_versions() > 0);
    let log = world.stage.log();
    let made = log
        .matches("\"message\":\"configuration in force\",\"configuration\":2")
        .count();
    assert!(made <= 1, "applied twice: {log}");
    world.stage.pid() != first
}

/// Runs cases on a few threads at once.
fn all(cases: Vec<(String, bool)>) -> usize {
    let (next, killed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                while let Some((faults, undo)) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    killed.fetch_add(usize::from(play(faults, *undo)), Ordering::Relaxed);
                }
            });
        }
    });
    killed.into_inner()
}

#[test]
fn no_proxy_holds_a_mixed_configuration_when_the_controller_is_killed_at_any_failpoint() {
    let mut cases = vec![(String::new(), false), (String::new(), true)];
    for point in wheelspread_faults::NAMES {
        // The first time, and later times, which fall into the change and into its undo.
        for skipped in [0, 3, 6] {
            cases.push((
                format!("{point}={skipped}*off->1*return(kill)->off"),
                skipped == 6,
            ));
        }
    }
    let killed = all(cases);
    assert!(
        killed >= 30,
        "{killed} runs came by the place where they were to be killed"
    );
}

#[test_case("store.begin=1*off->8*return(full)->off", "configuration change waits for the disk"; "full for a while")]
#[test_case("store.written=4*off->3*sleep(700)->off", "\"kept\""; "slow")]
fn a_failing_disk_delays_a_change_but_no_table_update(faults: &str, said: &str) {
    let mut world = World::new(faults);
    world.staged();
    world.insist(&["apply", "spring"]);
    // Meanwhile nodes that go are taken out as ever.
    let drained = list(2).replacen(
        r#"{"endpoint""#,
        r#"{"healthStatus":"DRAINING","endpoint""#,
        3,
    );
    common::write(&world.stage.path("nodes.json"), &drained);
    let begin = Instant::now();
    let names = |world: &World, port: u16| {
        world.held["n1"]
            .last()
            .is_some_and(|o| o.operations[0].lines.iter().any(|l| l.node.port == port))
    };
    while names(&world, PORTS[1]) {
        world.turn();
        assert!(
            begin.elapsed() < Duration::from_secs(2),
            "a drain waits for the disk of changes"
        );
    }
    world.until_state("spring", "kept");
    assert!(world.stage.log().contains(said), "{}", world.stage.log());
}

#[test]
fn a_conflict_names_both_operators_and_a_plan_prints_each_setting() {
    let mut world = World::new("");
    let other = world.stage.path("other.yaml");
    let text = "{id: summer, by: bob, base: 1, sets: {operations.quote.integration_timeout: 4s}}";
    std::fs::write(&other, text).expect("written");
    let other = other.display().to_string();
    world.staged();
    let (code, plan) = world.change(&["plan", &other]);
    assert_eq!(code, 0, "{plan}");
    for line in [
        "against version 1",
        "- operations.quote.integration_timeout: 3s",
        "+ operations.quote.integration_timeout: 4s",
    ] {
        assert!(plan.contains(line), "{plan}");
    }
    world.insist(&["stage", &other]);
    world.insist(&["apply", "spring"]);
    world.until_state("spring", "kept");
    let (code, told) = world.change(&["apply", "summer"]);
    assert_eq!(code, 1, "{told}");
    for name in [
        "summer by bob",
        "spring by dispatch",
        "operations.quote.integration_timeout",
    ] {
        assert!(told.contains(name), "{told}");
    }
    // What can't be is refused with its path; the same name with other content too.
    for (text, said) in [
        (
            "{id: x1, by: bob, sets: {operations.quote.repeat: side-effecting}}",
            "can't change while",
        ),
        (
            "{id: x2, by: bob, sets: {\"nodes.127.0.0.1:9101.zone\": moon}}",
            "zone `moon` is not one",
        ),
        (
            "{id: x3, by: bob, sets: {operations.quote.integration_timeout: 10ms}}",
            "latency_objective",
        ),
        (
            "{id: spring, by: bob, sets: {cross_zone_price: 0.5}}",
            "names another change already",
        ),
        (
            "{id: x4, by: bob, base: 77, sets: {cross_zone_price: 0.5}}",
            "version 77 was never in force",
        ),
        (
            "{id: x5, by: bob, sets: {cross_zone_price: [1]}}",
            "a text, a number",
        ),
        ("{id: x6, sets: {}}", "missing field `by`"),
        (
            "{id: x/7, by: bob, sets: {cross_zone_price: 0.5}}",
            "letters, digits",
        ),
    ] {
        std::fs::write(world.stage.path("bad.yaml"), text).expect("written");
        let (code, told) =
            world.change(&["stage", &world.stage.path("bad.yaml").display().to_string()]);
        assert!(code == 1 || code == 2, "{text}: {code}");
        assert!(told.contains(said), "{text}: {told}");
    }
}

#[test]
fn a_controller_that_was_unreachable_takes_the_change_when_it_is_sent_again() {
    let mut worlds = [World::new(""), World::new(""), World::new("")];
    let file = worlds[0].stage.path("change.yaml").display().to_string();
    worlds[2].stage.kill();
    let stages: Vec<&Stage> = worlds.iter().map(|world| &world.stage).collect();
    for arguments in [["stage", file.as_str()], ["apply", "spring"]] {
        let (code, told) = change_at(&stages, &arguments);
        assert_eq!(code, 3, "one did not answer, which is no success: {told}");
        assert!(told.contains("admin.sock"), "it is named: {told}");
    }
    for world in &mut worlds[..2] {
        world.until_state("spring", "kept");
    }
    // A later change rests on one that it does not have yet.
    let late = &mut worlds[2];
    late.stage.start();
    std::fs::write(
        late.stage.path("next.yaml"),
        "{id: next, by: dispatch, base: 2, sets: {cross_zone_price: 0.1}}",
    )
    .expect("written");
    let next = late.stage.path("next.yaml").display().to_string();
    let told = late.insist(&["stage", &next]);
    assert!(told.contains("version 2 was never in force"), "{told}");
    // The same orders to all again: those who have it do nothing, the late one catches up.
    let stages: Vec<&Stage> = worlds.iter().map(|world| &world.stage).collect();
    for arguments in [["stage", file.as_str()], ["apply", "spring"]] {
        let (code, told) = change_at(&stages, &arguments);
        assert_eq!(code, 0, "{told}");
    }
    worlds[2].until_state("spring", "kept");
    for world in &worlds {
        assert_eq!(
            world.stage.log().matches("configuration in force").count(),
            1
        );
    }
}

#[test]
fn the_endpoint_list_survives_a_crash_and_the_loss_of_its_file() {
    let mut world = World::new("");
    while world.held.len() < 3 {
        world.turn();
    }
    // The list is kept within a second or so.
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_millis(1500) {
        world.turn();
    }
    world.stage.kill();
    std::fs::remove_file(world.stage.path("nodes.json")).expect("it was there");
    world.held.clear();
    while world.held.len() < 3 || world.held.values().any(|held| held.len() < 2) {
        world.turn();
        assert!(
            begin.elapsed() < Duration::from_secs(15),
            "{}",
            world.stage.log()
        );
    }
    assert!(world
        .stage
        .log()
        .contains("the last accepted one stays in force"));
    for (name, held) in &world.held {
        let lines = held
            .last()
            .map_or(0, |orders| orders.operations[0].lines.len());
        assert_eq!(lines, 3, "{name}");
    }
    // The same list, back again, is taken though its version is the one remembered.
    common::write(&world.stage.path("nodes.json"), &list(1));
    while world.stage.log().matches("endpoint list accepted").count() < 3 {
        world.turn();
        assert!(
            begin.elapsed() < Duration::from_secs(20),
            "{}",
            world.stage.log()
        );
    }
    assert!(!world.stage.log().contains("not newer than version"));
}
