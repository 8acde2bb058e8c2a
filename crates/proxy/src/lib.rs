//! A small HTTP/1.1 proxy that obeys published tables.
//!
//! [`Proxy`] is the proxy around its core (`wheelspread-proxy-core`): client connections on one side, pooled
//! connections to nodes on the other, tables read from swapped files or a stream, load reports sent on a
//! stream. It is driven by whoever owns the event loop, so that one thread can carry several; [`serve`] is the
//! loop of one.

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
pub use tls::{TlsConfigError, TlsSide};
