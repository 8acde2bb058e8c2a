//! Load reports on the load reporting service's stream.
//!
//! The first request identifies the proxy: node id, zone, and in the node's metadata `usual_rate`. Later requests have
//! counts by cluster (operation), zone and endpoint.

use crate::convert::{address, duration, locality, node_id, span};
use crate::DecodeError;
use prost::Message;
use std::collections::BTreeMap;
use wheelspread::time::Span;
use wheelspread_controller_core::load_report::{LoadReport, Metric, NodeReport, OperationReport};
use wheelspread_controller_core::membership::ProxyIdentity;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use xds_api::pb::google::protobuf::{value::Kind, Duration, Struct, Value};

/// The request path of the stream.
pub const METHOD: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// The load metric of a zone that counts retries, from proxies that count them separately from first attempts.
const RETRIES_METRIC: &str = "repeats";
/// The field of a node's metadata with the rate that the proxy usually forwards, in requests per second.
const USUAL_RATE_FIELD: &str = "usual_rate";
/// The report interval if a response states none.
const DEFAULT_INTERVAL: Duration = Duration {
    seconds: 1,
    nanos: 0,
};

/// Decodes a load report request of a proxy.
pub fn decode_request(bytes: &[u8]) -> Result<LoadStatsRequest, DecodeError> {
    LoadStatsRequest::decode(bytes).map_err(DecodeError::message("load report request"))
}

/// Decodes a response of a controller and returns the requested report interval.
pub fn decode_response(bytes: &[u8]) -> Result<Span, DecodeError> {
    let response =
        LoadStatsResponse::decode(bytes).map_err(DecodeError::message("load report response"))?;
    let interval = response.load_reporting_interval.unwrap_or(DEFAULT_INTERVAL);
    Ok(span(&interval))
}

/// Encodes the response that requests reports of all clusters by endpoint, at this interval.
pub fn response(interval: Span) -> Vec<u8> {
    LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(duration(interval)),
        report_endpoint_granularity: true,
        ..LoadStatsResponse::default()
    }
    .encode_to_vec()
}

/// The proxy identity in a request; `None` if the request has no node.
pub fn identity(request: &LoadStatsRequest) -> Option<ProxyIdentity> {
    request.node.as_ref().map(decode_identity)
}

/// Decodes the proxy identity from the node of a request, on any kind of stream.
pub(crate) fn decode_identity(node: &core::Node) -> ProxyIdentity {
    let usual_rate = node
        .metadata
        .as_ref()
        .and_then(|metadata| metadata.fields.get(USUAL_RATE_FIELD))
        .and_then(|value| value.kind.as_ref());
    let zone = node
        .locality
        .as_ref()
        .map_or(String::new(), |locality| locality.zone.clone());
    ProxyIdentity {
        name: node.id.clone(),
        zone,
        usual_rate: match usual_rate {
            Some(Kind::NumberValue(rate)) => Some(*rate),
            _ => None,
        },
    }
}

/// Encodes a proxy identity as the node of a request, on any kind of stream.
pub(crate) fn encode_identity(identity: &ProxyIdentity) -> core::Node {
    let metadata = identity.usual_rate.map(|rate| {
        let kind = Some(Kind::NumberValue(rate));
        Struct {
            fields: [(USUAL_RATE_FIELD.to_string(), Value { kind })].into(),
        }
    });
    core::Node {
        id: identity.name.clone(),
        metadata,
        locality: Some(locality(&identity.zone)),
        ..core::Node::default()
    }
}

/// The first request of a stream, which identifies the proxy.
pub fn identity_request(identity: &ProxyIdentity) -> LoadStatsRequest {
    LoadStatsRequest {
        node: Some(encode_identity(identity)),
        cluster_stats: Vec::new(),
    }
}

/// The load report in a request; `None` if the request only identifies the proxy.
pub fn report(request: &LoadStatsRequest) -> Option<LoadReport> {
    let first = request.cluster_stats.first()?;
    let interval = first.load_report_interval.as_ref();
    Some(LoadReport {
        window: interval.map_or(Span::from_seconds(0.0), span),
        operations: request.cluster_stats.iter().map(decode_cluster).collect(),
    })
}

