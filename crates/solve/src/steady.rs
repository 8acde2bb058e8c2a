//! Weights that hold still: a solved weight is taken over when it differs enough to matter, and then in
//! steps, so that an estimate that flutters moves no traffic and one that was wrong moves it gradually.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Steadiness {
    /// Of a weight: smaller moves are not made.
    pub dead: f64,
    /// Of a weight: no move is larger at once. A host that comes anew starts with this part of its weight.
    pub step: f64,
}

impl Default for Steadiness {
    fn default() -> Self {
        Steadiness {
            dead: 0.05,
            step: 0.5,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stands {
    Absent,
    Present,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    Gone,
    Near,
    Far,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    LeaveOut,
    Keep,
    Step,
    Begin,
}

// What should carry nothing leaves at once: it may drain.
const MOVES: &[(Stands, Wanted, Effect)] = &[
    (Stands::Absent, Wanted::Gone, Effect::LeaveOut),
    (Stands::Absent, Wanted::Near, Effect::Begin),
    (Stands::Absent, Wanted::Far, Effect::Begin),
    (Stands::Present, Wanted::Gone, Effect::LeaveOut),
    (Stands::Present, Wanted::Near, Effect::Keep),
    (Stands::Present, Wanted::Far, Effect::Step),
];

/// The weights to go by next, from those that stand and those that are solved.
pub fn next(
    standing: &BTreeMap<String, f64>,
    solved: &BTreeMap<String, f64>,
    how: Steadiness,
) -> BTreeMap<String, f64> {
    let mut next = BTreeMap::new();
    for (id, wanted) in solved {
        let before = standing.get(id).copied().filter(|weight| *weight > 0.0);
        let stands = if before.is_some() {
            Stands::Present
        } else {
            Stands::Absent
        };
        let held = before.unwrap_or(0.0);
        let near = (wanted - held).abs() <= how.dead * held.max(*wanted);
        let input = match (*wanted > 0.0, near) {
            (false, _) => Wanted::Gone,
            (true, true) => Wanted::Near,
            (true, false) => Wanted::Far,
        };
        let effect = MOVES
            .iter()
            .find(|row| (row.0, row.1) == (stands, input))
            .map_or(Effect::Keep, |row| row.2);
        match effect {
            Effect::LeaveOut => {}
            Effect::Keep => {
                next.insert(id.clone(), held);
            }
            Effect::Step => {
                let most = held * how.step;
                next.insert(id.clone(), held + (wanted - held).clamp(-most, most));
            }
            Effect::Begin => {
                next.insert(id.clone(), wanted * how.step);
            }
        }
    }
    next
}

#[cfg(test)]
mod tests;
