use super::*;
use crate::deployment::tests::test_deployment;
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

fn snapshot(
    version: &str,
    ports: std::ops::Range<u16>,
) -> Result<EndpointSnapshot, SnapshotReadError> {
    Ok(EndpointSnapshot {
        version: version.to_string(),
        records: ports.map(record).collect(),
    })
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn accepted_list(version: &str, ports: std::ops::Range<u16>) -> EndpointList {
    let mut endpoints = EndpointList::default();
    assert_eq!(
        endpoints
            .apply_snapshot(at(1.0), snapshot(version, ports), &test_deployment(), true)
            .rejection,
        None
    );
    endpoints
}

#[test_case(Err(SnapshotReadError::new("not JSON")), "can't be read"; "a truncated file")]
#[test_case(snapshot("4", 0..10), "not newer than version 5"; "an older version that names a removed node")]
#[test_case(snapshot("5", 0..4), "not newer"; "the same version with other content")]
#[test_case(snapshot("6", 0..0), "names no node while 8"; "no nodes")]
#[test_case(snapshot("6", 0..3), "5 of 8 ready nodes are missing"; "more than half of the nodes missing")]
#[test_case(Ok(EndpointSnapshot { version: "6".into(), records: vec![record(1), record(1)] }), "twice"; "a node named twice")]
#[test_case(Ok(EndpointSnapshot { version: "6".into(), records: vec![EndpointRecord { zone: "moon".into(), ..record(1) }] }),
    "zone `moon`"; "an unknown zone")]
fn an_invalid_or_implausible_snapshot_is_rejected(
    snapshot: Result<EndpointSnapshot, SnapshotReadError>,
    reason: &str,
) {
    let mut endpoints = accepted_list("5", 0..8);
    let rejection = endpoints
        .apply_snapshot(at(2.0), snapshot, &test_deployment(), false)
        .rejection
        .expect("the snapshot is rejected");
    assert!(rejection.to_string().contains(reason), "{rejection}");
    assert_eq!(
        endpoints.listed().count(),
        8,
        "the last accepted list stays in force"
    );
}

fn gone_count(event: Option<Event>) -> usize {
    let Some(Event::EndpointList { entries, .. }) = event else {
        return 0;
    };
    entries
        .iter()
        .filter(|entry| entry.status == EndpointStatus::Gone)
        .count()
}

#[test]
fn a_second_snapshot_that_lacks_the_same_nodes_is_accepted() {
    let mut endpoints = accepted_list("5", 0..8);
    assert!(endpoints
        .apply_snapshot(at(2.0), snapshot("6", 0..3), &test_deployment(), false)
        .rejection
        .is_some());
    // An unreadable snapshot in between neither confirms nor ends the doubt.
    assert!(endpoints
        .apply_snapshot(
            at(2.1),
            Err(SnapshotReadError::new("half")),
            &test_deployment(),
            false
        )
        .rejection
        .is_some());
    assert_eq!(
        gone_count(
            endpoints
                .apply_snapshot(at(3.0), snapshot("7", 0..3), &test_deployment(), false)
                .event
        ),
        5
    );
    // A snapshot with all nodes in between ends the doubt.
    let mut endpoints = accepted_list("5", 0..8);
    assert!(endpoints
        .apply_snapshot(at(2.0), snapshot("6", 0..3), &test_deployment(), false)
        .rejection
        .is_some());
    assert!(endpoints
        .apply_snapshot(at(2.5), snapshot("7", 0..8), &test_deployment(), false)
        .rejection
        .is_none());
    assert!(endpoints
        .apply_snapshot(at(2.6), snapshot("8", 0..3), &test_deployment(), false)
        .rejection
        .is_some());
    assert_eq!(
        endpoints.resolve_doubt(at(3.5), &test_deployment()),
        None,
        "the doubt period starts at the newer snapshot in doubt"
    );
}

#[test]
fn additions_of_a_snapshot_in_doubt_are_applied_at_once() {
    let mut endpoints = accepted_list("5", 0..8);
    let outcome =
        endpoints.apply_snapshot(at(2.0), snapshot("6", 6..12), &test_deployment(), false);
    assert!(outcome.rejection.is_some() && gone_count(outcome.event) == 0);
    assert_eq!(endpoints.listed().count(), 12);
}

