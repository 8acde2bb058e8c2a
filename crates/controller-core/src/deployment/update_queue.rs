//! Limits of the update queue between a controller and its proxies.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_MESSAGES_WINDOW: Span = Span::from_seconds(10.0);

/// What may be queued and sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpdateQueueConfig {
    /// Rule 5: entries that may be queued for proxies to take them.
    #[serde(rename = "lines_waiting_at_most")]
    pub max_queued_entries: f64,
    /// Entries that a message counts beside its own.
    #[serde(default)]
    #[serde(rename = "head_lines")]
    pub message_overhead_entries: f64,
    /// Entries a second that this controller writes.
    #[serde(rename = "lines_per_second")]
    pub entries_per_second: f64,
    /// How long a message takes to be in force at a proxy, at most.
    #[serde(with = "span_format")]
    #[serde(rename = "delay_at_most")]
    pub max_delay: Span,
    /// Messages to one proxy within `messages_window`; 0: no limit.
    #[serde(default)]
    #[serde(rename = "messages_at_most")]
    pub max_messages: u32,
    /// The window over which messages to one proxy are counted.
    #[serde(default = "default_messages_window", with = "span_format")]
    pub messages_window: Span,
}

fn default_messages_window() -> Span {
    DEFAULT_MESSAGES_WINDOW
}
