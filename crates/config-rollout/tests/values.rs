//! Tests the values that a change may set, and the error texts for invalid values.

use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread_config_rollout::values::{
    config_update, config_update_of_valid_values, migrating_nodes, parse_node, value_in_file,
};
use wheelspread_config_transaction::{Change, ChangeId, Configuration};
use wheelspread_controller_core::Deployment;

fn deployment() -> Deployment {
    let text = serde_json::json!({
        "zones": ["north", "south"],
        "operations": [{
            "name": "quote", "latency_objective": "1s", "integration_timeout": "3s", "billed_value": 1.0,
            "repeat": "idempotent", "stays_in_zone": true
        }],
        "proxies": { "count": 4, "usual_rate": 20.0 },
        "rules": { "without_node_at_most": "1s", "drain_grace": "800ms", "cold_start_share": 0.2,
                   "warm_after": "5s", "cold_overload_factor": 4.0, "cold_overload_span": "2s" },
        "channel": { "lines_waiting_at_most": 4000.0, "lines_per_second": 5000.0, "delay_at_most": "200ms" },
        "sums": { "period": "200ms", "loads": ["utilization"] }
    });
    serde_json::from_value(text).expect("a valid deployment")
}

fn configuration(path: &str, text: &str) -> Configuration {
    Configuration {
        version: 4,
        values: BTreeMap::from([(path.to_string(), text.to_string())]),
    }
}

#[test_case("nodes.127.0.0.1:9001.zone", "west" => "zone `west` is not one of this deployment: north, south are"; "an unknown zone")]
#[test_case("nodes.127.0.0.1:9001.weight", "0.0001" => "`0.0001` should be a number between 0.001 and 1e6"; "a weight below the minimum")]
#[test_case("nodes.127.0.0.1:9001.weight", "heavy" => "`heavy` should be a number between 0.001 and 1e6"; "a weight that is not a number")]
#[test_case("nodes.127.0.0.1:9001.service", "in" => "`in` should be draining or out"; "an unknown service state")]
#[test_case("nodes.127.0.0.1:9001.kind", "large" => "a node has zone, cell, weight and service"; "an unknown field of a node")]
#[test_case("nodes.somewhere.zone", "north" => "should be nodes.ADDRESS:PORT.FIELD"; "an invalid address")]
#[test_case("operations.quote.repeat", "never" => "can't change while the controller runs"; "a field that decides whether a retry can take effect twice")]
#[test_case("zones", "north" => "can't change while the controller runs"; "a list in the file")]
#[test_case("operations.order.billed_value", "3" => "there is no such value"; "an unknown operation")]
fn an_invalid_value_is_refused_with_its_path(path: &str, text: &str) -> String {
    let errors = config_update(&deployment(), &configuration(path, text)).expect_err("refused");
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].field, path);
    let (update, ignored) =
        config_update_of_valid_values(&deployment(), &configuration(path, text));
    assert_eq!((update.version, ignored), (4, errors.clone()));
    assert_eq!(update.deployment, deployment());
    errors[0].kind.to_string()
}

#[test]
fn valid_values_override_the_file_and_the_endpoint_list() {
    let mut configuration = configuration("operations.quote.billed_value", "3");
    let node_values = [
        ("nodes.127.0.0.1:9001.zone", "south"),
        ("nodes.127.0.0.1:9001.cell", "b"),
        ("nodes.127.0.0.1:9001.weight", "0.5"),
        ("nodes.127.0.0.1:9002.service", "draining"),
        ("operations.quote.latency_objective", "800ms"),
    ];
    let node_values = node_values.map(|(path, text)| (path.to_string(), text.to_string()));
    configuration.values.extend(node_values);
    let update = config_update(&deployment(), &configuration).expect("valid");
    let operation = &update.deployment.operations[0];
    assert!((operation.billed_value - 3.0).abs() < f64::EPSILON);
    assert!((operation.latency_objective.seconds() - 0.8).abs() < 1e-9);
    let node = parse_node("127.0.0.1:9001").expect("an address");
    let values = &update.node_values[&node];
    assert_eq!(
        (
            values.zone.as_deref(),
            values.cell.as_deref(),
            values.weight
        ),
        (Some("south"), Some("b"), Some(0.5))
    );
    assert_eq!(update.node_values.len(), 2);
}

#[test]
fn only_a_change_of_zone_migrates_a_node() {
    let sets = [
        ("nodes.127.0.0.1:9001.zone", "south"),
        ("nodes.127.0.0.1:9002.weight", "2"),
        ("cross_zone_price", "0.1"),
    ];
    let sets = sets.map(|(path, text)| (path.to_string(), Some(text.to_string())));
    let change = Change {
        id: ChangeId("c1".into()),
        by: "ada".into(),
        base: 1,
        sets: sets.into(),
    };
    let migrating = migrating_nodes(&change);
    assert_eq!(
        migrating,
        [parse_node("127.0.0.1:9001").expect("an address")]
    );
}

#[test]
fn a_single_value_is_found_in_the_file_by_its_path() {
    let value = |path: &str| value_in_file(&deployment(), path);
    assert_eq!(
        value("operations.quote.billed_value").as_deref(),
        Some("1.0")
    );
    assert_eq!(value("operations.quote"), None);
    assert_eq!(value("operations.order.billed_value"), None);
}
