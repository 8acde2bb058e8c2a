//! Errors of drills and scripts.

use std::io;
use std::path::{Path, PathBuf};
use wheelspread_files::SwapError;
use wheelspread_xds::EncodeError;

/// Why a drill could not be run. Such an error is no verdict on the rules.
#[derive(Debug, thiserror::Error)]
pub enum DrillError {
    /// An operation of the operating system failed.
    #[error("{what}: {source}")]
    Io {
        /// The operation or the path that failed.
        what: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The endpoint list cannot be encoded.
    #[error("cannot encode the endpoint list: {0}")]
    EndpointList(EncodeError),
    /// A controller's configuration file cannot be encoded.
    #[error("cannot encode a controller's configuration file: {0}")]
    Configuration(serde_yaml_ng::Error),
    /// The even-weight publisher failed.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// A proxy failed to start.
    #[error("proxy {proxy} did not start")]
    ProxyNotStarted {
        /// The proxy's number.
        proxy: usize,
    },
    /// No tables were published to a proxy in time.
    #[error(
        "proxy {proxy} got no tables within {within_seconds} s; the controllers' logs are kept with --keep"
    )]
    NoTables {
        /// The proxy's number.
        proxy: usize,
        /// The timeout in seconds.
        within_seconds: f64,
    },
}

/// Why the even-weight publisher could not publish tables.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The table documents cannot be encoded.
    #[error(transparent)]
    Documents(#[from] EncodeError),
    /// The swap into the directory failed.
    #[error(transparent)]
    Swap(#[from] SwapError),
}

/// Why a script or a day file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An error in the content of a file.
    #[error("{}: {error}", path.display())]
    InFile {
        /// The path of the file.
        path: PathBuf,
        /// The error.
        error: Box<ScriptError>,
    },
    /// The script is not valid YAML, lacks a field or has an unknown one.
    #[error(transparent)]
    Syntax(#[from] serde_yaml_ng::Error),
    /// Invalid values, one message each.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
    /// The day file is not valid JSON.
    #[error("the day file is not valid JSON: {0}")]
    InvalidDayJson(serde_json::Error),
    /// The day file lacks a field, or its value is invalid.
    #[error("the day file has no valid field `{field}`")]
    InvalidDayField {
        /// The name of the field.
        field: &'static str,
    },
}

impl ScriptError {
    /// Adds the path of the file in which the error was found.
    pub fn in_file(self, path: &Path) -> ScriptError {
        ScriptError::InFile {
            path: path.to_path_buf(),
            error: Box::new(self),
        }
    }
}
