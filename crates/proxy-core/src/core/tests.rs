//! Tests of the request lifecycle, with a clock that the test sets.

use super::*;
use crate::ejection::EjectionPolicy;
use crate::message::{AttemptSpec, ClientResponse};
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

fn sent(decision: Decision) -> (RequestHandle, AttemptSpec) {
    match decision.action {
        Action::Send(attempt) | Action::AbandonAndSend(attempt) => (decision.request, attempt),
        other => panic!("{other:?}"),
    }
}

fn failed(failure: Failure) -> AttemptOutcome {
    AttemptOutcome::Failed(failure)
}

#[test]
fn a_table_change_during_a_request_applies_to_its_next_attempt() {
    let mut core = core(&[1, 2], RetryPolicy::OnceOnAnyFailure);
    let (id, first) = sent(core.start_request(at(0.0), QUOTE));
    // The other node drains and a third node replaces it in the new table.
    let new = table(&[first.node.port, 3], RetryPolicy::OnceOnAnyFailure);
    assert_eq!(core.apply_tables(at(0.1), &[(QUOTE, new)]), []);
    let (_, second) = sent(core.finish_attempt(at(0.2), id, 1, failed(Failure::Errored)));
    assert_eq!((second.node, second.number), (node(3), 2));
    // A further table change does not reset the count of attempts, so no third attempt is made.
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
fn a_node_whose_responses_time_out_is_ejected_and_side_effecting_requests_are_not_retried() {
    let mut core = core(&[1, 2], RetryPolicy::OnceOnAnyFailure);
    let mut timed_out = 0;
    let mut now = 0.0;
    while core.ejection_state(node(1)) == EjectionState::Available {
        now += 0.01;
        let (id, attempt) = sent(core.start_request(at(now), BOOK));
        if attempt.node == node(2) {
            core.finish_attempt(
                at(now),
                id,
                1,
                AttemptOutcome::Succeeded { loads: Vec::new() },
            );
            continue;
        }
        assert_eq!(
            attempt.deadline,
            at(now) + Span::from_seconds(4.0),
            "an attempt that is not retried may take until the request deadline"
        );
        now += 4.0;
        let due = core.expire_timers(at(now));
        assert_eq!(due.len(), 1);
        assert_eq!(
            due[0].action,
            Action::AbandonAndRespond(ClientResponse::Failed(Failure::TimedOut))
        );
        timed_out += 1;
    }
    assert_eq!(timed_out, 3);
    for _ in 0..50 {
        let (id, attempt) = sent(core.start_request(at(now), BOOK));
        assert_eq!(attempt.node, node(2));
        core.finish_attempt(
            at(now),
            id,
            1,
            AttemptOutcome::Succeeded { loads: Vec::new() },
        );
    }
    // After the ejection the node gets one probation attempt at a time.
    now += 3.1;
    core.expire_timers(at(now));
    let attempts: Vec<_> = (0..60)
        .map(|_| sent(core.start_request(at(now), BOOK)))
        .collect();
    let probation: Vec<_> = attempts
        .iter()
        .filter(|(_, attempt)| attempt.node == node(1))
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
fn a_timed_out_attempt_is_retried_but_not_past_the_request_deadline() {
    let mut core = core(&[1, 2, 3], RetryPolicy::TwiceOnAnyFailure);
    let (_, first) = sent(core.start_request(at(0.0), QUOTE));
    assert_eq!(first.deadline, at(1.0));
    let (id, second) = sent(core.expire_timers(at(1.0))[0]);
    assert_eq!((second.deadline, second.number), (at(2.0), 2));
    assert_ne!(second.node, first.node);
    let (_, third) = sent(core.expire_timers(at(2.0))[0]);
    assert_eq!(
        third.deadline,
        at(4.0),
        "the last attempt may take until the request deadline"
    );
    assert_eq!(
        core.expire_timers(at(4.0))[0].action,
        Action::AbandonAndRespond(ClientResponse::Failed(Failure::TimedOut))
    );
    assert_eq!(
        core.finish_attempt(at(4.1), id, 3, failed(Failure::Reset))
            .action,
        Action::Continue,
        "the request has already finished"
    );
    assert_eq!(core.active_requests(), 0);
}

#[test]
fn ejected_nodes_are_used_when_no_other_node_is_available() {
    let mut core = core(&[1, 2], RetryPolicy::Never);
    for _ in 0..40 {
        let (id, _) = sent(core.start_request(at(0.0), QUOTE));
        core.finish_attempt(at(0.0), id, 1, failed(Failure::Connect));
    }
    assert!([1, 2]
        .iter()
        .all(|port| core.ejection_state(node(*port)) == EjectionState::Ejected));
    // All nodes are ejected, so they get requests nevertheless.
    let (id, _) = sent(core.start_request(at(0.1), QUOTE));
    core.finish_attempt(at(0.1), id, 1, failed(Failure::Connect));
    core.apply_tables(at(0.2), &[(QUOTE, table(&[2], RetryPolicy::IfUnprocessed))]);
    let (id, attempt) = sent(core.start_request(at(0.2), QUOTE));
    assert_eq!(attempt.node, node(2));
    // The policy allows a retry, but there is no other node for it.
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
fn a_table_that_admits_nothing_rejects_active_requests_immediately() {
    let mut core = core(&[1, 2], RetryPolicy::Never);
    let (id, _) = sent(core.start_request(at(0.0), QUOTE));
    let rejecting_table = OperationTable {
        dropped_of_million: 1_000_000,
        ..table(&[1, 2], RetryPolicy::Never)
    };
    let decisions = core.apply_tables(
        at(0.1),
        &[
            (QUOTE, rejecting_table),
            (BOOK, table(&[1, 2], RetryPolicy::Never)),
        ],
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
fn attempts_in_flight_at_a_node_stay_within_the_limit() {
    let mut core = ProxyCore::new(
        at(0.0),
        3,
        CoreConfig {
            max_in_flight_per_node: 2,
            ..config()
        },
    );
    core.apply_tables(at(0.0), &[(QUOTE, table(&[1, 2], RetryPolicy::Never))]);
    let attempts: Vec<_> = (0..4)
        .map(|_| sent(core.start_request(at(0.0), QUOTE)))
        .collect();
    assert_eq!(
        attempts
            .iter()
            .filter(|(_, attempt)| attempt.node == node(1))
            .count(),
        2
    );
    assert_eq!(
        core.start_request(at(0.0), QUOTE).action,
        Action::Respond(ClientResponse::NoNode)
    );
    core.cancel_request(at(0.1), attempts[0].0);
    assert_eq!(
        sent(core.start_request(at(0.1), QUOTE)).1.node,
        attempts[0].1.node
    );
}

#[test]
fn a_request_is_not_retried_after_its_response_has_started() {
    let mut core = core(&[1, 2], RetryPolicy::TwiceOnAnyFailure);
    let (id, attempt) = sent(core.start_request(at(0.0), QUOTE));
    assert_eq!(attempt.deadline, at(1.0));
    core.start_response(id, 1);
    assert_eq!(
        core.expire_timers(at(2.0)),
        [],
        "a started response may take until the request deadline"
    );
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
    let timed_out = core.expire_timers(at(7.0));
    assert_eq!(
        timed_out[0].action,
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
    let successful = quote
        .nodes
        .iter()
        .find(|report| report.node == Some(second.node))
        .expect("the node of the second attempt is reported");
    assert_eq!((successful.succeeded, successful.errored), (1, 0));
    assert_eq!(
        successful.metrics["latency_ms"].mean().map(f64::round),
        Some(200.0),
        "the latency is that of the attempt, not of the whole request"
    );
    let book_in_progress: u64 = report.operations[1]
        .nodes
        .iter()
        .map(|report| report.in_progress)
        .sum();
    assert_eq!(book_in_progress, 1);
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
    // For any sequence of events: all counts agree, no side-effecting request is retried after an attempt that may
    // have been processed, and no request stays active past its deadline.
    #[test]
    fn counts_agree_and_no_side_effecting_request_is_retried_after_possible_processing(steps in prop::collection::vec((0u8..7, 0usize..8, 0u64..900), 1..300), seed in any::<u64>()) {
        let mut core = ProxyCore::new(at(0.0), seed, config());
        let retries = [RetryPolicy::Never, RetryPolicy::IfUnprocessed, RetryPolicy::OnceOnAnyFailure, RetryPolicy::TwiceOnAnyFailure];
        let failures = [Failure::Connect, Failure::Unsent, Failure::Reset, Failure::Refused, Failure::Errored,
            Failure::Garbled, Failure::TimedOut];
        let mut now = at(0.0);
        // For each active request: attempts sent, operation, deadline, and whether an attempt may have been processed.
        let mut active: BTreeMap<RequestHandle, (u32, OperationId, Moment, bool)> = BTreeMap::new();
        let mut tables = vec![(QUOTE, table(&[1, 2, 3], RetryPolicy::OnceOnAnyFailure)), (BOOK, table(&[1, 2, 3], RetryPolicy::OnceOnAnyFailure))];
        core.apply_tables(now, &tables);
        for (event, choice, wait) in steps {
            now = now + Span::from_seconds(wait as f64 / 1000.0);
            let active_request = active.keys().nth(choice % active.len().max(1)).copied();
            let mut decisions = core.expire_timers(now);
            match (event, active_request) {
                (0 | 1, _) => {
                    let operation = OperationId((choice % 2) as u8);
                    let decision = core.start_request(now, operation);
                    if matches!(decision.action, Action::Send(_)) {
                        active.insert(decision.request, (0, operation, now + Span::from_seconds(4.0), false));
                    }
                    decisions.push(decision);
                }
                (2, Some(id)) => decisions.push(core.finish_attempt(now, id, active[&id].0, AttemptOutcome::Succeeded { loads: Vec::new() })),
                (3 | 4, Some(id)) => {
                    let failure = failures[choice % failures.len()];
                    if let Some(model) = active.get_mut(&id) {
                        model.3 |= failure.processing() == Processing::MaybeProcessed;
                    }
                    decisions.push(core.finish_attempt(now, id, active[&id].0, failed(failure)));
                }
                (5, Some(id)) => decisions.push(core.cancel_request(now, id)),
                (6, _) => {
                    let ports: Vec<u16> = (1..=(choice as u16 % 4)).collect();
                    tables[0].1 = table(&ports, retries[choice % 4]);
                    decisions.extend(core.apply_tables(now, &tables));
                }
                _ => {}
            }
            for decision in decisions {
                match decision.action {
                    Action::Send(attempt) | Action::AbandonAndSend(attempt) => {
                        let model = active.get_mut(&decision.request).expect("the request is active");
                        prop_assert_eq!(attempt.number, model.0 + 1);
                        prop_assert!(model.0 == 0 || model.1 == QUOTE || !model.3, "retried although an attempt may have been processed");
                        prop_assert!(attempt.deadline <= model.2 && attempt.number <= 3);
                        // A timed-out attempt may have been processed as well.
                        model.3 |= matches!(decision.action, Action::AbandonAndSend(_));
                        model.0 = attempt.number;
                    }
                    Action::Respond(_) | Action::AbandonAndRespond(_) => drop(active.remove(&decision.request)),
                    Action::Continue => {}
                }
            }
            prop_assert!(active.values().all(|model| model.2 > now), "a request is active past its deadline");
            prop_assert_eq!(core.active_requests(), active.len());
            prop_assert_eq!(core.in_flight.total(), active.len() as u64);
            prop_assert_eq!(core.attempt_timers.len(), active.len());
        }
    }
}
