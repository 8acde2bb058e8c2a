use super::*;

const SPAN: f64 = 3.0;

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn met(shunning: &mut PassiveHealth, seconds: f64, success: bool) {
    shunning.met(at(seconds), success, 3, Span::from_seconds(SPAN));
}

#[test]
fn a_run_of_failures_shuns_and_a_trial_brings_back() {
    let mut node = PassiveHealth::default();
    for (seconds, success) in [
        (0.0, false),
        (0.1, false),
        (0.2, true),
        (0.3, false),
        (0.4, false),
    ] {
        met(&mut node, seconds, success);
    }
    assert!(node.open(), "a success in between ends the run");
    met(&mut node, 0.5, false);
    assert!(!node.open() && !node.pass(at(3.4), Span::from_seconds(SPAN)));
    assert!(node.pass(at(3.5), Span::from_seconds(SPAN)) && node.open());
    node.sent();
    assert!(!node.open(), "one trial at a time");
    met(&mut node, 3.6, false);
    assert_eq!(node.until(), Some(at(9.6)), "a failed trial: twice as long");
    assert!(node.pass(at(9.6), Span::from_seconds(SPAN)));
    node.sent();
    met(&mut node, 9.7, true);
    assert_eq!(
        (node.standing(), node.open()),
        (EjectionState::Available, true)
    );
}

#[test]
fn late_failures_of_a_shunned_node_do_not_shun_it_longer() {
    let mut node = PassiveHealth::default();
    (0..6).for_each(|_| met(&mut node, 0.0, false));
    assert_eq!(node.until(), Some(at(3.0)));
    // An answer that comes after all shortens it: it works.
    met(&mut node, 0.5, true);
    assert_eq!(node.standing(), EjectionState::Probation);
}

#[test]
fn a_trial_whose_client_went_away_leaves_room_for_the_next() {
    let mut node = PassiveHealth::default();
    (0..3).for_each(|_| met(&mut node, 0.0, false));
    node.pass(at(3.0), Span::from_seconds(SPAN));
    node.sent();
    node.untold();
    assert!(node.open());
}

#[test]
fn with_no_limit_nothing_is_shunned() {
    let mut node = PassiveHealth::default();
    (0..100).for_each(|_| node.met(at(0.0), false, 0, Span::from_seconds(SPAN)));
    assert!(node.open());
}
