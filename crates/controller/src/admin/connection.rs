//! An operator's connection, which carries one request and its response.

use super::api_error::{ApiError, HttpStatus};
use super::request::AdminRequest;
use super::REQUEST_LIMIT_BYTES;
use serde_json::{json, Value};
use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use wheelspread::time::Moment;
use wheelspread_grpc::tls::valid_for;
use wheelspread_grpc::Socket;

/// Size of the buffer for one read from a socket.
const READ_CHUNK_BYTES: usize = 4096;

/// The socket of a connection.
pub enum AdminSocket {
    /// A connection to `admin.sock` or `read.sock`.
    Unix(UnixStream),
    /// A connection to the loopback port.
    Tls(Box<Socket>),
}

impl AdminSocket {
    /// The file descriptor to poll.
    pub fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            AdminSocket::Unix(stream) => stream.as_fd(),
            AdminSocket::Tls(socket) => socket.as_fd(),
        }
    }

    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            AdminSocket::Unix(stream) => stream.read(into),
            AdminSocket::Tls(socket) => socket.read(into),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            AdminSocket::Unix(stream) => stream.write(bytes),
            AdminSocket::Tls(socket) => socket.write(bytes),
        }
    }

    /// Sends encrypted bytes that are still buffered.
    fn flush(&mut self) -> io::Result<()> {
        match self {
            AdminSocket::Unix(_) => Ok(()),
            AdminSocket::Tls(socket) => socket.flush(),
        }
    }
}

/// What a caller may do, by the listener that it connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRights {
    /// Send queries.
    Read,
    /// Send queries and orders.
    Order,
    /// Send queries, and orders if its certificate has one of the listed names.
    ByCertificate,
}

/// A connection with its request and response.
pub struct AdminConnection {
    socket: AdminSocket,
    rights: AccessRights,
    input: Vec<u8>,
    output: Vec<u8>,
    opened_at: Moment,
    /// The number of the order whose result the response waits for.
    pending_order: Option<u64>,
    is_answered: bool,
}

impl AdminConnection {
    /// A connection that was just accepted.
    pub fn new(socket: AdminSocket, rights: AccessRights, now: Moment) -> AdminConnection {
        AdminConnection {
            socket,
            rights,
            input: Vec::new(),
            output: Vec::new(),
            opened_at: now,
            pending_order: None,
            is_answered: false,
        }
    }

    /// When the connection was accepted.
    pub fn opened_at(&self) -> Moment {
        self.opened_at
    }

    /// The number of the order whose result the response waits for.
    pub fn pending_order(&self) -> Option<u64> {
        self.pending_order
    }

    /// Whether the connection allows only queries.
    pub fn is_reader(&self) -> bool {
        self.rights == AccessRights::Read
    }

    /// Whether the request is not served yet.
    pub fn awaits_request(&self) -> bool {
        !self.is_answered && self.pending_order.is_none()
    }

    /// Whether a response is still to be made or to be sent.
    pub fn is_pending(&self) -> bool {
        self.pending_order.is_some() || !self.output.is_empty()
    }

    /// Defers the response until the order with this number has a result.
    pub fn wait_for(&mut self, order: u64) {
        self.pending_order = Some(order);
    }

    /// The request; `None` until it is completely received.
    pub fn parse_request(&self) -> Result<Option<AdminRequest>, ApiError> {
        AdminRequest::parse(&self.input)
    }

    /// Whether the caller may send orders; `writer_names` are the certificate names that may.
    pub fn may_order(&self, writer_names: &[String]) -> bool {
        match self.rights {
            AccessRights::Order => true,
            AccessRights::Read => false,
            AccessRights::ByCertificate => self.has_certificate_for(writer_names),
        }
    }

    fn has_certificate_for(&self, names: &[String]) -> bool {
        let AdminSocket::Tls(socket) = &self.socket else {
            return false;
        };
        let peer = socket.peer_certificate();
        peer.get()
            .is_some_and(|certificate| names.iter().any(|name| valid_for(certificate, name)))
    }

    /// The name of the listener that accepted the connection, for the audit log.
    pub fn entry_point(&self) -> &'static str {
        match self.rights {
            AccessRights::Order => "admin.sock",
            AccessRights::Read => "read.sock",
            AccessRights::ByCertificate => "tls",
        }
    }

    /// Reads until the socket would block. `false` if the peer closed its side, reading failed, or the request is
    /// longer than [`REQUEST_LIMIT_BYTES`].
    pub fn receive(&mut self) -> bool {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match self.socket.read(&mut chunk) {
                Ok(0) => return false,
                Ok(count) if self.input.len() + count <= REQUEST_LIMIT_BYTES => {
                    self.input.extend_from_slice(&chunk[..count]);
                }
                Ok(_) => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
    }

    /// Makes the response to a request that succeeded.
    pub fn respond(&mut self, body: &Value) {
        self.respond_with(HttpStatus::Ok, body);
    }

    /// Makes the response to a request that failed.
    pub fn respond_error(&mut self, error: &ApiError) {
        self.respond_with(error.status(), &json!({ "error": error.to_string() }));
    }

    fn respond_with(&mut self, status: HttpStatus, body: &Value) {
        let body = format!("{body}\n");
        self.output = format!(
            "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n{body}",
            status.code(),
            status.phrase(),
            body.len()
        )
        .into_bytes();
        self.is_answered = true;
        self.pending_order = None;
    }

    /// Sends until the socket would block. `true` if the whole response was sent, or the socket failed.
    pub fn send(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.socket.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
        match self.socket.flush() {
            Ok(()) => self.is_answered,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}
