//! Changes of configuration in a running conductor, without I/O: what values there are and what they become
//! (`values`), what is measured turned into a fleet that the checks can judge (`fleet`), when a change that
//! is in force has done harm (`watch`), and `Rollout`, which takes each change from the ledger to the session
//! and back, never before the disk has what a crash would need.

pub mod fleet;
pub mod rollout;
pub mod values;
pub mod watch;

pub use rollout::{Answer, Rollout, RolloutAction, RolloutCommand, RolloutEvent, RolloutSettings};
pub use watch::Conditions;
