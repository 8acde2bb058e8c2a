//! The sections of a controller's configuration file, except for the deployment.

use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use wheelspread::time::Span;
use wheelspread_config_rollout::{Conditions, RolloutSettings};
use wheelspread_config_transaction::checks::ChangeLimits;
use wheelspread_config_transaction::Deadlines;
use wheelspread_controller_core::span_format;

/// Default of `conductor.connections_at_most`.
const DEFAULT_CONNECTION_LIMIT: usize = 10_000;
/// Default of `conductor.buffers_at_most`, in bytes.
const DEFAULT_BUFFER_LIMIT: usize = 128 << 20;
/// Minimum of `conductor.buffers_at_most`, in bytes: two messages of maximum length.
pub const MIN_BUFFER_LIMIT: usize = 2 * wheelspread_grpc::MAX_MESSAGE_BYTES;
/// Time until an unfinished write of a change is retried, as a ratio of `changes.apply_at_most`, the time that a change
/// may take to reach every proxy.
const WRITE_DEADLINE_RATIO: f64 = 0.2;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text.
    Lines,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of log lines.
    pub form: LogFormat,
    /// `error`, `warn`, `info`, `debug` or `trace`, or filter directives such as `info,wheelspread_controller=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            form: LogFormat::Lines,
            level: "info".to_string(),
        }
    }
}

/// Settings of the controller itself.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// The controller's name.
    pub name: String,
    /// The controller's number among those that share the proxies, from 0.
    #[serde(default)]
    pub number: u32,
    /// Seed of all random decisions.
    #[serde(default)]
    pub seed: u64,
    /// The address of the listener for proxies' load report and discovery streams.
    pub listen: SocketAddrV4,
    /// The root directory of published tables.
    pub tables: PathBuf,
    /// The file of the endpoint list.
    pub list: PathBuf,
    /// The directory to watch for replacements of the list; default: the directory of the list's file.
    #[serde(default)]
    pub watched_directory: Option<PathBuf>,
    /// Maximum count of open proxy connections; further ones are rejected.
    #[serde(default = "default_connection_limit")]
    pub connections_at_most: usize,
    /// Maximum size in bytes of the buffers of all proxy connections together. Above it, the stream with the largest
    /// buffers is closed.
    #[serde(default = "default_buffer_limit")]
    pub buffers_at_most: usize,
}

fn default_connection_limit() -> usize {
    DEFAULT_CONNECTION_LIMIT
}

fn default_buffer_limit() -> usize {
    DEFAULT_BUFFER_LIMIT
}

/// Keys of the proxies' listener. The files may be replaced at any time and are then loaded again.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The listener's certificate.
    pub certificate: PathBuf,
    /// The certificate's key.
    pub key: PathBuf,
    /// Roots of the certificates that clients need; without it, clients need no certificate.
    #[serde(default)]
    pub clients: Option<PathBuf>,
    /// Whether the node id that a client gives has to be a name in its certificate.
    #[serde(default)]
    pub node_id_in_certificate: bool,
}

/// Limits of discovery streams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// Count of versions whose deltas are cached; other deltas are computed on each request.
    pub versions_kept: usize,
    /// Maximum count of subscription changes on one stream within `channel.messages_window`; while there are more, no
    /// response is sent.
    pub changes_at_most: u32,
    /// The stream of a client that has neither acknowledged nor rejected a response for this long is closed.
    #[serde(with = "span_format")]
    pub unanswered_at_most: Span,
}

impl Default for StreamSettings {
    fn default() -> Self {
        StreamSettings {
            versions_kept: 16,
            changes_at_most: 60,
            unanswered_at_most: Span::from_seconds(15.0),
        }
    }
}

/// A loopback port for operators under mutual TLS, in addition to the Unix sockets under the root of tables.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdministrationSettings {
    /// The address of the port, on loopback.
    pub listen: SocketAddrV4,
    /// The port's certificate.
    pub certificate: PathBuf,
    /// The certificate's key.
    pub key: PathBuf,
    /// Roots of the certificates that callers need.
    pub clients: PathBuf,
    /// Certificate names whose callers may send orders; all other callers may only send queries.
    #[serde(default)]
    pub writers: Vec<String>,
}

/// How changes of configuration are handled.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeSettings {
    /// Time for which the service is compared with the baseline before a change is kept.
    #[serde(with = "span_format")]
    pub watch: Span,
    /// Time after which a staged change that was not applied is dropped.
    #[serde(with = "span_format")]
    pub staged_at_most: Span,
    /// Time after which a change that has not reached every proxy is undone.
    #[serde(with = "span_format")]
    pub apply_at_most: Span,
    /// Largest share of the value served, by past measurements, that a change or a drain may lose; one that would lose
    /// more is rejected.
    pub value_lost_at_most: f64,
    /// Largest share of all work that warming nodes may carry after a change; one that would need more is rejected.
    pub cold_work_at_most: f64,
    /// Conditions that undo a change while it is watched.
    pub undo_when: Conditions,
}

impl Default for ChangeSettings {
    fn default() -> Self {
        ChangeSettings {
            watch: Span::from_seconds(30.0),
            staged_at_most: Span::from_seconds(600.0),
            apply_at_most: Span::from_seconds(20.0),
            value_lost_at_most: 0.05,
            cold_work_at_most: 0.3,
            undo_when: Conditions::default(),
        }
    }
}

impl ChangeSettings {
    /// The rollout's deadlines, limits and conditions.
    pub fn rollout_settings(&self) -> RolloutSettings {
        let apply = self.apply_at_most;
        RolloutSettings {
            deadlines: Deadlines {
                checks: apply,
                write: apply * WRITE_DEADLINE_RATIO,
                staged: self.staged_at_most,
                apply,
                watch: self.watch,
            },
            limits: ChangeLimits {
                max_value_loss_ratio: self.value_lost_at_most,
                max_warming_work_share: self.cold_work_at_most,
                max_propagation_time: apply,
            },
            conditions: self.undo_when,
        }
    }
}
