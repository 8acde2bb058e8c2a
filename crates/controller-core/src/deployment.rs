//! The deployment that a controller serves, as described by its settings file: zones, kinds, operations, limits
//! of the rules and of the update queue. Each section of the file has a module here. `Deployment::validate`
//! reports every field with an invalid value, and `Deployment::to_settings` converts the deployment to the named
//! settings that the balancer reads.

mod error;
mod inputs;
mod operations;
mod programs;
mod rules;
mod settings;
mod solver;
mod update_queue;
mod validation;

pub use error::{ConfigError, ConfigErrorKind};
pub use inputs::{EndpointListConfig, LoadReportConfig};
pub use operations::{OperationConfig, RetryClass, RetryScope};
pub use programs::{AdmissionForm, ControllersConfig, ProxiesConfig, TableDeliveryConfig};
pub use rules::RuleConfig;
pub use solver::{SolverConfig, Work};
pub use update_queue::UpdateQueueConfig;
pub(crate) use validation::is_valid_name;

use serde::{Deserialize, Serialize};

/// A whole deployment. Keys of the settings file are the field names, or the names in the `rename` attributes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Names of the zones; a zone's index is its id.
    pub zones: Vec<String>,
    /// Names of the node kinds; a kind's index is its id.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// The operations; an operation's index is its id.
    pub operations: Vec<OperationConfig>,
    /// Settings of the controllers.
    #[serde(default)]
    #[serde(rename = "conductors")]
    pub controllers: ControllersConfig,
    /// Settings of the proxies.
    #[serde(default)]
    pub proxies: ProxiesConfig,
    /// Limits of the rules that tables have to keep.
    pub rules: RuleConfig,
    /// Limits of the update queue.
    #[serde(rename = "channel")]
    pub update_queue: UpdateQueueConfig,
    /// The enabled ways of delivering tables.
    #[serde(default)]
    #[serde(rename = "fronts")]
    pub table_delivery: TableDeliveryConfig,
    /// Settings of load reports.
    #[serde(default)]
    #[serde(rename = "sums")]
    pub load_reports: LoadReportConfig,
    /// Settings of endpoint lists.
    #[serde(default)]
    pub list: EndpointListConfig,
    /// The form in which proxies get their admission limits.
    #[serde(default = "default_admission")]
    pub admission: AdmissionForm,
    /// Cost of sending a request to another zone, as a ratio of its billed value.
    #[serde(default)]
    pub cross_zone_price: f64,
    /// Timeout of one attempt in retry policies that have one, as a multiple of the latency objective.
    #[serde(default = "default_first_wait")]
    pub first_wait: f64,
    /// Settings of the weight solver. Without them nodes keep the weights of the endpoint list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub solver: Option<SolverConfig>,
}

fn default_admission() -> AdmissionForm {
    AdmissionForm::Share
}

fn default_first_wait() -> f64 {
    1.0
}

#[cfg(test)]
pub(crate) mod tests;
