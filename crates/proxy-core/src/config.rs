//! What a proxy's core is configured with, and what tables order.

use crate::ejection::EjectionPolicy;
use crate::retry::{RetryBudgetConfig, RetrySafety};
use crate::selection::{SelectionPolicy, WeightedNode};
use wheelspread::time::Span;
use wheelspread::RetryPolicy;

/// What a proxy knows of an operation besides its tables.
#[derive(Clone, Debug)]
pub struct OperationRules {
    /// The name of the operation.
    pub name: String,
    /// Whether a retry can take effect twice, whatever tables say.
    pub retry_safety: RetrySafety,
    /// What a request may take over all attempts, where the table does not say.
    pub integration_timeout: Span,
}

/// What does not change while a proxy runs.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// The operations, in the order of their ids.
    pub operations: Vec<OperationRules>,
    /// How nodes are selected.
    pub selection: SelectionPolicy,
    /// When a node is ejected, and for how long.
    pub ejection: EjectionPolicy,
    /// How many retries there may be.
    pub retry_budget: RetryBudgetConfig,
    /// Attempts in flight at one node; 0: no limit.
    pub max_in_flight_per_node: u32,
}

/// What the tables order for one operation.
#[derive(Clone, Debug)]
pub struct OperationTable {
    /// The nodes with their weights.
    pub entries: Vec<WeightedNode>,
    /// Of a million requests, so many are rejected.
    pub dropped_of_million: u32,
    /// The most requests per second that are admitted; `None`: no limit.
    pub rate_limit: Option<f64>,
    /// When a failed attempt is followed by another.
    pub retry_policy: RetryPolicy,
    /// What an attempt may take that can be followed by another.
    pub per_attempt_timeout: Option<Span>,
    /// What a request may take over all attempts.
    pub request_timeout: Option<Span>,
}
