//! Whether a try that failed is made again. Three things must agree: what the tables order, what the
//! operation can bear, and what is known of the try.

use wheelspread::time::{Moment, Span};
use wheelspread::RetryPolicy;

/// What is known of a try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Its invocation was never begun, by what the node or the connection said.
    NeverRan,
    MayHaveRun,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about.
    Connect,
    /// The connection ended before anything of the invocation was written on it.
    Unsent,
    /// The connection ended after some of it was written and before an answer.
    Reset,
    /// The node said that it takes no more and has begun nothing (503 with `Retry-After`, or 429).
    Refused,
    /// The node answered with an error.
    Errored,
    /// What came is no answer.
    Garbled,
    TimedOut,
}

impl Failure {
    /// The one place where it is decided what proves that a try never ran.
    ///
    /// Without a connection nothing was sent. A connection that was closed under us before the first byte
    /// went out brought nothing either. A refusal says so itself. A reset after bytes were written proves
    /// nothing: the node may have read them and begun before it died, also when a pooled connection was
    /// closed just as the invocation was written on it.
    pub fn proof(self) -> Proof {
        match self {
            Failure::Connect | Failure::Unsent | Failure::Refused => Proof::NeverRan,
            Failure::Reset | Failure::Errored | Failure::Garbled | Failure::TimedOut => {
                Proof::MayHaveRun
            }
        }
    }
}

/// What an operation can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Guard {
    Idempotent,
    /// Repeats are dropped within this span after the first try that may have run.
    Fingerprinted {
        window: Span,
    },
    SideEffecting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bears {
    AnyRepeat,
    /// Within the window, which is over or not.
    InWindow,
    PastWindow,
    OnlyProven,
}

/// Tries more than the first that an order allows, by what is known of the last: proven, unproven.
const ORDERS: &[(RetryPolicy, u32, u32)] = &[
    (RetryPolicy::Never, 0, 0),
    (RetryPolicy::IfUnprocessed, 1, 0),
    (RetryPolicy::OnceOnAnyFailure, 1, 1),
    (RetryPolicy::TwiceOnAnyFailure, 2, 2),
];

const BEARS: &[(Bears, Proof, bool)] = &[
    (Bears::AnyRepeat, Proof::NeverRan, true),
    (Bears::AnyRepeat, Proof::MayHaveRun, true),
    (Bears::InWindow, Proof::NeverRan, true),
    (Bears::InWindow, Proof::MayHaveRun, true),
    (Bears::PastWindow, Proof::NeverRan, false),
    (Bears::PastWindow, Proof::MayHaveRun, false),
    (Bears::OnlyProven, Proof::NeverRan, true),
    (Bears::OnlyProven, Proof::MayHaveRun, false),
];

/// What is known of an invocation when one of its tries has failed.
#[derive(Clone, Copy, Debug)]
pub struct Past {
    /// Tries made so far, the failed one included.
    pub tries: u32,
    /// Of all tries so far: one that may have run makes the invocation one that may have run.
    pub proof: Proof,
    /// When the first try that may have run was sent.
    pub first_may_have_run: Option<Moment>,
}

/// Whether one more try is allowed, by `order` and by what the operation bears until `done_by`, the latest
/// moment at which that try could still take effect.
pub fn may_repeat(
    order: RetryPolicy,
    guard: Guard,
    past: Past,
    last: Proof,
    done_by: Moment,
) -> bool {
    let allowed = ORDERS
        .iter()
        .find(|row| row.0 == order)
        .map_or(0, |row| match last {
            Proof::NeverRan => row.1,
            Proof::MayHaveRun => row.2,
        });
    if past.tries > allowed {
        return false;
    }
    let bears = match (guard, past.first_may_have_run) {
        (Guard::Idempotent, _) => Bears::AnyRepeat,
        (Guard::SideEffecting, _) => Bears::OnlyProven,
        (Guard::Fingerprinted { .. }, None) => Bears::InWindow,
        (Guard::Fingerprinted { window }, Some(first)) if done_by - first < window => {
            Bears::InWindow
        }
        (Guard::Fingerprinted { .. }, Some(_)) => Bears::PastWindow,
    };
    BEARS
        .iter()
        .any(|row| (row.0, row.1, row.2) == (bears, past.proof, true))
}

/// Whether a try may be followed by another after any failure, and so is given up early.
pub fn may_follow(order: RetryPolicy, guard: Guard, tries: u32) -> bool {
    let allowed = ORDERS
        .iter()
        .find(|row| row.0 == order)
        .map_or(0, |row| row.2);
    tries <= allowed && guard != Guard::SideEffecting
}

