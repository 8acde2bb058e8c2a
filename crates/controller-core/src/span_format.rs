//! The text format of time spans in settings: a number and a unit, such as `250ms`, `1.2s` or `2m`. Use it as a serde
//! module: `#[serde(with = "span_format")]`.

use serde::{de::Error, Deserialize, Deserializer, Serializer};
use wheelspread::time::Span;

const MAX_SPAN_SECONDS: f64 = 30.0 * 86_400.0;
const MICROS_PER_SECOND: i64 = 1_000_000;
const MICROS_PER_MILLISECOND: i64 = 1000;

struct Unit {
    suffix: &'static str,
    seconds: f64,
}

const UNITS: &[Unit] = &[
    Unit {
        suffix: "us",
        seconds: 1e-6,
    },
    Unit {
        suffix: "ms",
        seconds: 1e-3,
    },
    Unit {
        suffix: "s",
        seconds: 1.0,
    },
    Unit {
        suffix: "m",
        seconds: 60.0,
    },
    Unit {
        suffix: "h",
        seconds: 3600.0,
    },
];

/// Why a text is not a valid span.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpanFormatError {
    /// The text is not a number followed by a unit.
    #[error("`{text}` is not a time span: expected a number and one of us, ms, s, m, h")]
    Malformed {
        /// The text.
        text: String,
    },
    /// The number is negative or not finite, or the span exceeds the maximum.
    #[error("`{text}` should lie between 0 and 30 days")]
    OutOfRange {
        /// The text.
        text: String,
    },
}

/// Parses a span: a number and its unit.
pub fn read(text: &str) -> Result<Span, SpanFormatError> {
    let malformed = || SpanFormatError::Malformed {
        text: text.to_string(),
    };
    let split = text
        .find(|c: char| c.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let (number, suffix) = (text[..split].trim(), text[split..].trim());
    let unit = UNITS.iter().find(|unit| unit.suffix == suffix);
    let unit = unit.ok_or_else(malformed)?;
    let number: f64 = number.parse().map_err(|_| malformed())?;
    let seconds = number * unit.seconds;
    if !number.is_finite() || number < 0.0 || seconds > MAX_SPAN_SECONDS {
        return Err(SpanFormatError::OutOfRange {
            text: text.to_string(),
        });
    }
    Ok(Span::from_seconds(seconds))
}

/// Formats a span in the largest of the units s, ms and us in which it is a whole number.
pub fn write(span: Span) -> String {
    match span.micros() {
        us if us % MICROS_PER_SECOND == 0 => format!("{}s", us / MICROS_PER_SECOND),
        us if us % MICROS_PER_MILLISECOND == 0 => format!("{}ms", us / MICROS_PER_MILLISECOND),
        us => format!("{us}us"),
    }
}

/// Deserializes a span from its text, for serde.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
    read(&String::deserialize(from)?).map_err(D::Error::custom)
}

/// Serializes a span as text, for serde.
pub fn serialize<S: Serializer>(span: &Span, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&write(*span))
}

#[cfg(test)]
mod tests;
