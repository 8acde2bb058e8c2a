//! Bidirectional gRPC streams for a polling event loop.
//!
//! [`ServerConnection`] and [`ClientConnection`] each own a non-blocking socket. The event loop calls `turn` when
//! the socket is ready or after queueing a message, and gets events back; connections never wake the loop. The
//! memory that a peer can occupy is bounded: per stream by one message of maximum length and the send queue, and
//! by the maximum number of streams. The owner bounds that of all connections with `buffer_bytes` and
//! `close_largest`.

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

/// Maximum size of the header list of a request or response. In memory, a list of many short fields takes several times
/// its size.
const MAX_HEADER_LIST_BYTES: u32 = 8 << 10;

/// Flow-control window of a stream.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// Maximum number of steps per turn, so that a busy peer cannot block the event loop.
const MAX_STEPS_PER_TURN: usize = 1000;

/// Keep-alive pings, by which one side detects that its peer no longer responds.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    /// Idle time after which a ping is sent.
    pub interval: Span,
    /// Maximum time until a ping is acknowledged.
    pub timeout: Span,
}

/// Resource limits and time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a message in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of concurrent streams of a connection.
    pub max_streams: u32,
    /// Maximum number of bytes queued for sending on one stream.
    pub max_queued_bytes: usize,
    /// Maximum duration of the handshake, and of receiving the rest of a partly received message.
    pub progress_timeout: Span,
    /// Keep-alive of a client, which sends a ping once the last acknowledgement is older than the interval.
    pub client_keepalive: KeepAlive,
    /// Keep-alive of a server, which sends a ping only after receiving nothing for the interval.
    pub server_keepalive: KeepAlive,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_streams: 16,
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

/// The gRPC status codes that this project uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The stream ended without an error.
    Ok,
    /// The request is malformed, regardless of the server's state.
    InvalidArgument,
    /// The peer took too long.
    DeadlineExceeded,
    /// A limit or quota is exceeded.
    ResourceExhausted,
    /// The peer lacks the permission for the request.
    PermissionDenied,
    /// The server does not implement the method.
    Unimplemented,
    /// The service is currently unavailable; a retry may succeed.
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
