//! Decides whether a failed attempt is retried. A retry needs the consent of three inputs: the retry policy of the
//! table, the retry safety of the operation, and what is known about the attempts made so far.

use wheelspread::time::{Moment, Span};
use wheelspread::RetryPolicy;

/// Whether a node can have processed a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Processing {
    /// The node has not processed it: the node or the state of the connection proves that.
    NotProcessed,
    /// The node may have processed it: nothing proves the opposite.
    MaybeProcessed,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be established.
    Connect,
    /// A reused connection closed before any byte of the request was written to it.
    Unsent,
    /// The connection closed after part of the request was written, before the response was complete.
    Reset,
    /// The node is overloaded and states that it did not start on the request (503 with `Retry-After`, or 429).
    Refused,
    /// The node responded with an error status.
    Errored,
    /// The bytes received are not a valid HTTP response.
    Garbled,
    /// No response arrived before the deadline.
    TimedOut,
}

impl Failure {
    /// Whether the failure proves that the attempt was not processed. This is the only place that decides it.
    ///
    /// Without a connection, or with one that the node closed before the first byte was written, the node received
    /// nothing. A refusal states that processing did not start. A reset after bytes were written proves nothing:
    /// the node may have read them and started processing before it failed. That includes a pooled connection that
    /// the node closed just as the request was written to it.
    pub fn processing(self) -> Processing {
        match self {
            Failure::Connect | Failure::Unsent | Failure::Refused => Processing::NotProcessed,
            Failure::Reset | Failure::Errored | Failure::Garbled | Failure::TimedOut => {
                Processing::MaybeProcessed
            }
        }
    }
}

/// Whether a request of the operation takes effect twice when it is processed twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// Processing a request twice has the same effect as processing it once.
    Idempotent,
    /// Nodes remember the key of a request and discard duplicates.
    Fingerprinted {
        /// How long nodes remember a key, counted from the first attempt that may have been processed.
        window: Span,
    },
    /// Processing a request twice takes effect twice.
    SideEffecting,
}

/// What is known about a request's attempts when one of them has failed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// Number of attempts made so far, including the failed one.
    pub attempts: u32,
    /// [`Processing::MaybeProcessed`] if any attempt so far may have been processed.
    pub processing: Processing,
    /// When the first attempt that may have been processed was sent; `None` if there is none.
    pub first_maybe_processed_at: Option<Moment>,
}

/// Maximum number of retries that a policy allows, depending on whether the last attempt may have been processed.
fn max_retries(policy: RetryPolicy, last_processing: Processing) -> u32 {
    match (policy, last_processing) {
        (RetryPolicy::Never, _) => 0,
        (RetryPolicy::IfUnprocessed, Processing::NotProcessed) => 1,
        (RetryPolicy::IfUnprocessed, Processing::MaybeProcessed) => 0,
        (RetryPolicy::OnceOnAnyFailure, _) => 1,
        (RetryPolicy::TwiceOnAnyFailure, _) => 2,
    }
}

/// Whether one more attempt is allowed. `last_processing` tells whether the attempt that just failed may have been
/// processed. `latest_effect_at` is the latest moment at which the next attempt could take effect.
pub fn is_retry_allowed(
    policy: RetryPolicy,
    safety: RetrySafety,
    history: AttemptHistory,
    last_processing: Processing,
    latest_effect_at: Moment,
) -> bool {
    history.attempts <= max_retries(policy, last_processing)
        && is_retry_safe(safety, history, latest_effect_at)
}

fn is_retry_safe(safety: RetrySafety, history: AttemptHistory, latest_effect_at: Moment) -> bool {
    match (safety, history.first_maybe_processed_at) {
        (RetrySafety::Idempotent, _) => true,
        (RetrySafety::SideEffecting, _) => history.processing == Processing::NotProcessed,
        (RetrySafety::Fingerprinted { .. }, None) => true,
        (RetrySafety::Fingerprinted { window }, Some(first)) => latest_effect_at - first < window,
    }
}

/// Whether the request may be retried after any kind of failure of the given attempt. Such an attempt gets the
/// shorter per-attempt time-out.
pub fn is_retryable_after_any_failure(
    policy: RetryPolicy,
    safety: RetrySafety,
    attempts: u32,
) -> bool {
    attempts <= max_retries(policy, Processing::MaybeProcessed)
        && safety != RetrySafety::SideEffecting
}

/// Limits of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Number of retries allowed per first attempt.
    pub ratio: f64,
    /// Maximum number of unused retries that the budget holds. A proxy starts with this many.
    pub burst: f64,
}

/// Limits retries to a ratio of first attempts, to prevent retry storms. Each first attempt adds
/// [`RetryBudgetConfig::ratio`] to the budget, up to the burst size; each retry takes 1.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    available: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget {
            config,
            available: config.burst,
        }
    }

    /// Adds the share of a first attempt that is sent.
    pub fn on_first_attempt(&mut self) {
        self.available = (self.available + self.config.ratio).min(self.config.burst);
    }

    /// Takes one retry from the budget. Returns `false` if less than one is left.
    pub fn try_take(&mut self) -> bool {
        let is_allowed = self.available >= 1.0;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
