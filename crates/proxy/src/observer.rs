//! What a proxy does, for those who write it down: drills, and logs of single invocations.

use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_files::Held;
use wheelspread_proxy_core::Failure;

/// Why a client was answered as it was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// With what the node answered, of this status.
    Upstream(u16),
    RateLimited,
    NoNode,
    Failed(Failure),
    /// The client went away, or its request can't be taken.
    ClientGone,
}

/// All calls name the invocation by its `x-request-id`.
pub trait RequestObserver {
    fn request_received(&mut self, _now: Moment, _id: &str, _operation: &str) {}
    fn attempt_sent(
        &mut self,
        _now: Moment,
        _id: &str,
        _operation: &str,
        _node: NodeId,
        _number: u32,
    ) {
    }
    /// `None`: the try succeeded.
    fn attempt_ended(
        &mut self,
        _now: Moment,
        _id: &str,
        _node: NodeId,
        _number: u32,
        _failure: Option<Failure>,
    ) {
    }
    fn request_finished(&mut self, _now: Moment, _id: &str, _outcome: RequestOutcome) {}
    /// TableFiles came into force.
    fn tables_applied(&mut self, _now: Moment, _held: &Held) {}
    fn tables_rejected(&mut self, _now: Moment, _reason: &str) {}
    /// Joined to this one `of` its conductors, by their place in its file.
    fn controller_joined(&mut self, _now: Moment, _conductor: usize, _of: usize) {}
    fn controller_left(&mut self, _now: Moment, _reason: &str) {}
}

/// Writes nothing down.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoObserver;

impl RequestObserver for NoObserver {}
