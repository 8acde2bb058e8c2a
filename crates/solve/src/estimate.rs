//! A host's capacity as it was told, corrected by what was seen. A figure may be wrong by half either way:
//! the correction stays within that, and moves by less the less was seen.

/// What was met at a host in one period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Seconds of work a second, by what was sent there.
    pub load: f64,
    /// Of 1, as the host tells.
    pub utilization: Option<f64>,
    /// Of its tries.
    pub late_or_errored: f64,
    pub tries: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    told: f64,
    /// Logarithm of the correction.
    correction: f64,
}

/// A correction goes no further than a factor of two (and a little) either way.
const FURTHEST: f64 = 0.75;
/// Tries that weigh as much as all that was known before, at the start and later.
const TRIES: f64 = 40.0;
/// Of what a period says, when much was seen: so much is believed.
const BELIEVED: f64 = 0.4;
/// Below this utilization rounding and chance say more than load.
const BUSY: f64 = 0.05;
/// Of tries: with more of them late or in error, a host carries more than it can.
const OVERRUN: f64 = 0.1;

impl Estimate {
    pub fn new(told: f64) -> Estimate {
        Estimate {
            told: told.max(0.0),
            correction: 0.0,
        }
    }

    pub fn capacity(&self) -> f64 {
        self.told * self.correction.exp()
    }

    pub fn see(&mut self, seen: Seen) {
        if !(self.told > 0.0 && seen.load > 0.0 && seen.tries > 0.0) {
            return;
        }
        let by_utilization = seen
            .utilization
            .filter(|busy| *busy > BUSY && *busy < 0.98)
            .map(|busy| (seen.load / busy / self.told).ln());
        let overrun = seen.late_or_errored > OVERRUN;
        // A host that is full, or errs, shows no more than what came through.
        let by_errors = overrun.then(|| {
            (seen.load * (1.0 - seen.late_or_errored) / self.told)
                .ln()
                .min(self.correction)
        });
        let Some(says) = by_utilization.filter(|_| !overrun).or(by_errors) else {
            return;
        };
        let share = BELIEVED * seen.tries / (seen.tries + TRIES);
        self.correction += share * (says - self.correction);
        self.correction = self.correction.clamp(-FURTHEST, FURTHEST);
    }
}

#[cfg(test)]
mod tests;
