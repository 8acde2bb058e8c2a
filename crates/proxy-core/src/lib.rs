//! The decisions of a proxy that obeys published tables, without I/O.
//!
//! Events go in: requests that arrive, attempts that end, tables that change. [`ProxyCore`] decides where to
//! send, what to respond and when to give up. It holds no socket and reads no clock: the event loop around it
//! moves bytes and passes the time in.
//!
//! | module | decides |
//! | --- | --- |
//! | [`core`] | the course of each request |
//! | [`selection`] | which node gets an attempt |
//! | [`ejection`] | which nodes are avoided after failures (passive health checking) |
//! | [`retry`] | whether a failed attempt is followed by another |
//! | [`admission`] | which requests are rejected |
//! | [`load_accounting`] | what is reported to controllers |
//! | [`dialer`] | when and to which controller a stream is opened |

pub mod admission;
pub mod config;
pub mod core;
pub mod dialer;
pub mod ejection;
pub mod load_accounting;
pub mod message;
pub mod retry;
pub mod selection;

pub use crate::core::ProxyCore;
pub use config::{CoreConfig, OperationRules, OperationTable};
pub use ejection::EjectionPolicy;
pub use message::{Action, AttemptOrder, AttemptOutcome, ClientResponse, Decision, RequestHandle};
pub use retry::{Failure, Processing, RetryBudgetConfig, RetrySafety};
pub use selection::{SelectionPolicy, WeightedNode};
