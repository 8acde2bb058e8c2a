//! The sections of a controller's file, beside the deployment.

use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use wheelspread::time::Span;
use wheelspread_config_rollout::{Conditions, RolloutSettings};
use wheelspread_config_transaction::checks::ChangeLimits;
use wheelspread_config_transaction::Deadlines;
use wheelspread_controller_core::span_format;

/// Connections of proxies that are open at once, unless the file says so.
const DEFAULT_CONNECTION_LIMIT: usize = 10_000;
/// Of the time that a change may take to reach every proxy: how long the disk may take before a write is tried
/// again.
const WRITE_DEADLINE_PART: f64 = 0.2;

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// Plain text.
    Lines,
    /// One JSON object a line.
    Json,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The form of log lines.
    pub form: LogForm,
    /// `error`, `warn`, `info`, `debug` or `trace`; or directives as `info,wheelspread_controller=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            form: LogForm::Lines,
            level: "info".to_string(),
        }
    }
}

/// The controller itself.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// Its name.
    pub name: String,
    /// Among the controllers that share the proxies, from 0.
    #[serde(default)]
    pub number: u32,
    /// Seed of all random choices.
    #[serde(default)]
    pub seed: u64,
    /// Where proxies open their streams of load reports and of tables.
    pub listen: SocketAddrV4,
    /// The root of published tables.
    pub tables: PathBuf,
    /// The endpoint list.
    pub list: PathBuf,
    /// Watched for swaps of the list; without it, the directory that the list lies in.
    #[serde(default)]
    pub watched_directory: Option<PathBuf>,
    /// Connections of proxies open at once; more are rejected.
    #[serde(default = "default_connection_limit")]
    pub connections_at_most: usize,
}

fn default_connection_limit() -> usize {
    DEFAULT_CONNECTION_LIMIT
}

/// Keys of the proxies' listener; the files may be swapped at any time.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The listener's certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Roots of the certificates that clients need; left out: none is asked for.
    #[serde(default)]
    pub clients: Option<PathBuf>,
    /// Whether the node id that a client gives has to be a name of its certificate.
    #[serde(default)]
    pub node_id_in_certificate: bool,
}

/// Limits of discovery streams.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// Differences to so many versions are kept; those to others are computed anew.
    pub versions_kept: usize,
    /// Changes of what one stream subscribes to, within `channel.messages_window`.
    pub changes_at_most: u32,
    /// A client that does not acknowledge what it was sent for so long loses its stream.
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

/// A loopback port for operators under mutual TLS; the sockets under the root of tables are there without it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdministrationSettings {
    /// The address of the port, on loopback.
    pub listen: SocketAddrV4,
    /// The port's certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Roots of the certificates that callers need.
    pub clients: PathBuf,
    /// Names of certificates that may order; all others may only ask.
    #[serde(default)]
    pub writers: Vec<String>,
}

/// How changes of configuration are handled.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeSettings {
    /// What is measured is watched for so long before a change is kept.
    #[serde(with = "span_format")]
    pub watch: Span,
    /// A change that was staged and not applied is dropped after so long.
    #[serde(with = "span_format")]
    pub staged_at_most: Span,
    /// A change that has not reached every proxy by then is undone.
    #[serde(with = "span_format")]
    pub apply_at_most: Span,
    /// Of the value served, a change may lose so much by what was measured; with more it is rejected.
    pub value_lost_at_most: f64,
    /// Of the work, so much may be at nodes that warm up afterwards.
    pub cold_work_at_most: f64,
    /// What undoes a change while it is watched.
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
    /// Deadlines, limits and conditions of the rollout.
    pub fn rollout_settings(&self) -> RolloutSettings {
        let apply = self.apply_at_most;
        RolloutSettings {
            deadlines: Deadlines {
                checks: apply,
                write: apply * WRITE_DEADLINE_PART,
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
