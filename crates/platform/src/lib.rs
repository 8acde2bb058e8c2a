//! The conductor on a platform that speaks to it by messages on plain connections (docs/platform.md): its
//! configuration (`config`), the connections of proxies and collectors (`connection`), exchanges to discovery and to
//! nodes (`exchange`), what is owed where a connection ends (`close_reason`), and the loop that turns them (`service`). Limits of buffers, descriptors and of how long
//! strangers are waited for are kept here; everything else is decided beneath `wheelspread-platform-core`.

mod clock;
mod close_reason;
mod config;
mod connection;
mod exchange;
mod service;

pub use config::{BadFile, PlatformFile};
pub use service::{NoStart, Service};
