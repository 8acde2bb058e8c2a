//! The fleet as measured by this controller, as input of the solver: the capacity of each node in invocations per
//! second, and the demand of each zone. A node without a measurement gets the mean capacity of its kind, or that of all
//! nodes if no node of its kind was measured.

use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::{ControllerCore, Deployment};
use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};

/// The window over which the current demand is averaged, in report periods.
const DEMAND_WINDOW_PERIODS: f64 = 15.0;
/// The ratio of a node's capacity that the solver may use.
const USABLE_CAPACITY_RATIO: f64 = 0.9;

/// Measured capacities and demand, independent of the placement of nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredFleet {
    /// The capacity of each node, in invocations per second.
    pub capacity: BTreeMap<NodeId, f64>,
    /// The demand of each zone for each operation, in invocations per second.
    pub demand: BTreeMap<(ZoneId, OperationId), f64>,
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl MeasuredFleet {
    /// Takes the current measurements of the controller core.
    pub fn from_core(now: Moment, core: &ControllerCore) -> MeasuredFleet {
        let capacity = core
            .capacity_snapshots()
            .map(|snapshot| (snapshot.node, snapshot.log_capacity.exp()))
            .collect();
        let window = Span::from_seconds(
            core.deployment().load_reports.period.seconds() * DEMAND_WINDOW_PERIODS,
        );
        let (totals, seconds) = core.service_history().between(now - window, now);
        let rate = |count: f64| if seconds > 0.0 { count / seconds } else { 0.0 };
        let demand = totals
            .0
            .iter()
            .map(|(key, operation_totals)| (*key, rate(operation_totals.requests)))
            .collect();
        MeasuredFleet { capacity, demand }
    }

    /// Whether at least one capacity and some demand were measured; without both, the effect of a change on capacity is
    /// unknown.
    pub fn has_capacity_and_demand(&self) -> bool {
        !self.capacity.is_empty() && self.demand.values().any(|rate| *rate > 0.0)
    }

    /// Returns the fleet with these nodes, placed as in the given deployment.
    pub fn fleet(&self, now: Moment, nodes: &[EndpointEntry], deployment: &Deployment) -> Fleet {
        Fleet {
            hosts: self.hosts(now, nodes, deployment),
            gateways: self.demand_by_zone(deployment),
            operations: operations(deployment),
            cross_zone_price: 0.0,
            connection_price: 0.0,
            crossing_seconds: 0.0,
            fill_at_most: USABLE_CAPACITY_RATIO,
            cold_share: deployment.rules.cold_start_share,
            steps: vec![(1.0, 0.0)],
            standing: BTreeMap::new(),
            change_price: 0.0,
        }
    }

    fn hosts(&self, now: Moment, nodes: &[EndpointEntry], deployment: &Deployment) -> Vec<Host> {
        let mut capacity_by_kind: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
        for entry in nodes {
            capacity_by_kind
                .entry(entry.kind.0)
                .or_default()
                .extend(self.capacity.get(&entry.node));
        }
        let mean_of_all = mean(&self.capacity.values().copied().collect::<Vec<_>>());
        let capacity = |entry: &EndpointEntry| {
            let same_kind = capacity_by_kind
                .get(&entry.kind.0)
                .filter(|capacities| !capacities.is_empty());
            let measured = self.capacity.get(&entry.node).copied();
            measured.unwrap_or_else(|| same_kind.map_or(mean_of_all, |same_kind| mean(same_kind)))
        };
        nodes
            .iter()
            .filter(|entry| entry.status != EndpointStatus::Gone)
            .map(|entry| Host {
                id: format_node(entry.node),
                zone: zone_name(entry.zone, deployment),
                kind: String::new(),
                capacity: capacity(entry),
                state: host_state(now, entry, deployment),
                price: 0.0,
                load_at_most: None,
            })
            .collect()
    }

    /// Returns the demand of each zone as that of a single proxy.
    fn demand_by_zone(&self, deployment: &Deployment) -> Vec<Gateway> {
        let operation_name = |id: OperationId| {
            let operation = deployment.operations.get(usize::from(id.0))?;
            Some(operation.name.clone())
        };
        let zones = deployment.zones.iter().enumerate();
        zones
            .map(|(index, name)| Gateway {
                id: name.clone(),
                zone: name.clone(),
                demand: self
                    .demand
                    .iter()
                    .filter(|((zone, _), _)| usize::from(zone.0) == index)
                    .filter_map(|((_, operation), rate)| Some((operation_name(*operation)?, *rate)))
                    .collect(),
            })
            .collect()
    }
}

fn zone_name(id: ZoneId, deployment: &Deployment) -> String {
    let zone = deployment.zones.get(usize::from(id.0));
    zone.cloned().unwrap_or_default()
}

fn host_state(now: Moment, entry: &EndpointEntry, deployment: &Deployment) -> HostState {
    match entry.status {
        EndpointStatus::Ready if deployment.rules.is_warming(now, entry.started) => HostState::Cold,
        EndpointStatus::Ready => HostState::Ready,
        _ => HostState::Draining,
    }
}

fn operations(deployment: &Deployment) -> Vec<Operation> {
    let operations = deployment.operations.iter();
    operations
        .map(|operation| Operation {
            name: operation.name.clone(),
            billed_value: operation.billed_value,
            // Capacities are in invocations per second, so each invocation is one unit of work.
            work: 1.0,
            holds: None,
            stays_in_zone: operation.stays_in_zone,
            least_share: 0.0,
        })
        .collect()
}
