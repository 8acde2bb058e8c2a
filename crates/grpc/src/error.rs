//! Reasons for which a connection or its stream was closed.

use crate::frame::FrameError;
use wheelspread::time::Span;

/// Why a connection was closed. The owner of the connection gets and logs the text.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    #[error("handshake timed out")]
    HandshakeTimeout,
    #[error("handshake failed: {0}")]
    Handshake(h2::Error),
    #[error(transparent)]
    Http2(#[from] h2::Error),
    #[error(transparent)]
    Request(#[from] http::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("connection closed by peer")]
    ClosedByPeer,
    #[error("server did not acknowledge a ping within {} s", .timeout.seconds())]
    ServerPingTimeout { timeout: Span },
    #[error("client did not acknowledge a ping in time")]
    ClientPingTimeout,
    #[error("unexpected response status {0}")]
    ResponseStatus(http::StatusCode),
    #[error("ended with status {status}: {message}")]
    StreamEnded { status: String, message: String },
    #[error("stream ended without a gRPC status")]
    StreamEndedWithoutStatus,
    #[error("stream closed for sending")]
    StreamNotWritable,
}
