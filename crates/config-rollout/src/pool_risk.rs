//! Pools that a change or a drain would leave without a node, which needs no measurements, and all objections to
//! draining a node.

use crate::measured_fleet::MeasuredFleet;
use std::fmt;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::{ControllerCore, Deployment};
use wheelspread_solve::solve;

/// The risk to a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolRisk {
    /// No ready node would be left.
    NoNode {
        /// The operation.
        operation: String,
        /// The zone of the pool; `None` if the operation may be served in any zone.
        zone: Option<String>,
    },
    /// Only nodes in slow start would be left.
    OnlyWarming {
        /// The operation.
        operation: String,
        /// The zone of the pool; `None` if the operation may be served in any zone.
        zone: Option<String>,
        /// The number of nodes that would be left.
        nodes: usize,
    },
}

/// An objection to draining a node.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainObjection {
    /// The node is not in the endpoint list.
    NotListed(NodeId),
    /// A pool would lose its last node, or its last node that is not in slow start.
    Pool(PoolRisk),
    /// More served value would be lost than allowed.
    ValueLost {
        /// The loss, as a ratio of the value served now.
        loss_ratio: f64,
        /// The maximum allowed `loss_ratio`.
        max_loss_ratio: f64,
        /// The value served per second now.
        now_per_s: f64,
        /// The value served per second after the drain.
        after_per_s: f64,
    },
}

impl PoolRisk {
    /// The name of the check; an order that overrides the check has to contain this name.
    pub fn check_name(&self) -> &'static str {
        match self {
            PoolRisk::NoNode { .. } => "pool",
            PoolRisk::OnlyWarming { .. } => "cold",
        }
    }
}

impl DrainObjection {
    /// The name of the check; an order that overrides the check has to contain this name.
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

/// The text shown to operators: the name of the check, a colon and the measured values.
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
                loss_ratio,
                max_loss_ratio,
                now_per_s,
                after_per_s,
            } => write!(
                f,
                "{name}: {:.1}% of the value served would be lost ({now_per_s:.2} a second now, {after_per_s:.2} \
                 after), {:.1}% may be",
                loss_ratio * 100.0,
                max_loss_ratio * 100.0
            ),
        }
    }
}

/// The number of ready nodes of a pool.
#[derive(Clone, Copy, Default)]
struct ReadyNodes {
    all: usize,
    /// Ready nodes that are not in slow start.
    warm: usize,
}

/// Counts the ready nodes of one zone, or of all zones if `zone` is `None`.
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

/// Returns the pools that would lose their last ready node, or their last one that is not in slow start, when the nodes
/// change from `before` to `after`.
pub fn pool_risks(
    now: Moment,
    before: &[EndpointEntry],
    after: &[EndpointEntry],
    deployment: &Deployment,
    deployment_after: &Deployment,
) -> Vec<PoolRisk> {
    let mut risks = Vec::new();
    for operation in &deployment_after.operations {
        // An operation that may be served in any zone has one pool.
        let zones: Vec<Option<usize>> = match operation.stays_in_zone {
            true => (0..deployment.zones.len()).map(Some).collect(),
            false => vec![None],
        };
        for zone in zones {
            let ready_before = ready_nodes(now, before, zone, deployment);
            let ready_after = ready_nodes(now, after, zone, deployment);
            let zone = zone.map(|zone| deployment.zones[zone].clone());
            let operation = operation.name.clone();
            if ready_before.all > 0 && ready_after.all == 0 {
                risks.push(PoolRisk::NoNode { operation, zone });
            } else if ready_before.warm > 0 && ready_after.warm == 0 {
                risks.push(PoolRisk::OnlyWarming {
                    operation,
                    zone,
                    nodes: ready_after.all,
                });
            }
        }
    }
    risks
}

/// Returns the objections to draining a node. Without measurements, only the pools are checked.
pub fn drain_objections(
    now: Moment,
    node: NodeId,
    max_loss_ratio: f64,
    core: &ControllerCore,
) -> Vec<DrainObjection> {
    let deployment = core.deployment();
    let before: Vec<EndpointEntry> = core.effective_entries().collect();
    let Some(entry) = before.iter().find(|entry| entry.node == node) else {
        return vec![DrainObjection::NotListed(node)];
    };
    // A node that is not ready serves nothing new, so draining it loses no capacity.
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
    if !measured.has_capacity_and_demand() {
        return Vec::new();
    }
    let solved = [&before, &after]
        .map(|nodes| solve(&measured.fleet(now, nodes, deployment), &mut || false));
    let [Ok(before), Ok(after)] = solved else {
        return Vec::new();
    };
    let loss_ratio = 1.0 - after.value_per_s / before.value_per_s.max(f64::MIN_POSITIVE);
    if loss_ratio <= max_loss_ratio {
        return Vec::new();
    }
    vec![DrainObjection::ValueLost {
        loss_ratio,
        max_loss_ratio,
        now_per_s: before.value_per_s,
        after_per_s: after.value_per_s,
    }]
}
