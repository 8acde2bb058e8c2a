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
mod tests {
    use super::*;
    use test_case::test_case;

    fn one(weight: Option<f64>) -> BTreeMap<String, f64> {
        weight
            .map(|weight| ("a".to_string(), weight))
            .into_iter()
            .collect()
    }

    #[test_case(Some(1.0), 1.04, Some(1.0); "a flutter moves nothing")]
    #[test_case(Some(1.0), 1.2, Some(1.2); "a move within a step")]
    #[test_case(Some(1.0), 4.0, Some(1.5); "a jump goes in steps up")]
    #[test_case(Some(1.0), 0.1, Some(0.5); "and down")]
    #[test_case(Some(1.0), 0.0, None; "what drains leaves at once")]
    #[test_case(None, 1.0, Some(0.5); "who comes begins with a part")]
    fn weights_hold_still(held: Option<f64>, solved: f64, wanted: Option<f64>) {
        assert_eq!(
            next(&one(held), &one(Some(solved)), Steadiness::default()),
            one(wanted)
        );
    }

    #[test]
    fn steps_end_where_they_should() {
        let (mut held, solved) = (one(Some(1.0)), one(Some(9.0)));
        let rounds = (1..20).find(|_| {
            held = next(&held, &solved, Steadiness::default());
            (held["a"] - 9.0).abs() <= 9.0 * 0.05
        });
        assert_eq!(rounds, Some(6));
    }
}
