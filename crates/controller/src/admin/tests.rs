//! The operators' API is compatible with older programs: paths, fields and texts are those of the program of commit
//! 6ac25c1, whose responses are recorded under `tests/data/api-before-renaming`, with the state file that it wrote.

use super::*;
use crate::drains::DrainOrders;
use crate::file::ControllerFile;
use crate::state_writer::restore_core_state;
use api_error::HttpStatus;
use std::collections::BTreeSet;
use std::path::PathBuf;
use test_case::test_case;
use wheelspread_config_rollout::Rollout;
use wheelspread_config_transaction::PersistedState;
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::membership::{ProxyIdentity, StreamId};
use wheelspread_controller_core::{ControllerCore, Observation};
use wheelspread_store::Store;

/// Seconds since 1970 when the recorded program stopped.
const RECORDED_UNIX_SECONDS: f64 = 1_796_234_072.0;

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

fn persisted_state() -> PersistedState {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    std::fs::copy(data("state-before-renaming"), &path).expect("copied");
    Store::inspect(&path).expect("a valid state file").state
}

/// A controller restored from the recorded state, without sockets.
struct RestoredController {
    core: ControllerCore,
    rollout: Rollout,
    drains: DrainOrders,
    identity: Identity,
    now: Moment,
}

impl RestoredController {
    fn new() -> RestoredController {
        let file = ControllerFile::read(&data("controller.yaml")).expect("a valid file");
        let persisted = persisted_state();
        let now = Moment::from_seconds(100.0);
        let drains = DrainOrders::restore(now, &persisted, file.changes.value_lost_at_most);
        let (rollout, update, migrating) = Rollout::start(
            now,
            file.deployment.clone(),
            file.changes.rollout_settings(),
            &persisted,
        );
        let mut recovered = RecoveredState::default();
        restore_core_state(&persisted, RECORDED_UNIX_SECONDS, &mut recovered);
        (recovered.configuration, recovered.node_values) = (update.version, update.node_values);
        recovered.migrating = migrating;
        recovered.drained = drains.drained_nodes();
        let core = ControllerCore::start(now, 1, update.deployment, 0, recovered)
            .expect("the core starts");
        let identity = Identity::new(&file, now);
        let mut restored = RestoredController {
            core,
            rollout,
            drains,
            identity,
            now,
        };
        restored.join_proxies();
        restored
    }

    fn join_proxies(&mut self) {
        let unreadable =
            Err(wheelspread_controller_core::endpoint_list::SnapshotReadError::new("no list"));
        self.core
            .observe(self.now, Observation::EndpointList(unreadable));
        for (stream, zone) in [(1, "north"), (2, "south")] {
            let proxy_identity = ProxyIdentity {
                name: format!("gateway-{zone}"),
                zone: zone.to_string(),
                usual_rate: Some(20.0),
            };
            let opened = Observation::StreamOpened {
                stream: StreamId(stream),
                proxy_identity,
            };
            self.core.observe(self.now, opened);
        }
        self.core.settle(self.now, &mut Vec::new());
    }

    fn request(&mut self, method: &str, target: &str, body: &str) -> routes::HandlerResult {
        let request = AdminRequest {
            method: method.to_string(),
            target: target.to_string(),
            body: body.as_bytes().to_vec(),
        };
        let mut context = AdminContext {
            core: &mut self.core,
            rollout: &mut self.rollout,
            drains: &mut self.drains,
            identity: &self.identity,
        };
        routes::handle(self.now, &request, 1, &mut context)
    }

    fn get(&mut self, target: &str) -> Value {
        let answer = self.request("GET", target, "").expect("served");
        answer.expect("answered at once")
    }
}

fn recorded(name: &str) -> String {
    let path = data("api-before-renaming").join(name);
    std::fs::read_to_string(path).expect("recorded")
}

/// Collects the paths of all fields of `value`.
fn field_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                field_paths(value, &format!("{path}.{name}"), paths);
            }
        }
        Value::Array(items) => {
            paths.insert(format!("{path}[]"));
            for item in items.iter().filter(|item| item.is_object()) {
                field_paths(item, &format!("{path}[]"), paths);
            }
        }
        _ => drop(paths.insert(path.to_string())),
    }
}

fn fields(value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    field_paths(value, "", &mut paths);
    paths
}

#[test_case("/v1/changes", "changes.json"; "changes")]
#[test_case("/v1/changes/spring-1", "change.json"; "one change")]
#[test_case("/v1/nodes", "nodes.json"; "nodes")]
fn a_response_equals_the_recorded_one_byte_for_byte(target: &str, name: &str) {
    let answer = RestoredController::new().get(target);
    assert_eq!(format!("{answer}\n"), recorded(name));
}

