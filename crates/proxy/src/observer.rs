//! What a proxy does, for those who record it: drills, and logs of single requests.

use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_files::LoadedTables;
use wheelspread_proxy_core::Failure;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The response of a node was passed on; with its status.
    Upstream(u16),
    /// Rejected by the admission ratio or the rate limit of the table.
    RateLimited,
    /// There was no node to send to.
    NoNode,
    /// The last attempt failed.
    Failed(Failure),
    /// The client disconnected before the end.
    ClientGone,
}

/// Observes each step of each request, and changes of tables and controllers.
///
/// `id` is always the request's `x-request-id`, empty if it has none.
pub trait RequestObserver {
    /// A request was read whole.
    fn request_received(&mut self, _now: Moment, _id: &str, _operation: &str) {}

    /// An attempt is sent; `number` counts the attempts of its request from 1.
    fn attempt_sent(
        &mut self,
        _now: Moment,
        _id: &str,
        _operation: &str,
        _node: NodeId,
        _number: u32,
    ) {
    }

    /// An attempt ended; without a failure it succeeded.
    fn attempt_ended(
        &mut self,
        _now: Moment,
        _id: &str,
        _node: NodeId,
        _number: u32,
        _failure: Option<Failure>,
    ) {
    }

    /// A request ended for its client.
    fn request_finished(&mut self, _now: Moment, _id: &str, _outcome: RequestOutcome) {}

    /// Tables came into force.
    fn tables_applied(&mut self, _now: Moment, _held: &LoadedTables) {}

    /// Tables were not taken; the last good ones stay in force.
    fn tables_rejected(&mut self, _now: Moment, _reason: &str) {}

    /// A controller accepted the report stream: the one at this place of the `count` in the configuration.
    fn controller_joined(&mut self, _now: Moment, _controller: usize, _count: usize) {}

    /// The report stream to that controller closed.
    fn controller_left(&mut self, _now: Moment, _reason: &str) {}
}

/// Records nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl RequestObserver for NoObserver {}
