//! Pools that a change or a drain would leave without a node, whether anything was measured or not, and what else is
//! against draining a node.

use crate::measured_fleet::MeasuredFleet;
use std::fmt;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::{ControllerCore, Deployment};
use wheelspread_solve::solve;

/// What a pool would lose.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolRisk {
    /// No ready node would be left.
    NoNode {
        /// The operation.
        operation: String,
        /// The zone of the pool; `None`: the operation may go anywhere.
        zone: Option<String>,
    },
    /// Only nodes in slow start would be left.
    OnlyWarming {
        /// The operation.
        operation: String,
        /// The zone of the pool; `None`: the operation may go anywhere.
        zone: Option<String>,
        /// How many would be left.
        nodes: usize,
    },
}

/// Why a node should not be drained.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainObjection {
    /// The endpoint list does not have it.
    NotListed(NodeId),
    /// A pool would be left without a node.
    Pool(PoolRisk),
    /// More value would be lost than may be.
    ValueLost {
        /// The share that would be lost.
        loss_share: f64,
        /// The share that may be lost.
        loss_share_limit: f64,
        /// Value a second now.
        now_per_s: f64,
        /// Value a second afterwards.
        after_per_s: f64,
    },
}

impl PoolRisk {
    /// The name of the check; an order that overrides it has to name it.
    pub fn check_name(&self) -> &'static str {
        match self {
            PoolRisk::NoNode { .. } => "pool",
            PoolRisk::OnlyWarming { .. } => "cold",
        }
    }
}

impl DrainObjection {
    /// The name of the check; an order that overrides it has to name it.
    pub fn check_name(&self) -> &'static str {
        match self {
            DrainObjection::NotListed(_) => "listed",
            DrainObjection::Pool(risk) => risk.check_name(),
            DrainObjection::ValueLost { .. } => "capacity",
        }
    }
}

fn in_zone(zone: &Option<String>) -> String {
    zone.as_ref()
        .map_or_else(String::new, |zone| format!(" in `{zone}`"))
}

/// The text that operators read: the name of the check, a colon, the figures.
impl fmt::Display for PoolRisk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.check_name();
        match self {
            PoolRisk::NoNode { operation, zone } => {
                let place = in_zone(zone);
                write!(f, "{name}: no node would be left for `{operation}`{place}")
            }
            PoolRisk::OnlyWarming {
                operation,
                zone,
                nodes,
            } => {
                let place = in_zone(zone);
                write!(
                    f,
                    "{name}: only {nodes} cold nodes would be left for `{operation}`{place}"
                )
            }
        }
    }
}

impl fmt::Display for DrainObjection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.check_name();
        match self {
            DrainObjection::NotListed(node) => {
                write!(f, "{name}: {} is not listed", format_node(*node))
            }
            DrainObjection::Pool(risk) => write!(f, "{risk}"),
            DrainObjection::ValueLost {
                loss_share,
                loss_share_limit,
                now_per_s,
                after_per_s,
            } => write!(
                f,
                "{name}: {:.1}% of the value served would be lost ({now_per_s:.2} a second now, {after_per_s:.2} \
                 after), {:.1}% may be",
                loss_share * 100.0,
                loss_share_limit * 100.0
            ),
        }
    }
}

/// The ready nodes of a pool.
#[derive(Clone, Copy, Default)]
struct ReadyNodes {
    all: usize,
    /// Those that are not in slow start.
    warm: usize,
}

/// The ready nodes of one zone, or of all zones for an operation that may go anywhere.
fn ready_nodes(
    now: Moment,
    nodes: &[EndpointEntry],
    zone: Option<usize>,
    deployment: &Deployment,
) -> ReadyNodes {
    let mut ready = ReadyNodes::default();
    for entry in nodes {
        let in_pool = zone.is_none_or(|zone| usize::from(entry.zone.0) == zone);
        if entry.status == EndpointStatus::Ready && in_pool {
            ready.all += 1;
            ready.warm += usize::from(!deployment.rules.is_warming(now, entry.started));
        }
    }
    ready
}

/// Pools that would lose their last node, or their last warm node, between two sets of nodes.
pub fn pool_risks(
    now: Moment,
    before: &[EndpointEntry],
    after: &[EndpointEntry],
    deployment: &Deployment,
    deployment_after: &Deployment,
) -> Vec<PoolRisk> {
    let mut risks = Vec::new();
    for operation in &deployment_after.operations {
        // An operation that may go anywhere has one pool.
        let zones: Vec<Option<usize>> = match operation.stays_in_zone {
            true => (0..deployment.zones.len()).map(Some).collect(),
            false => vec![None],
        };
        for zone in zones {
            let had = ready_nodes(now, before, zone, deployment);
            let has = ready_nodes(now, after, zone, deployment);
            let zone = zone.map(|zone| deployment.zones[zone].clone());
            let operation = operation.name.clone();
            if had.all > 0 && has.all == 0 {
                risks.push(PoolRisk::NoNode { operation, zone });
            } else if had.warm > 0 && has.warm == 0 {
                risks.push(PoolRisk::OnlyWarming {
                    operation,
                    zone,
                    nodes: has.all,
                });
            }
        }
    }
    risks
}

/// What is against draining a node; empty: nothing.
pub fn drain_objections(
    now: Moment,
    node: NodeId,
    loss_share_limit: f64,
    core: &ControllerCore,
) -> Vec<DrainObjection> {
    let deployment = core.deployment();
    let before: Vec<EndpointEntry> = core.effective_entries().collect();
    let Some(entry) = before.iter().find(|entry| entry.node == node) else {
        return vec![DrainObjection::NotListed(node)];
    };
    // The capacity of a node that is on its way out already is not lost once more.
    if entry.status != EndpointStatus::Ready {
        return Vec::new();
    }
    let mut after = before.clone();
    for entry in after.iter_mut().filter(|entry| entry.node == node) {
        entry.status = EndpointStatus::Draining;
    }
    let risks = pool_risks(now, &before, &after, deployment, deployment);
    if !risks.is_empty() {
        return risks.into_iter().map(DrainObjection::Pool).collect();
    }
    let measured = MeasuredFleet::from_core(now, core);
    if !measured.is_sufficient() {
        return Vec::new();
    }
    let solved = [&before, &after]
        .map(|nodes| solve(&measured.fleet(now, nodes, deployment), &mut || false));
    let [Ok(before), Ok(after)] = solved else {
        return Vec::new();
    };
    let loss_share = 1.0 - after.value_per_s / before.value_per_s.max(f64::MIN_POSITIVE);
    if loss_share <= loss_share_limit {
        return Vec::new();
    }
    vec![DrainObjection::ValueLost {
        loss_share,
        loss_share_limit,
        now_per_s: before.value_per_s,
        after_per_s: after.value_per_s,
    }]
}
