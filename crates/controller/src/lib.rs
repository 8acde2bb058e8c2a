//! The conductor as it runs: what it is told by file (`ConductorFile`), and the loop that feeds the
//! session from sockets and directories and carries out what it says (`Conductor`).

mod admin;
mod drains;
mod file;
mod front;
mod keeper;
mod locate;
pub mod log;
mod routes;
mod service;
mod streams;

pub use file::{BadFile, ConductorFile, LogForm, LogPlan};
pub use locate::line_of;
pub use service::{Conductor, Ended, StartFailed};
