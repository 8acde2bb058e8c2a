//! The course of requests under a clock that the test sets.

use super::*;
use crate::ejection::EjectionPolicy;
use crate::message::{AttemptOrder, ClientResponse};
use crate::retry::{Processing, RetryBudgetConfig, RetrySafety};
use crate::selection::{SelectionPolicy, WeightedNode};
use proptest::prelude::*;

const QUOTE: OperationId = OperationId(0);
const BOOK: OperationId = OperationId(1);

fn node(port: u16) -> NodeId {
    NodeId {
        address: [10, 0, 0, 1],
        port,
    }
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn config() -> CoreConfig {
    let rules = |name: &str, retry_safety| OperationRules {
        name: name.to_string(),
        retry_safety,
        integration_timeout: Span::from_seconds(4.0),
    };
    CoreConfig {
        operations: vec![
            rules("quote", RetrySafety::Idempotent),
            rules("book", RetrySafety::SideEffecting),
        ],
        selection: SelectionPolicy::WeightedRandom,
        ejection: EjectionPolicy {
            consecutive_failures: 3,
            ejection_time: Span::from_seconds(3.0),
        },
        retry_budget: RetryBudgetConfig {
            ratio: 0.5,
            burst: 100.0,
        },
        max_in_flight_per_node: 0,
    }
}

fn table(ports: &[u16], retry: RetryPolicy) -> OperationTable {
    OperationTable {
        entries: ports
            .iter()
            .map(|port| WeightedNode {
                node: node(*port),
                weight: 1000,
            })
            .collect(),
        dropped_of_million: 0,
        rate_limit: None,
        retry_policy: retry,
        per_attempt_timeout: Some(Span::from_seconds(1.0)),
        request_timeout: None,
    }
}

fn core(ports: &[u16], retry: RetryPolicy) -> ProxyCore {
    let mut core = ProxyCore::new(at(0.0), 3, config());
    core.apply_tables(
        at(0.0),
        &[(QUOTE, table(ports, retry)), (BOOK, table(ports, retry))],
    );
    core
}

fn sent(decision: Decision) -> (RequestHandle, AttemptOrder) {
    match decision.action {
        Action::Send(send) | Action::AbandonAndSend(send) => (decision.request, send),
        other => panic!("{other:?}"),
    }
}

fn failed(failure: Failure) -> AttemptOutcome {
    AttemptOutcome::Failed(failure)
}

#[test]
fn a_table_that_changes_while_a_request_is_active_rules_its_next_attempt() {
    let mut core = core(&[1, 2], RetryPolicy::OnceOnAnyFailure);
    let (id, first) = sent(core.start_request(at(0.0), QUOTE));
    // The other node drains, a third takes its place, and now two retries would be allowed.
    let new = table(&[first.node.port, 3], RetryPolicy::OnceOnAnyFailure);
    assert_eq!(core.apply_tables(at(0.1), &[(QUOTE, new)]), []);
    let (_, second) = sent(core.finish_attempt(at(0.2), id, 1, failed(Failure::Errored)));
    assert_eq!((second.node, second.number), (node(3), 2));
    // The table changes again: that makes it no new request, a third attempt is not made.
    core.apply_tables(
        at(0.3),
        &[(QUOTE, table(&[4, 5], RetryPolicy::OnceOnAnyFailure))],
    );
    let end = core.finish_attempt(at(0.4), id, 2, failed(Failure::Errored));
    assert_eq!(
        end.action,
        Action::Respond(ClientResponse::Failed(Failure::Errored))
    );
}

#[test]
fn a_node_whose_responses_get_lost_is_ejected_and_side_effects_are_not_retried() {
    let mut core = core(&[1, 2], RetryPolicy::OnceOnAnyFailure);
    let mut lost = 0;
    let mut now = 0.0;
    while core.ejection_state(node(1)) == EjectionState::Available {
        now += 0.01;
        let (id, send) = sent(core.start_request(at(now), BOOK));
        if send.node == node(2) {
            core.finish_attempt(
                at(now),
                id,
                1,
                AttemptOutcome::Succeeded { loads: Vec::new() },
            );
            continue;
        }
        assert_eq!(
            send.deadline,
            at(now) + Span::from_seconds(4.0),
            "an attempt that is not retried is waited for"
        );
        now += 4.0;
        let due = core.expire_timers(at(now));
        assert_eq!(due.len(), 1);
        assert_eq!(
            due[0].action,
            Action::AbandonAndRespond(ClientResponse::Failed(Failure::TimedOut))
        );
        lost += 1;
    }
    assert_eq!(lost, 3);
    for _ in 0..50 {
        let (id, send) = sent(core.start_request(at(now), BOOK));
        assert_eq!(send.node, node(2));
        core.finish_attempt(
            at(now),
            id,
            1,
            AttemptOutcome::Succeeded { loads: Vec::new() },
        );
    }
    // It comes back by one probation attempt at a time.
    now += 3.1;
    core.expire_timers(at(now));
    let sends: Vec<_> = (0..60)
        .map(|_| sent(core.start_request(at(now), BOOK)))
        .collect();
    let probation: Vec<_> = sends
        .iter()
        .filter(|(_, send)| send.node == node(1))
        .collect();
    assert_eq!(probation.len(), 1);
    core.finish_attempt(
        at(now),
        probation[0].0,
        1,
        AttemptOutcome::Succeeded { loads: Vec::new() },
    );
    assert_eq!(core.ejection_state(node(1)), EjectionState::Available);
}

#[test]
fn an_attempt_timeout_allows_a_retry_but_never_past_the_request_timeout() {
    let mut core = core(&[1, 2, 3], RetryPolicy::TwiceOnAnyFailure);
    let (_, first) = sent(core.start_request(at(0.0), QUOTE));
    assert_eq!(first.deadline, at(1.0));
    let (id, second) = sent(core.expire_timers(at(1.0))[0]);
    assert_eq!((second.deadline, second.number), (at(2.0), 2));
    assert_ne!(second.node, first.node);
    let (_, third) = sent(core.expire_timers(at(2.0))[0]);
    assert_eq!(third.deadline, at(4.0), "the last one is waited for");
    assert_eq!(
        core.expire_timers(at(4.0))[0].action,
        Action::AbandonAndRespond(ClientResponse::Failed(Failure::TimedOut))
    );
    assert_eq!(
        core.finish_attempt(at(4.1), id, 3, failed(Failure::Reset))
            .action,
        Action::Continue,
        "it is over"
    );
    assert_eq!(core.active_requests(), 0);
}

#[test]
fn ejected_nodes_are_used_when_no_other_is_left() {
    let mut core = core(&[1, 2], RetryPolicy::Never);
    for _ in 0..40 {
        let (id, _) = sent(core.start_request(at(0.0), QUOTE));
        core.finish_attempt(at(0.0), id, 1, failed(Failure::Connect));
    }
    assert!([1, 2]
        .iter()
        .all(|port| core.ejection_state(node(*port)) == EjectionState::Ejected));
    // None is better than another: they get requests all the same.
    let (id, _) = sent(core.start_request(at(0.1), QUOTE));
    core.finish_attempt(at(0.1), id, 1, failed(Failure::Connect));
    core.apply_tables(at(0.2), &[(QUOTE, table(&[2], RetryPolicy::IfUnprocessed))]);
    let (id, send) = sent(core.start_request(at(0.2), QUOTE));
    assert_eq!(send.node, node(2));
    // There is no other node for the retry that the policy would allow.
    let end = core.finish_attempt(at(0.2), id, 1, failed(Failure::Connect));
    assert_eq!(
        end.action,
        Action::Respond(ClientResponse::Failed(Failure::Connect))
    );
    core.apply_tables(at(0.3), &[]);
    assert_eq!(
        core.start_request(at(0.3), QUOTE).action,
        Action::Respond(ClientResponse::NoNode)
    );
}

#[test]
fn a_table_that_admits_nothing_rejects_active_requests_at_once() {
    let mut core = core(&[1, 2], RetryPolicy::Never);
    let (id, _) = sent(core.start_request(at(0.0), QUOTE));
    let shut = OperationTable {
        dropped_of_million: 1_000_000,
        ..table(&[1, 2], RetryPolicy::Never)
    };
    let decisions = core.apply_tables(
        at(0.1),
        &[(QUOTE, shut), (BOOK, table(&[1, 2], RetryPolicy::Never))],
    );
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].request, id);
    assert!(matches!(
        decisions[0].action,
        Action::AbandonAndRespond(ClientResponse::RateLimited { .. })
    ));
    assert!(matches!(
        core.start_request(at(0.1), QUOTE).action,
        Action::Respond(ClientResponse::RateLimited { .. })
    ));
    assert!(matches!(
        core.start_request(at(0.1), BOOK).action,
        Action::Send(_)
    ));
}

