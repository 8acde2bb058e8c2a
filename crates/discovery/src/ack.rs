//! The ACK state of a subscription: what a request's nonce means, by whether a response is in flight.

/// Whether a response of a type is in flight. There is one at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckState {
    /// Every response was acknowledged or rejected.
    Idle,
    /// One response is in flight.
    AwaitingAck,
}

/// What a request's nonce refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NonceKind {
    /// It has none.
    Empty,
    /// The last response of the type, without an error.
    Latest,
    /// The last response of the type, with an error.
    LatestWithError,
    /// An earlier response of the stream.
    Older,
    /// No response of the stream.
    Unknown,
}

/// What follows from a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckEffect {
    /// Only its subscriptions count.
    Subscribe,
    /// The response in flight was applied.
    Acknowledge,
    /// The response in flight was not applied.
    Reject,
    /// The request was overtaken by a response.
    Ignore,
    /// The client refers to a response that it was not sent.
    ReportUnknownNonce,
}

impl AckState {
    /// The state after a request with such a nonce, and what follows from it.
    pub(crate) fn on_request(self, nonce: NonceKind) -> (AckState, AckEffect) {
        use AckEffect::{Acknowledge, Ignore, Reject, ReportUnknownNonce, Subscribe};
        use AckState::{AwaitingAck, Idle};
        match (self, nonce) {
            // While a response is in flight: the client subscribes to more before it has taken that.
            (state, NonceKind::Empty) => (state, Subscribe),
            (AwaitingAck, NonceKind::Latest) => (Idle, Acknowledge),
            (AwaitingAck, NonceKind::LatestWithError) => (Idle, Reject),
            // With the nonce of a response that it acknowledged, a client changes its subscriptions.
            (Idle, NonceKind::Latest) => (Idle, Subscribe),
            (Idle, NonceKind::LatestWithError) => (Idle, ReportUnknownNonce),
            (state, NonceKind::Older) => (state, Ignore),
            (state, NonceKind::Unknown) => (state, ReportUnknownNonce),
        }
    }
}
