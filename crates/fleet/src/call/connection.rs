//! Connections to controllers, over a Unix socket or TLS.

use super::{ControllerAddress, RequestError};
use rustix::net::{AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use rustls::pki_types::ServerName;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// The interval between two attempts to connect to a Unix socket whose queue of connections is full.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The minimum timeout of reads and writes; a socket rejects a timeout of zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// An open connection to a controller.
pub(super) enum Connection {
    Unix(UnixStream),
    Tls(Box<rustls::StreamOwned<rustls::ClientConnection, TcpStream>>),
}

impl Connection {
    /// Sets the timeout of following reads and writes.
    pub fn set_timeout(&self, left: Duration) -> io::Result<()> {
        let left = Some(left.max(MIN_TIMEOUT));
        match self {
            Connection::Unix(stream) => stream
                .set_read_timeout(left)
                .and(stream.set_write_timeout(left)),
            Connection::Tls(stream) => stream
                .sock
                .set_read_timeout(left)
                .and(stream.sock.set_write_timeout(left)),
        }
    }

    /// Reads plaintext bytes and returns their number; 0 means that the connection is closed.
    pub fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Connection::Unix(stream) => stream.read(into),
            Connection::Tls(stream) => stream.read(into),
        }
    }

    /// Writes plaintext bytes and returns how many were accepted.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Connection::Unix(stream) => stream.write(bytes),
            Connection::Tls(stream) => stream
                .write(bytes)
                .and_then(|count| stream.flush().map(|()| count)),
        }
    }
}

/// Connects to a Unix socket by `until`. The socket of a controller that hangs accepts no more connections once its
/// queue is full, and a blocking connect would wait forever.
fn connect_unix(path: &Path, until: Instant) -> Result<UnixStream, RequestError> {
    let failed = |error: rustix::io::Errno| {
        RequestError::Unreachable(format!("{}: {error}", path.display()))
    };
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
                    .map_err(|e| RequestError::Unreachable(e.to_string()));
            }
            Err(rustix::io::Errno::AGAIN) if Instant::now() + CONNECT_RETRY_INTERVAL < until => {
                std::thread::sleep(CONNECT_RETRY_INTERVAL);
            }
            Err(error) => return Err(failed(error)),
        }
    }
}

/// Connects to a controller by `until`.
pub(super) fn connect(
    address: &ControllerAddress,
    until: Instant,
) -> Result<Connection, RequestError> {
    let left = until
        .saturating_duration_since(Instant::now())
        .max(MIN_TIMEOUT);
    match address {
        ControllerAddress::Unix(path) => connect_unix(path, until).map(Connection::Unix),
        ControllerAddress::Tls {
            address,
            server_name,
            tls,
        } => {
            let failed = |text: String| RequestError::Unreachable(format!("{address}: {text}"));
            let socket = TcpStream::connect_timeout(&(*address).into(), left);
            let socket = socket.map_err(|error| failed(error.to_string()))?;
            let name = ServerName::try_from(server_name.clone())
                .map_err(|error| failed(error.to_string()))?;
            let tls = rustls::ClientConnection::new(tls.0.clone(), name);
            let tls = tls.map_err(|error| failed(error.to_string()))?;
            Ok(Connection::Tls(Box::new(rustls::StreamOwned::new(
                tls, socket,
            ))))
        }
    }
}
