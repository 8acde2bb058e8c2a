//! Conversion of retry policies to and from Envoy's retry conditions.

use wheelspread::RetryPolicy;

/// The encoded form of a retry policy.
pub(super) struct RetryConditions {
    /// `retry_on`.
    pub(super) retry_on: &'static str,
    /// `num_retries`.
    pub(super) max_retries: u32,
    /// Whether attempts have a timeout of their own (`per_try_timeout`).
    pub(super) has_attempt_timeout: bool,
}

const UNPROCESSED: &str = "connect-failure,refused-stream,reset-before-request";
const ANY_FAILURE: &str = "5xx,reset,connect-failure,refused-stream,retriable-4xx";
/// The conditions under which an attempt is retried although the node may have processed it.
const MAYBE_PROCESSED: [&str; 4] = ["5xx", "gateway-error", "reset", "retriable-status-codes"];

/// The conditions of a policy; `None` for a route without retries.
pub(super) fn conditions(policy: RetryPolicy) -> Option<RetryConditions> {
    match policy {
        RetryPolicy::Never => None,
        RetryPolicy::IfUnprocessed => Some(RetryConditions {
            retry_on: UNPROCESSED,
            max_retries: 1,
            has_attempt_timeout: false,
        }),
        RetryPolicy::OnceOnAnyFailure => Some(RetryConditions {
            retry_on: ANY_FAILURE,
            max_retries: 1,
            has_attempt_timeout: true,
        }),
        RetryPolicy::TwiceOnAnyFailure => Some(RetryConditions {
            retry_on: ANY_FAILURE,
            max_retries: 2,
            has_attempt_timeout: true,
        }),
    }
}

/// The policy closest to the given conditions, which may have been written by another control plane.
pub(super) fn policy(retry_on: &str, max_retries: u32) -> RetryPolicy {
    let conditions: Vec<&str> = retry_on.split(',').map(str::trim).collect();
    if max_retries == 0 || conditions.iter().all(|condition| condition.is_empty()) {
        return RetryPolicy::Never;
    }
    let any_failure = MAYBE_PROCESSED
        .iter()
        .any(|condition| conditions.contains(condition));
    match (any_failure, max_retries) {
        (false, _) => RetryPolicy::IfUnprocessed,
        (true, 1) => RetryPolicy::OnceOnAnyFailure,
        (true, _) => RetryPolicy::TwiceOnAnyFailure,
    }
}
