//! Retry-token and stateless-reset keys in the form that the QUIC library expects.

use quinn_proto::crypto::{AeadKey, CryptoError, HandshakeTokenKey, HmacKey};

use super::key_ring::SharedKeyRing;

/// Seals and opens Retry tokens under the shared key ring.
#[derive(Clone)]
pub struct RetryTokenKey {
    keys: SharedKeyRing,
}

impl RetryTokenKey {
    /// Uses the phases of `keys`.
    #[must_use]
    pub fn new(keys: SharedKeyRing) -> Self {
        Self { keys }
    }
}

impl HandshakeTokenKey for RetryTokenKey {
    fn aead_from_hkdf(&self, random_bytes: &[u8]) -> Box<dyn AeadKey> {
        let ring = self.keys.load();
        let phases = ring
            .iter()
            .map(|keys| keys.retry_token.aead_from_hkdf(random_bytes))
            .collect();
        Box::new(PhasedAead { phases })
    }
}

/// One key a phase, the sealing one first.
struct PhasedAead {
    phases: Vec<Box<dyn AeadKey>>,
}

impl AeadKey for PhasedAead {
    fn seal(&self, data: &mut Vec<u8>, additional_data: &[u8]) -> Result<(), CryptoError> {
        let key = self.phases.first().ok_or(CryptoError)?;
        key.seal(data, additional_data)
    }

    fn open<'a>(
        &self,
        data: &'a mut [u8],
        additional_data: &[u8],
    ) -> Result<&'a mut [u8], CryptoError> {
        let sealed = data.to_vec();
        for key in &self.phases {
            let mut copy = sealed.clone();
            if let Ok(opened) = key.open(&mut copy, additional_data) {
                let opened_len = opened.len();
                data[..opened_len].copy_from_slice(opened);
                return Ok(&mut data[..opened_len]);
            }
        }
        Err(CryptoError)
    }
}

/// Makes stateless-reset tokens under the phase that sealed the connection ID.
#[derive(Clone)]
pub struct ResetKey {
    keys: SharedKeyRing,
}

impl ResetKey {
    /// Uses the phases of `keys`.
    #[must_use]
    pub fn new(keys: SharedKeyRing) -> Self {
        Self { keys }
    }
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let ring = self.keys.load();
        let phase = data.first().and_then(|&phase| ring.get(phase));
        phase
            .unwrap_or_else(|| ring.current())
            .stateless_reset
            .sign(data, signature_out);
    }

    fn signature_len(&self) -> usize {
        self.keys.load().current().stateless_reset.signature_len()
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let mut expected = vec![0; self.signature_len()];
        self.sign(data, &mut expected);
        if expected == signature {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}
