//! Discovery requests and responses, in both variants of the protocol, and their resources.
//!
//! Proxies read one route configuration for all operations. In addition, each operation has a listener, a route
//! configuration and a cluster, for clients without a proxy, which connect to `xds:///OPERATION`.

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

/// The request path of streams of the state-of-the-world variant.
pub const STATE_OF_THE_WORLD_METHOD: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
/// The request path of streams of the incremental variant.
pub const DELTA_METHOD: &str =
    "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// The prefix, before the name of a cluster, that names its assignment without entries. With LEDS, entries are separate
/// resources.
pub const LEDS_ASSIGNMENT_PREFIX: &str = "xdstp:///envoy.config.endpoint.v3.ClusterLoadAssignment/";
/// The prefix, before `CLUSTER/ZONE/ADDRESS`, that names one entry.
pub const ENTRY_PREFIX: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";
/// The maximum number of characters of an unknown type URL in an error.
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
