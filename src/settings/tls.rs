//! The certificate and private key that an agent shows to callers.

use std::{fmt, sync::Arc};

use rustls::{
    crypto::ring::sign::any_supported_type,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    sign::CertifiedKey,
};

use super::check::Fault;

const CERTIFICATE_PATH: &str = "agent.tls.certificate_pem";
const PRIVATE_KEY_PATH: &str = "agent.tls.private_key_pem";

/// A certificate chain with the private key that belongs to it.
#[derive(Clone)]
pub struct TlsIdentity {
    certified: Arc<CertifiedKey>,
}

impl TlsIdentity {
    /// Parses both from PEM and checks that they belong together.
    ///
    /// # Errors
    ///
    /// Returns the fault of the first part that cannot be used.
    pub fn new(certificate_pem: &str, private_key_pem: &str) -> Result<Self, Fault> {
        let chain: Vec<_> = CertificateDer::pem_slice_iter(certificate_pem.as_bytes())
            .collect::<Result<_, _>>()
            .unwrap_or_default();
        if chain.is_empty() {
            return Err(Fault::new(
                CERTIFICATE_PATH,
                "other content",
                "a certificate in PEM",
            ));
        }
        let private_key = PrivateKeyDer::from_pem_slice(private_key_pem.as_bytes())
            .map_err(|_| Fault::new(PRIVATE_KEY_PATH, "other content", "a private key in PEM"))?;
        let signer = any_supported_type(&private_key).map_err(|_| {
            Fault::new(
                PRIVATE_KEY_PATH,
                "a key of another kind",
                "ECDSA, RSA or Ed25519",
            )
        })?;
        let certified = CertifiedKey::new(chain, signer);
        if certified.keys_match().is_err() {
            return Err(Fault::new(
                PRIVATE_KEY_PATH,
                "a key of another certificate",
                "the key of the first certificate",
            ));
        }
        Ok(Self {
            certified: Arc::new(certified),
        })
    }

    /// The certificate chain with its signing key.
    #[must_use]
    pub fn certified(&self) -> Arc<CertifiedKey> {
        Arc::clone(&self.certified)
    }
}

impl fmt::Debug for TlsIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TlsIdentity")
    }
}
