//! What a deployment's settings get wrong.

use wheelspread::time::Span;

/// A field whose value can't be, and why.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {kind}")]
pub struct ConfigError {
    /// Path of the field, as in the file: `operations.0.latency_objective`.
    pub field: String,
    /// What is wrong with its value.
    pub kind: ConfigErrorKind,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigErrorKind {
    /// Names go into paths of files and into logs.
    #[error("`{name}` should be of letters, digits, - and _")]
    InvalidName {
        /// The name as it stands in the file.
        name: String,
    },
    /// Two items of one list have the same name.
    #[error("`{name}` is named twice")]
    DuplicateName {
        /// The name of both.
        name: String,
    },
    /// A list has too few or too many items.
    #[error("{count} {items}: between {least} and {most} are possible")]
    CountOutOfRange {
        /// What the list has.
        items: &'static str,
        /// How many it has.
        count: usize,
        /// Least number of items.
        least: usize,
        /// Largest number of items.
        most: usize,
    },
    /// A list that may be empty has too many items.
    #[error("{count} {items}: {most} at most are possible")]
    TooMany {
        /// What the list has.
        items: &'static str,
        /// How many it has.
        count: usize,
        /// Largest number of items.
        most: usize,
    },
    /// A number, or a span in seconds, is too small, too large or no number.
    #[error("{value} should lie between {least} and {most}")]
    OutOfRange {
        /// The value as it stands in the file.
        value: f64,
        /// Smallest possible value.
        least: f64,
        /// Largest possible value.
        most: f64,
    },
    /// A number is not above 0, too large or no number.
    #[error("{value} should be above 0, {most:e} at most")]
    NotPositive {
        /// The value as it stands in the file.
        value: f64,
        /// Largest possible value.
        most: f64,
    },
    /// A span is not above 0.
    #[error("should be above 0")]
    SpanNotPositive {
        /// The value as it stands in the file.
        value: Span,
    },
    /// Clients would give up before an answer is late.
    #[error("should not lie below latency_objective")]
    BelowLatencyObjective {
        /// The timeout as it stands in the file.
        timeout: Span,
        /// The latency objective of the same operation.
        objective: Span,
    },
    /// A fingerprint guards against a second effect for a limited time, which has to be known.
    #[error("a fingerprinted operation needs one above 0")]
    RetryWindowMissing {
        /// The value as it stands in the file.
        value: Span,
    },
    /// A load metric that nodes do not report.
    #[error("`{name}` is no load that nodes tell of: {} are", .known.join(", "))]
    UnknownLoadMetric {
        /// The name as it stands in the file.
        name: String,
        /// The names that are possible.
        known: &'static [&'static str],
    },
    /// Neither of the ways to deliver tables is turned on.
    #[error("with neither files nor streams nobody gets a table")]
    NoTableDelivery,
    /// The solver needs the capacity of every kind.
    #[error("kind `{kind}` has none")]
    CapacityMissing {
        /// The kind without one.
        kind: String,
    },
    /// The solver needs the work of every operation.
    #[error("operation `{operation}` has none")]
    WorkMissing {
        /// The operation without it.
        operation: String,
    },
    /// A reason that the program which read the value found.
    #[error("{0}")]
    Other(String),
}
