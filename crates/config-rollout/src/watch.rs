//! The conditions on which a change in force is undone: they compare the service since the change with the service
//! before it. Each reason states the measured values.

use serde::{Deserialize, Serialize};
use std::fmt;
use wheelspread::ids::OperationId;
use wheelspread_controller_core::service_history::{ServiceTotals, ServiceTotalsByOperation};
use wheelspread_controller_core::Deployment;

/// The conditions of a watch: a change is undone when one of them is broken. The field names are those of the
/// controller's file.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    /// The maximum increase of the ratio of an operation's attempts that fail.
    pub errored_more_at_most: f64,
    /// The maximum decrease of the ratio of the requested value that is served.
    pub value_less_at_most: f64,
    /// The maximum mean latency of an operation, as a multiple of its mean latency before the change.
    pub slower_at_most: f64,
    /// The minimum number of invocations, before and since the change, for an operation to be compared.
    pub invocations_at_least: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            errored_more_at_most: 0.05,
            value_less_at_most: 0.1,
            slower_at_most: 2.5,
            invocations_at_least: 50.0,
        }
    }
}

/// The measured service of one operation. The serde names are those of the state file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperationService {
    /// The number of invocations that clients sent.
    #[serde(rename = "asked")]
    pub invocations: f64,
    /// The number of invocations that succeeded.
    pub succeeded: f64,
    /// The ratio of attempts that failed.
    pub errored_share: f64,
    /// The mean latency, in seconds.
    pub latency_s: f64,
}

impl From<ServiceTotals> for OperationService {
    fn from(totals: ServiceTotals) -> OperationService {
        let divide_or_zero = |part: f64, all: f64| if all > 0.0 { part / all } else { 0.0 };
        OperationService {
            invocations: totals.requests,
            succeeded: totals.succeeded,
            errored_share: divide_or_zero(totals.failures, totals.attempts),
            latency_s: divide_or_zero(totals.latency_seconds, totals.timed_attempts),
        }
    }
}

/// The measured service of all operations, in the order of the deployment. The baseline is persisted with the change,
/// so that a controller that restarts during a watch can still compare with it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline(pub Vec<OperationService>);

impl Baseline {
    /// Computes the service from the totals of each operation.
    pub fn from_totals(totals: &ServiceTotalsByOperation, deployment: &Deployment) -> Baseline {
        let operations = 0..deployment.operations.len() as u8;
        let service = operations.map(|id| totals.for_operation(OperationId(id)).into());
        Baseline(service.collect())
    }

    /// Returns the ratio of the requested value that is served, over all operations by billed value: a loss at an
    /// operation of low value may be offset by one of high value. `None` if there are too few invocations.
    fn served_value_ratio(&self, conditions: &Conditions, deployment: &Deployment) -> Option<f64> {
        let (mut served, mut requested, mut invocations) = (0.0, 0.0, 0.0);
        for (operation, service) in deployment.operations.iter().zip(&self.0) {
            served += operation.billed_value * service.succeeded;
            requested += operation.billed_value * service.invocations;
            invocations += service.invocations;
        }
        (requested > 0.0 && invocations >= conditions.invocations_at_least)
            .then(|| (served / requested).min(1.0))
    }
}

/// A broken condition.
#[derive(Clone, Debug, PartialEq)]
pub enum BrokenCondition {
    /// More attempts of an operation fail than before.
    MoreErrors {
        /// The operation.
        operation: String,
        /// The ratio that fails now.
        ratio: f64,
        /// The ratio that failed before.
        ratio_before: f64,
    },
    /// An operation is slower than before.
    Slower {
        /// The operation.
        operation: String,
        /// The mean latency now, in seconds.
        latency_s: f64,
        /// The mean latency before, in seconds.
        latency_before_s: f64,
    },
    /// Less of the requested value is served than before.
    LessValue {
        /// The ratio that is served now.
        ratio: f64,
        /// The ratio that was served before.
        ratio_before: f64,
    },
    /// Proxies have had no entry for an operation for too long.
    MissingEntries {
        /// The names of the proxies.
        proxies: Vec<String>,
    },
}

/// The text is stored as the reason why the change was undone, and shown to operators.
impl fmt::Display for BrokenCondition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BrokenCondition::MoreErrors {
                operation,
                ratio,
                ratio_before,
            } => write!(
                f,
                "{:.1}% of the tries of `{operation}` err, {:.1}% did before",
                ratio * 100.0,
                ratio_before * 100.0
            ),
            BrokenCondition::Slower {
                operation,
                latency_s,
                latency_before_s,
            } => write!(
                f,
                "`{operation}` takes {:.0} ms, {:.0} ms before",
                latency_s * 1e3,
                latency_before_s * 1e3
            ),
            BrokenCondition::LessValue {
                ratio,
                ratio_before,
            } => write!(
                f,
                "{:.1}% of the value asked for is served, {:.1}% was before",
                ratio * 100.0,
                ratio_before * 100.0
            ),
            BrokenCondition::MissingEntries { proxies } => {
                write!(f, "no line for an operation at {}", proxies.join(", "))
            }
        }
    }
}

/// Returns the first condition that the service since the change breaks.
pub fn broken_condition(
    conditions: &Conditions,
    before: &Baseline,
    totals_since: &ServiceTotalsByOperation,
    deployment: &Deployment,
) -> Option<BrokenCondition> {
    let now = Baseline::from_totals(totals_since, deployment);
    let has_enough_invocations =
        |service: &OperationService| service.invocations >= conditions.invocations_at_least;
    for (operation, (service_before, service_now)) in deployment
        .operations
        .iter()
        .zip(before.0.iter().zip(&now.0))
    {
        if !has_enough_invocations(service_before) || !has_enough_invocations(service_now) {
            continue;
        }
        let operation = operation.name.clone();
        if service_now.errored_share
            > service_before.errored_share + conditions.errored_more_at_most
        {
            return Some(BrokenCondition::MoreErrors {
                operation,
                ratio: service_now.errored_share,
                ratio_before: service_before.errored_share,
            });
        }
        if service_before.latency_s > 0.0
            && service_now.latency_s > service_before.latency_s * conditions.slower_at_most
        {
            return Some(BrokenCondition::Slower {
                operation,
                latency_s: service_now.latency_s,
                latency_before_s: service_before.latency_s,
            });
        }
    }
    let ratio_before = before.served_value_ratio(conditions, deployment)?;
    let ratio = now.served_value_ratio(conditions, deployment)?;
    (ratio < ratio_before - conditions.value_less_at_most).then_some(BrokenCondition::LessValue {
        ratio,
        ratio_before,
    })
}
