//! Demand and node observations of one report period, taken from the events that the balancer gets.

use crate::deployment::Deployment;
use crate::membership::Membership;
use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread::Event;

/// The load metric that says how much of a node's capacity is in use.
const UTILIZATION_SETTING: &str = "utilization";

/// What all zones' proxies together observed at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct NodeObservation {
    /// Attempts a second.
    pub(super) attempt_rate: f64,
    pub(super) attempts: f64,
    pub(super) failures: f64,
    /// The last value that the node reported, of 1.
    pub(super) utilization: Option<f64>,
}

/// One period's observations.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    /// Requests a second, by zone and operation.
    pub(super) demand: BTreeMap<(ZoneId, OperationId), f64>,
    pub(super) nodes: BTreeMap<NodeId, NodeObservation>,
}

impl Observations {
    /// Sums up the reports among these events; one without a window says nothing.
    pub(super) fn collect(
        events: &[Event],
        plan: &Deployment,
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
                        utilization(plan, metrics).or(observation.utilization);
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

/// The utilization among a report's load metrics; a metric that was not reported is below 0.
fn utilization(plan: &Deployment, metrics: &[f64]) -> Option<f64> {
    let loads = &plan.load_reports.loads;
    let position = loads.iter().position(|name| name == UTILIZATION_SETTING)?;
    metrics.get(position).copied().filter(|value| *value >= 0.0)
}
