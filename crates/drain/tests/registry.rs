//! The drain registry, with orders that arrive repeated, late and in different sequences.

mod common;

use common::{at, order, submit_and_persist, NODE};
use proptest::prelude::*;
use test_case::test_case;
use wheelspread::time::Span;
use wheelspread_drain::registry::DrainEffect;
use wheelspread_drain::{
    Drain, DrainAction, DrainError, DrainRegistry, DrainState, Evidence, FailedCheck, OrderId,
};

fn span(seconds: f64) -> Span {
    Span::from_seconds(seconds)
}

fn state(registry: &DrainRegistry) -> Option<DrainState> {
    registry.drain(NODE).map(|drain| drain.state)
}

fn evidence(proxies_with_node: usize, attempts: u64, reporting_proxies: usize) -> Evidence {
    Evidence {
        proxies_with_node,
        proxies: 4,
        attempts,
        reporting_proxies,
    }
}

#[test]
fn a_drain_passes_through_its_states_as_evidence_arrives() {
    let mut registry = DrainRegistry::default();
    registry
        .submit(at(0.0), order("o1", DrainAction::Drain, 1), &[])
        .expect("accepted");
    assert_eq!(
        (state(&registry), registry.drained_nodes().count()),
        (Some(DrainState::Accepted), 0),
        "the order is not persisted"
    );
    assert!(matches!(
        &registry.take_effects()[..],
        [
            DrainEffect::Persist { .. },
            DrainEffect::StateChanged { .. }
        ]
    ));
    registry.on_persisted(at(0.1), NODE, &OrderId("o1".into()));
    assert_eq!(registry.drained_nodes().collect::<Vec<_>>(), [NODE]);
    registry.record_evidence(at(0.2), NODE, span(2.0), evidence(3, 0, 0));
    assert_eq!(
        state(&registry),
        Some(DrainState::Propagating),
        "three proxies still have the node"
    );
    registry.record_evidence(at(0.4), NODE, span(2.0), evidence(0, 0, 0));
    assert_eq!(state(&registry), Some(DrainState::InForce));
    registry.record_evidence(at(0.5), NODE, span(2.0), evidence(0, 0, 0));
    assert_eq!(
        state(&registry),
        Some(DrainState::InForce),
        "no proxy has reported since the drain came into force"
    );
    registry.record_evidence(at(1.5), NODE, span(2.0), evidence(0, 0, 4));
    assert_eq!(state(&registry), Some(DrainState::Drained));
    registry.record_evidence(at(2.5), NODE, span(2.0), evidence(0, 2, 4));
    assert_eq!(
        state(&registry),
        Some(DrainState::InForce),
        "attempts were sent to the node"
    );
    assert_eq!(
        registry.drain(NODE).map(|drain| drain.evidence.attempts),
        Some(2)
    );
}

#[test]
fn a_drain_is_in_force_after_the_grace_period_even_if_tables_still_have_the_node() {
    let mut registry = DrainRegistry::default();
    submit_and_persist(&mut registry, at(0.0), order("o1", DrainAction::Drain, 1));
    registry.record_evidence(at(1.9), NODE, span(2.0), evidence(1, 0, 0));
    assert_eq!(state(&registry), Some(DrainState::Propagating));
    registry.record_evidence(at(2.0), NODE, span(2.0), evidence(1, 0, 0));
    assert_eq!(state(&registry), Some(DrainState::InForce));
}

