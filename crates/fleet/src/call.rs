//! One request to one controller. The call returns by its deadline even if the controller stops in the middle of an
//! answer, accepts the connection and never answers, sends something other than HTTP, or sends a very large answer.

mod connection;

use connection::connect;
use serde_json::Value;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;
use wheelspread_http1::{parse_response, Framing, Limits};

/// The address of a controller's API for operators.
#[derive(Clone, Debug)]
pub enum ControllerAddress {
    /// The path of a Unix socket on this machine.
    Unix(PathBuf),
    /// A TCP port that requires TLS with a client certificate.
    Tls {
        /// The IP address and port.
        address: SocketAddrV4,
        /// The name in the controller's certificate.
        server_name: String,
        /// The client's TLS configuration.
        tls: ClientTls,
    },
}

/// The client's TLS configuration. Its `Debug` text omits the keys.
#[derive(Clone)]
pub struct ClientTls(pub Arc<rustls::ClientConfig>);

impl std::fmt::Debug for ClientTls {
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

/// Why a call has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The connection cannot be opened, or failed before the first byte of the answer.
    #[error("no process accepts connections: {0}")]
    Unreachable(String),
    /// The controller sent no byte of the answer within this time.
    #[error("no answer within {0}")]
    Timeout(String),
    /// The answer stopped after this number of bytes, before it was complete.
    #[error("its answer stopped after {0} bytes")]
    Truncated(usize),
    /// The body of the answer is longer than this number of MiB.
    #[error("its answer is longer than {0} MiB")]
    TooLong(usize),
    /// The answer is not HTTP with a stated length and a JSON body.
    #[error("its answer can't be read: {0}")]
    Malformed(String),
    /// The controller refused the request.
    #[error("{reason}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The controller's reason.
        reason: String,
    },
    /// The controller does not serve the path, because its program is older than the client.
    #[error("it does not serve {0}: an older program")]
    UnsupportedPath(String),
}

impl RequestError {
    /// Whether a retry could have a different result.
    pub fn is_transient(&self) -> bool {
        !matches!(
            self,
            RequestError::Refused { .. } | RequestError::UnsupportedPath(_)
        )
    }
}

/// The maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

const READ_BUFFER_BYTES: usize = 16 << 10;

/// Sends a request and reads the answer. Returns by `until`.
pub fn call(
    address: &ControllerAddress,
    request: &Request,
    until: Instant,
) -> Result<Value, RequestError> {
    let allowed = until
        .saturating_duration_since(Instant::now())
        .as_secs_f64();
    let mut connection = connect(address, until)?;
    let text = request.text();
    let mut unsent = text.as_bytes();
    let mut received = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(if received.is_empty() {
                RequestError::Timeout(format!("{allowed:.1} s"))
            } else {
                RequestError::Truncated(received.len())
            });
        }
        connection
            .set_timeout(left)
            .map_err(|error| RequestError::Unreachable(error.to_string()))?;
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
            Ok(is_closed) => {
                if let Some(answer) = parse_answer(&received, &request.target)? {
                    return answer;
                }
                if is_closed {
                    return Err(RequestError::Truncated(received.len()));
                }
            }
            Err(error) if is_temporary(&error) => {}
            Err(_) if !received.is_empty() => return Err(RequestError::Truncated(received.len())),
            Err(error) => return Err(RequestError::Unreachable(error.to_string())),
        }
    }
}

/// Whether the read or write can be repeated: it was interrupted or timed out. The loop checks the deadline itself.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut
    )
}

/// Parses an answer; `None` if it is not complete yet. The inner result is the controller's answer, the outer error
/// means that the bytes cannot be parsed.
fn parse_answer(
    bytes: &[u8],
    target: &str,
) -> Result<Option<Result<Value, RequestError>>, RequestError> {
    let head = parse_response(bytes, false, Limits::default());
    let Some(head) = head.map_err(|error| RequestError::Malformed(error.to_string()))? else {
        return Ok(None);
    };
    let rest = &bytes[head.length..];
    let body = match head.framing {
        Framing::Length(length) if length > MAX_BODY_BYTES as u64 => {
            return Err(RequestError::TooLong(MAX_BODY_BYTES >> 20))
        }
        Framing::Length(length) => rest.get(..length as usize),
        Framing::None => Some(&rest[..0]),
        _ => {
            return Err(RequestError::Malformed(
                "it has no stated length".to_string(),
            ))
        }
    };
    let Some(body) = body else {
        return Ok(None);
    };
    let value = serde_json::from_slice::<Value>(body)
        .map_err(|error| RequestError::Malformed(error.to_string()))?;
    if head.status == 200 {
        return Ok(Some(Ok(value)));
    }
    let reason = value["error"]
        .as_str()
        .unwrap_or("it says no reason")
        .to_string();
    // A 404 with this text means that the path is unknown, as with an older program. A 404 with another text is about
    // an unknown item under a known path.
    if head.status == 404 && reason.ends_with("is not served here") {
        return Ok(Some(Err(RequestError::UnsupportedPath(target.to_string()))));
    }
    Ok(Some(Err(RequestError::Refused {
        status: head.status,
        reason,
    })))
}
