//! A controller's YAML configuration file. Errors name unknown fields and invalid values with their line. Relative
//! paths are resolved against the file's directory.

mod settings;
mod validate;

pub use settings::{
    AdministrationSettings, ChangeSettings, ControllerSettings, LogFormat, LogSettings,
    StreamSettings, TlsSettings,
};

use crate::locate::line_of;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use validate::FieldError;
use wheelspread_controller_core::Deployment;

/// A controller's configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerFile {
    /// Settings of the controller itself.
    pub conductor: ControllerSettings,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits of discovery streams.
    #[serde(default)]
    pub streams: StreamSettings,
    /// How changes of configuration are handled.
    #[serde(default)]
    pub changes: ChangeSettings,
    /// The operators' port; without this section, there is none.
    #[serde(default)]
    pub administration: Option<AdministrationSettings>,
    /// Keys of the proxies' listener; without this section, streams are not encrypted.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Settings that all controllers of the same proxies share.
    pub deployment: Deployment,
}

/// Why a configuration file was rejected. The text has one line for each invalid value.
#[derive(Debug, thiserror::Error)]
pub enum ControllerFileError {
    /// The file can't be read.
    #[error("{path}: {source}", path = .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not valid YAML, lacks a field, or has an unknown one.
    #[error("{path}: {source}", path = .path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// Invalid values, each with its file, line and field.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

impl ControllerFile {
    /// Reads and validates a file, and resolves its relative paths against the file's directory.
    pub fn read(path: &Path) -> Result<ControllerFile, ControllerFileError> {
        let text =
            std::fs::read_to_string(path).map_err(|source| ControllerFileError::Unreadable {
                path: path.to_path_buf(),
                source,
            })?;
        let mut file = ControllerFile::parse(&text, path)?;
        file.resolve_paths(path.parent().unwrap_or(Path::new(".")));
        Ok(file)
    }

    fn resolve_paths(&mut self, base: &Path) {
        let resolve = |path: &mut PathBuf| *path = base.join(&*path);
        resolve(&mut self.conductor.tables);
        resolve(&mut self.conductor.list);
        self.conductor
            .watched_directory
            .iter_mut()
            .for_each(resolve);
        if let Some(tls) = &mut self.tls {
            resolve(&mut tls.certificate);
            resolve(&mut tls.key);
            tls.clients.iter_mut().for_each(resolve);
        }
        if let Some(administration) = &mut self.administration {
            resolve(&mut administration.certificate);
            resolve(&mut administration.key);
            resolve(&mut administration.clients);
        }
    }

    /// Parses and validates the text of a file; `path` is used in errors only.
    pub fn parse(text: &str, path: &Path) -> Result<ControllerFile, ControllerFileError> {
        let file: ControllerFile =
            serde_yaml_ng::from_str(text).map_err(|source| ControllerFileError::Malformed {
                path: path.to_path_buf(),
                source,
            })?;
        let errors = file.validate();
        if errors.is_empty() {
            return Ok(file);
        }
        let with_place = |error: FieldError| {
            let line =
                line_of(text, &error.field).map_or(String::new(), |line| format!(" line {line},"));
            format!("{}:{line} {error}", path.display())
        };
        Err(ControllerFileError::Invalid(
            errors.into_iter().map(with_place).collect(),
        ))
    }
}

#[cfg(test)]
mod tests;
