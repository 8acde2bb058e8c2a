//! TLS configurations of servers and clients from files with private keys, certificates and trusted roots.
//!
//! All files are read and checked together, so that a certificate that was replaced before its key is not
//! used.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The files with the certificate chain and private key of one side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// The certificate chain, PEM.
    pub certificate: PathBuf,
    /// The private key, PEM.
    pub key: PathBuf,
}

/// Why a TLS configuration cannot be built.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file cannot be read or does not have the expected content.
    #[error("{path}: {text}", path = .path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        text: String,
    },
    /// The certificate and the private key do not match or are of an unsupported type.
    #[error("certificate and private key cannot be used: {0}")]
    Pair(rustls::Error),
    /// The root certificates cannot be used.
    #[error("root certificates cannot be used: {0}")]
    Roots(String),
}

/// ALPN names.
const HTTP2: &[u8] = b"h2";
const HTTP1: &[u8] = b"http/1.1";

fn file_error(path: &Path) -> impl Fn(rustls::pki_types::pem::Error) -> KeyError + '_ {
    |error| KeyError::File {
        path: path.to_path_buf(),
        text: error.to_string(),
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_file_iter(path)
        .map_err(file_error(path))?
        .collect();
    let found = found.map_err(file_error(path))?;
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

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// The configuration of a gRPC server. With `client_roots`, only clients with a certificate issued under these roots
/// are accepted.
pub fn server_config(
    keys: &KeyFiles,
    client_roots: Option<&Path>,
) -> Result<Arc<ServerConfig>, KeyError> {
    let builder = ServerConfig::builder_with_provider(crypto_provider())
        .with_safe_default_protocol_versions();
    let builder = builder.map_err(KeyError::Pair)?;
    let builder = match client_roots {
        None => builder.with_no_client_auth(),
        Some(path) => {
            let verifier = WebPkiClientVerifier::builder_with_provider(
                Arc::new(roots(path)?),
                crypto_provider(),
            );
            builder.with_client_cert_verifier(
                verifier
                    .build()
                    .map_err(|e| KeyError::Roots(e.to_string()))?,
            )
        }
    };
    let key = PrivateKeyDer::from_pem_file(&keys.key).map_err(file_error(&keys.key))?;
    let config = builder.with_single_cert(certificates(&keys.certificate)?, key);
    let mut config = config.map_err(KeyError::Pair)?;
    config.alpn_protocols = vec![HTTP2.to_vec()];
    Ok(Arc::new(config))
}

/// The configuration of an HTTP/1.1 server that accepts only clients with a certificate issued under
/// `client_roots`.
pub fn http1_server_config(
    keys: &KeyFiles,
    client_roots: &Path,
) -> Result<Arc<ServerConfig>, KeyError> {
    let mut config = ServerConfig::clone(&*server_config(keys, Some(client_roots))?);
    config.alpn_protocols = vec![HTTP1.to_vec()];
    Ok(Arc::new(config))
}

/// The configuration of an HTTP/1.1 client with a client certificate.
pub fn http1_client_config(
    server_roots: &Path,
    keys: &KeyFiles,
) -> Result<Arc<ClientConfig>, KeyError> {
    let mut config = ClientConfig::clone(&*client_config(server_roots, Some(keys))?);
    config.alpn_protocols = vec![HTTP1.to_vec()];
    Ok(Arc::new(config))
}

/// The configuration of a gRPC client: the trusted `server_roots`, and the client certificate if there is one.
pub fn client_config(
    server_roots: &Path,
    keys: Option<&KeyFiles>,
) -> Result<Arc<ClientConfig>, KeyError> {
    let builder = ClientConfig::builder_with_provider(crypto_provider())
        .with_safe_default_protocol_versions();
    let builder = builder
        .map_err(KeyError::Pair)?
        .with_root_certificates(roots(server_roots)?);
    let mut config = match keys {
        None => builder.with_no_client_auth(),
        Some(keys) => {
            let key = PrivateKeyDer::from_pem_file(&keys.key).map_err(file_error(&keys.key))?;
            builder
                .with_client_auth_cert(certificates(&keys.certificate)?, key)
                .map_err(KeyError::Pair)?
        }
    };
    config.alpn_protocols = vec![HTTP2.to_vec()];
    Ok(Arc::new(config))
}

/// Whether a certificate is valid for a DNS name or IP address.
pub fn valid_for(certificate: &CertificateDer, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else {
        return false;
    };
    let parsed = ParsedCertificate::try_from(certificate);
    parsed.is_ok_and(|parsed| rustls::client::verify_server_name(&parsed, &name).is_ok())
}
