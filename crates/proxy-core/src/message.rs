//! Types exchanged between the core and the event loop that drives it.

use crate::retry::Failure;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};

/// Identifies an active request. Slots are reused; the generation distinguishes the requests of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle {
    /// Index of the slot that holds the request.
    pub slot: u32,
    /// Number of earlier requests in the slot; wraps around on overflow.
    pub generation: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The response was received in full.
    Succeeded {
        /// The load metrics that the node sent with the response, by name.
        loads: Vec<(String, f64)>,
    },
    /// The attempt failed before any part of its response was sent to the client.
    Failed(Failure),
    /// The attempt failed after part of its response was sent to the client, so it can't be retried.
    FailedMidResponse(Failure),
}

/// An attempt for the event loop to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptSpec {
    /// The node that the attempt goes to.
    pub node: NodeId,
    /// Number of the attempt within its request, from 1.
    pub number: u32,
    /// When the attempt times out. The core keeps this timer itself; see [`crate::ProxyCore::expire_timers`].
    pub deadline: Moment,
}

/// What the client receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientResponse {
    /// The node's response.
    Upstream,
    /// The request is rejected by the admission ratio, the rate limit or a table that admits nothing.
    RateLimited {
        /// Time after which the client may retry.
        retry_after: Span,
    },
    /// No node is available.
    NoNode,
    /// The last attempt failed and no retry follows.
    Failed(Failure),
    /// No response: the client has disconnected.
    ClientGone,
}

/// What the event loop does next for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send this attempt.
    Send(AttemptSpec),
    /// Abandon the attempt in flight, then send this one.
    AbandonAndSend(AttemptSpec),
    /// Respond to the client.
    Respond(ClientResponse),
    /// Abandon the attempt in flight, then respond to the client.
    AbandonAndRespond(ClientResponse),
    /// Do nothing: the request has already finished, or the attempt is not the one in flight.
    Continue,
}

/// An action and the request that it applies to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: RequestHandle,
    /// The action.
    pub action: Action,
}
