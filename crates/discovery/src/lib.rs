//! Discovery streams without sockets or messages: what a client asked for, what it holds, what it is sent
//! next, and what follows when it refuses. `DiscoveryStreams` keeps all streams of a conductor; whoever owns the
//! sockets decodes a request into an `Request`, and encodes an `Response`.

pub mod delta_client;
pub mod discovery_streams;
pub mod rejection;
pub mod resource_store;
pub mod snapshot;
pub mod snapshot_cache;
pub mod stream;

pub use discovery_streams::{DiscoveryLimits, DiscoveryStreams, StreamEvent};
pub use rejection::{RejectionResponse, RejectionTracker};
pub use resource_store::{ResourceStore, UpdateResult};
pub use snapshot::{Checksum, Resource, ResourceType, Snapshot};
pub use snapshot_cache::SnapshotCache;
pub use stream::{Request, RequestBody, Response, Stream};
