//! One request to one conductor, over by a stated time whatever the other side does: hangs half-way through an
//! answer, accepts and never answers, answers what is no HTTP, or a gigabyte.

use rustix::net::{AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use rustls::pki_types::ServerName;
use serde_json::Value;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wheelspread_http1::{response, Framing, Limits};

/// Where a conductor can be asked.
#[derive(Clone, Debug)]
pub enum Line {
    /// A socket on this machine.
    Unix(PathBuf),
    /// A loopback port, under TLS with a certificate of ours.
    Tls {
        address: SocketAddrV4,
        server_name: String,
        secured: Secured,
    },
}

/// Keys of the side that calls.
#[derive(Clone)]
pub struct Secured(pub Arc<rustls::ClientConfig>);

impl std::fmt::Debug for Secured {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Secured")
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: &'static str,
    pub target: String,
    pub body: Option<Value>,
}

impl Request {
    pub fn get(target: impl Into<String>) -> Request {
        Request {
            method: "GET",
            target: target.into(),
            body: None,
        }
    }

    pub fn post(target: impl Into<String>, body: Value) -> Request {
        Request {
            method: "POST",
            target: target.into(),
            body: Some(body),
        }
    }
}

/// Why there is no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failed {
    #[error("nobody listens: {0}")]
    Unreachable(String),
    #[error("no answer within {0}")]
    Silent(String),
    #[error("its answer stopped after {0} bytes")]
    Stopped(usize),
    #[error("its answer is longer than {0} MiB")]
    TooLong(usize),
    #[error("its answer can't be read: {0}")]
    Garbage(String),
    /// It was understood and refused.
    #[error("{reason}")]
    Refused { status: u16, reason: String },
    #[error("it does not serve {0}: an older program")]
    Older(String),
}

impl Failed {
    /// Whether asking again could bring something else.
    pub fn passes(&self) -> bool {
        !matches!(self, Failed::Refused { .. } | Failed::Older(_))
    }
}

const LONGEST: usize = 16 << 20;
/// Between two attempts at a socket whose conductor does not accept.
const AGAIN: Duration = Duration::from_millis(20);

enum Wire {
    Unix(UnixStream),
    Tls(Box<rustls::StreamOwned<rustls::ClientConnection, TcpStream>>),
}

impl Wire {
    fn patience(&self, left: Duration) -> io::Result<()> {
        let left = Some(left.max(Duration::from_millis(1)));
        match self {
            Wire::Unix(stream) => stream
                .set_read_timeout(left)
                .and(stream.set_write_timeout(left)),
            Wire::Tls(stream) => stream
                .sock
                .set_read_timeout(left)
                .and(stream.sock.set_write_timeout(left)),
        }
    }

    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Wire::Unix(stream) => stream.read(into),
            Wire::Tls(stream) => stream.read(into),
        }
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Wire::Unix(stream) => stream.write(bytes),
            Wire::Tls(stream) => stream
                .write(bytes)
                .and_then(|count| stream.flush().map(|()| count)),
        }
    }
}

/// A Unix socket whose conductor hangs takes no more connections; connecting must not wait for it for good.
fn unix(path: &PathBuf, until: Instant) -> Result<UnixStream, Failed> {
    let failed =
        |error: rustix::io::Errno| Failed::Unreachable(format!("{}: {error}", path.display()));
    let address = SocketAddrUnix::new(path).map_err(failed)?;
    loop {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = rustix::net::socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)
            .map_err(failed)?;
        match rustix::net::connect(&socket, &address) {
            Ok(()) => {
                let stream = UnixStream::from(socket);
                let blocking = stream.set_nonblocking(false);
                return blocking
                    .map(|()| stream)
                    .map_err(|e| Failed::Unreachable(e.to_string()));
            }
            Err(rustix::io::Errno::AGAIN) if Instant::now() + AGAIN < until => {
                std::thread::sleep(AGAIN)
            }
            Err(error) => return Err(failed(error)),
        }
    }
}

