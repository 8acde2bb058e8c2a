//! A host's nominal capacity, corrected by what was observed. A nominal capacity may be wrong by a factor of two
//! either way: the correction stays about within that, and moves less the less was observed.

/// What was observed at a host in one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Seconds of work a second that were sent there.
    pub load: f64,
    /// The host's own figure, of 1.
    pub utilization: Option<f64>,
    /// The part of the attempts that was late or failed.
    pub late_or_failed_ratio: f64,
    /// Attempts.
    pub attempts: f64,
}

/// The estimate of a host's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    nominal: f64,
    /// The logarithm of the correction.
    log_correction: f64,
}

/// The largest logarithm of a correction: a factor of two and a little either way.
const MAX_LOG_CORRECTION: f64 = 0.75;

/// So many attempts move the estimate half as far as very many.
const HALF_WEIGHT_ATTEMPT_COUNT: f64 = 40.0;

/// The weight of one period with very many attempts.
const MAX_PERIOD_WEIGHT: f64 = 0.4;

/// Below this utilization rounding and chance say more than load; above the other it no longer rises with load.
const MIN_UTILIZATION: f64 = 0.05;
const MAX_UTILIZATION: f64 = 0.98;

/// With more of its attempts late or failed, a host has more load than it can carry.
const MAX_FAILURE_RATIO: f64 = 0.1;

impl CapacityEstimate {
    /// The nominal capacity, without a correction.
    pub fn new(nominal: f64) -> CapacityEstimate {
        CapacityEstimate {
            nominal: nominal.max(0.0),
            log_correction: 0.0,
        }
    }

    /// The estimated capacity, in seconds of work a second.
    pub fn capacity(&self) -> f64 {
        self.nominal * self.log_correction.exp()
    }

    /// Takes in what was observed in one period.
    pub fn observe(&mut self, observation: Observation) {
        if !(self.nominal > 0.0 && observation.load > 0.0 && observation.attempts > 0.0) {
            return;
        }
        let Some(observed) = self.observed_log_correction(observation) else {
            return;
        };
        let weight = MAX_PERIOD_WEIGHT * observation.attempts
            / (observation.attempts + HALF_WEIGHT_ATTEMPT_COUNT);
        self.log_correction += weight * (observed - self.log_correction);
        self.log_correction = self
            .log_correction
            .clamp(-MAX_LOG_CORRECTION, MAX_LOG_CORRECTION);
    }

    /// The logarithm of the correction by one period alone; `None` if that says nothing of the capacity.
    fn observed_log_correction(&self, observation: Observation) -> Option<f64> {
        if observation.late_or_failed_ratio > MAX_FAILURE_RATIO {
            // An overrun host shows no more than what it served, so the estimate never rises by it.
            let served = observation.load * (1.0 - observation.late_or_failed_ratio);
            return Some((served / self.nominal).ln().min(self.log_correction));
        }
        observation
            .utilization
            .filter(|utilization| *utilization > MIN_UTILIZATION && *utilization < MAX_UTILIZATION)
            .map(|utilization| (observation.load / utilization / self.nominal).ln())
    }
}

#[cfg(test)]
mod tests;
