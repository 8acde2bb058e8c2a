//! The verdict on a drill: checks and violations of each rule, and the service that clients received.

use serde::Serialize;
use std::collections::BTreeMap;

/// The result of one rule.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleResult {
    /// The number of the rule, 1 to 5.
    pub rule: u8,
    /// How many values were checked.
    pub checked: u64,
    /// How many values exceeded the limit.
    pub broken: u64,
    /// The value closest to its limit, or furthest beyond it.
    pub worst: CheckedValue,
}

/// One checked value of a rule.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CheckedValue {
    /// The measured value, in the unit of the rule.
    pub value: f64,
    /// The limit, in the same unit.
    pub allowed: f64,
    /// When it was measured, in seconds since the drill began.
    pub at_s: f64,
    /// The proxy, node or request concerned, as text for people.
    pub who: String,
}

/// Counts of the clients' invocations by outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Invocations {
    /// All invocations.
    pub offered: u64,
    /// Answered within the latency objective.
    pub succeeded: u64,
    /// Answered with 429.
    pub rate_limited: u64,
    /// Failed or timed out.
    pub errored: u64,
    /// Answered after the latency objective.
    pub late: u64,
}

/// The verdict of the audit on a drill.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The results of the rules, ordered by number.
    pub rules: Vec<RuleResult>,
    /// Counts of the clients' invocations by outcome.
    pub invocations: Invocations,
    /// Billed value earned as a ratio of the billed value requested. Late responses earn the operation's
    /// `late_share`.
    pub service: f64,
    /// The service of each operation.
    pub service_by_operation: BTreeMap<String, f64>,
    /// Non-idempotent requests that took effect more than once.
    pub effects_twice: u64,
    /// Tables that a reader could not read, plus versions that were used for different tables.
    pub half_read_tables: u64,
    /// Retries of proxies as a ratio of first attempts.
    pub repeats: f64,
}

impl Verdict {
    /// Whether no rule was violated and `half_read_tables` is 0.
    pub fn all_rules_hold(&self) -> bool {
        self.rules.iter().all(|rule| rule.broken == 0) && self.half_read_tables == 0
    }
}

impl RuleResult {
    pub(super) fn new(rule: u8) -> RuleResult {
        let worst = CheckedValue {
            value: f64::NEG_INFINITY,
            ..CheckedValue::default()
        };
        RuleResult {
            rule,
            worst,
            ..RuleResult::default()
        }
    }

    pub(super) fn check(
        &mut self,
        value: f64,
        allowed: f64,
        at: f64,
        who: impl FnOnce() -> String,
    ) {
        self.checked += 1;
        self.broken += u64::from(value > allowed);
        // Keeps the value closest to its limit, or furthest beyond it.
        if value - allowed > self.worst.value - self.worst.allowed
            || self.worst.value == f64::NEG_INFINITY
        {
            self.worst = CheckedValue {
                value,
                allowed,
                at_s: at,
                who: who(),
            };
        }
    }

    pub(super) fn finish(mut self) -> RuleResult {
        if self.worst.value == f64::NEG_INFINITY {
            self.worst.value = 0.0;
        }
        self
    }
}
