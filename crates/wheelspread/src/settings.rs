//! Settings as they arrive: a plain map of names to values. Lists are spelt with their position,
//! as in `operation.0.latency_objective`, and with their length under the list's own name.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    Number(f64),
    Text(String),
    Flag(bool),
}

#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, SettingValue>);

impl Settings {
    pub fn number(&self, name: &str) -> Result<f64, String> {
        match self.0.get(name) {
            Some(SettingValue::Number(value)) if value.is_finite() => Ok(*value),
            Some(other) => Err(format!(
                "setting {name} should be a number, it is {other:?}"
            )),
            None => Err(format!("setting {name} is missing")),
        }
    }

    pub fn number_or(&self, name: &str, otherwise: f64) -> f64 {
        self.number(name).unwrap_or(otherwise)
    }

    pub fn text(&self, name: &str) -> Result<&str, String> {
        match self.0.get(name) {
            Some(SettingValue::Text(value)) => Ok(value),
            Some(other) => Err(format!("setting {name} should be a text, it is {other:?}")),
            None => Err(format!("setting {name} is missing")),
        }
    }

    pub fn flag_or(&self, name: &str, otherwise: bool) -> bool {
        match self.0.get(name) {
            Some(SettingValue::Flag(value)) => *value,
            _ => otherwise,
        }
    }
}
