use super::*;
use crate::deployment::tests::test_deployment;
use crate::membership::{Membership, ProxyIdentity, StreamId};
use test_case::test_case;
use wheelspread::ids::{ProxyId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::Event;

const NODE: NodeId = NodeId {
    address: [127, 0, 0, 1],
    port: 9,
};

fn members(count: u64) -> Membership {
    let mut members = Membership::default();
    for number in 0..count {
        let who = ProxyIdentity {
            name: format!("p{number}"),
            zone: "north".into(),
            usual_rate: None,
        };
        members
            .open(
                Moment::from_seconds(0.0),
                StreamId(number),
                &who,
                &test_deployment(),
            )
            .expect("the proxy can join");
    }
    members
}

fn report(seconds: f64, succeeded: u64, errored: u64, in_progress: u64) -> LoadReport {
    let node = NodeReport {
        node: Some(NODE),
        succeeded,
        errored,
        in_progress,
        ..NodeReport::default()
    };
    let quote = OperationReport {
        operation: "quote".into(),
        nodes: vec![node],
        ..OperationReport::default()
    };
    LoadReport {
        window: Span::from_seconds(seconds),
        operations: vec![quote],
    }
}

#[test]
fn reports_of_unequal_windows_give_the_observed_rate() {
    // Two proxies with 10 requests per second each: one reports twice within the period, the other once.
    let (mut aggregator, members) = (LoadAggregator::default(), members(2));
    for (proxy, seconds, count) in [(0, 1.0, 10), (0, 1.0, 10), (1, 1.0, 10)] {
        let load_report = report(seconds, count, 0, 2);
        aggregator
            .add_report(
                ProxyId(proxy),
                ZoneId(0),
                &load_report,
                &test_deployment(),
                |_| true,
            )
            .expect("valid report");
    }
    let events = aggregator.take_events(&members);
    let Event::NodeLoadReport {
        attempts: attempt_count,
        window: covered,
        mean_latency: latency,
        ..
    } = &events[0]
    else {
        panic!("{events:?}")
    };
    assert_eq!(
        (attempt_count / covered.seconds(), latency.seconds()),
        (20.0, 0.2),
        "two in flight at ten per second mean a latency of 0.2 s"
    );
    let offered = |event: &Event| match event {
        Event::DemandReport {
            proxy,
            operation,
            requests: request_count,
            window: covered,
            ..
        } => Some((proxy.0, operation.0, *request_count, covered.seconds())),
        _ => None,
    };
    let offered: Vec<_> = events.iter().filter_map(offered).collect();
    assert_eq!(
        offered,
        [
            (0, 0, 20.0, 2.0),
            (0, 1, 0.0, 2.0),
            (1, 0, 10.0, 1.0),
            (1, 1, 0.0, 1.0)
        ]
    );
    assert_eq!(
        aggregator.take_events(&members),
        [],
        "events are returned once"
    );
}

#[test]
fn demand_excludes_retries_and_includes_rejected_requests() {
    let (mut aggregator, members) = (LoadAggregator::default(), members(1));
    let mut load_report = report(1.0, 8, 4, 0);
    (
        load_report.operations[0].retries,
        load_report.operations[0].rate_limited,
    ) = (2, 5);
    aggregator
        .add_report(
            ProxyId(0),
            ZoneId(0),
            &load_report,
            &test_deployment(),
            |_| true,
        )
        .expect("valid report");
    let events = aggregator.take_events(&members);
    assert!(events.iter().any(
        |event| matches!(event, Event::DemandReport { requests: request_count, .. } if *request_count == 15.0)
    ));
}

#[test_case(report(0.0, 1, 0, 0); "window of zero")]
#[test_case(report(1e6, 1, 0, 0); "window of days")]
#[test_case(report(1.0, u64::MAX, u64::MAX, 0); "more requests than a proxy can serve")]
#[test_case(LoadReport { operations: vec![OperationReport { retries: 9, ..Default::default() }], ..report(1.0, 0, 0, 0) };
    "more retries than attempts")]
fn invalid_reports_are_rejected_as_a_whole(load_report: LoadReport) {
    let mut aggregator = LoadAggregator::default();
    assert!(aggregator
        .add_report(
            ProxyId(0),
            ZoneId(0),
            &load_report,
            &test_deployment(),
            |_| true
        )
        .is_err());
    assert_eq!(aggregator.take_events(&members(1)), []);
}

#[test]
fn reports_of_unlisted_nodes_are_counted_and_give_no_event() {
    let mut aggregator = LoadAggregator::default();
    aggregator
        .add_report(
            ProxyId(0),
            ZoneId(0),
            &report(1.0, 5, 0, 0),
            &test_deployment(),
            |_| false,
        )
        .expect("valid report");
    assert_eq!(aggregator.unknown_nodes, 1);
    assert!(!aggregator
        .take_events(&members(1))
        .iter()
        .any(|event| matches!(event, Event::NodeLoadReport { .. })));
}
