//! Whether settings can be used, told by the names that they came with.

use serde_json::Value;

/// A setting that can't be used, by its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{field}` {why}")]
pub struct Wrong {
    pub field: String,
    pub why: String,
}

/// What a setting has to be where it is there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    /// A number from the first to the second; the first itself only where `true`.
    Number(f64, bool, f64),
    Flag,
    Text,
    /// So many items, from the first to the second.
    List(usize, usize),
}

/// Settings without which nothing can be decided, and others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Need {
    Needed,
    Optional,
}

use Form::*;
use Need::*;

const ANY: Form = Number(0.0, true, f64::MAX);
const SOME: Form = Number(0.0, false, f64::MAX);

/// `*` stands for each item of a list. Numbers of zones, kinds, classes and proxies are bounded by what ids hold.
const FORMS: &[(&str, Form, Need)] = &[
    ("zones", List(1, 250), Needed),
    ("zones.*", Text, Needed),
    ("kinds", List(1, 255), Needed),
    ("kinds.*", Text, Needed),
    ("classes", List(1, 16), Needed),
    ("classes.*.name", Text, Needed),
    ("classes.*.aim", SOME, Needed),
    ("classes.*.deadline", SOME, Needed),
    ("classes.*.idempotency", Text, Needed),
    ("classes.*.group", Text, Optional),
    ("classes.*.key_ttl", ANY, Optional),
    ("classes.*.worth", ANY, Optional),
    ("classes.*.late_value", ANY, Optional),
    ("peers_total", SOME, Needed),
    ("tick", ANY, Optional),
    ("feedback.fields", List(0, 16), Optional),
    ("feedback.fields.*", Text, Needed),
    ("extra.proxy_count", Number(0.0, false, 65535.0), Needed),
    ("extra.period", SOME, Needed),
    ("extra.backlog", ANY, Needed),
    ("extra.head", ANY, Needed),
    ("extra.push_delay_max", ANY, Needed),
    ("extra.push_rate", ANY, Optional),
    ("extra.pushes_allowed", ANY, Optional),
    ("extra.update_window", ANY, Optional),
    ("extra.fails_to_eject", ANY, Optional),
    ("extra.homed_by_zone", Flag, Optional),
    ("extra.stays_local.*", Flag, Optional),
    ("extra.admit", Text, Optional),
    ("limits.conn_idle", ANY, Optional),
    ("limits.peer_messages", Flag, Optional),
    ("prices.cross_zone", ANY, Optional),
    ("rules.overload_factor", SOME, Needed),
    ("rules.start_capacity", ANY, Needed),
    ("rules.warm_after", ANY, Needed),
];

impl Form {
    fn wrong(self, value: &Value) -> Option<String> {
        let (fits, what) = match self {
            Number(least, itself, most) => {
                let number = value.as_f64().filter(|number| number.is_finite());
                let fits = |number: f64| number > least || (itself && number == least);
                let what = match (itself, most == f64::MAX) {
                    (true, true) => format!("a number of at least {least}"),
                    (false, true) => format!("a number above {least}"),
                    _ => format!("a number above {least}, {most} at most"),
                };
                (
                    number.is_some_and(|number| fits(number) && number <= most),
                    what,
                )
            }
            Flag => (value.is_boolean(), "true or false".to_string()),
            Text => (
                value.as_str().is_some_and(|text| !text.is_empty()),
                "a text".to_string(),
            ),
            List(least, most) => {
                let count = value.as_array().map(Vec::len);
                let what = format!("a list of {least} to {most}");
                (
                    count.is_some_and(|count| (least..=most).contains(&count)),
                    what,
                )
            }
        };
        let shown: String = value.to_string().chars().take(40).collect();
        (!fits).then(|| format!("should be {what}, it is {shown}"))
    }
}

/// All places that a path names, with what stands there; `Null` where nothing does.
fn places<'a>(value: &'a Value, path: &str) -> Vec<(String, &'a Value)> {
    let mut places = vec![(String::new(), value)];
    for word in path.split('.') {
        let inner = |(at, value): (String, &'a Value)| -> Vec<(String, &'a Value)> {
            let name = |key: &str| {
                if at.is_empty() {
                    key.to_string()
                } else {
                    format!("{at}.{key}")
                }
            };
            match word {
                "*" => {
                    let items = value.as_array().into_iter().flatten().enumerate();
                    items
                        .map(|(key, item)| (name(&key.to_string()), item))
                        .collect()
                }
                word => vec![(name(word), &value[word])],
            }
        };
        places = places.into_iter().flat_map(inner).collect();
    }
    places
}

/// Names by which messages tell things apart: the same twice would be taken for the first.
const UNLIKE: &[&str] = &["zones.*", "kinds.*", "classes.*.name"];

/// The first setting that can't be used.
pub fn check(settings: &Value) -> Result<(), Wrong> {
    for (path, form, need) in FORMS {
        for (field, value) in places(settings, path) {
            let why = match (value, need) {
                (Value::Null, Optional) => None,
                (Value::Null, Needed) => Some("is missing".to_string()),
                _ => form.wrong(value),
            };
            if let Some(why) = why {
                return Err(Wrong { field, why });
            }
        }
    }
    for path in UNLIKE {
        let named = places(settings, path);
        for (at, (field, value)) in named.iter().enumerate() {
            if let Some((first, _)) = named[..at].iter().find(|(_, other)| other == value) {
                return Err(Wrong {
                    field: field.clone(),
                    why: format!("is {value}, as `{first}` is"),
                });
            }
        }
    }
    Ok(())
}
