//! Untyped settings: a map of names to values. An element of a list has its index in the name, as in
//! `operation.0.latency_objective`; the length of the list is a setting of its own, as in `operation.count`.

use crate::error::ConfigError;
pub use crate::setting_value::SettingValue;
use std::collections::BTreeMap;

/// All settings, by name.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, SettingValue>);

impl Settings {
    /// The value of a required number; it must be finite.
    pub fn number(&self, name: &str) -> Result<f64, ConfigError> {
        match self.0.get(name) {
            Some(SettingValue::Number(value)) if value.is_finite() => Ok(*value),
            other => Err(type_error(name, "number", other)),
        }
    }

    /// The value of a number, or `default` if it is missing, not finite or of another type.
    pub fn number_or(&self, name: &str, default: f64) -> f64 {
        match self.0.get(name) {
            Some(SettingValue::Number(value)) if value.is_finite() => *value,
            _ => default,
        }
    }

    /// The value of a required text.
    pub fn text(&self, name: &str) -> Result<&str, ConfigError> {
        match self.0.get(name) {
            Some(SettingValue::Text(value)) => Ok(value),
            other => Err(type_error(name, "text", other)),
        }
    }

    /// The value of a flag, or `default` if it is missing or of another type.
    pub fn flag_or(&self, name: &str, default: bool) -> bool {
        match self.0.get(name) {
            Some(SettingValue::Flag(value)) => *value,
            _ => default,
        }
    }
}

fn type_error(name: &str, expected: &'static str, found: Option<&SettingValue>) -> ConfigError {
    let name = name.to_string();
    match found {
        Some(found) => ConfigError::WrongType {
            name,
            expected,
            found: found.clone(),
        },
        None => ConfigError::Missing { name },
    }
}
