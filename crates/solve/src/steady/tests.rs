use super::*;
use test_case::test_case;

fn weights(weight: Option<f64>) -> BTreeMap<String, f64> {
    weight
        .map(|weight| ("a".to_string(), weight))
        .into_iter()
        .collect()
}

#[test_case(Some(1.0), 1.04, Some(1.0); "a change within the dead band is ignored")]
#[test_case(Some(1.0), 1.2, Some(1.2); "a change within one step is made in full")]
#[test_case(Some(1.0), 4.0, Some(1.5); "a large increase is limited to one step")]
#[test_case(Some(1.0), 0.1, Some(0.5); "a large decrease is limited to one step")]
#[test_case(Some(1.0), 0.0, None; "a weight of zero removes the host at once")]
#[test_case(None, 1.0, Some(0.5); "a new host starts with one step of its weight")]
fn changes_are_damped(current: Option<f64>, solved: f64, expected: Option<f64>) {
    assert_eq!(
        damp(
            &weights(current),
            &weights(Some(solved)),
            Damping::default()
        ),
        weights(expected)
    );
}

#[test]
fn repeated_steps_reach_the_solved_weight() {
    let (mut current, solved) = (weights(Some(1.0)), weights(Some(9.0)));
    let rounds = (1..20).find(|_| {
        current = damp(&current, &solved, Damping::default());
        (current["a"] - 9.0).abs() <= 9.0 * 0.05
    });
    assert_eq!(rounds, Some(6));
}