#[test]
fn a_node_gets_no_more_than_its_limit_in_flight() {
    let mut core = ProxyCore::new(
        at(0.0),
        3,
        CoreConfig {
            max_in_flight_per_node: 2,
            ..config()
        },
    );
    core.apply_tables(at(0.0), &[(QUOTE, table(&[1, 2], RetryPolicy::Never))]);
    let sends: Vec<_> = (0..4)
        .map(|_| sent(core.start_request(at(0.0), QUOTE)))
        .collect();
    assert_eq!(
        sends
            .iter()
            .filter(|(_, send)| send.node == node(1))
            .count(),
        2
    );
    assert_eq!(
        core.start_request(at(0.0), QUOTE).action,
        Action::Respond(ClientResponse::NoNode)
    );
    core.cancel_request(at(0.1), sends[0].0);
    assert_eq!(
        sent(core.start_request(at(0.1), QUOTE)).1.node,
        sends[0].1.node
    );
}

#[test]
fn a_response_that_has_begun_is_followed_by_no_other_attempt() {
    let mut core = core(&[1, 2], RetryPolicy::TwiceOnAnyFailure);
    let (id, send) = sent(core.start_request(at(0.0), QUOTE));
    assert_eq!(send.deadline, at(1.0));
    core.start_response(id, 1);
    assert_eq!(core.expire_timers(at(2.0)), [], "it is waited for");
    let end = core.finish_attempt(
        at(3.0),
        id,
        1,
        AttemptOutcome::FailedMidResponse(Failure::Reset),
    );
    assert_eq!(
        end.action,
        Action::Respond(ClientResponse::Failed(Failure::Reset))
    );
    let (id, _) = sent(core.start_request(at(3.0), QUOTE));
    core.start_response(id, 1);
    let late = core.expire_timers(at(7.0));
    assert_eq!(
        late[0].action,
        Action::AbandonAndRespond(ClientResponse::Failed(Failure::TimedOut))
    );
}

