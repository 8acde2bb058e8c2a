//! One request to one controller, which returns by its deadline whatever the other side does: it may hang within
//! an answer, accept and never answer, answer with something other than HTTP, or with a gigabyte.

mod connection;

use connection::connect;
use serde_json::Value;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;
use wheelspread_http1::{parse_response, Framing, Limits};

/// Where a controller can be called.
#[derive(Clone, Debug)]
pub enum Line {
    /// A socket on this machine.
    Unix(PathBuf),
    /// A port, under TLS with a client certificate.
    Tls {
        /// The port.
        address: SocketAddrV4,
        /// The name in the controller's certificate.
        server_name: String,
        /// The client's keys.
        secured: Secured,
    },
}

/// The client's TLS configuration, with its keys.
#[derive(Clone)]
pub struct Secured(pub Arc<rustls::ClientConfig>);

impl std::fmt::Debug for Secured {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("Secured")
    }
}

/// A request to the operators' API.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub target: String,
    /// The JSON body.
    pub body: Option<Value>,
}

impl Request {
    /// A GET request.
    pub fn get(target: impl Into<String>) -> Request {
        Request {
            method: "GET",
            target: target.into(),
            body: None,
        }
    }

    /// A POST request with a JSON body.
    pub fn post(target: impl Into<String>, body: Value) -> Request {
        Request {
            method: "POST",
            target: target.into(),
            body: Some(body),
        }
    }

    fn text(&self) -> String {
        let body = self.body.as_ref().map_or(String::new(), Value::to_string);
        format!(
            "{} {} HTTP/1.1\r\nhost: conductor\r\ncontent-length: {}\r\n\r\n{body}",
            self.method,
            self.target,
            body.len()
        )
    }
}

/// Why there is no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failed {
    /// The connection cannot be made, or broke before anything was answered.
    #[error("nobody listens: {0}")]
    Unreachable(String),
    /// Nothing was answered in this time.
    #[error("no answer within {0}")]
    Silent(String),
    /// The answer ended after so many bytes, before it was complete.
    #[error("its answer stopped after {0} bytes")]
    Stopped(usize),
    /// The answer is longer than so many MiB.
    #[error("its answer is longer than {0} MiB")]
    TooLong(usize),
    /// The answer is not HTTP with a JSON body.
    #[error("its answer can't be read: {0}")]
    Garbage(String),
    /// The request was understood and refused.
    #[error("{reason}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The controller's reason.
        reason: String,
    },
    /// The controller does not know the path, because it is older.
    #[error("it does not serve {0}: an older program")]
    Older(String),
}

impl Failed {
    /// Whether a retry could have another result.
    pub fn passes(&self) -> bool {
        !matches!(self, Failed::Refused { .. } | Failed::Older(_))
    }
}

/// The longest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

const READ_BUFFER_BYTES: usize = 16 << 10;

/// Sends a request and reads the answer; returns by `until`.
pub fn call(line: &Line, request: &Request, until: Instant) -> Result<Value, Failed> {
    let allowed = until
        .saturating_duration_since(Instant::now())
        .as_secs_f64();
    let mut connection = connect(line, until)?;
    let text = request.text();
    let mut unsent = text.as_bytes();
    let mut received = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(if received.is_empty() {
                Failed::Silent(format!("{allowed:.1} s"))
            } else {
                Failed::Stopped(received.len())
            });
        }
        connection
            .set_timeout(left)
            .map_err(|error| Failed::Unreachable(error.to_string()))?;
        let progress = if unsent.is_empty() {
            connection.read(&mut buffer).map(|count| {
                received.extend_from_slice(&buffer[..count]);
                count == 0
            })
        } else {
            connection.write(unsent).map(|count| {
                unsent = &unsent[count..];
                false
            })
        };
        match progress {
            Ok(has_ended) => {
                if let Some(answer) = parse_answer(&received, &request.target)? {
                    return answer;
                }
                if has_ended {
                    return Err(Failed::Stopped(received.len()));
                }
            }
            Err(error) if is_temporary(&error) => {}
            Err(_) if !received.is_empty() => return Err(Failed::Stopped(received.len())),
            Err(error) => return Err(Failed::Unreachable(error.to_string())),
        }
    }
}

/// Interrupted, or a timeout, which the loop checks itself.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut
    )
}

/// An answer once it is complete: the inner result is the controller's, the outer error an answer that cannot
/// be read.
fn parse_answer(bytes: &[u8], target: &str) -> Result<Option<Result<Value, Failed>>, Failed> {
    let head = parse_response(bytes, false, Limits::default());
    let Some(head) = head.map_err(|error| Failed::Garbage(error.to_string()))? else {
        return Ok(None);
    };
    let rest = &bytes[head.length..];
    let body = match head.framing {
        Framing::Length(length) if length > MAX_BODY_BYTES as u64 => {
            return Err(Failed::TooLong(MAX_BODY_BYTES >> 20))
        }
        Framing::Length(length) => rest.get(..length as usize),
        Framing::None => Some(&rest[..0]),
        _ => return Err(Failed::Garbage("it has no stated length".to_string())),
    };
    let Some(body) = body else {
        return Ok(None);
    };
    let value = serde_json::from_slice::<Value>(body)
        .map_err(|error| Failed::Garbage(error.to_string()))?;
    if head.status == 200 {
        return Ok(Some(Ok(value)));
    }
    let reason = value["error"]
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
