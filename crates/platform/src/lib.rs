//! The conductor on a platform that speaks to it by messages on plain connections (docs/platform.md): its
//! configuration (`file`), the connections of proxies and collectors (`connection`), exchanges to discovery and to
//! nodes (`exchange`), what is owed where a connection ends (`ending`), and the loop that turns them (`service`). Limits of buffers, descriptors and of how long
//! strangers are waited for are kept here; everything else is decided beneath `wheelspread-platform-core`.

mod clock;
mod connection;
mod ending;
mod exchange;
mod file;
mod service;

pub use file::{BadFile, PlatformFile};
pub use service::{NoStart, Service};
