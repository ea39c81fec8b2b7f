//! Retry-token and stateless-reset keys for the QUIC library, backed by the shared key ring.

use quinn_proto::crypto::{AeadKey, CryptoError, HandshakeTokenKey, HmacKey};

use super::key_ring::SharedKeyRing;

/// Key for Retry tokens: seals with the current phase and opens with any accepted phase.
#[derive(Clone)]
pub struct RetryTokenKey {
    keys: SharedKeyRing,
}

impl RetryTokenKey {
    /// Creates a key backed by `keys`.
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
        Box::new(KeyRingAead { phases })
    }
}

/// One AEAD key per phase, starting with the current phase.
struct KeyRingAead {
    phases: Vec<Box<dyn AeadKey>>,
}

impl AeadKey for KeyRingAead {
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

/// Key for stateless reset tokens: uses the phase in the first byte of the connection ID, or the
/// current phase if that one is not accepted.
#[derive(Clone)]
pub struct StatelessResetKey {
    keys: SharedKeyRing,
}

impl StatelessResetKey {
    /// Creates a key backed by `keys`.
    #[must_use]
    pub fn new(keys: SharedKeyRing) -> Self {
        Self { keys }
    }
}

impl HmacKey for StatelessResetKey {
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
