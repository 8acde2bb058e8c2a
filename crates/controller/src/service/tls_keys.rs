//! Reloads certificates and keys that were replaced while the controller runs.

use super::Controller;
use crate::file::{AdministrationSettings, TlsSettings};
use std::path::Path;
use std::sync::Arc;
use tracing::info;
use wheelspread_grpc::tls::{self, KeyError, KeyFiles};
use wheelspread_grpc::ServerConfig;

/// Contents of a group of key files as last read; `None` for a file that is not configured or can't be read.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct FileContents(Vec<Option<Vec<u8>>>);

impl FileContents {
    fn read<'a>(paths: impl IntoIterator<Item = Option<&'a Path>>) -> FileContents {
        let read = |path: Option<&Path>| path.and_then(|path| std::fs::read(path).ok());
        FileContents(paths.into_iter().map(read).collect())
    }

    fn is_unread(&self) -> bool {
        self.0.is_empty()
    }
}

impl Controller {
    /// Loads keys whose files have changed. If certificate and key do not match, the old ones stay in use until the
    /// files change again.
    pub(super) fn renew_tls_keys(&mut self) -> Result<(), KeyError> {
        self.renew_administration_keys()?;
        self.renew_stream_keys()
    }

    fn renew_administration_keys(&mut self) -> Result<(), KeyError> {
        let Some(settings) = &self.file.administration else {
            return Ok(());
        };
        let contents = FileContents::read([
            Some(settings.certificate.as_path()),
            Some(settings.key.as_path()),
            Some(settings.clients.as_path()),
        ]);
        if contents != self.last_administration_files {
            self.last_administration_files = contents;
            self.admin.set_tls(administration_tls(settings)?);
        }
        Ok(())
    }

    fn renew_stream_keys(&mut self) -> Result<(), KeyError> {
        let Some(settings) = &self.file.tls else {
            return Ok(());
        };
        let contents = FileContents::read([
            Some(settings.certificate.as_path()),
            Some(settings.key.as_path()),
            settings.clients.as_deref(),
        ]);
        if contents == self.last_tls_files {
            return Ok(());
        }
        let is_renewal = !self.last_tls_files.is_unread();
        self.last_tls_files = contents;
        self.streams
            .set_tls(stream_tls(settings)?, settings.node_id_in_certificate);
        if is_renewal {
            info!("TLS keys renewed, open streams keep theirs");
        }
        Ok(())
    }
}

fn stream_tls(settings: &TlsSettings) -> Result<Arc<ServerConfig>, KeyError> {
    let keys = KeyFiles {
        certificate: settings.certificate.clone(),
        key: settings.key.clone(),
    };
    tls::server_config(&keys, settings.clients.as_deref())
}

/// TLS for the operators' port: callers need a certificate that is signed by one of the given roots.
pub(super) fn administration_tls(
    settings: &AdministrationSettings,
) -> Result<Arc<ServerConfig>, KeyError> {
    let keys = KeyFiles {
        certificate: settings.certificate.clone(),
        key: settings.key.clone(),
    };
    tls::http1_server_config(&keys, &settings.clients)
}