fn connect(line: &Line, until: Instant) -> Result<Wire, Failed> {
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    match line {
        Line::Unix(path) => unix(path, until).map(Wire::Unix),
        Line::Tls {
            address,
            server_name,
            secured,
        } => {
            let failed = |text: String| Failed::Unreachable(format!("{address}: {text}"));
            let socket = TcpStream::connect_timeout(&(*address).into(), left);
            let socket = socket.map_err(|error| failed(error.to_string()))?;
            let name = ServerName::try_from(server_name.clone())
                .map_err(|error| failed(error.to_string()))?;
            let tls = rustls::ClientConnection::new(secured.0.clone(), name);
            let tls = tls.map_err(|error| failed(error.to_string()))?;
            Ok(Wire::Tls(Box::new(rustls::StreamOwned::new(tls, socket))))
        }
    }
}

/// Asks, and is back by `until`.
pub fn call(line: &Line, request: &Request, until: Instant) -> Result<Value, Failed> {
    let begin = Instant::now();
    let allowed = until.saturating_duration_since(begin).as_secs_f64();
    let silent = || Failed::Silent(format!("{allowed:.1} s"));
    let mut wire = connect(line, until)?;
    let body = request
        .body
        .as_ref()
        .map_or(String::new(), Value::to_string);
    let (method, target, length) = (request.method, &request.target, body.len());
    let text = format!(
        "{method} {target} HTTP/1.1\r\nhost: conductor\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut out = text.as_bytes();
    let mut answer = Vec::new();
    let mut piece = [0; 16 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(if answer.is_empty() {
                silent()
            } else {
                Failed::Stopped(answer.len())
            });
        }
        wire.patience(left)
            .map_err(|error| Failed::Unreachable(error.to_string()))?;
        let moved = if out.is_empty() {
            wire.read(&mut piece).map(|count| {
                answer.extend_from_slice(&piece[..count]);
                count == 0
            })
        } else {
            wire.write(out).map(|count| {
                out = &out[count..];
                false
            })
        };
        match moved {
            Ok(ended) => {
                if let Some(told) = read(&answer, ended, target)? {
                    return told;
                }
                if ended {
                    return Err(Failed::Stopped(answer.len()));
                }
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // What it had said before it went is read.
            Err(error) if answer.is_empty() && out.is_empty() => {
                return Err(Failed::Unreachable(error.to_string()));
            }
            Err(_) if !answer.is_empty() => return Err(Failed::Stopped(answer.len())),
            Err(error) => return Err(Failed::Unreachable(error.to_string())),
        }
    }
}

/// An answer, once it is whole.
fn read(bytes: &[u8], ended: bool, target: &str) -> Result<Option<Result<Value, Failed>>, Failed> {
    let head = response(bytes, false, Limits::default());
    let Some(head) = head.map_err(|error| Failed::Garbage(error.to_string()))? else {
        return Ok(None);
    };
    let body = &bytes[head.length..];
    let whole = match head.framing {
        Framing::Length(length) if length > LONGEST as u64 => {
            return Err(Failed::TooLong(LONGEST >> 20))
        }
        Framing::Length(length) => body.get(..length as usize),
        Framing::None => Some(&body[..0]),
        _ => return Err(Failed::Garbage("it has no stated length".to_string())),
    };
    let Some(body) = whole else {
        return if ended {
            Err(Failed::Stopped(bytes.len()))
        } else {
            Ok(None)
        };
    };
    let told = serde_json::from_slice::<Value>(body)
        .map_err(|error| Failed::Garbage(error.to_string()))?;
    if head.status == 200 {
        return Ok(Some(Ok(told)));
    }
    let reason = told["error"]
        .as_str()
        .unwrap_or("it says no reason")
        .to_string();
    // An unknown path is an older program; an unknown thing under a known path is not.
    if head.status == 404 && reason.ends_with("is not served here") {
        return Ok(Some(Err(Failed::Older(target.to_string()))));
    }
    Ok(Some(Err(Failed::Refused {
        status: head.status,
        reason,
    })))
}
