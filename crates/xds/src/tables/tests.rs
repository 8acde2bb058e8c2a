//! Writing and reading of table documents.

use super::*;
use proptest::prelude::*;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread_controller_core::deployment::AdmissionForm;
use wheelspread_controller_core::publication::{BundleId, OperationTable};

const DEPLOYMENT: &str = r#"{
      "zones": ["north"], "operations": [
        {"name": "quote", "latency_objective": "1.2s", "integration_timeout": "4s", "billed_value": 2,
         "repeat": "idempotent"},
        {"name": "book", "latency_objective": "800ms", "integration_timeout": "3s", "billed_value": 1,
         "repeat": "side-effecting"}],
      "rules": {"without_node_at_most": "2s", "drain_grace": "2s", "cold_start_share": 0.2,
                "warm_after": "10s", "cold_overload_factor": 4, "cold_overload_span": "2s"},
      "channel": {"lines_waiting_at_most": 1000, "lines_per_second": 1000, "delay_at_most": "500ms"}}"#;

fn deployment(admission: AdmissionForm) -> Deployment {
    Deployment {
        admission,
        first_wait: 0.5,
        ..serde_json::from_str(DEPLOYMENT).expect("a deployment")
    }
}

fn set(limit: Option<f64>, retry: RetryPolicy, weights: &[f64]) -> TableSet {
    let entry = |(index, weight): (usize, &f64)| TableEntry {
        node: NodeId {
            address: [127, 0, 0, 1],
            port: 9000 + index as u16,
        },
        zone: "north".to_string(),
        weight: *weight,
    };
    let entries: Vec<TableEntry> = weights.iter().enumerate().map(entry).collect();
    let table = |operation, entries, limit, retry| OperationTable {
        operation: OperationId(operation),
        table: TableId(3),
        entries,
        admission_limit: limit,
        retry,
    };
    let operations = vec![
        table(0, entries.clone(), limit, retry),
        table(1, entries, None, RetryPolicy::IfUnprocessed),
    ];
    TableSet {
        bundle: BundleId(0),
        version: Version(42),
        configuration: 0,
        operations,
    }
}

#[test]
fn documents_have_the_published_form() {
    let set = set(Some(0.75), RetryPolicy::OnceOnAnyFailure, &[25.0]);
    let written = write(&set, &deployment(AdmissionForm::Share)).expect("it can be written");
    let eds: serde_json::Value = serde_json::from_str(&written.eds).expect("JSON");
    let expected = serde_json::json!({
      "versionInfo": "42",
      "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
      "resources": [{
        "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "clusterName": "quote",
        "endpoints": [{
          "locality": {"zone": "north"},
          "lbEndpoints": [{
            "endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9000}}},
            "healthStatus": "HEALTHY",
            "loadBalancingWeight": 25000}]}],
        "policy": {"dropOverloads": [{
          "category": "admission",
          "dropPercentage": {"numerator": 250000, "denominator": "MILLION"}}]}
      }, {
        "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "clusterName": "book",
        "endpoints": [{
          "locality": {"zone": "north"},
          "lbEndpoints": [{
            "endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9000}}},
            "healthStatus": "HEALTHY",
            "loadBalancingWeight": 25000}]}]}]});
    assert_eq!(eds, expected);
    let rds: serde_json::Value = serde_json::from_str(&written.rds).expect("JSON");
    let route = &rds["resources"][0]["virtualHosts"][0]["routes"][0];
    let expected = serde_json::json!({
      "name": "quote",
      "match": {"pathSeparatedPrefix": "/quote"},
      "route": {
        "cluster": "quote",
        "timeout": "4s",
        "retryPolicy": {
          "retryOn": "5xx,reset,connect-failure,refused-stream,retriable-4xx",
          "numRetries": 1,
          "perTryTimeout": "0.600s",
          "retryHostPredicate": [{"name": "envoy.retry_host_predicates.previous_hosts"}]}}});
    assert_eq!(route, &expected);
}

#[test]
fn a_rate_is_written_as_the_local_rate_limit_of_its_route() {
    let written = write(
        &set(Some(2.5), RetryPolicy::Never, &[1.0]),
        &deployment(AdmissionForm::Rate),
    )
    .expect("written");
    let rds: serde_json::Value = serde_json::from_str(&written.rds).expect("JSON");
    let route = &rds["resources"][0]["virtualHosts"][0]["routes"][0];
    let expected = serde_json::json!({"envoy.filters.http.local_ratelimit": {
      "@type": "type.googleapis.com/envoy.extensions.filters.http.local_ratelimit.v3.LocalRateLimit",
      "statPrefix": "admission",
      "tokenBucket": {"maxTokens": 25, "tokensPerFill": 25, "fillInterval": "10s"}}});
    assert_eq!(route["typedPerFilterConfig"], expected);
    assert!(route["route"].get("retryPolicy").is_none());
    let tables = read(&written).expect("it can be read");
    assert_eq!(
        (tables.operations[0].rate_limit, tables.operations[0].retry),
        (Some(2.5), RetryPolicy::Never)
    );
}

#[test]
fn documents_of_different_versions_are_rejected() {
    let mut written = write(
        &set(None, RetryPolicy::Never, &[1.0]),
        &deployment(AdmissionForm::Share),
    )
    .expect("written");
    let mut other = set(None, RetryPolicy::Never, &[1.0]);
    other.version = Version(43);
    written.rds = write(&other, &deployment(AdmissionForm::Share))
        .expect("written")
        .rds;
    assert!(read(&written).is_err_and(|error| error
        .to_string()
        .contains("version 42, but the routes have version 43")));
}

proptest! {
    #[test]
    fn written_tables_are_recovered(
        weights in prop::collection::vec(0.01f64..1e4, 0..20), ratio in 0.0f64..1.0, policy_index in 0usize..4,
    ) {
        let retries = [RetryPolicy::Never, RetryPolicy::IfUnprocessed, RetryPolicy::OnceOnAnyFailure,
            RetryPolicy::TwiceOnAnyFailure];
        let deployment = deployment(AdmissionForm::Share);
        let set = set(Some(ratio), retries[policy_index], &weights);
        let tables = read(&write(&set, &deployment).expect("written")).expect("read");
        prop_assert_eq!(tables.version, set.version);
        let recovered = recover(tables, &deployment);
        for (table, expected) in recovered.operations.iter().zip(&set.operations) {
            prop_assert_eq!(table.retry, expected.retry);
            prop_assert!((table.admission_limit.unwrap_or(1.0) - expected.admission_limit.unwrap_or(1.0)).abs() < 1e-5);
            for (entry, expected) in table.entries.iter().zip(&expected.entries) {
                prop_assert_eq!(entry.node, expected.node);
                prop_assert!((entry.weight - expected.weight).abs() <= 0.0006);
            }
        }
    }
}
