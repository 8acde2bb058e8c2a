//! The validated configuration of a proxy, as the rest of the crate uses it. [`file`] defines the YAML file.

mod file;

use crate::tls::{TlsConfig, TlsConfigError};
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use wheelspread::time::Span;
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::span_format;
use wheelspread_proxy_core::CoreConfig;

/// A controller that the proxy can join.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerEndpoint {
    /// Address at which the controller accepts load report streams and serves discovery streams.
    pub reports: SocketAddrV4,
    /// Root directory of the controller's table files. Not used if tables are read from streams.
    #[serde(default)]
    pub tables: PathBuf,
}

/// Where the proxy reads tables from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableSource {
    /// Table files that a controller replaces atomically.
    #[default]
    Files,
    /// A discovery stream from the address in [`ControllerEndpoint::reports`].
    Stream,
}

/// Time-outs and delays of the proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// Time limit for establishing a connection to a node.
    #[serde(with = "span_format")]
    pub connect: Span,
    /// Maximum inactivity of a client while it sends a request or receives a response.
    #[serde(with = "span_format")]
    pub request: Span,
    /// Maximum idle time of a client connection between two requests.
    #[serde(with = "span_format")]
    pub client_idle: Span,
    /// Maximum idle time of a connection to a node.
    #[serde(with = "span_format")]
    pub node_idle: Span,
    /// Delay before a closed or failed stream to a controller is dialed again, before jitter.
    #[serde(rename = "redial", with = "span_format")]
    pub reconnect_delay: Span,
}

impl Default for Timeouts {
    fn default() -> Self {
        let seconds = Span::from_seconds;
        Timeouts {
            connect: seconds(0.3),
            request: seconds(10.0),
            client_idle: seconds(60.0),
            node_idle: seconds(15.0),
            reconnect_delay: seconds(1.0),
        }
    }
}

/// The validated configuration of a proxy, with paths resolved.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// Name by which controllers identify the proxy.
    pub name: String,
    /// Zone of the proxy.
    pub zone: String,
    /// Address at which the proxy accepts clients.
    pub listen: SocketAddrV4,
    /// Source address of connections to nodes and controllers; `None` lets the operating system choose.
    pub source: Option<Ipv4Addr>,
    /// Usual number of requests per second, for controllers that have no load report of this proxy yet.
    pub usual_rate: Option<f64>,
    /// Seed of the random numbers for node selection, admission and reconnect jitter.
    pub seed: u64,
    /// The controllers, in the order in which they are tried.
    pub controllers: Vec<ControllerEndpoint>,
    /// Configuration of the core.
    pub core: CoreConfig,
    /// Maximum length of the head of a request or response, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the buffers of all clients together, in bytes. Above it, the largest incomplete request is
    /// rejected.
    pub max_buffer_bytes: usize,
    /// Maximum number of open client connections. Further ones are closed immediately after they are accepted.
    pub max_client_connections: usize,
    /// Maximum number of open connections to one node, including idle ones.
    pub max_connections_per_node: usize,
    /// Time-outs and delays.
    pub timeouts: Timeouts,
    /// Whether the proxy publishes in a status file which table version it holds or why it rejected one.
    pub publishes_status: bool,
    /// Whether the proxy follows the table files of the first controller even while no controller has accepted its
    /// load report stream, for example when an operator replaces table files by hand.
    pub follows_unjoined: bool,
    /// Where the proxy reads tables from.
    pub table_source: TableSource,
    /// TLS settings of streams to controllers; `None` means no TLS.
    pub tls: Option<TlsConfig>,
}

impl ProxyConfig {
    /// Reads a YAML file. Relative paths in it are resolved against its directory.
    ///
    /// # Errors
    /// The file can't be read, or its contents are not valid.
    pub fn read(path: &Path) -> Result<ProxyConfig, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        ProxyConfig::parse(&text, path)
    }

    /// Parses the text of the YAML file at `path`. Relative paths in it are resolved against the directory of `path`.
    ///
    /// # Errors
    /// The text is not valid.
    pub fn parse(text: &str, path: &Path) -> Result<ProxyConfig, ConfigError> {
        let file: file::ProxyFile =
            serde_yaml_ng::from_str(text).map_err(|source| ConfigError::Syntax {
                path: path.to_path_buf(),
                source,
            })?;
        let base = path.parent().unwrap_or(Path::new("."));
        file.into_config(base)
            .map_err(|source| ConfigError::Invalid {
                path: path.to_path_buf(),
                source,
            })
    }

    /// The identity that the proxy sends to controllers.
    pub(crate) fn identity(&self) -> ProxyIdentity {
        ProxyIdentity {
            name: self.name.clone(),
            zone: self.zone.clone(),
            usual_rate: self.usual_rate,
        }
    }

    /// The addresses at which the controllers accept streams.
    pub(crate) fn controller_addresses(&self) -> Vec<SocketAddrV4> {
        self.controllers
            .iter()
            .map(|controller| controller.reports)
            .collect()
    }

    /// The root directories of the controllers' table files.
    pub(crate) fn table_roots(&self) -> Vec<PathBuf> {
        self.controllers
            .iter()
            .map(|controller| controller.tables.clone())
            .collect()
    }
}

/// Why a proxy's configuration could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid YAML, or does not match the schema of the configuration file.
    #[error("{path}: {source}", path = .path.display())]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// The syntax or schema error.
        source: serde_yaml_ng::Error,
    },
    /// A value in the file is not allowed.
    #[error("{path}: {source}", path = .path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Which value is not allowed.
        source: InvalidConfig,
    },
}

/// A value in a proxy's configuration file that is not allowed. The message starts with its key.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// The proxy name has a wrong length or character. It is also used as a file name in the controllers' table roots.
    #[error("proxy.name: `{0}` should be 1 to 100 ASCII letters, digits, `-` or `_`")]
    ProxyName(String),
    /// The list of controllers is empty.
    #[error("conductors: at least one controller is required")]
    NoControllers,
    /// The number of operations is out of range.
    #[error("operations: {0} operations found, 1 to 16 are allowed")]
    OperationCount(usize),
    /// The retry budget is out of range.
    #[error("repeats: part should be between 0 and 10, at_once between 0 and 1e6")]
    RetryBudget,
    /// A size is too small.
    #[error(
        "sizes: head should be at least 256 bytes, connections and connections_per_node above 0"
    )]
    Sizes,
    /// The buffers of all clients are too small.
    #[error("sizes: buffers should be at least {min} bytes, four times head and body")]
    BufferSize {
        /// The smallest allowed size in bytes.
        min: usize,
    },
    /// The integration time-out of an operation is not positive.
    #[error("operations.{index}.integration_timeout: should be above 0")]
    IntegrationTimeout {
        /// Index of the operation in the list, from 0.
        index: usize,
    },
    /// Two operations have the same name.
    #[error("operations.{index}.name: `{name}` is the name of an earlier operation")]
    DuplicateOperation {
        /// Index of the second operation with the name, from 0.
        index: usize,
        /// The duplicate name.
        name: String,
    },
    /// The TLS settings are not valid.
    #[error("tls: {0}")]
    Tls(#[from] TlsConfigError),
}

#[cfg(test)]
mod tests;
