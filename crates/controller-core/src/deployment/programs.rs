//! Settings of a deployment's controllers and proxies, and of the delivery of tables between them.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_TICK: Span = Span::from_seconds(0.01);
const DEFAULT_CONNECTION_IDLE: Span = Span::from_seconds(15.0);

/// Settings of the controllers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControllersConfig {
    /// Number of controllers that share the proxies. Each controller decides independently.
    pub count: u32,
    /// Whether proxies join only controllers of their own zone.
    pub joined_by_zone: bool,
    /// Minimum time between two rounds of decisions.
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

/// Settings of the proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxiesConfig {
    /// Number of proxies, over all controllers.
    pub count: u32,
    /// Consecutive errors after which a proxy ejects a node by passive health checking; 0 disables ejection.
    pub errors_until_avoided: u32,
    /// Time after which a proxy closes a connection to a node that has had no request.
    #[serde(with = "span_format")]
    pub connection_idle: Span,
    /// Requests per second expected from a proxy that does not state its usual rate.
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

/// The enabled ways of delivering tables. At least one has to be enabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TableDeliveryConfig {
    /// Tables are written to files that proxies watch.
    pub files: bool,
    /// Tables are sent on discovery streams that proxies open.
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

/// The form in which proxies get the admission limit of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdmissionForm {
    /// As an admission ratio.
    Share,
    /// As a limit in requests per second.
    Rate,
    /// No admission limit: proxies admit every request.
    None,
}

impl AdmissionForm {
    /// The value's spelling in the settings.
    pub(super) fn setting(self) -> &'static str {
        match self {
            AdmissionForm::Share => "share",
            AdmissionForm::Rate => "rate",
            AdmissionForm::None => "none",
        }
    }
}
