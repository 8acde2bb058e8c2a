//! Where conductors of one fleet are of two minds. Each decides alone, so some disagreement is the ordinary
//! course of things for a while; what is named here is what an operator would want to know of.

use crate::registry::{Drain, DrainOrder};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What one conductor holds of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct NodeView {
    /// `ready`, `draining`, `out`; a node that it does not list has none.
    pub listing: String,
    pub zone: String,
    pub by_order: bool,
}

/// What a conductor holds of everything.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControllerView {
    pub list: String,
    pub configuration: u64,
    pub nodes: BTreeMap<String, NodeView>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisagreementKind {
    /// Some hold it ready that others hold draining or out.
    EndpointStatus,
    /// Some list it and others do not.
    Listed,
    /// It serves in different pools.
    Zone,
    Configuration,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    #[serde(rename = "matter")]
    pub kind: DisagreementKind,
    /// Left out where it is not about one node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// What is held, and by whom.
    #[serde(rename = "held")]
    pub views: BTreeMap<String, Vec<String>>,
    /// It may be nothing but a list that reached some later than others.
    pub lists_differ: bool,
}

fn sides<'a>(held: impl Iterator<Item = (&'a String, String)>) -> BTreeMap<String, Vec<String>> {
    let mut sides: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (conductor, word) in held {
        sides.entry(word).or_default().push(conductor.clone());
    }
    sides
}

/// Which orders have to be told to whom so that all that answered hold the newest for every node: what a
/// conductor missed while it was away.
pub fn missing_orders(conductors: &BTreeMap<String, Vec<Drain>>) -> Vec<(String, DrainOrder)> {
    let mut newest: BTreeMap<&str, &DrainOrder> = BTreeMap::new();
    for drain in conductors.values().flatten() {
        let known = newest.entry(&drain.order.node).or_insert(&drain.order);
        if drain.order.rank() > known.rank() {
            *known = &drain.order;
        }
    }
    let lacks =
        |held: &[Drain], order: &DrainOrder| !held.iter().any(|drain| drain.order.id == order.id);
    let mut missed = Vec::new();
    for (name, held) in conductors {
        let orders = newest.values().filter(|order| lacks(held, order));
        missed.extend(orders.map(|order| (name.clone(), (*order).clone())));
    }
    missed
}

/// By conductor, those that answered only.
pub fn find_disagreements(conductors: &BTreeMap<String, ControllerView>) -> Vec<Disagreement> {
    let mut found = Vec::new();
    let lists: BTreeSet<&str> = conductors.values().map(|held| held.list.as_str()).collect();
    let lists_differ = lists.len() > 1;
    let by_version = sides(
        conductors
            .iter()
            .map(|(name, held)| (name, held.configuration.to_string())),
    );
    if by_version.len() > 1 {
        let (kind, node) = (DisagreementKind::Configuration, None);
        found.push(Disagreement {
            kind,
            node,
            views: by_version,
            lists_differ: false,
        });
    }
    let nodes: BTreeSet<&String> = conductors
        .values()
        .flat_map(|held| held.nodes.keys())
        .collect();
    for node in nodes {
        let of = |word: fn(&NodeView) -> String| {
            sides(conductors.iter().map(|(name, held)| {
                (
                    name,
                    held.nodes.get(node).map_or("not listed".to_string(), word),
                )
            }))
        };
        let listed = of(|_| "listed".to_string());
        let listing = of(|view| match view.by_order {
            true => format!("{} by order", view.listing),
            false => view.listing.clone(),
        });
        let zone = of(|view| view.zone.clone());
        let both = |held: &BTreeMap<String, Vec<String>>| {
            held.keys().filter(|k| *k != "not listed").count()
        };
        let mut add = |kind, views| {
            found.push(Disagreement {
                kind,
                node: Some(node.clone()),
                views,
                lists_differ,
            });
        };
        if both(&listing) > 1 {
            add(DisagreementKind::EndpointStatus, listing);
        } else if listed.len() > 1 {
            add(DisagreementKind::Listed, listed);
        }
        if both(&zone) > 1 {
            add(DisagreementKind::Zone, zone);
        }
    }
    found
}
