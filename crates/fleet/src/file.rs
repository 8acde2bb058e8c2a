//! The fleet file: a YAML file that lists the controllers of a fleet.

use crate::call::{ClientTls, ControllerAddress};
use crate::fleet::Fleet;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_grpc::tls::{http1_client_config, KeyError, KeyFiles};

/// A controller in a fleet file: by its root of tables on this machine, or by its port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerEntry {
    /// The controller's name in answers.
    pub name: String,
    /// The root of tables of a controller on this machine.
    #[serde(default)]
    pub root: Option<PathBuf>,
    /// The IP address and port of the API for operators; it requires `tls` in the file.
    #[serde(default)]
    pub address: Option<SocketAddrV4>,
    /// The name in the controller's certificate; the IP address by default.
    #[serde(default)]
    pub server_name: Option<String>,
}

/// The certificates and key for controllers with an address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKeys {
    /// The file of the CA certificates that sign the controllers' certificates.
    pub servers: PathBuf,
    /// The file of the client's certificate.
    pub certificate: PathBuf,
    /// The file of the client's private key.
    pub key: PathBuf,
}

/// A fleet file as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Controllers that are listed by name.
    #[serde(default, rename = "conductors")]
    pub controllers: Vec<ControllerEntry>,
    /// A directory in which each subdirectory is a controller's root of tables, or contains one as `tables`. The name
    /// of the subdirectory is the name of the controller.
    #[serde(default)]
    pub roots: Option<PathBuf>,
    /// The certificates and key for controllers with an address.
    #[serde(default)]
    pub tls: Option<FleetKeys>,
    /// The maximum time for a complete answer.
    #[serde(
        rename = "within",
        default = "default_answer_timeout",
        with = "span_format"
    )]
    pub answer_timeout: Span,
    /// The maximum time for which an order is retried until every controller has answered.
    #[serde(
        rename = "order_within",
        default = "default_order_timeout",
        with = "span_format"
    )]
    pub order_timeout: Span,
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
    /// The file cannot be read, or is not a valid fleet file.
    #[error("{path}: {text}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        text: String,
    },
    /// Values of the file are invalid; the list holds all problems.
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
    /// The certificates or the key cannot be used.
    #[error("tls: {0}")]
    Keys(KeyError),
    /// A controller has an address, and the file has no `tls`.
    #[error("conductors.{index}: an address needs the keys of `tls`")]
    KeysMissing {
        /// The controller's place in the file.
        index: usize,
    },
    /// A controller has both a root and an address, or neither.
    #[error("conductors.{index}: either a root or an address is expected")]
    RootOrAddress {
        /// The controller's place in the file.
        index: usize,
    },
    /// A controller has no name.
    #[error("conductors.{index}: a name is expected")]
    NameMissing {
        /// The controller's place in the file.
        index: usize,
    },
    /// Two controllers have the same name.
    #[error("conductors.{index}: `{name}` is named twice")]
    DuplicateName {
        /// The second controller's place in the file.
        index: usize,
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
    /// The file lists no controller, and none was found under `roots`.
    #[error("no conductor is named, and none was found under `roots`")]
    NoControllers,
    /// `within` is out of range.
    #[error("within: should lie between 50ms and 10m")]
    AnswerTimeout,
}

/// The file name of the operators' socket in a controller's root of tables.
const SOCKET_FILE_NAME: &str = "admin.sock";

/// The allowed range of `within`, in seconds.
const ANSWER_TIMEOUT_SECONDS: std::ops::RangeInclusive<f64> = 0.05..=600.0;

