//! Rule 3: nothing is sent to a node that drains or was removed; and the durations of drains by order.

use super::joined::JoinedControllers;
use super::verdict::RuleResult;
use super::SlowedPeriod;
use crate::records::{ListedNodeState, Record, Records};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread_controller_core::deployment::Deployment;

/// Rule 3: the time from when a controller learns that a node drains or was removed to each later attempt that
/// its joined proxies send to the node.
pub(super) fn judge_sends_to_drained_nodes(
    records: &Records,
    deployment: &Deployment,
    slowed_periods: &[SlowedPeriod],
) -> RuleResult {
    let mut judged = RuleResult::new(3);
    let grace = deployment.rules.drain_grace.seconds();
    let mut joined = JoinedControllers::default();
    let mut unavailable = UnavailableNodes::default();
    for (t, record) in &records.0 {
        joined.update(*t, record);
        unavailable.update(*t, record);
        let Record::AttemptSent { proxy, node, .. } = record else {
            continue;
        };
        let Some((controller, since)) = joined.0.get(proxy) else {
            continue;
        };
        let Some(known_since) = unavailable.known_since(*controller, node) else {
            judged.checked += 1;
            continue;
        };
        let from = known_since.max(*since);
        let overlapping = slowed_periods
            .iter()
            .filter(|period| from <= period.to && *t >= period.from);
        let factor = overlapping.map(|period| period.factor).fold(1.0, f64::max);
        judged.check(t - from, grace * factor, *t, || {
            format!("gateway {proxy} to {node}")
        });
    }
    judged
}

/// Since when each controller knows that a node must not be used.
#[derive(Default)]
struct UnavailableNodes {
    /// From the endpoint list, by controller and node: the node drains or was removed.
    by_list: BTreeMap<(usize, String), f64>,
    /// From operators' orders, by controller and node.
    by_order: BTreeMap<(usize, String), f64>,
    /// All nodes that a controller's list ever contained.
    listed: BTreeMap<usize, BTreeSet<String>>,
}

impl UnavailableNodes {
    fn update(&mut self, t: f64, record: &Record) {
        match record {
            // Orders survive the kill of a controller.
            Record::DrainOrdered {
                controller,
                node,
                drains,
                ..
            } => {
                let key = (*controller, node.clone());
                match drains {
                    true => drop(self.by_order.entry(key).or_insert(t)),
                    false => drop(self.by_order.remove(&key)),
                }
            }
            Record::ListPublished {
                controller, nodes, ..
            } => self.update_list(t, *controller, nodes),
            _ => {}
        }
    }

    fn update_list(
        &mut self,
        t: f64,
        controller: usize,
        nodes: &BTreeMap<String, ListedNodeState>,
    ) {
        let known = self.listed.entry(controller).or_default();
        known.extend(nodes.keys().cloned());
        for node in known.iter() {
            let key = (controller, node.clone());
            match nodes.get(node).is_some_and(|listed| !listed.draining) {
                true => drop(self.by_list.remove(&key)),
                false => drop(self.by_list.entry(key).or_insert(t)),
            }
        }
    }

    fn known_since(&self, controller: usize, node: &str) -> Option<f64> {
        let key = (controller, node.to_string());
        let known_since = [self.by_list.get(&key), self.by_order.get(&key)];
        known_since.into_iter().flatten().copied().reduce(f64::min)
    }
}

/// Seconds from each drain order to the last attempt that a proxy joined to the ordered controller sent to the
/// node, one value for each order, controller and node, in ascending order; 0 if no attempt followed.
pub fn drain_order_durations(records: &Records) -> Vec<f64> {
    // A span starts when the order was given, not when it was answered: attempts between the two count.
    let mut spans: BTreeMap<(usize, String), Vec<(f64, f64)>> = BTreeMap::new();
    for (t, record) in &records.0 {
        let Record::DrainOrdered {
            controller,
            node,
            drains,
            ordered_at,
        } = record
        else {
            continue;
        };
        let spans = spans.entry((*controller, node.clone())).or_default();
        match (drains, spans.last_mut()) {
            // A repeated order does not start a new span.
            (true, Some((_, end))) if end.is_infinite() => {}
            (true, _) => spans.push((*ordered_at, f64::INFINITY)),
            (false, Some(last)) => last.1 = last.1.min(*t),
            (false, None) => {}
        }
    }
    let mut joined = JoinedControllers::default();
    let mut last: BTreeMap<(usize, String, usize), f64> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.update(*t, record);
        let Record::AttemptSent { proxy, node, .. } = record else {
            continue;
        };
        let Some((controller, _)) = joined.0.get(proxy) else {
            continue;
        };
        let key = (*controller, node.clone());
        let within = |span: &(f64, f64)| *t >= span.0 && *t < span.1;
        if let Some(number) = spans
            .get(&key)
            .and_then(|spans| spans.iter().position(within))
        {
            last.insert((key.0, key.1.clone(), number), t - spans[&key][number].0);
        }
    }
    let orders = spans
        .iter()
        .flat_map(|(key, spans)| (0..spans.len()).map(|n| (key.0, key.1.clone(), n)));
    let mut durations: Vec<f64> = orders
        .map(|key| last.get(&key).copied().unwrap_or(0.0))
        .collect();
    durations.sort_by(f64::total_cmp);
    durations
}
