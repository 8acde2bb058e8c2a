//! The decision core of a traffic director for fleets of proxies: decides the weighted tables, admission limits and
//! retry policies that a controller publishes. The crate does no I/O.
//!
//! A host calls [`Balancer::start`] once. For each point in time it calls [`Balancer::handle_event`] for every
//! [`Event`] of that time, then [`Balancer::decide`] once, and carries out the returned [`Action`]s.

mod action;
mod admission;
mod balancer;
mod capacity;
mod config;
mod error;
mod event;
mod fleet;
mod fleet_load;
mod flows;
mod gossip;
pub mod ids;
mod lifecycle;
mod locality;
mod membership;
mod node_load;
mod outlier;
mod pacing;
pub mod pcg;
mod publication;
mod rates;
mod report_check;
mod report_timing;
mod retry_policy;
pub mod rolling_window;
mod setting_value;
pub mod settings;
mod shares;
mod slow_start;
mod subset;
mod tables;
pub mod time;
mod update_plan;

pub use action::{Action, RetryPolicy};
pub use balancer::Balancer;
pub use capacity::{CapacitySnapshot, KindEstimate};
pub use error::{ConfigError, EventError};
pub use event::{EndpointEntry, EndpointListKind, EndpointStatus, Event};
