//! Discovery requests and responses, in both variants of the protocol, and the resources that they bring.
//!
//! Beside what a plain proxy reads (one route configuration for all operations) there are a listener, a route
//! configuration and a cluster for each operation, which a client without a proxy dials as `xds:///OPERATION`.

mod request;
mod resources;
mod response;
mod tables;

use crate::{DecodeError, FieldError};
use prost::Name;
use wheelspread_discovery::ResourceType;
use xds_api::pb::envoy::config::cluster::v3::Cluster;
use xds_api::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LbEndpoint};
use xds_api::pb::envoy::config::listener::v3::Listener;
use xds_api::pb::envoy::config::route::v3::RouteConfiguration;

pub use crate::tables::ALL_OPERATIONS;
pub use request::{
    decode_delta_request, decode_state_of_the_world_request, encode_delta_request, DecodedRequest,
};
pub use resources::encode_snapshot;
pub use response::{append_nonce, decode_delta_response, encode_response_body};
pub use tables::decode_tables;

/// The path of streams of the state-of-the-world variant.
pub const STATE_OF_THE_WORLD_METHOD: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// The path of streams of the incremental variant.
pub const DELTA_METHOD: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// Before the name of a cluster: its assignment without entries, which are resources of their own (LEDS).
pub const LEDS_ASSIGNMENT_PREFIX: &str = "xdstp:///envoy.config.endpoint.v3.ClusterLoadAssignment/";
/// Before `CLUSTER/ZONE/ADDRESS`: one entry.
pub const ENTRY_PREFIX: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";
/// Characters of an unknown type URL that are reported.
const MAX_REPORTED_TYPE_URL_CHARS: usize = 100;

const RESOURCE_TYPES: [ResourceType; 5] = [
    ResourceType::Clusters,
    ResourceType::Endpoints,
    ResourceType::Entries,
    ResourceType::Listeners,
    ResourceType::Routes,
];

/// The type URL of a resource type.
pub fn type_url(resource_type: ResourceType) -> String {
    match resource_type {
        ResourceType::Clusters => Cluster::type_url(),
        ResourceType::Endpoints => ClusterLoadAssignment::type_url(),
        ResourceType::Entries => LbEndpoint::type_url(),
        ResourceType::Listeners => Listener::type_url(),
        ResourceType::Routes => RouteConfiguration::type_url(),
    }
}

fn resource_type(url: &str) -> Result<ResourceType, DecodeError> {
    let found = RESOURCE_TYPES
        .into_iter()
        .find(|resource_type| type_url(*resource_type) == url);
    found.ok_or_else(|| {
        let reported = url.chars().take(MAX_REPORTED_TYPE_URL_CHARS).collect();
        DecodeError::field("type_url", FieldError::UnknownResourceType(reported))
    })
}

#[cfg(test)]
mod tests;
