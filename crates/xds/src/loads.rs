//! Sums on the load reporting service's stream. The first request introduces the proxy (node id, zone,
//! and in its metadata `usual_rate`); each brings counts by cluster (operation), zone and endpoint.

use crate::{address, content, node_id, Unreadable};
use prost::Message;
use std::collections::BTreeMap;
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, Metric, NodeReport, OperationReport};
use wheelspread_controller_core::membership::Introduction;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::{value::Kind, Duration, Struct, Value};

/// The path of the stream.
pub const METHOD: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// Beside a zone's counts: tries that repeated an earlier one, where a proxy tells them apart.
const REPEATS: &str = "repeats";

pub fn decode_request(bytes: &[u8]) -> Result<LoadStatsRequest, Unreadable> {
    LoadStatsRequest::decode(bytes).map_err(|e| content("a report", e.to_string()))
}

pub fn decode_response(bytes: &[u8]) -> Result<Span, Unreadable> {
    let response =
        LoadStatsResponse::decode(bytes).map_err(|e| content("an answer", e.to_string()))?;
    let interval = response.load_reporting_interval.unwrap_or(Duration {
        seconds: 1,
        nanos: 0,
    });
    Ok(Span::from_seconds(
        interval.seconds as f64 + f64::from(interval.nanos) / 1e9,
    ))
}

/// Asks for reports of all clusters, by endpoint, at each period.
pub fn response(period: Span) -> Vec<u8> {
    let us = period.micros();
    let interval = Duration {
        seconds: us / 1_000_000,
        nanos: (us % 1_000_000) as i32 * 1000,
    };
    LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(interval),
        report_endpoint_granularity: true,
        ..LoadStatsResponse::default()
    }
    .encode_to_vec()
}

pub fn introduction(request: &LoadStatsRequest) -> Option<Introduction> {
    request.node.as_ref().map(introduced)
}

/// How a node introduces itself, on whichever stream.
pub(crate) fn introduced(node: &core::Node) -> Introduction {
    let told = node
        .metadata
        .as_ref()
        .and_then(|told| told.fields.get("usual_rate"));
    let usual_rate = match told.and_then(|value| value.kind.as_ref()) {
        Some(Kind::NumberValue(rate)) => Some(*rate),
        _ => None,
    };
    let zone = node
        .locality
        .as_ref()
        .map_or(String::new(), |locality| locality.zone.clone());
    Introduction {
        name: node.id.clone(),
        zone,
        usual_rate,
    }
}

/// The first request of a stream, from a proxy that introduces itself.
pub fn introduce(who: &Introduction) -> LoadStatsRequest {
    let rate = who.usual_rate.map(|rate| {
        (
            "usual_rate".to_string(),
            Value {
                kind: Some(Kind::NumberValue(rate)),
            },
        )
    });
    LoadStatsRequest {
        node: Some(core::Node {
            id: who.name.clone(),
            metadata: rate.map(|rate| Struct {
                fields: [rate].into(),
            }),
            locality: Some(core::Locality {
                zone: who.zone.clone(),
                ..core::Locality::default()
            }),
            ..core::Node::default()
        }),
        cluster_stats: Vec::new(),
    }
}

/// What a request tells of; `None` if it only introduces.
pub fn report(request: &LoadStatsRequest) -> Option<LoadReport> {
    let first = request.cluster_stats.first()?;
    let over = first.load_report_interval.as_ref();
    let over = over.map_or(0.0, |over| {
        over.seconds as f64 + f64::from(over.nanos) / 1e9
    });
    Some(LoadReport {
        window: Span::from_seconds(over),
        operations: request.cluster_stats.iter().map(operation).collect(),
    })
}

fn operation(stats: &endpoint::ClusterStats) -> OperationReport {
    let localities = stats.upstream_locality_stats.iter();
    let repeats = localities
        .clone()
        .flat_map(|locality| &locality.load_metric_stats)
        .filter(|metric| metric.metric_name == REPEATS)
        .map(|metric| metric.num_requests_finished_with_metric)
        .fold(0, u64::saturating_add);
    let endpoints = localities.flat_map(|locality| &locality.upstream_endpoint_stats);
    OperationReport {
        operation: stats.cluster_name.clone(),
        rate_limited: stats.total_dropped_requests,
        retries: repeats,
        nodes: endpoints.map(node).collect(),
    }
}

fn node(stats: &endpoint::UpstreamEndpointStats) -> NodeReport {
    let metric = |metric: &endpoint::EndpointLoadMetricStats| {
        let read = Metric {
            count: metric.num_requests_finished_with_metric,
            total: metric.total_metric_value,
        };
        (metric.metric_name.clone(), read)
    };
    NodeReport {
        node: node_id(stats.address.as_ref()).ok(),
        succeeded: stats.total_successful_requests,
        errored: stats.total_error_requests,
        in_progress: stats.total_requests_in_progress,
        metrics: stats.load_metric_stats.iter().map(metric).collect(),
    }
}

