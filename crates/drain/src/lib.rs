//! Orders to drain a node and to withdraw its drain. This crate does no I/O; callers pass in the time.
//!
//! - `order`: an order, and the reasons for which it is refused;
//! - `state`: the states of an order and the transitions between them;
//! - `registry`: the controller's side: the newest order for each node, with the drain evidence;
//! - `delivery`: the client's side: an order is sent to every controller, with retries until a deadline;
//! - `consistency`: the disagreements between the controllers of a fleet, and the orders that a controller lacks.

pub mod consistency;
pub mod delivery;
pub mod order;
pub mod registry;
pub mod state;

pub use delivery::{OrderDelivery, Outcome, Reply, RetryBudget};
pub use order::{describe_checks, DrainAction, DrainError, DrainOrder, FailedCheck, OrderId};
pub use registry::{Drain, DrainRegistry, Evidence};
pub use state::{DrainEvent, DrainState};
