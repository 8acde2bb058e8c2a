//! A client of the incremental variant, without its socket: what it requests, what it applies, and when everything
//! that it holds is of one version.
//!
//! Types come one after the other; nothing is in force before the last type of a version has come, so that no request
//! meets entries of one version and routes of another.

use crate::message::Request;
use crate::resource::ResourceType;
use crate::resource_store::{DeltaUpdate, ResourceStore};
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;

/// The reason of a NACK for a type that the client has no subscription to.
const NOT_SUBSCRIBED: &str = "this kind was not asked for";

/// The names of one type that a client subscribes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TypeSubscription {
    /// The type.
    pub resource_type: ResourceType,
    /// Names and patterns.
    pub names: Vec<String>,
}

impl TypeSubscription {
    /// A subscription to these names of a type.
    pub fn new(resource_type: ResourceType, names: Vec<String>) -> TypeSubscription {
        TypeSubscription {
            resource_type,
            names,
        }
    }
}

/// A response of the incremental variant, as the client's state depends on it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaResponse {
    /// The type of its resources.
    pub resource_type: ResourceType,
    /// To be named in the ACK or NACK.
    pub nonce: String,
    /// The version that it leads to.
    pub version: Option<Version>,
    /// What changes.
    pub update: DeltaUpdate,
}

/// What came of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseOutcome {
    /// The ACK or NACK to be sent.
    pub reply: Request,
    /// All types are of this version now.
    pub completed_version: Option<Version>,
    /// Set if the response does not fit what is held: the stream has to be opened again, and everything requested.
    pub restart_reason: Option<String>,
}

impl ResponseOutcome {
    fn ack(reply: Request) -> ResponseOutcome {
        ResponseOutcome {
            reply,
            completed_version: None,
            restart_reason: None,
        }
    }

    fn nack(mut reply: Request, reason: String) -> ResponseOutcome {
        reply.error = Some(reason);
        ResponseOutcome::ack(reply)
    }
}

/// A client of the incremental variant.
#[derive(Clone, Debug)]
pub struct DeltaClient {
    /// In the order in which types come; the last one completes a version.
    subscriptions: Vec<TypeSubscription>,
    stores: BTreeMap<ResourceType, ResourceStore>,
    version: Option<Version>,
}

impl DeltaClient {
    /// A client that holds nothing. The last subscription is the one that completes a version.
    pub fn new(subscriptions: Vec<TypeSubscription>) -> DeltaClient {
        DeltaClient {
            subscriptions,
            stores: BTreeMap::new(),
            version: None,
        }
    }

    /// The last version that was complete and valid.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// The resources of a type, by name.
    pub fn resources(&self, resource_type: ResourceType) -> impl Iterator<Item = (&str, &[u8])> {
        self.stores
            .get(&resource_type)
            .into_iter()
            .flat_map(ResourceStore::resources)
            .map(|(name, resource)| (name.as_str(), &resource.bytes[..]))
    }

    /// Identifies all that is held: the same wherever the same is held.
    pub fn fingerprint(&self) -> String {
        let checksums = self
            .stores
            .values()
            .map(|store| store.checksum().to_string());
        checksums.collect::<Vec<_>>().join("-")
    }

    /// The requests that open a stream: names, and versions of what is held already.
    pub fn initial_requests(&self) -> Vec<Request> {
        let request = |subscription: &TypeSubscription| {
            let resource_type = subscription.resource_type;
            let held = self.stores.get(&resource_type);
            let versions = held.map(ResourceStore::versions).unwrap_or_default();
            Request::delta_subscribe(resource_type, subscription.names.clone(), versions)
        };
        self.subscriptions.iter().map(request).collect()
    }

    /// Applies a response. `validate` is called once a version is complete, with what would then be held.
    pub fn handle_response<E: ToString>(
        &mut self,
        response: &DeltaResponse,
        validate: impl FnOnce(&DeltaClient, Version) -> Result<(), E>,
    ) -> ResponseOutcome {
        let resource_type = response.resource_type;
        let reply = Request::delta_ack(resource_type, response.nonce.clone());
        if !self.is_subscribed(resource_type) {
            return ResponseOutcome::nack(reply, NOT_SUBSCRIBED.to_string());
        }
        let store = self.stores.entry(resource_type).or_default();
        let before = store.clone();
        if let Err(error) = store.apply(&response.update) {
            *store = ResourceStore::default();
            let reason = error.to_string();
            return ResponseOutcome {
                restart_reason: Some(reason.clone()),
                ..ResponseOutcome::nack(reply, reason)
            };
        }
        let Some(version) = response.version.filter(|_| self.is_last(resource_type)) else {
            return ResponseOutcome::ack(reply);
        };
        if let Err(error) = validate(self, version) {
            self.stores.insert(resource_type, before);
            return ResponseOutcome::nack(reply, error.to_string());
        }
        self.version = Some(version);
        ResponseOutcome {
            completed_version: Some(version),
            ..ResponseOutcome::ack(reply)
        }
    }

    fn is_subscribed(&self, resource_type: ResourceType) -> bool {
        self.subscriptions
            .iter()
            .any(|subscription| subscription.resource_type == resource_type)
    }

    fn is_last(&self, resource_type: ResourceType) -> bool {
        self.subscriptions
            .last()
            .is_some_and(|subscription| subscription.resource_type == resource_type)
    }
}

#[cfg(test)]
mod tests;
