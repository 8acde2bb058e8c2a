//! Observation of a proxy's actions, for drills and for logs of individual requests.

use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_files::LoadedTables;
use wheelspread_proxy_core::Failure;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// A node's response was forwarded; the value is its status code.
    Upstream(u16),
    /// The request was rejected by the admission ratio, the rate limit or a table that admits nothing.
    RateLimited,
    /// No node was available.
    NoNode,
    /// The last attempt failed and no retry followed.
    Failed(Failure),
    /// The client disconnected before the response was complete.
    ClientGone,
}

/// Observes each step of each request, and changes of tables and controllers.
///
/// `id` is the value of the request's `x-request-id` header, empty if it has none.
pub trait RequestObserver {
    /// A request was received in full.
    fn request_received(&mut self, _now: Moment, _id: &str, _operation: &str) {}

    /// An attempt is sent. `number` is its number within the request, from 1.
    fn attempt_sent(
        &mut self,
        _now: Moment,
        _id: &str,
        _operation: &str,
        _node: NodeId,
        _number: u32,
    ) {
    }

    /// An attempt ended; `None` as the failure means that it succeeded.
    fn attempt_ended(
        &mut self,
        _now: Moment,
        _id: &str,
        _node: NodeId,
        _number: u32,
        _failure: Option<Failure>,
    ) {
    }

    /// A request ended with the given outcome for its client.
    fn request_finished(&mut self, _now: Moment, _id: &str, _outcome: RequestOutcome) {}

    /// New tables are about to be applied.
    fn tables_applied(&mut self, _now: Moment, _tables: &LoadedTables) {}

    /// Tables were rejected; the last valid ones stay in force.
    fn tables_rejected(&mut self, _now: Moment, _reason: &str) {}

    /// A controller accepted the load report stream. `controller` is its index among the `count` controllers of the
    /// configuration.
    fn controller_joined(&mut self, _now: Moment, _controller: usize, _count: usize) {}

    /// The load report stream, which a controller had accepted, closed.
    fn controller_left(&mut self, _now: Moment, _reason: &str) {}
}

/// An observer that records nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl RequestObserver for NoObserver {}
