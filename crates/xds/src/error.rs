//! Errors of decoding and encoding documents and messages.

/// The reason why a document or message was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The text is not canonical proto3 JSON of the message.
    #[error("invalid proto3 JSON of {message}: {reason}")]
    Json {
        /// The full name of the message type.
        message: String,
        /// The error of the parser.
        reason: String,
    },
    /// A resource is of another type than is expected in its response.
    #[error("resource {index} has type `{found}`, expected `{expected}`")]
    ResourceType {
        /// The index of the resource in the response.
        index: usize,
        /// The type URL of the resource.
        found: String,
        /// The expected type URL.
        expected: String,
    },
    /// The bytes of a resource are not a message of its type.
    #[error("resource {index} can't be decoded: {source}")]
    Resource {
        /// The index of the resource in the response.
        index: usize,
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// The bytes are not a message of the expected type.
    #[error("invalid {message}: {source}")]
    Message {
        /// The expected message.
        message: &'static str,
        /// The error of the decoder.
        source: prost::DecodeError,
    },
    /// The message is well-formed, but a field has an invalid value.
    #[error("{field}: {error}")]
    Field {
        /// The field, or the location of the resource that has the field.
        field: String,
        /// What is wrong with the field.
        error: FieldError,
    },
}

impl DecodeError {
    pub(crate) fn field(field: impl Into<String>, error: FieldError) -> DecodeError {
        DecodeError::Field {
            field: field.into(),
            error,
        }
    }

    /// Returns a function for `map_err` of a decoder; `message` names the expected message.
    pub(crate) fn message(message: &'static str) -> impl Fn(prost::DecodeError) -> DecodeError {
        move |source| DecodeError::Message { message, source }
    }
}

/// What is wrong with a field of a well-formed message.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// The address is missing or is not a socket address.
    #[error("expected a socket address")]
    NoSocketAddress,
    /// The address is not an IPv4 address.
    #[error("`{0}` is not an IPv4 address")]
    NotIpv4(String),
    /// The port is missing or is not a number.
    #[error("expected a port number")]
    NoPortNumber,
    /// The port is outside of 1 to 65535.
    #[error("{0} is not a port number (1 to 65535)")]
    InvalidPort(u32),
    /// The entry has no endpoint with an address.
    #[error("expected an endpoint with an address")]
    NoEndpointAddress,
    /// The health status is not a value of the enumeration.
    #[error("{0} is not a health status")]
    UnknownHealthStatus(i32),
    /// A listed endpoint has a weight of 0.
    #[error("a weight of 0 is not allowed: remove the node from the list, or mark it as draining")]
    ZeroWeight,
    /// A metadata field is not a string.
    #[error("metadata field `{0}` must be a string")]
    MetadataNotText(&'static str),
    /// A metadata field is not a finite number.
    #[error("metadata field `{0}` must be a finite number")]
    MetadataNotNumber(&'static str),
    /// A node is listed twice with different values.
    #[error("the node is already listed with different values")]
    ConflictingEntries,
    /// The endpoints and routes are of different versions.
    #[error("version {endpoints}, but the routes have version {routes}")]
    VersionMismatch {
        /// The version of the endpoints.
        endpoints: String,
        /// The version of the routes.
        routes: String,
    },
    /// The version in a document of tables is not a number.
    #[error("`{0}` is not a version number")]
    InvalidTableVersion(String),
    /// A version in a status is not a number.
    #[error("`{0}` is not a version number")]
    InvalidVersion(String),
    /// The status has no entry for the endpoint resource type.
    #[error("no entry for the endpoint resource type")]
    NoEndpointStatus,
    /// No route has the name of the cluster.
    #[error("no route has this name")]
    NoRoute,
    /// The route has no route action.
    #[error("the route has no route action")]
    NoRouteAction,
    /// A drop has no percentage.
    #[error("a drop has no percentage")]
    NoDropPercentage,
    /// The denominator of a percentage is not a value of the enumeration.
    #[error("{0} is not a denominator")]
    UnknownDenominator(i32),
    /// A rate limit has no token bucket.
    #[error("the rate limit has no token bucket")]
    NoTokenBucket,
    /// The fill interval of a token bucket is missing or not above 0.
    #[error("the fill interval of the token bucket must be above 0")]
    NoFillInterval,
    /// An embedded message can't be decoded.
    #[error("{0}")]
    EmbeddedMessage(prost::DecodeError),
    /// The resource type is not supported.
    #[error("resource type `{0}` is not supported")]
    UnknownResourceType(String),
    /// The version of a resource is not a checksum.
    #[error("the version is not a checksum")]
    InvalidChecksum,
    /// The resource has no content.
    #[error("the resource has no content")]
    EmptyResource,
    /// The name of an `LbEndpoint` has no cluster or no zone.
    #[error("the name of an entry must have the form CLUSTER/ZONE/ADDRESS")]
    InvalidEntryName,
}

/// The reason why a message could not be written as JSON.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("can't write proto3 JSON of {message}: {reason}")]
pub struct EncodeError {
    /// The full name of the message type.
    pub message: String,
    /// The error of the serializer.
    pub reason: String,
}
