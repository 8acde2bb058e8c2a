//! One HTTP request to discovery or a node, and its response, which is received incrementally.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use wheelspread_http1::{parse_response, Body, Limits, MessageError};
use wheelspread_reactor as reactor;

/// Limit of the bytes of a response body that were received and not taken out yet.
const BODY_BYTES_MAX: usize = 4 << 20;

/// Why an exchange has failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] MessageError),
    /// The connection was closed before the response was complete.
    #[error("the connection was closed before the response was complete")]
    Truncated,
    /// More of the body is buffered than the limit.
    #[error("the response body exceeds {0} bytes")]
    TooLong(usize),
}

/// A request and its response, each of which may be incomplete.
pub struct Exchange {
    /// The socket.
    pub stream: TcpStream,
    request: Vec<u8>,
    sent: usize,
    /// The received part of the response's head, until it is complete.
    head: Vec<u8>,
    body_decoder: Option<Body>,
    /// The response's status; 0 before its head is complete.
    pub status: u16,
    /// The received part of the body. The caller takes bytes out.
    pub body: Vec<u8>,
    /// Bytes of the body that were already searched for the end of a line.
    searched_bytes: usize,
    /// All received bytes, including the head.
    pub received_bytes: u64,
}

/// Whether the socket can't be written or read now. This includes a socket that is not connected yet.
fn is_not_ready(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}

impl Exchange {
    /// Begins to connect, and prepares a GET request.
    pub fn get(address: SocketAddrV4, target: &str) -> io::Result<Exchange> {
        let stream = reactor::connect(address.ip().octets(), address.port())?;
        let request =
            format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n\r\n").into_bytes();
        Ok(Exchange {
            stream,
            request,
            sent: 0,
            head: Vec::new(),
            body_decoder: None,
            status: 0,
            body: Vec::new(),
            searched_bytes: 0,
            received_bytes: 0,
        })
    }

    /// Writes and reads without blocking. Returns whether the response is complete.
    pub fn progress(&mut self, scratch: &mut [u8]) -> Result<bool, ExchangeError> {
        self.send()?;
        self.receive(scratch)
    }

    fn send(&mut self) -> Result<(), ExchangeError> {
        while self.sent < self.request.len() {
            match self.stream.write(&self.request[self.sent..]) {
                Ok(0) => return Err(ExchangeError::Truncated),
                Ok(count) => self.sent += count,
                Err(error) if is_not_ready(&error) => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    fn receive(&mut self, scratch: &mut [u8]) -> Result<bool, ExchangeError> {
        loop {
            match self.stream.read(scratch) {
                Ok(0) => return self.finish_at_end(),
                Ok(count) => {
                    self.received_bytes += count as u64;
                    if self.decode(&scratch[..count])? {
                        return Ok(true);
                    }
                }
                Err(error) if is_not_ready(&error) => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// The end of the connection completes only a body whose length is given by it; any other response is truncated.
    fn finish_at_end(&self) -> Result<bool, ExchangeError> {
        let decoder = self.body_decoder.as_ref();
        if decoder.is_some_and(Body::ends_with_connection) {
            Ok(true)
        } else {
            Err(ExchangeError::Truncated)
        }
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<bool, ExchangeError> {
        if let Some(decoder) = &mut self.body_decoder {
            decoder.read(bytes, &mut self.body)?;
        } else {
            self.head.extend_from_slice(bytes);
            let Some(head) = parse_response(&self.head, false, Limits::default())? else {
                return Ok(false);
            };
            let head_bytes = std::mem::take(&mut self.head);
            let mut decoder = Body::new(head.framing);
            decoder.read(&head_bytes[head.length..], &mut self.body)?;
            (self.status, self.body_decoder) = (head.status, Some(decoder));
        }
        if self.body.len() > BODY_BYTES_MAX {
            return Err(ExchangeError::TooLong(BODY_BYTES_MAX));
        }
        Ok(self.body_decoder.as_ref().is_some_and(Body::is_complete))
    }

    /// Takes the complete lines out of the body, without empty ones. No byte is searched twice, since a long list may
    /// arrive in reads of single bytes.
    pub fn take_lines(&mut self) -> Vec<Vec<u8>> {
        let unsearched = self.searched_bytes.min(self.body.len());
        let last_end = self.body[unsearched..]
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map(|position| unsearched + position);
        let Some(last_end) = last_end else {
            self.searched_bytes = self.body.len();
            return Vec::new();
        };
        let rest = self.body.split_off(last_end + 1);
        self.searched_bytes = rest.len();
        let complete = std::mem::replace(&mut self.body, rest);
        complete
            .split(|byte| *byte == b'\n')
            .map(<[u8]>::to_vec)
            .filter(|line| !line.is_empty())
            .collect()
    }
}
