//! Delivery of an order to fleets in which some controllers fail.

use std::collections::BTreeMap;
use wheelspread::time::{Moment, Span};
use wheelspread_drain::{OrderDelivery, Outcome, Reply, RetryBudget};

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn span(seconds: f64) -> Span {
    Span::from_seconds(seconds)
}

fn budget() -> RetryBudget {
    RetryBudget {
        timeout: span(5.0),
        initial_backoff: span(0.1),
        max_backoff: span(1.0),
    }
}

fn names(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|n| format!("c{n}"))
}

/// A finished delivery, with the time at which it ended, and the time and controller of each attempt.
struct DeliveryRun {
    delivery: OrderDelivery,
    ended_at: Moment,
    attempts: Vec<(f64, String)>,
}

/// Runs a delivery to `count` controllers to its end. `answer` returns the reply of a controller to the n-th attempt;
/// `None` if the controller never replies.
fn run_delivery(count: usize, answer: impl Fn(&str, u32) -> Option<Reply>) -> DeliveryRun {
    let (mut now, mut delivery) = (
        at(0.0),
        OrderDelivery::new(at(0.0), 3, budget(), names(count)),
    );
    let mut attempts_by_name: BTreeMap<String, u32> = BTreeMap::new();
    let mut attempts = Vec::new();
    while !delivery.is_over(now) {
        for name in delivery.due(now) {
            attempts.push((now.seconds(), name.clone()));
            let n = attempts_by_name.entry(name.clone()).or_insert(0);
            *n += 1;
            if let Some(reply) = answer(&name, *n) {
                delivery.on_reply(now, &name, reply);
            }
        }
        now = now + span(0.01);
    }
    DeliveryRun {
        delivery,
        ended_at: now,
        attempts,
    }
}

fn accepted() -> Option<Reply> {
    Some(Reply::Accepted {
        state: "telling".into(),
    })
}

fn failed() -> Option<Reply> {
    Some(Reply::Failed {
        reason: "connection refused".into(),
    })
}

#[test]
fn a_delivery_to_a_healthy_fleet_needs_one_attempt_per_controller() {
    let run = run_delivery(30, |_, _| accepted());
    assert_eq!(
        (run.delivery.outcome(), run.attempts.len()),
        (Outcome::Everywhere, 30)
    );
    assert!(run.ended_at.seconds() < 0.1);
}

#[test]
fn a_failed_controller_is_retried_and_one_that_stays_unreachable_makes_the_outcome_partial() {
    let run = run_delivery(30, |name, n| match name {
        "c7" if n < 4 => failed(),
        _ => accepted(),
    });
    assert_eq!(run.delivery.outcome(), Outcome::Everywhere);
    let ended_at = run.ended_at;
    assert!((0.2..2.0).contains(&ended_at.seconds()), "{ended_at:?}");
    let run = run_delivery(
        30,
        |name, _| if name == "c7" { failed() } else { accepted() },
    );
    assert_eq!(
        (run.delivery.outcome(), run.ended_at.seconds()),
        (Outcome::Partly, 5.0),
        "the delivery ends at its deadline"
    );
    let attempts = run.attempts.iter().filter(|(_, name)| name == "c7").count();
    assert!(
        (5..20).contains(&attempts),
        "{attempts} attempts with backoff"
    );
    let last = run
        .delivery
        .replies()
        .find(|reply| reply.controller == "c7")
        .and_then(|reply| reply.last.cloned());
    assert_eq!(last, failed());
}

#[test]
fn a_controller_that_does_not_reply_or_refuses_is_not_counted_as_success() {
    let DeliveryRun { delivery, .. } = run_delivery(3, |name, _| match name {
        "c0" => None,
        "c1" => Some(Reply::Refused {
            reason: "pool: no node would be left".into(),
        }),
        _ => accepted(),
    });
    assert_eq!(delivery.outcome(), Outcome::Partly);
    let silent = delivery
        .replies()
        .filter(|reply| reply.last.is_none())
        .count();
    assert_eq!(silent, 1);
    assert_eq!(
        run_delivery(2, |_, _| failed()).delivery.outcome(),
        Outcome::Nowhere
    );
}

#[test]
fn controllers_that_failed_together_are_not_retried_together() {
    let DeliveryRun { attempts, .. } =
        run_delivery(40, |_, n| if n < 3 { failed() } else { accepted() });
    let hundredths: Vec<u64> = attempts
        .iter()
        .skip(40)
        .take(40)
        .map(|(at, _)| (at * 100.0).round() as u64)
        .collect();
    let max_count = hundredths
        .iter()
        .map(|at| hundredths.iter().filter(|other| *other == at).count())
        .max();
    assert!(
        max_count < Some(20),
        "{max_count:?} of 40 in the same 10 ms"
    );
}
