//! Where the controllers of one fleet disagree. Each decides alone, so some disagreement is ordinary for a while; what
//! is found here is what an operator would want to know of.

use crate::order::DrainOrder;
use crate::registry::Drain;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a controller that does not list a node holds of it.
const NOT_LISTED: &str = "not listed";

/// What one controller holds of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct NodeView {
    /// `ready`, `draining` or `out`.
    pub listing: String,
    /// The zone whose tables have it.
    pub zone: String,
    /// Whether the listing is by a drain order.
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

/// What a controller holds of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControllerView {
    /// The version of its endpoint list.
    pub list: String,
    /// The version of its configuration.
    pub configuration: u64,
    /// The nodes that it lists.
    pub nodes: BTreeMap<String, NodeView>,
}

/// What a disagreement is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisagreementKind {
    /// Some hold a node to be ready, others draining or out.
    EndpointStatus,
    /// Some list a node, others do not.
    Listed,
    /// A node is in different pools.
    Zone,
    /// The configurations have different versions.
    Configuration,
}

/// What controllers hold, and which of them. The keys are their views.
type ControllersByView = BTreeMap<String, Vec<String>>;

/// A disagreement between controllers, in the form of the command line's JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// What it is about.
    #[serde(rename = "matter")]
    pub kind: DisagreementKind,
    /// The node that it is about, if it is about one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// What is held, and by which controllers.
    #[serde(rename = "held")]
    pub views: BTreeMap<String, Vec<String>>,
    /// Whether the controllers' endpoint lists differ: then a list that reached some later may be all there is to it.
    pub lists_differ: bool,
}

fn group_by_view<'a>(views: impl Iterator<Item = (&'a String, String)>) -> ControllersByView {
    let mut groups = ControllersByView::new();
    for (controller, view) in views {
        groups.entry(view).or_default().push(controller.clone());
    }
    groups
}

/// How many different views there are among the controllers that list the node.
fn listed_view_count(groups: &ControllersByView) -> usize {
    groups.keys().filter(|view| *view != NOT_LISTED).count()
}

/// An order that a controller has missed.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingOrder {
    /// The controller.
    pub controller: String,
    /// The newest order for a node.
    pub order: DrainOrder,
}

/// The orders that have to be sent so that every controller that answered has the newest for every node: what one
/// missed while it was away.
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

/// The disagreements between controllers, by their names; only those that answered are given.
pub fn find_disagreements(controllers: &BTreeMap<String, ControllerView>) -> Vec<Disagreement> {
    let lists: BTreeSet<&str> = controllers
        .values()
        .map(|view| view.list.as_str())
        .collect();
    let lists_differ = lists.len() > 1;
    let mut found = Vec::new();
    let configurations = group_by_view(
        controllers
            .iter()
            .map(|(name, view)| (name, view.configuration.to_string())),
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

/// What controllers disagree about for one node.
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
