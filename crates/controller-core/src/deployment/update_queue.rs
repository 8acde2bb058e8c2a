//! Limits of the update queue between a controller and its proxies.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_MESSAGES_WINDOW: Span = Span::from_seconds(10.0);

/// What may be queued and sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpdateQueuePlan {
    /// Rule 5: entries that may be queued for proxies to take them.
    pub lines_waiting_at_most: f64,
    /// Entries that a message counts beside its own.
    #[serde(default)]
    pub head_lines: f64,
    /// Entries a second that this controller writes.
    pub lines_per_second: f64,
    /// How long a message takes to be in force at a proxy, at most.
    #[serde(with = "span_format")]
    pub delay_at_most: Span,
    /// Messages to one proxy within `messages_window`; 0: no limit.
    #[serde(default)]
    pub messages_at_most: u32,
    /// The window over which messages to one proxy are counted.
    #[serde(default = "default_messages_window", with = "span_format")]
    pub messages_window: Span,
}

fn default_messages_window() -> Span {
    DEFAULT_MESSAGES_WINDOW
}
