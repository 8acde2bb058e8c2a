//! Why a drill could not be played, or a script not be read.

use std::io;
use std::path::{Path, PathBuf};
use wheelspread_files::SwapError;
use wheelspread_xds::EncodeError;

/// Why a drill could not be played. It says nothing of the rules.
#[derive(Debug, thiserror::Error)]
pub enum DrillError {
    /// The machine refused something.
    #[error("{what}: {source}")]
    Io {
        /// What was refused.
        what: String,
        /// The machine's answer.
        source: io::Error,
    },
    /// The list of nodes can't be written.
    #[error("the list of nodes: {0}")]
    EndpointList(EncodeError),
    /// A controller's configuration file can't be written.
    #[error("{0}")]
    Configuration(serde_yaml_ng::Error),
    /// The even publisher failed.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// A proxy did not start.
    #[error("gateway {proxy} does not start")]
    ProxyNotStarted {
        /// Its number.
        proxy: usize,
    },
    /// A proxy had no tables in time.
    #[error("gateway {proxy} got no tables within {within_seconds} s; see the logs under --keep")]
    NoTables {
        /// Its number.
        proxy: usize,
        /// How long they were awaited.
        within_seconds: f64,
    },
}

/// Why the even publisher could not publish a table.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The documents can't be written.
    #[error(transparent)]
    Documents(#[from] EncodeError),
    /// The swap into the directory failed.
    #[error(transparent)]
    Swap(#[from] SwapError),
}

/// Why a script or a day can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The script's path.
        path: PathBuf,
        /// The machine's answer.
        source: io::Error,
    },
    /// An error in a file of this path.
    #[error("{}: {error}", path.display())]
    InFile {
        /// The file's path.
        path: PathBuf,
        /// What is wrong in it.
        error: Box<ScriptError>,
    },
    /// The script is no YAML, or has fields that are not known.
    #[error(transparent)]
    Syntax(#[from] serde_yaml_ng::Error),
    /// Values that are not possible, one text each.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
    /// The day is no JSON.
    #[error("the day is no JSON: {0}")]
    DayIsNoJson(serde_json::Error),
    /// The day lacks a field.
    #[error("the day has no {field}")]
    DayLacks {
        /// The field's name.
        field: &'static str,
    },
}

impl ScriptError {
    /// The same error, with the path of the file that it is in.
    pub fn in_file(self, path: &Path) -> ScriptError {
        ScriptError::InFile {
            path: path.to_path_buf(),
            error: Box::new(self),
        }
    }
}
