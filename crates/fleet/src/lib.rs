//! The client of conductors' interface for operators, as docs/api.yaml describes it. `FleetFile` names the
//! conductors, `Fleet::ask` asks all of them at once and gives back what each answered by the time asked for,
//! `Fleet::order` tells an order to all, again where it failed, and says how far it came.
//! `examples/drain.rs` uses all three.

mod call;
mod file;
mod order;

pub use call::{call, Failed, Line, Request, Secured};
pub use file::{Fleet, FleetError, FleetFile, Place};
pub use order::{drain_order, Ordered};
