//! Detection of disagreements between controllers and of orders that a controller lacks.

mod common;

use common::{at, order, submit_and_persist};
use std::collections::BTreeMap;
use wheelspread_drain::consistency::{
    find_disagreements, missing_orders, ControllerView, DisagreementKind, NodeView,
};
use wheelspread_drain::{Drain, DrainAction, DrainOrder, DrainRegistry};

#[test]
fn the_newest_order_is_missing_only_at_controllers_that_do_not_have_it() {
    let drains_after = |orders: Vec<DrainOrder>| {
        let mut registry = DrainRegistry::default();
        orders
            .into_iter()
            .for_each(|order| submit_and_persist(&mut registry, at(0.0), order));
        registry.drains().cloned().collect::<Vec<Drain>>()
    };
    let (old, new) = (
        order("a", DrainAction::Drain, 1),
        order("b", DrainAction::Undrain, 2),
    );
    let fleet = BTreeMap::from([
        (
            "c0".to_string(),
            drains_after(vec![old.clone(), new.clone()]),
        ),
        ("c1".to_string(), drains_after(vec![old])),
        ("c2".to_string(), drains_after(vec![])),
    ]);
    let missing: Vec<(String, String)> = missing_orders(&fleet)
        .into_iter()
        .map(|missing| (missing.controller, missing.order.id.0))
        .collect();
    assert_eq!(
        missing,
        [
            ("c1".to_string(), "b".to_string()),
            ("c2".to_string(), "b".to_string())
        ]
    );
}

fn controller_view(
    list_version: &str,
    configuration_version: u64,
    nodes: &[(&str, &str, &str, bool)],
) -> ControllerView {
    let view = |(name, listing, zone, by_order): &(&str, &str, &str, bool)| {
        let view = NodeView {
            listing: listing.to_string(),
            zone: zone.to_string(),
            by_order: *by_order,
        };
        (name.to_string(), view)
    };
    ControllerView {
        list_version: list_version.into(),
        configuration_version,
        nodes: nodes.iter().map(view).collect(),
    }
}

/// Two controllers with the same view, and `third`.
fn fleet(third: ControllerView) -> BTreeMap<String, ControllerView> {
    let agreeing = controller_view(
        "7",
        3,
        &[
            ("n1", "ready", "north", false),
            ("n2", "ready", "north", false),
        ],
    );
    BTreeMap::from([
        ("a".to_string(), agreeing.clone()),
        ("b".to_string(), agreeing),
        ("c".to_string(), third),
    ])
}

#[test]
fn controllers_with_the_same_view_do_not_disagree() {
    let alike = controller_view(
        "7",
        3,
        &[
            ("n1", "ready", "north", false),
            ("n2", "ready", "north", false),
        ],
    );
    assert_eq!(find_disagreements(&fleet(alike)), []);
}

#[test]
fn a_node_drained_at_one_controller_is_named_with_all_views() {
    let drained = controller_view(
        "7",
        3,
        &[
            ("n1", "draining", "north", true),
            ("n2", "ready", "north", false),
        ],
    );
    let found = find_disagreements(&fleet(drained));
    assert_eq!(
        (found.len(), found[0].kind, found[0].node.as_deref()),
        (1, DisagreementKind::EndpointStatus, Some("n1"))
    );
    assert_eq!(found[0].views["draining by order"], ["c"]);
    assert_eq!(found[0].views["ready"], ["a", "b"]);
}

#[test]
fn a_missing_node_is_named_and_an_older_list_may_explain_it() {
    let older = controller_view("6", 3, &[("n1", "ready", "north", false)]);
    let found = find_disagreements(&fleet(older));
    assert_eq!(
        (found.len(), found[0].kind, found[0].lists_differ),
        (1, DisagreementKind::Listed, true)
    );
}

#[test]
fn another_configuration_and_another_zone_are_two_disagreements() {
    let migrated = controller_view(
        "7",
        4,
        &[
            ("n1", "ready", "south", false),
            ("n2", "ready", "north", false),
        ],
    );
    let found = find_disagreements(&fleet(migrated));
    let kinds: Vec<DisagreementKind> = found.iter().map(|found| found.kind).collect();
    assert_eq!(
        kinds,
        [DisagreementKind::Configuration, DisagreementKind::Zone]
    );
}
