use super::*;
use crate::load_report::{NodeReport, OperationReport};

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn report(succeeded: u64, errored: u64, repeats: u64, rate_limited: u64) -> LoadReport {
    let node = NodeReport {
        succeeded,
        errored,
        ..NodeReport::default()
    };
    let operation = OperationReport {
        operation: "quote".into(),
        rate_limited,
        retries: repeats,
        nodes: vec![node],
    };
    LoadReport {
        window: Span::from_seconds(1.0),
        operations: vec![operation],
    }
}

#[test]
fn a_window_excludes_reports_before_and_after() {
    let mut measured = ServiceHistory::new(Span::from_seconds(1.0));
    let quote = |name: &str| (name == "quote").then_some(OperationId(0));
    for second in 0..20 {
        let sent = if second < 10 {
            report(9, 1, 1, 2)
        } else {
            report(0, 10, 0, 0)
        };
        measured.record(
            at(f64::from(second) + 0.5),
            ProxyId(1),
            ZoneId(0),
            &sent,
            quote,
        );
    }
    let (before, seconds) = measured.between(at(4.9), at(9.9));
    let tally = before.of(OperationId(0));
    assert_eq!(
        (seconds, tally.requests, tally.succeeded, tally.failures),
        (5.0, 55.0, 45.0, 5.0)
    );
    assert_eq!(
        measured
            .between(at(9.9), at(19.9))
            .0
            .of(OperationId(0))
            .succeeded,
        0.0
    );
}

#[test]
fn known_until_ends_at_the_least_recent_report() {
    let mut measured = ServiceHistory::new(Span::from_seconds(1.0));
    let both = || [ProxyId(1), ProxyId(2)].into_iter();
    assert_eq!(measured.reported_until(both()), None, "nobody has reported");
    measured.record(at(1.0), ProxyId(1), ZoneId(0), &report(1, 0, 0, 0), |_| {
        None
    });
    assert_eq!(
        measured.reported_until(both()),
        Some(at(1.0)),
        "the other may never"
    );
    measured.record(at(3.0), ProxyId(2), ZoneId(0), &report(1, 0, 0, 0), |_| {
        None
    });
    assert_eq!(measured.reported_until(both()), Some(at(1.0)));
}
