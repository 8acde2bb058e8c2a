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
        table_setting: Option<AdmissionSetting>,
        global_setting: Option<AdmissionSetting>,
    ) -> Option<AdmissionSetting> {
        match (table_setting, global_setting) {
            (Some(table_setting), Some(global_setting)) => Some(AdmissionSetting {
                limit: table_setting.limit.min(global_setting.limit),
                retry: table_setting.retry,
            }),
            (table_setting, global_setting) => table_setting.or(global_setting),
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
