use super::*;

const QUOTE: OperationId = OperationId(0);

fn node(port: u16) -> NodeId {
    NodeId {
        address: [10, 0, 0, 1],
        port,
    }
}

#[test]
fn what_was_met_is_told_once_and_dated_by_its_span() {
    let at = Moment::from_seconds;
    let mut tally = LoadAccounting::new(at(10.0), vec!["quote".to_string(), "book".to_string()]);
    let loads = [("cpu_utilization".to_string(), 0.5)];
    tally.succeeded(QUOTE, node(1), Span::from_seconds(0.2), &loads);
    tally.succeeded(QUOTE, node(1), Span::from_seconds(0.4), &loads);
    tally.errored(QUOTE, node(2));
    tally.rate_limited(QUOTE);
    let open = BTreeMap::from([((QUOTE, node(3)), 4), ((OperationId(1), node(1)), 1)]);
    let report = tally.report(at(17.5), &open).expect("time has passed");
    assert_eq!(report.over, Span::from_seconds(7.5));
    let quote = &report.operations[0];
    assert_eq!(
        (quote.rate_limited, quote.nodes.len()),
        (1, 3),
        "one that only has tries open is told too"
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
    let again = tally
        .report(at(18.0), &BTreeMap::new())
        .expect("time has passed");
    assert!(again
        .operations
        .iter()
        .all(|of| of.nodes.is_empty() && of.rate_limited == 0));
    assert_eq!(
        tally.report(at(18.0), &BTreeMap::new()),
        None,
        "no time, no report"
    );
    assert_eq!(
        tally.report(at(999.0), &BTreeMap::new()),
        None,
        "too old to tell anything"
    );
}
