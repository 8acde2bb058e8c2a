//! One connection of an operator: bytes in, one request, bytes out.

use super::api_error::{ApiError, HttpStatus};
use super::request::AdminRequest;
use super::REQUEST_LIMIT_BYTES;
use serde_json::{json, Value};
use std::io::{self, ErrorKind, Read, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use wheelspread::time::Moment;
use wheelspread_grpc::tls::speaks_for;
use wheelspread_grpc::Socket;

/// Bytes read from a socket at a time.
const READ_CHUNK_BYTES: usize = 4096;

/// The socket of a connection.
pub enum AdminSocket {
    /// Through `admin.sock` or `read.sock`.
    Unix(UnixStream),
    /// Through the loopback port.
    Tls(Box<Socket>),
}

impl AdminSocket {
    /// The descriptor to poll.
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

    /// Sends what was encrypted and is not sent yet.
    fn flush(&mut self) -> io::Result<()> {
        match self {
            AdminSocket::Unix(_) => Ok(()),
            AdminSocket::Tls(socket) => socket.push(),
        }
    }
}

/// What a caller may do, by the listener that it came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessRights {
    /// Ask only.
    Read,
    /// Ask and order.
    Order,
    /// Ask, and order if its certificate has a name that may.
    ByCertificate,
}

/// A connection and its one request.
pub struct AdminConnection {
    socket: AdminSocket,
    rights: AccessRights,
    input: Vec<u8>,
    output: Vec<u8>,
    opened_at: Moment,
    /// The order whose result is to be answered.
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

    /// When it was accepted.
    pub fn opened_at(&self) -> Moment {
        self.opened_at
    }

    /// The order whose result it waits for.
    pub fn pending_order(&self) -> Option<u64> {
        self.pending_order
    }

    /// Whether its request is still to come.
    pub fn awaits_request(&self) -> bool {
        !self.is_answered && self.pending_order.is_none()
    }

    /// Whether an answer is still to come or to be sent.
    pub fn is_pending(&self) -> bool {
        self.pending_order.is_some() || !self.output.is_empty()
    }

    /// Lets the answer wait until this order has a result.
    pub fn wait_for(&mut self, order: u64) {
        self.pending_order = Some(order);
    }

    /// The request, once all of it was received.
    pub fn parse_request(&self) -> Result<Option<AdminRequest>, ApiError> {
        AdminRequest::parse(&self.input)
    }

    /// Whether it may order; `writer_names` are the certificate names that may.
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
        let peer = socket.peer();
        peer.get()
            .is_some_and(|certificate| names.iter().any(|name| speaks_for(certificate, name)))
    }

    /// The listener that it came through, for the audit log.
    pub fn entry_point(&self) -> &'static str {
        match self.rights {
            AccessRights::Order => "admin.sock",
            AccessRights::Read => "read.sock",
            AccessRights::ByCertificate => "tls",
        }
    }

    /// Receives what is there; `false` when nothing more will come, or too much came.
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

    /// Puts a successful answer into the output.
    pub fn respond(&mut self, body: &Value) {
        self.respond_with(HttpStatus::Ok, body);
    }

    /// Puts an error into the output.
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

    /// Sends what is in the output; `true` when all of an answer was sent, or never will be.
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
