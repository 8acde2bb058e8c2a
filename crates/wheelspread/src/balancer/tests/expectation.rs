//! Checks of the `expect` lines of scenarios.

use super::stage::{node, number, proxy, table, zone, ScenarioRunner};
use crate::ids::{NodeId, ProxyId};
use crate::shares::shares;

fn is_within(value: f64, range: &str) -> bool {
    let (low, high) = range.split_once("..").unwrap_or((range, range));
    value >= number(low) - 1e-6 && value <= number(high) + 1e-6
}

impl ScenarioRunner {
    /// Whether an expectation holds.
    pub fn expectation_holds(&self, words: &[&str]) -> bool {
        match words {
            [t, name, "absent"] => self.share(t, name).is_none(),
            [t, name, "present"] => self.share(t, name).is_some(),
            ["bound", p, t] => self.bound.contains(&(proxy(p), table(t))),
            ["unbound", p] => !self.bound.iter().any(|(bound, _)| *bound == proxy(p)),
            ["admission", t, o, range] => {
                let policy = self.admission.get(&(table(t).0, number(o) as u8));
                is_within(policy.map_or(1.0, |policy| policy.0), range)
            }
            ["retry", t, o, expected] => {
                let policy = self.admission.get(&(table(t).0, number(o) as u8));
                format!("{:?}", policy.map(|policy| policy.1)) == format!("Some({expected})")
            }
            ["cut", t, range] => self.balancer.as_ref().is_some_and(|balancer| {
                let cut = balancer.admission.cut();
                cut.is_some_and(|cut| cut.table == table(t) && is_within(cut.admitted_ratio, range))
            }),
            ["no", "cut"] => self
                .balancer
                .as_ref()
                .is_some_and(|balancer| balancer.admission.cut().is_none()),
            ["messages", p, "within", span, range] => {
                let max_count = self.max_messages(proxy(p), number(span));
                is_within(max_count as f64, range)
            }
            ["changes", "since", time, range] => {
                let changed = self.changed.iter();
                let count = changed.filter(|change| change.0 >= number(time)).count();
                is_within(count as f64, range)
            }
            ["subsets", z, count] => self.used_tables(z) as f64 == number(count),
            ["disjoint", t, u] => {
                let shared = |name: &&NodeId| self.tables[&table(u)].contains_key(name);
                self.tables[&table(t)].keys().filter(shared).count() <= 1 // the node at the border of two ranges
            }
            ["removed", name] => self.is_removed(node(name)),
            ["error", rest @ ..] => self.error.contains(&rest.join(" ")),
            ["no", "error"] => self.error.is_empty(),
            [t, name, range] => is_within(self.share(t, name).unwrap_or(0.0), range),
            other => panic!("unknown expectation {other:?}"),
        }
    }

    fn share(&self, id: &str, name: &str) -> Option<f64> {
        let entries = self.tables.get(&table(id)).cloned().unwrap_or_default();
        shares(&entries).get(&node(name)).copied()
    }

    /// Maximum number of messages to a proxy within any interval of `span` seconds.
    fn max_messages(&self, id: ProxyId, span: f64) -> usize {
        let proxy_messages = self.messages.iter().filter(|message| message.1 == id);
        let times: Vec<f64> = proxy_messages.map(|message| message.0).collect();
        let count_from = |from: &f64| {
            let later = times.iter().filter(|time| *time >= from);
            later.filter(|time| **time - from < span).count()
        };
        times.iter().map(count_from).max().unwrap_or(0)
    }

    fn used_tables(&self, in_zone: &str) -> usize {
        let tables = self
            .balancer
            .iter()
            .flat_map(|balancer| balancer.fleet.tables.values());
        tables
            .filter(|table| table.zone() == zone(in_zone) && !table.entries().is_empty())
            .count()
    }

    fn is_removed(&self, id: NodeId) -> bool {
        self.balancer.as_ref().is_some_and(|balancer| {
            let fleet = &balancer.fleet;
            !fleet.nodes.contains(&id) && !fleet.outliers.paths().any(|(key, _)| key.0 == id)
        })
    }
}
