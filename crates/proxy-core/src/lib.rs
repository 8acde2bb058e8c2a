//! The decisions of a proxy that obeys published tables. `Core` is told of invocations that arrive, of
//! tries that end and of tables that change; it says where to send, what to answer and when to give up.
//! It holds no socket and reads no clock: the shell around it forwards bytes.

pub mod admission;
pub mod core;
pub mod dial;
pub mod pick;
pub mod retry;
pub mod shun;
pub mod tally;

pub use crate::core::{
    Answer, Core, CorePlan, Decision, InvocationId, Move, OperationRules, Send, TryEnd,
};
pub use pick::Picking;
pub use retry::{Failure, Guard, Proof};
