//! How a proxy is configured: what the rest of the crate works with, checked and with absolute meaning.
//! The form of the YAML file is in [`file`].

mod file;

use crate::tls::{TlsConfigError, TlsSide};
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use wheelspread::time::Span;
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::span_format;
use wheelspread_proxy_core::CoreConfig;

/// One controller of a proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerEndpoint {
    /// Where it takes load reports and serves tables by stream.
    pub reports: SocketAddrV4,
    /// The root of its table files; not needed where tables are read from streams.
    #[serde(default)]
    pub tables: PathBuf,
}

/// Where tables come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableSource {
    /// Files that a controller swaps in.
    #[default]
    Files,
    /// A discovery stream at the address of `reports`.
    Stream,
}

/// How long the proxy waits for what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// For a connection to a node.
    #[serde(with = "span_format")]
    pub connect: Span,
    /// For the rest of a request that has begun.
    #[serde(with = "span_format")]
    pub request: Span,
    /// For a client's next request.
    #[serde(with = "span_format")]
    pub client_idle: Span,
    /// Before an idle connection to a node is closed.
    #[serde(with = "span_format")]
    pub node_idle: Span,
    /// Between two attempts to reach a controller, before jitter.
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

/// A proxy as it is run.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// The name under which controllers know it.
    pub name: String,
    /// The zone that it is in.
    pub zone: String,
    /// Where clients connect.
    pub listen: SocketAddrV4,
    /// The address that it calls nodes and controllers from; `None`: the system chooses.
    pub source: Option<Ipv4Addr>,
    /// Requests per second that usually come to it, for controllers that have no reports of it yet.
    pub usual_rate: Option<f64>,
    /// Seeds node selection, admission and reconnect jitter.
    pub seed: u64,
    /// Its controllers, the usual one first.
    pub controllers: Vec<ControllerEndpoint>,
    /// What the core is configured with.
    pub core: CoreConfig,
    /// The longest head of a request or response, in bytes.
    pub max_head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Client connections at one time; more are closed at once.
    pub max_client_connections: usize,
    /// Connections to one node, idle ones included.
    pub max_connections_per_node: usize,
    /// How long it waits for what.
    pub timeouts: Timeouts,
    /// Whether it tells controllers which version it holds.
    pub publishes_status: bool,
    /// Whether it goes by what is swapped into the first controller's directory though no controller accepted
    /// its report stream, as where somebody swaps tables by hand.
    pub follows_unjoined: bool,
    /// Where tables come from.
    pub table_source: TableSource,
    /// How streams to controllers are secured; `None`: not at all.
    pub tls: Option<TlsSide>,
}

impl ProxyConfig {
    /// Reads a YAML file; relative paths in it start from its directory.
    ///
    /// # Errors
    /// The file can't be read or is not valid.
    pub fn read(path: &Path) -> Result<ProxyConfig, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        ProxyConfig::parse(&text, path)
    }

    /// Reads the text of a YAML file that lies at `path`.
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

    /// How the proxy introduces itself to controllers.
    pub(crate) fn introduction(&self) -> ProxyIdentity {
        ProxyIdentity {
            name: self.name.clone(),
            zone: self.zone.clone(),
            usual_rate: self.usual_rate,
        }
    }

    /// Where controllers listen.
    pub(crate) fn controller_addresses(&self) -> Vec<SocketAddrV4> {
        self.controllers
            .iter()
            .map(|controller| controller.reports)
            .collect()
    }

    /// The roots of the controllers' table files.
    pub(crate) fn table_roots(&self) -> Vec<PathBuf> {
        self.controllers
            .iter()
            .map(|controller| controller.tables.clone())
            .collect()
    }
}

/// Why a proxy has no configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file does not have the form of a proxy's file.
    #[error("{path}: {source}", path = .path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Where it differs.
        source: serde_yaml_ng::Error,
    },
    /// A value is not allowed.
    #[error("{path}: {source}", path = .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Which value.
        source: InvalidConfig,
    },
}

/// A value in a proxy's file that is not allowed, named by its key.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// The name is also a file name in the controllers' roots.
    #[error("proxy.name: `{0}` should be 1 to 100 letters, digits, - and _")]
    ProxyName(String),
    /// There is nobody to take tables from.
    #[error("conductors: one at least is needed")]
    NoControllers,
    /// Too few or too many operations.
    #[error("operations: {0}, between 1 and 16 are possible")]
    OperationCount(usize),
    /// The retry budget is out of range.
    #[error("repeats: part should lie between 0 and 10, at_once between 0 and 1e6")]
    RetryBudget,
    /// A size is too small.
    #[error("sizes: head should be 256 at least, numbers of connections above 0")]
    Sizes,
    /// An operation without time.
    #[error("operations.{index}.integration_timeout: should be above 0")]
    IntegrationTimeout {
        /// Its place in the list.
        index: usize,
    },
    /// Two operations of one name.
    #[error("operations.{index}.name: `{name}` is named twice")]
    DuplicateOperation {
        /// The place of the second one in the list.
        index: usize,
        /// The name.
        name: String,
    },
    /// The TLS part is not usable.
    #[error("tls: {0}")]
    Tls(#[from] TlsConfigError),
}

#[cfg(test)]
mod tests;
