//! Settings by their names on the wire and by internal, in one copy for all that read them: the adapter to the
//! simulator, and the controller on a platform, which finds the same settings in its configuration.

mod check;
mod wire_names;

pub use check::{check, ConfigError, Problem};

use serde_json::Value;
use wheelspread::settings::{SettingValue, Settings};
use wire_names::{LIST_ITEM_NAMES, LIST_LENGTH_NAMES, SETTING_NAMES, VALUE_NAMES};

/// Why text holds no settings.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// It is no JSON.
    #[error("settings are no JSON: {0}")]
    Syntax(#[from] serde_json::Error),
}

/// Reads settings from JSON text in the wire's names.
pub fn parse(text: &str) -> Result<Settings, ParseError> {
    Ok(from_wire(&serde_json::from_str(text)?))
}

/// Translates settings from the wire's names. Settings without a name here are skipped.
pub fn from_wire(value: &Value) -> Settings {
    let mut settings = Settings::default();
    flatten("", value, &mut settings);
    settings
}

/// Adds everything below a path of the wire.
fn flatten(path: &str, value: &Value, settings: &mut Settings) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                flatten(&child_path(path, key), value, settings);
            }
        }
        Value::Array(items) => {
            insert_length(path, items.len(), settings);
            for (position, value) in items.iter().enumerate() {
                flatten(&child_path(path, &position.to_string()), value, settings);
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

/// The path of a field or an item.
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
        let (head, tail) = name.wire.split_once('*')?;
        let position = path.strip_prefix(head)?.strip_suffix(tail)?;
        let is_position = position.parse::<usize>().is_ok();
        is_position.then(|| name.internal.replace('*', position))
    })
}

/// Our word for a value of the setting of this name.
fn value_name<'a>(setting: &str, text: &'a str) -> &'a str {
    VALUE_NAMES
        .iter()
        .find(|name| setting.contains(name.setting) && name.wire == text)
        .map_or(text, |name| name.internal)
}

/// What a platform's messages call things, each in the order of its list in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Zones by [`wheelspread::ids::ZoneId`].
    pub zones: Vec<String>,
    /// Types of machine by [`wheelspread::ids::KindId`].
    pub kinds: Vec<String>,
    /// Operations by [`wheelspread::ids::OperationId`].
    pub operations: Vec<String>,
    /// Metrics of a load report, in our words.
    pub metrics: Vec<String>,
}

impl Names {
    /// The names in settings in the wire's form.
    pub fn from_wire(settings: &Value) -> Names {
        let texts = |list: &Value, text_of: &dyn Fn(&Value) -> Option<String>| {
            list.as_array()
                .into_iter()
                .flatten()
                .map(|item| text_of(item).unwrap_or_default())
                .collect()
        };
        let plain = |item: &Value| item.as_str().map(str::to_string);
        Names {
            zones: texts(&settings["zones"], &plain),
            kinds: texts(&settings["kinds"], &plain),
            operations: texts(&settings["classes"], &|item| plain(&item["name"])),
            metrics: texts(&settings["feedback"]["fields"], &|item| {
                Some(metric_name(item.as_str()?).to_string())
            }),
        }
    }
}

/// Our word for a metric of a load report.
pub fn metric_name(text: &str) -> &str {
    value_name("field", text)
}
