//! The decisions of a proxy that obeys published tables. `ProxyCore` is told of invocations that arrive, of
//! tries that end and of tables that change; it says where to send, what to answer and when to give up.
//! It holds no socket and reads no clock: the shell around it forwards bytes.

pub mod admission;
pub mod core;
pub mod dialer;
pub mod ejection;
pub mod load_accounting;
pub mod retry;
pub mod selection;

pub use crate::core::{
    Action, AttemptOrder, AttemptOutcome, ClientResponse, CoreConfig, Decision, OperationRules,
    ProxyCore, RequestHandle,
};
pub use retry::{Failure, Processing, RetrySafety};
pub use selection::SelectionPolicy;
