//! Configuration changes in a running controller, without I/O.
//!
//! [`Rollout`] passes the values of each change from the ledger through the controller core to the proxies, and tracks
//! how far they have propagated. A change reaches no proxy before everything needed to recover from a crash is on disk.
//!
//! - `values`: the values that a change may set, and the configuration update that results from them;
//! - `measured_fleet`: the measured fleet as input of the checks and the solver;
//! - `pool_risk`: pools that a change or a drain would leave without a node;
//! - `watch`: the conditions on which a change in force is undone;
//! - `messages`: commands, answers, actions and log events;
//! - `rollout`: the state machine that connects these parts.

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
