//! Rule 5: limits on the queued entries of a controller and on the messages to one proxy in a window.

use super::joined::JoinedControllers;
use super::verdict::RuleResult;
use crate::records::{EntriesByOperation, Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// Rule 5: the queued entries (published and not yet applied) over all proxies of a controller, and the messages
/// to one proxy in the window.
pub(super) fn judge_update_queue(records: &Records, deployment: &Deployment) -> RuleResult {
    let mut judged = RuleResult::new(5);
    let channel = &deployment.update_queue;
    let max_messages = f64::from(channel.max_messages);
    let window = channel.messages_window.seconds();
    let mut joined = JoinedControllers::default();
    let mut queue = UpdateQueue::default();
    let mut messages: BTreeMap<ControllerProxy, Vec<f64>> = BTreeMap::new();
    for (t, record) in &records.0 {
        joined.update(*t, record);
        queue.update(record);
        let Record::TablesSwapped {
            controller,
            proxy,
            version,
            entries,
            ..
        } = record
        else {
            continue;
        };
        // Other controllers still publish files for the proxy, which it does not read.
        if joined.0.get(proxy).is_none_or(|(to, _)| to != controller) {
            continue;
        }
        let key = (*controller, *proxy);
        queue.add_swap(key, *version, entries, channel.message_overhead_entries);
        let queued = queue.queued_at(*controller);
        judged.check(queued, channel.max_queued_entries, *t, || {
            format!("lines at conductor {controller}")
        });
        if max_messages > 0.0 {
            let times = messages.entry(key).or_default();
            times.push(*t);
            times.retain(|at| t - at < window);
            let who = || format!("messages of conductor {controller} to gateway {proxy}");
            judged.check(times.len() as f64, max_messages, *t, who);
        }
    }
    judged
}

/// The numbers of a controller and a proxy.
type ControllerProxy = (usize, usize);

/// Tables that a proxy has applied.
struct TakenTables {
    version: u64,
    entries: EntriesByOperation,
}

/// Tables that were published and not yet applied.
struct QueuedTables {
    version: u64,
    /// Entries that differ from the applied tables, plus the overhead per message.
    queued_entries: f64,
}

/// The tables that proxies have applied, and those that are published and not yet applied.
#[derive(Default)]
struct UpdateQueue {
    taken: BTreeMap<ControllerProxy, TakenTables>,
    queued: BTreeMap<ControllerProxy, QueuedTables>,
}

impl UpdateQueue {
    fn update(&mut self, record: &Record) {
        match record {
            Record::Tables {
                proxy,
                controller,
                version,
                entries,
                ..
            } => {
                let (key, version) = ((*controller, *proxy), *version);
                let entries = entries.clone();
                self.taken.insert(key, TakenTables { version, entries });
                let queued = self.queued.get(&key);
                if queued.is_some_and(|queued| queued.version <= version) {
                    self.queued.remove(&key);
                }
            }
            // A proxy that was killed, or has left its controller, applies nothing more.
            Record::ProxyKilled { proxy } | Record::Left { proxy } => {
                self.queued.retain(|key, _| key.1 != *proxy);
            }
            _ => {}
        }
    }

    /// Adds published tables to the queue, unless the proxy has already applied this version or a later one.
    fn add_swap(
        &mut self,
        key: ControllerProxy,
        version: u64,
        entries: &EntriesByOperation,
        head_entries: f64,
    ) {
        let taken = self.taken.get(&key);
        if taken.is_some_and(|taken| taken.version >= version) {
            return;
        }
        let queued_entries =
            count_differing_entries(taken.map(|taken| &taken.entries), entries) + head_entries;
        self.queued.insert(
            key,
            QueuedTables {
                version,
                queued_entries,
            },
        );
    }

    fn queued_at(&self, controller: usize) -> f64 {
        let queued = self.queued.iter().filter(|(key, _)| key.0 == controller);
        queued.map(|(_, queued)| queued.queued_entries).sum()
    }
}

/// How many entries differ between two sets of tables.
fn count_differing_entries(from: Option<&EntriesByOperation>, to: &EntriesByOperation) -> f64 {
    let mut differing = 0;
    for (operation, entries) in to {
        let before: BTreeMap<&str, f64> = from
            .and_then(|from| from.get(operation))
            .into_iter()
            .flatten()
            .map(|(node, weight)| (node.as_str(), *weight))
            .collect();
        let after: BTreeMap<&str, f64> = entries
            .iter()
            .map(|(node, weight)| (node.as_str(), *weight))
            .collect();
        differing += after
            .iter()
            .filter(|(node, weight)| before.get(*node) != Some(weight))
            .count();
        differing += before
            .keys()
            .filter(|node| !after.contains_key(*node))
            .count();
    }
    differing as f64
}
