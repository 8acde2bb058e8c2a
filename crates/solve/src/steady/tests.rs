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
fn weights_hold_still(current: Option<f64>, solved: f64, wanted: Option<f64>) {
    assert_eq!(
        damp(&one(current), &one(Some(solved)), Damping::default()),
        one(wanted)
    );
}

#[test]
fn steps_end_where_they_should() {
    let (mut current, solved) = (one(Some(1.0)), one(Some(9.0)));
    let rounds = (1..20).find(|_| {
        current = damp(&current, &solved, Damping::default());
        (current["a"] - 9.0).abs() <= 9.0 * 0.05
    });
    assert_eq!(rounds, Some(6));
}
