//! The configuration that a platform hands to a controller, as one JSON file.

use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use wheelspread::settings::Settings;
use wheelspread_platform_core::{EndpointList, EntryError, ListError};
use wheelspread_settings::{check, from_wire, Names};

/// A configuration that has been read and checked.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The controller's name, for the log.
    pub name: String,
    /// Where proxies and collectors connect.
    pub listen: SocketAddrV4,
    /// Where discovery answers.
    pub discovery: SocketAddrV4,
    /// The seed of the balancer's random choices.
    pub seed: u64,
    /// Descriptors that the controller may hold.
    pub socket_limit: usize,
    /// Bytes of memory that it may take.
    pub memory_limit: usize,
    /// The endpoint list as this controller had it last.
    pub cached_list: Option<EndpointList>,
    /// What of that list can't be used: the start goes on without it.
    pub cached_list_errors: Vec<CachedListError>,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names that messages use.
    pub names: Names,
}

/// What of the known endpoint list can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// Nothing of it.
    #[error(transparent)]
    List(#[from] ListError),
    /// One entry.
    #[error(transparent)]
    Entry(#[from] EntryError),
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is no JSON.
    #[error("{path} is no JSON: {error}")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Where and why.
        error: serde_json::Error,
    },
    /// A field outside the settings can't be used.
    #[error("{path}: `{field}` {problem}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: FieldProblem,
    },
    /// A setting can't be used.
    #[error("{path}: in the settings, {error}")]
    Setting {
        /// The file.
        path: PathBuf,
        /// Which one, and why.
        error: wheelspread_settings::ConfigError,
    },
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldProblem {
    /// It is not there.
    #[error("is missing")]
    Missing,
    /// The settings are not there.
    #[error("are missing")]
    SettingsMissing,
    /// It is no IPv4 address with a port.
    #[error("is no address: {0}")]
    InvalidAddress(String),
    /// It is no hexadecimal number.
    #[error("is no number: {0}")]
    InvalidNumber(String),
}

/// Descriptors, where the file does not limit them.
const SOCKET_LIMIT_DEFAULT: u64 = 1024;
/// Fewer descriptors would leave none for connections.
const SOCKET_LIMIT_MIN: u64 = 48;
const SOCKET_LIMIT_MAX: u64 = 1 << 20;
/// Memory, where the file does not limit it.
const MEMORY_MEGABYTES_DEFAULT: f64 = 1024.0;
const MEMORY_MEGABYTES_MIN: f64 = 8.0;
const MEMORY_MEGABYTES_MAX: f64 = 1e6;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// A field that can't be used, before the file's path is known.
struct FieldError {
    field: &'static str,
    problem: FieldProblem,
}

impl PlatformConfig {
    /// Reads and checks a configuration file.
    pub fn read(path: &Path) -> Result<PlatformConfig, ConfigError> {
        let path_buf = || path.to_path_buf();
        let text = std::fs::read(path).map_err(|error| ConfigError::Unreadable {
            path: path_buf(),
            error,
        })?;
        let value: Value = serde_json::from_slice(&text).map_err(|error| ConfigError::Syntax {
            path: path_buf(),
            error,
        })?;
        if !value["settings"].is_object() {
            return Err(ConfigError::Field {
                path: path_buf(),
                field: "settings",
                problem: FieldProblem::SettingsMissing,
            });
        }
        check(&value["settings"]).map_err(|error| ConfigError::Setting {
            path: path_buf(),
            error,
        })?;
        PlatformConfig::from_json(&value).map_err(|error| ConfigError::Field {
            path: path_buf(),
            field: error.field,
            problem: error.problem,
        })
    }

    fn from_json(value: &Value) -> Result<PlatformConfig, FieldError> {
        let names = Names::from_wire(&value["settings"]);
        let (cached_list, cached_list_errors) = cached_list(&value["known"], &names);
        let seed = text(value, "seed")?;
        Ok(PlatformConfig {
            name: text(value, "name")?.to_string(),
            listen: address(value, "listen")?,
            discovery: address(value, "discovery")?,
            seed: hexadecimal("seed", seed)?,
            socket_limit: socket_limit(&value["limits"]),
            memory_limit: memory_limit(&value["limits"]),
            cached_list,
            cached_list_errors,
            settings: from_wire(&value["settings"]),
            names,
        })
    }
}

fn cached_list(value: &Value, names: &Names) -> (Option<EndpointList>, Vec<CachedListError>) {
    if value.is_null() {
        return (None, Vec::new());
    }
    match EndpointList::parse(value, names) {
        Ok(list) => {
            let errors = list.entry_errors.iter().cloned().map(Into::into).collect();
            (Some(list), errors)
        }
        Err(error) => (None, vec![error.into()]),
    }
}

fn text<'a>(value: &'a Value, field: &'static str) -> Result<&'a str, FieldError> {
    value[field].as_str().ok_or(FieldError {
        field,
        problem: FieldProblem::Missing,
    })
}

fn address(value: &Value, field: &'static str) -> Result<SocketAddrV4, FieldError> {
    let text = text(value, field)?;
    text.parse().map_err(|_| FieldError {
        field,
        problem: FieldProblem::InvalidAddress(text.to_string()),
    })
}

fn hexadecimal(field: &'static str, text: &str) -> Result<u64, FieldError> {
    u64::from_str_radix(text, 16).map_err(|_| FieldError {
        field,
        problem: FieldProblem::InvalidNumber(text.to_string()),
    })
}

fn socket_limit(limits: &Value) -> usize {
    let sockets = limits["sockets"].as_u64().unwrap_or(SOCKET_LIMIT_DEFAULT);
    sockets.clamp(SOCKET_LIMIT_MIN, SOCKET_LIMIT_MAX) as usize
}

fn memory_limit(limits: &Value) -> usize {
    let megabytes = limits["memory_mb"]
        .as_f64()
        .unwrap_or(MEMORY_MEGABYTES_DEFAULT)
        .clamp(MEMORY_MEGABYTES_MIN, MEMORY_MEGABYTES_MAX);
    (megabytes * BYTES_PER_MEGABYTE) as usize
}
