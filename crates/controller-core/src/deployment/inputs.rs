//! What a controller takes in: load reports and endpoint lists.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_REPORT_PERIOD: Span = Span::from_seconds(1.0);
const DEFAULT_SHRINK_LIMIT: f64 = 0.5;

/// Load reports of proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadReportConfig {
    /// How often proxies report.
    #[serde(with = "span_format")]
    pub period: Span,
    /// Load metrics that nodes report in their answers: `utilization`, `queue`.
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

/// Endpoint lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointListConfig {
    /// A list that lacks more than this part of the ready nodes is doubted until one more says the same.
    pub shrinks_at_most: f64,
}

impl Default for EndpointListConfig {
    fn default() -> Self {
        EndpointListConfig {
            shrinks_at_most: DEFAULT_SHRINK_LIMIT,
        }
    }
}
