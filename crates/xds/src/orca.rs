//! Load metrics in a node's responses: the header `endpoint-load-metrics` of the published ORCA form, as `TEXT` (pairs
//! of names and values) or `JSON`.

use std::collections::BTreeMap;

/// The name of the header.
pub const HEADER: &str = "endpoint-load-metrics";
/// Figures of a header that are read at most.
const MAX_METRICS: usize = 32;

/// Writes metrics as a `TEXT` report.
pub fn write(metrics: &[(&str, f64)]) -> String {
    let pairs: Vec<String> = metrics
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
                .take(MAX_METRICS)
                .filter_map(pair)
                .filter(is_valid)
                .collect()
        }
        Some(("JSON", text)) => {
            let Ok(serde_json::Value::Object(fields)) = serde_json::from_str(text) else {
                return BTreeMap::new();
            };
            let mut metrics = BTreeMap::new();
            for (name, value) in fields.iter().take(MAX_METRICS) {
                let inner = value.as_object().into_iter().flatten().take(MAX_METRICS);
                let inner = inner.filter_map(|(key, value)| {
                    Some((format!("{}.{key}", to_snake_case(name)), value.as_f64()?))
                });
                metrics.extend(inner.filter(is_valid));
                metrics.extend(
                    value
                        .as_f64()
                        .map(|value| (to_snake_case(name), value))
                        .filter(is_valid),
                );
            }
            metrics
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
