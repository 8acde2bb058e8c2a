//! Orders that come twice, late, crossed and in any order; deliverys at fleets that fail in parts.

use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread::time::{Moment, Span};
use wheelspread_drain::consistency::{
    find_disagreements, missing_orders, ControllerView, DisagreementKind, NodeView,
};
use wheelspread_drain::registry::DrainEffect;
use wheelspread_drain::{
    Drain, DrainAction, DrainError, DrainOrder, DrainRegistry, DrainState, Evidence, FailedCheck,
    OrderDelivery, OrderId, Outcome, Reply, RetryBudget,
};

const NODE: &str = "127.0.0.1:9001";

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn span(seconds: f64) -> Span {
    Span::from_seconds(seconds)
}

fn order(id: &str, action: DrainAction, given_ms: u64) -> DrainOrder {
    let (node, by) = (NODE.to_string(), "ada".to_string());
    DrainOrder {
        id: OrderId(id.into()),
        node,
        action,
        by,
        given_ms,
        overrides: Vec::new(),
    }
}

fn state(registry: &DrainRegistry) -> Option<DrainState> {
    registry.drain(NODE).map(|drain| drain.state)
}

fn take(registry: &mut DrainRegistry, now: Moment, order: DrainOrder) {
    let id = order.id.clone();
    registry.submit(now, order, &[]).expect("taken");
    registry.written(now, NODE, &id);
    registry.take_effects();
}

fn evidence(named_by: usize, attempts: u64, reporting_proxies: usize) -> Evidence {
    Evidence {
        named_by,
        proxies: 4,
        attempts,
        reporting_proxies,
    }
}

#[test]
fn a_drain_is_wanted_told_in_force_and_quiet_and_says_by_what() {
    let mut registry = DrainRegistry::default();
    registry
        .submit(at(0.0), order("o1", DrainAction::Drain, 1), &[])
        .expect("taken");
    assert_eq!(
        (state(&registry), registry.drained_nodes().count()),
        (Some(DrainState::Accepted), 0),
        "the disk does not have it"
    );
    assert!(matches!(
        &registry.take_effects()[..],
        [DrainEffect::Write { .. }, DrainEffect::StateChanged { .. }]
    ));
    registry.written(at(0.1), NODE, &OrderId("o1".into()));
    assert_eq!(registry.drained_nodes().collect::<Vec<_>>(), [NODE]);
    registry.record_evidence(at(0.2), NODE, span(2.0), evidence(3, 0, 0));
    assert_eq!(
        state(&registry),
        Some(DrainState::Propagating),
        "three gateways name it still"
    );
    registry.record_evidence(at(0.4), NODE, span(2.0), evidence(0, 0, 0));
    assert_eq!(state(&registry), Some(DrainState::InForce));
    registry.record_evidence(at(0.5), NODE, span(2.0), evidence(0, 0, 0));
    assert_eq!(
        state(&registry),
        Some(DrainState::InForce),
        "nobody was heard since: no evidence of quiet"
    );
    registry.record_evidence(at(1.5), NODE, span(2.0), evidence(0, 0, 4));
    assert_eq!(state(&registry), Some(DrainState::Drained));
    registry.record_evidence(at(2.5), NODE, span(2.0), evidence(0, 2, 4));
    assert_eq!(
        state(&registry),
        Some(DrainState::InForce),
        "something was sent there after all"
    );
    assert_eq!(
        registry.drain(NODE).map(|drain| drain.evidence.attempts),
        Some(2)
    );
}

#[test]
fn after_the_grace_it_is_in_force_whatever_gateways_hold() {
    let mut registry = DrainRegistry::default();
    take(&mut registry, at(0.0), order("o1", DrainAction::Drain, 1));
    registry.record_evidence(at(1.9), NODE, span(2.0), evidence(1, 0, 0));
    assert_eq!(state(&registry), Some(DrainState::Propagating));
    registry.record_evidence(at(2.0), NODE, span(2.0), evidence(1, 0, 0));
    assert_eq!(state(&registry), Some(DrainState::InForce));
}

