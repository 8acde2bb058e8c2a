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

fn listed(zone: u16, status: EndpointStatus) -> Event {
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

fn listed_as(event: &Event) -> (u16, EndpointStatus) {
    let Event::EndpointList { entries, .. } = event else {
        panic!("{event:?}")
    };
    (entries[0].zone.0, entries[0].status)
}

fn south() -> BTreeMap<NodeId, NodeValues> {
    BTreeMap::from([(
        NODE,
        NodeValues {
            zone: Some("1".into()),
            ..NodeValues::default()
        },
    )])
}

fn set(overlay: &mut NodeOverrides, values: BTreeMap<NodeId, NodeValues>) -> Vec<NodeId> {
    overlay.set(values, |zone| zone.parse().ok().map(ZoneId), |_| CellId(7))
}

#[test]
fn a_node_is_in_no_pool_between_two_and_comes_back_whatever_happens_on_the_way() {
    let mut overlay = NodeOverrides::default();
    assert_eq!(
        listed_as(&overlay.apply_to_event(at(0.0), listed(0, EndpointStatus::Ready))),
        (0, EndpointStatus::Ready)
    );
    assert_eq!(set(&mut overlay, south()), [NODE]);
    assert_eq!(
        listed_as(&overlay.apply_to_event(at(1.0), listed(0, EndpointStatus::Ready))),
        (0, EndpointStatus::Gone)
    );
    // A list that comes meanwhile does not bring it in early.
    assert_eq!(
        listed_as(&overlay.apply_to_event(at(1.1), listed(0, EndpointStatus::Ready))),
        (1, EndpointStatus::Gone)
    );
    assert_eq!(
        overlay.complete_migrations(at(1.2), Span::from_seconds(2.0), |_| true),
        []
    );
    // Undone on the way: it goes back where it was, and not before its time either.
    set(&mut overlay, BTreeMap::new());
    assert_eq!(
        listed_as(&overlay.apply_to_event(at(1.3), listed(0, EndpointStatus::Ready))),
        (0, EndpointStatus::Gone)
    );
    assert_eq!(
        overlay.complete_migrations(at(1.4), Span::from_seconds(2.0), |_| false),
        [NODE]
    );
    assert_eq!(
        listed_as(&overlay.apply_to_event(at(1.4), listed(0, EndpointStatus::Ready))),
        (0, EndpointStatus::Ready)
    );
    assert_eq!(overlay.migration_count(), 0);
}

#[test]
fn after_the_grace_nobody_is_waited_for() {
    let mut overlay = NodeOverrides::default();
    overlay.apply_to_event(at(0.0), listed(0, EndpointStatus::Ready));
    set(&mut overlay, south());
    overlay.apply_to_event(at(1.0), listed(0, EndpointStatus::Ready));
    assert_eq!(
        overlay.complete_migrations(at(2.9), Span::from_seconds(2.0), |_| true),
        []
    );
    assert_eq!(
        overlay.complete_migrations(at(3.0), Span::from_seconds(2.0), |_| true),
        [NODE]
    );
    assert_eq!(
        listed_as(&overlay.apply_to_event(at(3.0), listed(0, EndpointStatus::Ready))),
        (1, EndpointStatus::Ready)
    );
}

#[test]
fn the_list_is_not_overruled_on_who_drains_or_is_gone() {
    let mut overlay = NodeOverrides::default();
    set(&mut overlay, south());
    for status in [EndpointStatus::Draining, EndpointStatus::Gone] {
        assert_eq!(
            listed_as(&overlay.apply_to_event(at(0.0), listed(1, status))),
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
    for (word, status) in [
        (Some(ServiceState::Draining), EndpointStatus::Draining),
        (Some(ServiceState::OutOfService), EndpointStatus::Gone),
    ] {
        set(&mut overlay, service(word));
        assert_eq!(
            listed_as(&overlay.apply_to_event(at(1.0), listed(1, EndpointStatus::Ready))),
            (1, status)
        );
    }
    assert_eq!(
        set(&mut overlay, service(Some(ServiceState::OutOfService))),
        [],
        "what stays as it is is no news"
    );
}
