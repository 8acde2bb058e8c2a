//! Admission and retry settings of an operation.

use wheelspread::RetryPolicy;

/// How much of an operation a proxy admits, and how it retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSetting {
    /// The admission ratio or rate.
    pub limit: f64,
    /// Which failed attempts it retries.
    pub retry: RetryPolicy,
}

impl AdmissionSetting {
    /// Combines a table's own setting with the one for all proxies: the lower limit holds, and the table's own
    /// retry policy.
    pub fn combine(
        own: Option<AdmissionSetting>,
        for_all: Option<AdmissionSetting>,
    ) -> Option<AdmissionSetting> {
        match (own, for_all) {
            (Some(own), Some(for_all)) => Some(AdmissionSetting {
                limit: own.limit.min(for_all.limit),
                retry: own.retry,
            }),
            (own, for_all) => own.or(for_all),
        }
    }

    /// The retry policy on the wire.
    pub fn retry_code(&self) -> u8 {
        match self.retry {
            RetryPolicy::Never => 0,
            RetryPolicy::IfUnprocessed => 1,
            RetryPolicy::OnceOnAnyFailure => 2,
            RetryPolicy::TwiceOnAnyFailure => 3,
        }
    }
}