#[test]
fn of_two_tools_the_later_order_goes_in_whichever_order_they_come() {
    let (drain, undrain) = (
        order("a", DrainAction::Drain, 5),
        order("b", DrainAction::Undrain, 6),
    );
    let mut first = DrainRegistry::default();
    take(&mut first, at(0.0), drain.clone());
    take(&mut first, at(1.0), undrain.clone());
    // The other conductor hears the two the other way round.
    let mut second = DrainRegistry::default();
    take(&mut second, at(1.0), undrain);
    let late = second
        .submit(at(2.0), drain, &[])
        .expect_err("it was given before");
    assert_eq!(
        late,
        DrainError::Overtaken {
            newer: "b".into(),
            by: "ada".into()
        }
    );
    assert_eq!(
        (state(&first), state(&second)),
        (Some(DrainState::Withdrawn), Some(DrainState::Withdrawn))
    );
}

#[test]
fn told_twice_it_is_one_and_the_same_name_with_other_content_is_refused() {
    let mut registry = DrainRegistry::default();
    take(&mut registry, at(0.0), order("a", DrainAction::Drain, 5));
    registry.record_evidence(at(1.0), NODE, span(2.0), evidence(0, 0, 0));
    let again = registry
        .submit(at(2.0), order("a", DrainAction::Drain, 5), &[])
        .expect("known")
        .state;
    assert_eq!(
        (again, registry.take_effects().len()),
        (DrainState::InForce, 1),
        "only the turn before"
    );
    let other = registry.submit(at(3.0), order("a", DrainAction::Undrain, 9), &[]);
    assert_eq!(other.err(), Some(DrainError::OtherContent("a".into())));
    // The tool was killed and is run again: a new order of the same word goes on where the first is.
    registry
        .submit(at(4.0), order("c", DrainAction::Drain, 9), &[])
        .expect("taken");
    assert_eq!(state(&registry), Some(DrainState::InForce));
}

#[test_case(&[], true; "nothing is overridden")]
#[test_case(&["cold"], true; "something else is")]
#[test_case(&["pool"], true; "one of two is")]
#[test_case(&["pool", "capacity"], false; "both are named")]
fn what_speaks_against_it_refuses_a_drain_that_does_not_name_it(overrides: &[&str], refuses: bool) {
    let failed_check = |name: &str, text: &str| FailedCheck {
        name: name.into(),
        text: text.into(),
    };
    let against = [
        failed_check("pool", "pool: no node would be left"),
        failed_check("capacity", "capacity: 40% would be lost"),
    ];
    let mut told = order("a", DrainAction::Drain, 5);
    told.overrides = overrides.iter().map(|name| name.to_string()).collect();
    let mut registry = DrainRegistry::default();
    let result = registry
        .submit(at(0.0), told, &against)
        .map(|drain| drain.state);
    assert_eq!(result.is_err(), refuses);
    if let Err(DrainError::Checks(left)) = result {
        assert_eq!(
            left.len(),
            2 - overrides.iter().filter(|name| **name == "pool").count()
        );
    }
}

#[test]
fn a_restart_keeps_a_drain_in_force_and_shows_anew_that_it_is() {
    let mut registry = DrainRegistry::default();
    take(&mut registry, at(0.0), order("a", DrainAction::Drain, 5));
    registry.record_evidence(at(1.0), NODE, span(2.0), evidence(0, 0, 0));
    registry.record_evidence(at(2.0), NODE, span(2.0), evidence(0, 0, 4));
    let kept: Vec<Drain> = registry.drains().cloned().collect();
    let registry = DrainRegistry::recover(at(0.0), kept.into_iter());
    assert_eq!(state(&registry), Some(DrainState::Propagating));
    assert_eq!(
        registry.drained_nodes().count(),
        1,
        "its node is out from the first moment"
    );
    // Killed when the disk had an order and nobody was told: it goes.
    let mut wanted = DrainRegistry::default();
    wanted
        .submit(at(0.0), order("a", DrainAction::Drain, 5), &[])
        .expect("taken");
    let kept: Vec<Drain> = wanted.drains().cloned().collect();
    assert_eq!(
        DrainRegistry::recover(at(0.0), kept.into_iter())
            .drained_nodes()
            .count(),
        1
    );
}

