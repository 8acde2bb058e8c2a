//! Validation of settings. Errors name a setting by its path on the wire.

use crate::child_path;
use serde_json::Value;
use std::fmt;

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{field}` {problem}")]
pub struct ConfigError {
    /// The path of the setting on the wire.
    pub field: String,
    /// Why the setting is invalid.
    pub problem: Problem,
}

/// Why a setting is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The setting is required and missing.
    #[error("is missing")]
    Missing,
    /// The setting has the wrong type or is out of range.
    #[error("should be {expected}, found {found}")]
    Invalid {
        /// The allowed type and range.
        expected: String,
        /// The beginning of the invalid value.
        found: String,
    },
    /// A name occurs twice, so messages could not distinguish the two items.
    #[error("is {value}, the same name as `{first}`")]
    Duplicate {
        /// The name.
        value: String,
        /// The path of the earlier setting with the same name.
        first: String,
    },
}

/// The allowed range of a number.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NumberRange {
    min: f64,
    min_is_allowed: bool,
    max: f64,
}

impl NumberRange {
    const NON_NEGATIVE: NumberRange = NumberRange {
        min: 0.0,
        min_is_allowed: true,
        max: f64::MAX,
    };
    const POSITIVE: NumberRange = NumberRange {
        min: 0.0,
        min_is_allowed: false,
        max: f64::MAX,
    };

    fn contains(&self, number: f64) -> bool {
        let is_above_min = number > self.min || (self.min_is_allowed && number == self.min);
        number.is_finite() && is_above_min && number <= self.max
    }
}

impl fmt::Display for NumberRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NumberRange { min, max, .. } = self;
        match (self.min_is_allowed, self.max == f64::MAX) {
            (true, true) => write!(f, "a number of at least {min}"),
            (false, true) => write!(f, "a number above {min}"),
            _ => write!(f, "a number above {min} and at most {max}"),
        }
    }
}

/// The allowed type and range of a setting that is present.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    Number(NumberRange),
    Flag,
    Text,
    /// A list of `min` to `max` items.
    List {
        min: usize,
        max: usize,
    },
}

impl Form {
    fn accepts(self, value: &Value) -> bool {
        match self {
            Form::Number(range) => value.as_f64().is_some_and(|number| range.contains(number)),
            Form::Flag => value.is_boolean(),
            Form::Text => value.as_str().is_some_and(|text| !text.is_empty()),
            Form::List { min, max } => value
                .as_array()
                .is_some_and(|items| (min..=max).contains(&items.len())),
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Form::Number(range) => range.fmt(f),
            Form::Flag => f.write_str("true or false"),
            Form::Text => f.write_str("a non-empty text"),
            Form::List { min, max } => write!(f, "a list of {min} to {max} items"),
        }
    }
}

/// Whether a setting must be present.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Required,
    Optional,
}

/// The validation rule of a setting.
struct SettingRule {
    /// The path on the wire; `*` stands for every item of a list.
    path: &'static str,
    form: Form,
    presence: Presence,
}

const fn required(path: &'static str, form: Form) -> SettingRule {
    SettingRule {
        path,
        form,
        presence: Presence::Required,
    }
}

const fn optional(path: &'static str, form: Form) -> SettingRule {
    SettingRule {
        path,
        form,
        presence: Presence::Optional,
    }
}

const NON_NEGATIVE: Form = Form::Number(NumberRange::NON_NEGATIVE);
const POSITIVE: Form = Form::Number(NumberRange::POSITIVE);
const PROXY_COUNT: Form = Form::Number(NumberRange {
    max: u16::MAX as f64,
    ..NumberRange::POSITIVE
});

/// The validation rules. The maximum counts of zones, kinds, operations and proxies follow from the range of their
/// ids.
const SETTING_RULES: &[SettingRule] = &[
    required("zones", Form::List { min: 1, max: 250 }),
    required("zones.*", Form::Text),
    required("kinds", Form::List { min: 1, max: 255 }),
    required("kinds.*", Form::Text),
    required("classes", Form::List { min: 1, max: 16 }),
    required("classes.*.name", Form::Text),
    required("classes.*.aim", POSITIVE),
    required("classes.*.deadline", POSITIVE),
    required("classes.*.idempotency", Form::Text),
    optional("classes.*.group", Form::Text),
    optional("classes.*.key_ttl", NON_NEGATIVE),
    optional("classes.*.worth", NON_NEGATIVE),
    optional("classes.*.late_value", NON_NEGATIVE),
    required("peers_total", POSITIVE),
    optional("tick", NON_NEGATIVE),
    optional("feedback.fields", Form::List { min: 0, max: 16 }),
    required("feedback.fields.*", Form::Text),
    required("extra.proxy_count", PROXY_COUNT),
    required("extra.period", POSITIVE),
    required("extra.backlog", NON_NEGATIVE),
    required("extra.head", NON_NEGATIVE),
    required("extra.push_delay_max", NON_NEGATIVE),
    optional("extra.push_rate", NON_NEGATIVE),
    optional("extra.pushes_allowed", NON_NEGATIVE),
    optional("extra.update_window", NON_NEGATIVE),
    optional("extra.fails_to_eject", NON_NEGATIVE),
    optional("extra.homed_by_zone", Form::Flag),
    optional("extra.stays_local.*", Form::Flag),
    optional("extra.admit", Form::Text),
    optional("limits.conn_idle", NON_NEGATIVE),
    optional("limits.peer_messages", Form::Flag),
    optional("prices.cross_zone", NON_NEGATIVE),
    required("rules.overload_factor", POSITIVE),
    required("rules.start_capacity", NON_NEGATIVE),
    required("rules.warm_after", NON_NEGATIVE),
];

/// Paths of names that must be unique, because messages identify items by them.
const UNIQUE_PATHS: &[&str] = &["zones.*", "kinds.*", "classes.*.name"];

/// Maximum number of characters of an invalid value that are quoted in an error.
const MAX_QUOTED_CHARS: usize = 40;

/// Validates settings; the error names the first invalid one.
pub fn check(settings: &Value) -> Result<(), ConfigError> {
    for setting in SETTING_RULES {
        for (field, value) in resolve_path(settings, setting.path) {
            check_form(setting, value).map_err(|problem| ConfigError { field, problem })?;
        }
    }
    UNIQUE_PATHS
        .iter()
        .try_for_each(|path| check_unique(settings, path))
}

fn check_form(setting: &SettingRule, value: &Value) -> Result<(), Problem> {
    match (value, setting.presence) {
        (Value::Null, Presence::Optional) => Ok(()),
        (Value::Null, Presence::Required) => Err(Problem::Missing),
        _ if setting.form.accepts(value) => Ok(()),
        _ => Err(Problem::Invalid {
            expected: setting.form.to_string(),
            found: value.to_string().chars().take(MAX_QUOTED_CHARS).collect(),
        }),
    }
}

fn check_unique(settings: &Value, path: &str) -> Result<(), ConfigError> {
    let named = resolve_path(settings, path);
    for (index, (field, value)) in named.iter().enumerate() {
        let mut earlier = named[..index].iter();
        if let Some((first, _)) = earlier.find(|(_, other)| other == value) {
            return Err(ConfigError {
                field: field.clone(),
                problem: Problem::Duplicate {
                    value: value.to_string(),
                    first: first.clone(),
                },
            });
        }
    }
    Ok(())
}

/// Returns the path and value of every setting that matches a path pattern; the value is `Null` where a setting is
/// missing.
fn resolve_path<'a>(value: &'a Value, path: &str) -> Vec<(String, &'a Value)> {
    let mut matches = vec![(String::new(), value)];
    for key in path.split('.') {
        matches = matches
            .into_iter()
            .flat_map(|(path, value)| children(&path, value, key))
            .collect();
    }
    matches
}

fn children<'a>(path: &str, value: &'a Value, key: &str) -> Vec<(String, &'a Value)> {
    if key != "*" {
        return vec![(child_path(path, key), &value[key])];
    }
    let items = value.as_array().into_iter().flatten().enumerate();
    items
        .map(|(index, item)| (child_path(path, &index.to_string()), item))
        .collect()
}
