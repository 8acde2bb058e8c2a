//! The controller as it runs: its file ([`ControllerFile`]), and the event loop that feeds the core from sockets
//! and directories and carries out its effects ([`Controller`]).

mod admin;
mod discovery_server;
mod drains;
mod file;
mod locate;
pub mod log;
mod service;
mod state_writer;
mod streams;

pub use file::{
    AdministrationSettings, ChangeSettings, ControllerFile, ControllerFileError,
    ControllerSettings, LogForm, LogSettings, StreamSettings, TlsSettings,
};
pub use locate::line_of;
pub use service::{Controller, ExitReason, StartError};
