//! Whether a try that failed is made again. Three things must agree: what the tables order, what the
//! operation can bear, and what is known of the try.

use wheelspread::time::{Moment, Span};
use wheelspread::RetryPolicy;

/// What is known of a try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Processing {
    /// Its invocation was never begun, by what the node or the connection said.
    NotProcessed,
    MaybeProcessed,
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
    pub fn processing(self) -> Processing {
        match self {
            Failure::Connect | Failure::Unsent | Failure::Refused => Processing::NotProcessed,
            Failure::Reset | Failure::Errored | Failure::Garbled | Failure::TimedOut => {
                Processing::MaybeProcessed
            }
        }
    }
}

/// What an operation can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
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

const BEARS: &[(Bears, Processing, bool)] = &[
    (Bears::AnyRepeat, Processing::NotProcessed, true),
    (Bears::AnyRepeat, Processing::MaybeProcessed, true),
    (Bears::InWindow, Processing::NotProcessed, true),
    (Bears::InWindow, Processing::MaybeProcessed, true),
    (Bears::PastWindow, Processing::NotProcessed, false),
    (Bears::PastWindow, Processing::MaybeProcessed, false),
    (Bears::OnlyProven, Processing::NotProcessed, true),
    (Bears::OnlyProven, Processing::MaybeProcessed, false),
];

/// What is known of an invocation when one of its tries has failed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    /// Tries made so far, the failed one included.
    pub tries: u32,
    /// Of all tries so far: one that may have run makes the invocation one that may have run.
    pub processing: Processing,
    /// When the first try that may have run was sent.
    pub first_maybe_processed_at: Option<Moment>,
}

/// Whether one more try is allowed, by `order` and by what the operation bears until `done_by`, the latest
/// moment at which that try could still take effect.
pub fn is_retry_allowed(
    order: RetryPolicy,
    retry_safety: RetrySafety,
    past: AttemptHistory,
    last: Processing,
    done_by: Moment,
) -> bool {
    let allowed = ORDERS
        .iter()
        .find(|row| row.0 == order)
        .map_or(0, |row| match last {
            Processing::NotProcessed => row.1,
            Processing::MaybeProcessed => row.2,
        });
    if past.tries > allowed {
        return false;
    }
    let bears = match (retry_safety, past.first_maybe_processed_at) {
        (RetrySafety::Idempotent, _) => Bears::AnyRepeat,
        (RetrySafety::SideEffecting, _) => Bears::OnlyProven,
        (RetrySafety::Fingerprinted { .. }, None) => Bears::InWindow,
        (RetrySafety::Fingerprinted { window }, Some(first)) if done_by - first < window => {
            Bears::InWindow
        }
        (RetrySafety::Fingerprinted { .. }, Some(_)) => Bears::PastWindow,
    };
    BEARS
        .iter()
        .any(|row| (row.0, row.1, row.2) == (bears, past.processing, true))
}

/// Whether a try may be followed by another after any failure, and so is given up early.
pub fn is_retryable_after_any_failure(
    order: RetryPolicy,
    retry_safety: RetrySafety,
    tries: u32,
) -> bool {
    let allowed = ORDERS
        .iter()
        .find(|row| row.0 == order)
        .map_or(0, |row| row.2);
    tries <= allowed && retry_safety != RetrySafety::SideEffecting
}

/// Repeats as a part of first tries, so that they can't add up to a storm: each first try puts a part of
/// one in, each repeat takes one out.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    part: f64,
    most: f64,
    held: f64,
}

impl RetryBudget {
    /// `part` of 1; a proxy that just started may repeat `most` at once.
    pub fn new(part: f64, most: f64) -> RetryBudget {
        RetryBudget {
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
mod tests;
