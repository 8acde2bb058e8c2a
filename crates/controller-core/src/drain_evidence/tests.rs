use super::*;
use crate::load_report::{NodeReport, OperationReport};
use wheelspread::time::Span;

fn traffic(attempts: u64, reporting_proxies: usize) -> ReportedTraffic {
    ReportedTraffic {
        attempts,
        reporting_proxies,
    }
}

#[test]
fn only_report_intervals_that_began_after_the_watch_are_counted() {
    let (at, node) = (
        Moment::from_seconds,
        NodeId {
            address: [127, 0, 0, 1],
            port: 9,
        },
    );
    let reported = NodeReport {
        node: Some(node),
        succeeded: 3,
        errored: 1,
        ..NodeReport::default()
    };
    let operation = OperationReport {
        nodes: vec![reported],
        ..OperationReport::default()
    };
    let report = LoadReport {
        window: Span::from_seconds(1.0),
        operations: vec![operation],
    };
    let mut evidence = DrainEvidence::default();
    evidence.watch(at(10.0), node);
    evidence.record_report(at(10.5), ProxyId(1), &report);
    assert_eq!(
        evidence.reported_traffic(node),
        traffic(0, 0),
        "half of the report interval lies before the watch"
    );
    evidence.record_report(at(11.0), ProxyId(1), &report);
    evidence.record_report(
        at(12.0),
        ProxyId(1),
        &LoadReport {
            operations: Vec::new(),
            ..report.clone()
        },
    );
    evidence.record_report(at(12.0), ProxyId(2), &report);
    assert_eq!(evidence.reported_traffic(node), traffic(8, 2));
    evidence.watch(at(13.0), node);
    assert_eq!(evidence.reported_traffic(node), traffic(0, 0));
}
