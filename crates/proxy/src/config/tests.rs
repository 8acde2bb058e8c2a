use super::*;
use test_case::test_case;
use wheelspread_proxy_core::{RetrySafety, SelectionPolicy};

const MINIMAL: &str = r#"
proxy: {name: g1, zone: north, listen: "127.0.0.1:8080"}
conductors:
  - {reports: "127.0.0.1:7101", tables: run/tables}
operations:
  - {name: quote, repeat: fingerprinted, repeat_window: 9s, integration_timeout: 4s}
"#;

fn parse(text: &str) -> Result<ProxyConfig, ConfigError> {
    ProxyConfig::parse(text, Path::new("etc/proxy.yaml"))
}

#[test]
fn a_minimal_file_gets_the_defaults() {
    let config = parse(MINIMAL).expect("valid");
    assert_eq!(config.table_roots(), [PathBuf::from("etc/run/tables")]);
    assert_eq!(config.table_source, TableSource::Files);
    assert_eq!(
        (config.max_head_bytes, config.max_body_bytes),
        (16_384, 1_048_576)
    );
    assert_eq!(config.max_buffer_bytes, 64 << 20);
    assert_eq!(
        (
            config.max_client_connections,
            config.max_connections_per_node
        ),
        (20_000, 256)
    );
    assert_eq!(
        (config.publishes_status, config.follows_unjoined),
        (true, false)
    );
    assert_eq!(config.timeouts.reconnect_delay, Span::from_seconds(1.0));
    let core = config.core;
    assert_eq!(core.selection, SelectionPolicy::WeightedRandom);
    assert_eq!(
        (
            core.ejection.consecutive_failures,
            core.ejection.ejection_time
        ),
        (3, Span::from_seconds(5.0))
    );
    assert_eq!(
        (core.retry_budget.ratio, core.retry_budget.burst),
        (0.2, 10.0)
    );
    assert_eq!(core.max_in_flight_per_node, 0);
    let window = Span::from_seconds(9.0);
    assert_eq!(
        core.operations[0].retry_safety,
        RetrySafety::Fingerprinted { window }
    );
}

#[test]
fn all_keys_are_read() {
    let all_keys = r"
reads: stream
pick: pair
avoid: {after_errors: 7, span: 8s}
repeats: {part: 0.5, at_once: 3}
sizes: {head: 300, body: 301, buffers: 30000, connections: 302, connections_per_node: 303, outstanding_per_node: 304}
waits: {connect: 1s, request: 2s, client_idle: 3s, node_idle: 4s, redial: 5s}
publishes_status: false
follows_unjoined: true
tls: {roots: roots.pem, name: conductor, certificate: g1.pem, key: /g1.key}
";
    let config = parse(&format!("{MINIMAL}{all_keys}")).expect("valid");
    assert_eq!(config.table_source, TableSource::Stream);
    let sizes = [
        config.max_head_bytes,
        config.max_body_bytes,
        config.max_client_connections,
        config.max_connections_per_node,
        config.core.max_in_flight_per_node as usize,
    ];
    assert_eq!(sizes, [300, 301, 302, 303, 304]);
    assert_eq!(config.max_buffer_bytes, 30_000);
    let timeouts = &config.timeouts;
    let durations = [
        timeouts.connect,
        timeouts.request,
        timeouts.client_idle,
        timeouts.node_idle,
        timeouts.reconnect_delay,
    ];
    assert_eq!(durations, [1.0, 2.0, 3.0, 4.0, 5.0].map(Span::from_seconds));
    assert_eq!(
        (config.publishes_status, config.follows_unjoined),
        (false, true)
    );
    let core = &config.core;
    assert_eq!(core.selection, SelectionPolicy::PowerOfTwoChoices);
    assert_eq!(
        (
            core.ejection.consecutive_failures,
            core.ejection.ejection_time
        ),
        (7, Span::from_seconds(8.0))
    );
    assert_eq!(
        (core.retry_budget.ratio, core.retry_budget.burst),
        (0.5, 3.0)
    );
    let tls = config.tls.expect("tls is set");
    assert_eq!(tls.roots, PathBuf::from("etc/roots.pem"));
    assert_eq!(tls.key, Some(PathBuf::from("/g1.key")));
}

#[test_case("name: g1", "name: g/1", "proxy.name: `g/1` should be 1 to 100 ASCII letters, digits, `-` or `_`"; "proxy name with a slash")]
#[test_case("\n  - {reports: \"127.0.0.1:7101\", tables: run/tables}", " []", "conductors: at least one controller is required"; "no controller")]
#[test_case("\n  - {name: quote, repeat: fingerprinted, repeat_window: 9s, integration_timeout: 4s}", " []", "operations: 0 operations found, 1 to 16 are allowed"; "no operation")]
#[test_case("integration_timeout: 4s", "integration_timeout: 0s", "operations.0.integration_timeout: should be above 0"; "integration time-out of zero")]
#[test_case("operations:", "operations:\n  - {name: quote, repeat: idempotent, integration_timeout: 4s}", "operations.1.name: `quote` is the name of an earlier operation"; "duplicate operation name")]
#[test_case("operations:", "repeats: {part: 11}\noperations:", "repeats: part should be between 0 and 10, at_once between 0 and 1e6"; "retry budget out of range")]
#[test_case("operations:", "sizes: {head: 255}\noperations:", "sizes: head should be at least 256 bytes, connections and connections_per_node above 0"; "head size too small")]
#[test_case("operations:", "sizes: {connections: 0}\noperations:", "sizes: head should be at least 256 bytes, connections and connections_per_node above 0"; "no client connection allowed")]
#[test_case("operations:", "sizes: {buffers: 4259839}\noperations:", "sizes: buffers should be at least 4259840 bytes, four times head and body"; "buffers too small")]
#[test_case("operations:", "tls: {roots: r, name: n, key: k}\noperations:", "tls: certificate and key should be set together"; "key without certificate")]
#[test_case("operations:", "tls: {roots: r, name: \"a b\"}\noperations:", "tls: name should be a host name or an IP address"; "invalid controller name")]
fn the_error_names_a_value_that_is_not_allowed(from: &str, to: &str, reason: &str) {
    let error = parse(&MINIMAL.replace(from, to)).expect_err("invalid");
    assert_eq!(error.to_string(), format!("etc/proxy.yaml: {reason}"));
}

#[test]
fn the_error_names_an_unknown_key() {
    let error = parse(&format!("{MINIMAL}\nreeds: stream\n")).expect_err("invalid");
    let text = error.to_string();
    assert!(
        text.starts_with("etc/proxy.yaml: ") && text.contains("unknown field `reeds`"),
        "{text}"
    );
}
