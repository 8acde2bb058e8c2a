//! What a conductor is told by its YAML file. Unknown fields and values that can't be are named with their
//! line; paths are taken from where the file lies.

use crate::locate::line_of;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use wheelspread::time::Span;
use wheelspread_config_rollout::{Conditions, Plans};
use wheelspread_config_transaction::checks::Bounds;
use wheelspread_config_transaction::ledger::Deadlines;
use wheelspread_controller_core::{span_format, Deployment};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    Lines,
    Json,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogPlan {
    pub form: LogForm,
    /// `error`, `warn`, `info`, `debug` or `trace`; or directives as `info,wheelspread_controller=debug`.
    pub level: String,
}

impl Default for LogPlan {
    fn default() -> Self {
        LogPlan {
            form: LogForm::Lines,
            level: "info".to_string(),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub name: String,
    /// Among the conductors that share the proxies, from 0.
    #[serde(default)]
    pub number: u32,
    #[serde(default)]
    pub seed: u64,
    /// Where proxies open their streams of sums.
    pub listen: SocketAddrV4,
    /// The root of the files front.
    pub tables: PathBuf,
    /// The list of nodes.
    pub list: PathBuf,
    /// Watched for swaps; without it, the directory that the list lies in.
    #[serde(default)]
    pub watched_directory: Option<PathBuf>,
    #[serde(default = "most_connections")]
    pub connections_at_most: usize,
}

fn most_connections() -> usize {
    10_000
}

/// Keys of the side that is called; files may be swapped at any time.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsPlan {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Roots of the certificates that clients need; left out: none is asked for.
    #[serde(default)]
    pub clients: Option<PathBuf>,
    /// Whether the node id that a client gives has to be a name of its certificate.
    #[serde(default)]
    pub node_id_in_certificate: bool,
}

/// What streams of tables may cost.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamPlan {
    /// Of so many versions the differences are kept; others are worked out anew.
    pub versions_kept: usize,
    /// Changes of what one stream subscribes to, within `channel.messages_window`.
    pub changes_at_most: u32,
    /// A client that does not speak to what it was sent for so long loses its stream.
    #[serde(with = "span_format")]
    pub unanswered_at_most: Span,
}

impl Default for StreamPlan {
    fn default() -> Self {
        let unanswered_at_most = Span::from_seconds(15.0);
        StreamPlan {
            versions_kept: 16,
            changes_at_most: 60,
            unanswered_at_most,
        }
    }
}

/// A loopback port for operators, under mutual TLS; the sockets under the root are there without it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdministrationPlan {
    pub listen: SocketAddrV4,
    pub certificate: PathBuf,
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
pub struct ChangePlan {
    /// What is measured is looked at for so long before a change is kept.
    #[serde(with = "span_format")]
    pub watch: Span,
    /// A change that was staged and not applied is let go of after so long.
    #[serde(with = "span_format")]
    pub staged_at_most: Span,
    /// A change that has not reached every gateway by then is undone.
    #[serde(with = "span_format")]
    pub apply_at_most: Span,
    /// Of the value served, a change may lose so much by what was measured; with more it is refused.
    pub value_lost_at_most: f64,
    /// Of the work, so much may be at cold nodes afterwards.
    pub cold_work_at_most: f64,
    pub undo_when: Conditions,
}

impl Default for ChangePlan {
    fn default() -> Self {
        ChangePlan {
            watch: Span::from_seconds(30.0),
            staged_at_most: Span::from_seconds(600.0),
            apply_at_most: Span::from_seconds(20.0),
            value_lost_at_most: 0.05,
            cold_work_at_most: 0.3,
            undo_when: Conditions::default(),
        }
    }
}

/// Of the time that a change may take to reach every gateway: how long the disk may take before it is asked
/// again.
const WRITE: f64 = 0.2;

impl ChangePlan {
    pub fn plans(&self) -> Plans {
        let apply = self.apply_at_most;
        Plans {
            deadlines: Deadlines {
                checks: apply,
                write: apply * WRITE,
                staged: self.staged_at_most,
                apply,
                watch: self.watch,
            },
            bounds: Bounds {
                loses_at_most: self.value_lost_at_most,
                cold_at_most: self.cold_work_at_most,
                takes_at_most: apply,
            },
            conditions: self.undo_when,
        }
    }

