//! Orders to drain a node, and to take that back. `book` is a conductor's side: which order of several goes,
//! how far it has come, by which evidence. `campaign` is the side of who steers a fleet: whom to tell again
//! and when, within a budget of time, and what may be said of the whole; `agree` finds where conductors are of two
//! minds. None of it reads a clock or a socket.

pub mod consistency;
pub mod delivery;
pub mod registry;

pub use delivery::{OrderDelivery, Outcome, Reply, RetryBudget};
pub use registry::{
    Drain, DrainAction, DrainError, DrainOrder, DrainRegistry, DrainState, Evidence, OrderId,
};
