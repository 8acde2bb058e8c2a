//! Rule 4: no warming node receives more work than it can execute.

use super::verdict::RuleResult;
use crate::records::{Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// A warming node since its start, with time and work of recent requests.
struct WarmingNode {
    started: f64,
    capacity: f64,
    recent_work: Vec<(f64, f64)>,
}

/// Rule 4: the work that a warming node received, as a ratio of the work it could execute, in windows of
/// `cold_overload_span`. A node that failed from overload always violates the rule.
pub(super) fn judge_slow_start_overload(records: &Records, deployment: &Deployment) -> RuleResult {
    let mut judged = RuleResult::new(4);
    let rules = &deployment.rules;
    let (span, warm_after) = (
        rules.cold_overload_span.seconds(),
        rules.warm_after.seconds(),
    );
    let mut warming: BTreeMap<&str, WarmingNode> = BTreeMap::new();
    for (t, record) in &records.0 {
        match record {
            Record::NodeStarted {
                node,
                capacity,
                cold: true,
                ..
            } => {
                warming.insert(
                    node,
                    WarmingNode {
                        started: *t,
                        capacity: *capacity,
                        recent_work: Vec::new(),
                    },
                );
            }
            Record::RequestArrived { node, work, .. } => {
                let Some(WarmingNode {
                    started,
                    capacity,
                    recent_work,
                }) = warming.get_mut(node.as_str())
                else {
                    continue;
                };
                if t - *started > warm_after {
                    continue;
                }
                recent_work.push((*t, *work));
                recent_work.retain(|(at, _)| t - at <= span);
                let progress = (t - *started) / warm_after;
                let feasible_work = *capacity
                    * (rules.cold_start_share + (1.0 - rules.cold_start_share) * progress)
                    * span;
                let sum: f64 = recent_work.iter().map(|(_, work)| work).sum();
                let allowed =
                    rules.cold_overload_factor * crate::stand_in_server::WARMING_OVERLOAD_TOLERANCE;
                judged.check(sum / feasible_work, allowed, *t, || node.clone());
            }
            Record::NodeOverloaded { node } => {
                judged.check(f64::INFINITY, 0.0, *t, || format!("{node} fell over"));
            }
            _ => {}
        }
    }
    judged
}
