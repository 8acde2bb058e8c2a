//! Streams to a conductor, pending TLS where the file says so. Keys and roots are read at each dial, so that
//! what was swapped in is used from the next stream on.

use serde::Deserialize;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use wheelspread::time::Moment;
use wheelspread_grpc::tls::{client, KeyFiles};
use wheelspread_grpc::{ClientConnection, Limits, ServerName};

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSide {
    /// PendingRequest which a conductor's certificate has to lie.
    pub roots: PathBuf,
    /// For which it has to be.
    pub name: String,
    /// By which this proxy names itself, with `key`.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    #[serde(default)]
    pub key: Option<PathBuf>,
}

impl TlsSide {
    pub fn pending(mut self, base: &Path) -> TlsSide {
        self.roots = base.join(&self.roots);
        self.certificate = self.certificate.map(|path| base.join(path));
        self.key = self.key.map(|path| base.join(path));
        self
    }

    /// What can't be, if anything.
    pub fn flaw(&self) -> Option<&'static str> {
        if self.certificate.is_some() != self.key.is_some() {
            return Some("certificate and key go together");
        }
        ServerName::try_from(self.name.as_str())
            .is_err()
            .then_some("name should be a host name or an address")
    }

    fn keys(&self) -> Option<KeyFiles> {
        Some(KeyFiles {
            certificate: self.certificate.clone()?,
            key: self.key.clone()?,
        })
    }
}

pub fn connect(
    now: Moment,
    socket: TcpStream,
    path: &str,
    tls: Option<&TlsSide>,
) -> io::Result<ClientConnection> {
    let Some(side) = tls else {
        return Ok(ClientConnection::new(now, socket, path, Limits::default()));
    };
    let plan = client(&side.roots, side.keys().as_ref()).map_err(io::Error::other)?;
    let name = ServerName::try_from(side.name.clone()).map_err(io::Error::other)?;
    ClientConnection::secured(now, socket, path, Limits::default(), plan, name)
        .map_err(io::Error::other)
}