#[test]
fn retries_and_attempts_in_flight_are_reported() {
    let mut core = core(&[1, 2], RetryPolicy::OnceOnAnyFailure);
    let (id, _) = sent(core.start_request(at(0.0), QUOTE));
    let (_, second) = sent(core.finish_attempt(at(0.3), id, 1, failed(Failure::Reset)));
    core.start_request(at(0.4), BOOK);
    core.finish_attempt(
        at(0.5),
        id,
        2,
        AttemptOutcome::Succeeded { loads: Vec::new() },
    );
    let report = core.take_load_report(at(1.0)).expect("time has passed");
    let quote = &report.operations[0];
    assert_eq!((quote.retries, quote.nodes.len()), (1, 2));
    let good = quote
        .nodes
        .iter()
        .find(|met| met.node == Some(second.node))
        .expect("met");
    assert_eq!((good.succeeded, good.errored), (1, 0));
    assert_eq!(
        good.metrics["latency_ms"].mean().map(f64::round),
        Some(200.0),
        "of the attempt, not of the whole request"
    );
    let open: u64 = report.operations[1]
        .nodes
        .iter()
        .map(|met| met.in_progress)
        .sum();
    assert_eq!(open, 1);
}

#[test]
fn the_same_seed_selects_the_same_nodes() {
    let selections = || {
        let mut core = core(&[1, 2, 3, 4], RetryPolicy::Never);
        (0..200)
            .map(|_| sent(core.start_request(at(0.0), QUOTE)).1.node.port)
            .collect::<Vec<_>>()
    };
    assert_eq!(selections(), selections());
}

