//! The YAML file that names a fleet's controllers.

use crate::call::{Line, Secured};
use crate::fleet::Fleet;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_grpc::tls::{http1_client_config, KeyError, KeyFiles};

/// One controller: its root of tables on this machine, or its port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The controller's name in answers.
    pub name: String,
    /// Its root of tables, for a controller on this machine.
    #[serde(default)]
    pub root: Option<PathBuf>,
    /// Its port for operators, which needs keys.
    #[serde(default)]
    pub address: Option<SocketAddrV4>,
    /// The name in its certificate; its address by default.
    #[serde(default)]
    pub server_name: Option<String>,
}

/// The keys that ports need.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKeys {
    /// The roots of the controllers' certificates.
    pub servers: PathBuf,
    /// The caller's certificate.
    pub certificate: PathBuf,
    /// The caller's private key.
    pub key: PathBuf,
}

/// The file as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Controllers by name.
    #[serde(default)]
    pub conductors: Vec<Place>,
    /// A directory in which each directory is a controller's root of tables, or holds one as `tables`; its name
    /// is the controller's.
    #[serde(default)]
    pub roots: Option<PathBuf>,
    /// Keys for controllers with an address.
    #[serde(default)]
    pub tls: Option<FleetKeys>,
    /// How long a complete answer may take.
    #[serde(default = "default_answer_timeout", with = "span_format")]
    pub within: Span,
    /// How long an order is retried until every controller has answered.
    #[serde(default = "default_order_timeout", with = "span_format")]
    pub order_within: Span,
}

fn default_answer_timeout() -> Span {
    Span::from_seconds(2.0)
}

fn default_order_timeout() -> Span {
    Span::from_seconds(10.0)
}

/// Why a fleet file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The file cannot be read, or is not of its form.
    #[error("{path}: {text}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        text: String,
    },
    /// The file's values do not make a fleet; all problems at once.
    #[error("{}", joined(.0))]
    Invalid(Vec<FleetProblem>),
}

