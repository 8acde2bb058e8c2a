//! A proxy's tables at one version: entries with weights and drop percentages (EDS), and routes with timeouts, retries
//! and local rate limits (RDS).
//!
//! Each operation has one cluster and one route with its name. The operation of a request is the first segment of its
//! path.

mod decode;
mod encode;
mod recover;
mod retry_conditions;

use crate::json;
use crate::{DecodeError, EncodeError, FieldError};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;
use wheelspread_controller_core::deployment::Deployment;
use wheelspread_controller_core::publication::{TableEntry, TableSet, Version};
use xds_api::pb::envoy::service::discovery::v3::DiscoveryResponse;

pub(crate) use decode::decode_tables;
pub(crate) use encode::encode_resources;
pub use encode::ALL_OPERATIONS;
pub use recover::recover;

/// Weights are integers on the wire: this value stands for a weight of 1.
const WEIGHT_SCALE: f64 = 1000.0;
/// The denominator of drop percentages.
const MILLION: f64 = 1e6;
/// The filter that limits the rate of a route.
const LOCAL_RATE_LIMIT: &str = "envoy.filters.http.local_ratelimit";

/// The two documents of a table set version, as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Documents {
    /// The endpoints.
    pub eds: String,
    /// The routes.
    pub rds: String,
}

/// The table of one operation, as read by a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyTable {
    /// The operation.
    pub operation: String,
    /// The entries: nodes with their weights.
    pub entries: Vec<TableEntry>,
    /// The number of requests out of a million that are rejected.
    pub dropped_of_million: u32,
    /// The maximum rate of admitted requests, in requests per second; `None` if the rate is not limited.
    pub rate_limit: Option<f64>,
    /// The retry policy.
    pub retry: RetryPolicy,
    /// The time without a response after which an attempt is abandoned.
    pub per_try_timeout: Option<Span>,
    /// The time after which a request is abandoned, over all attempts.
    pub timeout: Option<Span>,
}

/// All tables of a proxy at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyTables {
    /// The version.
    pub version: Version,
    /// One table for each operation.
    pub operations: Vec<ProxyTable>,
}

/// Writes the documents of a table set.
pub fn write(set: &TableSet, deployment: &Deployment) -> Result<Documents, EncodeError> {
    let resources = encode_resources(set, deployment);
    let version = set.version.0.to_string();
    Ok(Documents {
        eds: json::write(&json::response(&version, &resources.assignments))?,
        rds: json::write(&json::response(&version, &[resources.routes]))?,
    })
}

/// Reads both documents. They must have the same version, and each operation of the endpoints must have a route.
pub fn read(documents: &Documents) -> Result<ProxyTables, DecodeError> {
    let eds: DiscoveryResponse = json::read(&documents.eds)?;
    let rds: DiscoveryResponse = json::read(&documents.rds)?;
    if eds.version_info != rds.version_info {
        let error = FieldError::VersionMismatch {
            endpoints: eds.version_info,
            routes: rds.version_info,
        };
        return Err(DecodeError::field("endpoints", error));
    }
    let version = eds.version_info.parse().map_err(|_| {
        let error = FieldError::InvalidTableVersion(eds.version_info.clone());
        DecodeError::field("version", error)
    })?;
    decode_tables(
        Version(version),
        json::resources(&eds)?,
        &json::resources(&rds)?,
    )
}

#[cfg(test)]
mod tests;
