//! Settings of a controller's inputs: load reports and endpoint lists.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_REPORT_PERIOD: Span = Span::from_seconds(1.0);
const DEFAULT_MAX_MISSING_RATIO: f64 = 0.5;

/// Settings of the proxies' load reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadReportConfig {
    /// Time between two load reports of a proxy.
    #[serde(with = "span_format")]
    pub period: Span,
    /// Names of the load metrics that nodes report in their answers: `utilization`, `queue`.
    pub loads: Vec<String>,
}

impl Default for LoadReportConfig {
    fn default() -> Self {
        LoadReportConfig {
            period: DEFAULT_REPORT_PERIOD,
            loads: Vec::new(),
        }
    }
}

/// Settings of endpoint lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListConfig {
    /// Largest ratio of the ready nodes that a list may lack at once. A list that lacks more is in doubt until
    /// the next list confirms it or the doubt period ends.
    pub shrinks_at_most: f64,
}

impl Default for EndpointListConfig {
    fn default() -> Self {
        EndpointListConfig {
            shrinks_at_most: DEFAULT_MAX_MISSING_RATIO,
        }
    }
}
