//! The audit: the five rules, checked on the records alone, with one module for each rule.

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

/// A period in which the update channel of controllers is slowed down. The drain grace period is extended,
/// as controllers are configured with the grace period for the normal pace.
pub struct SlowedPeriod {
    /// The begin, in seconds since the drill began.
    pub from: f64,
    /// The end, in seconds since the drill began.
    pub to: f64,
    /// The factor on the limit.
    pub factor: f64,
}

/// Checks the five rules on the records of a drill. In `slowed_periods`, rule 3 allows more time.
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

/// Counts applied tables whose content differs from other tables of the same controller and version.
fn count_conflicting_versions(records: &Records) -> u64 {
    let mut hashes_by_version: BTreeMap<(usize, u64), &str> = BTreeMap::new();
    let (mut joined, mut conflicting) = (JoinedControllers::default(), 0);
    for (t, record) in &records.0 {
        joined.update(*t, record);
        if let Record::Tables {
            proxy,
            controller,
            version,
            hash,
            ..
        } = record
        {
            // A proxy that has not joined uses the tables of any controller.
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