/// The request that brings a report.
pub fn request(report: &LoadReport, zone_of: impl Fn(&NodeReport) -> String) -> LoadStatsRequest {
    let us = report.window.micros();
    let over = Duration {
        seconds: us / 1_000_000,
        nanos: (us % 1_000_000) as i32 * 1000,
    };
    let stats = |told: &OperationReport| {
        let mut zones: BTreeMap<String, Vec<&NodeReport>> = BTreeMap::new();
        for node in &told.nodes {
            zones.entry(zone_of(node)).or_default().push(node);
        }
        let mut repeats = told.retries;
        let locality = |(zone, nodes): (String, Vec<&NodeReport>)| {
            let mine = std::mem::take(&mut repeats);
            let metric = (mine > 0).then(|| {
                metric_stats(
                    REPEATS,
                    Metric {
                        count: mine,
                        total: mine as f64,
                    },
                )
            });
            endpoint::UpstreamLocalityStats {
                locality: Some(core::Locality {
                    zone,
                    ..core::Locality::default()
                }),
                total_successful_requests: nodes
                    .iter()
                    .map(|node| node.succeeded)
                    .fold(0, u64::saturating_add),
                total_error_requests: nodes
                    .iter()
                    .map(|node| node.errored)
                    .fold(0, u64::saturating_add),
                total_requests_in_progress: nodes
                    .iter()
                    .map(|node| node.in_progress)
                    .fold(0, u64::saturating_add),
                load_metric_stats: metric.into_iter().collect(),
                upstream_endpoint_stats: nodes.into_iter().map(endpoint_stats).collect(),
                ..endpoint::UpstreamLocalityStats::default()
            }
        };
        endpoint::ClusterStats {
            cluster_name: told.operation.clone(),
            upstream_locality_stats: zones.into_iter().map(locality).collect(),
            total_dropped_requests: told.rate_limited,
            load_report_interval: Some(over),
            ..endpoint::ClusterStats::default()
        }
    };
    LoadStatsRequest {
        node: None,
        cluster_stats: report.operations.iter().map(stats).collect(),
    }
}

fn metric_stats(name: &str, metric: Metric) -> endpoint::EndpointLoadMetricStats {
    endpoint::EndpointLoadMetricStats {
        metric_name: name.to_string(),
        num_requests_finished_with_metric: metric.count,
        total_metric_value: metric.total,
    }
}

fn endpoint_stats(node: &NodeReport) -> endpoint::UpstreamEndpointStats {
    endpoint::UpstreamEndpointStats {
        address: node.node.map(address),
        total_successful_requests: node.succeeded,
        total_requests_in_progress: node.in_progress,
        total_error_requests: node.errored,
        total_issued_requests: node.succeeded.saturating_add(node.errored),
        load_metric_stats: node
            .metrics
            .iter()
            .map(|(name, metric)| metric_stats(name, *metric))
            .collect(),
        ..endpoint::UpstreamEndpointStats::default()
    }
}

#[cfg(test)]
mod tests {
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
        fn a_report_survives_the_way(
            nodes in prop::collection::vec((1u16..9000, 0u64..1000, 0u64..1000, 0.0f64..1e6), 0..30),
            repeats in 0u64..5, us in 1i64..10_000_000,
        ) {
            let nodes: Vec<NodeReport> = nodes.iter().map(|n| node_report(n.0, n.1, n.2, n.3)).collect();
            let repeats = if nodes.is_empty() { 0 } else { repeats };
            let quote = OperationReport { operation: "quote".into(), rate_limited: 3, retries: repeats, nodes };
            let sent = LoadReport { window: Span::from_seconds(us as f64 / 1e6), operations: vec![quote] };
            let bytes = request(&sent, |_| "north".to_string()).encode_to_vec();
            prop_assert_eq!(report(&decode_request(&bytes).expect("decodes")), Some(sent));
        }

        #[test]
        fn no_bytes_make_reading_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            if let Ok(request) = decode_request(&bytes) {
                let _ = (introduction(&request), report(&request));
            }
            let _ = decode_response(&bytes);
        }
    }

    #[test]
    fn who_introduces_itself_is_known() {
        let who = Introduction {
            name: "g1".into(),
            zone: "north".into(),
            usual_rate: Some(12.5),
        };
        let request = introduce(&who);
        assert_eq!(
            (introduction(&request), report(&request)),
            (Some(who), None)
        );
        assert_eq!(
            decode_response(&response(Span::from_seconds(0.5))),
            Ok(Span::from_seconds(0.5))
        );
    }
}
