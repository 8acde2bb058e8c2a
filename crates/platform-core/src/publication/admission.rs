//! Admission and retry settings of an operation.

use wheelspread::RetryPolicy;

/// How many requests of an operation a proxy admits, and its retry policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSetting {
    /// The admission ratio or rate.
    pub limit: f64,
    /// Which failed attempts the proxy retries.
    pub retry: RetryPolicy,
}

impl AdmissionSetting {
    /// Combines a table's setting with the setting for all proxies: the lower limit applies, with the table's
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

    /// The number of the retry policy on the wire.
    pub fn retry_code(&self) -> u8 {
        match self.retry {
            RetryPolicy::Never => 0,
            RetryPolicy::IfUnprocessed => 1,
            RetryPolicy::OnceOnAnyFailure => 2,
            RetryPolicy::TwiceOnAnyFailure => 3,
        }
    }
}
