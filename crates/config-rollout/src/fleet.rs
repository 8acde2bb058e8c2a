//! The fleet as this conductor measured it, in the form that the solver takes: what each node can do in
//! invocations a second, what each zone asks for. Nodes of which nothing is known yet count like the others of
//! their kind, then like all others.

use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_controller_core::endpoint_list::show;
use wheelspread_controller_core::{ControllerCore, Deployment};
use wheelspread_solve::{solve, Fleet, Gateway, Host, HostState, Operation};

/// Of what was told: so far back it counts as what is asked for now.
const LOOKS_BACK: f64 = 15.0;

/// What was measured, apart from where nodes stand.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub capacity: BTreeMap<NodeId, f64>,
    /// Invocations a second.
    pub demand: BTreeMap<(ZoneId, OperationId), f64>,
}

impl Known {
    pub fn of(now: Moment, session: &ControllerCore) -> Known {
        let capacity = session
            .capacity_snapshots()
            .map(|learnt| (learnt.node, learnt.capacity.exp()))
            .collect();
        let from = now - Span::from_seconds(session.plan().sums.period.seconds() * LOOKS_BACK);
        let (tallies, seconds) = session.service_history().between(from, now);
        let rate = |asked: f64| if seconds > 0.0 { asked / seconds } else { 0.0 };
        let demand = tallies
            .0
            .iter()
            .map(|(key, tally)| (*key, rate(tally.asked)))
            .collect();
        Known { capacity, demand }
    }

    /// Nothing can be said without it.
    pub fn enough(&self) -> bool {
        !self.capacity.is_empty() && self.demand.values().any(|rate| *rate > 0.0)
    }

    /// `nodes`: as a configuration has them.
    pub fn fleet(&self, now: Moment, nodes: &[EndpointEntry], plan: &Deployment) -> Fleet {
        let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len().max(1) as f64;
        let mut kinds: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
        for entry in nodes {
            kinds
                .entry(entry.kind.0)
                .or_default()
                .extend(self.capacity.get(&entry.node));
        }
        let all = mean(&self.capacity.values().copied().collect::<Vec<_>>());
        let capacity = |entry: &EndpointEntry| {
            let alike = kinds.get(&entry.kind.0).filter(|alike| !alike.is_empty());
            let known = self.capacity.get(&entry.node).copied();
            known.unwrap_or_else(|| alike.map_or(all, |alike| mean(alike)))
        };
        let zone = |id: ZoneId| {
            plan.zones
                .get(usize::from(id.0))
                .cloned()
                .unwrap_or_default()
        };
        let hosts = nodes
            .iter()
            .filter(|entry| entry.status != EndpointStatus::Gone)
            .map(|entry| {
                let cold = plan.rules.is_cold(now, entry.started);
                Host {
                    id: show(entry.node),
                    zone: zone(entry.zone),
                    kind: String::new(),
                    capacity: capacity(entry),
                    state: match entry.status {
                        EndpointStatus::Ready if cold => HostState::Cold,
                        EndpointStatus::Ready => HostState::Ready,
                        _ => HostState::Draining,
                    },
                    price: 0.0,
                    load_at_most: None,
                }
            });
        let gateways = plan.zones.iter().enumerate().map(|(at, name)| {
            let own = self
                .demand
                .iter()
                .filter(|((zone, _), _)| usize::from(zone.0) == at);
            let named = |((_, operation), rate): (&(ZoneId, OperationId), &f64)| {
                Some((
                    plan.operations.get(usize::from(operation.0))?.name.clone(),
                    *rate,
                ))
            };
            Gateway {
                id: name.clone(),
                zone: name.clone(),
                demand: own.filter_map(named).collect(),
            }
        });
        let operations = plan.operations.iter().map(|operation| Operation {
            name: operation.name.clone(),
            billed_value: operation.billed_value,
            // Capacities are told in invocations.
            work: 1.0,
            holds: None,
            stays_in_zone: operation.stays_in_zone,
            least_share: 0.0,
        });
        Fleet {
            hosts: hosts.collect(),
            gateways: gateways.collect(),
            operations: operations.collect(),
            cross_zone_price: 0.0,
            connection_price: 0.0,
            crossing_seconds: 0.0,
            fill_at_most: FILL,
            cold_share: plan.rules.cold_start_share,
            steps: vec![(1.0, 0.0)],
            standing: BTreeMap::new(),
            change_price: 0.0,
        }
    }
}

