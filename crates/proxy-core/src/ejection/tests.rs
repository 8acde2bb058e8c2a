use super::*;

fn policy(consecutive_failures: u32) -> EjectionPolicy {
    EjectionPolicy {
        consecutive_failures,
        ejection_time: Span::from_seconds(3.0),
    }
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn observe(health: &mut PassiveHealth, seconds: f64, success: bool) {
    if success {
        health.on_success();
    } else {
        health.on_failure(at(seconds), policy(3));
    }
}

#[test]
fn consecutive_failures_eject_a_node_and_a_successful_probation_readmits_it() {
    let mut node = PassiveHealth::default();
    for (seconds, success) in [
        (0.0, false),
        (0.1, false),
        (0.2, true),
        (0.3, false),
        (0.4, false),
    ] {
        observe(&mut node, seconds, success);
    }
    assert!(
        node.is_available(),
        "a success resets the count of consecutive failures"
    );
    observe(&mut node, 0.5, false);
    assert!(!node.is_available() && !node.end_ejection_if_due(at(3.4)));
    assert!(node.end_ejection_if_due(at(3.5)) && node.is_available());
    node.on_attempt_started();
    assert!(!node.is_available(), "one probation attempt at a time");
    observe(&mut node, 3.6, false);
    assert_eq!(
        node.ejected_until(),
        Some(at(9.6)),
        "a failed probation doubles the ejection time"
    );
    assert!(node.end_ejection_if_due(at(9.6)));
    node.on_attempt_started();
    observe(&mut node, 9.7, true);
    assert_eq!(
        (node.state(), node.is_available()),
        (EjectionState::Available, true)
    );
}

#[test]
fn late_failures_do_not_prolong_an_ejection() {
    let mut node = PassiveHealth::default();
    (0..6).for_each(|_| observe(&mut node, 0.0, false));
    assert_eq!(node.ejected_until(), Some(at(3.0)));
    // A late success ends the ejection early and starts probation.
    observe(&mut node, 0.5, true);
    assert_eq!(node.state(), EjectionState::Probation);
}

#[test]
fn a_cancelled_probation_attempt_makes_the_node_available_again() {
    let mut node = PassiveHealth::default();
    (0..3).for_each(|_| observe(&mut node, 0.0, false));
    node.end_ejection_if_due(at(3.0));
    node.on_attempt_started();
    node.on_attempt_cancelled();
    assert!(node.is_available());
}

#[test]
fn a_limit_of_zero_disables_ejection() {
    let mut node = PassiveHealth::default();
    (0..100).for_each(|_| node.on_failure(at(0.0), policy(0)));
    assert!(node.is_available());
}
