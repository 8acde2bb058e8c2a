//! The rules that tables have to keep while nodes come, warm up and leave.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::{Moment, Span};

/// Limits of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleConfig {
    /// Rule 1: how long a joined proxy may lack an entry for an operation.
    #[serde(with = "span_format")]
    pub without_node_at_most: Span,
    /// Rule 3: how long proxies may go on sending to a node that drains or is gone.
    #[serde(with = "span_format")]
    pub drain_grace: Span,
    /// Rule 4: a node starts at this part of its capacity,
    pub cold_start_share: f64,
    /// has warmed up after this long,
    #[serde(with = "span_format")]
    pub warm_after: Span,
    /// and falls over at this multiple of what it can do
    pub cold_overload_factor: f64,
    /// over this long.
    #[serde(with = "span_format")]
    pub cold_overload_span: Span,
}

impl RuleConfig {
    /// Whether a node that started then is still warming up; `None`: long ago.
    pub fn is_warming(&self, now: Moment, started: Option<Moment>) -> bool {
        started.is_some_and(|at| now - at < self.warm_after)
    }
}
