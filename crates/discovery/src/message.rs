//! Requests and responses of discovery streams, as far as the protocol's state depends on them.

use crate::resource::{Checksum, Resource, ResourceName, ResourceType};
use crate::snapshot_cache::DeltaKey;
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;

/// A discovery request: a subscription, an ACK, a NACK, or several of these at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The type it is about.
    pub resource_type: ResourceType,
    /// The nonce of the response that it acknowledges or rejects; empty in the first request of a type.
    pub nonce: String,
    /// Why the client rejected that response (`error_detail`).
    pub error: Option<String>,
    /// What differs between the two variants of the protocol.
    pub body: RequestBody,
}

/// What differs between the two variants of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestBody {
    /// State of the world: every request names all that is subscribed to.
    StateOfTheWorld {
        /// All names subscribed to.
        names: Vec<String>,
        /// The version that the client holds.
        version: String,
    },
    /// Incremental: requests name what changes.
    Delta {
        /// Names subscribed to in addition.
        subscribe: Vec<String>,
        /// Names that are dropped.
        unsubscribe: Vec<String>,
        /// Versions of resources that the client holds from an earlier stream, by name.
        initial_versions: BTreeMap<String, String>,
    },
}

impl Request {
    /// A request of the incremental variant that changes no subscription: an ACK of the response with this nonce.
    pub fn delta_ack(resource_type: ResourceType, nonce: impl Into<String>) -> Request {
        Request {
            resource_type,
            nonce: nonce.into(),
            error: None,
            body: RequestBody::Delta {
                subscribe: Vec::new(),
                unsubscribe: Vec::new(),
                initial_versions: BTreeMap::new(),
            },
        }
    }

    /// The first request of a type, of the incremental variant.
    pub fn delta_subscribe(
        resource_type: ResourceType,
        names: Vec<String>,
        initial_versions: BTreeMap<String, String>,
    ) -> Request {
        Request {
            resource_type,
            nonce: String::new(),
            error: None,
            body: RequestBody::Delta {
                subscribe: names,
                unsubscribe: Vec::new(),
                initial_versions,
            },
        }
    }
}

/// A discovery response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The type of its resources.
    pub resource_type: ResourceType,
    /// Names it in the stream.
    pub nonce: u64,
    /// The version that the client holds once it took the response.
    pub version: Version,
    /// Whether it is of the incremental variant.
    pub is_delta: bool,
    /// Resources that are sent.
    pub changed: Vec<(ResourceName, Resource)>,
    /// Names of resources that are gone.
    pub removed: Vec<ResourceName>,
    /// Of what the client holds of this type afterwards; `None` while removals are deferred.
    pub resulting_checksum: Option<Checksum>,
    /// Set where every client that holds the same and subscribed to the same gets the same.
    pub delta_key: Option<DeltaKey>,
}

/// What a request meant.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// It changed subscriptions at most.
    Subscribed,
    /// An ACK of the response in flight.
    Acknowledged,
    /// A NACK of the response in flight.
    Rejected {
        /// The version that was rejected.
        version: Version,
        /// The client's reason.
        reason: String,
    },
    /// Its nonce is that of an earlier response.
    Stale,
    /// Its nonce was never sent; the text says so.
    UnknownNonce(String),
}
