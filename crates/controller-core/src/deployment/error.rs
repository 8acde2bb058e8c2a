//! Errors in a deployment's settings.

use wheelspread::time::Span;

/// A field of the settings with an invalid value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {kind}")]
pub struct ConfigError {
    /// Path of the field in the file, such as `operations.0.latency_objective`.
    pub field: String,
    /// Why the value is invalid.
    pub kind: ConfigErrorKind,
}

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigErrorKind {
    /// A name is empty, too long or has characters that are unsafe in file paths and logs.
    #[error("`{name}` should be 1 to 100 ASCII letters, digits, `-` or `_`")]
    InvalidName {
        /// The name in the file.
        name: String,
    },
    /// Two items of one list have the same name.
    #[error("`{name}` is named twice")]
    DuplicateName {
        /// The duplicate name.
        name: String,
    },
    /// A list has too few or too many items.
    #[error("{count} {items}: between {min} and {max} are allowed")]
    CountOutOfRange {
        /// The kind of items, in the plural.
        items: &'static str,
        /// Number of items.
        count: usize,
        /// Minimum number of items.
        min: usize,
        /// Maximum number of items.
        max: usize,
    },
    /// A list that may be empty has too many items.
    #[error("{count} {items}: at most {max} are allowed")]
    TooMany {
        /// The kind of items, in the plural.
        items: &'static str,
        /// Number of items.
        count: usize,
        /// Maximum number of items.
        max: usize,
    },
    /// A number, or a span in seconds, is too small, too large or NaN.
    #[error("{value} should lie between {min} and {max}")]
    OutOfRange {
        /// The value in the file.
        value: f64,
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// A number is not above 0, too large or NaN.
    #[error("{value} should be above 0 and at most {max:e}")]
    NotPositive {
        /// The value in the file.
        value: f64,
        /// Maximum value.
        max: f64,
    },
    /// A span is not above 0.
    #[error("the time span should be above 0")]
    SpanNotPositive {
        /// The value in the file.
        value: Span,
    },
    /// The timeout is shorter than the latency objective, so clients would time out before an answer is late.
    #[error("the timeout should not be below latency_objective")]
    BelowLatencyObjective {
        /// The timeout in the file.
        timeout: Span,
        /// The latency objective of the same operation.
        objective: Span,
    },
    /// A fingerprinted operation has no retry window. A fingerprint prevents a second effect only for a limited
    /// time, which has to be known.
    #[error("a fingerprinted operation needs a window above 0")]
    RetryWindowMissing {
        /// The value in the file.
        value: Span,
    },
    /// A load metric that nodes do not report.
    #[error("`{name}` is not a load metric that nodes report: {} are", .known.join(", "))]
    UnknownLoadMetric {
        /// The name in the file.
        name: String,
        /// The allowed names.
        known: &'static [&'static str],
    },
    /// No way of delivering tables is enabled.
    #[error("files and streams are both disabled, so no proxy gets a table; enable at least one")]
    NoTableDelivery,
    /// A kind has no capacity; the solver needs the capacity of every kind.
    #[error("kind `{kind}` has no capacity")]
    CapacityMissing {
        /// The kind without a capacity.
        kind: String,
    },
    /// An operation has no work; the solver needs the work of every operation.
    #[error("operation `{operation}` has no work per request")]
    WorkMissing {
        /// The operation without work.
        operation: String,
    },
    /// Another reason, found by the program that read the value.
    #[error("{0}")]
    Other(String),
}
