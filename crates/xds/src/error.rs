//! Why a document or message could not be decoded or encoded.

/// Why a document or message was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// The text is not canonical proto3 JSON of the message.
    #[error("no proto3 JSON of {message}: {reason}")]
    Json {
        /// The full name of the message.
        message: String,
        /// What the parser says.
        reason: String,
    },
    /// A resource is of another type than its response should hold.
    #[error("resource {index} is a `{found}`, `{expected}` is expected")]
    ResourceType {
        /// The place of the resource in the response.
        index: usize,
        /// Its type URL.
        found: String,
        /// The type URL that is expected.
        expected: String,
    },
    /// The bytes of a resource are not a message of its type.
    #[error("resource {index} can't be decoded: {source}")]
    Resource {
        /// The place of the resource in the response.
        index: usize,
        /// What the decoder says.
        source: prost::DecodeError,
    },
    /// The bytes are not a message of the expected type.
    #[error("{message}: {source}")]
    Message {
        /// What was expected.
        message: &'static str,
        /// What the decoder says.
        source: prost::DecodeError,
    },
    /// The message is well-formed, but a field has a value that is not accepted.
    #[error("{field}: {error}")]
    Field {
        /// The field, or the place of the resource that has it.
        field: String,
        /// What is wrong with it.
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

    /// For `map_err` of a decoder: `message` says what was expected.
    pub(crate) fn message(message: &'static str) -> impl Fn(prost::DecodeError) -> DecodeError {
        move |source| DecodeError::Message { message, source }
    }
}

/// What is wrong with a field of a well-formed message.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// An address of another kind.
    #[error("a socket address is expected")]
    NoSocketAddress,
    /// Not an IPv4 address.
    #[error("`{0}` is no IPv4 address")]
    NotIpv4(String),
    /// A named port.
    #[error("a port number is expected")]
    NoPortNumber,
    /// A number outside of 1 to 65535.
    #[error("{0} is no port")]
    InvalidPort(u32),
    /// An endpoint without an address.
    #[error("an endpoint with an address is expected")]
    NoEndpointAddress,
    /// A value outside of the enumeration.
    #[error("{0} is no health status")]
    UnknownHealthStatus(i32),
    /// A listed endpoint with a weight of 0.
    #[error("a weight of 0: leave the node out, or let it drain")]
    ZeroWeight,
    /// Metadata of another type.
    #[error("`{0}` in its metadata should be a text")]
    MetadataNotText(&'static str),
    /// Metadata of another type.
    #[error("`{0}` in its metadata should be a number")]
    MetadataNotNumber(&'static str),
    /// A node that is listed twice, differently.
    #[error("the node is listed before with other figures")]
    ConflictingEntries,
    /// Endpoints and routes of different versions.
    #[error("version {endpoints} beside {routes} of the routes")]
    VersionMismatch {
        /// The version of the endpoints.
        endpoints: String,
        /// The version of the routes.
        routes: String,
    },
    /// A version that is not a number, in a document of tables.
    #[error("`{0}`")]
    InvalidTableVersion(String),
    /// A version that is not a number, in a status.
    #[error("`{0}` is no version")]
    InvalidVersion(String),
    /// A status without the resource type that it is read for.
    #[error("it says nothing of endpoints")]
    NoEndpointStatus,
    /// A cluster that no route leads to.
    #[error("it has no route")]
    NoRoute,
    /// A route without a route action.
    #[error("its route leads nowhere")]
    NoRouteAction,
    /// A drop without a percentage.
    #[error("a drop without its part")]
    NoDropPercentage,
    /// A value outside of the enumeration.
    #[error("{0} is no denominator")]
    UnknownDenominator(i32),
    /// A rate limit without a token bucket.
    #[error("a rate limit without its bucket")]
    NoTokenBucket,
    /// A token bucket with a fill interval of 0.
    #[error("a bucket that is never filled")]
    NoFillInterval,
    /// An embedded message that can't be decoded.
    #[error("{0}")]
    EmbeddedMessage(prost::DecodeError),
    /// A type that is not served.
    #[error("`{0}` is not served here")]
    UnknownResourceType(String),
    /// A resource version that is not a checksum.
    #[error("its version is no checksum")]
    InvalidChecksum,
    /// A resource without content.
    #[error("it is empty")]
    EmptyResource,
    /// The name of an `LbEndpoint` without cluster and zone.
    #[error("a line is named by its cluster, zone and address")]
    InvalidEntryName,
}

/// Why a message could not be written as JSON.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("no proto3 JSON of {message}: {reason}")]
pub struct EncodeError {
    /// The full name of the message.
    pub message: String,
    /// What the serializer says.
    pub reason: String,
}
