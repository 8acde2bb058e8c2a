//! A controller's configuration on a platform, read from one JSON file.

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
    /// The address at which proxies and collectors connect.
    pub listen: SocketAddrV4,
    /// The address of discovery.
    pub discovery: SocketAddrV4,
    /// The seed of the balancer's random choices.
    pub seed: u64,
    /// The number of file descriptors that the controller may hold.
    pub socket_limit: usize,
    /// The memory limit of the controller in bytes.
    pub memory_limit: usize,
    /// The cached list: the latest endpoint list that this controller had before the start (`known`).
    pub cached_list: Option<EndpointList>,
    /// Errors of the cached list. The controller starts without its invalid parts.
    pub cached_list_errors: Vec<CachedListError>,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names of zones, kinds, operations and metrics in messages and endpoint lists.
    pub names: Names,
}

/// Why the cached list, or an entry of it, is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CachedListError {
    /// The list is rejected as a whole.
    #[error(transparent)]
    List(#[from] ListError),
    /// One entry is rejected.
    #[error(transparent)]
    Entry(#[from] EntryError),
}

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("{path} is not valid JSON: {error}")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The error, with its line and column.
        error: serde_json::Error,
    },
    /// A field outside the settings is missing or invalid.
    #[error("{path}: `{field}` {problem}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: FieldProblem,
    },
    /// A setting is invalid.
    #[error("{path}: in the settings, {error}")]
    Setting {
        /// The file.
        path: PathBuf,
        /// The setting and what is wrong with it.
        error: wheelspread_settings::ConfigError,
    },
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldProblem {
    /// The field is missing or not a string.
    #[error("is missing or not a string")]
    Missing,
    /// The settings are missing or not an object.
    #[error("is missing or not an object")]
    SettingsMissing,
    /// The value is not an IPv4 address with a port.
    #[error("is not an IPv4 address with a port: {0}")]
    InvalidAddress(String),
    /// The value is not a hexadecimal number of at most 64 bits.
    #[error("is not a hexadecimal number of at most 64 bits: {0}")]
    InvalidNumber(String),
}

/// The descriptor limit if the file gives none.
const SOCKET_LIMIT_DEFAULT: u64 = 1024;
/// A lower limit would leave too few descriptors for connections, after those of the event loop and HTTP exchanges.
const SOCKET_LIMIT_MIN: u64 = 48;
const SOCKET_LIMIT_MAX: u64 = 1 << 20;
/// The memory limit if the file gives none.
const MEMORY_MEGABYTES_DEFAULT: f64 = 1024.0;
const MEMORY_MEGABYTES_MIN: f64 = 8.0;
const MEMORY_MEGABYTES_MAX: f64 = 1e6;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// A missing or invalid field, without the file's path.
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
