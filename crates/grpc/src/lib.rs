//! gRPC streams in both directions, for a loop that polls.
//!
//! [`ServerConnection`] and [`ClientConnection`] each own a non-blocking socket. The loop calls `turn` when the
//! socket is ready, or after it queued something, and gets events; nothing wakes by itself. What a peer can make
//! this side hold is bounded: one message of the longest length a stream, the send queue, and the number of
//! streams.

mod client;
mod error;
mod frame;
mod io;
mod send_queue;
mod server;
pub mod tls;

pub use client::{ClientConnection, ClientEvent};
pub use frame::{Deframer, MAX_MESSAGE_BYTES};
pub use io::Socket;
pub use rustls::ServerConnection as TlsServer;
pub use server::{ServerConnection, ServerEvent, StreamKey};

pub use rustls::pki_types::CertificateDer;
pub use rustls::pki_types::ServerName;
pub use rustls::{ClientConfig, ServerConfig};
use wheelspread::time::Span;

/// The most header bytes of a request or response.
const MAX_HEADER_LIST_BYTES: u32 = 16 << 10;

/// The flow-control window of a stream.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// A turn ends after so many steps, so that a busy peer cannot hold the loop.
const MAX_STEPS_PER_TURN: usize = 1000;

/// How a side finds out that its peer is gone.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    /// How long nothing arrives before a ping is sent.
    pub interval: Span,
    /// How long the answer to a ping may take.
    pub timeout: Span,
}

/// What a connection may cost.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest message in bytes.
    pub max_message_bytes: usize,
    /// The most streams of a connection at a time.
    pub max_streams: u32,
    /// The most bytes that may wait to be sent on one stream.
    pub max_queued_bytes: usize,
    /// For the handshake, and for the rest of a message that has begun.
    pub progress_timeout: Span,
    /// The pings of a client, which sends one whenever the last answer is older than the interval.
    pub client_keepalive: KeepAlive,
    /// The pings of a server, which sends one only after nothing arrived for the interval.
    pub server_keepalive: KeepAlive,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_streams: 100,
            max_queued_bytes: 1 << 20,
            progress_timeout: Span::from_seconds(10.0),
            client_keepalive: KeepAlive {
                interval: Span::from_seconds(1.0),
                timeout: Span::from_seconds(3.0),
            },
            server_keepalive: KeepAlive {
                interval: Span::from_seconds(15.0),
                timeout: Span::from_seconds(10.0),
            },
        }
    }
}

/// The gRPC status codes that are used here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The stream ended as intended.
    Ok,
    /// The request is malformed, whatever the server's state.
    InvalidArgument,
    /// The peer took too long.
    DeadlineExceeded,
    /// A limit or quota is exceeded.
    ResourceExhausted,
    /// The peer may not do this.
    PermissionDenied,
    /// The method is not served here.
    Unimplemented,
    /// The service cannot answer now; a retry may succeed.
    Unavailable,
}

impl Status {
    /// The code on the wire.
    pub fn code(self) -> u32 {
        match self {
            Status::Ok => 0,
            Status::InvalidArgument => 3,
            Status::DeadlineExceeded => 4,
            Status::PermissionDenied => 7,
            Status::ResourceExhausted => 8,
            Status::Unimplemented => 12,
            Status::Unavailable => 14,
        }
    }
}
