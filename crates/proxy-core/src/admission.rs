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
mod tests {
    use super::*;
    use test_case::test_case;

    fn let_in(admission: &mut Admission, seconds: f64, rate: f64) -> f64 {
        let (mut chance, mut count) = (Pcg::new(9), 0);
        let asked = (seconds * rate) as u32;
        for at in 0..asked {
            let now = Moment::from_seconds(f64::from(at) / rate);
            count += u32::from(admission.ask(now, &mut chance).is_ok());
        }
        f64::from(count) / f64::from(asked)
    }

    #[test_case(0, 1.0; "all")]
    #[test_case(250_000, 0.75; "three quarters")]
    #[test_case(1_000_000, 0.0; "none")]
    fn a_share_is_let_in(dropped: u32, wanted: f64) {
        let mut admission = Admission::default();
        admission.order(Moment::from_seconds(0.0), dropped, None);
        let share = let_in(&mut admission, 100.0, 1000.0);
        assert!((share - wanted).abs() < 0.005, "{share}");
        assert_eq!(admission.shut(), wanted == 0.0);
    }

    #[test_case(20.0, 0.2; "a rate")]
    #[test_case(0.5, 0.005; "less than one a second")]
    fn a_rate_is_let_in(rate: f64, wanted: f64) {
        let mut admission = Admission::default();
        admission.order(Moment::from_seconds(0.0), 0, Some(rate));
        let share = let_in(&mut admission, 100.0, 100.0);
        assert!((share / wanted - 1.0).abs() < 0.05, "{share}");
        let (now, mut chance) = (Moment::from_seconds(100.0), Pcg::new(1));
        let wait = (0..100)
            .find_map(|_| admission.ask(now, &mut chance).err())
            .expect("it is used up");
        assert!(
            wait > Span::ZERO && wait <= Span::from_seconds(1.0 / rate),
            "{wait:?}"
        );
    }

    #[test]
    fn orders_that_repeat_a_rate_do_not_fill_the_bucket() {
        let mut admission = Admission::default();
        let (now, mut chance) = (Moment::from_seconds(0.0), Pcg::new(1));
        admission.order(now, 0, Some(10.0));
        assert!((0..10).all(|_| admission.ask(now, &mut chance).is_ok()));
        admission.order(now, 0, Some(10.0));
        assert!(admission.ask(now, &mut chance).is_err());
    }
}
