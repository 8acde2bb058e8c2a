//! The report of a drill, as data and as a person reads it.

use crate::audit::Verdict;
use serde::Serialize;
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;

/// A fault as it was played.
#[derive(Clone, Debug, Serialize)]
pub struct FaultReport {
    /// The kind as scripts spell it.
    pub kind: String,
    /// Seconds since the script's beginning.
    pub at_s: f64,
    /// How long it lasted.
    pub for_s: f64,
    /// Whether it could be injected here.
    pub injected: bool,
}

/// The result of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The script's name.
    pub drill: String,
    /// The seed that was played.
    pub seed: u64,
    /// The plain policy that stood in for controllers, if any.
    pub baseline: Option<String>,
    /// The judgement of the rules.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The faults in the order of their beginning.
    #[serde(rename = "troubles")]
    pub faults: Vec<FaultReport>,
    /// Tables that were published.
    pub table_swaps: u64,
    /// CPU seconds of all controllers.
    #[serde(rename = "conductor_cpu_s")]
    pub controller_cpu_s: f64,
    /// From orders to drain to the last try there, by controller and node.
    pub drain_orders_s: Vec<f64>,
    /// Changes and undoes that were told to controllers, and how many took them.
    pub changes_told: (usize, usize),
}

impl Report {
    /// As a person reads it.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let mut line = |text: String| {
            out.push_str(&text);
            out.push('\n');
        };
        line(format!(
            "drill {} (seed {}){}",
            self.drill,
            self.seed,
            if self.baseline.is_some() {
                ", even weights"
            } else {
                ""
            }
        ));
        line(format!(
            "{:<44}{:>10}{:>10}{:>10}{:>12}  at",
            "rule", "checked", "broken", "worst", "allowed"
        ));
        let names = [
            "1 no gateway without a node (s)",
            "2 no effect twice (effects of one invocation)",
            "3 nothing sent to a node that leaves (s)",
            "4 no cold node pushed over (x its capacity)",
            "5 short channel (lines, messages)",
        ];
        for (rule, name) in self.verdict.rules.iter().zip(names) {
            let worst = &rule.worst;
            line(format!(
                "{name:<44}{:>10}{:>10}{:>10.2}{:>12.2}  {:.1} s {}",
                rule.checked, rule.broken, worst.value, worst.allowed, worst.at_s, worst.who
            ));
        }
        let count = &self.verdict.invocations;
        line(format!(
            "invocations: {} offered, {} succeeded, {} late, {} rate-limited, {} errored",
            count.offered, count.succeeded, count.late, count.rate_limited, count.errored
        ));
        let each: Vec<String> = self
            .verdict
            .service_by_operation
            .iter()
            .map(|(name, part)| format!("{name} {part:.3}"))
            .collect();
        line(format!(
            "service: {:.3} ({})",
            self.verdict.service,
            each.join(", ")
        ));
        line(format!(
            "effects twice: {}; tables half read: {}; repeats: {:.1}% of first tries; tables swapped: {}",
            self.verdict.effects_twice,
            self.verdict.half_read_tables,
            self.verdict.repeats * 100.0,
            self.table_swaps
        ));
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|told| {
                format!(
                    "{} {:.0} s{}",
                    told.kind,
                    told.at_s,
                    if told.injected { "" } else { " (not injected)" }
                )
            })
            .collect();
        line(format!("troubles: {}", faults.join(", ")));
        let seconds = |span: f64| span_format::write(Span::from_seconds(span));
        if let (Some(middle), Some(last)) = (
            self.drain_orders_s.get(self.drain_orders_s.len() / 2),
            self.drain_orders_s.last(),
        ) {
            line(format!(
                "drains by order: {} by conductor and node, last try after {middle:.2} s in the middle, {last:.2} s at most",
                self.drain_orders_s.len()
            ));
        }
        if self.changes_told.0 > 0 {
            let (told, took) = self.changes_told;
            line(format!("changes and undoes told: {told}, taken: {took}"));
        }
        line(format!(
            "CPU of conductors: {}",
            seconds((self.controller_cpu_s * 1000.0).round() / 1000.0)
        ));
        line(
            (if self.verdict.all_rules_hold() {
                "all rules held"
            } else {
                "A RULE WAS BROKEN"
            })
            .to_string(),
        );
        out
    }
}

#[cfg(test)]
mod tests;