/// Repeats as a part of first tries, so that they can't add up to a storm: each first try puts a part of
/// one in, each repeat takes one out.
#[derive(Clone, Debug)]
pub struct Budget {
    part: f64,
    most: f64,
    held: f64,
}

impl Budget {
    /// `part` of 1; a proxy that just started may repeat `most` at once.
    pub fn new(part: f64, most: f64) -> Budget {
        Budget {
            part,
            most,
            held: most,
        }
    }

    pub fn first_try(&mut self) {
        self.held = (self.held + self.part).min(self.most);
    }

    pub fn take(&mut self) -> bool {
        let may = self.held >= 1.0;
        self.held -= f64::from(u8::from(may));
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const KEYED: Guard = Guard::Fingerprinted { window: Span::ZERO };

    fn past(tries: u32, proof: Proof) -> Past {
        let first = (proof == Proof::MayHaveRun).then_some(Moment::from_seconds(1.0));
        Past {
            tries,
            proof,
            first_may_have_run: first,
        }
    }

    fn window(seconds: f64) -> Guard {
        Guard::Fingerprinted {
            window: Span::from_seconds(seconds),
        }
    }

    // The latest the next try could take effect is 4 s after the start, 3 s after the first try.
    #[test_case(RetryPolicy::Never, Guard::Idempotent, 1, Failure::Connect, false; "no order, no repeat")]
    #[test_case(RetryPolicy::IfUnprocessed, Guard::SideEffecting, 1, Failure::Connect, true; "proven by the connect")]
    #[test_case(RetryPolicy::IfUnprocessed, Guard::SideEffecting, 1, Failure::Refused, true; "proven by a refusal")]
    #[test_case(RetryPolicy::IfUnprocessed, Guard::SideEffecting, 1, Failure::Unsent, true; "proven: nothing went out")]
    #[test_case(RetryPolicy::IfUnprocessed, Guard::SideEffecting, 1, Failure::Reset, false; "a reset proves nothing")]
    #[test_case(RetryPolicy::IfUnprocessed, Guard::Idempotent, 1, Failure::TimedOut, false; "ordered after proof only")]
    #[test_case(RetryPolicy::IfUnprocessed, Guard::Idempotent, 2, Failure::Connect, false; "once, not twice")]
    #[test_case(RetryPolicy::OnceOnAnyFailure, Guard::Idempotent, 1, Failure::TimedOut, true; "an idempotent one")]
    #[test_case(RetryPolicy::OnceOnAnyFailure, Guard::SideEffecting, 1, Failure::TimedOut, false; "whatever is ordered")]
    #[test_case(RetryPolicy::OnceOnAnyFailure, window(5.0), 1, Failure::Errored, true; "within the window")]
    #[test_case(RetryPolicy::OnceOnAnyFailure, window(2.9), 1, Failure::Errored, false; "could end after the window")]
    #[test_case(RetryPolicy::OnceOnAnyFailure, KEYED, 1, Failure::Connect, true; "nothing has begun the window")]
    #[test_case(RetryPolicy::TwiceOnAnyFailure, Guard::Idempotent, 2, Failure::Garbled, true; "a third try")]
    #[test_case(RetryPolicy::TwiceOnAnyFailure, Guard::Idempotent, 3, Failure::Connect, false; "no fourth")]
    fn repeats(order: RetryPolicy, guard: Guard, tries: u32, failure: Failure, wanted: bool) {
        let proof = failure.proof();
        let done_by = Moment::from_seconds(4.0);
        assert_eq!(
            may_repeat(order, guard, past(tries, proof), proof, done_by),
            wanted
        );
    }

    #[test]
    fn a_try_that_may_have_run_is_not_forgotten_over_a_later_one_that_did_not() {
        // The second try was refused, but the first may have run: a side-effecting one stays ended.
        let past = Past {
            tries: 2,
            ..past(2, Proof::MayHaveRun)
        };
        let order = RetryPolicy::TwiceOnAnyFailure;
        let done_by = Moment::from_seconds(4.0);
        assert!(!may_repeat(
            order,
            Guard::SideEffecting,
            past,
            Proof::NeverRan,
            done_by
        ));
    }

    #[test]
    fn a_budget_lets_a_part_through() {
        let mut budget = Budget::new(0.2, 3.0);
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
}
