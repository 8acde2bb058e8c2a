//! The list of nodes: a `DiscoveryResponse` of one or more `ClusterLoadAssignment`s. A locality's zone is
//! the node's; `health_status` says whether it drains; metadata under `envoy.lb` may say `kind`, `cell`
//! and `started` (seconds since 1970, when the process started).

use crate::json;
use crate::{address, content, node_id, Unreadable};
use std::collections::BTreeMap;
use wheelspread::time::Span;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::google::protobuf::{value::Kind, Struct, Value};

pub const METADATA: &str = "envoy.lb";

/// `wall` is the present time in seconds since 1970, to tell the ages of processes by.
pub fn read(text: &str, wall: f64) -> Result<EndpointSnapshot, Unreadable> {
    let response: xds_api::pb::envoy::service::discovery::v3::DiscoveryResponse = json::read(text)?;
    let assignments: Vec<endpoint::ClusterLoadAssignment> = json::resources(&response)?;
    let mut records = BTreeMap::new();
    for assignment in &assignments {
        for locality in &assignment.endpoints {
            let zone = locality
                .locality
                .as_ref()
                .map_or("", |locality| locality.zone.as_str());
            for (at, lb) in locality.lb_endpoints.iter().enumerate() {
                let place = format!("{}, zone `{zone}`, endpoint {at}", assignment.cluster_name);
                if let Some(record) =
                    record(zone, lb, wall).map_err(|text| content(place.clone(), text))?
                {
                    // One node may serve several clusters; it must be told alike in all of them.
                    match records.insert(record.node, record.clone()) {
                        Some(before) if before != record => {
                            return Err(content(
                                place,
                                "the node is listed before with other figures",
                            ));
                        }
                        _ => {}
                    }
                }
            }
        }
    }
    Ok(EndpointSnapshot {
        version: response.version_info,
        records: records.into_values().collect(),
    })
}

fn record(
    zone: &str,
    lb: &endpoint::LbEndpoint,
    wall: f64,
) -> Result<Option<EndpointRecord>, String> {
    let Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)) = &lb.host_identifier else {
        return Err("an endpoint with an address is expected".to_string());
    };
    let node = node_id(host.address.as_ref())?;
    let draining = match core::HealthStatus::try_from(lb.health_status) {
        Ok(
            core::HealthStatus::Unknown
            | core::HealthStatus::Healthy
            | core::HealthStatus::Degraded,
        ) => false,
        Ok(core::HealthStatus::Draining) => true,
        // Listed as unfit: for those who send it is as if it were not listed.
        Ok(core::HealthStatus::Unhealthy | core::HealthStatus::Timeout) => return Ok(None),
        Err(_) => return Err(format!("{} is no health status", lb.health_status)),
    };
    let weight = lb
        .load_balancing_weight
        .as_ref()
        .map_or(1, |weight| weight.value);
    if weight == 0 {
        return Err("a weight of 0: leave the node out, or let it drain".to_string());
    }
    let told = lb
        .metadata
        .as_ref()
        .and_then(|metadata| metadata.filter_metadata.get(METADATA));
    let text = |name: &str| match told
        .and_then(|told| told.fields.get(name))
        .and_then(|v| v.kind.as_ref())
    {
        Some(Kind::StringValue(text)) => Ok(text.clone()),
        None => Ok(String::new()),
        Some(_) => Err(format!("`{name}` in its metadata should be a text")),
    };
    let started = match told
        .and_then(|told| told.fields.get("started"))
        .and_then(|v| v.kind.as_ref())
    {
        None => None,
        Some(Kind::NumberValue(at)) if at.is_finite() => Some((
            format!("{at}"),
            Span::from_seconds((wall - at).clamp(0.0, 1e8)),
        )),
        Some(_) => return Err("`started` in its metadata should be a number".to_string()),
    };
    Ok(Some(EndpointRecord {
        node,
        zone: zone.to_string(),
        kind: text("kind")?,
        cell: text("cell")?,
        draining,
        weight: f64::from(weight),
        started,
    }))
}

