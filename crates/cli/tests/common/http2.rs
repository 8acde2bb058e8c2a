//! An HTTP/2 client that writes frames by hand, to send what a sound library would not.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const WINDOW_UPDATE: u8 = 8;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
const HEADER_BYTES: usize = 9;
const MAX_FRAME_BYTES: usize = 16 << 10;
/// Window of a connection until the server opens it further.
const INITIAL_WINDOW: i64 = 65_535;

/// A connection with its flow-control window.
pub struct RawConnection {
    stream: TcpStream,
    received: Vec<u8>,
    window: i64,
    last_stream: u32,
    pub is_closed: bool,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// A header field as an HPACK literal without indexing; name and value are shorter than 127 bytes.
fn literal(name: &str, value: &str) -> Vec<u8> {
    let mut bytes = vec![0, name.len() as u8];
    bytes.extend(name.as_bytes());
    bytes.push(value.len() as u8);
    bytes.extend(value.as_bytes());
    bytes
}

impl RawConnection {
    pub fn dial(to: SocketAddrV4) -> RawConnection {
        let mut stream = TcpStream::connect(to).expect("the process listens");
        stream
            .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
            .expect("sent");
        stream.write_all(&frame(SETTINGS, 0, 0, &[])).expect("sent");
        stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .expect("set");
        stream
            .set_write_timeout(Some(Duration::from_millis(100)))
            .expect("set");
        RawConnection {
            stream,
            received: Vec::new(),
            window: INITIAL_WINDOW,
            last_stream: 0,
            is_closed: false,
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.is_closed |= self.stream.write_all(bytes).is_err();
    }

    /// Opens a gRPC stream; returns its id.
    pub fn open(&mut self, path: &str, more_fields: &[(&str, &str)]) -> u32 {
        // `:method POST` and `:scheme http` are entries of the static table.
        let mut block = vec![0x83, 0x86];
        let fields = [
            (":path", path),
            (":authority", "x"),
            ("content-type", "application/grpc"),
        ];
        for (name, value) in fields.iter().chain(more_fields) {
            block.extend(literal(name, value));
        }
        self.last_stream = if self.last_stream == 0 {
            1
        } else {
            self.last_stream + 2
        };
        self.send(&frame(HEADERS, END_HEADERS, self.last_stream, &block));
        self.last_stream
    }

    /// Sends the start of `bytes` as far as the connection's window and one frame allow; returns the count.
    pub fn send_data(&mut self, stream: u32, bytes: &[u8]) -> usize {
        let window = usize::try_from(self.window).unwrap_or(0);
        let count = bytes.len().min(window).min(MAX_FRAME_BYTES);
        if count > 0 {
            self.window -= count as i64;
            self.send(&frame(DATA, 0, stream, &bytes[..count]));
        }
        count
    }

    /// Reads what has arrived: acknowledges settings and takes window updates of the connection.
    pub fn receive(&mut self) {
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.is_closed = true,
            Ok(count) => self.received.extend(&buffer[..count]),
            Err(_) => {}
        }
        while self.received.len() >= HEADER_BYTES {
            let head = &self.received[..HEADER_BYTES];
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            if self.received.len() < HEADER_BYTES + length {
                return;
            }
            let (kind, flags) = (head[3], head[4]);
            let is_connection = head[5..9] == [0; 4];
            let payload: Vec<u8> = self
                .received
                .drain(..HEADER_BYTES + length)
                .skip(HEADER_BYTES)
                .collect();
            match kind {
                SETTINGS if flags & ACK == 0 => self.send(&frame(SETTINGS, ACK, 0, &[])),
                WINDOW_UPDATE if is_connection => {
                    let added = payload.try_into().map(u32::from_be_bytes);
                    self.window += i64::from(added.expect("four bytes"));
                }
                _ => {}
            }
        }
    }
}
