//! Builds the solver's input: the listed nodes with their estimated capacities, and the demand of each zone.

use super::WeightSolver;
use crate::deployment::{Deployment, OperationConfig, SolverConfig};
use crate::endpoint_list::{format_node, EndpointList, EndpointRecord};
use std::collections::BTreeMap;
use wheelspread::ids::{OperationId, ZoneId};
use wheelspread::time::Span;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_solve::estimate::CapacityEstimate;
use wheelspread_solve::{Fleet, Gateway, Host, HostState, Operation};

/// Work of one request of an operation for which the settings name none.
const DEFAULT_WORK: Span = Span::from_seconds(1.0);

impl WeightSolver {
    pub(super) fn fleet(
        &self,
        deployment: &Deployment,
        config: &SolverConfig,
        endpoints: &EndpointList,
    ) -> Fleet {
        let hosts = endpoints
            .listed()
            .map(|(record, entry)| self.host(record, entry, config));
        let operations = deployment
            .operations
            .iter()
            .map(|operation| solver_operation(operation, config));
        Fleet {
            hosts: hosts.collect(),
            gateways: self.zone_demand(deployment),
            operations: operations.collect(),
            cross_zone_price: deployment.cross_zone_price,
            connection_price: 0.0,
            crossing_seconds: 0.0,
            fill_at_most: config.fill_at_most,
            cold_share: deployment.rules.cold_start_share,
            steps: fill_cost_steps(),
            standing: BTreeMap::new(),
            change_price: 0.0,
        }
    }

    fn host(&self, record: &EndpointRecord, entry: &EndpointEntry, config: &SolverConfig) -> Host {
        let estimate = self.estimates.get(&record.node);
        Host {
            id: format_node(record.node),
            zone: record.zone.clone(),
            capacity: estimate.map_or_else(
                || configured_capacity(config, &record.kind),
                CapacityEstimate::capacity,
            ),
            // A warming node counts as ready, since the balancer ramps up its traffic by itself.
            state: match entry.status {
                EndpointStatus::Ready => HostState::Ready,
                _ => HostState::Draining,
            },
            price: 0.0,
            load_at_most: None,
            kind: String::new(),
        }
    }

    /// The demand of each zone. The solver sees the proxies of a zone as one gateway.
    fn zone_demand(&self, deployment: &Deployment) -> Vec<Gateway> {
        let mut gateways: BTreeMap<String, Gateway> = BTreeMap::new();
        for ((zone, operation), rate) in &self.demand {
            let Some(operation) = operation_config(deployment, *operation) else {
                continue;
            };
            let zone = zone_name(deployment, *zone);
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

/// The capacity of a kind in the settings; 0 if they name none.
pub(super) fn configured_capacity(config: &SolverConfig, kind: &str) -> f64 {
    config.capacities.get(kind).copied().unwrap_or(0.0)
}

pub(super) fn operation_config(
    deployment: &Deployment,
    operation: OperationId,
) -> Option<&OperationConfig> {
    deployment.operations.get(usize::from(operation.0))
}

fn zone_name(deployment: &Deployment, zone: ZoneId) -> String {
    deployment
        .zones
        .get(usize::from(zone.0))
        .cloned()
        .unwrap_or_default()
}

fn solver_operation(operation: &OperationConfig, config: &SolverConfig) -> Operation {
    let work = config
        .work
        .get(&operation.name)
        .map_or(DEFAULT_WORK, |work| work.0);
    Operation {
        name: operation.name.clone(),
        billed_value: operation.billed_value,
        work: work.seconds(),
        holds: None,
        stays_in_zone: operation.stays_in_zone,
        least_share: config.least_share,
    }
}

/// Utilization steps of a node and the cost of using it up to each of them; see [`Fleet::steps`].
fn fill_cost_steps() -> Vec<(f64, f64)> {
    vec![(0.6, 0.0), (0.8, 0.01), (1.0, 0.03)]
}
