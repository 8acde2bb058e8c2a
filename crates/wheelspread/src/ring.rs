//! Fixed buckets of time, used again in a ring.

use crate::time::{Moment, Span};
use std::ops::AddAssign;

#[derive(Clone, Debug)]
pub struct Ring<T> {
    width: i64,
    buckets: Vec<(i64, T)>,
}

impl<T: Default + Clone + AddAssign> Ring<T> {
    pub fn new(width: Span, buckets: usize) -> Ring<T> {
        Ring {
            width: width.micros().max(1),
            buckets: vec![(i64::MIN, T::default()); buckets.max(1)],
        }
    }

    fn number(&self, at: Moment) -> i64 {
        at.micros().div_euclid(self.width)
    }

    pub fn add(&mut self, at: Moment, value: T) {
        let number = self.number(at);
        let place = number.rem_euclid(self.buckets.len() as i64) as usize;
        let bucket = &mut self.buckets[place];
        if bucket.0 < number {
            *bucket = (number, T::default());
        }
        if bucket.0 == number {
            bucket.1 += value;
        }
    }

    /// What the bucket of `now` and the `count - 1` before it hold together.
    pub fn last(&self, now: Moment, count: usize) -> T {
        let number = self.number(now);
        let mut sum = T::default();
        for (n, value) in &self.buckets {
            if *n <= number && *n > number - count as i64 {
                sum += value.clone();
            }
        }
        sum
    }

    /// Everything that the ring still holds at `now`.
    pub fn whole(&self, now: Moment) -> T {
        self.last(now, self.buckets.len())
    }
}
