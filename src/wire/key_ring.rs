//! Keys shared by all processes. Two key phases can be valid at once, so that keys can be rotated
//! without breaking flows.

use std::sync::{Arc, PoisonError, RwLock};

use aes::{
    Aes128,
    cipher::{BlockDecrypt, BlockEncrypt, KeyInit},
};
use ring::{hkdf, hmac};

/// Length of the secret of a phase, in bytes.
pub const SECRET_LEN: usize = 32;
/// Length of an AES block, in bytes.
pub const BLOCK_LEN: usize = 16;

// Context strings of the BLAKE3 key derivation, one for each purpose.
const CONNECTION_ID_CONTEXT: &str = "bamboowind 2026-12 connection id";
const ENVELOPE_CONTEXT: &str = "bamboowind 2026-12 envelope";
const RETRY_TOKEN_CONTEXT: &str = "bamboowind 2026-12 retry token";
const STATELESS_RESET_CONTEXT: &str = "bamboowind 2026-12 stateless reset";

/// Keys of one phase, derived from its secret.
pub struct PhaseKeys {
    phase: u8,
    block_cipher: Aes128,
    envelope_key: [u8; SECRET_LEN],
    pub(crate) retry_token: hkdf::Prk,
    pub(crate) stateless_reset: hmac::Key,
}

impl PhaseKeys {
    /// Derives the keys of `phase` from its secret.
    #[must_use]
    pub fn new(phase: u8, secret: &[u8; SECRET_LEN]) -> Self {
        let cipher_key = blake3::derive_key(CONNECTION_ID_CONTEXT, secret);
        let token_key = blake3::derive_key(RETRY_TOKEN_CONTEXT, secret);
        let reset_key = blake3::derive_key(STATELESS_RESET_CONTEXT, secret);
        let mut aes_key = [0; BLOCK_LEN];
        aes_key.copy_from_slice(&cipher_key[..BLOCK_LEN]);
        Self {
            phase,
            block_cipher: Aes128::new(&aes_key.into()),
            envelope_key: blake3::derive_key(ENVELOPE_CONTEXT, secret),
            retry_token: hkdf::Salt::new(hkdf::HKDF_SHA256, &[]).extract(&token_key),
            stateless_reset: hmac::Key::new(hmac::HMAC_SHA256, &reset_key),
        }
    }

    /// Number of the phase.
    #[must_use]
    pub fn phase(&self) -> u8 {
        self.phase
    }

    pub(crate) fn encrypt_block(&self, block: &mut [u8; BLOCK_LEN]) {
        self.block_cipher.encrypt_block(block.into());
    }

    pub(crate) fn decrypt_block(&self, block: &mut [u8; BLOCK_LEN]) {
        self.block_cipher.decrypt_block(block.into());
    }

    pub(crate) fn envelope_key(&self) -> &[u8; SECRET_LEN] {
        &self.envelope_key
    }
}

/// Keys of the accepted phases, sorted by phase; one of them is current and used for sealing.
pub struct KeyRing {
    phases: Vec<PhaseKeys>,
    /// Index of the current phase in `phases`.
    current: usize,
}

impl KeyRing {
    /// Creates a key ring. Returns `None` if `current_phase` is not among `phases`.
    ///
    /// ```
    /// use bamboowind::wire::key_ring::{KeyRing, PhaseKeys};
    ///
    /// let ring = KeyRing::new(vec![PhaseKeys::new(1, &[7; 32])], 1).unwrap();
    /// assert_eq!(ring.current().phase(), 1);
    /// assert!(KeyRing::new(Vec::new(), 1).is_none());
    /// ```
    #[must_use]
    pub fn new(mut phases: Vec<PhaseKeys>, current_phase: u8) -> Option<Self> {
        phases.sort_unstable_by_key(PhaseKeys::phase);
        let current = phases
            .binary_search_by_key(&current_phase, PhaseKeys::phase)
            .ok()?;
        Some(Self { phases, current })
    }

    /// Returns the keys used for sealing.
    #[must_use]
    pub fn current(&self) -> &PhaseKeys {
        &self.phases[self.current]
    }

    /// Returns the keys of a phase, or `None` if the phase is not accepted.
    #[must_use]
    pub fn get(&self, phase: u8) -> Option<&PhaseKeys> {
        let index = self
            .phases
            .binary_search_by_key(&phase, PhaseKeys::phase)
            .ok()?;
        Some(&self.phases[index])
    }

    /// Iterates over the keys of all accepted phases, starting with the current one.
    pub fn iter(&self) -> impl Iterator<Item = &PhaseKeys> {
        let others = self
            .phases
            .iter()
            .filter(|keys| keys.phase != self.current().phase);
        std::iter::once(self.current()).chain(others)
    }
}

/// A key ring that can be replaced at run time.
#[derive(Clone)]
pub struct SharedKeyRing {
    ring: Arc<RwLock<Arc<KeyRing>>>,
}

impl SharedKeyRing {
    /// Creates a shared handle to `ring`.
    #[must_use]
    pub fn new(ring: KeyRing) -> Self {
        Self {
            ring: Arc::new(RwLock::new(Arc::new(ring))),
        }
    }

    /// Returns the current key ring.
    #[must_use]
    pub fn load(&self) -> Arc<KeyRing> {
        Arc::clone(&self.ring.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the key ring.
    pub fn replace(&self, ring: Arc<KeyRing>) {
        *self.ring.write().unwrap_or_else(PoisonError::into_inner) = ring;
    }
}

impl std::fmt::Debug for SharedKeyRing {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKeyRing")
    }
}
