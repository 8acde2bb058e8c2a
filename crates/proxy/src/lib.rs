//! The proxy around its core: clients on one side, pooled connections to nodes on the other, tables read
//! from swapped files, sums told on a stream. A `Proxy` is driven by whoever owns the loop, so that one
//! thread can carry several; `serve` is the loop of one.

mod client;
mod config;
mod http;
pub mod observer;
mod proxy;
mod report_stream;
mod serve;
mod table_files;
mod table_stream;
mod tls;
mod upstream;

pub use config::{ConfigError, ControllerEndpoint, ProxyConfig, ProxyFile, TableSource, Timeouts};
pub use observer::{NoObserver, RequestObserver};
pub use proxy::Proxy;
pub use serve::serve;
pub use tls::TlsSide;
