//! A traffic director for fleets of plain proxies: decides the weighted tables, admission limits and retry policies
//! that a controller publishes, without I/O.
//!
//! A host calls [`Balancer::start`], [`Balancer::handle_event`] for each [`Event`] of a moment and
//! [`Balancer::decide`] once at its end, and carries out the [`Action`]s it gets.

mod action;
mod balance;
mod event;
pub mod ids;
mod measure;
pub mod pcg;
pub mod ring;
pub mod settings;
mod state;
pub mod time;

pub use action::{Action, RetryPolicy};
pub use event::{EndpointEntry, EndpointListKind, EndpointStatus, Event};
pub use state::{Balancer, CapacitySnapshot};

#[cfg(test)]
mod scenarios;
