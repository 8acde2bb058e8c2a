//! Configuration changes at controller processes that are killed on the way. The results are judged by what proxies
//! receive over files and streams, and by the table versions on disk.

mod common;

use common::client::Client;
use common::{run_to_end, ControllerProcess, ReportStream, PROGRAM};
use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, NodeReport, OperationReport};
use wheelspread_files::read_tables;
use wheelspread_xds::{loads, tables::ProxyTables};

const PORTS: [u16; 6] = [9101, 9102, 9103, 9104, 9105, 9106];
/// Port of the node that the change moves from zone `north` to `south`.
const MOVED_PORT: u16 = 9101;

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

struct Setup {
    controller: ControllerProcess,
    /// Load report streams of the proxies that read files.
    report_streams: BTreeMap<&'static str, ReportStream>,
    /// The proxy that reads a discovery stream.
    discovery_client: Option<Client>,
    /// When the last load reports were sent.
    last_report: Instant,
    /// The tables that each proxy received, in order; repeated reads of one version count once.
    received: BTreeMap<&'static str, Vec<ProxyTables>>,
}

fn zone_of(proxy: &str) -> &'static str {
    if proxy.starts_with('n') {
        "north"
    } else {
        "south"
    }
}

/// An endpoint list with the first three nodes in zone `north` and the others in `south`.
fn endpoint_list(version: u64) -> String {
    let url = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
    let zone = |name: &str, ports: &[u16]| {
        let address = |port: &u16| serde_json::json!({ "address": "127.0.0.1", "portValue": port });
        let endpoints_of_zone = ports
            .iter()
            .map(|port| serde_json::json!({ "endpoint": { "address": { "socketAddress": address(port) } } }));
        serde_json::json!({ "locality": { "zone": name }, "lbEndpoints": endpoints_of_zone.collect::<Vec<_>>() })
    };
    let endpoints = [zone("north", &PORTS[..3]), zone("south", &PORTS[3..])];
    let listed =
        serde_json::json!({ "@type": url, "clusterName": "nodes", "endpoints": endpoints });
    serde_json::json!({ "versionInfo": version.to_string(), "typeUrl": url, "resources": [listed] })
        .to_string()
}

impl Setup {
    fn new(failpoints: &str) -> Setup {
        let mut controller = ControllerProcess::new();
        let controller_settings = format!(
            "conductor: {{name: c0, listen: \"{}\", tables: tables, list: nodes.json}}",
            controller.listen
        );
        let text =
            format!("{controller_settings}\nlog: {{form: json, level: debug}}\n{DEPLOYMENT}");
        std::fs::write(controller.path("conductor.yaml"), text).expect("written");
        std::fs::write(controller.path("change.yaml"), CHANGE).expect("written");
        common::write(&controller.path("nodes.json"), &endpoint_list(1));
        controller.start_with_failpoints(failpoints);
        let (report_streams, received) = (BTreeMap::new(), BTreeMap::new());
        Setup {
            controller,
            report_streams,
            discovery_client: None,
            last_report: Instant::now(),
            received,
        }
    }

    /// Lets each proxy connect, read its tables and send load reports. A controller that was killed is started again
    /// without failpoints.
    fn poll(&mut self) {
        if !self.controller.is_running() {
            self.report_streams.clear();
            self.discovery_client = None;
            self.controller.start();
        }
        for name in ["n1", "s1"] {
            let controller = &self.controller;
            let stream = self
                .report_streams
                .entry(name)
                .or_insert_with(|| controller.open_report_stream(name, zone_of(name)));
            stream.poll();
            if let Ok(Some(published)) = read_tables(&controller.proxy_directory(name)) {
                record_tables(&mut self.received, name, published.tables);
            }
        }
        let client = self
            .discovery_client
            .get_or_insert_with(|| Client::dial(&self.controller, "n2", "north"));
        client.poll();
        if let Some(tables) = &client.tables {
            record_tables(&mut self.received, "n2", tables.clone());
        }
        if self
            .report_streams
            .values()
            .any(|stream| stream.close_reason.is_some())
        {
            self.report_streams
                .retain(|_, stream| stream.close_reason.is_none());
        }
        if client.close_reason.is_some() {
            self.discovery_client = None;
        }
        if self.last_report.elapsed() > Duration::from_millis(100) {
            self.last_report = Instant::now();
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
            self.report_streams.values_mut().for_each(|stream| {
                stream.connection.send(&report);
            });
        }
        std::thread::sleep(Duration::from_millis(3));
    }

