//! The protocol state of a controller on a platform. It opens no sockets and reads no clock: the caller passes in
//! received messages and the current time, and carries out the returned outputs.
//!
//! | module | owns |
//! | --- | --- |
//! | `message` | parsing of messages from proxies and collectors |
//! | `handshake` | which messages each kind of peer may send |
//! | `endpoint_list` | parsing of endpoint lists from discovery, and the version that a watch has reached |
//! | `membership` | nodes by name and by id |
//! | `publication` | the balancer's tables, and the part of them that was sent on each proxy's stream |
//! | `controller_core` | passes events to the balancer and turns its actions into outputs |
//!
//! Weights, admission ratios, health, retries and pacing are decided by the balancer (`wheelspread`). This crate
//! only converts messages to events, and actions to messages.

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

/// Identifies a connection. The caller assigns the ids, in ascending order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
