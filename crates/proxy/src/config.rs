//! What a proxy is told by its YAML file.

use crate::tls::TlsSide;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::Repeat;
use wheelspread_controller_core::membership::Introduction;
use wheelspread_controller_core::span_format;
use wheelspread_proxy_core::{CoreConfig, OperationRules, RetrySafety, SelectionPolicy};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Place {
    name: String,
    zone: String,
    listen: SocketAddrV4,
    /// The address that it calls nodes and conductors from.
    #[serde(default)]
    source: Option<Ipv4Addr>,
    #[serde(default)]
    usual_rate: Option<f64>,
    #[serde(default)]
    seed: u64,
}

/// One conductor: where it takes sums, and the root of its files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerEndpoint {
    pub reports: SocketAddrV4,
    /// The root of its files; not needed where tables are read from streams.
    #[serde(default)]
    pub tables: PathBuf,
}

/// Where tables come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableSource {
    #[default]
    Files,
    /// A discovery stream at the address of `reports`.
    Stream,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operation {
    name: String,
    #[serde(with = "span_format")]
    integration_timeout: Span,
    repeat: Repeat,
    #[serde(default = "none", with = "span_format")]
    repeat_window: Span,
}

fn none() -> Span {
    Span::ZERO
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Pick {
    Lottery,
    Wheel,
    Pair,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Avoid {
    /// Failures in a row of its own tries at a node; 0: it avoids none.
    after_errors: u32,
    #[serde(with = "span_format")]
    span: Span,
}

impl Default for Avoid {
    fn default() -> Self {
        Avoid {
            after_errors: 3,
            span: Span::from_seconds(5.0),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Repeats {
    /// Of first tries.
    part: f64,
    at_once: f64,
}

impl Default for Repeats {
    fn default() -> Self {
        Repeats {
            part: 0.2,
            at_once: 10.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Sizes {
    /// Bytes.
    head: usize,
    body: usize,
    connections: usize,
    connections_per_node: usize,
    outstanding_per_node: u32,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes {
            head: 16 << 10,
            body: 1 << 20,
            connections: 20_000,
            connections_per_node: 256,
            outstanding_per_node: 0,
        }
    }
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
    /// Before a connection to a node that nobody uses is closed.
    #[serde(with = "span_format")]
    pub node_idle: Span,
    /// Between two attempts to reach a conductor.
    #[serde(with = "span_format")]
    pub redial: Span,
}

impl Default for Timeouts {
    fn default() -> Self {
        let seconds = Span::from_seconds;
        Timeouts {
            connect: seconds(0.3),
            request: seconds(10.0),
            client_idle: seconds(60.0),
            node_idle: seconds(15.0),
            redial: seconds(1.0),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyFile {
    proxy: Place,
    conductors: Vec<ControllerEndpoint>,
    #[serde(default)]
    reads: TableSource,
    /// Left out: streams to conductors are not secured.
    #[serde(default)]
    tls: Option<TlsSide>,
    operations: Vec<Operation>,
    #[serde(default = "lottery")]
    pick: Pick,
    #[serde(default)]
    avoid: Avoid,
    #[serde(default)]
    repeats: Repeats,
    #[serde(default)]
    sizes: Sizes,
    #[serde(default)]
    waits: Timeouts,
    /// Whether it tells conductors which version it holds.
    #[serde(default = "yes")]
    publishes_status: bool,
    /// Whether it goes by what is swapped into the first conductor's directory though no conductor took it
    /// in, as where somebody swaps tables by hand.
    #[serde(default)]
    follows_unjoined: bool,
}

fn lottery() -> Pick {
    Pick::Lottery
}

fn yes() -> bool {
    true
}

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{path}: {text}", path = .path.display())]
    Content { path: PathBuf, text: String },
}

/// A proxy as it is run.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    pub name: String,
    pub zone: String,
    pub listen: SocketAddrV4,
    pub source: Option<Ipv4Addr>,
    pub usual_rate: Option<f64>,
    pub seed: u64,
    pub conductors: Vec<ControllerEndpoint>,
    pub core: CoreConfig,
    pub head: usize,
    pub body: usize,
    pub connections: usize,
    pub connections_per_node: usize,
    pub waits: Timeouts,
    pub publishes_status: bool,
    pub follows_unjoined: bool,
    pub reads: TableSource,
    pub tls: Option<TlsSide>,
}

impl ProxyConfig {
    /// How the proxy introduces itself to conductors.
    pub(crate) fn introduction(&self) -> Introduction {
        Introduction {
            name: self.name.clone(),
            zone: self.zone.clone(),
            usual_rate: self.usual_rate,
        }
    }

    /// Where conductors listen.
    pub(crate) fn sides(&self) -> Vec<SocketAddrV4> {
        self.conductors.iter().map(|side| side.reports).collect()
    }
}

impl ProxyFile {
    pub fn read(path: &Path) -> Result<ProxyConfig, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        ProxyFile::parse(&text, path)
    }

    pub fn parse(text: &str, path: &Path) -> Result<ProxyConfig, ConfigError> {
        let content = |text: String| ConfigError::Content {
            path: path.to_path_buf(),
            text,
        };
        let file: ProxyFile =
            serde_yaml_ng::from_str(text).map_err(|error| content(error.to_string()))?;
        let base = path.parent().unwrap_or(Path::new("."));
        file.plan(base).map_err(content)
    }

    fn plan(self, base: &Path) -> Result<ProxyConfig, String> {
        let fine = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        let name = &self.proxy.name;
        if name.is_empty() || name.len() > 100 || !name.chars().all(fine) {
            return Err(format!(
                "proxy.name: `{name}` should be 1 to 100 letters, digits, - and _"
            ));
        }
        if self.conductors.is_empty() {
            return Err("conductors: one at least is needed".to_string());
        }
        if self.operations.is_empty() || self.operations.len() > 16 {
            return Err(format!(
                "operations: {}, between 1 and 16 are possible",
                self.operations.len()
            ));
        }
        if !(0.0..=10.0).contains(&self.repeats.part)
            || !(0.0..=1e6).contains(&self.repeats.at_once)
        {
            return Err(
                "repeats: part should lie between 0 and 10, at_once between 0 and 1e6".to_string(),
            );
        }
        let sizes = &self.sizes;
        if sizes.head < 256 || sizes.connections == 0 || sizes.connections_per_node == 0 {
            return Err(
                "sizes: head should be 256 at least, numbers of connections above 0".to_string(),
            );
        }
        let mut operations = Vec::new();
        for (at, operation) in self.operations.iter().enumerate() {
            if operation.integration_timeout <= Span::ZERO {
                return Err(format!(
                    "operations.{at}.integration_timeout: should be above 0"
                ));
            }
            if self.operations[..at]
                .iter()
                .any(|other| other.name == operation.name)
            {
                return Err(format!(
                    "operations.{at}.name: `{}` is named twice",
                    operation.name
                ));
            }
            let retry_safety = match operation.repeat {
                Repeat::Idempotent => RetrySafety::Idempotent,
                Repeat::Fingerprinted => RetrySafety::Fingerprinted {
                    window: operation.repeat_window,
                },
                Repeat::SideEffecting => RetrySafety::SideEffecting,
            };
            operations.push(OperationRules {
                name: operation.name.clone(),
                retry_safety,
                integration_timeout: operation.integration_timeout,
            });
        }
        let tls = self.tls.map(|tls| tls.pending(base));
        if let Some(flaw) = tls.as_ref().and_then(TlsSide::flaw) {
            return Err(format!("tls: {flaw}"));
        }
        let side = |side: ControllerEndpoint| ControllerEndpoint {
            tables: base.join(side.tables),
            ..side
        };
        Ok(ProxyConfig {
            name: self.proxy.name,
            zone: self.proxy.zone,
            listen: self.proxy.listen,
            source: self.proxy.source,
            usual_rate: self.proxy.usual_rate,
            seed: self.proxy.seed,
            conductors: self.conductors.into_iter().map(side).collect(),
            core: CoreConfig {
                operations,
                picking: match self.pick {
                    Pick::Lottery => SelectionPolicy::WeightedRandom,
                    Pick::Wheel => SelectionPolicy::WeightedRoundRobin,
                    Pick::Pair => SelectionPolicy::PowerOfTwoChoices,
                },
                errors_until_avoided: self.avoid.after_errors,
                ejection_time: self.avoid.span,
                repeats: (self.repeats.part, self.repeats.at_once),
                max_in_flight_per_node: self.sizes.outstanding_per_node,
            },
            head: self.sizes.head,
            body: self.sizes.body,
            connections: self.sizes.connections,
            connections_per_node: self.sizes.connections_per_node,
            waits: self.waits,
            publishes_status: self.publishes_status,
            follows_unjoined: self.follows_unjoined,
            reads: self.reads,
            tls,
        })
    }
}
