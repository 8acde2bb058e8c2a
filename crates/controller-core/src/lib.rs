//! The controller's state and protocol logic, without sockets, disk or clock.
//!
//! [`ControllerCore`] takes observations (an endpoint list was read, a stream of load reports was opened, a file
//! was written) and returns effects (write a version, switch a proxy to it, close a stream). The balancer in
//! `wheelspread` makes the decisions; the core passes observations to it and turns its actions into published
//! tables. Nothing in this crate reads a clock, a file or a socket, so that a test can simulate days in a loop.

pub mod acknowledgement;
pub mod controller_core;
pub mod deployment;
pub mod drain_evidence;
pub mod endpoint_list;
pub mod load_report;
pub mod membership;
pub mod node_overrides;
pub mod publication;
pub mod rollback;
pub mod service_history;
pub mod span_format;
pub mod transport;
pub mod update_queue;
pub mod weight_solver;

pub use controller_core::{
    ConfigUpdate, ControllerCore, Effect, LogEvent, Observation, StartError,
};
pub use deployment::Deployment;
pub use node_overrides::{NodeValues, ServiceState};
pub use publication::{Bundle, TableEntry, TableSet, Version};
