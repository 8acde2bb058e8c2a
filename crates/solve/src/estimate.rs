//! A host's stated capacity, corrected by what was observed. A stated capacity may be wrong by a factor of two
//! either way: the correction stays about within that, and moves less the less was observed.

/// What was observed at a host in one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Seconds of work a second that were sent there.
    pub load: f64,
    /// The host's own figure, of 1.
    pub utilization: Option<f64>,
    /// The part of the attempts that was late or failed.
    pub late_or_errored: f64,
    /// Attempts.
    pub tries: f64,
}

/// The estimate of a host's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    stated: f64,
    /// The logarithm of the correction.
    log_correction: f64,
}

/// The largest logarithm of a correction: a factor of two and a little either way.
const MAX_LOG_CORRECTION: f64 = 0.75;

/// So many attempts move the estimate half as far as very many.
const HALF_WEIGHT_ATTEMPTS: f64 = 40.0;

/// The weight of one period with very many attempts.
const MAX_PERIOD_WEIGHT: f64 = 0.4;

/// Below this utilization rounding and chance say more than load; above the other it no longer rises with load.
const MIN_UTILIZATION: f64 = 0.05;
const MAX_UTILIZATION: f64 = 0.98;

/// With more of its attempts late or failed, a host has more load than it can carry.
const OVERRUN_FAILURES: f64 = 0.1;

impl Estimate {
    /// The stated capacity, without a correction.
    pub fn new(stated: f64) -> Estimate {
        Estimate {
            stated: stated.max(0.0),
            log_correction: 0.0,
        }
    }

    /// The estimated capacity, in seconds of work a second.
    pub fn capacity(&self) -> f64 {
        self.stated * self.log_correction.exp()
    }

    /// Takes in what was observed in one period.
    pub fn see(&mut self, seen: Seen) {
        if !(self.stated > 0.0 && seen.load > 0.0 && seen.tries > 0.0) {
            return;
        }
        let Some(observed) = self.observed_log_correction(seen) else {
            return;
        };
        let weight = MAX_PERIOD_WEIGHT * seen.tries / (seen.tries + HALF_WEIGHT_ATTEMPTS);
        self.log_correction += weight * (observed - self.log_correction);
        self.log_correction = self
            .log_correction
            .clamp(-MAX_LOG_CORRECTION, MAX_LOG_CORRECTION);
    }

    /// The logarithm of the correction by one period alone; `None` if that says nothing of the capacity.
    fn observed_log_correction(&self, seen: Seen) -> Option<f64> {
        if seen.late_or_errored > OVERRUN_FAILURES {
            // An overrun host shows no more than what it served, so the estimate never rises by it.
            let served = seen.load * (1.0 - seen.late_or_errored);
            return Some((served / self.stated).ln().min(self.log_correction));
        }
        seen.utilization
            .filter(|utilization| *utilization > MIN_UTILIZATION && *utilization < MAX_UTILIZATION)
            .map(|utilization| (seen.load / utilization / self.stated).ln())
    }
}

#[cfg(test)]
mod tests;
