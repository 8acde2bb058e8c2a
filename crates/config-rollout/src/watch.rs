//! When a change that is in force has done harm: what was told since then, beside what was told before it.
//! Each reason names its figures.

use serde::{Deserialize, Serialize};
use wheelspread::ids::OperationId;
use wheelspread_controller_core::service_history::{Tallies, Tally};
use wheelspread_controller_core::Deployment;

/// A change is undone when one of these is broken.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    /// Of an operation's tries, so many more may err than did before.
    pub errored_more_at_most: f64,
    /// Of the value that is asked for, so much less may be served.
    pub value_less_at_most: f64,
    /// Times the mean latency before.
    pub slower_at_most: f64,
    /// Invocations of an operation below which nothing is said of it.
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

/// What was told of an operation before the change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usual {
    pub asked: f64,
    pub succeeded: f64,
    pub errored_share: f64,
    pub latency_s: f64,
}

/// Of all operations, by their order; kept with the change, so that a conductor that restarts in the middle
/// of the watch has something to hold what it measures against.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Baseline(pub Vec<Usual>);

fn usual(tally: Tally) -> Usual {
    let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
    Usual {
        asked: tally.asked,
        succeeded: tally.succeeded,
        errored_share: share(tally.errored, tally.tries),
        latency_s: share(tally.seconds, tally.timed),
    }
}

impl Baseline {
    pub fn of(tallies: &Tallies, plan: &Deployment) -> Baseline {
        let each = (0..plan.operations.len() as u8).map(|at| usual(tallies.of(OperationId(at))));
        Baseline(each.collect())
    }
}

/// Why the change should be undone, if it should.
pub fn broken(
    conditions: &Conditions,
    before: &Baseline,
    since: &Tallies,
    plan: &Deployment,
) -> Option<String> {
    let now = Baseline::of(since, plan);
    let pairs = || plan.operations.iter().zip(before.0.iter().zip(&now.0));
    let enough = |usual: &Usual| usual.asked >= conditions.invocations_at_least;
    for (operation, (was, is)) in pairs().filter(|(_, (was, is))| enough(was) && enough(is)) {
        let name = &operation.name;
        if is.errored_share > was.errored_share + conditions.errored_more_at_most {
            return Some(format!(
                "{:.1}% of the tries of `{name}` err, {:.1}% did before",
                is.errored_share * 100.0,
                was.errored_share * 100.0
            ));
        }
        if was.latency_s > 0.0 && is.latency_s > was.latency_s * conditions.slower_at_most {
            return Some(format!(
                "`{name}` takes {:.0} ms, {:.0} ms before",
                is.latency_s * 1e3,
                was.latency_s * 1e3
            ));
        }
    }
    // Of all operations together, each by its billed value: a cheap one may suffer for a dear one.
    let served = |of: &Baseline| {
        let sums =
            plan.operations
                .iter()
                .zip(&of.0)
                .fold((0.0, 0.0, 0.0), |sums, (operation, usual)| {
                    let value = operation.billed_value;
                    (
                        sums.0 + value * usual.succeeded,
                        sums.1 + value * usual.asked,
                        sums.2 + usual.asked,
                    )
                });
        (sums.1 > 0.0 && sums.2 >= conditions.invocations_at_least)
            .then(|| (sums.0 / sums.1).min(1.0))
    };
    match (served(before), served(&now)) {
        (Some(was), Some(is)) if is < was - conditions.value_less_at_most => Some(format!(
            "{:.1}% of the value asked for is served, {:.1}% was before",
            is * 100.0,
            was * 100.0
        )),
        _ => None,
    }
}
