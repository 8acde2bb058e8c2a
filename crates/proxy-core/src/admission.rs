//! Decides which requests of an operation are admitted, by an admission ratio (a random draw for each request) and
//! by a rate limit (a token bucket).

use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

const MILLION: u32 = 1_000_000;

/// Retry delay sent to a client that was rejected by the admission ratio. Its length does not affect the chance of
/// admission, because each request is drawn independently.
const RATIO_RETRY_AFTER: Span = Span::from_seconds(1.0);
/// Bounds of the retry delay sent to a client that was rejected by the rate limit.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.001;
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;
/// Lower bound of the rate in the retry delay, which would be infinite for a rate of 0. A full token then takes
/// 1000 s, so the delay is limited by [`MAX_RETRY_AFTER_SECONDS`].
const MIN_TOKENS_PER_SECOND: f64 = 1e-3;

/// A token bucket that is refilled at a constant rate. Its capacity is the tokens of one second, at least one.
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: Moment,
}

impl TokenBucket {
    fn full(now: Moment, rate: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_second: rate,
            tokens: capacity(rate),
            refilled_at: now,
        }
    }

    /// Number of tokens at `now`, limited to `capacity`.
    fn tokens_at(&self, now: Moment, capacity: f64) -> f64 {
        let elapsed = (now - self.refilled_at).seconds().max(0.0);
        (self.tokens + elapsed * self.tokens_per_second).min(capacity)
    }

    /// A bucket with the same tokens, limited to its capacity, and another rate.
    fn with_rate(&self, now: Moment, rate: f64) -> TokenBucket {
        TokenBucket {
            tokens_per_second: rate,
            tokens: self.tokens_at(now, capacity(rate)),
            refilled_at: now,
        }
    }

    fn try_take(&mut self, now: Moment) -> bool {
        self.tokens = self.tokens_at(now, capacity(self.tokens_per_second));
        self.refilled_at = now;
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Time until the next token, within the bounds of the retry delay.
    fn time_to_next_token(&self) -> Span {
        let seconds = (1.0 - self.tokens) / self.tokens_per_second.max(MIN_TOKENS_PER_SECOND);
        Span::from_seconds(seconds.clamp(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS))
    }
}

fn capacity(tokens_per_second: f64) -> f64 {
    tokens_per_second.max(1.0)
}

/// The result for a request that is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Time after which the client may retry.
    pub retry_after: Span,
}

/// Admission control of one operation.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    dropped_of_million: u32,
    bucket: Option<TokenBucket>,
}

impl Admission {
    /// Applies the limits of a new table. An existing bucket keeps its tokens, so a table with an unchanged rate does
    /// not refill it.
    pub fn configure(&mut self, now: Moment, dropped_of_million: u32, rate_limit: Option<f64>) {
        self.dropped_of_million = dropped_of_million.min(MILLION);
        let previous = self.bucket.take();
        self.bucket = rate_limit.map(|rate| match previous {
            Some(bucket) => bucket.with_rate(now, rate),
            None => TokenBucket::full(now, rate),
        });
    }

    /// Whether no request is admitted. In that case requests in flight are abandoned as well.
    pub fn rejects_all(&self) -> bool {
        let has_no_rate = |bucket: &TokenBucket| bucket.tokens_per_second <= 0.0;
        self.dropped_of_million == MILLION || self.bucket.as_ref().is_some_and(has_no_rate)
    }

    /// Admits or rejects a request that has just arrived.
    pub fn try_admit(&mut self, now: Moment, random: &mut Pcg) -> Result<(), Rejected> {
        let draw = (u64::from(random.draw()) * u64::from(MILLION)) >> 32;
        if draw < u64::from(self.dropped_of_million) {
            return Err(Rejected {
                retry_after: RATIO_RETRY_AFTER,
            });
        }
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        if bucket.try_take(now) {
            return Ok(());
        }
        Err(Rejected {
            retry_after: bucket.time_to_next_token(),
        })
    }
}

#[cfg(test)]
mod tests;