fn joined(problems: &[FleetProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// What is wrong with one value of a fleet file.
#[derive(Debug, thiserror::Error)]
pub enum FleetProblem {
    /// The keys cannot be used.
    #[error("tls: {0}")]
    Keys(KeyError),
    /// A controller has an address, and there are no keys.
    #[error("conductors.{at}: an address needs the keys of `tls`")]
    KeysMissing {
        /// The controller's place in the file.
        at: usize,
    },
    /// A controller has both a root and an address, or neither.
    #[error("conductors.{at}: either a root or an address is expected")]
    RootOrAddress {
        /// The controller's place in the file.
        at: usize,
    },
    /// A controller has no name.
    #[error("conductors.{at}: a name is expected")]
    NameMissing {
        /// The controller's place in the file.
        at: usize,
    },
    /// Two controllers have the same name.
    #[error("conductors.{at}: `{name}` is named twice")]
    DuplicateName {
        /// The second controller's place in the file.
        at: usize,
        /// The name.
        name: String,
    },
    /// The directory of roots cannot be read.
    #[error("roots: {path}: {error}", path = .path.display())]
    Roots {
        /// The directory.
        path: PathBuf,
        /// Why it cannot be read.
        error: std::io::Error,
    },
    /// There is no controller at all.
    #[error("no conductor is named, and none was found under `roots`")]
    NoControllers,
    /// The time for an answer is out of range.
    #[error("within: should lie between 50ms and 10m")]
    AnswerTimeout,
}

/// The operators' socket in a controller's root.
const SOCKET: &str = "admin.sock";

/// The times for an answer that are accepted, in seconds.
const ANSWER_TIMEOUT_SECONDS: std::ops::RangeInclusive<f64> = 0.05..=600.0;

impl FleetFile {
    /// Reads a file; relative paths in it are taken from its directory.
    pub fn read(path: &Path) -> Result<FleetFile, FleetError> {
        let bad = |text: String| FleetError::File {
            path: path.to_path_buf(),
            text,
        };
        let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
        let mut file: FleetFile =
            serde_yaml_ng::from_str(&text).map_err(|error| bad(error.to_string()))?;
        let base = path.parent().unwrap_or(Path::new("."));
        for place in &mut file.conductors {
            place.root = place.root.take().map(|root| base.join(root));
        }
        file.roots = file.roots.take().map(|roots| base.join(roots));
        if let Some(tls) = &mut file.tls {
            for path in [&mut tls.servers, &mut tls.certificate, &mut tls.key] {
                *path = base.join(&*path);
            }
        }
        Ok(file)
    }

    /// Checks all values, finds the controllers under `roots`, and reads the keys.
    pub fn open(&self) -> Result<Fleet, FleetError> {
        let mut problems = Vec::new();
        let mut conductors = BTreeMap::new();
        let secured = self.client_keys(&mut problems);
        for (at, place) in self.conductors.iter().enumerate() {
            let line = match self.endpoint(at, place, secured.as_ref()) {
                Ok(line) => line,
                Err(problem) => {
                    problems.push(problem);
                    None
                }
            };
            if place.name.is_empty() {
                problems.push(FleetProblem::NameMissing { at });
            }
            let Some(line) = line else { continue };
            if conductors.insert(place.name.clone(), line).is_some() {
                let name = place.name.clone();
                problems.push(FleetProblem::DuplicateName { at, name });
            }
        }
        if let Some(path) = &self.roots {
            if let Err(error) = find_controllers(path, &mut conductors) {
                let path = path.clone();
                problems.push(FleetProblem::Roots { path, error });
            }
        }
        if conductors.is_empty() && problems.is_empty() {
            problems.push(FleetProblem::NoControllers);
        }
        let within = self.within.seconds();
        if !ANSWER_TIMEOUT_SECONDS.contains(&within) {
            problems.push(FleetProblem::AnswerTimeout);
        }
        if !problems.is_empty() {
            return Err(FleetError::Invalid(problems));
        }
        Ok(Fleet {
            conductors,
            within: Duration::from_secs_f64(within),
            order_within: self.order_within,
        })
    }

    fn client_keys(&self, problems: &mut Vec<FleetProblem>) -> Option<Secured> {
        let tls = self.tls.as_ref()?;
        let keys = KeyFiles {
            certificate: tls.certificate.clone(),
            key: tls.key.clone(),
        };
        http1_client_config(&tls.servers, &keys)
            .map(Secured)
            .map_err(|error| problems.push(FleetProblem::Keys(error)))
            .ok()
    }

    /// Where a controller is called; `None` if that needs keys that were found unusable.
    fn endpoint(
        &self,
        at: usize,
        place: &Place,
        secured: Option<&Secured>,
    ) -> Result<Option<Line>, FleetProblem> {
        match (&place.root, place.address, secured) {
            (Some(root), None, _) => Ok(Some(Line::Unix(root.join(SOCKET)))),
            (None, Some(address), Some(secured)) => Ok(Some(Line::Tls {
                address,
                server_name: place
                    .server_name
                    .clone()
                    .unwrap_or_else(|| address.ip().to_string()),
                secured: secured.clone(),
            })),
            (None, Some(_), None) if self.tls.is_some() => Ok(None),
            (None, Some(_), None) => Err(FleetProblem::KeysMissing { at }),
            _ => Err(FleetProblem::RootOrAddress { at }),
        }
    }
}

/// Adds the controllers whose roots lie in a directory and that are not named already.
fn find_controllers(
    directory: &Path,
    conductors: &mut BTreeMap<String, Line>,
) -> std::io::Result<()> {
    let entries = std::fs::read_dir(directory)?.flatten();
    for entry in entries.filter(|entry| entry.path().is_dir()) {
        let inner = entry.path().join("tables");
        let root = if inner.is_dir() { inner } else { entry.path() };
        // A controller that is down left its lock: it is listed and does not answer.
        if root.join("lock").exists() || root.join(SOCKET).exists() {
            let name = entry.file_name().to_string_lossy().into_owned();
            conductors
                .entry(name)
                .or_insert_with(|| Line::Unix(root.join(SOCKET)));
        }
    }
    Ok(())
}
