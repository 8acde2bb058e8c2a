//! Discovery requests: decoded by a controller, encoded by a client.

use super::{resource_type, type_url};
use crate::{loads, DecodeError};
use prost::Message;
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::publication::Version;
use wheelspread_discovery::{Request, RequestBody};
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::service::discovery::v3 as discovery;
use xds_api::pb::google::protobuf::{value, Value};
use xds_api::pb::google::rpc;

/// The field of a node's metadata with the version that the client holds. Only the incremental variant uses it, whose
/// requests have no field for this version.
const CLIENT_VERSION_FIELD: &str = "holds";
/// The gRPC status code of a NACK.
const INVALID_ARGUMENT: i32 = 3;
/// The maximum number of characters kept of the reason of a NACK.
const MAX_REASON_CHARS: usize = 500;
/// The expected message, in errors.
const REQUEST: &str = "discovery request";

/// A decoded discovery request.
#[derive(Debug)]
pub struct DecodedRequest {
    /// The identity of the client; `None` if the request has no node with an id.
    pub identity: Option<ProxyIdentity>,
    /// The request: a subscription, an ACK or a NACK.
    pub request: Request,
    /// The version that the client declares to hold from an earlier stream.
    pub client_version: Option<Version>,
}

/// Decodes a request of the state-of-the-world variant.
pub fn decode_state_of_the_world_request(bytes: &[u8]) -> Result<DecodedRequest, DecodeError> {
    let message =
        discovery::DiscoveryRequest::decode(bytes).map_err(DecodeError::message(REQUEST))?;
    // In a request with a nonce, the version acknowledges a response instead.
    let client_version = message
        .version_info
        .parse()
        .ok()
        .map(Version)
        .filter(|_| message.response_nonce.is_empty());
    Ok(DecodedRequest {
        identity: identity(message.node.as_ref()),
        request: Request {
            resource_type: resource_type(&message.type_url)?,
            nonce: message.response_nonce,
            error: rejection_reason(message.error_detail),
            body: RequestBody::StateOfTheWorld {
                names: message.resource_names,
                version: message.version_info,
            },
        },
        client_version,
    })
}

/// Decodes a request of the incremental variant.
pub fn decode_delta_request(bytes: &[u8]) -> Result<DecodedRequest, DecodeError> {
    let message =
        discovery::DeltaDiscoveryRequest::decode(bytes).map_err(DecodeError::message(REQUEST))?;
    Ok(DecodedRequest {
        identity: identity(message.node.as_ref()),
        client_version: message.node.as_ref().and_then(client_version),
        request: Request {
            resource_type: resource_type(&message.type_url)?,
            nonce: message.response_nonce,
            error: rejection_reason(message.error_detail),
            body: RequestBody::Delta {
                subscribe: all_names(
                    message.resource_names_subscribe,
                    message.resource_locators_subscribe,
                ),
                unsubscribe: all_names(
                    message.resource_names_unsubscribe,
                    message.resource_locators_unsubscribe,
                ),
                initial_versions: message.initial_resource_versions.into_iter().collect(),
            },
        },
    })
}

/// All names of a request. Some clients send the names of a collection as locators.
fn all_names(names: Vec<String>, locators: Vec<discovery::ResourceLocator>) -> Vec<String> {
    let located = locators.into_iter().map(|locator| locator.name);
    names.into_iter().chain(located).collect()
}

fn identity(node: Option<&core::Node>) -> Option<ProxyIdentity> {
    node.filter(|node| !node.id.is_empty())
        .map(loads::decode_identity)
}

fn client_version(node: &core::Node) -> Option<Version> {
    match node
        .metadata
        .as_ref()?
        .fields
        .get(CLIENT_VERSION_FIELD)?
        .kind
    {
        Some(value::Kind::StringValue(ref version)) => version.parse().ok().map(Version),
        _ => None,
    }
}

fn rejection_reason(error: Option<rpc::Status>) -> Option<String> {
    error.map(|status| status.message.chars().take(MAX_REASON_CHARS).collect())
}

/// Encodes a request of the incremental variant. The first request of a stream has the identity of the client and the
/// version that it holds.
pub fn encode_delta_request(
    identity: Option<&ProxyIdentity>,
    client_version: Option<Version>,
    request: &Request,
) -> Vec<u8> {
    let (subscribe, unsubscribe, initial_versions) = match &request.body {
        RequestBody::Delta {
            subscribe,
            unsubscribe,
            initial_versions,
        } => (
            subscribe.clone(),
            unsubscribe.clone(),
            initial_versions.clone(),
        ),
        RequestBody::StateOfTheWorld { names, .. } => {
            (names.clone(), Vec::new(), Default::default())
        }
    };
    let error_detail = request.error.as_ref().map(|reason| rpc::Status {
        code: INVALID_ARGUMENT,
        message: reason.clone(),
        ..rpc::Status::default()
    });
    discovery::DeltaDiscoveryRequest {
        node: identity.map(|identity| identity_node(identity, client_version)),
        type_url: type_url(request.resource_type),
        resource_names_subscribe: subscribe,
        resource_names_unsubscribe: unsubscribe,
        initial_resource_versions: initial_versions.into_iter().collect(),
        response_nonce: request.nonce.clone(),
        error_detail,
        ..discovery::DeltaDiscoveryRequest::default()
    }
    .encode_to_vec()
}

fn identity_node(identity: &ProxyIdentity, client_version: Option<Version>) -> core::Node {
    let mut node = loads::encode_identity(identity);
    if let Some(version) = client_version {
        let kind = Some(value::Kind::StringValue(version.0.to_string()));
        let metadata = node.metadata.get_or_insert_default();
        metadata
            .fields
            .extend([(CLIENT_VERSION_FIELD.to_string(), Value { kind })]);
    }
    node
}