proptest! {
    // Conductors that hear the same orders, each in its own order, some twice and with crashes between, end
    // with the same word for the node.
    #[test]
    fn conductors_end_alike(
        words in prop::collection::vec(any::<bool>(), 1..8),
        ways in prop::collection::vec(prop::collection::vec(0usize..8, 8..24), 3),
    ) {
        let of = |at: usize| {
            let word = if words[at] { DrainAction::Drain } else { DrainAction::Undrain };
            // Two that were given in the same millisecond are told apart by name.
            order(&format!("o{at}"), word, 10 + at as u64 / 2)
        };
        let mut ends = Vec::new();
        for way in ways {
            let mut registry = DrainRegistry::default();
            let all = way.into_iter().filter(|at| *at < words.len()).chain(0..words.len());
            for (turn, which) in all.enumerate() {
                let told = of(which);
                let id = told.id.clone();
                if registry.submit(at(1.0), told, &[]).is_ok() {
                    registry.written(at(1.0), NODE, &id);
                }
                if turn % 5 == 4 {
                    let kept: Vec<Drain> = registry.drains().cloned().collect();
                    registry = DrainRegistry::recover(at(2.0), kept.into_iter());
                }
            }
            ends.push(registry.drain(NODE).map(|drain| (drain.order.id.clone(), drain.is_active())));
        }
        prop_assert!(ends.windows(2).all(|pair| pair[0] == pair[1]), "{:?}", ends);
    }
}

fn spent() -> RetryBudget {
    RetryBudget {
        timeout: span(5.0),
        initial_backoff: span(0.1),
        max_backoff: span(1.0),
    }
}

fn names(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|n| format!("c{n}"))
}

/// Plays a delivery; `answer` says what a conductor does to its n-th try, `None`: it never answers.
fn play(
    count: usize,
    answer: impl Fn(&str, u32) -> Option<Reply>,
) -> (OrderDelivery, Moment, Vec<(f64, String)>) {
    let (mut now, mut delivery) = (
        at(0.0),
        OrderDelivery::new(at(0.0), 3, spent(), names(count)),
    );
    let (mut tries, mut told): (BTreeMap<String, u32>, Vec<(f64, String)>) = Default::default();
    while !delivery.is_over(now) {
        for name in delivery.due(now) {
            told.push((now.seconds(), name.clone()));
            let n = tries.entry(name.clone()).or_insert(0);
            *n += 1;
            if let Some(reply) = answer(&name, *n) {
                delivery.on_reply(now, &name, reply);
            }
        }
        now = now + span(0.01);
    }
    (delivery, now, told)
}

fn taken() -> Option<Reply> {
    Some(Reply::Taken {
        state: "telling".into(),
    })
}

fn failed() -> Option<Reply> {
    Some(Reply::Failed {
        reason: "nobody listens".into(),
    })
}

#[test]
fn a_delivery_at_a_sound_fleet_is_over_at_once() {
    let (delivery, now, told) = play(30, |_, _| taken());
    assert_eq!((delivery.outcome(), told.len()), (Outcome::Everywhere, 30));
    assert!(now.seconds() < 0.1);
}

#[test]
fn one_that_comes_back_is_told_again_and_one_that_is_gone_makes_it_a_part() {
    let (delivery, now, _) = play(30, |name, n| match name {
        "c7" if n < 4 => failed(),
        _ => taken(),
    });
    assert_eq!(delivery.outcome(), Outcome::Everywhere);
    assert!((0.2..2.0).contains(&now.seconds()), "{now:?}");
    let (delivery, now, told) = play(30, |name, _| if name == "c7" { failed() } else { taken() });
    assert_eq!(
        (delivery.outcome(), now.seconds()),
        (Outcome::Partly, 5.0),
        "the budget is spent, no more"
    );
    let tries = told.iter().filter(|(_, name)| name == "c7").count();
    assert!((5..20).contains(&tries), "{tries} tries with back-off");
    let last = delivery
        .replies()
        .find(|reply| reply.controller == "c7")
        .and_then(|reply| reply.last.cloned());
    assert_eq!(last, failed());
}

