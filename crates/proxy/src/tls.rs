//! Streams to a controller, under TLS where the configuration says so. Keys and roots are read at each dial,
//! so that files that were replaced are used from the next stream on.

use serde::Deserialize;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use wheelspread::time::Moment;
use wheelspread_grpc::tls::{client_config, KeyFiles};
use wheelspread_grpc::{ClientConnection, Limits, ServerName};

/// The proxy's side of TLS.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSide {
    /// The roots that a controller's certificate has to be signed under.
    pub roots: PathBuf,
    /// The name that it has to be for.
    pub name: String,
    /// The certificate of this proxy, with `key`.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    /// The private key of that certificate.
    #[serde(default)]
    pub key: Option<PathBuf>,
}

/// What can't be used of a [`TlsSide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TlsConfigError {
    /// Only one of the two is given.
    #[error("certificate and key go together")]
    CertificateWithoutKey,
    /// The controller's name can't be in a certificate.
    #[error("name should be a host name or an address")]
    Name,
}

impl TlsSide {
    /// The same with paths that start from `base`.
    pub fn under(mut self, base: &Path) -> TlsSide {
        self.roots = base.join(&self.roots);
        self.certificate = self.certificate.map(|path| base.join(path));
        self.key = self.key.map(|path| base.join(path));
        self
    }

    /// Checks what can be checked without reading the files.
    ///
    /// # Errors
    /// A value can't be used.
    pub fn check(&self) -> Result<(), TlsConfigError> {
        if self.certificate.is_some() != self.key.is_some() {
            return Err(TlsConfigError::CertificateWithoutKey);
        }
        match ServerName::try_from(self.name.as_str()) {
            Ok(_) => Ok(()),
            Err(_) => Err(TlsConfigError::Name),
        }
    }

    fn key_files(&self) -> Option<KeyFiles> {
        Some(KeyFiles {
            certificate: self.certificate.clone()?,
            key: self.key.clone()?,
        })
    }
}

/// Opens a gRPC stream of the method `path` on a socket that is being connected.
pub(crate) fn connect(
    now: Moment,
    socket: TcpStream,
    path: &str,
    tls: Option<&TlsSide>,
) -> io::Result<ClientConnection> {
    let Some(side) = tls else {
        return Ok(ClientConnection::new(now, socket, path, Limits::default()));
    };
    let config = client_config(&side.roots, side.key_files().as_ref()).map_err(io::Error::other)?;
    let name = ServerName::try_from(side.name.clone()).map_err(io::Error::other)?;
    ClientConnection::with_tls(now, socket, path, Limits::default(), config, name)
        .map_err(io::Error::other)
}
