//! Keys, certificates and roots from files, for both sides. What is read is checked as a whole, so that a
//! certificate that was swapped in before its key is not taken.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Where one side's keys lie.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    pub certificate: PathBuf,
    pub key: PathBuf,
}

#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    #[error("{path}: {text}", path = .path.display())]
    File { path: PathBuf, text: String },
    #[error("the certificate and its key: {0}")]
    Pair(rustls::Error),
    #[error("the roots: {0}")]
    Roots(String),
}

/// The protocol that streams are spoken in.
const HTTP2: &[u8] = b"h2";
const HTTP1: &[u8] = b"http/1.1";

fn file(path: &Path) -> impl Fn(rustls::pki_types::pem::Error) -> KeyError + '_ {
    |error| KeyError::File {
        path: path.to_path_buf(),
        text: error.to_string(),
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path)
        .map_err(file(path))?
        .collect();
    let found = found.map_err(file(path))?;
    if found.is_empty() {
        return Err(KeyError::File {
            path: path.to_path_buf(),
            text: "no certificate".to_string(),
        });
    }
    Ok(found)
}

fn roots(path: &Path) -> Result<RootCertStore, KeyError> {
    let mut store = RootCertStore::empty();
    for certificate in certificates(path)? {
        store
            .add(certificate)
            .map_err(|error| KeyError::Roots(error.to_string()))?;
    }
    Ok(store)
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// For the side that is called. With `clients`, only those with a certificate under these roots are served.
pub fn server(keys: &KeyFiles, clients: Option<&Path>) -> Result<Arc<ServerConfig>, KeyError> {
    let builder =
        ServerConfig::builder_with_provider(provider()).with_safe_default_protocol_versions();
    let builder = builder.map_err(KeyError::Pair)?;
    let builder = match clients {
        None => builder.with_no_client_auth(),
        Some(path) => {
            let verifier =
                WebPkiClientVerifier::builder_with_provider(Arc::new(roots(path)?), provider());
            builder.with_client_cert_verifier(
                verifier
                    .build()
                    .map_err(|e| KeyError::Roots(e.to_string()))?,
            )
        }
    };
    let key = PrivateKeyDer::from_pem_file(&keys.key).map_err(file(&keys.key))?;
    let made = builder.with_single_cert(certificates(&keys.certificate)?, key);
    let mut made = made.map_err(KeyError::Pair)?;
    made.alpn_protocols = vec![HTTP2.to_vec()];
    Ok(Arc::new(made))
}

/// The same for callers that speak HTTP/1.1.
pub fn plain_server(keys: &KeyFiles, clients: &Path) -> Result<Arc<ServerConfig>, KeyError> {
    let mut made = ServerConfig::clone(&*server(keys, Some(clients))?);
    made.alpn_protocols = vec![HTTP1.to_vec()];
    Ok(Arc::new(made))
}

/// For the side that calls and speaks HTTP/1.1.
pub fn plain_client(servers: &Path, keys: &KeyFiles) -> Result<Arc<ClientConfig>, KeyError> {
    let mut made = ClientConfig::clone(&*client(servers, Some(keys))?);
    made.alpn_protocols = vec![HTTP1.to_vec()];
    Ok(Arc::new(made))
}

/// For the side that calls: whom it believes, and by what it names itself.
pub fn client(servers: &Path, keys: Option<&KeyFiles>) -> Result<Arc<ClientConfig>, KeyError> {
    let builder =
        ClientConfig::builder_with_provider(provider()).with_safe_default_protocol_versions();
    let builder = builder
        .map_err(KeyError::Pair)?
        .with_root_certificates(roots(servers)?);
    let mut made = match keys {
        None => builder.with_no_client_auth(),
        Some(keys) => {
            let key = PrivateKeyDer::from_pem_file(&keys.key).map_err(file(&keys.key))?;
            builder
                .with_client_auth_cert(certificates(&keys.certificate)?, key)
                .map_err(KeyError::Pair)?
        }
    };
    made.alpn_protocols = vec![HTTP2.to_vec()];
    Ok(Arc::new(made))
}

/// Whether a certificate is one for this name.
pub fn speaks_for(certificate: &CertificateDer, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else {
        return false;
    };
    let parsed = ParsedCertificate::try_from(certificate);
    parsed.is_ok_and(|parsed| rustls::client::verify_server_name(&parsed, &name).is_ok())
}
