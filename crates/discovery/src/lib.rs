//! Discovery streams without sockets or messages: what a client asked for, what it holds, what it is sent
//! next, and what follows when it refuses. `Front` keeps all streams of a conductor; whoever owns the
//! sockets decodes a request into an `Ask`, and encodes an `Answer`.

pub mod delta_client;
pub mod rejection;
pub mod resource_store;
pub mod server;
pub mod snapshot;
pub mod snapshot_cache;
pub mod stream;

pub use rejection::{Verdict, Verdicts};
pub use resource_store::{Receiver, Taken};
pub use server::{Front, News, Plan};
pub use snapshot::{Checksum, Content, Kind, Resource};
pub use snapshot_cache::History;
pub use stream::{Answer, Ask, Mode, Stream};