#[test]
fn one_that_never_answers_and_one_that_refuses_are_no_success() {
    let (delivery, ..) = play(3, |name, _| match name {
        "c0" => None,
        "c1" => Some(Reply::Refused {
            reason: "pool: no node would be left".into(),
        }),
        _ => taken(),
    });
    assert_eq!(delivery.outcome(), Outcome::Partly);
    let silent = delivery
        .replies()
        .filter(|reply| reply.last.is_none())
        .count();
    assert_eq!(silent, 1);
    assert_eq!(play(2, |_, _| failed()).0.outcome(), Outcome::Nowhere);
}

#[test]
fn those_that_failed_together_are_not_told_again_together() {
    let (_, _, told) = play(40, |_, n| if n < 3 { failed() } else { taken() });
    let seconds: Vec<u64> = told
        .iter()
        .skip(40)
        .take(40)
        .map(|(at, _)| (at * 100.0).round() as u64)
        .collect();
    let most = seconds
        .iter()
        .map(|at| seconds.iter().filter(|other| *other == at).count())
        .max();
    assert!(most < Some(20), "{most:?} of 40 in the same 10 ms");
}

#[test]
fn who_missed_an_order_is_told_the_newest_and_nobody_else_is() {
    let of = |orders: Vec<DrainOrder>| {
        let mut registry = DrainRegistry::default();
        orders
            .into_iter()
            .for_each(|order| take(&mut registry, at(0.0), order));
        registry.drains().cloned().collect::<Vec<Drain>>()
    };
    let (old, new) = (
        order("a", DrainAction::Drain, 1),
        order("b", DrainAction::Undrain, 2),
    );
    let fleet = BTreeMap::from([
        ("c0".to_string(), of(vec![old.clone(), new.clone()])),
        ("c1".to_string(), of(vec![old])),
        ("c2".to_string(), of(vec![])),
    ]);
    let told: Vec<(String, String)> = missing_orders(&fleet)
        .into_iter()
        .map(|missing| (missing.controller, missing.order.id.0))
        .collect();
    assert_eq!(
        told,
        [
            ("c1".to_string(), "b".to_string()),
            ("c2".to_string(), "b".to_string())
        ]
    );
}

fn held(list: &str, configuration: u64, nodes: &[(&str, &str, &str, bool)]) -> ControllerView {
    let view = |(name, listing, zone, by_order): &(&str, &str, &str, bool)| {
        let view = NodeView {
            listing: listing.to_string(),
            zone: zone.to_string(),
            by_order: *by_order,
        };
        (name.to_string(), view)
    };
    ControllerView {
        list: list.into(),
        configuration,
        nodes: nodes.iter().map(view).collect(),
    }
}

#[test]
fn disagreement_is_named_with_both_sides_and_only_where_it_is() {
    let fleet = |other: ControllerView| {
        let sound = held(
            "7",
            3,
            &[
                ("n1", "ready", "north", false),
                ("n2", "ready", "north", false),
            ],
        );
        BTreeMap::from([
            ("a".to_string(), sound.clone()),
            ("b".to_string(), sound),
            ("c".to_string(), other),
        ])
    };
    let alike = held(
        "7",
        3,
        &[
            ("n1", "ready", "north", false),
            ("n2", "ready", "north", false),
        ],
    );
    assert_eq!(find_disagreements(&fleet(alike)), []);
    let drained = held(
        "7",
        3,
        &[
            ("n1", "draining", "north", true),
            ("n2", "ready", "north", false),
        ],
    );
    let found = find_disagreements(&fleet(drained));
    assert_eq!(
        (found.len(), found[0].kind, found[0].node.as_deref()),
        (1, DisagreementKind::EndpointStatus, Some("n1"))
    );
    assert_eq!(found[0].views["draining by order"], ["c"]);
    assert_eq!(found[0].views["ready"], ["a", "b"]);
    let late = find_disagreements(&fleet(held("6", 3, &[("n1", "ready", "north", false)])));
    assert_eq!(
        (late.len(), late[0].kind, late[0].lists_differ),
        (1, DisagreementKind::Listed, true)
    );
    let moved = held(
        "7",
        4,
        &[
            ("n1", "ready", "south", false),
            ("n2", "ready", "north", false),
        ],
    );
    let matters: Vec<DisagreementKind> = find_disagreements(&fleet(moved))
        .iter()
        .map(|found| found.kind)
        .collect();
    assert_eq!(
        matters,
        [DisagreementKind::Configuration, DisagreementKind::Zone]
    );
}
