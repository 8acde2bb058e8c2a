//! Damping of weights: a solved weight is adopted when it differs enough to matter, and then in steps, so that a
//! fluctuating estimate moves no traffic and a wrong one moves it gradually.

use std::collections::BTreeMap;

/// How strongly weights are damped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// The dead band, as a part of the weight: smaller changes are not made.
    pub dead_band: f64,
    /// The largest change at once, as a part of the weight. A new host starts with this part of its weight.
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

/// The next weights, from the current and the solved ones.
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

/// `None`: the host is left out.
fn damped_weight(current: Option<f64>, solved: f64, damping: Damping) -> Option<f64> {
    // A host that should carry nothing leaves at once: it may be draining.
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
