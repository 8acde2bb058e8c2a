//! Spans as people write them in settings: a number and its unit (`250ms`, `1.2s`, `2m`).

use serde::{de::Error, Deserialize, Deserializer, Serializer};
use wheelspread::time::Span;

const UNITS: &[(&str, f64)] = &[
    ("us", 1e-6),
    ("ms", 1e-3),
    ("s", 1.0),
    ("m", 60.0),
    ("h", 3600.0),
];

/// What a span says, or why it says nothing.
pub fn read(text: &str) -> Result<Span, String> {
    let split = text
        .find(|c: char| c.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let (number, unit) = (text[..split].trim(), text[split..].trim());
    let wanted = || format!("`{text}` is no span of time: a number and one of us, ms, s, m, h is");
    let factor = UNITS
        .iter()
        .find(|known| known.0 == unit)
        .ok_or_else(wanted)?
        .1;
    let number: f64 = number.parse().map_err(|_| wanted())?;
    if !number.is_finite() || number < 0.0 || number * factor > 30.0 * 86400.0 {
        return Err(format!("`{text}` should lie between 0 and 30 days"));
    }
    Ok(Span::from_seconds(number * factor))
}

pub fn write(span: Span) -> String {
    match span.micros() {
        us if us % 1_000_000 == 0 => format!("{}s", us / 1_000_000),
        us if us % 1000 == 0 => format!("{}ms", us / 1000),
        us => format!("{us}us"),
    }
}

pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    read(&String::deserialize(from)?).map_err(D::Error::custom)
}

pub fn serialize<S: Serializer>(span: &Span, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&write(*span))
}
