//! The five rules, judged by the records alone; one module a rule.

mod drained_node;
mod joined;
mod repeated_effects;
mod service;
mod slow_start_overload;
mod update_queue;
mod verdict;
mod without_node;

pub use self::drained_node::drain_order_durations;
use self::drained_node::judge_sends_to_drained_nodes;
use self::joined::JoinedControllers;
use self::repeated_effects::judge_repeated_effects;
use self::service::compute_service;
use self::slow_start_overload::judge_slow_start_overload;
use self::update_queue::judge_update_queue;
pub use self::verdict::{CheckedValue, RuleResult, Verdict};
use self::without_node::judge_time_without_node;
use crate::records::{Record, Records};
use crate::script::Script;
use std::collections::BTreeMap;

/// How long each rule's limit is stretched while a controller's channel is slowed, as it is told the limit
/// for its usual pace.
pub struct SlowedPeriod {
    /// Seconds since the drill began.
    pub from: f64,
    /// Seconds since the drill began.
    pub to: f64,
    /// By which the limit is stretched.
    pub factor: f64,
}

/// Judges the five rules over a drill's records. `slowed` names when the rules allow more time.
pub fn judge(records: &Records, script: &Script, slowed_periods: &[SlowedPeriod]) -> Verdict {
    let deployment = &script.deployment;
    let (effects_twice, repeated_effects) = judge_repeated_effects(records, deployment);
    let (invocations, service, service_by_operation) = compute_service(records, deployment);
    let is_unreadable = |record: &Record| {
        matches!(
            record,
            Record::TablesRejected { .. } | Record::SwapUnreadable { .. }
        )
    };
    let sent = |first: bool| {
        let counts = |record: &Record| matches!(record, Record::AttemptSent { number, .. } if (*number == 1) == first);
        records
            .0
            .iter()
            .filter(|(_, record)| counts(record))
            .count() as f64
    };
    Verdict {
        rules: vec![
            judge_time_without_node(records, deployment).finish(),
            repeated_effects.finish(),
            judge_sends_to_drained_nodes(records, deployment, slowed_periods).finish(),
            judge_slow_start_overload(records, deployment).finish(),
            judge_update_queue(records, deployment).finish(),
        ],
        invocations,
        service,
        service_by_operation,
        effects_twice,
        half_read_tables: records
            .0
            .iter()
            .filter(|(_, record)| is_unreadable(record))
            .count() as u64
            + count_conflicting_versions(records),
        repeats: sent(false) / sent(true).max(1.0),
    }
}

/// Tables that a proxy held under a name by which another held something else.
fn count_conflicting_versions(records: &Records) -> u64 {
    let mut hashes_by_version: BTreeMap<(usize, u64), &str> = BTreeMap::new();
    let (mut joined, mut conflicting) = (JoinedControllers::default(), 0);
    for (t, record) in &records.0 {
        joined.follow(*t, record);
        if let Record::TablesApplied {
            proxy,
            controller,
            version,
            hash,
            ..
        } = record
        {
            // Before it joined a proxy goes by what lies there, of whichever controller.
            if joined.0.get(proxy).is_none_or(|(to, _)| to != controller) {
                continue;
            }
            conflicting += u64::from(
                *hashes_by_version
                    .entry((*controller, *version))
                    .or_insert(hash)
                    != hash,
            );
        }
    }
    conflicting
}
