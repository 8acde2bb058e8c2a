//! Settings of the operations: billed value, time limits and retry safety.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

/// Whether a second attempt of a request is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryClass {
    /// A second attempt has no further effect.
    Idempotent,
    /// Nodes recognize a second attempt by the request's fingerprint, within `retry_window` and `retry_scope`.
    Fingerprinted,
    /// A second attempt may take effect again, so a request that was sent is never retried.
    SideEffecting,
}

impl RetryClass {
    /// The value's spelling in the settings.
    pub(super) fn setting(self) -> &'static str {
        match self {
            RetryClass::Idempotent => "idempotent",
            RetryClass::Fingerprinted => "fingerprinted",
            RetryClass::SideEffecting => "side-effecting",
        }
    }
}

/// The group of nodes that share fingerprints: each recognizes a request that another of the group has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryScope {
    /// Every node.
    All,
    /// Nodes of the same zone.
    Zone,
    /// Nodes of the same cell.
    Cell,
}

impl RetryScope {
    /// The value's spelling in the settings.
    pub(super) fn setting(self) -> &'static str {
        match self {
            RetryScope::All => "all",
            RetryScope::Zone => "zone",
            RetryScope::Cell => "cell",
        }
    }
}

/// Settings of one operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationConfig {
    /// The operation's name in routes, load reports and logs.
    pub name: String,
    /// Latency up to which an answer has its full billed value.
    #[serde(with = "span_format")]
    pub latency_objective: Span,
    /// Time after which a client stops waiting for an answer, over all attempts.
    #[serde(with = "span_format")]
    pub integration_timeout: Span,
    /// Value of an answer within the latency objective, relative to the other operations.
    pub billed_value: f64,
    /// Value of a late answer, as a ratio of the billed value.
    #[serde(default)]
    pub late_share: f64,
    /// Whether a second attempt of a request is safe.
    #[serde(rename = "repeat")]
    pub retry_class: RetryClass,
    /// The nodes that recognize a fingerprinted request.
    #[serde(default = "default_retry_scope")]
    #[serde(rename = "repeat_group")]
    pub retry_scope: RetryScope,
    /// How long a fingerprinted request is recognized.
    #[serde(default = "default_retry_window", with = "span_format")]
    #[serde(rename = "repeat_window")]
    pub retry_window: Span,
    /// Whether requests have to be served in the zone of their proxy.
    #[serde(default)]
    pub stays_in_zone: bool,
}

fn default_retry_scope() -> RetryScope {
    RetryScope::All
}

fn default_retry_window() -> Span {
    Span::ZERO
}
