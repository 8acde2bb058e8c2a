use super::*;
use crate::deployment::tests::plan;
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread::EndpointStatus;

fn record(port: u16) -> EndpointRecord {
    EndpointRecord {
        node: NodeId {
            address: [127, 0, 0, 1],
            port,
        },
        zone: "north".to_string(),
        kind: String::new(),
        cell: String::new(),
        draining: false,
        weight: 1.0,
        started: None,
    }
}

fn list(version: &str, ports: std::ops::Range<u16>) -> Result<EndpointSnapshot, SnapshotReadError> {
    Ok(EndpointSnapshot {
        version: version.to_string(),
        records: ports.map(record).collect(),
    })
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn accepted(version: &str, ports: std::ops::Range<u16>) -> EndpointList {
    let mut nodes = EndpointList::default();
    assert_eq!(
        nodes
            .apply_snapshot(at(1.0), list(version, ports), &plan(), true)
            .rejection,
        None
    );
    nodes
}

#[test_case(Err(SnapshotReadError::new("not JSON")), "can't be read"; "torn")]
#[test_case(list("4", 0..10), "not newer than version 5"; "an older version, naming a node already gone")]
#[test_case(list("5", 0..4), "not newer"; "the same version with other content")]
#[test_case(list("6", 0..0), "names no node while 8"; "empty")]
#[test_case(list("6", 0..3), "5 of 8 ready nodes are missing"; "more than half missing")]
#[test_case(Ok(EndpointSnapshot { version: "6".into(), records: vec![record(1), record(1)] }), "twice"; "a node twice")]
#[test_case(Ok(EndpointSnapshot { version: "6".into(), records: vec![EndpointRecord { zone: "moon".into(), ..record(1) }] }),
    "zone `moon`"; "an unknown zone")]
fn a_list_that_cannot_be_right_is_rejected(
    snapshot: Result<EndpointSnapshot, SnapshotReadError>,
    reason: &str,
) {
    let mut nodes = accepted("5", 0..8);
    let rejection = nodes
        .apply_snapshot(at(2.0), snapshot, &plan(), false)
        .rejection
        .expect("it is refused");
    assert!(rejection.to_string().contains(reason), "{rejection}");
    assert_eq!(nodes.listed().count(), 8, "the last good list stands");
}

fn gone(event: Option<Event>) -> usize {
    let Some(Event::EndpointList { entries, .. }) = event else {
        return 0;
    };
    entries
        .iter()
        .filter(|entry| entry.status == EndpointStatus::Gone)
        .count()
}

#[test]
fn a_second_list_that_lacks_the_same_nodes_is_believed() {
    let mut nodes = accepted("5", 0..8);
    assert!(nodes
        .apply_snapshot(at(2.0), list("6", 0..3), &plan(), false)
        .rejection
        .is_some());
    // A broken one in between neither confirms nor clears the doubt.
    assert!(nodes
        .apply_snapshot(at(2.1), Err(SnapshotReadError::new("half")), &plan(), false)
        .rejection
        .is_some());
    assert_eq!(
        gone(
            nodes
                .apply_snapshot(at(3.0), list("7", 0..3), &plan(), false)
                .event
        ),
        5
    );
    // A whole list in between clears it.
    let mut nodes = accepted("5", 0..8);
    assert!(nodes
        .apply_snapshot(at(2.0), list("6", 0..3), &plan(), false)
        .rejection
        .is_some());
    assert!(nodes
        .apply_snapshot(at(2.5), list("7", 0..8), &plan(), false)
        .rejection
        .is_none());
    assert!(nodes
        .apply_snapshot(at(2.6), list("8", 0..3), &plan(), false)
        .rejection
        .is_some());
    assert_eq!(
        nodes.resolve_doubt(at(3.5), &plan()),
        None,
        "the doubt is that of the newer one"
    );
}

#[test]
fn what_a_doubted_list_adds_is_taken_at_once() {
    let mut nodes = accepted("5", 0..8);
    let outcome = nodes.apply_snapshot(at(2.0), list("6", 6..12), &plan(), false);
    assert!(outcome.rejection.is_some() && gone(outcome.event) == 0);
    assert_eq!(nodes.listed().count(), 12);
}

#[test]
fn missing_nodes_that_do_not_answer_are_gone_within_the_grace() {
    let mut nodes = accepted("5", 0..8);
    nodes.apply_snapshot(at(2.0), list("6", 0..3), &plan(), false);
    // What was answered before the list came says nothing.
    (3..8).for_each(|port| nodes.record_answer(record(port).node, at(1.5)));
    let until = nodes.doubt_deadline(&plan()).expect("it is doubted");
    assert!(until > at(2.5) && until < at(2.0) + plan().rules.drain_grace);
    assert_eq!(nodes.resolve_doubt(at(2.5), &plan()), None);
    assert_eq!(gone(nodes.resolve_doubt(until, &plan())), 5);
    assert_eq!(nodes.listed().count(), 3);
}

