//! Settings of the update queue between a controller and its proxies.

use crate::span_format;
use serde::{Deserialize, Serialize};
use wheelspread::time::Span;

const DEFAULT_MESSAGES_WINDOW: Span = Span::from_seconds(10.0);

/// Limits and pacing of the update queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpdateQueueConfig {
    /// Rule 5: maximum number of entries queued for all proxies of a controller together.
    #[serde(rename = "lines_waiting_at_most")]
    pub max_queued_entries: f64,
    /// Cost of a message on top of its entries, as a number of entries.
    #[serde(default)]
    #[serde(rename = "head_lines")]
    pub message_overhead_entries: f64,
    /// Entries per second that this controller sends.
    #[serde(rename = "lines_per_second")]
    pub entries_per_second: f64,
    /// Maximum time from sending a message until it is in force at the proxy.
    #[serde(with = "span_format")]
    #[serde(rename = "delay_at_most")]
    pub max_delay: Span,
    /// Message cap: messages to one proxy within `messages_window`; 0 means no cap.
    #[serde(default)]
    #[serde(rename = "messages_at_most")]
    pub max_messages: u32,
    /// Length of the window over which the message cap counts.
    #[serde(default = "default_messages_window", with = "span_format")]
    pub messages_window: Span,
}

fn default_messages_window() -> Span {
    DEFAULT_MESSAGES_WINDOW
}
