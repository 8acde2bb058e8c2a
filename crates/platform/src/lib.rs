//! The controller on a platform, which talks to it by messages on plain TCP connections (docs/platform.md).
//!
//! | module | owns |
//! | --- | --- |
//! | `config` | the configuration file |
//! | `connection` | one connection of a proxy or a collector: reading, buffering, writing |
//! | `exchange` | one HTTP request to discovery or a node |
//! | `close_reason` | why connections are closed, and what closing still has to do |
//! | `service` | the event loop over all of them |
//!
//! Limits of buffers, descriptors and waiting times are kept here. Everything else is decided beneath
//! `wheelspread-platform-core`.

mod clock;
mod close_reason;
mod config;
mod connection;
mod exchange;
mod service;

pub use config::{CachedListError, ConfigError, FieldProblem, PlatformConfig};
pub use service::{Service, StartError};
