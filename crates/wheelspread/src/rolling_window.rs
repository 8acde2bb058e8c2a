//! Sums over a recent period of time, in a ring of buckets of fixed width.

use crate::time::{Moment, Span};
use std::ops::AddAssign;

/// Values summed by time bucket.
#[derive(Clone, Debug)]
pub struct RollingWindow<T> {
    bucket_micros: i64,
    /// Each ring slot's bucket number, counted from time 0, and the sum of that bucket.
    buckets: Vec<(i64, T)>,
}

impl<T: Default + Clone + AddAssign> RollingWindow<T> {
    /// A window of `buckets` buckets of width `bucket_width`; at least one bucket of at least 1 µs.
    pub fn new(bucket_width: Span, buckets: usize) -> RollingWindow<T> {
        RollingWindow {
            bucket_micros: bucket_width.micros().max(1),
            buckets: vec![(i64::MIN, T::default()); buckets.max(1)],
        }
    }

    fn bucket_number(&self, at: Moment) -> i64 {
        at.micros().div_euclid(self.bucket_micros)
    }

    /// Adds a value to the bucket of `at`; a value older than the window is dropped.
    pub fn add(&mut self, at: Moment, value: T) {
        let number = self.bucket_number(at);
        let index = number.rem_euclid(self.buckets.len() as i64) as usize;
        let bucket = &mut self.buckets[index];
        if bucket.0 < number {
            *bucket = (number, T::default());
        }
        if bucket.0 == number {
            bucket.1 += value;
        }
    }

    /// The sum of the bucket of `now` and the `count - 1` buckets before it.
    pub fn sum_last(&self, now: Moment, count: usize) -> T {
        let current = self.bucket_number(now);
        let mut sum = T::default();
        for (number, value) in &self.buckets {
            if *number <= current && *number > current - count as i64 {
                sum += value.clone();
            }
        }
        sum
    }

    /// The sum of all buckets in the window that ends at `now`.
    pub fn total(&self, now: Moment) -> T {
        self.sum_last(now, self.buckets.len())
    }
}
