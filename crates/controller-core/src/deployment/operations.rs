//! Operations: what an answer is worth, how long it may take and whether a request may be retried.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

/// Whether a second attempt of a request is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryClass {
    /// A second attempt has no further effect.
    Idempotent,
    /// Nodes recognize a second attempt by its fingerprint, within a window and a scope.
    Fingerprinted,
    /// A second attempt may take effect twice: never retried once it was sent.
    SideEffecting,
}

impl RetryClass {
    /// The spelling of the settings.
    pub(super) fn setting(self) -> &'static str {
        match self {
            RetryClass::Idempotent => "idempotent",
            RetryClass::Fingerprinted => "fingerprinted",
            RetryClass::SideEffecting => "side-effecting",
        }
    }
}

/// Which nodes recognize the fingerprint of a request that another of them answered.
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
    /// The spelling of the settings.
    pub(super) fn setting(self) -> &'static str {
        match self {
            RetryScope::All => "all",
            RetryScope::Zone => "zone",
            RetryScope::Cell => "cell",
        }
    }
}

/// One operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationConfig {
    /// Its name, in routes, reports and logs.
    pub name: String,
    /// Answers within it count in full.
    #[serde(with = "span_format")]
    pub latency_objective: Span,
    /// What a client waits at most, over all attempts.
    #[serde(with = "span_format")]
    pub integration_timeout: Span,
    /// What an answer in time is worth, relative to the other operations.
    pub billed_value: f64,
    /// Of the billed value: what a late answer is still worth.
    #[serde(default)]
    pub late_share: f64,
    /// Whether a second attempt is safe.
    #[serde(rename = "repeat")]
    pub retry_class: RetryClass,
    /// Which nodes recognize a fingerprinted request.
    #[serde(default = "default_retry_scope")]
    #[serde(rename = "repeat_group")]
    pub retry_scope: RetryScope,
    /// How long a fingerprinted request is recognized.
    #[serde(default = "default_retry_window", with = "span_format")]
    #[serde(rename = "repeat_window")]
    pub retry_window: Span,
    /// Requests never leave the zone of their proxy.
    #[serde(default)]
    pub stays_in_zone: bool,
}

fn default_retry_scope() -> RetryScope {
    RetryScope::All
}

fn default_retry_window() -> Span {
    Span::ZERO
}
