//! Load reports in answers: the header `endpoint-load-metrics` of the published ORCA form, as `TEXT` (pairs
//! of names and values) or `JSON`.

use std::collections::BTreeMap;

pub const HEADER: &str = "endpoint-load-metrics";
const MOST: usize = 32;

/// Writes figures as a `TEXT` report.
pub fn write(figures: &[(&str, f64)]) -> String {
    let pairs: Vec<String> = figures
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!("TEXT {}", pairs.join(","))
}

/// Figures by name; named metrics as `named_metrics.NAME`. What can't be read is left out.
pub fn read(header: &str) -> BTreeMap<String, f64> {
    let fine = |(_, value): &(String, f64)| value.is_finite() && *value >= 0.0;
    match header.split_once(' ') {
        Some(("TEXT", pairs)) => {
            let pair = |pair: &str| {
                let (name, value) = pair.split_once(['=', ':'])?;
                Some((name.trim().to_string(), value.trim().parse().ok()?))
            };
            pairs
                .split(',')
                .take(MOST)
                .filter_map(pair)
                .filter(fine)
                .collect()
        }
        Some(("JSON", text)) => {
            let Ok(serde_json::Value::Object(fields)) = serde_json::from_str(text) else {
                return BTreeMap::new();
            };
            let mut figures = BTreeMap::new();
            for (name, value) in fields.iter().take(MOST) {
                let inner = value.as_object().into_iter().flatten().take(MOST);
                let inner = inner.filter_map(|(key, value)| {
                    Some((format!("{}.{key}", snake(name)), value.as_f64()?))
                });
                figures.extend(inner.filter(fine));
                figures.extend(
                    value
                        .as_f64()
                        .map(|value| (snake(name), value))
                        .filter(fine),
                );
            }
            figures
        }
        _ => BTreeMap::new(),
    }
}

/// JSON names come in lowerCamelCase.
fn snake(name: &str) -> String {
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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case("TEXT cpu_utilization=0.5,named_metrics.queue=3", &[0.5, 3.0]; "text")]
    #[test_case("TEXT cpu_utilization: 0.5, named_metrics.queue: 3", &[0.5, 3.0]; "text with colons")]
    #[test_case(r#"JSON {"cpuUtilization": 0.5, "namedMetrics": {"queue": 3}}"#, &[0.5, 3.0]; "json")]
    #[test_case(r#"JSON {"cpu_utilization": 0.5, "named_metrics": {"queue": -3}}"#, &[0.5]; "a negative one is left out")]
    #[test_case("TEXT cpu_utilization=NaN,named_metrics.queue=", &[]; "no numbers")]
    #[test_case("BIN AAAA", &[]; "a form that is not read")]
    #[test_case("JSON {", &[]; "torn")]
    fn reports_are_read(header: &str, wanted: &[f64]) {
        let figures = read(header);
        let found: Vec<f64> = ["cpu_utilization", "named_metrics.queue"]
            .iter()
            .filter_map(|name| figures.get(*name).copied())
            .collect();
        assert_eq!(found, wanted, "{figures:?}");
    }

    #[test]
    fn what_is_written_is_read() {
        let header = write(&[("cpu_utilization", 0.25), ("named_metrics.queue", 7.0)]);
        assert_eq!(read(&header).into_values().collect::<Vec<_>>(), [0.25, 7.0]);
    }
}
