use super::*;
use test_case::test_case;

const KEYED: RetrySafety = RetrySafety::Fingerprinted { window: Span::ZERO };

fn history(attempts: u32, processing: Processing) -> AttemptHistory {
    let first = (processing == Processing::MaybeProcessed).then_some(Moment::from_seconds(1.0));
    AttemptHistory {
        attempts,
        processing,
        first_maybe_processed_at: first,
    }
}

fn window(seconds: f64) -> RetrySafety {
    RetrySafety::Fingerprinted {
        window: Span::from_seconds(seconds),
    }
}

// The latest the next attempt could take effect is 4 s after the start, 3 s after the first attempt.
#[test_case(RetryPolicy::Never, RetrySafety::Idempotent, 1, Failure::Connect, false; "never")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Connect, true; "proven by the connect")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Refused, true; "proven by a refusal")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Unsent, true; "proven: nothing went out")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Reset, false; "a reset proves nothing")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::Idempotent, 1, Failure::TimedOut, false; "policy asks for proof")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::Idempotent, 2, Failure::Connect, false; "once, not twice")]
#[test_case(RetryPolicy::OnceOnAnyFailure, RetrySafety::Idempotent, 1, Failure::TimedOut, true; "idempotent")]
#[test_case(RetryPolicy::OnceOnAnyFailure, RetrySafety::SideEffecting, 1, Failure::TimedOut, false; "side effects, whatever the policy")]
#[test_case(RetryPolicy::OnceOnAnyFailure, window(5.0), 1, Failure::Errored, true; "within the window")]
#[test_case(RetryPolicy::OnceOnAnyFailure, window(2.9), 1, Failure::Errored, false; "could end after the window")]
#[test_case(RetryPolicy::OnceOnAnyFailure, KEYED, 1, Failure::Connect, true; "nothing has begun the window")]
#[test_case(RetryPolicy::TwiceOnAnyFailure, RetrySafety::Idempotent, 2, Failure::Garbled, true; "a third attempt")]
#[test_case(RetryPolicy::TwiceOnAnyFailure, RetrySafety::Idempotent, 3, Failure::Connect, false; "no fourth")]
fn a_retry_needs_policy_safety_and_proof(
    policy: RetryPolicy,
    safety: RetrySafety,
    attempts: u32,
    failure: Failure,
    expected: bool,
) {
    let processing = failure.processing();
    let done_by = Moment::from_seconds(4.0);
    assert_eq!(
        is_retry_allowed(
            policy,
            safety,
            history(attempts, processing),
            processing,
            done_by
        ),
        expected
    );
}

#[test]
fn an_attempt_that_may_have_been_processed_counts_after_a_later_one_that_was_not() {
    // The second attempt was refused, but the first may have been processed: a side-effecting request is over.
    let history = AttemptHistory {
        attempts: 2,
        ..history(2, Processing::MaybeProcessed)
    };
    let policy = RetryPolicy::TwiceOnAnyFailure;
    let done_by = Moment::from_seconds(4.0);
    assert!(!is_retry_allowed(
        policy,
        RetrySafety::SideEffecting,
        history,
        Processing::NotProcessed,
        done_by
    ));
}

#[test]
fn the_budget_bounds_retries_as_a_part_of_first_attempts() {
    let mut budget = RetryBudget::new(RetryBudgetConfig {
        ratio: 0.2,
        burst: 3.0,
    });
    let at_once = (0..10).filter(|_| budget.try_take()).count();
    let mut later = 0;
    for _ in 0..1000 {
        budget.on_first_attempt();
        later += usize::from(budget.try_take());
    }
    assert_eq!(
        (at_once, (198..=201).contains(&later)),
        (3, true),
        "{later}"
    );
}
