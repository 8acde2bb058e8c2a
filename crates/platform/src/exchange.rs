//! One HTTP request to discovery or a node and what comes back of it, piece by piece.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use wheelspread_http1::{response, BadMessage, Body, Limits};
use wheelspread_reactor as reactor;

/// What may be carried and not yet taken.
const MOST: usize = 4 << 20;

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] BadMessage),
    #[error("the connection ended within the answer")]
    Cut,
    #[error("an answer of more than {0} bytes")]
    TooLong(usize),
}

pub struct Exchange {
    pub stream: TcpStream,
    request: Vec<u8>,
    sent: usize,
    head: Vec<u8>,
    body: Option<Body>,
    pub status: u16,
    /// What the body carried so far; the caller takes it out.
    pub carried: Vec<u8>,
    /// How far no line's end is.
    looked: usize,
    /// Bytes that have come.
    pub came: u64,
}

impl Exchange {
    pub fn get(address: SocketAddrV4, target: &str) -> io::Result<Exchange> {
        let stream = reactor::connect(address.ip().octets(), address.port())?;
        let request =
            format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n\r\n").into_bytes();
        Ok(Exchange {
            stream,
            request,
            sent: 0,
            head: Vec::new(),
            body: None,
            status: 0,
            carried: Vec::new(),
            looked: 0,
            came: 0,
        })
    }

    /// Writes and reads what it can; whether the answer is whole.
    pub fn turn(&mut self, scratch: &mut [u8]) -> Result<bool, Failed> {
        while self.sent < self.request.len() {
            match self.stream.write(&self.request[self.sent..]) {
                Ok(0) => return Err(Failed::Cut),
                Ok(count) => self.sent += count,
                // A connection that is not through yet takes nothing.
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::NotConnected
                    ) =>
                {
                    break
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        loop {
            let count = match self.stream.read(scratch) {
                Ok(0) if self.body.as_ref().is_some_and(Body::ends_with_connection) => {
                    return Ok(true)
                }
                Ok(0) => return Err(Failed::Cut),
                Ok(count) => count,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::WouldBlock | ErrorKind::NotConnected
                    ) =>
                {
                    return Ok(false)
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error.into()),
            };
            self.came += count as u64;
            if self.take(&scratch[..count])? {
                return Ok(true);
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Result<bool, Failed> {
        if let Some(body) = &mut self.body {
            body.read(bytes, &mut self.carried)?;
        } else {
            self.head.extend_from_slice(bytes);
            let Some(head) = response(&self.head, false, Limits::default())? else {
                return Ok(false);
            };
            let head_bytes = std::mem::take(&mut self.head);
            let mut body = Body::new(head.framing);
            body.read(&head_bytes[head.length..], &mut self.carried)?;
            (self.status, self.body) = (head.status, Some(body));
        }
        if self.carried.len() > MOST {
            return Err(Failed::TooLong(MOST));
        }
        Ok(self.body.as_ref().is_some_and(Body::done))
    }

    /// The whole lines that came since they were last taken. No byte is looked at twice: a long list may
    /// come in pieces of a byte.
    pub fn lines(&mut self) -> Vec<Vec<u8>> {
        let new = self.looked.min(self.carried.len());
        let end = self.carried[new..]
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map(|at| new + at);
        let Some(end) = end else {
            self.looked = self.carried.len();
            return Vec::new();
        };
        let rest = self.carried.split_off(end + 1);
        self.looked = rest.len();
        let whole = std::mem::replace(&mut self.carried, rest);
        whole
            .split(|byte| *byte == b'\n')
            .map(<[u8]>::to_vec)
            .filter(|line| !line.is_empty())
            .collect()
    }
}
