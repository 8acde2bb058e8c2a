//! The decision logic of a proxy that routes by published tables, without I/O.
//!
//! [`ProxyCore`] takes events (request arrivals, attempt results, table changes) and decides which node gets an
//! attempt, what the client receives and when an attempt times out. It holds no socket and reads no clock: the
//! event loop that drives it does the I/O and passes the current time to each call.
//!
//! | module | decides |
//! | --- | --- |
//! | [`core`] | the lifecycle of each request: attempts, retries, time-outs and the response |
//! | [`selection`] | which node gets an attempt |
//! | [`ejection`] | which nodes get no attempts after failures (passive health checking) |
//! | [`retry`] | whether a failed attempt is followed by another |
//! | [`admission`] | which requests are rejected |
//! | [`load_accounting`] | the contents of load reports to controllers |
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
pub use message::{Action, AttemptOutcome, AttemptSpec, ClientResponse, Decision, RequestHandle};
pub use retry::{Failure, Processing, RetryBudgetConfig, RetrySafety};
pub use selection::{SelectionPolicy, WeightedNode};
