//! The messages that publication composes from the balancer's actions.

use super::{contains_words, decode_messages, endpoint, names};
use crate::membership::Membership;
use crate::publication::{ActionTarget, Publication};
use crate::{EndpointList, CONFIGURED_SOURCE};
use serde_json::json;
use wheelspread::ids::{MarkerId, NodeId, OperationId, ProxyId, TableId};
use wheelspread::time::Moment;
use wheelspread::{Action, RetryPolicy};

/// A publication with one stream, and two listed nodes.
fn publication() -> (Publication, Membership, [NodeId; 2]) {
    let mut membership = Membership::default();
    let entries = ["x", "y"].map(|name| endpoint(name, "a", "Ready", 0.0));
    let list = EndpointList::parse(
        &json!({"index": 1, "snapshot": true, "endpoints": entries}),
        &names(),
    );
    membership.apply(
        &list.expect("the list is valid"),
        CONFIGURED_SOURCE,
        Moment::default(),
    );
    let ids = ["x", "y"].map(|name| membership.id(name).expect("listed"));
    let mut publication = Publication::new(&names().operations);
    publication.add_stream(ProxyId(0));
    (publication, membership, ids)
}

/// The messages that result from these actions.
fn publish(
    publication: &mut Publication,
    membership: &Membership,
    actions: &[Action],
) -> Vec<String> {
    assert!(actions
        .iter()
        .all(|action| publication.record(action) == ActionTarget::Proxies));
    publication
        .take_messages(Moment::default(), membership)
        .iter()
        .flat_map(|(_, bytes)| decode_messages(bytes))
        .collect()
}

fn bind(table: u16, operations: &[u8]) -> Action {
    let operations = operations.iter().map(|at| OperationId(*at)).collect();
    Action::BindTable {
        proxy: ProxyId(0),
        table: TableId(table),
        operations,
    }
}

fn weight(table: u16, node: NodeId, weight: f64) -> Action {
    Action::SetWeight {
        table: TableId(table),
        node,
        weight,
    }
}

fn admission(table: Option<u16>, operations: &[u8], limit: f64, retry: RetryPolicy) -> Action {
    let operations = operations.iter().map(|at| OperationId(*at)).collect();
    Action::SetAdmission {
        table: table.map(TableId),
        operations,
        limit,
        retry,
    }
}

fn marker(id: u32, to_all: bool) -> Action {
    Action::SendMarker {
        marker: MarkerId(id),
        to_all,
    }
}

/// Actions that fill table 3 with both nodes, bind the proxy to it for all operations and send marker 9.
fn first_table([x, y]: [NodeId; 2]) -> [Action; 4] {
    [
        weight(3, x, 1.5),
        weight(3, y, 0.1),
        bind(3, &[]),
        marker(9, false),
    ]
}

#[test]
fn a_table_is_sent_complete_when_bound_and_then_only_its_changes() {
    let (mut publication, membership, nodes) = publication();
    let messages = publish(&mut publication, &membership, &first_table(nodes));
    let complete = "update replace 1 rows x:1.5,y:0.1 stamp 9";
    let words: Vec<&str> = complete.split(' ').collect();
    assert!(contains_words(&messages[0], &words), "{messages:?}");
    let removal = [weight(3, nodes[0], 0.0), marker(10, false)];
    assert_eq!(
        publish(&mut publication, &membership, &removal),
        ["update rows x:0 stamp 10"]
    );
    let other_table = [weight(4, nodes[0], 2.0), marker(11, false)];
    let messages = publish(&mut publication, &membership, &other_table);
    assert_eq!(messages.len(), 0, "the proxy is not bound to table 4");
    let cleared = [Action::ClearTable { table: TableId(3) }];
    assert_eq!(
        publish(&mut publication, &membership, &cleared),
        ["update replace 1"]
    );
}

#[test]
fn an_acknowledgement_covers_all_markers_before_it() {
    let (mut publication, membership, nodes) = publication();
    publish(&mut publication, &membership, &first_table(nodes));
    let removal = [weight(3, nodes[0], 0.0), marker(10, false)];
    publish(&mut publication, &membership, &removal);
    let other_table = [weight(4, nodes[0], 2.0), marker(11, false)];
    publish(&mut publication, &membership, &other_table);
    let acknowledged = publication.acknowledge(ProxyId(0), MarkerId(10));
    assert_eq!(
        acknowledged.map(|acknowledged| acknowledged.markers),
        Some(vec![MarkerId(9), MarkerId(10)])
    );
    assert_eq!(
        publication.acknowledge(ProxyId(0), MarkerId(11)),
        None,
        "a marker that was not sent"
    );
    assert_eq!(
        publish(&mut publication, &membership, &[marker(12, true)]),
        ["update stamp 12"]
    );
}

#[test]
fn one_admission_setting_is_sent_with_the_weights_and_several_in_separate_parts() {
    let (mut publication, membership, [x, _]) = publication();
    let usual = RetryPolicy::IfUnprocessed;
    let same = [
        weight(0, x, 1.0),
        admission(Some(0), &[0, 1], 0.9, usual),
        bind(0, &[0, 1]),
    ];
    assert_eq!(
        publish(&mut publication, &membership, &same),
        ["update replace 1 rows x:1 gate 0.9 again 1"]
    );
    let one = publish(
        &mut publication,
        &membership,
        &[admission(Some(0), &[1], 0.5, RetryPolicy::Never)],
    );
    assert_eq!(one, ["update for order gate 0.5 again 0"]);
    // With a setting for all proxies, the lower limit and the table's retry policy apply.
    let all = publish(
        &mut publication,
        &membership,
        &[admission(None, &[], 0.7, RetryPolicy::TwiceOnAnyFailure)],
    );
    assert_eq!(
        all,
        [
            "update for lookup gate 0.7 again 1 part 1",
            "update for order gate 0.5 again 0"
        ]
    );
    let again = publish(&mut publication, &membership, &[bind(0, &[0, 1])]);
    let parts = [
        "update replace 1 rows x:1 part 1",
        "update for lookup gate 0.7 again 1 part 1",
    ];
    assert_eq!(
        again[..2],
        parts,
        "the setting for all proxies is sent with every complete table"
    );
}

#[test]
fn ejections_are_sent_to_proxies_whose_table_has_the_node_and_are_reverted() {
    let (mut publication, membership, [x, y]) = publication();
    publish(
        &mut publication,
        &membership,
        &[weight(0, x, 1.0), bind(0, &[])],
    );
    let eject = |node, ejected| Action::EjectNode { node, ejected };
    assert_eq!(
        publish(&mut publication, &membership, &[eject(y, true)]).len(),
        0,
        "the proxy's table does not have the node"
    );
    assert_eq!(
        publish(&mut publication, &membership, &[weight(0, y, 1.0)]),
        ["update rows y:1 drop y"]
    );
    assert_eq!(
        publish(&mut publication, &membership, &[eject(y, false)]),
        ["update undrop y"]
    );
    // A proxy keeps its ejections when it changes streams, so a new stream repeats the readmission.
    publication.remove_stream(ProxyId(0));
    publication.add_stream(ProxyId(0));
    let messages = publish(&mut publication, &membership, &[bind(0, &[])]);
    assert!(
        contains_words(&messages[0], &["undrop", "y"]),
        "{messages:?}"
    );
}
