//! The conductor as it runs: what it is told by file (`ControllerFile`), and the loop that feeds the
//! session from sockets and directories and carries out what it says (`Controller`).

mod admin;
mod discovery_server;
mod drains;
mod file;
mod locate;
pub mod log;
mod service;
mod state_writer;
mod streams;

pub use file::{ControllerFile, ControllerFileError, LogForm, LogPlan};
pub use locate::line_of;
pub use service::{Controller, Ended, StartError};
