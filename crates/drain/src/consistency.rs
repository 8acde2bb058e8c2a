//! Disagreements between the controllers of a fleet. Each controller decides on its own, so temporary disagreements are
//! normal; this module finds those that are of interest to an operator.

use crate::order::DrainOrder;
use crate::registry::Drain;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The view of a controller that does not list the node.
const NOT_LISTED: &str = "not listed";

/// The view that one controller has of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct NodeView {
    /// The status of the node: `ready`, `draining` or `out`.
    pub listing: String,
    /// The zone whose tables have the node.
    pub zone: String,
    /// Whether `listing` is the effect of a drain order.
    pub by_order: bool,
}

impl NodeView {
    fn describe_listing(&self) -> String {
        match self.by_order {
            true => format!("{} by order", self.listing),
            false => self.listing.clone(),
        }
    }
}

/// The view that one controller has of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControllerView {
    /// The version of the controller's endpoint list.
    pub list_version: String,
    /// The version of the controller's configuration.
    pub configuration_version: u64,
    /// The nodes that the controller lists, by name.
    pub nodes: BTreeMap<String, NodeView>,
}

/// The subject of a disagreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisagreementKind {
    /// The status of a node differs between the controllers that list it.
    EndpointStatus,
    /// A node is listed by some controllers, but not by all.
    Listed,
    /// The zone of a node differs between the controllers that list it.
    Zone,
    /// The controllers have different versions of the configuration.
    Configuration,
}

/// The names of controllers, grouped by view. The keys are the views as text.
type ControllersByView = BTreeMap<String, Vec<String>>;

/// A disagreement between controllers. Its serde names are those of the JSON output of the command-line tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// The subject of the disagreement.
    #[serde(rename = "matter")]
    pub kind: DisagreementKind,
    /// The node on which the controllers disagree; `None` for their configurations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// The names of the controllers, grouped by view.
    #[serde(rename = "held")]
    pub views: BTreeMap<String, Vec<String>>,
    /// Whether the versions of the controllers' endpoint lists differ, in which case the disagreement may be due to a
    /// list that has not reached all of them yet. Always `false` for [`DisagreementKind::Configuration`].
    pub lists_differ: bool,
}

fn group_by_view<'a>(views: impl Iterator<Item = (&'a String, String)>) -> ControllersByView {
    let mut groups = ControllersByView::new();
    for (controller, view) in views {
        groups.entry(view).or_default().push(controller.clone());
    }
    groups
}

/// The count of different views among the controllers that list the node.
fn listed_view_count(groups: &ControllersByView) -> usize {
    groups.keys().filter(|view| *view != NOT_LISTED).count()
}

/// An order that a controller lacks.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingOrder {
    /// The controller.
    pub controller: String,
    /// The newest order for a node.
    pub order: DrainOrder,
}

/// The orders that have to be sent so that every given controller has the newest order for every node. A controller
/// lacks orders that were given while it was unreachable.
pub fn missing_orders(controllers: &BTreeMap<String, Vec<Drain>>) -> Vec<MissingOrder> {
    let mut newest: BTreeMap<&str, &DrainOrder> = BTreeMap::new();
    for drain in controllers.values().flatten() {
        let known = newest.entry(&drain.order.node).or_insert(&drain.order);
        if drain.order.rank() > known.rank() {
            *known = &drain.order;
        }
    }
    let has = |drains: &[Drain], order: &DrainOrder| {
        drains.iter().any(|drain| drain.order.id == order.id)
    };
    let mut missing = Vec::new();
    for (controller, drains) in controllers {
        let orders = newest.values().filter(|order| !has(drains, order));
        missing.extend(orders.map(|order| MissingOrder {
            controller: controller.clone(),
            order: (*order).clone(),
        }));
    }
    missing
}

/// The disagreements between controllers. `controllers` has the views of those that answered, by name.
pub fn find_disagreements(controllers: &BTreeMap<String, ControllerView>) -> Vec<Disagreement> {
    let lists: BTreeSet<&str> = controllers
        .values()
        .map(|view| view.list_version.as_str())
        .collect();
    let lists_differ = lists.len() > 1;
    let mut found = Vec::new();
    let configurations = group_by_view(
        controllers
            .iter()
            .map(|(name, view)| (name, view.configuration_version.to_string())),
    );
    if configurations.len() > 1 {
        found.push(Disagreement {
            kind: DisagreementKind::Configuration,
            node: None,
            views: configurations,
            lists_differ: false,
        });
    }
    let nodes: BTreeSet<&String> = controllers
        .values()
        .flat_map(|view| view.nodes.keys())
        .collect();
    for node in nodes {
        let disagreements = node_disagreements(controllers, node);
        found.extend(disagreements.into_iter().map(|(kind, views)| Disagreement {
            kind,
            node: Some(node.clone()),
            views,
            lists_differ,
        }));
    }
    found
}

/// The disagreements on one node.
fn node_disagreements(
    controllers: &BTreeMap<String, ControllerView>,
    node: &str,
) -> Vec<(DisagreementKind, ControllersByView)> {
    let group = |describe: fn(&NodeView) -> String| {
        group_by_view(controllers.iter().map(|(name, view)| {
            let node_view = view.nodes.get(node);
            (name, node_view.map_or(NOT_LISTED.to_string(), describe))
        }))
    };
    let listed = group(|_| "listed".to_string());
    let listing = group(NodeView::describe_listing);
    let zone = group(|view| view.zone.clone());
    let mut found = Vec::new();
    if listed_view_count(&listing) > 1 {
        found.push((DisagreementKind::EndpointStatus, listing));
    } else if listed.len() > 1 {
        found.push((DisagreementKind::Listed, listed));
    }
    if listed_view_count(&zone) > 1 {
        found.push((DisagreementKind::Zone, zone));
    }
    found
}
