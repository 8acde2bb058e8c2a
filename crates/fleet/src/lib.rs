//! The client of the controllers' API for operators, as docs/api.yaml describes it.
//!
//! [`FleetFile`] names the controllers. [`Fleet::ask`] calls all of them at the same time and returns what each
//! answered by the deadline. [`Fleet::order`] delivers an order to all, retries where that failed, and says how far it came.
//! `examples/drain.rs` uses all three.

mod call;
mod file;
mod fleet;
mod order;

pub use call::{call, Failed, Line, Request, Secured};
pub use file::{FleetError, FleetFile, FleetKeys, FleetProblem, Place};
pub use fleet::Fleet;
pub use order::{drain_order, Ordered};
