//! Whether a failed attempt is followed by another. Three things must agree: the retry policy of the table, the
//! retry safety of the operation, and what is known of the attempts made so far.

use wheelspread::time::{Moment, Span};
use wheelspread::RetryPolicy;

/// Whether a node can have processed a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Processing {
    /// It has not, by what the node or the connection said.
    NotProcessed,
    /// Nothing proves that it has not.
    MaybeProcessed,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about.
    Connect,
    /// The connection ended before anything of the request was written on it.
    Unsent,
    /// The connection ended after some of it was written and before a response.
    Reset,
    /// The node said that it takes no more and has begun nothing (503 with `Retry-After`, or 429).
    Refused,
    /// The node responded with an error.
    Errored,
    /// What came is no response.
    Garbled,
    /// No response came in time.
    TimedOut,
}

impl Failure {
    /// The one place where it is decided what proves that an attempt was not processed.
    ///
    /// Without a connection nothing was sent. A connection that the node closed before the first byte went out
    /// brought nothing either. A refusal says so itself. A reset after bytes were written proves nothing: the
    /// node may have read them and begun before it died, also when a pooled connection was closed just as the
    /// request was written on it.
    pub fn processing(self) -> Processing {
        match self {
            Failure::Connect | Failure::Unsent | Failure::Refused => Processing::NotProcessed,
            Failure::Reset | Failure::Errored | Failure::Garbled | Failure::TimedOut => {
                Processing::MaybeProcessed
            }
        }
    }
}

/// Whether a retry of an operation can take effect twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// Processed twice is as good as once.
    Idempotent,
    /// Nodes remember the key of a request and drop retries.
    Fingerprinted {
        /// How long they remember it, from the first attempt that may have been processed.
        window: Span,
    },
    /// Processed twice takes effect twice.
    SideEffecting,
}

/// What is known of a request when one of its attempts has failed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// Of all attempts so far: one that may have been processed decides.
    pub processing: Processing,
    /// When the first attempt that may have been processed was sent.
    pub first_maybe_processed_at: Option<Moment>,
}

/// Attempts after the first that a policy allows, by what is known of the last one.
fn max_retries(policy: RetryPolicy, last: Processing) -> u32 {
    match (policy, last) {
        (RetryPolicy::Never, _) => 0,
        (RetryPolicy::IfUnprocessed, Processing::NotProcessed) => 1,
        (RetryPolicy::IfUnprocessed, Processing::MaybeProcessed) => 0,
        (RetryPolicy::OnceOnAnyFailure, _) => 1,
        (RetryPolicy::TwiceOnAnyFailure, _) => 2,
    }
}

/// Whether one more attempt is allowed. `last` is what is known of the attempt that just failed, `done_by` the
/// latest moment at which the next one could still take effect.
pub fn is_retry_allowed(
    policy: RetryPolicy,
    safety: RetrySafety,
    history: AttemptHistory,
    last: Processing,
    done_by: Moment,
) -> bool {
    history.attempts <= max_retries(policy, last) && is_retry_safe(safety, history, done_by)
}

fn is_retry_safe(safety: RetrySafety, history: AttemptHistory, done_by: Moment) -> bool {
    match (safety, history.first_maybe_processed_at) {
        (RetrySafety::Idempotent, _) => true,
        (RetrySafety::SideEffecting, _) => history.processing == Processing::NotProcessed,
        (RetrySafety::Fingerprinted { .. }, None) => true,
        (RetrySafety::Fingerprinted { window }, Some(first)) => done_by - first < window,
    }
}

/// Whether an attempt may be followed by another after any failure. Such an attempt is given up early.
pub fn is_retryable_after_any_failure(
    policy: RetryPolicy,
    safety: RetrySafety,
    attempts: u32,
) -> bool {
    attempts <= max_retries(policy, Processing::MaybeProcessed)
        && safety != RetrySafety::SideEffecting
}

/// How many retries there may be.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetConfig {
    /// Retries as a part of first attempts.
    pub ratio: f64,
    /// Retries that may come at once, also of a proxy that has just started.
    pub burst: f64,
}

/// Bounds retries as a part of first attempts, so that they can't add up to a storm: each first attempt adds a
/// part of a retry, each retry takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    available: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryBudgetConfig) -> RetryBudget {
        RetryBudget {
            config,
            available: config.burst,
        }
    }

    /// A first attempt is sent.
    pub fn on_first_attempt(&mut self) {
        self.available = (self.available + self.config.ratio).min(self.config.burst);
    }

    /// Takes one retry; `false` if there is none left.
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
