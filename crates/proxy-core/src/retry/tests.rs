use super::*;
use test_case::test_case;

const KEYED: RetrySafety = RetrySafety::Fingerprinted { window: Span::ZERO };

fn past(tries: u32, processing: Processing) -> AttemptHistory {
    let first = (processing == Processing::MaybeProcessed).then_some(Moment::from_seconds(1.0));
    AttemptHistory {
        tries,
        processing,
        first_maybe_processed_at: first,
    }
}

fn window(seconds: f64) -> RetrySafety {
    RetrySafety::Fingerprinted {
        window: Span::from_seconds(seconds),
    }
}

// The latest the next try could take effect is 4 s after the start, 3 s after the first try.
#[test_case(RetryPolicy::Never, RetrySafety::Idempotent, 1, Failure::Connect, false; "no order, no repeat")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Connect, true; "proven by the connect")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Refused, true; "proven by a refusal")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Unsent, true; "proven: nothing went out")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::SideEffecting, 1, Failure::Reset, false; "a reset proves nothing")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::Idempotent, 1, Failure::TimedOut, false; "ordered after proof only")]
#[test_case(RetryPolicy::IfUnprocessed, RetrySafety::Idempotent, 2, Failure::Connect, false; "once, not twice")]
#[test_case(RetryPolicy::OnceOnAnyFailure, RetrySafety::Idempotent, 1, Failure::TimedOut, true; "an idempotent one")]
#[test_case(RetryPolicy::OnceOnAnyFailure, RetrySafety::SideEffecting, 1, Failure::TimedOut, false; "whatever is ordered")]
#[test_case(RetryPolicy::OnceOnAnyFailure, window(5.0), 1, Failure::Errored, true; "within the window")]
#[test_case(RetryPolicy::OnceOnAnyFailure, window(2.9), 1, Failure::Errored, false; "could end after the window")]
#[test_case(RetryPolicy::OnceOnAnyFailure, KEYED, 1, Failure::Connect, true; "nothing has begun the window")]
#[test_case(RetryPolicy::TwiceOnAnyFailure, RetrySafety::Idempotent, 2, Failure::Garbled, true; "a third try")]
#[test_case(RetryPolicy::TwiceOnAnyFailure, RetrySafety::Idempotent, 3, Failure::Connect, false; "no fourth")]
fn repeats(
    order: RetryPolicy,
    retry_safety: RetrySafety,
    tries: u32,
    failure: Failure,
    wanted: bool,
) {
    let processing = failure.processing();
    let done_by = Moment::from_seconds(4.0);
    assert_eq!(
        is_retry_allowed(
            order,
            retry_safety,
            past(tries, processing),
            processing,
            done_by
        ),
        wanted
    );
}

#[test]
fn a_try_that_may_have_run_is_not_forgotten_over_a_later_one_that_did_not() {
    // The second try was refused, but the first may have run: a side-effecting one stays ended.
    let past = AttemptHistory {
        tries: 2,
        ..past(2, Processing::MaybeProcessed)
    };
    let order = RetryPolicy::TwiceOnAnyFailure;
    let done_by = Moment::from_seconds(4.0);
    assert!(!is_retry_allowed(
        order,
        RetrySafety::SideEffecting,
        past,
        Processing::NotProcessed,
        done_by
    ));
}

#[test]
fn a_budget_lets_a_part_through() {
    let mut budget = RetryBudget::new(0.2, 3.0);
    let at_once = (0..10).filter(|_| budget.take()).count();
    let mut later = 0;
    for _ in 0..1000 {
        budget.first_try();
        later += usize::from(budget.take());
    }
    assert_eq!(
        (at_once, (198..=201).contains(&later)),
        (3, true),
        "{later}"
    );
}
