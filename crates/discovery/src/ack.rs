//! The ACK state of a subscription: how a request's nonce is interpreted, depending on whether a response is in flight.

/// Whether a response of a resource type is in flight. There is at most one per type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckState {
    /// No response is in flight: each was acknowledged or rejected.
    Idle,
    /// One response is in flight.
    AwaitingAck,
}

/// The response that a request's nonce refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NonceKind {
    /// The request has no nonce.
    Empty,
    /// The last response of the type; the request has no error.
    Latest,
    /// The last response of the type; the request has an error.
    LatestWithError,
    /// An earlier response of the stream, of any type.
    Older,
    /// No response of the stream.
    Unknown,
}

/// How the server handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckEffect {
    /// The request only updates subscriptions.
    Subscribe,
    /// The client applied the response in flight (ACK).
    Acknowledge,
    /// The client rejected the response in flight (NACK).
    Reject,
    /// The request is stale: a later response has been sent since.
    Ignore,
    /// The request refers to a response that was not sent on this stream.
    ReportUnknownNonce,
}

impl AckState {
    /// Returns the state after a request with a nonce of this kind, and how to handle the request.
    pub(crate) fn on_request(self, nonce: NonceKind) -> (AckState, AckEffect) {
        use AckEffect::{Acknowledge, Ignore, Reject, ReportUnknownNonce, Subscribe};
        use AckState::{AwaitingAck, Idle};
        match (self, nonce) {
            // A client may add subscriptions while a response is in flight; this does not acknowledge the response.
            (state, NonceKind::Empty) => (state, Subscribe),
            (AwaitingAck, NonceKind::Latest) => (Idle, Acknowledge),
            (AwaitingAck, NonceKind::LatestWithError) => (Idle, Reject),
            // A request that repeats the nonce of an acknowledged response changes subscriptions.
            (Idle, NonceKind::Latest) => (Idle, Subscribe),
            (Idle, NonceKind::LatestWithError) => (Idle, ReportUnknownNonce),
            (state, NonceKind::Older) => (state, Ignore),
            (state, NonceKind::Unknown) => (state, ReportUnknownNonce),
        }
    }
}
