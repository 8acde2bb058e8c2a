//! One conductor between a platform's messages and the module, without I/O. `message` reads what comes,
//! `handshake` says what a connection may say, `membership` knows nodes by name, `publication` holds the module's tables
//! and what each stream was told of them, and `controller_core` drives the module with all of it. Weights, levels,
//! health, repeats and pace are the module's; here its events and actions only change their form.

mod controller_core;
mod handshake;
mod membership;
mod message;
mod publication;
#[cfg(test)]
mod tests;

pub use controller_core::{Desk, Out, Reply};
pub use membership::{Entry, List, SourceId, WatchPlace, CONFIGURATION};
pub use message::{load_of, BadMessage};

/// What the owner of the sockets exchanges a connection by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
