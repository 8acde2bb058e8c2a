//! Rule 5: few queued entries over a controller's proxies, few messages to one proxy in the window.

use super::joined::Joined;
use super::verdict::RuleJudged;
use crate::records::{Lines, Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// Rule 5: entries that were swapped in and not taken yet, over all proxies of a controller, and messages to
/// one proxy in the window.
pub(super) fn judge_update_queue(records: &Records, plan: &Deployment) -> RuleJudged {
    let mut judged = RuleJudged::new(5);
    let channel = &plan.update_queue;
    let most_messages = f64::from(channel.max_messages);
    let window = channel.messages_window.seconds();
    let mut joined = Joined::default();
    let mut queue = UpdateQueue::default();
    let mut messages: BTreeMap<Link, Vec<f64>> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        queue.follow(record);
        let Record::Swapped {
            controller,
            proxy,
            version,
            lines,
            ..
        } = record
        else {
            continue;
        };
        // Others still swap files in for it, which it does not read.
        if joined.0.get(proxy).is_none_or(|(to, _)| to != controller) {
            continue;
        }
        let link = (*controller, *proxy);
        queue.swapped(link, *version, lines, channel.message_overhead_entries);
        let queued = queue.queued_at(*controller);
        judged.check(queued, channel.max_queued_entries, *t, || {
            format!("lines at conductor {controller}")
        });
        if most_messages > 0.0 {
            let times = messages.entry(link).or_default();
            times.push(*t);
            times.retain(|at| t - at < window);
            let who = || format!("messages of conductor {controller} to gateway {proxy}");
            judged.check(times.len() as f64, most_messages, *t, who);
        }
    }
    judged
}

/// A controller and a proxy, by their numbers.
type Link = (usize, usize);

/// Tables that a proxy has taken.
struct TakenTables {
    version: u64,
    lines: Lines,
}

/// Tables that were swapped in and not taken yet.
struct QueuedTables {
    version: u64,
    /// Entries that differ from what the proxy has, heads included.
    entries: f64,
}

/// What each controller has published that its proxies have not taken yet.
#[derive(Default)]
struct UpdateQueue {
    taken: BTreeMap<Link, TakenTables>,
    queued: BTreeMap<Link, QueuedTables>,
}

impl UpdateQueue {
    fn follow(&mut self, record: &Record) {
        match record {
            Record::Tables {
                proxy,
                controller,
                version,
                lines,
                ..
            } => {
                let (link, version) = ((*controller, *proxy), *version);
                let lines = lines.clone();
                self.taken.insert(link, TakenTables { version, lines });
                let queued = self.queued.get(&link);
                if queued.is_some_and(|queued| queued.version <= version) {
                    self.queued.remove(&link);
                }
            }
            // A controller that died has no channel; a proxy that died takes nothing.
            Record::Died { proxy } | Record::Left { proxy } => {
                self.queued.retain(|link, _| link.1 != *proxy);
            }
            _ => {}
        }
    }

    /// Takes note of a swap, unless the proxy has this version or a later one already.
    fn swapped(&mut self, link: Link, version: u64, lines: &Lines, head_entries: f64) {
        let taken = self.taken.get(&link);
        if taken.is_some_and(|taken| taken.version >= version) {
            return;
        }
        let entries = lines_apart(taken.map(|taken| &taken.lines), lines) + head_entries;
        self.queued.insert(link, QueuedTables { version, entries });
    }

    fn queued_at(&self, controller: usize) -> f64 {
        let queued = self.queued.iter().filter(|(link, _)| link.0 == controller);
        queued.map(|(_, queued)| queued.entries).sum()
    }
}

/// How many entries differ between two tables.
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