#[test]
fn missing_nodes_that_do_not_answer_are_removed_within_the_grace_period() {
    let mut endpoints = accepted_list("5", 0..8);
    endpoints.apply_snapshot(at(2.0), snapshot("6", 0..3), &test_deployment(), false);
    // Answers in an interval that began before the snapshot are no evidence.
    (3..8).for_each(|port| endpoints.record_answer(record(port).node, at(1.5)));
    let until = endpoints
        .doubt_deadline(&test_deployment())
        .expect("the list is in doubt");
    assert!(until > at(2.5) && until < at(2.0) + test_deployment().rules.drain_grace);
    assert_eq!(endpoints.resolve_doubt(at(2.5), &test_deployment()), None);
    assert_eq!(
        gone_count(endpoints.resolve_doubt(until, &test_deployment())),
        5
    );
    assert_eq!(endpoints.listed().count(), 3);
}

#[test]
fn missing_nodes_that_go_on_answering_are_kept() {
    let mut endpoints = accepted_list("5", 0..8);
    endpoints.apply_snapshot(at(2.0), snapshot("6", 0..3), &test_deployment(), false);
    (4..8).for_each(|port| endpoints.record_answer(record(port).node, at(2.1)));
    assert_eq!(endpoints.resolve_doubt(at(3.5), &test_deployment()), None);
    assert_eq!(endpoints.listed().count(), 8);
    // A further snapshot that lacks the same nodes puts the list in doubt again.
    assert!(endpoints
        .apply_snapshot(at(4.0), snapshot("7", 0..3), &test_deployment(), false)
        .rejection
        .is_some());
}

/// A snapshot of twelve nodes, two of them in zone `south` and three of kind `large`, less the nodes for which
/// `without` holds.
fn two_zone_snapshot(
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
fn a_snapshot_that_lacks_a_whole_zone_or_kind_puts_the_list_in_doubt(
    without: fn(&EndpointRecord) -> bool,
    expected: &str,
) {
    let deployment = Deployment {
        kinds: vec!["large".into(), "small".into()],
        ..test_deployment()
    };
    let mut endpoints = EndpointList::default();
    assert_eq!(
        endpoints
            .apply_snapshot(
                at(1.0),
                two_zone_snapshot("1", |_| false),
                &deployment,
                true
            )
            .rejection,
        None
    );
    let outcome =
        endpoints.apply_snapshot(at(2.0), two_zone_snapshot("2", without), &deployment, false);
    assert!(outcome
        .rejection
        .is_some_and(|rejection| rejection.to_string().starts_with(expected)));
    assert_eq!(
        endpoints.listed().count(),
        12,
        "missing nodes are kept while the list is in doubt"
    );
    // No missing node answers, so the removals are applied.
    let until = endpoints
        .doubt_deadline(&deployment)
        .expect("the list is in doubt");
    assert!(until < at(2.0) + deployment.rules.drain_grace);
    assert!(endpoints.resolve_doubt(until, &deployment).is_some());
    assert!(endpoints.listed().count() < 12);
    // The removal of one of several nodes of a zone is accepted at once.
    let mut endpoints = EndpointList::default();
    endpoints.apply_snapshot(
        at(1.0),
        two_zone_snapshot("1", |_| false),
        &deployment,
        true,
    );
    let one = endpoints.apply_snapshot(
        at(2.0),
        two_zone_snapshot("2", |record| record.node.port == 0),
        &deployment,
        false,
    );
    assert_eq!(one.rejection, None);
}

#[test]
fn a_clock_jump_does_not_restart_a_node() {
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
    let mut endpoints = EndpointList::default();
    endpoints.apply_snapshot(
        at(100.0),
        snapshot_of_age("1", 60.0),
        &test_deployment(),
        true,
    );
    let Some(Event::EndpointList { entries, .. }) = endpoints
        .apply_snapshot(
            at(101.0),
            snapshot_of_age("2", 0.0),
            &test_deployment(),
            false,
        )
        .event
    else {
        panic!("expected an endpoint list event")
    };
    assert!(
        entries.is_empty(),
        "the same run changes nothing: {entries:?}"
    );
}

#[test]
fn a_returning_node_of_unknown_age_counts_as_just_started() {
    let mut endpoints = accepted_list("1", 0..8);
    endpoints.apply_snapshot(at(2.0), snapshot("2", 0..7), &test_deployment(), false);
    let Some(Event::EndpointList { entries, .. }) = endpoints
        .apply_snapshot(at(9.0), snapshot("3", 0..8), &test_deployment(), false)
        .event
    else {
        panic!("expected an endpoint list event")
    };
    assert_eq!(
        entries
            .iter()
            .map(|entry| entry.started)
            .collect::<Vec<_>>(),
        [Some(at(9.0))]
    );
}
