//! Validation of settings, and their translation from the names on the wire to internal names. Shared by the adapter
//! to the simulator and by the controller on a platform, which has the same settings in its configuration file.

mod check;
mod wire_names;

pub use check::{check, ConfigError, Problem};

use serde_json::Value;
use wheelspread::settings::{SettingValue, Settings};
use wire_names::{LIST_ITEM_NAMES, LIST_LENGTH_NAMES, SETTING_NAMES, VALUE_NAMES};

/// Why a text cannot be parsed as settings.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The text is not valid JSON.
    #[error("settings are not valid JSON: {0}")]
    Syntax(#[from] serde_json::Error),
}

/// Parses settings from JSON with names on the wire.
pub fn parse(text: &str) -> Result<Settings, ParseError> {
    Ok(from_wire(&serde_json::from_str(text)?))
}

/// Translates settings from the names on the wire to internal names. Settings without an internal name are skipped.
pub fn from_wire(value: &Value) -> Settings {
    let mut settings = Settings::default();
    flatten("", value, &mut settings);
    settings
}

/// Adds all settings at and below a path on the wire.
fn flatten(path: &str, value: &Value, settings: &mut Settings) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(&child_path(path, key), value, settings);
            }
        }
        Value::Array(items) => {
            insert_length(path, items.len(), settings);
            for (index, value) in items.iter().enumerate() {
                flatten(&child_path(path, &index.to_string()), value, settings);
            }
        }
        Value::Number(number) => {
            let number = number.as_f64().unwrap_or(f64::NAN);
            insert(path, SettingValue::Number(number), settings);
        }
        Value::Bool(flag) => insert(path, SettingValue::Flag(*flag), settings),
        Value::String(text) => insert(path, SettingValue::Text(text.clone()), settings),
        Value::Null => {}
    }
}

/// Returns the path of a field of an object or an item of a list.
pub(crate) fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

fn insert_length(path: &str, length: usize, settings: &mut Settings) {
    if let Some(name) = LIST_LENGTH_NAMES.iter().find(|name| name.wire == path) {
        let length = SettingValue::Number(length as f64);
        settings.0.insert(name.internal.to_string(), length);
    }
}

fn insert(path: &str, value: SettingValue, settings: &mut Settings) {
    let Some(name) = setting_name(path).or_else(|| list_item_name(path)) else {
        return;
    };
    let value = match value {
        SettingValue::Text(text) => SettingValue::Text(value_name(&name, &text).to_string()),
        other => other,
    };
    settings.0.insert(name, value);
}

fn setting_name(path: &str) -> Option<String> {
    SETTING_NAMES
        .iter()
        .find(|name| name.wire == path)
        .map(|name| name.internal.to_string())
}

fn list_item_name(path: &str) -> Option<String> {
    LIST_ITEM_NAMES.iter().find_map(|name| {
        let (prefix, suffix) = name.wire.split_once('*')?;
        let index = path.strip_prefix(prefix)?.strip_suffix(suffix)?;
        let is_index = index.parse::<usize>().is_ok();
        is_index.then(|| name.internal.replace('*', index))
    })
}

/// The internal name of a value of the setting with this internal name; the value itself if it has none.
fn value_name<'a>(setting: &str, text: &'a str) -> &'a str {
    VALUE_NAMES
        .iter()
        .find(|name| setting.contains(name.setting) && name.wire == text)
        .map_or(text, |name| name.internal)
}

/// The names that messages of a platform use, each in the order of its list in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of zones by [`wheelspread::ids::ZoneId`].
    pub zones: Vec<String>,
    /// Names of machine kinds by [`wheelspread::ids::KindId`].
    pub kinds: Vec<String>,
    /// Names of operations by [`wheelspread::ids::OperationId`].
    pub operations: Vec<String>,
    /// Internal names of the metrics of a load report.
    pub metrics: Vec<String>,
}

impl Names {
    /// Reads the names from settings in the format on the wire.
    pub fn from_wire(settings: &Value) -> Names {
        let texts = |list: &Value, text_of: &dyn Fn(&Value) -> Option<String>| {
            list.as_array()
                .into_iter()
                .flatten()
                .map(|item| text_of(item).unwrap_or_default())
                .collect()
        };
        let as_text = |item: &Value| item.as_str().map(str::to_string);
        Names {
            zones: texts(&settings["zones"], &as_text),
            kinds: texts(&settings["kinds"], &as_text),
            operations: texts(&settings["classes"], &|item| as_text(&item["name"])),
            metrics: texts(&settings["feedback"]["fields"], &|item| {
                Some(metric_name(item.as_str()?).to_string())
            }),
        }
    }
}

/// The internal name of a metric of a load report; the name itself if it has none.
pub fn metric_name(text: &str) -> &str {
    value_name("field", text)
}
