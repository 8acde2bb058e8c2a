//! Orders to drain a node, and to take that back, without clock or sockets.
//!
//! - `order`: an order, and why it is refused;
//! - `state`: how far an order has come;
//! - `registry`: a controller's side: the newest order for each node and its evidence;
//! - `delivery`: the side of a fleet's tool: an order is sent to every controller, with retries within a budget of time;
//! - `consistency`: where the controllers of a fleet disagree, and which orders one of them misses.

pub mod consistency;
pub mod delivery;
pub mod order;
pub mod registry;
pub mod state;

pub use delivery::{OrderDelivery, Outcome, Reply, RetryBudget};
pub use order::{describe_checks, DrainAction, DrainError, DrainOrder, FailedCheck, OrderId};
pub use registry::{Drain, DrainRegistry, Evidence};
pub use state::{DrainEvent, DrainState};
