//! Capacity estimates: a host's nominal capacity, corrected by observations. A nominal capacity may be wrong by a
//! factor of two either way, so the correction is limited to slightly more than that. A period with few attempts
//! changes the estimate less than one with many.

/// What was observed at a host in one report period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Load sent to the host, in seconds of work a second.
    pub load: f64,
    /// Utilization as the host reports it, from 0 to 1; `None` if the host does not report it.
    pub utilization: Option<f64>,
    /// Ratio of attempts that exceeded the latency objective or failed, from 0 to 1.
    pub late_or_failed_ratio: f64,
    /// Number of attempts.
    pub attempts: f64,
}

/// An estimate of a host's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    nominal: f64,
    /// Natural logarithm of the correction factor.
    log_correction: f64,
}

/// The maximum logarithm of a correction factor: slightly more than a factor of two either way.
const MAX_LOG_CORRECTION: f64 = 0.75;

/// The number of attempts in a period at which its weight is half of [`MAX_PERIOD_WEIGHT`].
const HALF_WEIGHT_ATTEMPT_COUNT: f64 = 40.0;

/// The weight that one period approaches as its number of attempts grows.
const MAX_PERIOD_WEIGHT: f64 = 0.4;

/// The range of utilization that is used: below the minimum, rounding and noise dominate; above the maximum,
/// utilization no longer rises with load.
const MIN_UTILIZATION: f64 = 0.05;
const MAX_UTILIZATION: f64 = 0.98;

/// The ratio of late or failed attempts above which a host is overloaded.
const MAX_FAILURE_RATIO: f64 = 0.1;

impl CapacityEstimate {
    /// An estimate that equals the nominal capacity, which is in seconds of work a second.
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

    /// Corrects the estimate by the observation of one period. A period without load or attempts changes nothing.
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

    /// The logarithm of the correction that one period alone suggests; `None` if the period does not allow a
    /// conclusion about the capacity.
    fn observed_log_correction(&self, observation: Observation) -> Option<f64> {
        if observation.late_or_failed_ratio > MAX_FAILURE_RATIO {
            // An overloaded host shows only what it served, so its observation never raises the estimate.
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