fn decode_cluster(stats: &endpoint::ClusterStats) -> OperationReport {
    let localities = &stats.upstream_locality_stats;
    let retries = localities
        .iter()
        .flat_map(|locality| &locality.load_metric_stats)
        .filter(|metric| metric.metric_name == RETRIES_METRIC)
        .map(|metric| metric.num_requests_finished_with_metric);
    let endpoints = localities
        .iter()
        .flat_map(|locality| &locality.upstream_endpoint_stats);
    OperationReport {
        operation: stats.cluster_name.clone(),
        rate_limited: stats.total_dropped_requests,
        retries: retries.fold(0, u64::saturating_add),
        nodes: endpoints.map(decode_endpoint).collect(),
    }
}

fn decode_endpoint(stats: &endpoint::UpstreamEndpointStats) -> NodeReport {
    let metric = |stats: &endpoint::EndpointLoadMetricStats| {
        let metric = Metric {
            count: stats.num_requests_finished_with_metric,
            total: stats.total_metric_value,
        };
        (stats.metric_name.clone(), metric)
    };
    NodeReport {
        node: node_id(stats.address.as_ref()).ok(),
        succeeded: stats.total_successful_requests,
        errored: stats.total_error_requests,
        in_progress: stats.total_requests_in_progress,
        metrics: stats.load_metric_stats.iter().map(metric).collect(),
    }
}

/// Creates the request with a load report. `zone_of` returns the zone of a node.
pub fn request(report: &LoadReport, zone_of: impl Fn(&NodeReport) -> String) -> LoadStatsRequest {
    let interval = duration(report.window);
    let encode = |operation| encode_operation(operation, &zone_of, interval);
    LoadStatsRequest {
        node: None,
        cluster_stats: report.operations.iter().map(encode).collect(),
    }
}

fn encode_operation(
    operation: &OperationReport,
    zone_of: impl Fn(&NodeReport) -> String,
    interval: Duration,
) -> endpoint::ClusterStats {
    let mut zones: BTreeMap<String, Vec<&NodeReport>> = BTreeMap::new();
    for node in &operation.nodes {
        zones.entry(zone_of(node)).or_default().push(node);
    }
    // Retries are counted per operation and not by zone, so the stats of the first zone contain all of them.
    let mut retries = operation.retries;
    let encode = |(zone, nodes): (String, Vec<&NodeReport>)| {
        encode_zone(&zone, &nodes, std::mem::take(&mut retries))
    };
    endpoint::ClusterStats {
        cluster_name: operation.operation.clone(),
        upstream_locality_stats: zones.into_iter().map(encode).collect(),
        total_dropped_requests: operation.rate_limited,
        load_report_interval: Some(interval),
        ..endpoint::ClusterStats::default()
    }
}

fn encode_zone(zone: &str, nodes: &[&NodeReport], retries: u64) -> endpoint::UpstreamLocalityStats {
    let sum = |count: fn(&NodeReport) -> u64| {
        let counts = nodes.iter().map(|node| count(node));
        counts.fold(0, u64::saturating_add)
    };
    let retries_metric = (retries > 0).then(|| {
        let metric = Metric {
            count: retries,
            total: retries as f64,
        };
        encode_metric(RETRIES_METRIC, metric)
    });
    endpoint::UpstreamLocalityStats {
        locality: Some(locality(zone)),
        total_successful_requests: sum(|node| node.succeeded),
        total_error_requests: sum(|node| node.errored),
        total_requests_in_progress: sum(|node| node.in_progress),
        load_metric_stats: retries_metric.into_iter().collect(),
        upstream_endpoint_stats: nodes.iter().map(|node| encode_endpoint(node)).collect(),
        ..endpoint::UpstreamLocalityStats::default()
    }
}

fn encode_metric(name: &str, metric: Metric) -> endpoint::EndpointLoadMetricStats {
    endpoint::EndpointLoadMetricStats {
        metric_name: name.to_string(),
        num_requests_finished_with_metric: metric.count,
        total_metric_value: metric.total,
    }
}

fn encode_endpoint(node: &NodeReport) -> endpoint::UpstreamEndpointStats {
    let metrics = node.metrics.iter();
    endpoint::UpstreamEndpointStats {
        address: node.node.map(address),
        total_successful_requests: node.succeeded,
        total_requests_in_progress: node.in_progress,
        total_error_requests: node.errored,
        total_issued_requests: node.succeeded.saturating_add(node.errored),
        load_metric_stats: metrics
            .map(|(name, metric)| encode_metric(name, *metric))
            .collect(),
        ..endpoint::UpstreamEndpointStats::default()
    }
}

#[cfg(test)]
mod tests;
