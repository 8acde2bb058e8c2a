//! Rule 2: no non-idempotent request takes effect twice because of a retry.

use super::verdict::RuleResult;
use crate::records::{Record, Records};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread_controller_core::deployment::{Deployment, RetryClass};

/// Rule 2: how often each non-idempotent request took effect. Also returns how many took effect more than once.
pub(super) fn judge_repeated_effects(
    records: &Records,
    deployment: &Deployment,
) -> (u64, RuleResult) {
    let mut judged = RuleResult::new(2);
    let mut effects: BTreeMap<&str, u64> = BTreeMap::new();
    let non_idempotent: BTreeSet<&str> = deployment
        .operations
        .iter()
        .filter(|operation| operation.retry_class != RetryClass::Idempotent)
        .map(|operation| operation.name.as_str())
        .collect();
    for (t, record) in &records.0 {
        let Record::RequestExecuted { id, operation, .. } = record else {
            continue;
        };
        if non_idempotent.contains(operation.as_str()) && !id.is_empty() {
            let count = effects.entry(id).or_insert(0);
            *count += 1;
            judged.check(*count as f64, 1.0, *t, || format!("{operation} {id}"));
        }
    }
    (
        effects.values().filter(|count| **count > 1).count() as u64,
        judged,
    )
}
