use super::*;
use test_case::test_case;

const ZERO_WINDOW: RetrySafety = RetrySafety::Fingerprinted { window: Span::ZERO };

fn history(attempts: u32, processing: Processing) -> AttemptHistory {
    let first_at = (processing == Processing::MaybeProcessed).then_some(Moment::from_seconds(1.0));
    AttemptHistory {
        attempts,
        processing,
        first_maybe_processed_at: first_at,
    }
}

fn window(seconds: f64) -> RetrySafety {
    RetrySafety::Fingerprinted {
        window: Span::from_seconds(seconds),
    }
}

// The first attempt is sent at 1 s; the next one can take effect until 4 s, so 3 s after the first.
#[test_case(RetryPolicy::Never, RetrySafety::Idempotent, 1, Failure::Connect, false; "policy allows no retry")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Connect, true; "failed connect proves it unprocessed")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Refused, true; "refusal proves it unprocessed")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Unsent, true; "nothing sent proves it unprocessed")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Reset, false; "reset proves nothing")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::Idempotent, 1, Failure::TimedOut, false; "policy requires proof")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::Idempotent, 2, Failure::Connect, false; "one retry already made")]
#[test_case(RetryPolicy::OnceOnAnyFailure, RetrySafety::Idempotent, 1, Failure::TimedOut, true; "idempotent operation")]
#[test_case(RetryPolicy::OnceOnAnyFailure, RetrySafety::SideEffecting, 1, Failure::TimedOut, false; "side effects override the policy")]
#[test_case(RetryPolicy::OnceOnAnyFailure, window(5.0), 1, Failure::Errored, true; "within the fingerprint window")]
#[test_case(RetryPolicy::OnceOnAnyFailure, window(2.9), 1, Failure::Errored, false; "could take effect after the fingerprint window")]
#[test_case(RetryPolicy::OnceOnAnyFailure, ZERO_WINDOW, 1, Failure::Connect, true; "unprocessed attempt does not start the window")]
#[test_case(RetryPolicy::TwiceOnAnyFailure, RetrySafety::Idempotent, 2, Failure::Garbled, true; "second retry")]
#[test_case(RetryPolicy::TwiceOnAnyFailure, RetrySafety::Idempotent, 3, Failure::Connect, false; "no third retry")]
fn a_retry_needs_policy_retry_safety_and_proof(
    policy: RetryPolicy,
    safety: RetrySafety,
    attempts: u32,
    failure: Failure,
    expected: bool,
) {
    let processing = failure.processing();
    let latest_effect_at = Moment::from_seconds(4.0);
    assert_eq!(
        is_retry_allowed(
            policy,
            safety,
            history(attempts, processing),
            processing,
            latest_effect_at
        ),
        expected
    );
}

#[test]
fn an_earlier_attempt_that_may_have_been_processed_prevents_a_retry() {
    // The node refused the second attempt, but the first may have been processed, so a side-effecting request must
    // not be retried.
    let history = AttemptHistory {
        attempts: 2,
        ..history(2, Processing::MaybeProcessed)
    };
    let policy = RetryPolicy::TwiceOnAnyFailure;
    let latest_effect_at = Moment::from_seconds(4.0);
    assert!(!is_retry_allowed(
        policy,
        RetrySafety::SideEffecting,
        history,
        Processing::NotProcessed,
        latest_effect_at
    ));
}

#[test]
fn the_budget_limits_retries_to_a_ratio_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryBudgetConfig {
        ratio: 0.2,
        burst: 3.0,
    });
    let initial_retries = (0..10).filter(|_| budget.try_take()).count();
    let mut sustained_retries = 0;
    for _ in 0..1000 {
        budget.on_first_attempt();
        sustained_retries += usize::from(budget.try_take());
    }
    assert_eq!(
        (initial_retries, (198..=201).contains(&sustained_retries)),
        (3, true),
        "{sustained_retries} retries for 1000 first attempts"
    );
}
