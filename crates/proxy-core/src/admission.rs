//! How much of an operation is let in: by a share, drawn for each invocation, or by a rate.

use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

const MILLION: u32 = 1_000_000;

/// Tokens that come at a steady rate; a second's worth may be held, one at least.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    held: f64,
    since: Moment,
}

impl Bucket {
    fn take(&mut self, now: Moment) -> bool {
        let passed = (now - self.since).seconds().max(0.0);
        self.since = now;
        self.held = (self.held + passed * self.rate).min(self.rate.max(1.0));
        let may = self.held >= 1.0;
        self.held -= f64::from(u8::from(may));
        may
    }

    /// How long until the next token.
    fn wait(&self) -> Span {
        Span::from_seconds(((1.0 - self.held) / self.rate.max(1e-3)).clamp(0.001, 60.0))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Admission {
    dropped_of_million: u32,
    bucket: Option<Bucket>,
}

/// What a client is told to wait where a share turned it away: it would be drawn anew at once.
const AFTER_SHARE: f64 = 1.0;

impl Admission {
    /// New orders; what a bucket holds stays where its rate does.
    pub fn order(&mut self, now: Moment, dropped_of_million: u32, rate: Option<f64>) {
        self.dropped_of_million = dropped_of_million.min(MILLION);
        let before = self.bucket.take();
        self.bucket = rate.map(|rate| match before {
            Some(mut bucket) => {
                let passed = (now - bucket.since).seconds().max(0.0);
                bucket.held = (bucket.held + passed * bucket.rate).min(rate.max(1.0));
                Bucket {
                    rate,
                    held: bucket.held,
                    since: now,
                }
            }
            None => Bucket {
                rate,
                held: rate.max(1.0),
                since: now,
            },
        });
    }

    /// Nothing is let in: what a proxy still holds is given up too.
    pub fn shut(&self) -> bool {
        self.dropped_of_million == MILLION
            || self
                .bucket
                .as_ref()
                .is_some_and(|bucket| bucket.rate <= 0.0)
    }

    /// `Err`: turned away, with how long to wait.
    pub fn ask(&mut self, now: Moment, chance: &mut Pcg) -> Result<(), Span> {
        let drawn = (u64::from(chance.draw()) * u64::from(MILLION)) >> 32;
        if drawn < u64::from(self.dropped_of_million) {
            return Err(Span::from_seconds(AFTER_SHARE));
        }
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        if bucket.take(now) {
            return Ok(());
        }
        Err(bucket.wait())
    }
}

#[cfg(test)]
mod tests;
