//! Limits of the rules that tables have to keep while nodes start, warm up and leave.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::{Moment, Span};

/// Limits of the rules. The rule numbers are those of the audits in the drill crate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleConfig {
    /// Rule 1: maximum time for which a joined proxy may have no entry for an operation.
    #[serde(with = "span_format")]
    pub without_node_at_most: Span,
    /// Rule 3: grace period within which proxies have to stop sending to a node that drains or is gone.
    #[serde(with = "span_format")]
    pub drain_grace: Span,
    /// Rule 4: capacity of a node that has just started, as a ratio of its capacity when warm.
    pub cold_start_share: f64,
    /// Rule 4: time after its start at which a node has its full capacity.
    #[serde(with = "span_format")]
    pub warm_after: Span,
    /// Rule 4: load at which a warming node fails, as a multiple of its capacity at that time.
    pub cold_overload_factor: f64,
    /// Rule 4: the time over which the load of a warming node is measured for `cold_overload_factor`.
    #[serde(with = "span_format")]
    pub cold_overload_span: Span,
}

impl RuleConfig {
    /// Whether a node that started at `started` is still warming up. `None` stands for a start long ago.
    pub fn is_warming(&self, now: Moment, started: Option<Moment>) -> bool {
        started.is_some_and(|at| now - at < self.warm_after)
    }
}
