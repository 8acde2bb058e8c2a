//! Configuration of the core, and the contents of a table that the core applies.

use crate::ejection::EjectionPolicy;
use crate::retry::{RetryBudgetConfig, RetrySafety};
use crate::selection::{SelectionPolicy, WeightedNode};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;

/// Properties of an operation that come from the proxy's configuration, not from a table.
#[derive(Clone, Debug)]
pub struct OperationRules {
    /// Name of the operation.
    pub name: String,
    /// Whether a retry can take effect twice. It overrides the table's retry policy.
    pub retry_safety: RetrySafety,
    /// Time limit of a request over all attempts, used if the table sets no request time-out.
    pub integration_timeout: Span,
}

/// Settings that stay constant while a proxy runs.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// The operations, ordered by operation id.
    pub operations: Vec<OperationRules>,
    /// How nodes are selected for attempts.
    pub selection: SelectionPolicy,
    /// When a node is ejected, and for how long.
    pub ejection: EjectionPolicy,
    /// Limits of the retry budget.
    pub retry_budget: RetryBudgetConfig,
    /// Maximum number of attempts in flight at one node; 0 means no limit.
    pub max_in_flight_per_node: u32,
}

/// The table of one operation.
#[derive(Clone, Debug)]
pub struct OperationTable {
    /// The nodes with their weights.
    pub entries: Vec<WeightedNode>,
    /// Requests to reject out of a million.
    pub dropped_of_million: u32,
    /// Maximum number of requests admitted per second; `None` means no limit.
    pub rate_limit: Option<f64>,
    /// When a failed attempt is retried.
    pub retry_policy: RetryPolicy,
    /// Time limit of an attempt that may be retried after any failure; `None` means no limit of its own.
    pub per_attempt_timeout: Option<Span>,
    /// Time limit of a request over all attempts; `None` selects [`OperationRules::integration_timeout`].
    pub request_timeout: Option<Span>,
}
