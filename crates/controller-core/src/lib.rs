//! A controller without its sockets, disk and clock.
//!
//! [`ControllerCore`] is told what was observed (an endpoint list swapped in, a stream of load reports opened, a
//! file written) and says what to do (write a version, point a proxy at it, close a stream). The balancer in
//! `wheelspread` decides; the core feeds it and turns its actions into published tables. Nothing here reads a
//! clock, a file or a socket, so a test plays whole days in a loop.

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
