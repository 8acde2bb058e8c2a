//! When proxies may retry: after any failure only where a retry cannot take effect twice (rule 2).

use crate::action::RetryPolicy;
use crate::config::{Operation, RetrySafety};
use crate::fleet_load::FleetLoad;

/// The retry policy of an operation. Requests that may be retried are given up early, work is done twice only
/// while nodes are calm; under strain any retry is load.
pub(crate) fn retry_policy(operation: &Operation, load: FleetLoad) -> RetryPolicy {
    match (can_retry_safely(operation), load) {
        (true, FleetLoad::Low) => RetryPolicy::OnceOnAnyFailure,
        (true, FleetLoad::Normal) => RetryPolicy::IfUnprocessed,
        (false, FleetLoad::Low | FleetLoad::Normal) => RetryPolicy::IfUnprocessed,
        (_, FleetLoad::Overloaded) => RetryPolicy::Never,
    }
}

/// Whether a retry cannot take effect twice.
fn can_retry_safely(operation: &Operation) -> bool {
    match operation.retry_safety {
        RetrySafety::Idempotent => true,
        RetrySafety::Fingerprinted => {
            operation.recognized_by_all_nodes && operation.recognized_for > operation.timeout
        }
        RetrySafety::SideEffecting => false,
    }
}
