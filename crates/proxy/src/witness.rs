//! What a proxy does, for those who write it down: drills, and logs of single invocations.

use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_files::Held;
use wheelspread_proxy_core::Failure;

/// Why a client was answered as it was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With what the node answered, of this status.
    Node(u16),
    RateLimited,
    NoNode,
    Failed(Failure),
    /// The client went away, or its request can't be taken.
    Nobody,
}

/// All calls name the invocation by its `x-request-id`.
pub trait Witness {
    fn arrived(&mut self, _now: Moment, _id: &str, _operation: &str) {}
    fn sent(&mut self, _now: Moment, _id: &str, _operation: &str, _node: NodeId, _number: u32) {}
    /// `None`: the try succeeded.
    fn ended(
        &mut self,
        _now: Moment,
        _id: &str,
        _node: NodeId,
        _number: u32,
        _failure: Option<Failure>,
    ) {
    }
    fn answered(&mut self, _now: Moment, _id: &str, _outcome: Outcome) {}
    /// Tables came into force.
    fn holds(&mut self, _now: Moment, _held: &Held) {}
    fn refused(&mut self, _now: Moment, _reason: &str) {}
    /// Joined to this one `of` its conductors, by their place in its file.
    fn joined(&mut self, _now: Moment, _conductor: usize, _of: usize) {}
    fn left(&mut self, _now: Moment, _reason: &str) {}
}

/// Writes nothing down.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silent;

impl Witness for Silent {}
