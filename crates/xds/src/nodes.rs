//! The endpoint list: a `DiscoveryResponse` of one or more `ClusterLoadAssignment`s.
//!
//! The zone of a locality is the zone of its nodes. `health_status` states whether a node is draining. The optional
//! metadata under `envoy.lb` are `kind`, `cell` and `started` (the start of the process in seconds since 1970).

use crate::convert::{entry_node, host_identifier, locality_groups, zone_of};
use crate::json;
use crate::{DecodeError, EncodeError, FieldError};
use std::collections::BTreeMap;
use wheelspread::time::Span;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::service::discovery::v3::DiscoveryResponse;
use xds_api::pb::google::protobuf::{value::Kind, Struct, Value};

/// The key of the filter metadata that describes a node.
pub const METADATA_FILTER: &str = "envoy.lb";
/// The cluster name of a written list.
const CLUSTER: &str = "nodes";
const KIND: &str = "kind";
const CELL: &str = "cell";
const STARTED: &str = "started";
/// The maximum age of a process; greater ages are reduced to it.
const MAX_AGE_SECONDS: f64 = 1e8;

/// Reads a list. `wall_seconds` is the current time in seconds since 1970, from which ages of processes are computed.
pub fn read(text: &str, wall_seconds: f64) -> Result<EndpointSnapshot, DecodeError> {
    let response: DiscoveryResponse = json::read(text)?;
    let assignments: Vec<endpoint::ClusterLoadAssignment> = json::resources(&response)?;
    let mut records = BTreeMap::new();
    for assignment in &assignments {
        for group in &assignment.endpoints {
            for (index, entry) in group.lb_endpoints.iter().enumerate() {
                let zone = zone_of(group);
                let place = || {
                    let cluster = &assignment.cluster_name;
                    format!("{cluster}, zone `{zone}`, endpoint {index}")
                };
                let record = decode_record(zone, entry, wall_seconds)
                    .map_err(|error| DecodeError::field(place(), error))?;
                let Some(record) = record else {
                    continue;
                };
                // A node may be listed in several clusters, with the same values in all of them.
                let before = records.insert(record.node, record.clone());
                if before.is_some_and(|before| before != record) {
                    return Err(DecodeError::field(place(), FieldError::ConflictingEntries));
                }
            }
        }
    }
    Ok(EndpointSnapshot {
        version: response.version_info,
        records: records.into_values().collect(),
    })
}

/// Decodes an endpoint entry; `None` if its health status is unhealthy or timeout.
fn decode_record(
    zone: &str,
    entry: &endpoint::LbEndpoint,
    wall_seconds: f64,
) -> Result<Option<EndpointRecord>, FieldError> {
    let node = entry_node(entry)?;
    let Some(draining) = decode_draining(entry.health_status)? else {
        return Ok(None);
    };
    let weight = entry
        .load_balancing_weight
        .as_ref()
        .map_or(1, |weight| weight.value);
    if weight == 0 {
        return Err(FieldError::ZeroWeight);
    }
    let metadata = NodeMetadata::of(entry);
    let started = metadata.started(wall_seconds)?;
    Ok(Some(EndpointRecord {
        node,
        zone: zone.to_string(),
        kind: metadata.text(KIND)?,
        cell: metadata.text(CELL)?,
        draining,
        weight: f64::from(weight),
        started,
    }))
}

/// Whether a node is draining; `None` if the node is treated as not listed.
fn decode_draining(health_status: i32) -> Result<Option<bool>, FieldError> {
    use core::HealthStatus::{Degraded, Draining, Healthy, Timeout, Unhealthy, Unknown};
    match core::HealthStatus::try_from(health_status) {
        Ok(Unknown | Healthy | Degraded) => Ok(Some(false)),
        Ok(Draining) => Ok(Some(true)),
        Ok(Unhealthy | Timeout) => Ok(None),
        Err(_) => Err(FieldError::UnknownHealthStatus(health_status)),
    }
}

/// Access to the fields of the metadata of an entry.
struct NodeMetadata<'a>(Option<&'a Struct>);

impl<'a> NodeMetadata<'a> {
    fn of(entry: &'a endpoint::LbEndpoint) -> NodeMetadata<'a> {
        let metadata = entry.metadata.as_ref();
        NodeMetadata(metadata.and_then(|metadata| metadata.filter_metadata.get(METADATA_FILTER)))
    }

    fn value(&self, name: &str) -> Option<&Kind> {
        self.0?.fields.get(name)?.kind.as_ref()
    }

    fn text(&self, name: &'static str) -> Result<String, FieldError> {
        match self.value(name) {
            None => Ok(String::new()),
            Some(Kind::StringValue(text)) => Ok(text.clone()),
            Some(_) => Err(FieldError::MetadataNotText(name)),
        }
    }

    /// The start time as text, which identifies the incarnation of the process, and its age.
    fn started(&self, wall_seconds: f64) -> Result<Option<(String, Span)>, FieldError> {
        match self.value(STARTED) {
            None => Ok(None),
            Some(Kind::NumberValue(at)) if at.is_finite() => {
                let age = (wall_seconds - at).clamp(0.0, MAX_AGE_SECONDS);
                Ok(Some((format!("{at}"), Span::from_seconds(age))))
            }
            Some(_) => Err(FieldError::MetadataNotNumber(STARTED)),
        }
    }
}

/// Writes a list as the document that [`read`] reads.
pub fn write(list: &EndpointSnapshot) -> Result<String, EncodeError> {
    let mut zones: BTreeMap<&str, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    for record in &list.records {
        let entries = zones.entry(&record.zone).or_default();
        entries.push(encode_record(record));
    }
    let assignment = endpoint::ClusterLoadAssignment {
        cluster_name: CLUSTER.to_string(),
        endpoints: locality_groups(zones),
        ..endpoint::ClusterLoadAssignment::default()
    };
    json::write(&json::response(&list.version, &[assignment]))
}

fn encode_record(record: &EndpointRecord) -> endpoint::LbEndpoint {
    let health_status = if record.draining {
        core::HealthStatus::Draining
    } else {
        core::HealthStatus::Healthy
    };
    endpoint::LbEndpoint {
        health_status: health_status.into(),
        metadata: Some(core::Metadata {
            filter_metadata: [(METADATA_FILTER.to_string(), encode_metadata(record))].into(),
            ..core::Metadata::default()
        }),
        load_balancing_weight: Some((record.weight as u32).max(1).into()),
        host_identifier: Some(host_identifier(record.node)),
    }
}

fn encode_metadata(record: &EndpointRecord) -> Struct {
    let mut fields = BTreeMap::new();
    for (name, text) in [(KIND, &record.kind), (CELL, &record.cell)] {
        if !text.is_empty() {
            fields.insert(name, Kind::StringValue(text.clone()));
        }
    }
    let started = record.started.as_ref();
    if let Some(at) = started.and_then(|(run, _)| run.parse::<f64>().ok()) {
        fields.insert(STARTED, Kind::NumberValue(at));
    }
    let value = |(name, kind): (&str, Kind)| (name.to_string(), Value { kind: Some(kind) });
    Struct {
        fields: fields.into_iter().map(value).collect(),
    }
}

#[cfg(test)]
mod tests;
