//! The verdict on a drill: each rule's checks and breaches, and the service that clients got.

use serde::Serialize;
use std::collections::BTreeMap;

/// What the records say of one rule.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleResult {
    /// The rule's number, 1 to 5.
    pub rule: u8,
    /// How many things were looked at.
    pub checked: u64,
    /// How many of them were beyond what is allowed.
    pub broken: u64,
    /// The worst of them, broken or not, beside what is allowed.
    pub worst: CheckedValue,
}

/// One thing that a rule was checked on.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CheckedValue {
    /// What was measured, in the rule's own unit.
    pub value: f64,
    /// What the rule allows, in the same unit.
    pub allowed: f64,
    /// Seconds since the drill began.
    pub at_s: f64,
    /// Whom it concerns, as a person reads it.
    pub who: String,
}

/// How the clients' invocations ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Invocations {
    /// All that were counted.
    pub offered: u64,
    /// Answered within the latency objective.
    pub succeeded: u64,
    /// Rejected by the rate limit.
    pub rate_limited: u64,
    /// Failed, or given up.
    pub errored: u64,
    /// Answered after the latency objective.
    pub late: u64,
}

/// All that the audit says of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// One entry a rule, in the order of their numbers.
    pub rules: Vec<RuleResult>,
    /// How the clients' invocations ended.
    pub invocations: Invocations,
    /// Billed value within the latency objective over the value asked for.
    pub service: f64,
    /// The same for each operation.
    pub service_by_operation: BTreeMap<String, f64>,
    /// Invocations with more than one effect.
    pub effects_twice: u64,
    /// Documents that a reader could not read as a whole, and versions that name two things.
    pub half_read_tables: u64,
    /// Tries more than the first, over first tries.
    pub repeats: f64,
}

impl Verdict {
    /// Whether no rule was broken and no table was half read.
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
        // The nearest to what is allowed, or the furthest beyond it.
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
