use super::*;
use crate::load_report::{NodeReport, OperationReport};
use wheelspread::time::Span;

#[test]
fn only_spans_that_began_after_the_moment_count() {
    let (at, node) = (
        Moment::from_seconds,
        NodeId {
            address: [127, 0, 0, 1],
            port: 9,
        },
    );
    let met = NodeReport {
        node: Some(node),
        succeeded: 3,
        errored: 1,
        ..NodeReport::default()
    };
    let operation = OperationReport {
        nodes: vec![met],
        ..OperationReport::default()
    };
    let report = LoadReport {
        over: Span::from_seconds(1.0),
        operations: vec![operation],
    };
    let mut quiet = DrainEvidence::default();
    quiet.watch(at(10.0), node);
    quiet.hear(at(10.5), ProxyId(1), &report);
    assert_eq!(quiet.of(node), (0, 0), "half of it was before");
    quiet.hear(at(11.0), ProxyId(1), &report);
    quiet.hear(
        at(12.0),
        ProxyId(1),
        &LoadReport {
            operations: Vec::new(),
            ..report.clone()
        },
    );
    quiet.hear(at(12.0), ProxyId(2), &report);
    assert_eq!(quiet.of(node), (8, 2));
    quiet.watch(at(13.0), node);
    assert_eq!(quiet.of(node), (0, 0));
}
