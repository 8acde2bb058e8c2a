//! Why a connection or its stream is over.

use crate::frame::FrameError;
use wheelspread::time::Span;

/// Why a connection is over. Owners get its text, which they log.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    #[error("no handshake in time")]
    HandshakeTimeout,
    #[error("handshake: {0}")]
    Handshake(h2::Error),
    #[error(transparent)]
    Http2(#[from] h2::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the peer closed the connection")]
    ClosedByPeer,
    #[error("no answer to a ping for {} s", .timeout.seconds())]
    ServerPingTimeout { timeout: Span },
    #[error("no answer to a ping")]
    ClientPingTimeout,
    #[error("answered with {0}")]
    ResponseStatus(http::StatusCode),
    #[error("ended with status {status}: {message}")]
    StreamEnded { status: String, message: String },
    #[error("ended")]
    StreamEndedWithoutStatus,
    #[error("the stream takes no more")]
    StreamNotWritable,
}
