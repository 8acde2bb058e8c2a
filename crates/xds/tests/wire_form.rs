//! Compares the XXH3-128 checksums of all encoded forms, because clients of other versions and stored files depend on
//! their bytes.

use bytes::Bytes;
use std::sync::Arc;
use test_case::test_case;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::deployment::AdmissionForm;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_controller_core::load_report::{LoadReport, Metric, NodeReport, OperationReport};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_controller_core::Deployment;
use wheelspread_discovery::{Checksum, Request, RequestBody, Resource, ResourceType, Response};
use wheelspread_xds::{discovery, loads, nodes, orca, status, tables};

const DEPLOYMENT: &str = r#"{
  "zones": ["north", "south"], "operations": [
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

fn node(port: u16) -> NodeId {
    NodeId {
        address: [127, 0, 0, 1],
        port,
    }
}

fn table_set(limit: f64, retry: RetryPolicy) -> TableSet {
    let entry = |(port, zone, weight): (u16, &str, f64)| TableEntry {
        node: node(port),
        zone: zone.to_string(),
        weight,
    };
    let entries = [
        (9001, "south", 25.0),
        (9002, "north", 0.0001),
        (9003, "north", 7.3),
    ];
    let table = |operation, limit, retry| OperationTable {
        operation: OperationId(operation),
        table: TableId(3),
        entries: entries.map(entry).to_vec(),
        admission_limit: limit,
        retry,
    };
    TableSet {
        bundle: BundleId(1),
        version: Version(42),
        configuration: 0,
        operations: vec![
            table(0, Some(limit), retry),
            table(1, None, RetryPolicy::IfUnprocessed),
        ],
    }
}

fn checksum(bytes: impl Into<Bytes>) -> String {
    Resource::new(bytes).checksum.to_string()
}

#[test_case(AdmissionForm::Share, 0.75, RetryPolicy::OnceOnAnyFailure, "1ef9c28335ad2e2c750aad1e7d47797f", "271efb8b3743d8e05a99669888e32f1f"; "an admission ratio")]
#[test_case(AdmissionForm::Rate, 2.5, RetryPolicy::TwiceOnAnyFailure, "387c0673c3364630cb3bda11d5390609", "80becab0edf58f4fb9c2ddc9a258135e"; "a low rate")]
#[test_case(AdmissionForm::Rate, 250.0, RetryPolicy::Never, "387c0673c3364630cb3bda11d5390609", "3e326cb5bd03089c5d4d39209ab804e8"; "a high rate")]
fn documents_keep_their_bytes(
    admission: AdmissionForm,
    limit: f64,
    retry: RetryPolicy,
    eds: &str,
    rds: &str,
) {
    let documents = tables::write(&table_set(limit, retry), &deployment(admission));
    let documents = documents.expect("written");
    assert_eq!(
        [checksum(documents.eds), checksum(documents.rds)],
        [eds, rds]
    );
}

#[test_case(ResourceType::Clusters, "a14d37314235908e417f31b1cae25056"; "clusters")]
#[test_case(ResourceType::Endpoints, "65cb86a55188b961ce8c2d6913426470"; "endpoints")]
#[test_case(ResourceType::Entries, "c84248d3cff125a3906f24eb10d2b7c4"; "entries")]
#[test_case(ResourceType::Listeners, "4e7ff33198f8c71fa70ae6fdfb225fe4"; "listeners")]
#[test_case(ResourceType::Routes, "3d108e2de1a5d0b7dfbd57f626cc2ef0"; "routes")]
fn resources_keep_their_names_and_bytes(resource_type: ResourceType, expected: &str) {
    let set = table_set(0.75, RetryPolicy::OnceOnAnyFailure);
    let snapshot = discovery::encode_snapshot(&set, &deployment(AdmissionForm::Share));
    let found = snapshot.checksum(resource_type, |_| true);
    assert_eq!(found.to_string(), expected);
}

#[test_case(true, "cd969535afcf5896820c1a6e5fee70b8"; "incremental")]
#[test_case(false, "0e62dcd85579905332a533baf4b3754a"; "state of the world")]
fn responses_keep_their_bytes(is_delta: bool, expected: &str) {
    let response = Response {
        resource_type: ResourceType::Entries,
        nonce: 7,
        version: Version(42),
        is_delta,
        changed: vec![(Arc::from("quote/1"), Resource::new("bytes"))],
        removed: vec![Arc::from("quote/2")],
        resulting_checksum: Some(Checksum(5)),
        delta_key: None,
    };
    let message = discovery::append_nonce(&discovery::encode_response_body(&response), &response);
    assert_eq!(checksum(message), expected);
}

#[test]
fn requests_keep_their_bytes() {
    let identity = ProxyIdentity {
        name: "g1".into(),
        zone: "north".into(),
        usual_rate: None,
    };
    let request = Request {
        resource_type: ResourceType::Entries,
        nonce: "4".into(),
        error: Some("no route".into()),
        body: RequestBody::Delta {
            subscribe: vec!["quote".into()],
            unsubscribe: vec!["old".into()],
            initial_versions: [("quote".to_string(), "1".to_string())].into(),
        },
    };
    let message = discovery::encode_delta_request(Some(&identity), Some(Version(7)), &request);
    assert_eq!(checksum(message), "b85b738f99348270e6233aeac68e905e");
}

#[test]
fn load_reports_keep_their_bytes() {
    let report = |port, errored_count| NodeReport {
        node: Some(node(port)),
        succeeded: 10,
        errored: errored_count,
        in_progress: 1,
        metrics: [(
            "latency_ms".to_string(),
            Metric {
                count: 10,
                total: 12.5,
            },
        )]
        .into(),
    };
    let report = LoadReport {
        window: Span::from_seconds(1.25),
        operations: vec![OperationReport {
            operation: "quote".into(),
            rate_limited: 3,
            retries: 2,
            nodes: vec![report(9001, 1), report(9002, 0)],
        }],
    };
    let request = loads::request(&report, |node| format!("zone-{}", node.errored));
    let identity = ProxyIdentity {
        name: "g1".into(),
        zone: "north".into(),
        usual_rate: Some(12.5),
    };
    let encoded = [
        prost::Message::encode_to_vec(&request),
        prost::Message::encode_to_vec(&loads::identity_request(&identity)),
        loads::response(Span::from_seconds(0.25)),
    ];
    assert_eq!(
        encoded.map(checksum),
        [
            "1d0d74098a3e8a2c2c760b2f04c91b6b",
            "a8ddcd9d79269f3aebdef30afa47f622",
            "367800df866e4090b269ad33d8356255"
        ]
    );
}

#[test]
fn endpoint_lists_keep_their_bytes() {
    let record = |port, draining, started: Option<(String, Span)>| EndpointRecord {
        node: node(port),
        zone: "north".into(),
        kind: "large".into(),
        cell: "c1".into(),
        draining,
        weight: 3.0,
        started,
    };
    let list = EndpointSnapshot {
        version: "17".into(),
        records: vec![
            record(9001, false, None),
            record(9002, true, Some(("1000".into(), Span::from_seconds(60.0)))),
        ],
    };
    assert_eq!(
        checksum(nodes::write(&list).expect("written")),
        "ef9f10ed30e0067c76d14824cd2a8f70"
    );
}

#[test]
fn statuses_keep_their_bytes() {
    let status = |rejected| status::Status {
        proxy: "g1".into(),
        version: Version(41),
        rejected,
    };
    let accepted = status::write(&status(None)).expect("written");
    let rejected = status::write(&status(Some((Version(42), "no route".into())))).expect("written");
    assert_eq!(
        [checksum(accepted), checksum(rejected)],
        [
            "7d2eb5437371db10ea78e9d194f61f33",
            "1e7955e96693b2412d8cd966540ad244"
        ]
    );
}

#[test]
fn load_headers_keep_their_text() {
    let header = orca::write(&[("cpu_utilization", 0.25), ("named_metrics.queue", 7.0)]);
    assert_eq!(header, "TEXT cpu_utilization=0.25,named_metrics.queue=7");
}
