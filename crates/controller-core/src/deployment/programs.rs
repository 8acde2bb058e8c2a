//! The controllers and proxies of a deployment, and how tables get from one to the other.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_TICK: Span = Span::from_seconds(0.01);
const DEFAULT_CONNECTION_IDLE: Span = Span::from_seconds(15.0);

/// The controllers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControllersConfig {
    /// How many controllers share the proxies; each decides alone.
    pub count: u32,
    /// Whether a proxy joins a controller of its own zone.
    pub joined_by_zone: bool,
    /// The least time between two rounds of decisions.
    #[serde(with = "span_format")]
    pub tick: Span,
}

impl Default for ControllersConfig {
    fn default() -> Self {
        ControllersConfig {
            count: 1,
            joined_by_zone: false,
            tick: DEFAULT_TICK,
        }
    }
}

/// The proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxiesConfig {
    /// Of all controllers together.
    pub count: u32,
    /// Errors in a row after which a proxy ejects a node by itself; 0: never.
    pub errors_until_avoided: u32,
    /// How long a connection to a node stays open without a request.
    #[serde(with = "span_format")]
    pub connection_idle: Span,
    /// Requests a second that a proxy brings, where it does not say so itself.
    pub usual_rate: f64,
}

impl Default for ProxiesConfig {
    fn default() -> Self {
        ProxiesConfig {
            count: 1,
            errors_until_avoided: 0,
            connection_idle: DEFAULT_CONNECTION_IDLE,
            usual_rate: 0.0,
        }
    }
}

/// Which ways of delivering tables are turned on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TableDeliveryConfig {
    /// Files that proxies watch.
    pub files: bool,
    /// Discovery streams that proxies open.
    pub streams: bool,
}

impl Default for TableDeliveryConfig {
    fn default() -> Self {
        TableDeliveryConfig {
            files: true,
            streams: true,
        }
    }
}

/// How proxies are instructed how much of an operation to admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionForm {
    /// As an admission ratio.
    Share,
    /// As requests a second.
    Rate,
    /// Not at all: proxies admit everything.
    None,
}

impl AdmissionForm {
    /// The spelling of the settings.
    pub(super) fn setting(self) -> &'static str {
        match self {
            AdmissionForm::Share => "share",
            AdmissionForm::Rate => "rate",
            AdmissionForm::None => "none",
        }
    }
}
