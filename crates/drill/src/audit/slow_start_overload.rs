//! Rule 4: no node that warms up gets more work than it can do.

use super::verdict::RuleJudged;
use crate::records::{Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// A node since its start, with what came to it lately.
struct WarmingNode {
    started: f64,
    capacity: f64,
    came: Vec<(f64, f64)>,
}

/// Rule 4: what came to a cold node over what it could do, at most, in any window of the stated span.
pub(super) fn judge_slow_start_overload(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(4);
    let rules = &plan.rules;
    let (span, warm) = (
        rules.cold_overload_span.seconds(),
        rules.warm_after.seconds(),
    );
    let mut cold: BTreeMap<&str, WarmingNode> = BTreeMap::new();
    for (t, record) in &records.0 {
        match record {
            Record::Started {
                node,
                capacity,
                cold: true,
                ..
            } => {
                cold.insert(
                    node,
                    WarmingNode {
                        started: *t,
                        capacity: *capacity,
                        came: Vec::new(),
                    },
                );
            }
            Record::Came { node, work, .. } => {
                let Some(WarmingNode {
                    started,
                    capacity,
                    came,
                }) = cold.get_mut(node.as_str())
                else {
                    continue;
                };
                if t - *started > warm {
                    continue;
                }
                came.push((*t, *work));
                came.retain(|(at, _)| t - at <= span);
                let risen = (t - *started) / warm;
                let able = *capacity
                    * (rules.cold_start_share + (1.0 - rules.cold_start_share) * risen)
                    * span;
                let sum: f64 = came.iter().map(|(_, work)| work).sum();
                let allowed = rules.cold_overload_factor * crate::stand_in_server::SLACK;
                judged.check(sum / able, allowed, *t, || node.clone());
            }
            Record::Fell { node } => {
                judged.check(f64::INFINITY, 0.0, *t, || format!("{node} fell over"));
            }
            _ => {}
        }
    }
    judged
}
