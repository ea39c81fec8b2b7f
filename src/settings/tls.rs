//! Certificate and private key that an agent presents to callers.

use std::{fmt, sync::Arc};

use rustls::{
    crypto::ring::sign::any_supported_type,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    sign::CertifiedKey,
};

use super::check::ValidationError;

// Paths of the two settings in validation errors.
const CERTIFICATE_PATH: &str = "agent.tls.certificate_pem";
const PRIVATE_KEY_PATH: &str = "agent.tls.private_key_pem";

/// A certificate chain and the private key of its first certificate.
#[derive(Clone)]
pub struct TlsIdentity {
    certified_key: Arc<CertifiedKey>,
}

impl TlsIdentity {
    /// Parses a PEM certificate chain and a PEM private key and checks that they match.
    ///
    /// # Errors
    ///
    /// Returns the first error in the certificate or the key.
    pub fn new(certificate_pem: &str, private_key_pem: &str) -> Result<Self, ValidationError> {
        let chain: Vec<_> = CertificateDer::pem_slice_iter(certificate_pem.as_bytes())
            .collect::<Result<_, _>>()
            .unwrap_or_default();
        if chain.is_empty() {
            return Err(ValidationError::new(
                CERTIFICATE_PATH,
                "malformed content",
                "a certificate in PEM",
            ));
        }
        let private_key =
            PrivateKeyDer::from_pem_slice(private_key_pem.as_bytes()).map_err(|_| {
                ValidationError::new(
                    PRIVATE_KEY_PATH,
                    "malformed content",
                    "a private key in PEM",
                )
            })?;
        let signer = any_supported_type(&private_key).map_err(|_| {
            ValidationError::new(
                PRIVATE_KEY_PATH,
                "an unsupported key type",
                "an ECDSA, RSA or Ed25519 key",
            )
        })?;
        let certified_key = CertifiedKey::new(chain, signer);
        if certified_key.keys_match().is_err() {
            return Err(ValidationError::new(
                PRIVATE_KEY_PATH,
                "a key that does not match the certificate",
                "the private key of the first certificate",
            ));
        }
        Ok(Self {
            certified_key: Arc::new(certified_key),
        })
    }

    /// Returns the certificate chain with its signing key.
    #[must_use]
    pub fn certified_key(&self) -> Arc<CertifiedKey> {
        Arc::clone(&self.certified_key)
    }
}

impl fmt::Debug for TlsIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TlsIdentity")
    }
}
