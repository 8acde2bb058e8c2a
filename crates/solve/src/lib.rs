//! Target weights under each host's capacity and at a cost that favours billed value.
//!
//! [`solve`] takes a [`Fleet`] and returns loads, weights, admitted shares and shadow prices. [`explain`] says why a
//! host got its weight, [`robust`] what a solution is worth if capacities are wrong, [`steady`] damps weights, and
//! [`estimate`] corrects capacities by what was observed. There is no I/O and no clock: the caller brings its
//! deadline as a function.

pub mod estimate;
pub mod explain;
pub mod fleet;
pub mod flow;
pub mod robust;
pub mod solution;
pub mod steady;

pub use fleet::{Fleet, Gateway, Host, HostState, Operation, SolveInputError};
pub use solution::{solve, AdmissionResult, FlowResult, HostResult, Solution, Status};
