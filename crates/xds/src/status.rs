//! The status that a proxy publishes: a `ClientConfig` of the client status discovery service, with the version of its
//! endpoints, and the version that it rejected with the reason.

use crate::{json, DecodeError, EncodeError, FieldError};
use prost::Name;
use wheelspread_controller_core::publication::Version;
use xds_api::pb::envoy::admin::v3::{ClientResourceStatus, UpdateFailureState};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use xds_api::pb::envoy::service::status::v3::{client_config::GenericXdsConfig, ClientConfig};

/// The status of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The name of the proxy.
    pub proxy: String,
    /// The version in effect; 0 if the proxy has none yet.
    pub version: Version,
    /// The version that the proxy rejected last, and the reason.
    pub rejected: Option<(Version, String)>,
}

/// Writes a status as JSON.
pub fn write(status: &Status) -> Result<String, EncodeError> {
    let outcome = match status.rejected {
        None => ClientResourceStatus::Acked,
        Some(_) => ClientResourceStatus::Nacked,
    };
    let failure = |(version, reason): &(Version, String)| UpdateFailureState {
        details: reason.clone(),
        version_info: version.0.to_string(),
        ..UpdateFailureState::default()
    };
    json::write(&ClientConfig {
        node: Some(core::Node {
            id: status.proxy.clone(),
            ..core::Node::default()
        }),
        generic_xds_configs: vec![GenericXdsConfig {
            type_url: ClusterLoadAssignment::type_url(),
            version_info: status.version.0.to_string(),
            client_status: outcome.into(),
            error_state: status.rejected.as_ref().map(failure),
            ..GenericXdsConfig::default()
        }],
        ..ClientConfig::default()
    })
}

/// Reads a status.
pub fn read(text: &str) -> Result<Status, DecodeError> {
    let config: ClientConfig = json::read(text)?;
    let proxy = config
        .node
        .as_ref()
        .map(|node| node.id.clone())
        .unwrap_or_default();
    let expected_type = ClusterLoadAssignment::type_url();
    let endpoints = config
        .generic_xds_configs
        .iter()
        .find(|config| config.type_url == expected_type);
    let endpoints =
        endpoints.ok_or_else(|| DecodeError::field("status", FieldError::NoEndpointStatus))?;
    let rejected = match &endpoints.error_state {
        Some(failure) => Some((
            parse_version(&failure.version_info)?,
            failure.details.clone(),
        )),
        None => None,
    };
    Ok(Status {
        proxy,
        version: parse_version(&endpoints.version_info)?,
        rejected,
    })
}

/// Parses a version. The version is empty if the proxy holds no table yet.
fn parse_version(text: &str) -> Result<Version, DecodeError> {
    if text.is_empty() {
        return Ok(Version(0));
    }
    let invalid = |_| DecodeError::field("status", FieldError::InvalidVersion(text.to_string()));
    text.parse().map(Version).map_err(invalid)
}

#[cfg(test)]
mod tests;
