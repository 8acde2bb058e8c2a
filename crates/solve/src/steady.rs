//! Damping of weights: a solved weight replaces the current one only if it differs by more than a dead band, and then
//! in limited steps. So a fluctuating capacity estimate moves no traffic, and a wrong one moves traffic gradually.

use std::collections::BTreeMap;

/// The parameters of damping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// The dead band as a ratio of the larger weight: changes up to this are ignored.
    pub dead_band: f64,
    /// The maximum change of one call, as a ratio of the current weight. A new host starts with this ratio of its
    /// solved weight.
    pub max_step: f64,
}

impl Default for Damping {
    fn default() -> Self {
        Damping {
            dead_band: 0.05,
            max_step: 0.5,
        }
    }
}

/// Computes the next weights from the current and the solved ones. Hosts with a solved weight of 0 are omitted.
pub fn damp(
    current: &BTreeMap<String, f64>,
    solved: &BTreeMap<String, f64>,
    damping: Damping,
) -> BTreeMap<String, f64> {
    let mut damped = BTreeMap::new();
    for (id, solved) in solved {
        let current = current.get(id).copied().filter(|weight| *weight > 0.0);
        if let Some(weight) = damped_weight(current, *solved, damping) {
            damped.insert(id.clone(), weight);
        }
    }
    damped
}

/// The next weight of a host; `None` if the host is omitted.
fn damped_weight(current: Option<f64>, solved: f64, damping: Damping) -> Option<f64> {
    // A host with a solved weight of 0 is omitted at once, without steps, because it may be draining.
    let carries_work = solved > 0.0;
    if !carries_work {
        return None;
    }
    let Some(current) = current else {
        return Some(solved * damping.max_step);
    };
    let change = solved - current;
    if change.abs() <= damping.dead_band * current.max(solved) {
        return Some(current);
    }
    let limit = current * damping.max_step;
    Some(current + change.clamp(-limit, limit))
}

#[cfg(test)]
mod tests;
