//! Rule 1: no joined proxy is without a node for longer than allowed.

use super::joined::Joined;
use super::verdict::RuleJudged;
use crate::records::{Lines, Listed, Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// Rule 1: how long a joined proxy lacked a line for an operation while its controller's list showed an
/// open node ready that was no longer cold.
pub(super) fn judge_time_without_node(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(1);
    let allowed = plan.rules.without_node_at_most.seconds();
    let warm = plan.rules.warm_after.seconds();
    let mut joined = Joined::default();
    let mut lists: BTreeMap<usize, BTreeMap<String, Listed>> = BTreeMap::new();
    let mut tables: BTreeMap<usize, Lines> = BTreeMap::new();
    let mut lacking: BTreeMap<(usize, String), f64> = BTreeMap::new();
    let mut zones: BTreeMap<usize, usize> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        match record {
            Record::Listed {
                controller, nodes, ..
            } => drop(lists.insert(*controller, nodes.clone())),
            Record::Tables { proxy, lines, .. } => drop(tables.insert(*proxy, lines.clone())),
            Record::Died { proxy } => drop(tables.remove(proxy)),
            Record::Came { proxy, .. } => drop(zones.entry(*proxy).or_insert(0)),
            Record::Joined { .. } | Record::Left { .. } | Record::Swapped { .. } => {}
            _ => continue,
        }
        for (proxy, (controller, _)) in &joined.0 {
            for operation in &plan.operations {
                let has = tables
                    .get(proxy)
                    .and_then(|lines| lines.get(&operation.name));
                let has = has.is_some_and(|lines| lines.iter().any(|(_, weight)| *weight > 0.0));
                let zone = proxy % plan.zones.len();
                let open = |listed: &Listed| {
                    !listed.draining
                        && t - listed.started >= warm
                        && (!operation.stays_in_zone || listed.zone == zone)
                };
                let could = lists
                    .get(controller)
                    .is_some_and(|list| list.values().any(open));
                let key = (*proxy, operation.name.clone());
                match lacking.get(&key) {
                    None if !has && could => drop(lacking.insert(key, *t)),
                    Some(since) if has || !could => {
                        judged.check(t - since, allowed, *since, || {
                            format!("gateway {proxy}, {}", operation.name)
                        });
                        lacking.remove(&key);
                    }
                    _ => {}
                }
            }
        }
        // Who left or died is not looked at until it joins again.
        lacking.retain(|(proxy, _), _| joined.0.contains_key(proxy));
    }
    let end = records.0.last().map_or(0.0, |(t, _)| *t);
    for ((proxy, operation), since) in lacking {
        judged.check(end - since, allowed, since, || {
            format!("gateway {proxy}, {operation}, to the end")
        });
    }
    judged.checked = judged
        .checked
        .max((zones.len() * plan.operations.len()) as u64);
    judged
}
