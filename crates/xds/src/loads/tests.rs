//! Encoding and decoding of load reports.

use super::*;
use proptest::prelude::*;
use wheelspread::ids::NodeId;

fn node_report(port: u16, succeeded: u64, errored: u64, latency: f64) -> NodeReport {
    NodeReport {
        node: Some(NodeId {
            address: [127, 0, 0, 1],
            port,
        }),
        succeeded,
        errored,
        in_progress: 1,
        metrics: [(
            "latency_ms".to_string(),
            Metric {
                count: succeeded,
                total: latency,
            },
        )]
        .into(),
    }
}

proptest! {
    #[test]
    fn a_report_is_decoded_as_it_was_encoded(
        nodes in prop::collection::vec((1u16..9000, 0u64..1000, 0u64..1000, 0.0f64..1e6), 0..30),
        retries in 0u64..5, us in 1i64..10_000_000,
    ) {
        let nodes: Vec<NodeReport> = nodes.iter().map(|n| node_report(n.0, n.1, n.2, n.3)).collect();
        let retries = if nodes.is_empty() { 0 } else { retries };
        let quote = OperationReport { operation: "quote".into(), rate_limited: 3, retries, nodes };
        let sent = LoadReport { window: Span::from_seconds(us as f64 / 1e6), operations: vec![quote] };
        let bytes = request(&sent, |_| "north".to_string()).encode_to_vec();
        prop_assert_eq!(report(&decode_request(&bytes).expect("decodes")), Some(sent));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = decode_request(&bytes) {
            let _ = (identity(&request), report(&request));
        }
        let _ = decode_response(&bytes);
    }
}

#[test]
fn a_proxy_identity_and_an_interval_are_decoded_as_they_were_encoded() {
    let sent = ProxyIdentity {
        name: "g1".into(),
        zone: "north".into(),
        usual_rate: Some(12.5),
    };
    let request = identity_request(&sent);
    assert_eq!((identity(&request), report(&request)), (Some(sent), None));
    assert_eq!(
        decode_response(&response(Span::from_seconds(0.5))),
        Ok(Span::from_seconds(0.5))
    );
}
