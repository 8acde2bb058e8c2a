//! The client of the incremental variant, without its socket: its requests, the deltas that it applies, and the
//! detection that all resources it holds are of one version.
//!
//! Resource types arrive one after the other. A version takes effect once its last type has arrived, so that no request
//! is forwarded with the entries of one version and the routes of another.

use crate::message::Request;
use crate::resource::ResourceType;
use crate::resource_store::{DeltaUpdate, ResourceStore};
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;

/// The reason of a NACK for a type that the client has no subscription to.
const NOT_SUBSCRIBED: &str = "the resource type is not subscribed to";

/// The names of one type that a client subscribes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TypeSubscription {
    /// The resource type.
    pub resource_type: ResourceType,
    /// Names and patterns subscribed to.
    pub names: Vec<String>,
}

impl TypeSubscription {
    /// Creates a subscription to these names of a type.
    pub fn new(resource_type: ResourceType, names: Vec<String>) -> TypeSubscription {
        TypeSubscription {
            resource_type,
            names,
        }
    }
}

/// The fields of a response of the incremental variant that the client's state depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaResponse {
    /// The type of the resources.
    pub resource_type: ResourceType,
    /// The nonce, which the ACK or NACK repeats.
    pub nonce: String,
    /// The version that the client holds once the update is applied; `None` if the response states none.
    pub version: Option<Version>,
    /// The changed and removed resources.
    pub update: DeltaUpdate,
}

/// The result of handling a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseOutcome {
    /// The ACK or NACK to send.
    pub reply: Request,
    /// The version that is now complete: all types are of this version.
    pub completed_version: Option<Version>,
    /// Set if the delta could not be applied: the reason to reopen the stream and request all resources of the type
    /// again.
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

/// The client of the incremental variant.
#[derive(Clone, Debug)]
pub struct DeltaClient {
    /// In the order in which types arrive; the last type completes a version.
    subscriptions: Vec<TypeSubscription>,
    stores: BTreeMap<ResourceType, ResourceStore>,
    version: Option<Version>,
}

impl DeltaClient {
    /// Creates a client without resources. The type of the last subscription completes a version.
    pub fn new(subscriptions: Vec<TypeSubscription>) -> DeltaClient {
        DeltaClient {
            subscriptions,
            stores: BTreeMap::new(),
            version: None,
        }
    }

    /// The last version that was complete and passed validation.
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

    /// A fingerprint of all held resources, equal for clients that hold the same resources.
    pub fn fingerprint(&self) -> String {
        let checksums = self
            .stores
            .values()
            .map(|store| store.checksum().to_string());
        checksums.collect::<Vec<_>>().join("-")
    }

    /// The requests that open a stream: subscribed names, and the versions of the resources already held.
    pub fn initial_requests(&self) -> Vec<Request> {
        let request = |subscription: &TypeSubscription| {
            let resource_type = subscription.resource_type;
            let held = self.stores.get(&resource_type);
            let versions = held.map(ResourceStore::versions).unwrap_or_default();
            Request::delta_subscribe(resource_type, subscription.names.clone(), versions)
        };
        self.subscriptions.iter().map(request).collect()
    }

    /// Applies a response. Once a version is complete, `validate` is called with the client as it would be; on an error
    /// the response is rejected and the resources of its type are restored.
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
