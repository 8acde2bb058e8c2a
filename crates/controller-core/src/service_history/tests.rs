use super::*;
use crate::load_report::{NodeReport, OperationReport};

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn report(succeeded: u64, errored: u64, retry_count: u64, rate_limited: u64) -> LoadReport {
    let node = NodeReport {
        succeeded,
        errored,
        ..NodeReport::default()
    };
    let operation = OperationReport {
        operation: "quote".into(),
        rate_limited,
        retries: retry_count,
        nodes: vec![node],
    };
    LoadReport {
        window: Span::from_seconds(1.0),
        operations: vec![operation],
    }
}

#[test]
fn totals_between_two_times_exclude_reports_before_and_after() {
    let mut history = ServiceHistory::new(Span::from_seconds(1.0));
    let quote = |name: &str| (name == "quote").then_some(OperationId(0));
    for second in 0..20 {
        let load_report = if second < 10 {
            report(9, 1, 1, 2)
        } else {
            report(0, 10, 0, 0)
        };
        history.record(
            at(f64::from(second) + 0.5),
            ProxyId(1),
            ZoneId(0),
            &load_report,
            quote,
        );
    }
    let (before, seconds) = history.between(at(4.9), at(9.9));
    let totals = before.for_operation(OperationId(0));
    assert_eq!(
        (seconds, totals.requests, totals.succeeded, totals.failures),
        (5.0, 55.0, 45.0, 5.0)
    );
    assert_eq!(
        history
            .between(at(9.9), at(19.9))
            .0
            .for_operation(OperationId(0))
            .succeeded,
        0.0
    );
}

#[test]
fn reported_until_is_the_earliest_of_the_last_reports() {
    let mut history = ServiceHistory::new(Span::from_seconds(1.0));
    let both = || [ProxyId(1), ProxyId(2)].into_iter();
    assert_eq!(
        history.reported_until(both()),
        None,
        "no proxy has reported"
    );
    history.record(at(1.0), ProxyId(1), ZoneId(0), &report(1, 0, 0, 0), |_| {
        None
    });
    assert_eq!(
        history.reported_until(both()),
        Some(at(1.0)),
        "a proxy that has never reported is left out"
    );
    history.record(at(3.0), ProxyId(2), ZoneId(0), &report(1, 0, 0, 0), |_| {
        None
    });
    assert_eq!(history.reported_until(both()), Some(at(1.0)));
}
