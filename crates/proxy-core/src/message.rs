//! What goes between the core and the event loop around it.

use crate::retry::Failure;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};

/// Names an active request. Slots are used again; the generation tells their uses apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle {
    /// Its place among the active requests.
    pub slot: u32,
    /// How often the slot was used before.
    pub generation: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The response came in full.
    Succeeded {
        /// The load metrics that the node sent with it, by name.
        loads: Vec<(String, f64)>,
    },
    /// It failed before its response had begun to go to the client.
    Failed(Failure),
    /// It failed after that: no other attempt can make it good.
    FailedMidResponse(Failure),
}

/// Send a request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    /// The node.
    pub node: NodeId,
    /// Which attempt of the request it is, from 1.
    pub number: u32,
    /// When the attempt is given up. The core says so by itself when its timers are expired.
    pub deadline: Moment,
}

/// What the client gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientResponse {
    /// The response of the node.
    Upstream,
    /// A rejection.
    RateLimited {
        /// When it may come again.
        retry_after: Span,
    },
    /// There is no node to send to.
    NoNode,
    /// The last attempt failed, and no other is made.
    Failed(Failure),
    /// Nothing: the client is gone.
    ClientGone,
}

/// What to do for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send(AttemptOrder),
    /// Abandon the attempt in flight, then send another.
    AbandonAndSend(AttemptOrder),
    /// Respond to the client.
    Respond(ClientResponse),
    /// Abandon the attempt in flight, then respond to the client.
    AbandonAndRespond(ClientResponse),
    /// Nothing: the request is over already, or the attempt is not the one in flight.
    Continue,
}

/// What to do for which request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: RequestHandle,
    /// What to do.
    pub action: Action,
}
