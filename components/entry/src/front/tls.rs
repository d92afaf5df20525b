//! TLS towards callers.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use base::prelude::*;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject as _;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

/// Paths of a certificate and its private key, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// Certificate chain, from the server's own certificate to the intermediate ones.
    pub cert: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

/// Why a certificate or a key can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A file can't be read.
    File {
        /// Path of the file.
        path: PathBuf,
    },
    /// The certificate and the private key are invalid or don't match.
    Mismatch,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path } => write!(f, "could not read PEM from {}", path.display()),
            Self::Mismatch => f.write_str("certificate and private key are invalid or don't match"),
        }
    }
}

impl std::error::Error for Failure {}

/// Loads a certificate chain and its private key.
///
/// # Errors
/// [`Failure::File`] or [`Failure::Mismatch`].
pub fn load(tls: &Tls) -> Result<TlsAcceptor, Report<Failure>> {
    let file = |path: &PathBuf| Failure::File { path: path.clone() };
    let certs = CertificateDer::pem_file_iter(&tls.cert).change_context_lazy(|| file(&tls.cert))?;
    let certs: Result<Vec<_>, _> = certs.collect();
    let certs = certs.change_context_lazy(|| file(&tls.cert))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key).change_context_lazy(|| file(&tls.key))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .change_context(Failure::Mismatch)?
        .with_no_client_auth()
        .with_single_cert(certs, key)
        .change_context(Failure::Mismatch)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
