//! A proxy's tables at one version: entries with weights and drop percentages (EDS), and routes with timeouts, retries
//! and local rate limits (RDS).
//!
//! There is one cluster and one route for each operation, named after it; a request's operation is the first part of
//! its path.

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

/// Weights are whole numbers on the wire: so many to one of ours.
const WEIGHT_SCALE: f64 = 1000.0;
/// Drop percentages are counted in millionths.
const MILLION: f64 = 1e6;
/// The route's filter that limits rates.
const LOCAL_RATE_LIMIT: &str = "envoy.filters.http.local_ratelimit";

/// The two documents of a version, as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Documents {
    /// The endpoints.
    pub eds: String,
    /// The routes.
    pub rds: String,
}

/// The table of one operation, as a proxy reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyTable {
    /// The operation.
    pub operation: String,
    /// The nodes with their weights.
    pub entries: Vec<TableEntry>,
    /// Of a million requests, so many are rejected.
    pub dropped_of_million: u32,
    /// Requests a second that are admitted, if they are limited.
    pub rate_limit: Option<f64>,
    /// Which failures are retried.
    pub retry: RetryPolicy,
    /// After so long without a response an attempt is given up.
    pub per_try_timeout: Option<Span>,
    /// After so long a request is given up.
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

/// Reads both documents. They must be of one version and have the same operations.
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
