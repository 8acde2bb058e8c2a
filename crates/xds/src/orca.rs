//! Load metrics in a node's responses: the header `endpoint-load-metrics` of the published ORCA form, as `TEXT` (pairs
//! of names and values) or `JSON`.

use std::collections::BTreeMap;

/// The name of the header.
pub const HEADER: &str = "endpoint-load-metrics";
/// Figures of a header that are read at most.
const MAX_FIGURES: usize = 32;

/// Writes figures as a `TEXT` report.
pub fn write(figures: &[(&str, f64)]) -> String {
    let pairs: Vec<String> = figures
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("TEXT {}", pairs.join(","))
}

/// Figures by name; named metrics as `named_metrics.NAME`. What can't be read is skipped.
pub fn read(header: &str) -> BTreeMap<String, f64> {
    let is_valid = |(_, value): &(String, f64)| value.is_finite() && *value >= 0.0;
    match header.split_once(' ') {
        Some(("TEXT", pairs)) => {
            let pair = |pair: &str| {
                let (name, value) = pair.split_once(['=', ':'])?;
                Some((name.trim().to_string(), value.trim().parse().ok()?))
            };
            pairs
                .split(',')
                .take(MAX_FIGURES)
                .filter_map(pair)
                .filter(is_valid)
                .collect()
        }
        Some(("JSON", text)) => {
            let Ok(serde_json::Value::Object(fields)) = serde_json::from_str(text) else {
                return BTreeMap::new();
            };
            let mut figures = BTreeMap::new();
            for (name, value) in fields.iter().take(MAX_FIGURES) {
                let inner = value.as_object().into_iter().flatten().take(MAX_FIGURES);
                let inner = inner.filter_map(|(key, value)| {
                    Some((format!("{}.{key}", to_snake_case(name)), value.as_f64()?))
                });
                figures.extend(inner.filter(is_valid));
                figures.extend(
                    value
                        .as_f64()
                        .map(|value| (to_snake_case(name), value))
                        .filter(is_valid),
                );
            }
            figures
        }
        _ => BTreeMap::new(),
    }
}

/// JSON names come in lowerCamelCase.
fn to_snake_case(name: &str) -> String {
    let mut out = String::with_capacity(name.len() + 2);
    for c in name.chars() {
        if c.is_ascii_uppercase() {
            out.push('_');
        }
        out.push(c.to_ascii_lowercase());
    }
    out
}

#[cfg(test)]
mod tests;
