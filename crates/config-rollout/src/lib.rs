//! Configuration changes in a running controller, without I/O.
//!
//! [`Rollout`] carries each change from the ledger through the controller core to the proxies and back. Proxies see
//! nothing of a change before the disk has what a crash would need.
//!
//! - `values`: which values a change may set, and what a set of values comes to;
//! - `measured_fleet`: measurements in the form that the checks and the solver take;
//! - `pool_risk`: pools that a change or a drain would empty;
//! - `watch`: when a change in force has done harm;
//! - `messages`: commands, answers, actions and log events;
//! - `rollout`: the state of all of it.

pub mod measured_fleet;
pub mod messages;
pub mod pool_risk;
pub mod rollout;
pub mod values;
pub mod watch;

pub use messages::{
    Answer, PlannedValue, RolloutAction, RolloutCommand, RolloutEvent, RolloutSettings, WriteError,
};
pub use rollout::Rollout;
pub use watch::Conditions;
