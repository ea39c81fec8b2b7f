//! A certificate for demonstrations.

use rcgen::{CertifiedKey, generate_simple_self_signed};
use rustls::{RootCertStore, pki_types::CertificateDer};

/// Name that the demonstration's callers ask for.
pub const SERVER_NAME: &str = "bamboowind.test";

/// A self-signed certificate with its key.
#[derive(Clone, Debug)]
pub struct DemoCertificate {
    /// The certificate in PEM.
    pub certificate_pem: String,
    /// The private key in PEM.
    pub private_key_pem: String,
    certificate: CertificateDer<'static>,
}

impl DemoCertificate {
    /// Makes a new certificate; `None` when the library refuses.
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

    /// The roots that a caller needs to trust the certificate.
    #[must_use]
    pub fn roots(&self) -> RootCertStore {
        let mut roots = RootCertStore::empty();
        // A certificate that cannot be added is reported by the caller's first connection.
        let _ = roots.add(self.certificate.clone());
        roots
    }
}