/// The document that `read` reads; `started` is told as it stands in the records.
pub fn write(list: &EndpointSnapshot) -> Result<String, Unreadable> {
    let mut zones: BTreeMap<&str, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    for record in &list.records {
        let mut fields = BTreeMap::new();
        for (name, text) in [("kind", &record.kind), ("cell", &record.cell)] {
            if !text.is_empty() {
                fields.insert(name, Kind::StringValue(text.clone()));
            }
        }
        if let Some(at) = record
            .started
            .as_ref()
            .and_then(|(run, _)| run.parse::<f64>().ok())
        {
            fields.insert("started", Kind::NumberValue(at));
        }
        let value = |(name, kind): (&str, Kind)| (name.to_string(), Value { kind: Some(kind) });
        let told = Struct {
            fields: fields.into_iter().map(value).collect(),
        };
        let health = if record.draining {
            core::HealthStatus::Draining
        } else {
            core::HealthStatus::Healthy
        };
        zones
            .entry(&record.zone)
            .or_default()
            .push(endpoint::LbEndpoint {
                health_status: health.into(),
                metadata: Some(core::Metadata {
                    filter_metadata: [(METADATA.to_string(), told)].into(),
                    ..core::Metadata::default()
                }),
                load_balancing_weight: Some((record.weight as u32).max(1).into()),
                host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(
                    endpoint::Endpoint {
                        address: Some(address(record.node)),
                        ..endpoint::Endpoint::default()
                    },
                )),
            });
    }
    let endpoints = zones
        .into_iter()
        .map(|(zone, lb_endpoints)| endpoint::LocalityLbEndpoints {
            locality: Some(core::Locality {
                zone: zone.to_string(),
                ..core::Locality::default()
            }),
            lb_endpoints,
            ..endpoint::LocalityLbEndpoints::default()
        });
    let assignment = endpoint::ClusterLoadAssignment {
        cluster_name: "nodes".to_string(),
        endpoints: endpoints.collect(),
        ..endpoint::ClusterLoadAssignment::default()
    };
    json::write(&json::response(&list.version, &[assignment]))
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// As an operator would write it, by the published form.
    const LIST: &str = r#"{
      "versionInfo": "17",
      "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
      "resources": [{
        "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "clusterName": "nodes",
        "endpoints": [{
          "locality": {"zone": "north"},
          "lbEndpoints": [
            {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9001}}},
             "loadBalancingWeight": 3,
             "metadata": {"filterMetadata": {"envoy.lb": {"kind": "large", "started": 1000}}}},
            {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9002}}},
             "healthStatus": "DRAINING"},
            {"endpoint": {"address": {"socketAddress": {"address": "127.0.0.1", "portValue": 9003}}},
             "healthStatus": "UNHEALTHY"}
          ]}]}]}"#;

    #[test]
    fn a_literal_list_is_read_and_written_again() {
        let list = read(LIST, 1060.0).expect("it is of the published form");
        assert_eq!((list.version.as_str(), list.records.len()), ("17", 2));
        let (first, second) = (&list.records[0], &list.records[1]);
        assert_eq!(
            (first.weight, first.kind.as_str(), first.draining),
            (3.0, "large", false)
        );
        assert_eq!(
            first.started,
            Some(("1000".to_string(), Span::from_seconds(60.0)))
        );
        assert_eq!(
            (second.draining, second.weight, second.started.is_none()),
            (true, 1.0, true)
        );
        assert_eq!(
            read(&write(&list).expect("it can be written"), 1060.0),
            Ok(list)
        );
    }

    #[test_case("", "EOF"; "empty")]
    #[test_case(&LIST[..400], "no proto3 JSON"; "torn")]
    #[test_case(&LIST.replace("DRAINING", "DRAINNIG"), "DRAINNIG"; "a misspelt health status")]
    #[test_case(&LIST.replace("9002", "70000"), "70000 is no port"; "no port")]
    #[test_case(&LIST.replace("127.0.0.1", "node-1"), "`node-1` is no IPv4"; "a name for an address")]
    #[test_case(&LIST.replace("loadBalancingWeight\": 3", "loadBalancingWeight\": 0"), "a weight of 0"; "weight 0")]
    #[test_case(&LIST.replace("1000", "\"soon\""), "`started`"; "a start that is no number")]
    #[test_case(&LIST.replace("endpoint.v3.Cl", "cluster.v3.Cl"), "no proto3 JSON"; "another kind of resource")]
    #[test_case(&format!("{LIST} {LIST}"), "trailing"; "two documents")]
    fn what_cannot_be_read_is_named(text: &str, reason: &str) {
        let error = read(text, 0.0).expect_err("it can't be read").to_string();
        assert!(error.contains(reason), "{error}");
    }
}
