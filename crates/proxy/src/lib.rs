//! A small HTTP/1.1 proxy that routes by published tables.
//!
//! [`Proxy`] does the I/O for the core (`wheelspread-proxy-core`): it serves client connections, pools connections to
//! nodes, reads tables from files or a stream, and sends load reports on a stream. The owner of an event loop drives
//! it, so one thread can run several proxies. [`serve`] is an event loop with a single proxy.

mod client;
mod config;
mod connection;
mod http;
pub mod observer;
mod proxy;
mod report_stream;
mod serve;
mod table_files;
mod table_stream;
mod tls;
mod token;
mod upstream;
mod upstream_pool;

pub use config::{
    ConfigError, ControllerEndpoint, InvalidConfig, ProxyConfig, TableSource, Timeouts,
};
pub use observer::{NoObserver, RequestObserver};
pub use proxy::Proxy;
pub use serve::serve;
pub use tls::{TlsConfig, TlsConfigError};
