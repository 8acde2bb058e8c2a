//! What a proxy holds, as it publishes it: a `ClientConfig` of the client status discovery service, with
//! the version of its endpoints, or the version it refused and why.

use crate::{content, json, Unreadable};
use prost::Name;
use wheelspread_controller_core::publication::Version;
use xds_api::pb::envoy::admin::v3::{ClientResourceStatus, UpdateFailureState};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use xds_api::pb::envoy::service::status::v3::{client_config::GenericXdsConfig, ClientConfig};

#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    pub proxy: String,
    /// What it goes by now; 0: nothing yet.
    pub version: Version,
    /// What it did not take, and why.
    pub refused: Option<(Version, String)>,
}

pub fn write(status: &Status) -> Result<String, Unreadable> {
    let outcome = match status.refused {
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
            error_state: status.refused.as_ref().map(failure),
            ..GenericXdsConfig::default()
        }],
        ..ClientConfig::default()
    })
}

pub fn read(text: &str) -> Result<Status, Unreadable> {
    let config: ClientConfig = json::read(text)?;
    let proxy = config
        .node
        .as_ref()
        .map(|node| node.id.clone())
        .unwrap_or_default();
    let wanted = ClusterLoadAssignment::type_url();
    let endpoints = config
        .generic_xds_configs
        .iter()
        .find(|config| config.type_url == wanted);
    let endpoints = endpoints.ok_or_else(|| content("status", "it says nothing of endpoints"))?;
    let version = |text: &str| match text {
        "" => Ok(Version(0)),
        text => text
            .parse()
            .map(Version)
            .map_err(|_| content("status", format!("`{text}` is no version"))),
    };
    let refused = match &endpoints.error_state {
        Some(failure) => Some((version(&failure.version_info)?, failure.details.clone())),
        None => None,
    };
    Ok(Status {
        proxy,
        version: version(&endpoints.version_info)?,
        refused,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_status_is_read_as_published() {
        let text = r#"{"node": {"id": "g1"}, "genericXdsConfigs": [{
          "typeUrl": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
          "versionInfo": "41", "clientStatus": "NACKED",
          "errorState": {"versionInfo": "42", "details": "no route"}}]}"#;
        let status = read(text).expect("it is of the published form");
        assert_eq!(status.version, Version(41));
        assert_eq!(status.refused, Some((Version(42), "no route".to_string())));
        assert_eq!(read(&write(&status).expect("written")), Ok(status));
        assert!(read("{}").is_err() && read(&text.replace("\"41\"", "\"x\"")).is_err());
    }
}
