//! A client of the controllers' API for operators, which docs/api.yaml describes.
//!
//! [`FleetFile`] lists the controllers. [`Fleet::call_all`] calls all of them concurrently and returns each answer or
//! error by the deadline. [`Fleet::order`] delivers an order to all of them, retries transient failures, and returns
//! the outcome by controller. `examples/drain.rs` uses all three.

mod call;
mod file;
mod fleet;
mod order;

pub use call::{call, ClientTls, ControllerAddress, Request, RequestError};
pub use file::{ControllerEntry, FleetError, FleetFile, FleetKeys, FleetProblem};
pub use fleet::Fleet;
pub use order::{drain_order, OrderResult};
