//! Orders to drain a node, or to take that back, and why one is refused. The serde names are those of the state file
//! and the operators' API.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies an order. Whoever gives it chooses the id, so that an order that is sent twice is one order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub String);

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAction {
    /// Drain the node.
    Drain,
    /// Take the drain back: the endpoint list decides again.
    Undrain,
}

/// An order about one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrder {
    /// Its id.
    pub id: OrderId,
    /// The node, as `127.0.0.1:9000`.
    pub node: String,
    /// What is to be done.
    #[serde(rename = "word")]
    pub action: DrainAction,
    /// Who gave it.
    pub by: String,
    /// When it was given, in milliseconds since 1970 by the clock of who gave it.
    pub given_ms: u64,
    /// Names of checks that it overrides.
    #[serde(default)]
    pub overrides: Vec<String>,
}

impl DrainOrder {
    /// Of two orders for a node, the one with the higher rank counts: the newer one, and of two that were given in the
    /// same millisecond the one with the later id. So all controllers end with the same order, whichever comes first.
    pub fn rank(&self) -> (u64, &OrderId) {
        (self.given_ms, &self.id)
    }

    /// The failed checks that the order does not override.
    pub(crate) fn not_overridden(&self, failed: &[FailedCheck]) -> Vec<FailedCheck> {
        let is_overridden = |check: &FailedCheck| self.overrides.contains(&check.name);
        failed
            .iter()
            .filter(|check| !is_overridden(check))
            .cloned()
            .collect()
    }
}

/// A check that is against a drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedCheck {
    /// The name by which an order overrides it.
    pub name: String,
    /// What was found, with its figures; it begins with the name.
    pub text: String,
}

impl fmt::Display for FailedCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.text)
    }
}

/// Several failed checks as one text.
pub fn describe_checks(checks: &[FailedCheck]) -> String {
    let texts: Vec<&str> = checks.iter().map(|check| check.text.as_str()).collect();
    texts.join("; ")
}

/// Why an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    /// The id is taken by an order with other content.
    #[error("order `{0}` was given before with other content")]
    ConflictingContent(String),
    /// A newer order for the node is known.
    #[error("`{newer}` by {by}, given later, goes before it")]
    Superseded {
        /// The newer order.
        newer: String,
        /// Who gave it.
        by: String,
    },
    /// Checks that the order does not override are against it.
    #[error("{}", describe_checks(.0))]
    Checks(Vec<FailedCheck>),
    /// The limit of remembered orders is reached.
    #[error("{0} orders are kept, no more are taken")]
    TooManyOrders(usize),
}
