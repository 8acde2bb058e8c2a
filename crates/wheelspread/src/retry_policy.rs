//! Retry policies. A retry after any failure is allowed only for operations whose requests cannot take effect
//! twice.

use crate::action::RetryPolicy;
use crate::config::{Operation, RetrySafety};
use crate::fleet_load::FleetLoad;

/// The retry policy of an operation at the current load. Proxies give up an attempt early if it may be retried, so
/// the first attempt may still be running when the retry starts. This duplicate work is accepted only while the
/// fleet's load is low. While the fleet is overloaded, no retry is allowed, since any retry adds load.
pub(crate) fn retry_policy(operation: &Operation, load: FleetLoad) -> RetryPolicy {
    match (can_retry_safely(operation), load) {
        (true, FleetLoad::Low) => RetryPolicy::OnceOnAnyFailure,
        (true, FleetLoad::Normal) => RetryPolicy::IfUnprocessed,
        (false, FleetLoad::Low | FleetLoad::Normal) => RetryPolicy::IfUnprocessed,
        (_, FleetLoad::Overloaded) => RetryPolicy::Never,
    }
}

/// Whether a retry cannot take effect twice: the operation is idempotent, or every node recognizes a repeated
/// request for longer than the request's time-out.
fn can_retry_safely(operation: &Operation) -> bool {
    match operation.retry_safety {
        RetrySafety::Idempotent => true,
        RetrySafety::Fingerprinted => {
            operation.recognized_by_all_nodes && operation.recognized_for > operation.timeout
        }
        RetrySafety::SideEffecting => false,
    }
}
