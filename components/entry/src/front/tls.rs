//! TLS towards callers.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use base::prelude::*;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject as _;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::TlsAcceptor;

/// Files of a certificate and its key, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// The certificate, and those that vouch for it.
    pub cert: PathBuf,
    /// Its private key.
    pub key: PathBuf,
}

/// A certificate or key that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A file can't be read.
    File {
        /// Its path.
        path: PathBuf,
    },
    /// Certificate and key don't fit.
    Mismatch,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path } => write!(f, "no PEM could be read from {}", path.display()),
            Self::Mismatch => f.write_str("certificate and key don't fit"),
        }
    }
}

impl std::error::Error for Failure {}

/// Loads a certificate and its key.
///
/// # Errors
/// Each [`Failure`].
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
