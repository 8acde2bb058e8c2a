//! Rule 5: few queued entries over a controller's proxies, few messages to one proxy in the window.

use super::joined::Joined;
use super::verdict::RuleJudged;
use crate::records::{Lines, Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// Rule 5: lines that were swapped in and not taken yet, over all proxies of a controller, and messages to
/// one proxy in the window.
pub(super) fn judge_update_queue(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(5);
    let channel = &plan.channel;
    let (cap, window) = (
        f64::from(channel.messages_at_most),
        channel.messages_window.seconds(),
    );
    let mut joined = Joined::default();
    let mut holds: BTreeMap<(usize, usize), (u64, Lines)> = BTreeMap::new();
    let mut waiting: BTreeMap<(usize, usize), (u64, f64)> = BTreeMap::new();
    let mut messages: BTreeMap<(usize, usize), Vec<f64>> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        match record {
            Record::Tables {
                proxy,
                controller,
                version,
                lines,
                ..
            } => {
                holds.insert((*controller, *proxy), (*version, lines.clone()));
                if waiting
                    .get(&(*controller, *proxy))
                    .is_some_and(|waits| waits.0 <= *version)
                {
                    waiting.remove(&(*controller, *proxy));
                }
            }
            // A controller that died has no channel; a proxy that died takes nothing.
            Record::Died { proxy } | Record::Left { proxy } => {
                waiting.retain(|key, _| key.1 != *proxy);
            }
            // Others still swap files in for it, which it does not read.
            Record::Swapped {
                controller, proxy, ..
            } if joined.0.get(proxy).is_none_or(|(to, _)| to != controller) => {}
            Record::Swapped {
                controller,
                proxy,
                version,
                lines,
                ..
            } => {
                let key = (*controller, *proxy);
                let held = holds.get(&key).filter(|held| held.0 < *version);
                if held.is_some() || !holds.contains_key(&key) {
                    let apart = lines_apart(held.map(|held| &held.1), lines) + channel.head_lines;
                    waiting.insert(key, (*version, apart));
                }
                let sum: f64 = waiting
                    .iter()
                    .filter(|(key, _)| key.0 == *controller)
                    .map(|(_, w)| w.1)
                    .sum();
                judged.check(sum, channel.lines_waiting_at_most, *t, || {
                    format!("lines at conductor {controller}")
                });
                if cap > 0.0 {
                    let times = messages.entry(key).or_default();
                    times.push(*t);
                    times.retain(|at| t - at < window);
                    let who = || format!("messages of conductor {controller} to gateway {proxy}");
                    judged.check(times.len() as f64, cap, *t, who);
                }
            }
            _ => {}
        }
    }
    judged
}

fn lines_apart(from: Option<&Lines>, to: &Lines) -> f64 {
    let mut apart = 0;
    for (operation, lines) in to {
        let before: BTreeMap<&str, f64> = from
            .and_then(|from| from.get(operation))
            .into_iter()
            .flatten()
            .map(|(node, weight)| (node.as_str(), *weight))
            .collect();
        let after: BTreeMap<&str, f64> = lines
            .iter()
            .map(|(node, weight)| (node.as_str(), *weight))
            .collect();
        apart += after
            .iter()
            .filter(|(node, weight)| before.get(*node) != Some(weight))
            .count();
        apart += before
            .keys()
            .filter(|node| !after.contains_key(*node))
            .count();
    }
    apart as f64
}
