//! Connections to controllers, over a Unix socket or TLS.

use super::{Failed, Line};
use rustix::net::{AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use rustls::pki_types::ServerName;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Between two attempts at a socket whose controller does not accept.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A timeout of zero would mean none.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// An open connection to a controller.
pub(super) enum Connection {
    Unix(UnixStream),
    Tls(Box<rustls::StreamOwned<rustls::ClientConnection, TcpStream>>),
}

impl Connection {
    /// Bounds the next read and write.
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

    /// Reads decrypted bytes; 0 is the end of the connection.
    pub fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Connection::Unix(stream) => stream.read(into),
            Connection::Tls(stream) => stream.read(into),
        }
    }

    /// Writes bytes; how many were taken.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Connection::Unix(stream) => stream.write(bytes),
            Connection::Tls(stream) => stream
                .write(bytes)
                .and_then(|count| stream.flush().map(|()| count)),
        }
    }
}

/// A Unix socket whose controller hangs accepts no more connections; connecting must not wait for it forever.
fn connect_unix(path: &Path, until: Instant) -> Result<UnixStream, Failed> {
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
            Err(rustix::io::Errno::AGAIN) if Instant::now() + CONNECT_RETRY_INTERVAL < until => {
                std::thread::sleep(CONNECT_RETRY_INTERVAL);
            }
            Err(error) => return Err(failed(error)),
        }
    }
}

/// Connects before `until`.
pub(super) fn connect(line: &Line, until: Instant) -> Result<Connection, Failed> {
    let left = until
        .saturating_duration_since(Instant::now())
        .max(MIN_TIMEOUT);
    match line {
        Line::Unix(path) => connect_unix(path, until).map(Connection::Unix),
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
            Ok(Connection::Tls(Box::new(rustls::StreamOwned::new(
                tls, socket,
            ))))
        }
    }
}
