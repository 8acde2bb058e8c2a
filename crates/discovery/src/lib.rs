//! Protocol state of xDS discovery streams, without sockets, serialized messages or a clock.
//!
//! | module | job |
//! | --- | --- |
//! | [`discovery_streams`] | the server: all streams of a controller, and the events that follow from requests |
//! | [`stream`] | one stream: which response is due next, and what a request means |
//! | [`message`] | requests and responses |
//! | [`resource`], [`snapshot`] | resources, and all of one version |
//! | [`resource_delta`], [`snapshot_cache`] | what differs between two snapshots, computed once for all clients |
//! | [`rejection`] | what follows from NACKs |
//! | [`delta_client`], [`resource_store`] | the client of the incremental variant |
//!
//! Whoever owns the sockets decodes a message into a [`Request`], and encodes a [`Response`].

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
