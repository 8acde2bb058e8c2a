//! The listeners for operators: two Unix sockets under the root of tables, and a loopback port under mutual TLS.

use super::connection::{AccessRights, AdminSocket};
use crate::file::AdministrationSettings;
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tracing::warn;
use wheelspread_grpc::{ServerConfig, Socket, TlsServer};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};

/// File mode of `admin.sock`: only the controller's user may connect.
const ADMIN_SOCKET_MODE: u32 = 0o600;
/// File mode of `read.sock`: every user of the machine may connect.
const READ_SOCKET_MODE: u32 = 0o666;

/// Maximum number of connections accepted at once; the poll then reports the listener again.
const ACCEPT_BATCH: usize = 64;

/// Offsets of the listeners' tokens from the first token.
const ADMIN_SOCKET: u64 = 0;
const READ_SOCKET: u64 = 1;
const TLS_PORT: u64 = 2;
const LISTENER_COUNT: u64 = 3;

struct UnixSocket {
    path: PathBuf,
    listener: UnixListener,
}

impl UnixSocket {
    fn bind(path: PathBuf, mode: u32) -> io::Result<UnixSocket> {
        // Removes the socket file that a killed controller left behind.
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        std::fs::set_permissions(&path, PermissionsExt::from_mode(mode))?;
        listener.set_nonblocking(true)?;
        Ok(UnixSocket { path, listener })
    }

    fn accept(&self) -> Vec<AdminSocket> {
        let mut accepted = Vec::new();
        for _ in 0..ACCEPT_BATCH {
            let Ok((stream, _)) = self.listener.accept() else {
                break;
            };
            if stream.set_nonblocking(true).is_ok() {
                accepted.push(AdminSocket::Unix(stream));
            }
        }
        accepted
    }
}

impl Drop for UnixSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

struct TlsPort {
    listener: TcpListener,
    tls: Arc<ServerConfig>,
}

impl TlsPort {
    fn accept(&self) -> Vec<AdminSocket> {
        let mut accepted = Vec::new();
        for stream in reactor::accept(&self.listener).0 {
            match TlsServer::new(self.tls.clone()) {
                Ok(tls) => accepted.push(AdminSocket::Tls(Box::new(Socket::tls(stream, tls)))),
                Err(error) => warn!(%error, "operator connection rejected"),
            }
        }
        accepted
    }
}

/// The operators' listening sockets.
pub struct Listeners {
    admin_socket: UnixSocket,
    read_socket: UnixSocket,
    port: Option<TlsPort>,
    first_token: Token,
}

impl Listeners {
    /// Binds all listeners and adds them to the poll.
    pub fn open(
        root: &Path,
        port: Option<(&AdministrationSettings, Arc<ServerConfig>)>,
        poll: &Poll,
        first_token: Token,
    ) -> io::Result<Listeners> {
        let token = |offset| Token(first_token.0 + offset);
        let port = match port {
            None => None,
            Some((settings, tls)) => {
                let listener = reactor::listen(settings.listen)?;
                poll.add(&listener, token(TLS_PORT), Interest::Readable)?;
                Some(TlsPort { listener, tls })
            }
        };
        // `admin.sock` is bound last, so that its presence shows that all listeners are bound.
        let read_socket = UnixSocket::bind(root.join("read.sock"), READ_SOCKET_MODE)?;
        let admin_socket = UnixSocket::bind(root.join("admin.sock"), ADMIN_SOCKET_MODE)?;
        poll.add(
            &admin_socket.listener,
            token(ADMIN_SOCKET),
            Interest::Readable,
        )?;
        poll.add(
            &read_socket.listener,
            token(READ_SOCKET),
            Interest::Readable,
        )?;
        Ok(Listeners {
            admin_socket,
            read_socket,
            port,
            first_token,
        })
    }

    /// Whether a token belongs to a listener.
    pub fn contains(&self, token: Token) -> bool {
        (self.first_token.0..self.first_token.0 + LISTENER_COUNT).contains(&token.0)
    }

    /// Sets the keys for new connections to the port.
    pub fn set_tls(&mut self, tls: Arc<ServerConfig>) {
        if let Some(port) = &mut self.port {
            port.tls = tls;
        }
    }

    /// Accepts pending connections of the listener with this token, a batch at most, and returns each with its access rights.
    pub fn accept(&self, token: Token) -> Vec<(AdminSocket, AccessRights)> {
        let (accepted, rights) = match token.0 - self.first_token.0 {
            ADMIN_SOCKET => (self.admin_socket.accept(), AccessRights::Order),
            READ_SOCKET => (self.read_socket.accept(), AccessRights::Read),
            _ => {
                let accepted = self.port.as_ref().map(TlsPort::accept);
                (accepted.unwrap_or_default(), AccessRights::ByCertificate)
            }
        };
        accepted
            .into_iter()
            .map(|socket| (socket, rights))
            .collect()
    }
}
