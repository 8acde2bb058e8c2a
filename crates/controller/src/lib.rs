//! The controller process: its configuration file ([`ControllerFile`]), and the event loop ([`Controller`]) that
//! turns what sockets and watched directories deliver into observations for the core and carries out the core's
//! effects.

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
    ControllerSettings, LogFormat, LogSettings, StreamSettings, TlsSettings,
};
pub use locate::line_of;
pub use service::{Controller, ExitReason, StartError};
