//! Settings of the weight solver, see docs/solver.md.

use crate::span_format;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::time::Span;

const DEFAULT_SOLVE_INTERVAL: Span = Span::from_seconds(2.0);
const DEFAULT_LEAST_SHARE: f64 = 0.05;
const DEFAULT_FILL_AT_MOST: f64 = 0.85;

/// Work of one request: the node time that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work(#[serde(with = "span_format")] pub Span);

/// Initial capacities, limits and interval of the weight solver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SolverConfig {
    /// Nominal capacity of a node in seconds of work per second, by kind. The solver corrects it by load reports;
    /// values that are wrong by half are tolerated.
    pub capacities: BTreeMap<String, f64>,
    /// Work of one request, by operation.
    pub work: BTreeMap<String, Work>,
    /// Time between two solves.
    #[serde(default = "default_solve_interval", with = "span_format")]
    pub every: Span,
    /// Minimum ratio of an operation's demand that is served, whatever its billed value.
    #[serde(default = "default_least_share")]
    pub least_share: f64,
    /// Maximum ratio of a node's capacity that the solver plans for.
    #[serde(default = "default_fill_at_most")]
    pub fill_at_most: f64,
}

fn default_solve_interval() -> Span {
    DEFAULT_SOLVE_INTERVAL
}

fn default_least_share() -> f64 {
    DEFAULT_LEAST_SHARE
}

fn default_fill_at_most() -> f64 {
    DEFAULT_FILL_AT_MOST
}
