//! Decodes the tables of a proxy from the resources that it holds.

use super::ENTRY_PREFIX;
use crate::convert::zone_of;
use crate::tables::{self, ProxyTables};
use crate::{DecodeError, FieldError};
use prost::Message;
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::envoy::config::route::v3 as route;

/// The expected message, in errors.
const RESOURCE: &str = "resource";

/// The cluster and zone that an entry belongs to.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EntryGroup {
    cluster: String,
    zone: String,
}

/// Decodes the tables of a proxy from entries (by name), assignments without entries, and routes.
pub fn decode_tables<'a>(
    version: Version,
    entries: impl Iterator<Item = (&'a str, &'a [u8])>,
    assignments: impl Iterator<Item = &'a [u8]>,
    routes: impl Iterator<Item = &'a [u8]>,
) -> Result<ProxyTables, DecodeError> {
    let mut groups = group_entries(entries)?;
    let mut complete = Vec::new();
    for bytes in assignments {
        let mut assignment = endpoint::ClusterLoadAssignment::decode(bytes)
            .map_err(DecodeError::message(RESOURCE))?;
        for locality in &mut assignment.endpoints {
            let group = EntryGroup {
                cluster: assignment.cluster_name.clone(),
                zone: zone_of(locality).to_string(),
            };
            locality.lb_endpoints = groups.remove(&group).unwrap_or_default();
        }
        complete.push(assignment);
    }
    let routes: Result<Vec<_>, _> = routes.map(route::RouteConfiguration::decode).collect();
    let routes = routes.map_err(DecodeError::message(RESOURCE))?;
    tables::decode_tables(version, complete, &routes)
}

fn group_entries<'a>(
    entries: impl Iterator<Item = (&'a str, &'a [u8])>,
) -> Result<BTreeMap<EntryGroup, Vec<endpoint::LbEndpoint>>, DecodeError> {
    let mut groups: BTreeMap<EntryGroup, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    for (name, bytes) in entries {
        let group = entry_group(name)
            .ok_or_else(|| DecodeError::field(name, FieldError::InvalidEntryName))?;
        let entry = endpoint::LbEndpoint::decode(bytes).map_err(DecodeError::message(RESOURCE))?;
        groups.entry(group).or_default().push(entry);
    }
    Ok(groups)
}

fn entry_group(name: &str) -> Option<EntryGroup> {
    let path = name.strip_prefix(ENTRY_PREFIX).unwrap_or(name);
    let mut parts = path.splitn(3, '/');
    Some(EntryGroup {
        cluster: parts.next()?.to_string(),
        zone: parts.next()?.to_string(),
    })
}
