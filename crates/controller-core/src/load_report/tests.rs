use super::*;
use crate::deployment::tests::plan;
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
            .open(Moment::from_seconds(0.0), StreamId(number), &who, &plan())
            .expect("fine");
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
    // Two proxies at 10 a second: one reported twice within the period, the other once.
    let (mut sums, members) = (LoadAggregator::default(), members(2));
    for (proxy, seconds, count) in [(0, 1.0, 10), (0, 1.0, 10), (1, 1.0, 10)] {
        let sent = report(seconds, count, 0, 2);
        sums.add_report(ProxyId(proxy), ZoneId(0), &sent, &plan(), |_| true)
            .expect("fine");
    }
    let events = sums.take_events(&members);
    let Event::NodeLoadReport {
        attempts: tries,
        window: over,
        mean_latency: latency,
        ..
    } = &events[0]
    else {
        panic!("{events:?}")
    };
    assert_eq!(
        (tries / over.seconds(), latency.seconds()),
        (20.0, 0.2),
        "two in progress at ten a second"
    );
    let offered = |event: &Event| match event {
        Event::DemandReport {
            proxy,
            operation,
            requests: count,
            window: over,
            ..
        } => Some((proxy.0, operation.0, *count, over.seconds())),
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
    assert_eq!(sums.take_events(&members), [], "events are taken once");
}

#[test]
fn retries_are_not_demand_and_rejected_requests_are() {
    let (mut sums, members) = (LoadAggregator::default(), members(1));
    let mut sent = report(1.0, 8, 4, 0);
    (sent.operations[0].retries, sent.operations[0].rate_limited) = (2, 5);
    sums.add_report(ProxyId(0), ZoneId(0), &sent, &plan(), |_| true)
        .expect("fine");
    let events = sums.take_events(&members);
    assert!(events.iter().any(
        |event| matches!(event, Event::DemandReport { requests: count, .. } if *count == 15.0)
    ));
}

#[test_case(report(0.0, 1, 0, 0); "no span")]
#[test_case(report(1e6, 1, 0, 0); "days")]
#[test_case(report(1.0, u64::MAX, u64::MAX, 0); "more than can be counted")]
#[test_case(LoadReport { operations: vec![OperationReport { retries: 9, ..Default::default() }], ..report(1.0, 0, 0, 0) };
    "more repeats than tries")]
fn impossible_reports_change_nothing(sent: LoadReport) {
    let mut sums = LoadAggregator::default();
    assert!(sums
        .add_report(ProxyId(0), ZoneId(0), &sent, &plan(), |_| true)
        .is_err());
    assert_eq!(sums.take_events(&members(1)), []);
}

#[test]
fn unknown_nodes_are_counted_apart() {
    let mut sums = LoadAggregator::default();
    sums.add_report(
        ProxyId(0),
        ZoneId(0),
        &report(1.0, 5, 0, 0),
        &plan(),
        |_| false,
    )
    .expect("fine");
    assert_eq!(sums.unknown_nodes, 1);
    assert!(!sums
        .take_events(&members(1))
        .iter()
        .any(|event| matches!(event, Event::NodeLoadReport { .. })));
}
