//! The fleet that is handed to the solver: listed nodes with their estimated capacities, and the demand of
//! each zone.

use super::WeightSolver;
use crate::deployment::{Deployment, OperationConfig, SolverConfig};
use crate::endpoint_list::{format_node, EndpointList, EndpointRecord};
use std::collections::BTreeMap;
use wheelspread::ids::{OperationId, ZoneId};
use wheelspread::time::Span;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_solve::estimate::Estimate;
use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};

/// Work of an operation for which the settings name none.
const DEFAULT_WORK: Span = Span::from_seconds(1.0);

impl WeightSolver {
    pub(super) fn fleet(
        &self,
        plan: &Deployment,
        solver: &SolverConfig,
        nodes: &EndpointList,
    ) -> Fleet {
        let hosts = nodes
            .listed()
            .map(|(record, entry)| self.host(record, entry, solver));
        let operations = plan
            .operations
            .iter()
            .map(|operation| solver_operation(operation, solver));
        Fleet {
            hosts: hosts.collect(),
            gateways: self.zone_demand(plan),
            operations: operations.collect(),
            cross_zone_price: plan.cross_zone_price,
            connection_price: 0.0,
            crossing_seconds: 0.0,
            fill_at_most: solver.fill_at_most,
            cold_share: plan.rules.cold_start_share,
            steps: fill_cost_steps(),
            standing: BTreeMap::new(),
            change_price: 0.0,
        }
    }

    fn host(&self, record: &EndpointRecord, entry: &EndpointEntry, solver: &SolverConfig) -> Host {
        let estimate = self.estimates.get(&record.node);
        Host {
            id: format_node(record.node),
            zone: record.zone.clone(),
            capacity: estimate.map_or_else(
                || configured_capacity(solver, &record.kind),
                Estimate::capacity,
            ),
            // The balancer ramps a node up while it warms; its weight here is that of a warm one.
            state: match entry.status {
                EndpointStatus::Ready => HostState::Ready,
                _ => HostState::Draining,
            },
            price: 0.0,
            load_at_most: None,
            kind: String::new(),
        }
    }

    /// Demand by zone: the proxies of a zone are one gateway to the solver.
    fn zone_demand(&self, plan: &Deployment) -> Vec<Gateway> {
        let mut gateways: BTreeMap<String, Gateway> = BTreeMap::new();
        for ((zone, operation), rate) in &self.demand {
            let Some(operation) = operation_plan(plan, *operation) else {
                continue;
            };
            let zone = zone_name(plan, *zone);
            let gateway = gateways.entry(zone.clone()).or_insert_with(|| Gateway {
                id: zone.clone(),
                zone,
                demand: BTreeMap::new(),
            });
            gateway.demand.insert(operation.name.clone(), *rate);
        }
        gateways.into_values().collect()
    }
}

/// The capacity that the settings give a kind; 0 where they name none.
pub(super) fn configured_capacity(solver: &SolverConfig, kind: &str) -> f64 {
    solver.capacities.get(kind).copied().unwrap_or(0.0)
}

pub(super) fn operation_plan(
    plan: &Deployment,
    operation: OperationId,
) -> Option<&OperationConfig> {
    plan.operations.get(usize::from(operation.0))
}

fn zone_name(plan: &Deployment, zone: ZoneId) -> String {
    plan.zones
        .get(usize::from(zone.0))
        .cloned()
        .unwrap_or_default()
}

fn solver_operation(operation: &OperationConfig, solver: &SolverConfig) -> Operation {
    let work = solver
        .work
        .get(&operation.name)
        .map_or(DEFAULT_WORK, |work| work.0);
    Operation {
        name: operation.name.clone(),
        billed_value: operation.billed_value,
        work: work.seconds(),
        holds: None,
        stays_in_zone: operation.stays_in_zone,
        least_share: solver.least_share,
    }
}

/// Fill levels of a node and what filling it up to each costs, as the solver takes them.
fn fill_cost_steps() -> Vec<(f64, f64)> {
    vec![(0.6, 0.0), (0.8, 0.01), (1.0, 0.03)]
}
