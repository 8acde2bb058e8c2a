//! Demand and node observations of one report period, collected from the events that the balancer gets.

use crate::deployment::Deployment;
use crate::membership::Membership;
use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread::Event;

/// Name in the settings of the load metric that holds a node's utilization.
const UTILIZATION_SETTING: &str = "utilization";

/// Observations of the proxies of all zones at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct NodeObservation {
    /// Attempts per second.
    pub(super) attempt_rate: f64,
    pub(super) attempts: f64,
    pub(super) failures: f64,
    /// The last utilization that the node reported, as a ratio.
    pub(super) utilization: Option<f64>,
}

/// The observations of one report period.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    /// Requests per second, by zone and operation.
    pub(super) demand: BTreeMap<(ZoneId, OperationId), f64>,
    pub(super) nodes: BTreeMap<NodeId, NodeObservation>,
}

impl Observations {
    /// Sums up the reports among these events. A report with an empty window gives no rate and is left out.
    pub(super) fn collect(
        events: &[Event],
        deployment: &Deployment,
        members: &Membership,
    ) -> Observations {
        let mut observations = Observations::default();
        for event in events {
            match event {
                Event::DemandReport {
                    proxy,
                    operation,
                    requests,
                    window,
                    ..
                } if *window > Span::ZERO => {
                    observations.add_demand(members, *proxy, *operation, *requests, *window);
                }
                Event::NodeLoadReport {
                    node,
                    attempts,
                    failures,
                    window,
                    metrics,
                    ..
                } if *window > Span::ZERO => {
                    let observation = observations.nodes.entry(*node).or_default();
                    observation.attempt_rate += attempts / window.seconds();
                    observation.failures += failures;
                    observation.attempts += attempts;
                    observation.utilization =
                        utilization(deployment, metrics).or(observation.utilization);
                }
                _ => {}
            }
        }
        observations
    }

    fn add_demand(
        &mut self,
        members: &Membership,
        proxy: ProxyId,
        operation: OperationId,
        requests: f64,
        window: Span,
    ) {
        if let Some(member) = members.by_id(proxy) {
            let rate = self.demand.entry((member.zone, operation)).or_insert(0.0);
            *rate += requests / window.seconds();
        }
    }
}

/// The utilization among a report's load metrics; `None` if it was not reported, which is a value below 0.
fn utilization(deployment: &Deployment, metrics: &[f64]) -> Option<f64> {
    let loads = &deployment.load_reports.loads;
    let index = loads.iter().position(|name| name == UTILIZATION_SETTING)?;
    metrics.get(index).copied().filter(|value| *value >= 0.0)
}