#[test]
fn nodes_that_go_on_answering_stay_though_a_list_lacks_them() {
    let mut nodes = accepted("5", 0..8);
    nodes.apply_snapshot(at(2.0), list("6", 0..3), &plan(), false);
    (4..8).for_each(|port| nodes.record_answer(record(port).node, at(2.1)));
    assert_eq!(nodes.resolve_doubt(at(3.5), &plan()), None);
    assert_eq!(nodes.listed().count(), 8);
    // One more list that says so is doubted anew.
    assert!(nodes
        .apply_snapshot(at(4.0), list("7", 0..3), &plan(), false)
        .rejection
        .is_some());
}

/// Twelve nodes, two of them in the south, three of kind `large`; `without` says which a list lacks.
fn mixed(
    version: &str,
    without: impl Fn(&EndpointRecord) -> bool,
) -> Result<EndpointSnapshot, SnapshotReadError> {
    let record = |port: u16| EndpointRecord {
        zone: if port < 2 { "south" } else { "north" }.into(),
        kind: if (4..7).contains(&port) {
            "large"
        } else {
            "small"
        }
        .into(),
        ..record(port)
    };
    let records = (0..12)
        .map(record)
        .filter(|record| !without(record))
        .collect();
    Ok(EndpointSnapshot {
        version: version.into(),
        records,
    })
}

#[test_case(|record| record.zone == "south", "all 2 ready nodes of zone `south`"; "a zone")]
#[test_case(|record| record.kind == "large", "all 3 ready nodes of kind `large`"; "a kind")]
fn a_list_that_empties_a_pool_is_doubted_though_it_lacks_few(
    without: fn(&EndpointRecord) -> bool,
    expected: &str,
) {
    let plan = Deployment {
        kinds: vec!["large".into(), "small".into()],
        ..plan()
    };
    let mut nodes = EndpointList::default();
    assert_eq!(
        nodes
            .apply_snapshot(at(1.0), mixed("1", |_| false), &plan, true)
            .rejection,
        None
    );
    let outcome = nodes.apply_snapshot(at(2.0), mixed("2", without), &plan, false);
    assert!(outcome
        .rejection
        .is_some_and(|rejection| rejection.to_string().starts_with(expected)));
    assert_eq!(nodes.listed().count(), 12, "they stay meanwhile");
    // Nobody had an answer from them: it was right.
    let until = nodes.doubt_deadline(&plan).expect("doubted");
    assert!(until < at(2.0) + plan.rules.drain_grace);
    assert!(nodes.resolve_doubt(until, &plan).is_some());
    assert!(nodes.listed().count() < 12);
    // One node of several may go without a word.
    let mut nodes = EndpointList::default();
    nodes.apply_snapshot(at(1.0), mixed("1", |_| false), &plan, true);
    let one = nodes.apply_snapshot(
        at(2.0),
        mixed("2", |record| record.node.port == 0),
        &plan,
        false,
    );
    assert_eq!(one.rejection, None);
}

#[test]
fn a_clock_that_jumps_restarts_no_node() {
    let run = |age: f64| EndpointRecord {
        started: Some(("r1".into(), Span::from_seconds(age))),
        ..record(1)
    };
    let snapshot_of_age = |version: &str, age| {
        Ok(EndpointSnapshot {
            version: version.into(),
            records: vec![run(age)],
        })
    };
    let mut nodes = EndpointList::default();
    nodes.apply_snapshot(at(100.0), snapshot_of_age("1", 60.0), &plan(), true);
    let Some(Event::EndpointList { entries, .. }) = nodes
        .apply_snapshot(at(101.0), snapshot_of_age("2", 0.0), &plan(), false)
        .event
    else {
        panic!("sound")
    };
    assert!(
        entries.is_empty(),
        "the same run changes nothing: {entries:?}"
    );
}

#[test]
fn a_node_that_returns_without_an_age_may_be_warming_up() {
    let mut nodes = accepted("1", 0..8);
    nodes.apply_snapshot(at(2.0), list("2", 0..7), &plan(), false);
    let Some(Event::EndpointList { entries, .. }) = nodes
        .apply_snapshot(at(9.0), list("3", 0..8), &plan(), false)
        .event
    else {
        panic!("sound")
    };
    assert_eq!(
        entries
            .iter()
            .map(|entry| entry.started)
            .collect::<Vec<_>>(),
        [Some(at(9.0))]
    );
}
