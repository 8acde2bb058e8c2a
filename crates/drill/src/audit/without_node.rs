//! Rule 1: no joined proxy lacks a node for longer than the limit.

use super::joined::JoinedControllers;
use super::verdict::RuleResult;
use crate::records::{EntriesByOperation, ListedNodeState, Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// Rule 1: how long a joined proxy had no entry with a positive weight for an operation, while its controller's
/// list contained a ready node for it: not draining and no longer warming.
pub(super) fn judge_time_without_node(records: &Records, deployment: &Deployment) -> RuleResult {
    let mut judged = RuleResult::new(1);
    let allowed = deployment.rules.without_node_at_most.seconds();
    let warm_after = deployment.rules.warm_after.seconds();
    let mut joined = JoinedControllers::default();
    let mut lists: BTreeMap<usize, BTreeMap<String, ListedNodeState>> = BTreeMap::new();
    let mut tables: BTreeMap<usize, EntriesByOperation> = BTreeMap::new();
    let mut no_node_since: BTreeMap<(usize, String), f64> = BTreeMap::new();
    let mut zones: BTreeMap<usize, usize> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.update(*t, record);
        match record {
            Record::ListPublished {
                controller, nodes, ..
            } => drop(lists.insert(*controller, nodes.clone())),
            Record::Tables { proxy, entries, .. } => drop(tables.insert(*proxy, entries.clone())),
            Record::ProxyKilled { proxy } => drop(tables.remove(proxy)),
            Record::RequestArrived { proxy, .. } => drop(zones.entry(*proxy).or_insert(0)),
            Record::Joined { .. } | Record::Left { .. } | Record::TablesSwapped { .. } => {}
            _ => continue,
        }
        for (proxy, (controller, _)) in &joined.0 {
            for operation in &deployment.operations {
                let has_entry = tables
                    .get(proxy)
                    .and_then(|entries| entries.get(&operation.name));
                let has_entry = has_entry
                    .is_some_and(|entries| entries.iter().any(|(_, weight)| *weight > 0.0));
                let zone = proxy % deployment.zones.len();
                let is_available = |listed: &ListedNodeState| {
                    !listed.draining
                        && t - listed.started >= warm_after
                        && (!operation.stays_in_zone || listed.zone == zone)
                };
                let node_available = lists
                    .get(controller)
                    .is_some_and(|list| list.values().any(is_available));
                let key = (*proxy, operation.name.clone());
                match no_node_since.get(&key) {
                    None if !has_entry && node_available => drop(no_node_since.insert(key, *t)),
                    Some(since) if has_entry || !node_available => {
                        judged.check(t - since, allowed, *since, || {
                            format!("gateway {proxy}, {}", operation.name)
                        });
                        no_node_since.remove(&key);
                    }
                    _ => {}
                }
            }
        }
        // Proxies that have left or were killed are not checked until they join again.
        no_node_since.retain(|(proxy, _), _| joined.0.contains_key(proxy));
    }
    let end = records.0.last().map_or(0.0, |(t, _)| *t);
    for ((proxy, operation), since) in no_node_since {
        judged.check(end - since, allowed, since, || {
            format!("gateway {proxy}, {operation}, to the end")
        });
    }
    judged.checked = judged
        .checked
        .max((zones.len() * deployment.operations.len()) as u64);
    judged
}