#[test_case("/v1/status", "status.json"; "status")]
#[test_case("/v1/channel", "channel.json"; "channel")]
#[test_case("/v1/sums", "sums.json"; "load reports")]
#[test_case("/v1/tables", "tables.json"; "tables")]
#[test_case("/v1/drains", "drains.json"; "drains")]
#[test_case("/v1/configuration", "configuration.json"; "configuration")]
#[test_case("/v1/where/127.0.0.1:29003", "where.json"; "location of a node")]
fn a_response_has_the_recorded_fields(target: &str, name: &str) {
    let answer = RestoredController::new().get(target);
    let recorded: Value = serde_json::from_str(&recorded(name)).expect("JSON");
    assert_eq!(fields(&answer), fields(&recorded), "{answer}");
}

#[test_case("GET", "/v1/changes/none", "", 404, "`none` is no change that is known"; "unknown change")]
#[test_case("GET", "/v1/where/x", "", 400, "`x` should be an address as 127.0.0.1:9000"; "no address")]
#[test_case("GET", "/v1/nope", "", 404, "GET /v1/nope is not served here"; "unknown path")]
#[test_case("DELETE", "/v1/tables/free", "", 404, "DELETE /v1/tables/free is not served here"; "unknown method")]
#[test_case("POST", "/v1/changes/plan", "x", 400, "expected value at line 1 column 1"; "no JSON")]
#[test_case("POST", "/v1/changes/plan", r#"{"id":"a b"}"#, 400, "missing field `by` at line 1 column 12"; "missing field")]
#[test_case("POST", "/v1/changes/plan", r#"{"id":"a b","by":"y","sets":{}}"#, 400, "id: 1 to 100 letters, digits, -, _, . and @ are expected"; "name with a space")]
#[test_case("POST", "/v1/changes/plan", r#"{"id":"x","by":"y","sets":{"a":[1]}}"#, 400, "a: a text, a number, true, false or null is expected"; "value that is a list")]
#[test_case("POST", "/v1/drains", r#"{"id":"q","node":"zz","word":"drain","by":"x"}"#, 409, "node: `zz` should be an address as 127.0.0.1:9000"; "drain of no address")]
fn a_rejected_request_gets_its_status_and_reason(
    method: &str,
    target: &str,
    body: &str,
    status: u16,
    reason: &str,
) {
    let error = RestoredController::new()
        .request(method, target, body)
        .expect_err("rejected");
    assert_eq!(error.status().code(), status);
    assert_eq!(error.to_string(), reason);
}

#[test]
fn a_drain_with_a_time_in_the_future_is_a_bad_request() {
    let body =
        r#"{"id":"q","node":"127.0.0.1:29004","word":"drain","by":"x","given_ms":99999999999999}"#;
    let error = RestoredController::new()
        .request("POST", "/v1/drains", body)
        .expect_err("rejected");
    assert_eq!(error.status(), HttpStatus::BadRequest);
    let text = error.to_string();
    assert!(
        text.starts_with("given_ms: ") && text.ends_with(" s ahead of the clock here"),
        "{text}"
    );
}

#[test_case("GET", "/v1/status", false; "a query")]
#[test_case("POST", "/v1/changes/plan", false; "a plan changes nothing")]
#[test_case("POST", "/v1/changes/apply", true; "a change")]
#[test_case("POST", "/v1/drains", true; "a drain")]
#[test_case("DELETE", "/v1/drains", true; "another method")]
fn orders_are_distinguished_from_queries(method: &str, target: &str, is_order: bool) {
    let request = AdminRequest {
        method: method.to_string(),
        target: target.to_string(),
        body: Vec::new(),
    };
    assert_eq!(request.is_order(), is_order);
}

#[test]
fn a_request_is_parsed_once_its_body_is_complete() {
    let text = b"POST /v1/drains HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}";
    let incomplete = AdminRequest::parse(&text[..text.len() - 1]).expect("a valid head");
    assert!(incomplete.is_none());
    let request = AdminRequest::parse(text).expect("a valid request");
    let request = request.expect("complete");
    assert_eq!(
        (request.method.as_str(), request.target.as_str()),
        ("POST", "/v1/drains")
    );
    assert_eq!(request.body, b"{}");
}

#[test_case("transfer-encoding: chunked"; "chunked")]
#[test_case("content-length: 65537"; "too long")]
fn a_body_that_is_chunked_or_too_long_is_a_bad_request(header: &str) {
    let text = format!("POST /v1/drains HTTP/1.1\r\nhost: x\r\n{header}\r\n\r\n");
    let error = AdminRequest::parse(text.as_bytes())
        .err()
        .expect("rejected");
    assert_eq!(error.status(), HttpStatus::BadRequest);
    assert_eq!(
        error.to_string(),
        "a body of a stated length, 65536 bytes at most, is expected"
    );
}

#[test]
fn the_response_to_a_rollback_has_version_entries_and_excluded_nodes() {
    let node = wheelspread::ids::NodeId {
        address: [127, 0, 0, 1],
        port: 9002,
    };
    let body = tables::rollback_body(&RollbackResult {
        version: wheelspread_controller_core::Version(7),
        entries: 3,
        excluded: vec![(
            node,
            wheelspread_controller_core::rollback::ExclusionReason::Draining,
        )],
    });
    assert_eq!(
        body.to_string(),
        r#"{"left_out":[{"node":"127.0.0.1:9002","why":"drains"}],"lines":3,"version":7}"#
    );
}
