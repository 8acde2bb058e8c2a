use super::*;
use wheelspread::ids::KindId;
use wheelspread::EndpointListKind;

const NODE: NodeId = NodeId {
    address: [127, 0, 0, 1],
    port: 9,
};

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn list_event(zone: u16, status: EndpointStatus) -> Event {
    let (zone, kind, cell) = (ZoneId(zone), KindId(0), CellId(0));
    let entry = EndpointEntry {
        node: NODE,
        zone,
        kind,
        cell,
        status,
        weight: 1.0,
        started: None,
    };
    Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries: vec![entry],
    }
}

fn listed_zone_and_status(event: &Event) -> (u16, EndpointStatus) {
    let Event::EndpointList { entries, .. } = event else {
        panic!("{event:?}")
    };
    (entries[0].zone.0, entries[0].status)
}

fn override_to_zone_1() -> BTreeMap<NodeId, NodeValues> {
    BTreeMap::from([(
        NODE,
        NodeValues {
            zone: Some("1".into()),
            ..NodeValues::default()
        },
    )])
}

fn set(overrides: &mut NodeOverrides, values: BTreeMap<NodeId, NodeValues>) -> Vec<NodeId> {
    overrides.set(values, |zone| zone.parse().ok().map(ZoneId), |_| CellId(7))
}

#[test]
fn a_migrating_node_is_in_no_pool_and_is_listed_again_even_if_the_override_is_undone() {
    let mut overrides = NodeOverrides::default();
    assert_eq!(
        listed_zone_and_status(
            &overrides.apply_to_event(at(0.0), list_event(0, EndpointStatus::Ready))
        ),
        (0, EndpointStatus::Ready)
    );
    assert_eq!(set(&mut overrides, override_to_zone_1()), [NODE]);
    assert_eq!(
        listed_zone_and_status(
            &overrides.apply_to_event(at(1.0), list_event(0, EndpointStatus::Ready))
        ),
        (0, EndpointStatus::Gone)
    );
    // An endpoint list during the migration does not complete it.
    assert_eq!(
        listed_zone_and_status(
            &overrides.apply_to_event(at(1.1), list_event(0, EndpointStatus::Ready))
        ),
        (1, EndpointStatus::Gone)
    );
    assert_eq!(
        overrides.complete_migrations(at(1.2), Span::from_seconds(2.0), |_| true),
        []
    );
    // The override is undone during the migration: the node returns to its old pool, but only once the
    // migration is complete.
    set(&mut overrides, BTreeMap::new());
    assert_eq!(
        listed_zone_and_status(
            &overrides.apply_to_event(at(1.3), list_event(0, EndpointStatus::Ready))
        ),
        (0, EndpointStatus::Gone)
    );
    assert_eq!(
        overrides.complete_migrations(at(1.4), Span::from_seconds(2.0), |_| false),
        [NODE]
    );
    assert_eq!(
        listed_zone_and_status(
            &overrides.apply_to_event(at(1.4), list_event(0, EndpointStatus::Ready))
        ),
        (0, EndpointStatus::Ready)
    );
    assert_eq!(overrides.migration_count(), 0);
}

#[test]
fn a_migration_completes_after_the_grace_period_even_if_tables_still_list_the_node() {
    let mut overrides = NodeOverrides::default();
    overrides.apply_to_event(at(0.0), list_event(0, EndpointStatus::Ready));
    set(&mut overrides, override_to_zone_1());
    overrides.apply_to_event(at(1.0), list_event(0, EndpointStatus::Ready));
    assert_eq!(
        overrides.complete_migrations(at(2.9), Span::from_seconds(2.0), |_| true),
        []
    );
    assert_eq!(
        overrides.complete_migrations(at(3.0), Span::from_seconds(2.0), |_| true),
        [NODE]
    );
    assert_eq!(
        listed_zone_and_status(
            &overrides.apply_to_event(at(3.0), list_event(0, EndpointStatus::Ready))
        ),
        (1, EndpointStatus::Ready)
    );
}

#[test]
fn an_override_takes_a_node_out_of_service_but_never_returns_a_draining_or_gone_node() {
    let mut overrides = NodeOverrides::default();
    set(&mut overrides, override_to_zone_1());
    for status in [EndpointStatus::Draining, EndpointStatus::Gone] {
        assert_eq!(
            listed_zone_and_status(&overrides.apply_to_event(at(0.0), list_event(1, status))),
            (1, status)
        );
    }
    let service = |service| {
        BTreeMap::from([(
            NODE,
            NodeValues {
                service,
                ..NodeValues::default()
            },
        )])
    };
    for (state, status) in [
        (Some(ServiceState::Draining), EndpointStatus::Draining),
        (Some(ServiceState::OutOfService), EndpointStatus::Gone),
    ] {
        set(&mut overrides, service(state));
        assert_eq!(
            listed_zone_and_status(
                &overrides.apply_to_event(at(1.0), list_event(1, EndpointStatus::Ready))
            ),
            (1, status)
        );
    }
    assert_eq!(
        set(&mut overrides, service(Some(ServiceState::OutOfService))),
        [],
        "an unchanged override is not returned"
    );
}
