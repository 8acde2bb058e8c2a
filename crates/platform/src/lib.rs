//! The controller on a platform. Proxies and collectors exchange messages with it on plain TCP connections
//! (docs/platform.md).
//!
//! | module | owns |
//! | --- | --- |
//! | `config` | the configuration file |
//! | `connection` | one connection of a proxy or a collector: reading, buffering, writing |
//! | `exchange` | one HTTP request to discovery or a node |
//! | `close_reason` | why connections are closed, and the close obligations of each reason |
//! | `service` | the event loop over connections and exchanges |
//!
//! This crate enforces the limits of buffers, descriptors and waiting times. All other decisions are made in
//! `wheelspread-platform-core` and the balancer.

mod clock;
mod close_reason;
mod config;
mod connection;
mod exchange;
mod service;

pub use config::{CachedListError, ConfigError, FieldProblem, PlatformConfig};
pub use service::{Service, StartError};