proptest! {
    // Whatever happens in whatever order: counts agree, no side-effecting request is retried after an attempt that
    // may have been processed, and nobody waits past the timeout.
    #[test]
    fn counts_agree_and_no_side_effect_is_retried(steps in prop::collection::vec((0u8..7, 0usize..8, 0u64..900), 1..300), seed in any::<u64>()) {
        let mut core = ProxyCore::new(at(0.0), seed, config());
        let retries = [RetryPolicy::Never, RetryPolicy::IfUnprocessed, RetryPolicy::OnceOnAnyFailure, RetryPolicy::TwiceOnAnyFailure];
        let failures = [Failure::Connect, Failure::Unsent, Failure::Reset, Failure::Refused, Failure::Errored,
            Failure::Garbled, Failure::TimedOut];
        let mut now = at(0.0);
        let mut open: BTreeMap<RequestHandle, (u32, OperationId, Moment, bool)> = BTreeMap::new();
        let mut all = vec![(QUOTE, table(&[1, 2, 3], RetryPolicy::OnceOnAnyFailure)), (BOOK, table(&[1, 2, 3], RetryPolicy::OnceOnAnyFailure))];
        core.apply_tables(now, &all);
        for (what, which, wait) in steps {
            now = now + Span::from_seconds(wait as f64 / 1000.0);
            let chosen = open.keys().nth(which % open.len().max(1)).copied();
            let mut decisions = core.expire_timers(now);
            match (what, chosen) {
                (0 | 1, _) => {
                    let operation = OperationId((which % 2) as u8);
                    let decision = core.start_request(now, operation);
                    if matches!(decision.action, Action::Send(_)) {
                        open.insert(decision.request, (0, operation, now + Span::from_seconds(4.0), false));
                    }
                    decisions.push(decision);
                }
                (2, Some(id)) => decisions.push(core.finish_attempt(now, id, open[&id].0, AttemptOutcome::Succeeded { loads: Vec::new() })),
                (3 | 4, Some(id)) => {
                    let failure = failures[which % failures.len()];
                    if let Some(known) = open.get_mut(&id) {
                        known.3 |= failure.processing() == Processing::MaybeProcessed;
                    }
                    decisions.push(core.finish_attempt(now, id, open[&id].0, failed(failure)));
                }
                (5, Some(id)) => decisions.push(core.cancel_request(now, id)),
                (6, _) => {
                    let ports: Vec<u16> = (1..=(which as u16 % 4)).collect();
                    all[0].1 = table(&ports, retries[which % 4]);
                    decisions.extend(core.apply_tables(now, &all));
                }
                _ => {}
            }
            for decision in decisions {
                match decision.action {
                    Action::Send(send) | Action::AbandonAndSend(send) => {
                        let known = open.get_mut(&decision.request).expect("it is under way");
                        prop_assert_eq!(send.number, known.0 + 1);
                        prop_assert!(known.0 == 0 || known.1 == QUOTE || !known.3, "retried though it may have been processed");
                        prop_assert!(send.deadline <= known.2 && send.number <= 3);
                        // An attempt that was given up for being late may have been processed as well.
                        known.3 |= matches!(decision.action, Action::AbandonAndSend(_));
                        known.0 = send.number;
                    }
                    Action::Respond(_) | Action::AbandonAndRespond(_) => drop(open.remove(&decision.request)),
                    Action::Continue => {}
                }
            }
            prop_assert!(open.values().all(|known| known.2 > now), "somebody waits past the timeout");
            prop_assert_eq!(core.active_requests(), open.len());
            prop_assert_eq!(core.in_flight.total(), open.len() as u64);
            prop_assert_eq!(core.attempt_timers.len(), open.len());
        }
    }
}
