//! The fields of discovery requests and responses that the protocol's state depends on.

use crate::resource::{Checksum, Resource, ResourceName, ResourceType};
use crate::snapshot_cache::DeltaKey;
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;

/// A discovery request: a subscription, an ACK or a NACK, or a subscription combined with one of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The resource type of the request.
    pub resource_type: ResourceType,
    /// The nonce of the response that the request acknowledges or rejects; empty in the first request of a type.
    pub nonce: String,
    /// Why the client rejected that response (`error_detail`).
    pub error: Option<String>,
    /// What differs between the two variants of the protocol.
    pub body: RequestBody,
}

/// What differs between the two variants of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestBody {
    /// State of the world: every request lists all names subscribed to.
    StateOfTheWorld {
        /// All names subscribed to.
        names: Vec<String>,
        /// The version that the client holds.
        version: String,
    },
    /// Incremental: requests list the changes of the subscription.
    Delta {
        /// Names added to the subscription.
        subscribe: Vec<String>,
        /// Names removed from the subscription.
        unsubscribe: Vec<String>,
        /// Versions, by name, of the resources that the client holds from an earlier stream.
        initial_versions: BTreeMap<String, String>,
    },
}

impl Request {
    /// Creates the ACK, in the incremental variant, of the response with this nonce. It changes no subscription.
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

    /// Creates the first request of a type in the incremental variant.
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
    /// The type of the resources.
    pub resource_type: ResourceType,
    /// Identifies the response within the stream.
    pub nonce: u64,
    /// The version that the client holds once it has applied the response.
    pub version: Version,
    /// Whether the response is of the incremental variant.
    pub is_delta: bool,
    /// The resources in the response.
    pub changed: Vec<(ResourceName, Resource)>,
    /// Names of removed resources; empty in the state-of-the-world variant.
    pub removed: Vec<ResourceName>,
    /// The checksum of all resources of this type that the client holds afterwards; `None` while removals are deferred.
    pub resulting_checksum: Option<Checksum>,
    /// The key of the delta, if the response is the same for all clients with the same resources and subscriptions.
    pub delta_key: Option<DeltaKey>,
}

/// How a request was interpreted.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Neither ACK nor NACK; the request may have changed subscriptions.
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
    /// The nonce is that of an earlier response.
    Stale,
    /// The nonce was not sent on this stream; the text describes it.
    UnknownNonce(String),
}
