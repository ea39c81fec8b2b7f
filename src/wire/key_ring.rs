//! The keys common to all processes, in up to two phases so that a rotation breaks no flow.

use std::sync::{Arc, PoisonError, RwLock};

use aes::{
    Aes128,
    cipher::{BlockDecrypt, BlockEncrypt, KeyInit},
};
use ring::{hkdf, hmac};

/// Length of a phase's secret, in bytes.
pub const SECRET_LEN: usize = 32;
/// Length of one AES block, in bytes.
pub const BLOCK_LEN: usize = 16;

const CONNECTION_ID_CONTEXT: &str = "bamboowind 2026-12 connection id";
const ENVELOPE_CONTEXT: &str = "bamboowind 2026-12 envelope";
const RETRY_TOKEN_CONTEXT: &str = "bamboowind 2026-12 retry token";
const STATELESS_RESET_CONTEXT: &str = "bamboowind 2026-12 stateless reset";

/// The keys of one phase, derived from its secret.
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
        let block_key = blake3::derive_key(CONNECTION_ID_CONTEXT, secret);
        let token_key = blake3::derive_key(RETRY_TOKEN_CONTEXT, secret);
        let reset_key = blake3::derive_key(STATELESS_RESET_CONTEXT, secret);
        let mut short_key = [0; BLOCK_LEN];
        short_key.copy_from_slice(&block_key[..BLOCK_LEN]);
        Self {
            phase,
            block_cipher: Aes128::new(&short_key.into()),
            envelope_key: blake3::derive_key(ENVELOPE_CONTEXT, secret),
            retry_token: hkdf::Salt::new(hkdf::HKDF_SHA256, &[]).extract(&token_key),
            stateless_reset: hmac::Key::new(hmac::HMAC_SHA256, &reset_key),
        }
    }

    /// Number of this phase.
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

/// The accepted phases, sorted by number, one of which seals.
pub struct KeyRing {
    phases: Vec<PhaseKeys>,
    current: usize,
}

impl KeyRing {
    /// Builds a ring; returns `None` when `current_phase` is not among `phases`.
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

    /// The phase that seals.
    #[must_use]
    pub fn current(&self) -> &PhaseKeys {
        &self.phases[self.current]
    }

    /// The phase with this number, if it is accepted.
    #[must_use]
    pub fn get(&self, phase: u8) -> Option<&PhaseKeys> {
        let index = self
            .phases
            .binary_search_by_key(&phase, PhaseKeys::phase)
            .ok()?;
        Some(&self.phases[index])
    }

    /// All accepted phases, the sealing one first.
    pub fn iter(&self) -> impl Iterator<Item = &PhaseKeys> {
        let others = self
            .phases
            .iter()
            .filter(|keys| keys.phase != self.current().phase);
        std::iter::once(self.current()).chain(others)
    }
}

/// A key ring that can be replaced while the process runs.
#[derive(Clone)]
pub struct SharedKeyRing {
    ring: Arc<RwLock<Arc<KeyRing>>>,
}

impl SharedKeyRing {
    /// Shares `ring`.
    #[must_use]
    pub fn new(ring: KeyRing) -> Self {
        Self {
            ring: Arc::new(RwLock::new(Arc::new(ring))),
        }
    }

    /// The ring in force.
    #[must_use]
    pub fn load(&self) -> Arc<KeyRing> {
        Arc::clone(&self.ring.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts another ring in force.
    pub fn replace(&self, ring: Arc<KeyRing>) {
        *self.ring.write().unwrap_or_else(PoisonError::into_inner) = ring;
    }
}

impl std::fmt::Debug for SharedKeyRing {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKeyRing")
    }
}