impl FleetFile {
    /// Reads a fleet file. Relative paths in it are relative to its directory.
    pub fn read(path: &Path) -> Result<FleetFile, FleetError> {
        let bad = |text: String| FleetError::File {
            path: path.to_path_buf(),
            text,
        };
        let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
        let mut file: FleetFile =
            serde_yaml_ng::from_str(&text).map_err(|error| bad(error.to_string()))?;
        let base = path.parent().unwrap_or(Path::new("."));
        for entry in &mut file.controllers {
            entry.root = entry.root.take().map(|root| base.join(root));
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
        let mut controllers = BTreeMap::new();
        let tls = self.client_keys(&mut problems);
        for (index, entry) in self.controllers.iter().enumerate() {
            let address = match self.controller_address(index, entry, tls.as_ref()) {
                Ok(address) => address,
                Err(problem) => {
                    problems.push(problem);
                    None
                }
            };
            if entry.name.is_empty() {
                problems.push(FleetProblem::NameMissing { index });
            }
            let Some(address) = address else { continue };
            if controllers.insert(entry.name.clone(), address).is_some() {
                let name = entry.name.clone();
                problems.push(FleetProblem::DuplicateName { index, name });
            }
        }
        if let Some(path) = &self.roots {
            if let Err(error) = add_controllers_in(path, &mut controllers) {
                let path = path.clone();
                problems.push(FleetProblem::Roots { path, error });
            }
        }
        if controllers.is_empty() && problems.is_empty() {
            problems.push(FleetProblem::NoControllers);
        }
        let timeout = self.answer_timeout.seconds();
        if !ANSWER_TIMEOUT_SECONDS.contains(&timeout) {
            problems.push(FleetProblem::AnswerTimeout);
        }
        if !problems.is_empty() {
            return Err(FleetError::Invalid(problems));
        }
        Ok(Fleet {
            controllers,
            answer_timeout: Duration::from_secs_f64(timeout),
            order_timeout: self.order_timeout,
        })
    }

    fn client_keys(&self, problems: &mut Vec<FleetProblem>) -> Option<ClientTls> {
        let tls = self.tls.as_ref()?;
        let keys = KeyFiles {
            certificate: tls.certificate.clone(),
            key: tls.key.clone(),
        };
        http1_client_config(&tls.servers, &keys)
            .map(ClientTls)
            .map_err(|error| problems.push(FleetProblem::Keys(error)))
            .ok()
    }

    /// The address of a controller; `None` if it requires keys that cannot be used, which is reported elsewhere.
    fn controller_address(
        &self,
        index: usize,
        entry: &ControllerEntry,
        tls: Option<&ClientTls>,
    ) -> Result<Option<ControllerAddress>, FleetProblem> {
        match (&entry.root, entry.address, tls) {
            (Some(root), None, _) => Ok(Some(ControllerAddress::Unix(root.join(SOCKET_FILE_NAME)))),
            (None, Some(address), Some(tls)) => Ok(Some(ControllerAddress::Tls {
                address,
                server_name: entry
                    .server_name
                    .clone()
                    .unwrap_or_else(|| address.ip().to_string()),
                tls: tls.clone(),
            })),
            (None, Some(_), None) if self.tls.is_some() => Ok(None),
            (None, Some(_), None) => Err(FleetProblem::KeysMissing { index }),
            _ => Err(FleetProblem::RootOrAddress { index }),
        }
    }
}

/// Adds the controllers whose roots are in a directory. Controllers that are listed by name take precedence.
fn add_controllers_in(
    directory: &Path,
    controllers: &mut BTreeMap<String, ControllerAddress>,
) -> std::io::Result<()> {
    let entries = std::fs::read_dir(directory)?.flatten();
    for entry in entries.filter(|entry| entry.path().is_dir()) {
        let inner = entry.path().join("tables");
        let root = if inner.is_dir() { inner } else { entry.path() };
        // A controller that is down leaves its lock file, so it is added and will be reported as unreachable.
        if root.join("lock").exists() || root.join(SOCKET_FILE_NAME).exists() {
            let name = entry.file_name().to_string_lossy().into_owned();
            controllers
                .entry(name)
                .or_insert_with(|| ControllerAddress::Unix(root.join(SOCKET_FILE_NAME)));
        }
    }
    Ok(())
}
