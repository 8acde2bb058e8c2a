//! Protocol state of xDS discovery streams, without sockets, serialized messages or a clock.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`discovery_streams`] | the server: all streams of a controller, and the events caused by requests |
//! | [`stream`] | one stream: the next response, and the interpretation of requests |
//! | [`message`] | requests and responses, independent of their encoding |
//! | [`resource`], [`snapshot`] | resources, and the set of all resources of one version |
//! | [`resource_delta`], [`snapshot_cache`] | the difference between two snapshots, computed once for all clients |
//! | [`rejection`] | the reaction to NACKs: pauses, restarts and rollbacks |
//! | [`delta_client`], [`resource_store`] | the client of the incremental variant |
//!
//! The owner of the sockets decodes messages into a [`Request`] and encodes each [`Response`].

mod ack;
pub mod delta_client;
pub mod discovery_streams;
pub mod message;
pub mod rejection;
pub mod resource;
pub mod resource_delta;
pub mod resource_filter;
pub mod resource_store;
mod response_builder;
pub mod snapshot;
pub mod snapshot_cache;
pub mod stream;
mod subscription;

pub use delta_client::{DeltaClient, DeltaResponse, ResponseOutcome, TypeSubscription};
pub use discovery_streams::{AcknowledgedVersion, DiscoveryLimits, DiscoveryStreams, StreamEvent};
pub use message::{Request, RequestBody, RequestOutcome, Response};
pub use rejection::{RejectionResponse, RejectionTracker};
pub use resource::{Checksum, Resource, ResourceName, ResourceType};
pub use resource_store::{DeltaError, DeltaUpdate, ReceivedResource, ResourceStore};
pub use snapshot::Snapshot;
pub use snapshot_cache::{DeltaKey, SnapshotCache};
pub use stream::Stream;