    fn run_change(&self, arguments: &[&str]) -> (i32, String) {
        run_change_at(&[&self.controller], arguments)
    }

    /// Repeats a command, as an operator would, until a controller has answered it.
    fn retry_until_answered(&mut self, arguments: &[&str]) -> String {
        let begin = Instant::now();
        loop {
            self.poll();
            match self.run_change(arguments) {
                (3, text) => assert!(
                    begin.elapsed() < Duration::from_secs(15),
                    "{arguments:?}: {text}"
                ),
                (_, text) => return text,
            }
        }
    }

    /// Waits until a change is in a state.
    fn wait_for_state(&mut self, id: &str, wanted: &str) {
        let begin = Instant::now();
        loop {
            self.poll();
            let (_, text) = self.run_change(&["show", id, "--json"]);
            if text.contains(&format!("\"state\":\"{wanted}\"")) {
                break;
            }
            let timed_out = begin.elapsed() > Duration::from_secs(15);
            assert!(
                !timed_out,
                "{id} is not {wanted}: {text}\n{}",
                self.controller.log()
            );
        }
    }

    /// Waits until each proxy has tables, then stages the change.
    fn stage_change(&mut self) {
        let file = self.controller.path("change.yaml").display().to_string();
        let begin = Instant::now();
        while self.received.len() < 3 {
            self.poll();
            assert!(
                begin.elapsed() < Duration::from_secs(15),
                "{:?}",
                self.received.keys()
            );
        }
        let output = self.retry_until_answered(&["stage", &file]);
        assert!(
            output.contains("staged") || output.contains("checked"),
            "{output}"
        );
    }

    /// Checks that no table set which a proxy received mixes the old configuration with the new one, and that no proxy
    /// switched between them more often than the change and its undo require.
    fn assert_unmixed_tables(&self, expect_new: bool) {
        for (name, received) in &self.received {
            let mut last_matches_new = false;
            let mut switches = 0;
            for tables in received {
                let matches_new = matches_new_configuration(name, tables)
                    .unwrap_or_else(|mismatch| panic!("{name}: {mismatch}"));
                switches += u32::from(matches_new != last_matches_new);
                last_matches_new = matches_new;
            }
            assert_eq!(last_matches_new, expect_new, "{name}: {received:?}");
            assert!(
                switches <= if expect_new { 1 } else { 2 },
                "{name} switched configurations too often: {received:?}"
            );
        }
    }

    /// Checks the same of every version on disk, whether or not a proxy was pointed at it. Returns how many there are.
    fn assert_unmixed_versions(&self) -> usize {
        let mut count = 0;
        for entry in std::fs::read_dir(self.controller.path("tables/versions"))
            .expect("the directory exists")
            .flatten()
        {
            let proxy_directory = self.controller.path("looked-at");
            std::fs::create_dir_all(&proxy_directory).expect("created");
            let current = proxy_directory.join("current");
            let _ = std::fs::remove_file(&current);
            std::os::unix::fs::symlink(entry.path(), &current).expect("linked");
            let Ok(Some(published)) = read_tables(&proxy_directory) else {
                continue;
            };
            // The zone of the tables follows from their nodes.
            let is_in_south = published.tables.operations[0]
                .entries
                .iter()
                .any(|entry| entry.node.port >= PORTS[3]);
            let proxy = if is_in_south { "s1" } else { "n1" };
            matches_new_configuration(proxy, &published.tables)
                .unwrap_or_else(|mismatch| panic!("version {:?}: {mismatch}", entry.path()));
            count += 1;
        }
        count
    }
}

/// Appends tables that differ in version from the last ones received.
fn record_tables(
    received: &mut BTreeMap<&'static str, Vec<ProxyTables>>,
    name: &'static str,
    tables: ProxyTables,
) {
    let versions = received.entry(name).or_default();
    if versions
        .last()
        .is_none_or(|last| last.version != tables.version)
    {
        versions.push(tables);
    }
}

