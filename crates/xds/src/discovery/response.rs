//! Discovery responses: encoded by a controller, decoded by a client.

use super::{resource_type, type_url};
use crate::{DecodeError, FieldError};
use bytes::Bytes;
use prost::Message;
use wheelspread_controller_core::publication::Version;
use wheelspread_discovery::{
    Checksum, DeltaResponse, DeltaUpdate, ReceivedResource, Resource, ResourceName, Response,
};
use xds_api::pb::envoy::service::discovery::v3 as discovery;
use xds_api::pb::google::protobuf::Any;

/// Encodes a response without its nonce, so that the bytes can be shared between clients.
pub fn encode_response_body(response: &Response) -> Vec<u8> {
    let type_url = type_url(response.resource_type);
    if response.is_delta {
        encode_delta_body(response, type_url)
    } else {
        encode_state_of_the_world_body(response, type_url)
    }
}

fn pack(type_url: &str, bytes: &Bytes) -> Any {
    Any {
        type_url: type_url.to_string(),
        value: bytes.to_vec(),
    }
}

fn encode_state_of_the_world_body(response: &Response, type_url: String) -> Vec<u8> {
    let resources = response.changed.iter();
    discovery::DiscoveryResponse {
        version_info: response.version.0.to_string(),
        resources: resources
            .map(|(_, resource)| pack(&type_url, &resource.bytes))
            .collect(),
        type_url,
        ..discovery::DiscoveryResponse::default()
    }
    .encode_to_vec()
}

fn encode_delta_body(response: &Response, type_url: String) -> Vec<u8> {
    let resource = |(name, resource): &(ResourceName, Resource)| discovery::Resource {
        name: name.to_string(),
        version: resource.checksum.to_string(),
        resource: Some(pack(&type_url, &resource.bytes)),
        ..discovery::Resource::default()
    };
    let checksum = response
        .resulting_checksum
        .map_or(String::new(), |checksum| format!(" {checksum}"));
    let removed = response.removed.iter();
    discovery::DeltaDiscoveryResponse {
        system_version_info: format!("{}{checksum}", response.version.0),
        resources: response.changed.iter().map(resource).collect(),
        removed_resources: removed.map(ToString::to_string).collect(),
        type_url,
        ..discovery::DeltaDiscoveryResponse::default()
    }
    .encode_to_vec()
}

/// Completes an encoded body with the nonce. The fields of a protobuf message may be in any order, so the nonce is
/// appended.
pub fn append_nonce(body: &[u8], response: &Response) -> Vec<u8> {
    let nonce = response.nonce.to_string();
    let encoded_nonce = if response.is_delta {
        discovery::DeltaDiscoveryResponse {
            nonce,
            ..Default::default()
        }
        .encode_to_vec()
    } else {
        discovery::DiscoveryResponse {
            nonce,
            ..Default::default()
        }
        .encode_to_vec()
    };
    [body, &encoded_nonce].concat()
}

/// Decodes a response of the incremental variant.
pub fn decode_delta_response(bytes: &[u8]) -> Result<DeltaResponse, DecodeError> {
    let message = discovery::DeltaDiscoveryResponse::decode(bytes)
        .map_err(DecodeError::message("discovery response"))?;
    let mut version_info = message.system_version_info.split(' ');
    let version = version_info.next().and_then(|text| text.parse().ok());
    let checksum = version_info
        .next()
        .and_then(|text| text.parse::<Checksum>().ok());
    let mut changed = Vec::new();
    for (index, resource) in message.resources.into_iter().enumerate() {
        let received = decode_resource(resource)
            .map_err(|error| DecodeError::field(format!("resource {index}"), error))?;
        changed.push(received);
    }
    Ok(DeltaResponse {
        resource_type: resource_type(&message.type_url)?,
        nonce: message.nonce,
        version: version.map(Version),
        update: DeltaUpdate {
            changed,
            removed: message.removed_resources,
            resulting_checksum: checksum,
        },
    })
}

fn decode_resource(resource: discovery::Resource) -> Result<ReceivedResource, FieldError> {
    let checksum = resource.version.parse::<Checksum>();
    Ok(ReceivedResource {
        checksum: checksum.map_err(|_| FieldError::InvalidChecksum)?,
        bytes: Bytes::from(resource.resource.ok_or(FieldError::EmptyResource)?.value),
        name: resource.name,
    })
}