#[test]
fn the_newest_order_is_in_force_in_whichever_sequence_orders_arrive() {
    let (drain, undrain) = (
        order("a", DrainAction::Drain, 5),
        order("b", DrainAction::Undrain, 6),
    );
    let mut first = DrainRegistry::default();
    submit_and_persist(&mut first, at(0.0), drain.clone());
    submit_and_persist(&mut first, at(1.0), undrain.clone());
    // The second controller receives the orders in reverse.
    let mut second = DrainRegistry::default();
    submit_and_persist(&mut second, at(1.0), undrain);
    let superseded = second
        .submit(at(2.0), drain, &[])
        .expect_err("a newer order is known");
    assert_eq!(
        superseded,
        DrainError::Superseded {
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
fn a_repeated_order_is_idempotent_and_a_reused_id_with_other_content_is_refused() {
    let mut registry = DrainRegistry::default();
    submit_and_persist(&mut registry, at(0.0), order("a", DrainAction::Drain, 5));
    registry.record_evidence(at(1.0), NODE, span(2.0), evidence(0, 0, 0));
    let repeated_state = registry
        .submit(at(2.0), order("a", DrainAction::Drain, 5), &[])
        .expect("known")
        .state;
    assert_eq!(
        (repeated_state, registry.take_effects().len()),
        (DrainState::InForce, 1),
        "only the state change of the evidence, none of the repeated order"
    );
    let other = registry.submit(at(3.0), order("a", DrainAction::Undrain, 9), &[]);
    assert_eq!(
        other.err(),
        Some(DrainError::ConflictingContent("a".into()))
    );
    // The client was killed and is run again: a new order with the same action keeps the state.
    registry
        .submit(at(4.0), order("c", DrainAction::Drain, 9), &[])
        .expect("accepted");
    assert_eq!(state(&registry), Some(DrainState::InForce));
}

#[test_case(&[], true; "nothing is overridden")]
#[test_case(&["cold"], true; "another check is overridden")]
#[test_case(&["pool"], true; "one of two checks is overridden")]
#[test_case(&["pool", "capacity"], false; "both are overridden")]
fn a_drain_is_refused_unless_it_overrides_every_failed_check(overrides: &[&str], is_refused: bool) {
    let failed_check = |name: &str, text: &str| FailedCheck {
        name: name.into(),
        text: text.into(),
    };
    let failed_checks = [
        failed_check("pool", "pool: no node would be left"),
        failed_check("capacity", "capacity: 40% would be lost"),
    ];
    let mut order = order("a", DrainAction::Drain, 5);
    order.overrides = overrides.iter().map(ToString::to_string).collect();
    let mut registry = DrainRegistry::default();
    let result = registry
        .submit(at(0.0), order, &failed_checks)
        .map(|drain| drain.state);
    assert_eq!(result.is_err(), is_refused);
    if let Err(DrainError::Checks(remaining)) = result {
        assert_eq!(
            remaining.len(),
            2 - overrides.iter().filter(|name| **name == "pool").count()
        );
    }
}

#[test]
fn a_restarted_controller_keeps_a_node_out_of_tables_and_collects_evidence_again() {
    let mut registry = DrainRegistry::default();
    submit_and_persist(&mut registry, at(0.0), order("a", DrainAction::Drain, 5));
    registry.record_evidence(at(1.0), NODE, span(2.0), evidence(0, 0, 0));
    registry.record_evidence(at(2.0), NODE, span(2.0), evidence(0, 0, 4));
    let persisted: Vec<Drain> = registry.drains().cloned().collect();
    let registry = DrainRegistry::recover(at(0.0), persisted.into_iter());
    assert_eq!(state(&registry), Some(DrainState::Propagating));
    assert_eq!(
        registry.drained_nodes().count(),
        1,
        "the node is excluded from the start"
    );
    // An order that was persisted just before a kill is active after the restart.
    let mut accepted = DrainRegistry::default();
    accepted
        .submit(at(0.0), order("a", DrainAction::Drain, 5), &[])
        .expect("accepted");
    let persisted: Vec<Drain> = accepted.drains().cloned().collect();
    assert_eq!(
        DrainRegistry::recover(at(0.0), persisted.into_iter())
            .drained_nodes()
            .count(),
        1
    );
}

proptest! {
    // Controllers that receive the same orders in different sequences, with repetitions and restarts between,
    // end with the same order for the node.
    #[test]
    fn controllers_converge_to_the_same_order(
        actions in prop::collection::vec(any::<bool>(), 1..8),
        sequences in prop::collection::vec(prop::collection::vec(0usize..8, 8..24), 3),
    ) {
        let order_at = |index: usize| {
            let action = if actions[index] { DrainAction::Drain } else { DrainAction::Undrain };
            // Pairs of orders are given in the same millisecond, and ranked by id.
            order(&format!("o{index}"), action, 10 + index as u64 / 2)
        };
        let mut newest_orders = Vec::new();
        for sequence in sequences {
            let mut registry = DrainRegistry::default();
            let indices = sequence.into_iter().filter(|index| *index < actions.len()).chain(0..actions.len());
            for (step, index) in indices.enumerate() {
                let order = order_at(index);
                let id = order.id.clone();
                if registry.submit(at(1.0), order, &[]).is_ok() {
                    registry.on_persisted(at(1.0), NODE, &id);
                }
                if step % 5 == 4 {
                    let persisted: Vec<Drain> = registry.drains().cloned().collect();
                    registry = DrainRegistry::recover(at(2.0), persisted.into_iter());
                }
            }
            newest_orders.push(registry.drain(NODE).map(|drain| (drain.order.id.clone(), drain.is_active())));
        }
        prop_assert!(newest_orders.windows(2).all(|pair| pair[0] == pair[1]), "{:?}", newest_orders);
    }
}
