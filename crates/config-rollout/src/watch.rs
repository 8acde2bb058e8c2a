//! When a change in force has done harm: the service since then beside the service before it. Each reason names its
//! figures.

use serde::{Deserialize, Serialize};
use std::fmt;
use wheelspread::ids::OperationId;
use wheelspread_controller_core::service_history::{Tallies, Tally};
use wheelspread_controller_core::Deployment;

/// A change is undone when one of these conditions is broken. The names are those of the controller's file.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    /// The share of an operation's attempts that may fail beyond the share that failed before.
    pub errored_more_at_most: f64,
    /// The share of the value that is asked for by which less may be served.
    pub value_less_at_most: f64,
    /// How many times the mean latency before the mean latency may be.
    pub slower_at_most: f64,
    /// Invocations of an operation below which it is not judged.
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

/// What was measured of one operation. The serde names are those of the state file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperationService {
    /// Invocations that clients sent.
    #[serde(rename = "asked")]
    pub invocations: f64,
    /// Invocations that succeeded.
    pub succeeded: f64,
    /// The share of attempts that failed.
    pub errored_share: f64,
    /// The mean latency in seconds.
    pub latency_s: f64,
}

impl From<Tally> for OperationService {
    fn from(tally: Tally) -> OperationService {
        let divide_or_zero = |part: f64, all: f64| if all > 0.0 { part / all } else { 0.0 };
        OperationService {
            invocations: tally.requests,
            succeeded: tally.succeeded,
            errored_share: divide_or_zero(tally.failures, tally.attempts),
            latency_s: divide_or_zero(tally.latency_seconds, tally.timed),
        }
    }
}

/// What was measured of all operations, in their order. It is persisted with the change, so that a controller that
/// restarts in the middle of a watch still has it to compare with.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline(pub Vec<OperationService>);

impl Baseline {
    /// The service by these tallies.
    pub fn from_tallies(tallies: &Tallies, deployment: &Deployment) -> Baseline {
        let operations = 0..deployment.operations.len() as u8;
        let service = operations.map(|id| tallies.of(OperationId(id)).into());
        Baseline(service.collect())
    }

    /// The share of the value asked for that is served, over all operations by their billed value: a cheap one may
    /// suffer for a dear one. `None`: too few invocations to say.
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

/// A condition that a change has broken.
#[derive(Clone, Debug, PartialEq)]
pub enum BrokenCondition {
    /// More attempts of an operation fail.
    MoreErrors {
        /// The operation.
        operation: String,
        /// The share that fails now.
        ratio: f64,
        /// The share that failed before.
        ratio_before: f64,
    },
    /// An operation is slower.
    Slower {
        /// The operation.
        operation: String,
        /// The mean latency now, in seconds.
        latency_s: f64,
        /// The mean latency before, in seconds.
        latency_before_s: f64,
    },
    /// Less of the value asked for is served.
    LessValue {
        /// The share that is served now.
        ratio: f64,
        /// The share that was served before.
        ratio_before: f64,
    },
    /// Proxies have had no entry for an operation for too long.
    MissingEntries {
        /// The proxies.
        proxies: Vec<String>,
    },
}

/// The text is stored as the reason of the undoing and read by operators.
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

/// The first condition that the service since the change breaks.
pub fn broken_condition(
    conditions: &Conditions,
    before: &Baseline,
    tallies_since: &Tallies,
    deployment: &Deployment,
) -> Option<BrokenCondition> {
    let now = Baseline::from_tallies(tallies_since, deployment);
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
