//! Streams to a controller, secured by TLS if configured. Keys and root certificates are read again for each stream,
//! so that replaced files take effect with the next stream.

use serde::Deserialize;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use wheelspread::time::Moment;
use wheelspread_grpc::tls::{client_config, KeyFiles};
use wheelspread_grpc::{ClientConnection, Limits, ServerName};

/// TLS settings of the proxy's streams to controllers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsConfig {
    /// File with the root certificates that a controller's certificate is verified against.
    pub roots: PathBuf,
    /// Name that the controller's certificate must be valid for.
    pub name: String,
    /// File with the client certificate of this proxy; requires `key`.
    #[serde(default)]
    pub certificate: Option<PathBuf>,
    /// File with the private key of `certificate`.
    #[serde(default)]
    pub key: Option<PathBuf>,
}

/// Why a [`TlsConfig`] is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TlsConfigError {
    /// Only one of `certificate` and `key` is set.
    #[error("certificate and key should be set together")]
    CertificateWithoutKey,
    /// The controller's name is neither a host name nor an IP address.
    #[error("name should be a host name or an IP address")]
    Name,
}

impl TlsConfig {
    /// Resolves relative paths against `base`.
    pub fn with_base(mut self, base: &Path) -> TlsConfig {
        self.roots = base.join(&self.roots);
        self.certificate = self.certificate.map(|path| base.join(path));
        self.key = self.key.map(|path| base.join(path));
        self
    }

    /// Checks the settings without reading the files.
    ///
    /// # Errors
    /// A setting is not valid.
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

/// Opens a gRPC stream to the method `path` on a socket whose connect is in progress.
pub(crate) fn connect(
    now: Moment,
    socket: TcpStream,
    path: &str,
    tls: Option<&TlsConfig>,
) -> io::Result<ClientConnection> {
    let Some(settings) = tls else {
        return Ok(ClientConnection::new(now, socket, path, Limits::default()));
    };
    let config =
        client_config(&settings.roots, settings.key_files().as_ref()).map_err(io::Error::other)?;
    let name = ServerName::try_from(settings.name.clone()).map_err(io::Error::other)?;
    ClientConnection::with_tls(now, socket, path, Limits::default(), config, name)
        .map_err(io::Error::other)
}
