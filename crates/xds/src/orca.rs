//! Load metrics in the responses of a node: the header `endpoint-load-metrics` of the published ORCA format, as `TEXT`
//! (pairs of names and values) or `JSON`.

use std::collections::BTreeMap;

/// The name of the header.
pub const HEADER: &str = "endpoint-load-metrics";
/// The maximum number of metrics read from a header, and from each object nested in its JSON.
const MAX_METRICS: usize = 32;

/// Writes metrics as a `TEXT` header value.
pub fn write(metrics: &[(&str, f64)]) -> String {
    let pairs: Vec<String> = metrics
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("TEXT {}", pairs.join(","))
}

/// Reads metrics by name; named metrics get the name `named_metrics.NAME`. Values that are invalid, negative or not
/// finite are skipped.
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

/// Converts the lowerCamelCase names of JSON fields.
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
