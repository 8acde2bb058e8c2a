//! The service that clients received: billed value earned, as a ratio of the billed value requested.

use super::verdict::Invocations;
use crate::records::{ClientOutcome, Record, Records};
use std::collections::BTreeMap;
use wheelspread_controller_core::deployment::Deployment;

/// Counts the outcomes of invocations; computes the service in total and by operation.
pub(super) fn compute_service(
    records: &Records,
    deployment: &Deployment,
) -> (Invocations, f64, BTreeMap<String, f64>) {
    let mut count = Invocations::default();
    let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
    for (_, record) in &records.0 {
        let Record::InvocationEnded {
            operation,
            latency,
            outcome,
            ..
        } = record
        else {
            continue;
        };
        let Some(config) = deployment
            .operations
            .iter()
            .find(|config| config.name == *operation)
        else {
            continue;
        };
        count.offered += 1;
        let sum = sums.entry(operation.clone()).or_insert((0.0, 0.0));
        sum.1 += config.billed_value;
        match outcome {
            ClientOutcome::Succeeded if *latency <= config.latency_objective.seconds() => {
                count.succeeded += 1;
                sum.0 += config.billed_value;
            }
            ClientOutcome::Succeeded => {
                count.late += 1;
                sum.0 += config.billed_value * config.late_share;
            }
            ClientOutcome::RateLimited => count.rate_limited += 1,
            ClientOutcome::Errored | ClientOutcome::Timeout => count.errored += 1,
        }
    }
    let (earned, requested) = sums
        .values()
        .fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
    let each = sums
        .iter()
        .map(|(name, (earned, requested))| (name.clone(), earned / requested.max(1e-9)))
        .collect();
    (count, earned / f64::max(requested, 1e-9), each)
}