/// Of a node's capacity, so much is counted on.
const FILL: f64 = 0.9;

/// Pools that a change would leave with no node, or with cold ones only, whether anything was measured or not.
pub fn emptied(
    now: Moment,
    before: &[EndpointEntry],
    after: &[EndpointEntry],
    plan: &Deployment,
    then: &Deployment,
) -> Vec<String> {
    let open = |nodes: &[EndpointEntry], zone: usize, stays: bool| -> (usize, usize) {
        let open = nodes
            .iter()
            .filter(|entry| entry.status == EndpointStatus::Ready);
        let open = open.filter(|entry| !stays || usize::from(entry.zone.0) == zone);
        open.fold((0, 0), |(all, warms), entry| {
            (
                all + 1,
                warms + usize::from(!plan.rules.is_cold(now, entry.started)),
            )
        })
    };
    let mut found = Vec::new();
    for operation in &then.operations {
        // What may go anywhere has one pool.
        let zones = if operation.stays_in_zone {
            plan.zones.len()
        } else {
            1
        };
        for zone in 0..zones {
            let (had, had_warm) = open(before, zone, operation.stays_in_zone);
            let (has, has_warm) = open(after, zone, operation.stays_in_zone);
            let place = match operation.stays_in_zone {
                true => format!(" in `{}`", plan.zones[zone]),
                false => String::new(),
            };
            let name = &operation.name;
            if had > 0 && has == 0 {
                found.push(format!("pool: no node would be left for `{name}`{place}"));
            } else if had_warm > 0 && has_warm == 0 {
                found.push(format!(
                    "cold: only {has} cold nodes would be left for `{name}`{place}"
                ));
            }
        }
    }
    found
}

/// What speaks against draining a node, each with its check's name before a colon; empty: nothing.
pub fn against_drain(
    now: Moment,
    node: NodeId,
    value_lost_at_most: f64,
    session: &ControllerCore,
) -> Vec<String> {
    let plan = session.plan();
    let before: Vec<EndpointEntry> = session.serving().collect();
    let Some(known) = before.iter().find(|entry| entry.node == node) else {
        return vec![format!("listed: {} is not listed", show(node))];
    };
    // What is on its way out already is not lost once more.
    if known.status != EndpointStatus::Ready {
        return Vec::new();
    }
    let gone = |entry: &EndpointEntry| match entry.node == node {
        true => EndpointEntry {
            status: EndpointStatus::Draining,
            ..entry.clone()
        },
        false => entry.clone(),
    };
    let after: Vec<EndpointEntry> = before.iter().map(gone).collect();
    let mut against = emptied(now, &before, &after, plan, plan);
    let measured = Known::of(now, session);
    if against.is_empty() && measured.enough() {
        let fleets =
            [&before, &after].map(|nodes| solve(&measured.fleet(now, nodes, plan), &mut || false));
        if let [Ok(before), Ok(after)] = fleets {
            let lost = 1.0 - after.value_per_s / before.value_per_s.max(f64::MIN_POSITIVE);
            if lost > value_lost_at_most {
                against.push(format!(
                    "capacity: {:.1}% of the value served would be lost ({:.2} a second now, {:.2} after), {:.1}% may be",
                    lost * 100.0,
                    before.value_per_s,
                    after.value_per_s,
                    value_lost_at_most * 100.0
                ));
            }
        }
    }
    against
}
