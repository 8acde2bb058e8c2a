//! The YAML configuration file of a proxy. The keys keep the spelling of existing files.

use super::{ControllerEndpoint, InvalidConfig, ProxyConfig, TableSource, Timeouts};
use crate::tls::TlsConfig;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_controller_core::span_format;
use wheelspread_proxy_core::{
    CoreConfig, EjectionPolicy, OperationRules, RetryBudgetConfig, RetrySafety, SelectionPolicy,
};

const MAX_NAME_LENGTH: usize = 100;
/// Operation ids are one byte; a proxy has only a few operations.
const MAX_OPERATIONS: usize = 16;
/// A shorter limit leaves no room for a request line and a `Host` header.
const MIN_HEAD_BYTES: usize = 256;
/// Minimum size of all buffers, in requests of maximum size: one is received while another is forwarded, and a buffer
/// that grows takes twice its content.
const MIN_BUFFERS_REQUESTS: usize = 4;
/// Size of all buffers if the file gives none.
const DEFAULT_BUFFER_BYTES: usize = 64 << 20;
const MAX_RETRY_RATIO: f64 = 10.0;
const MAX_RETRY_BURST: f64 = 1e6;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Identity {
    name: String,
    zone: String,
    listen: SocketAddrV4,
    /// Source address of connections to nodes and controllers.
    #[serde(default)]
    source: Option<Ipv4Addr>,
    #[serde(default)]
    usual_rate: Option<f64>,
    #[serde(default)]
    seed: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operation {
    name: String,
    #[serde(with = "span_format")]
    integration_timeout: Span,
    #[serde(rename = "repeat")]
    retry_safety: RetryClass,
    #[serde(rename = "repeat_window", default = "zero_span", with = "span_format")]
    retry_window: Span,
}

fn zero_span() -> Span {
    Span::ZERO
}

impl Operation {
    fn rules(&self) -> OperationRules {
        OperationRules {
            name: self.name.clone(),
            retry_safety: match self.retry_safety {
                RetryClass::Idempotent => RetrySafety::Idempotent,
                RetryClass::Fingerprinted => RetrySafety::Fingerprinted {
                    window: self.retry_window,
                },
                RetryClass::SideEffecting => RetrySafety::SideEffecting,
            },
            integration_timeout: self.integration_timeout,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum Selection {
    #[serde(rename = "lottery")]
    WeightedRandom,
    #[serde(rename = "wheel")]
    WeightedRoundRobin,
    #[serde(rename = "pair")]
    PowerOfTwoChoices,
}

impl Selection {
    fn default_policy() -> Selection {
        Selection::WeightedRandom
    }

    fn policy(self) -> SelectionPolicy {
        match self {
            Selection::WeightedRandom => SelectionPolicy::WeightedRandom,
            Selection::WeightedRoundRobin => SelectionPolicy::WeightedRoundRobin,
            Selection::PowerOfTwoChoices => SelectionPolicy::PowerOfTwoChoices,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Ejection {
    /// Number of consecutive failures of the proxy's own attempts that eject a node; 0 disables ejection.
    #[serde(rename = "after_errors")]
    consecutive_failures: u32,
    #[serde(rename = "span", with = "span_format")]
    ejection_time: Span,
}

impl Default for Ejection {
    fn default() -> Self {
        Ejection {
            consecutive_failures: 3,
            ejection_time: Span::from_seconds(5.0),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RetryBudget {
    /// Number of retries allowed per first attempt.
    #[serde(rename = "part")]
    ratio: f64,
    #[serde(rename = "at_once")]
    burst: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            ratio: 0.2,
            burst: 10.0,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Sizes {
    /// Maximum head length in bytes.
    head: usize,
    /// Maximum request body length in bytes.
    body: usize,
    /// Maximum size of the buffers of all clients together in bytes. If omitted, it is `DEFAULT_BUFFER_BYTES`, or the
    /// minimum where that is larger.
    buffers: Option<usize>,
    /// Maximum number of client connections.
    connections: usize,
    connections_per_node: usize,
    /// Maximum number of attempts in flight at one node; 0 means no limit.
    #[serde(rename = "outstanding_per_node")]
    in_flight_per_node: u32,
}

impl Sizes {
    fn min_buffer_bytes(&self) -> usize {
        let request_bytes = self.head.saturating_add(self.body);
        request_bytes.saturating_mul(MIN_BUFFERS_REQUESTS)
    }

    fn max_buffer_bytes(&self) -> usize {
        let default = DEFAULT_BUFFER_BYTES.max(self.min_buffer_bytes());
        self.buffers.unwrap_or(default)
    }
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes {
            head: 16 << 10,
            body: 1 << 20,
            buffers: None,
            connections: 20_000,
            connections_per_node: 256,
            in_flight_per_node: 0,
        }
    }
}

/// The top level of the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ProxyFile {
    proxy: Identity,
    #[serde(rename = "conductors")]
    controllers: Vec<ControllerEndpoint>,
    #[serde(rename = "reads", default)]
    table_source: TableSource,
    /// If omitted, streams to controllers don't use TLS.
    #[serde(default)]
    tls: Option<TlsConfig>,
    operations: Vec<Operation>,
    #[serde(rename = "pick", default = "Selection::default_policy")]
    selection: Selection,
    #[serde(rename = "avoid", default)]
    ejection: Ejection,
    #[serde(rename = "repeats", default)]
    retry_budget: RetryBudget,
    #[serde(default)]
    sizes: Sizes,
    #[serde(rename = "waits", default)]
    timeouts: Timeouts,
    #[serde(default = "enabled")]
    publishes_status: bool,
    #[serde(default)]
    follows_unjoined: bool,
}

fn enabled() -> bool {
    true
}

impl ProxyFile {
    /// Validates the file and resolves relative paths against `base`.
    pub(super) fn into_config(self, base: &Path) -> Result<ProxyConfig, InvalidConfig> {
        self.check()?;
        let tls = self.tls.map(|tls| tls.with_base(base));
        if let Some(tls) = &tls {
            tls.check()?;
        }
        let under_base = |controller: ControllerEndpoint| ControllerEndpoint {
            tables: base.join(controller.tables),
            ..controller
        };
        Ok(ProxyConfig {
            name: self.proxy.name,
            zone: self.proxy.zone,
            listen: self.proxy.listen,
            source: self.proxy.source,
            usual_rate: self.proxy.usual_rate,
            seed: self.proxy.seed,
            controllers: self.controllers.into_iter().map(under_base).collect(),
            core: CoreConfig {
                operations: self.operations.iter().map(Operation::rules).collect(),
                selection: self.selection.policy(),
                ejection: EjectionPolicy {
                    consecutive_failures: self.ejection.consecutive_failures,
                    ejection_time: self.ejection.ejection_time,
                },
                retry_budget: RetryBudgetConfig {
                    ratio: self.retry_budget.ratio,
                    burst: self.retry_budget.burst,
                },
                max_in_flight_per_node: self.sizes.in_flight_per_node,
            },
            max_head_bytes: self.sizes.head,
            max_body_bytes: self.sizes.body,
            max_buffer_bytes: self.sizes.max_buffer_bytes(),
            max_client_connections: self.sizes.connections,
            max_connections_per_node: self.sizes.connections_per_node,
            timeouts: self.timeouts,
            publishes_status: self.publishes_status,
            follows_unjoined: self.follows_unjoined,
            table_source: self.table_source,
            tls,
        })
    }

    fn check(&self) -> Result<(), InvalidConfig> {
        let name = &self.proxy.name;
        if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(is_name_char) {
            return Err(InvalidConfig::ProxyName(name.clone()));
        }
        if self.controllers.is_empty() {
            return Err(InvalidConfig::NoControllers);
        }
        if self.operations.is_empty() || self.operations.len() > MAX_OPERATIONS {
            return Err(InvalidConfig::OperationCount(self.operations.len()));
        }
        let budget = &self.retry_budget;
        if !(0.0..=MAX_RETRY_RATIO).contains(&budget.ratio)
            || !(0.0..=MAX_RETRY_BURST).contains(&budget.burst)
        {
            return Err(InvalidConfig::RetryBudget);
        }
        let sizes = &self.sizes;
        if sizes.head < MIN_HEAD_BYTES || sizes.connections == 0 || sizes.connections_per_node == 0
        {
            return Err(InvalidConfig::Sizes);
        }
        let min = sizes.min_buffer_bytes();
        if sizes.max_buffer_bytes() < min {
            return Err(InvalidConfig::BufferSize { min });
        }
        for index in 0..self.operations.len() {
            self.check_operation(index)?;
        }
        Ok(())
    }

    fn check_operation(&self, index: usize) -> Result<(), InvalidConfig> {
        let operation = &self.operations[index];
        if operation.integration_timeout <= Span::ZERO {
            return Err(InvalidConfig::IntegrationTimeout { index });
        }
        let mut earlier = self.operations[..index].iter();
        if earlier.any(|other| other.name == operation.name) {
            return Err(InvalidConfig::DuplicateOperation {
                index,
                name: operation.name.clone(),
            });
        }
        Ok(())
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}