    fn flaws(&self) -> Vec<(String, String)> {
        let spans = [
            ("watch", self.watch),
            ("staged_at_most", self.staged_at_most),
            ("apply_at_most", self.apply_at_most),
        ];
        let short = spans.into_iter().filter(|(_, span)| span.seconds() < 0.2);
        let mut flaws: Vec<(String, String)> = short
            .map(|(field, _)| {
                (
                    format!("changes.{field}"),
                    "should be 200ms or more".to_string(),
                )
            })
            .collect();
        let undo = &self.undo_when;
        for (field, part) in [
            ("value_lost_at_most", self.value_lost_at_most),
            ("cold_work_at_most", self.cold_work_at_most),
            ("undo_when.errored_more_at_most", undo.errored_more_at_most),
            ("undo_when.value_less_at_most", undo.value_less_at_most),
        ] {
            if !(0.0..=1.0).contains(&part) {
                flaws.push((
                    format!("changes.{field}"),
                    format!("{part} should lie between 0 and 1"),
                ));
            }
        }
        if !(undo.slower_at_most >= 1.0 && undo.invocations_at_least >= 1.0) {
            let text = "slower_at_most and invocations_at_least should be 1 or more".to_string();
            flaws.push(("changes.undo_when".to_string(), text));
        }
        flaws
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerFile {
    pub conductor: Place,
    #[serde(default)]
    pub log: LogPlan,
    #[serde(default)]
    pub streams: StreamPlan,
    #[serde(default)]
    pub changes: ChangePlan,
    #[serde(default)]
    pub administration: Option<AdministrationPlan>,
    /// Left out: streams are not secured.
    #[serde(default)]
    pub tls: Option<TlsPlan>,
    pub deployment: Deployment,
}

/// Everything that is wrong with a file, a line each.
#[derive(Debug, thiserror::Error)]
pub enum ControllerFileError {
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{path}: {text}", path = .path.display())]
    Form { path: PathBuf, text: String },
    #[error("{}", .0.join("\n"))]
    Flaws(Vec<String>),
}

impl ControllerFile {
    pub fn read(path: &Path) -> Result<ControllerFile, ControllerFileError> {
        let text =
            std::fs::read_to_string(path).map_err(|source| ControllerFileError::Unreadable {
                path: path.to_path_buf(),
                source,
            })?;
        let mut file = ControllerFile::parse(&text, path)?;
        let base = path.parent().unwrap_or(Path::new("."));
        let place = &mut file.conductor;
        place.tables = base.join(&place.tables);
        place.list = base.join(&place.list);
        if let Some(tls) = &mut file.tls {
            tls.certificate = base.join(&tls.certificate);
            tls.key = base.join(&tls.key);
            tls.clients = tls.clients.take().map(|roots| base.join(roots));
        }
        if let Some(plan) = &mut file.administration {
            for path in [&mut plan.certificate, &mut plan.key, &mut plan.clients] {
                *path = base.join(&*path);
            }
        }
        place.watched_directory = place
            .watched_directory
            .take()
            .map(|directory| base.join(directory));
        Ok(file)
    }

    pub fn parse(text: &str, path: &Path) -> Result<ControllerFile, ControllerFileError> {
        let form = |text: String| ControllerFileError::Form {
            path: path.to_path_buf(),
            text,
        };
        let file: ControllerFile =
            serde_yaml_ng::from_str(text).map_err(|error| form(error.to_string()))?;
        let mut flaws: Vec<(String, String)> = Vec::new();
        for flaw in file.deployment.flaws() {
            flaws.push((format!("deployment.{}", flaw.field), flaw.text));
        }
        let count = file.deployment.conductors.count;
        if file.conductor.number >= count {
            let text = format!(
                "{} of {count} conductors: they count from 0",
                file.conductor.number
            );
            flaws.push(("conductor.number".to_string(), text));
        }
        if file.conductor.connections_at_most == 0 {
            flaws.push((
                "conductor.connections_at_most".to_string(),
                "should be above 0".to_string(),
            ));
        }
        if file
            .tls
            .as_ref()
            .is_some_and(|tls| tls.node_id_in_certificate && tls.clients.is_none())
        {
            let text = "needs the roots of `clients`".to_string();
            flaws.push(("tls.node_id_in_certificate".to_string(), text));
        }
        flaws.extend(file.changes.flaws());
        if file
            .administration
            .as_ref()
            .is_some_and(|plan| !plan.listen.ip().is_loopback())
        {
            let text = "should be an address on loopback".to_string();
            flaws.push(("administration.listen".to_string(), text));
        }
        let streams = &file.streams;
        if streams.versions_kept == 0
            || streams.versions_kept > 1000
            || streams.changes_at_most == 0
        {
            let text = "versions_kept lies between 1 and 1000, changes_at_most above 0";
            flaws.push(("streams".to_string(), text.to_string()));
        }
        if streams.unanswered_at_most <= Span::ZERO {
            flaws.push((
                "streams.unanswered_at_most".to_string(),
                "should be above 0".to_string(),
            ));
        }
        if tracing_subscriber::EnvFilter::try_new(&file.log.level).is_err() {
            flaws.push((
                "log.level".to_string(),
                format!("`{}` is no level", file.log.level),
            ));
        }
        if flaws.is_empty() {
            return Ok(file);
        }
        let named = |(field, said): (String, String)| {
            let line = line_of(text, &field).map_or(String::new(), |line| format!(" line {line},"));
            format!("{}:{line} {field}: {said}", path.display())
        };
        Err(ControllerFileError::Flaws(
            flaws.into_iter().map(named).collect(),
        ))
    }
}

#[cfg(test)]
mod tests;