/// Whether tables match the new configuration. Tables that match neither, or a mix of both, are an error.
fn matches_new_configuration(proxy: &str, tables: &ProxyTables) -> Result<bool, String> {
    let table = &tables.operations[0];
    let moved = table
        .entries
        .iter()
        .any(|entry| entry.node.port == MOVED_PORT);
    let seconds = table.timeout.map_or(0.0, wheelspread::time::Span::seconds);
    match (zone_of(proxy), seconds, moved) {
        (_, 3.0, moved) if moved == (zone_of(proxy) == "north") || !moved => Ok(false),
        ("north", 2.5, false) | ("south", 2.5, _) => Ok(true),
        (zone, timeout, moved) => Err(format!(
            "a mix in {zone}: timeout {timeout} s, moved node there: {moved}"
        )),
    }
}

fn run_change_at(controllers: &[&ControllerProcess], arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(PROGRAM);
    command.arg("change");
    for controller in controllers {
        command.arg("--at").arg(controller.path("tables"));
    }
    run_to_end(command.args(arguments))
}

/// Runs one change with failpoints, and its undo if requested. Returns whether a failpoint killed the controller.
fn run_case(failpoints: &str, undo: bool) -> bool {
    let mut setup = Setup::new(failpoints);
    let first_pid = setup.controller.pid();
    setup.stage_change();
    setup.retry_until_answered(&["apply", "spring"]);
    if undo {
        setup.retry_until_answered(&["undo", "spring", "--why", "not liked"]);
    }
    setup.wait_for_state("spring", if undo { "undone" } else { "kept" });
    for _ in 0..30 {
        setup.poll();
    }
    setup.assert_unmixed_tables(!undo);
    assert!(setup.assert_unmixed_versions() > 0);
    let log = setup.controller.log();
    let made = log
        .matches("\"message\":\"configuration in force\",\"configuration\":2")
        .count();
    assert!(made <= 1, "change applied twice: {log}");
    setup.controller.pid() != first_pid
}

/// Runs cases on six threads; returns how many killed their controller.
fn run_cases(cases: Vec<(String, bool)>) -> usize {
    let (next, killed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                while let Some((failpoints, undo)) = cases.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    killed.fetch_add(usize::from(run_case(failpoints, *undo)), Ordering::Relaxed);
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
        // The first pass over a failpoint, and later ones, which fall into the change and into its undo.
        for skipped in [0, 3, 6] {
            cases.push((
                format!("{point}={skipped}*off->1*return(kill)->off"),
                skipped == 6,
            ));
        }
    }
    let killed = run_cases(cases);
    assert!(
        killed >= 30,
        "only {killed} runs reached the failpoint that kills the controller"
    );
}

#[test_case("store.begin=1*off->8*return(full)->off", "configuration change waits for the disk"; "disk full for a while")]
#[test_case("store.written=4*off->3*sleep(700)->off", "\"kept\""; "slow disk")]
fn a_failing_disk_delays_a_change_but_no_table_update(failpoints: &str, expected: &str) {
    let mut setup = Setup::new(failpoints);
    setup.stage_change();
    setup.retry_until_answered(&["apply", "spring"]);
    // Draining nodes are removed from tables meanwhile, as at any time.
    let drained = endpoint_list(2).replacen(
        r#"{"endpoint""#,
        r#"{"healthStatus":"DRAINING","endpoint""#,
        3,
    );
    common::write(&setup.controller.path("nodes.json"), &drained);
    let begin = Instant::now();
    let names_port = |setup: &Setup, port: u16| {
        setup.received["n1"].last().is_some_and(|tables| {
            tables.operations[0]
                .entries
                .iter()
                .any(|entry| entry.node.port == port)
        })
    };
    while names_port(&setup, PORTS[1]) {
        setup.poll();
        assert!(
            begin.elapsed() < Duration::from_secs(2),
            "a drain waits for the disk write of a change"
        );
    }
    setup.wait_for_state("spring", "kept");
    assert!(
        setup.controller.log().contains(expected),
        "{}",
        setup.controller.log()
    );
}

