//! Which requests of an operation are admitted: by a ratio, drawn for each request, or by a rate.

use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

const MILLION: u32 = 1_000_000;

/// Seconds after which a request that was rejected by the ratio may come again: any wait will do, since it is
/// drawn anew each time.
const RATIO_RETRY_AFTER: Span = Span::from_seconds(1.0);
/// Bounds of the wait for the next token that a client gets, in seconds.
const MIN_TOKEN_WAIT_SECONDS: f64 = 0.001;
const MAX_TOKEN_WAIT_SECONDS: f64 = 60.0;
/// A rate of zero would make the wait endless; with this it is the longest one.
const MIN_RATE: f64 = 1e-3;

/// Tokens that come at a steady rate. The tokens of one second are kept, one token at least.
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

    /// The tokens of now, of a bucket that holds `capacity`.
    fn tokens_at(&self, now: Moment, capacity: f64) -> f64 {
        let passed = (now - self.refilled_at).seconds().max(0.0);
        (self.tokens + passed * self.tokens_per_second).min(capacity)
    }

    /// The same tokens at another rate.
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

    /// How long until the next token.
    fn wait(&self) -> Span {
        let seconds = (1.0 - self.tokens) / self.tokens_per_second.max(MIN_RATE);
        Span::from_seconds(seconds.clamp(MIN_TOKEN_WAIT_SECONDS, MAX_TOKEN_WAIT_SECONDS))
    }
}

fn capacity(tokens_per_second: f64) -> f64 {
    tokens_per_second.max(1.0)
}

/// A request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// When it may come again.
    pub retry_after: Span,
}

/// Admission of one operation.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    dropped_of_million: u32,
    bucket: Option<TokenBucket>,
}

impl Admission {
    /// Takes the orders of a new table. A bucket keeps its tokens, so that a table that repeats a rate does not
    /// fill it.
    pub fn configure(&mut self, now: Moment, dropped_of_million: u32, rate_limit: Option<f64>) {
        self.dropped_of_million = dropped_of_million.min(MILLION);
        let before = self.bucket.take();
        self.bucket = rate_limit.map(|rate| match before {
            Some(bucket) => bucket.with_rate(now, rate),
            None => TokenBucket::full(now, rate),
        });
    }

    /// Whether nothing is admitted. Requests in flight are given up then, too.
    pub fn rejects_all(&self) -> bool {
        let has_no_rate = |bucket: &TokenBucket| bucket.tokens_per_second <= 0.0;
        self.dropped_of_million == MILLION || self.bucket.as_ref().is_some_and(has_no_rate)
    }

    /// Admits or rejects a request that has just arrived.
    pub fn try_admit(&mut self, now: Moment, random: &mut Pcg) -> Result<(), Rejected> {
        let drawn = (u64::from(random.draw()) * u64::from(MILLION)) >> 32;
        if drawn < u64::from(self.dropped_of_million) {
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
            retry_after: bucket.wait(),
        })
    }
}

#[cfg(test)]
mod tests;
