//! The deployment that a controller serves, as its settings file describes it at start: zones, kinds,
//! operations, limits of the rules and of the update queue. Each part of the file is a module here;
//! `Deployment::validate` names what can't be, field by field, and `Deployment::to_settings` gives the
//! balancer its named settings.

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

/// A whole deployment. Field names are the keys of the settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Names of the zones; their positions are the zone ids.
    pub zones: Vec<String>,
    /// Names of the node kinds; their positions are the kind ids.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// The operations; their positions are the operation ids.
    pub operations: Vec<OperationConfig>,
    /// The controllers.
    #[serde(default)]
    #[serde(rename = "conductors")]
    pub controllers: ControllersConfig,
    /// The proxies.
    #[serde(default)]
    pub proxies: ProxiesConfig,
    /// Limits of the rules.
    pub rules: RuleConfig,
    /// Limits of the update queue.
    #[serde(rename = "channel")]
    pub update_queue: UpdateQueueConfig,
    /// Ways of delivering tables.
    #[serde(default)]
    #[serde(rename = "fronts")]
    pub table_delivery: TableDeliveryConfig,
    /// Load reports.
    #[serde(default)]
    #[serde(rename = "sums")]
    pub load_reports: LoadReportConfig,
    /// Endpoint lists.
    #[serde(default)]
    pub list: EndpointListConfig,
    /// How proxies are instructed how much to admit.
    #[serde(default = "default_admission")]
    pub admission: AdmissionForm,
    /// What a request into another zone costs, of its billed value.
    #[serde(default)]
    pub cross_zone_price: f64,
    /// How long a proxy waits for a first attempt before it has a table: times the latency objective.
    #[serde(default = "default_first_wait")]
    pub first_wait: f64,
    /// The weight solver. Left out: nodes have the weights that the endpoint list gives them.
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
