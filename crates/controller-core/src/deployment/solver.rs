//! The weight solver, see docs/solver.md.

use crate::span_format;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::time::Span;

const DEFAULT_SOLVE_INTERVAL: Span = Span::from_seconds(2.0);
const DEFAULT_LEAST_SHARE: f64 = 0.05;
const DEFAULT_FILL_LIMIT: f64 = 0.85;

/// Work of one request: node time that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work(#[serde(with = "span_format")] pub Span);

/// What the solver starts from and how often it runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SolverConfig {
    /// By kind, seconds of work a second; may be wrong by half.
    pub capacities: BTreeMap<String, f64>,
    /// By operation.
    pub work: BTreeMap<String, Work>,
    /// Time between two solves.
    #[serde(default = "default_solve_interval", with = "span_format")]
    pub every: Span,
    /// Of an operation's demand: what is served at least, whatever it is worth.
    #[serde(default = "default_least_share")]
    pub least_share: f64,
    /// Of a node's capacity: what is planned for at most.
    #[serde(default = "default_fill_limit")]
    pub fill_at_most: f64,
}

fn default_solve_interval() -> Span {
    DEFAULT_SOLVE_INTERVAL
}

fn default_least_share() -> f64 {
    DEFAULT_LEAST_SHARE
}

fn default_fill_limit() -> f64 {
    DEFAULT_FILL_LIMIT
}
