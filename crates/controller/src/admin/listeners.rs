//! The operators' ways in: two sockets under the root of tables, and a loopback port under mutual TLS.

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

/// Mode of `admin.sock`: the controller's user only.
const ADMIN_SOCKET_MODE: u32 = 0o600;
/// Mode of `read.sock`: everybody on the machine.
const READ_SOCKET_MODE: u32 = 0o666;

/// Offsets of the listeners' tokens from the first.
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
        // A socket that a killed controller left is taken away.
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
        while let Ok((stream, _)) = self.listener.accept() {
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
    /// Binds all of them and adds them to the poll.
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
        // `admin.sock` comes last: who sees it can use all of them.
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

    /// Whether a token belongs to one of them.
    pub fn contains(&self, token: Token) -> bool {
        (self.first_token.0..self.first_token.0 + LISTENER_COUNT).contains(&token.0)
    }

    /// Keys for connections to the port from now on.
    pub fn set_tls(&mut self, tls: Arc<ServerConfig>) {
        if let Some(port) = &mut self.port {
            port.tls = tls;
        }
    }

    /// All connections that wait at the listener of this token, with what they may do.
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
