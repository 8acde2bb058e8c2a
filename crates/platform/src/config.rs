//! What a conductor is told by the platform, as one JSON file.

use serde_json::Value;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use wheelspread::settings::Settings;
use wheelspread_platform_core::List;
use wheelspread_settings::{check, settings, Names, Wrong};

#[derive(Clone, Debug)]
pub struct PlatformFile {
    pub name: String,
    pub listen: SocketAddrV4,
    pub discovery: SocketAddrV4,
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    pub memory: usize,
    /// The list as this conductor had it last.
    pub known: Option<List>,
    /// What of that list can't be used, and why: the start goes on without it.
    pub refused: Vec<String>,
    pub facts: Settings,
    pub names: Names,
}

#[derive(Debug, thiserror::Error)]
pub enum BadFile {
    #[error("{path}: {error}")]
    Unreadable {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error("{path} is no JSON: {error}")]
    Syntax {
        path: PathBuf,
        error: serde_json::Error,
    },
    #[error("{path}: `{field}` {why}")]
    Field {
        path: PathBuf,
        field: &'static str,
        why: String,
    },
    #[error("{path}: in the settings, {wrong}")]
    Setting { path: PathBuf, wrong: Wrong },
}

/// Where the file does not limit them.
const SOCKETS: u64 = 1024;
const MEMORY_MB: f64 = 1024.0;

impl PlatformFile {
    pub fn read(path: &Path) -> Result<PlatformFile, BadFile> {
        let unreadable = |error| BadFile::Unreadable {
            path: path.to_path_buf(),
            error,
        };
        let text = std::fs::read(path).map_err(unreadable)?;
        let syntax = |error| BadFile::Syntax {
            path: path.to_path_buf(),
            error,
        };
        let value: Value = serde_json::from_slice(&text).map_err(syntax)?;
        let setting = |wrong| BadFile::Setting {
            path: path.to_path_buf(),
            wrong,
        };
        if !value["settings"].is_object() {
            let why = "are missing".to_string();
            return Err(BadFile::Field {
                path: path.to_path_buf(),
                field: "settings",
                why,
            });
        }
        check(&value["settings"]).map_err(setting)?;
        PlatformFile::of(&value).map_err(|(field, why)| BadFile::Field {
            path: path.to_path_buf(),
            field,
            why,
        })
    }

    fn of(value: &Value) -> Result<PlatformFile, (&'static str, String)> {
        let text = |field: &'static str| {
            value[field]
                .as_str()
                .ok_or((field, "is missing".to_string()))
        };
        let address = |field| {
            let text = text(field)?;
            text.parse()
                .map_err(|_| (field, format!("is no address: {text}")))
        };
        let settings_of = &value["settings"];
        let names = Names::read(settings_of);
        let (known, refused) = match &value["known"] {
            Value::Null => (None, Vec::new()),
            known => match List::read(known, &names) {
                Ok(list) => (Some(list.clone()), list.refused),
                Err(why) => (None, vec![why]),
            },
        };
        let seed = text("seed")?;
        let limits = &value["limits"];
        Ok(PlatformFile {
            name: text("name")?.to_string(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| ("seed", format!("is no number: {seed}")))?,
            sockets: limits["sockets"]
                .as_u64()
                .unwrap_or(SOCKETS)
                .clamp(48, 1 << 20) as usize,
            memory: (limits["memory_mb"]
                .as_f64()
                .unwrap_or(MEMORY_MB)
                .clamp(8.0, 1e6)
                * 1e6) as usize,
            known,
            refused,
            facts: settings(settings_of),
            names,
        })
    }
}
