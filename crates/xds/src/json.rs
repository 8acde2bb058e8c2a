//! Conversion of messages to and from canonical proto3 JSON, using the descriptors of the published definitions.

use crate::{DecodeError, EncodeError};
use prost::{Message, Name};
use prost_reflect::{
    DescriptorPool, DeserializeOptions, DynamicMessage, MessageDescriptor, SerializeOptions,
};
use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{DescriptorProto, FieldDescriptorProto, FileDescriptorProto};
use std::sync::OnceLock;
use xds_api::pb::envoy::service::discovery::v3::DiscoveryResponse;
use xds_api::pb::google::protobuf::Any;

/// The local rate limit of a route, which is missing from the `xds_api` crate. It has only the fields that define the
/// admitted rate (`local_rate_limit.proto`, fields 1 and 3).
#[derive(Clone, PartialEq, Message)]
pub struct LocalRateLimit {
    /// The prefix of the metrics of the filter.
    #[prost(string, tag = "1")]
    pub stat_prefix: String,
    /// The token bucket that limits the rate of admitted requests.
    #[prost(message, optional, tag = "3")]
    pub token_bucket: Option<xds_api::pb::envoy::r#type::v3::TokenBucket>,
}

impl Name for LocalRateLimit {
    const NAME: &'static str = "LocalRateLimit";
    const PACKAGE: &'static str = "envoy.extensions.filters.http.local_ratelimit.v3";

    fn full_name() -> String {
        format!("{}.{}", Self::PACKAGE, Self::NAME)
    }

    fn type_url() -> String {
        format!("type.googleapis.com/{}", Self::full_name())
    }
}

/// The file descriptor of [`LocalRateLimit`].
fn local_rate_limit_file() -> FileDescriptorProto {
    let field = |name: &str, number: i32, of: Type, type_name: Option<&str>| FieldDescriptorProto {
        name: Some(name.to_string()),
        number: Some(number),
        label: Some(Label::Optional.into()),
        r#type: Some(of.into()),
        type_name: type_name.map(str::to_string),
        ..FieldDescriptorProto::default()
    };
    FileDescriptorProto {
        name: Some(
            "envoy/extensions/filters/http/local_ratelimit/v3/local_rate_limit.proto".to_string(),
        ),
        package: Some(LocalRateLimit::PACKAGE.to_string()),
        dependency: vec!["envoy/type/v3/token_bucket.proto".to_string()],
        message_type: vec![DescriptorProto {
            name: Some(LocalRateLimit::NAME.to_string()),
            field: vec![
                field("stat_prefix", 1, Type::String, None),
                field(
                    "token_bucket",
                    3,
                    Type::Message,
                    Some(".envoy.type.v3.TokenBucket"),
                ),
            ],
            ..DescriptorProto::default()
        }],
        syntax: Some("proto3".to_string()),
        ..FileDescriptorProto::default()
    }
}

fn pool() -> &'static DescriptorPool {
    static POOL: OnceLock<DescriptorPool> = OnceLock::new();
    POOL.get_or_init(|| {
        // Invariant: the definitions are compiled into the program and independent of any input, so inconsistent ones
        // would fail every test that writes JSON.
        let mut pool =
            DescriptorPool::decode(xds_api::FILE_DESCRIPTOR_SET).expect("the definitions decode");
        pool.add_file_descriptor_proto(local_rate_limit_file())
            .expect("the added definition is consistent with the pool");
        pool
    })
}

fn descriptor<T: Name>() -> MessageDescriptor {
    // Invariant: `T` is a message type in the pool, or `LocalRateLimit`, which is added to the pool.
    pool()
        .get_message_by_name(&T::full_name())
        .expect("the message type is in the pool")
}

/// Writes canonical JSON: field names in lowerCamelCase, 64-bit integers as strings, other numbers as numbers.
pub fn write<T: Message + Name>(message: &T) -> Result<String, EncodeError> {
    let error = |reason: String| EncodeError {
        message: T::full_name(),
        reason,
    };
    let bytes = message.encode_to_vec();
    let dynamic = DynamicMessage::decode(descriptor::<T>(), bytes.as_slice())
        .map_err(|e| error(e.to_string()))?;
    let mut out = Vec::new();
    let mut to = serde_json::Serializer::pretty(&mut out);
    let options = SerializeOptions::new()
        .stringify_64_bit_integers(true)
        .skip_default_fields(true);
    dynamic
        .serialize_with_options(&mut to, &options)
        .map_err(|e| error(e.to_string()))?;
    out.push(b'\n');
    String::from_utf8(out).map_err(|e| error(e.to_string()))
}

/// Reads canonical JSON. Unknown fields are rejected, so that a node whose `healthStatus` field is misspelt is not read
/// as healthy.
pub fn read<T: Message + Name + Default>(text: &str) -> Result<T, DecodeError> {
    let error = |reason: String| DecodeError::Json {
        message: T::full_name(),
        reason,
    };
    let mut from = serde_json::Deserializer::from_str(text);
    let options = DeserializeOptions::new().deny_unknown_fields(true);
    let dynamic = DynamicMessage::deserialize_with_options(descriptor::<T>(), &mut from, &options)
        .map_err(|e| error(e.to_string()))?;
    from.end().map_err(|e| error(e.to_string()))?;
    T::decode(dynamic.encode_to_vec().as_slice()).map_err(|e| error(e.to_string()))
}

/// Creates a response with resources of one type.
pub fn response<T: Message + Name>(version: &str, resources: &[T]) -> DiscoveryResponse {
    let any = |resource: &T| Any {
        type_url: T::type_url(),
        value: resource.encode_to_vec(),
    };
    DiscoveryResponse {
        version_info: version.to_string(),
        type_url: T::type_url(),
        resources: resources.iter().map(any).collect(),
        ..DiscoveryResponse::default()
    }
}

/// Decodes the resources of a response, which must all be of type `T`.
pub fn resources<T: Message + Name + Default>(
    response: &DiscoveryResponse,
) -> Result<Vec<T>, DecodeError> {
    let mut found = Vec::new();
    for (index, any) in response.resources.iter().enumerate() {
        if any.type_url != T::type_url() {
            return Err(DecodeError::ResourceType {
                index,
                found: any.type_url.clone(),
                expected: T::type_url(),
            });
        }
        let resource = T::decode(any.value.as_slice());
        found.push(resource.map_err(|source| DecodeError::Resource { index, source })?);
    }
    Ok(found)
}
