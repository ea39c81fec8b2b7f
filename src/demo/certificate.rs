//! Self-signed certificate for the quickstart and the tests.

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::{RootCertStore, pki_types::CertificateDer};

/// Server name in the certificate, which demo callers connect to.
pub const SERVER_NAME: &str = "bamboowind.test";

/// A self-signed certificate with its private key.
#[derive(Clone, Debug)]
pub struct DemoCertificate {
    /// The certificate in PEM.
    pub certificate_pem: String,
    /// The private key in PEM.
    pub private_key_pem: String,
    certificate: CertificateDer<'static>,
}

impl DemoCertificate {
    /// Generates a key and a certificate for it, or returns `None` if the library fails to.
    #[must_use]
    pub fn generate() -> Option<Self> {
        let names = vec![SERVER_NAME.to_owned()];
        let CertifiedKey { cert, signing_key } = generate_simple_self_signed(names).ok()?;
        Some(Self {
            certificate_pem: cert.pem(),
            private_key_pem: signing_key.serialize_pem(),
            certificate: cert.der().clone(),
        })
    }

    /// Returns a root store that trusts the certificate.
    #[must_use]
    pub fn roots(&self) -> RootCertStore {
        let mut roots = RootCertStore::empty();
        // If the certificate cannot be added, the first connection fails with a TLS error.
        let _ = roots.add(self.certificate.clone());
        roots
    }
}
