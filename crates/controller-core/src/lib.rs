//! A conductor without its sockets: `Session` is told what was observed (a list swapped in, a stream of
//! sums opened, a file written) and says what to do (write a version, point a proxy at it, close a
//! stream). The module in `wheelspread` decides; the session feeds it and carries out what it orders.
//! Nothing here reads a clock, a file or a socket, so a test plays whole days in a loop.

pub mod back;
pub mod book;
pub mod channel;
pub mod deployment;
pub mod fronts;
pub mod marks;
pub mod measured;
pub mod membership;
pub mod nodes;
pub mod overlay;
pub mod quiet;
pub mod session;
pub mod spans;
pub mod sums;
pub mod weigh;

pub use book::{Bundle, Line, TableSet, Version};
pub use deployment::Deployment;
pub use overlay::{NodeValues, Service};
pub use session::{Configured, Effect, Notice, Observation, Session, StartError};
