//! Reading and writing of endpoint lists.

use super::*;
use test_case::test_case;

/// A list of the published form, as an operator would write it.
const LIST: &str = r#"{
      "versionInfo": "17",
      "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
      "resources": [{
        "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "clusterName": "nodes",
        "endpoints": [{
          "locality": {"zone": "north"},
          "lbEndpoints": [
            {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9001}}},
             "loadBalancingWeight": 3,
             "metadata": {"filterMetadata": {"envoy.lb": {"kind": "large", "started": 1000}}}},
            {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9002}}},
             "healthStatus": "DRAINING"},
            {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9003}}},
             "healthStatus": "UNHEALTHY"}
          ]}]}]}"#;

#[test]
fn a_list_of_the_published_form_is_read_and_written_again() {
    let list = read(LIST, 1060.0).expect("the list has the published form");
    assert_eq!((list.version.as_str(), list.records.len()), ("17", 2));
    let (first, second) = (&list.records[0], &list.records[1]);
    assert_eq!(
        (first.weight, first.kind.as_str(), first.draining),
        (3.0, "large", false)
    );
    assert_eq!(
        first.started,
        Some(("1000".to_string(), Span::from_seconds(60.0)))
    );
    assert_eq!(
        (second.draining, second.weight, second.started.is_none()),
        (true, 1.0, true)
    );
    assert_eq!(
        read(&write(&list).expect("the list can be written"), 1060.0),
        Ok(list)
    );
}

#[test_case("", "EOF"; "empty")]
#[test_case(&LIST[..400], "invalid proto3 JSON"; "truncated")]
#[test_case(&LIST.replace("DRAINING", "DRAINNIG"), "DRAINNIG"; "a misspelt health status")]
#[test_case(&LIST.replace("9002", "70000"), "70000 is not a port number"; "an invalid port")]
#[test_case(&LIST.replace("127.0.0.1", "node-1"), "`node-1` is not an IPv4"; "a host name instead of an address")]
#[test_case(&LIST.replace("loadBalancingWeight\": 3", "loadBalancingWeight\": 0"), "a weight of 0"; "weight 0")]
#[test_case(&LIST.replace("1000", "\"soon\""), "`started`"; "a start time that is not a number")]
#[test_case(&LIST.replace("endpoint.v3.Cl", "cluster.v3.Cl"), "invalid proto3 JSON"; "another resource type")]
#[test_case(&format!("{LIST} {LIST}"), "trailing"; "two documents")]
fn an_invalid_list_is_rejected_with_an_error_that_names_the_field(text: &str, reason: &str) {
    let error = read(text, 0.0)
        .expect_err("the list is invalid")
        .to_string();
    assert!(error.contains(reason), "{error}");
}
