//! The protocol state of a controller on a platform, without sockets and without a clock.
//!
//! | module | owns |
//! | --- | --- |
//! | `message` | parsing of messages from proxies and collectors |
//! | `handshake` | what a connection may send, by who is at its other end |
//! | `endpoint_list` | endpoint lists as discovery sends them, and how far a watch has come |
//! | `membership` | nodes by name and by id |
//! | `publication` | the balancer's tables, and what each proxy's stream was sent of them |
//! | `controller_core` | feeds the balancer with all of it and turns its actions into outputs |
//!
//! Weights, admission ratios, health, retries and pacing are decided by the balancer (`wheelspread`). Here its
//! events and actions only change their form.

mod controller_core;
mod endpoint_list;
mod handshake;
mod membership;
mod message;
mod output;
mod publication;
#[cfg(test)]
mod tests;

pub use controller_core::{ControllerCore, HealthCheckResult, ReconfigureError, StartError};
pub use endpoint_list::{
    EndpointList, EntryError, ListError, ListedEndpoint, SourceId, WatchPosition, CONFIGURED_SOURCE,
};
pub use message::{parse_load_metrics, MessageError};
pub use output::{CloseCause, Diagnostic, MessageOutcome, Output, RejectReason};

/// Identifies a connection between this crate and the owner of the sockets. Ids ascend in the order in which
/// the connections were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
