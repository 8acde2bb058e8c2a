//! Computes target weights that maximize billed value, less prices, within the capacity of each host.
//!
//! [`solve`] takes a [`Fleet`] and returns loads, weights, admission ratios and shadow prices. [`explain`] gives the
//! reasons for a host's weight, [`robust`] evaluates a solution under capacities that differ from the nominal ones,
//! [`steady`] damps changes of weights, and [`estimate`] corrects capacities by observations. The crate does no I/O
//! and reads no clock: the caller passes a function that reports whether its deadline has passed.

pub mod estimate;
pub mod explain;
pub mod fleet;
pub mod flow;
pub mod robust;
pub mod solution;
pub mod steady;

pub use fleet::{Fleet, Gateway, Host, HostState, Operation, SolveInputError};
pub use solution::{solve, AdmissionResult, FlowResult, HostResult, Solution, Status};
