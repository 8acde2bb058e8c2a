//! Orders to drain a node or to withdraw its drain, and the reasons for which an order is refused. The serde names are
//! those of the state file and the operators' API.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies an order. The sender chooses the id, so that a repeated order is recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub String);

/// The action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAction {
    /// Drain the node.
    Drain,
    /// Withdraw the drain, so that the node's status in the endpoint list applies again.
    Undrain,
}

/// An order for one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrder {
    /// The id of the order.
    pub id: OrderId,
    /// The address of the node, such as `127.0.0.1:9000`.
    pub node: String,
    /// The requested action.
    #[serde(rename = "word")]
    pub action: DrainAction,
    /// Who gave the order.
    pub by: String,
    /// When the order was given, in milliseconds since the Unix epoch by the sender's clock.
    pub given_ms: u64,
    /// The names of the checks that the order overrides.
    #[serde(default)]
    pub overrides: Vec<String>,
}

impl DrainOrder {
    /// The precedence of an order: of two orders for a node, the one with the greater rank takes effect. Rank is the time
    /// at which the order was given, and then the id, for orders of the same millisecond. All controllers therefore
    /// converge to the same order, in whichever sequence orders arrive.
    pub fn rank(&self) -> (u64, &OrderId) {
        (self.given_ms, &self.id)
    }

    /// The checks in `failed` that the order does not override.
    pub(crate) fn not_overridden(&self, failed: &[FailedCheck]) -> Vec<FailedCheck> {
        let is_overridden = |check: &FailedCheck| self.overrides.contains(&check.name);
        failed
            .iter()
            .filter(|check| !is_overridden(check))
            .cloned()
            .collect()
    }
}

/// A failed check that prevents a drain unless the order overrides it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedCheck {
    /// The name by which an order overrides the check.
    pub name: String,
    /// The finding with its figures, beginning with the name of the check.
    pub text: String,
}

impl fmt::Display for FailedCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.text)
    }
}

/// The texts of failed checks, separated by semicolons.
pub fn describe_checks(checks: &[FailedCheck]) -> String {
    let texts: Vec<&str> = checks.iter().map(|check| check.text.as_str()).collect();
    texts.join("; ")
}

/// The reason for which an order is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    /// An order with the same id and other content is known.
    #[error("order id `{0}` is already in use by an order with other content")]
    ConflictingContent(String),
    /// An order with a greater rank for the node is known.
    #[error("`{newer}` by {by}, given later, goes before it")]
    Superseded {
        /// The id of the newer order.
        newer: String,
        /// Who gave the newer order.
        by: String,
    },
    /// Checks failed that the order does not override.
    #[error("{}", describe_checks(.0))]
    Checks(Vec<FailedCheck>),
    /// The maximum count of nodes with an order is reached.
    #[error("too many drain orders: the limit of {0} is reached")]
    TooManyOrders(usize),
}
