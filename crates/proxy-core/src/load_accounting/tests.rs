use super::*;

const QUOTE: OperationId = OperationId(0);
const BOOK: OperationId = OperationId(1);

fn node(port: u16) -> NodeId {
    NodeId {
        address: [10, 0, 0, 1],
        port,
    }
}

#[test]
fn counts_are_reported_once_with_the_period_that_they_cover() {
    let at = Moment::from_seconds;
    let mut accounting =
        LoadAccounting::new(at(10.0), vec!["quote".to_string(), "book".to_string()]);
    let loads = [("cpu_utilization".to_string(), 0.5)];
    accounting.record_success(QUOTE, node(1), Span::from_seconds(0.2), &loads);
    accounting.record_success(QUOTE, node(1), Span::from_seconds(0.4), &loads);
    accounting.record_failure(QUOTE, node(2));
    accounting.record_rejected(QUOTE);
    let mut in_flight = InFlightAttempts::default();
    (0..4).for_each(|_| in_flight.add(QUOTE, node(3)));
    in_flight.add(BOOK, node(1));
    let report = accounting
        .take_report(at(17.5), &in_flight)
        .expect("time has passed");
    assert_eq!(report.window, Span::from_seconds(7.5));
    let quote = &report.operations[0];
    assert_eq!(
        (quote.rate_limited, quote.nodes.len()),
        (1, 3),
        "a node that only has attempts in flight is included"
    );
    let first = &quote.nodes[0];
    assert_eq!(
        (
            first.succeeded,
            first.metrics["latency_ms"].mean().map(f64::round)
        ),
        (2, Some(300.0))
    );
    assert_eq!(first.metrics["cpu_utilization"].mean(), Some(0.5));
    let second_report = accounting
        .take_report(at(18.0), &InFlightAttempts::default())
        .expect("time has passed");
    assert!(second_report
        .operations
        .iter()
        .all(|of| of.nodes.is_empty() && of.rate_limited == 0));
    assert_eq!(
        accounting.take_report(at(18.0), &InFlightAttempts::default()),
        None,
        "no report for a period of zero"
    );
    assert_eq!(
        accounting.take_report(at(999.0), &InFlightAttempts::default()),
        None,
        "no report for a period over the maximum"
    );
}
