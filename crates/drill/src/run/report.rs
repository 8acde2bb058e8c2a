//! The report of a drill, as data and as a table for people.

use crate::audit::{RuleResult, Verdict};
use serde::Serialize;
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;

/// A fault of the drill.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// The fault kind, as named in scripts.
    pub kind: String,
    /// When the fault began, in seconds since the beginning of the script.
    pub at_s: f64,
    /// The duration of the fault in seconds.
    pub for_s: f64,
    /// Whether a drill can inject this kind.
    pub injected: bool,
}

/// The result of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the script.
    pub drill: String,
    /// The seed of the drill.
    pub seed: u64,
    /// The baseline policy that replaced the controllers, if any.
    pub baseline: Option<String>,
    /// The verdict on the rules.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The faults, ordered by begin.
    #[serde(rename = "troubles")]
    pub faults: Vec<FaultReport>,
    /// How many tables were published.
    pub table_swaps: u64,
    /// The CPU time of all controllers in seconds.
    #[serde(rename = "conductor_cpu_s")]
    pub controller_cpu_s: f64,
    /// Seconds from each drain order to the last attempt sent to the node, for each controller and node.
    pub drain_orders_s: Vec<f64>,
    /// How many configuration changes and undoes controllers answered, and how many they accepted.
    pub changes_told: (usize, usize),
}

/// The names of the rules in the table, ordered by number.
const RULE_NAMES: [&str; 5] = [
    "1 no gateway without a node (s)",
    "2 no effect twice (effects of one invocation)",
    "3 nothing sent to a node that leaves (s)",
    "4 no cold node pushed over (x its capacity)",
    "5 short channel (lines, messages)",
];

impl Report {
    /// The report as a table for people.
    pub fn table(&self) -> String {
        let mut lines = vec![self.title()];
        lines.extend(self.rule_lines());
        lines.extend(self.service_lines());
        lines.push(self.fault_line());
        lines.extend(self.drain_line());
        lines.extend(self.change_line());
        let cpu = Span::from_seconds(round_to_millis(self.controller_cpu_s));
        lines.push(format!("CPU of conductors: {}", span_format::write(cpu)));
        let held = self.verdict.all_rules_hold();
        let judgement = if held {
            "all rules held"
        } else {
            "A RULE WAS BROKEN"
        };
        lines.push(judgement.to_string());
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    fn title(&self) -> String {
        let even = if self.baseline.is_some() {
            ", even weights"
        } else {
            ""
        };
        format!("drill {} (seed {}){even}", self.drill, self.seed)
    }

    fn rule_lines(&self) -> Vec<String> {
        let head = format!(
            "{:<44}{:>10}{:>10}{:>10}{:>12}  at",
            "rule", "checked", "broken", "worst", "allowed"
        );
        let rules = self.verdict.rules.iter().zip(RULE_NAMES);
        let line = |(rule, name): (&RuleResult, &str)| {
            let worst = &rule.worst;
            format!(
                "{name:<44}{:>10}{:>10}{:>10.2}{:>12.2}  {:.1} s {}",
                rule.checked, rule.broken, worst.value, worst.allowed, worst.at_s, worst.who
            )
        };
        std::iter::once(head).chain(rules.map(line)).collect()
    }

    fn service_lines(&self) -> Vec<String> {
        let count = &self.verdict.invocations;
        let operations = self.verdict.service_by_operation.iter();
        let operations: Vec<String> = operations
            .map(|(name, service)| format!("{name} {service:.3}"))
            .collect();
        vec![
            format!(
                "invocations: {} offered, {} succeeded, {} late, {} rate-limited, {} errored",
                count.offered, count.succeeded, count.late, count.rate_limited, count.errored
            ),
            format!(
                "service: {:.3} ({})",
                self.verdict.service,
                operations.join(", ")
            ),
            format!(
                "effects twice: {}; tables half read: {}; repeats: {:.1}% of first tries; tables swapped: {}",
                self.verdict.effects_twice,
                self.verdict.half_read_tables,
                self.verdict.repeats * 100.0,
                self.table_swaps
            ),
        ]
    }

    fn fault_line(&self) -> String {
        let text = |fault: &FaultReport| {
            let missing = if fault.injected {
                ""
            } else {
                " (not injected)"
            };
            format!("{} {:.0} s{missing}", fault.kind, fault.at_s)
        };
        let faults: Vec<String> = self.faults.iter().map(text).collect();
        format!("troubles: {}", faults.join(", "))
    }

    fn drain_line(&self) -> Option<String> {
        let count = self.drain_orders_s.len();
        let middle = self.drain_orders_s.get(count / 2)?;
        let last = self.drain_orders_s.last()?;
        Some(format!(
            "drains by order: {count} by conductor and node, last try after {middle:.2} s in the middle, {last:.2} s at most"
        ))
    }

    fn change_line(&self) -> Option<String> {
        let (answered, accepted) = self.changes_told;
        (answered > 0).then(|| format!("changes and undoes told: {answered}, taken: {accepted}"))
    }
}

/// Rounds to three decimals, as all durations in the report.
pub(super) fn round_to_millis(seconds: f64) -> f64 {
    (seconds * 1000.0).round() / 1000.0
}

#[cfg(test)]
mod tests;