#[test]
fn a_conflict_names_both_operators_and_a_plan_prints_each_setting() {
    let mut setup = Setup::new("");
    let other_file = setup.controller.path("other.yaml");
    let text = "{id: summer, by: bob, base: 1, sets: {operations.quote.integration_timeout: 4s}}";
    std::fs::write(&other_file, text).expect("written");
    let other_file = other_file.display().to_string();
    setup.stage_change();
    let (code, plan) = setup.run_change(&["plan", &other_file]);
    assert_eq!(code, 0, "{plan}");
    for expected in [
        "against version 1",
        "- operations.quote.integration_timeout: 3s",
        "+ operations.quote.integration_timeout: 4s",
    ] {
        assert!(plan.contains(expected), "{plan}");
    }
    setup.retry_until_answered(&["stage", &other_file]);
    setup.retry_until_answered(&["apply", "spring"]);
    setup.wait_for_state("spring", "kept");
    let (code, output) = setup.run_change(&["apply", "summer"]);
    assert_eq!(code, 1, "{output}");
    for name in [
        "summer by bob",
        "spring by dispatch",
        "operations.quote.integration_timeout",
    ] {
        assert!(output.contains(name), "{output}");
    }
    // Invalid changes are refused with the path of the setting, and so is an id already used for other content.
    for (text, expected) in [
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
        std::fs::write(setup.controller.path("bad.yaml"), text).expect("written");
        let (code, output) = setup.run_change(&[
            "stage",
            &setup.controller.path("bad.yaml").display().to_string(),
        ]);
        assert!(code == 1 || code == 2, "{text}: {code}");
        assert!(output.contains(expected), "{text}: {output}");
    }
}

#[test]
fn a_controller_that_was_unreachable_takes_the_change_when_it_is_sent_again() {
    let mut setups = [Setup::new(""), Setup::new(""), Setup::new("")];
    let file = setups[0]
        .controller
        .path("change.yaml")
        .display()
        .to_string();
    setups[2].controller.kill();
    let controllers: Vec<&ControllerProcess> =
        setups.iter().map(|setup| &setup.controller).collect();
    for arguments in [["stage", file.as_str()], ["apply", "spring"]] {
        let (code, output) = run_change_at(&controllers, &arguments);
        assert_eq!(
            code, 3,
            "one controller did not answer, so the command must fail: {output}"
        );
        assert!(
            output.contains("admin.sock"),
            "the controller that did not answer is not named: {output}"
        );
    }
    for setup in &mut setups[..2] {
        setup.wait_for_state("spring", "kept");
    }
    // The restarted controller refuses a later change, whose base version it does not have yet.
    let restarted = &mut setups[2];
    restarted.controller.start();
    std::fs::write(
        restarted.controller.path("next.yaml"),
        "{id: next, by: dispatch, base: 2, sets: {cross_zone_price: 0.1}}",
    )
    .expect("written");
    let next = restarted.controller.path("next.yaml").display().to_string();
    let output = restarted.retry_until_answered(&["stage", &next]);
    assert!(output.contains("version 2 was never in force"), "{output}");
    // The commands are repeated at all controllers: those that have the change do nothing, and the restarted one applies
    // it.
    let controllers: Vec<&ControllerProcess> =
        setups.iter().map(|setup| &setup.controller).collect();
    for arguments in [["stage", file.as_str()], ["apply", "spring"]] {
        let (code, output) = run_change_at(&controllers, &arguments);
        assert_eq!(code, 0, "{output}");
    }
    setups[2].wait_for_state("spring", "kept");
    for setup in &setups {
        assert_eq!(
            setup
                .controller
                .log()
                .matches("configuration in force")
                .count(),
            1
        );
    }
}

#[test]
fn the_endpoint_list_survives_a_crash_and_the_loss_of_its_file() {
    let mut setup = Setup::new("");
    while setup.received.len() < 3 {
        setup.poll();
    }
    // The controller writes the list to its state within about a second.
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_millis(1500) {
        setup.poll();
    }
    setup.controller.kill();
    std::fs::remove_file(setup.controller.path("nodes.json")).expect("the file exists");
    setup.received.clear();
    while setup.received.len() < 3 || setup.received.values().any(|received| received.len() < 2) {
        setup.poll();
        assert!(
            begin.elapsed() < Duration::from_secs(15),
            "{}",
            setup.controller.log()
        );
    }
    assert!(setup
        .controller
        .log()
        .contains("the last accepted one stays in force"));
    for (name, received) in &setup.received {
        let entry_count = received
            .last()
            .map_or(0, |tables| tables.operations[0].entries.len());
        assert_eq!(entry_count, 3, "{name}");
    }
    // The same list is accepted when its file is back, although its version equals the persisted one.
    common::write(&setup.controller.path("nodes.json"), &endpoint_list(1));
    while setup
        .controller
        .log()
        .matches("endpoint list accepted")
        .count()
        < 3
    {
        setup.poll();
        assert!(
            begin.elapsed() < Duration::from_secs(20),
            "{}",
            setup.controller.log()
        );
    }
    assert!(!setup.controller.log().contains("not newer than version"));
}
