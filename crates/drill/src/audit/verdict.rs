//! The verdict on a drill: each rule's checks and breaches, and the service that clients got.

use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, Serialize)]
pub struct RuleJudged {
    pub rule: u8,
    /// How many things were looked at.
    pub checked: u64,
    pub broken: u64,
    /// The worst of them, broken or not, beside what is allowed.
    pub worst: Judged,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Judged {
    pub value: f64,
    pub allowed: f64,
    pub at_s: f64,
    pub who: String,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Invocations {
    pub offered: u64,
    pub succeeded: u64,
    pub rate_limited: u64,
    pub errored: u64,
    pub late: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rules: Vec<RuleJudged>,
    pub invocations: Invocations,
    /// Billed value within the latency objective over the value asked for.
    pub service: f64,
    pub service_by_operation: BTreeMap<String, f64>,
    pub effects_twice: u64,
    pub half_read_tables: u64,
    /// Tries more than the first, over first tries.
    pub repeats: f64,
}

impl Verdict {
    pub fn all_rules_hold(&self) -> bool {
        self.rules.iter().all(|rule| rule.broken == 0) && self.half_read_tables == 0
    }
}

impl RuleJudged {
    pub(super) fn new(rule: u8) -> RuleJudged {
        let worst = Judged {
            value: f64::NEG_INFINITY,
            ..Judged::default()
        };
        RuleJudged {
            rule,
            worst,
            ..RuleJudged::default()
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
            self.worst = Judged {
                value,
                allowed,
                at_s: at,
                who: who(),
            };
        }
    }

    pub(super) fn finish(mut self) -> RuleJudged {
        if self.worst.value == f64::NEG_INFINITY {
            self.worst.value = 0.0;
        }
        self
    }
}
