//! Tracks when this balancer or any of its peers last reached the store.
//!
//! Heartbeats carry the age of the last contact. A balancer tries to become a watcher only if that
//! age shows that no reachable balancer is watching, so the number of store calls does not grow
//! with the number of balancers.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Age of the last contact below which a balancer does not start to watch the store, in
/// milliseconds.
pub const MAX_FRESH_CONTACT_AGE_MS: u64 = 20_000;

/// Time of the last known contact with the store, by the clock of this process.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    /// Time in milliseconds plus one; zero means never.
    latest_ms_plus_one: Arc<AtomicU64>,
}

impl StoreContact {
    /// Creates a tracker without a contact.
    ///
    /// ```
    /// use bamboowind::control::store_contact::StoreContact;
    ///
    /// let contact = StoreContact::new();
    /// assert!(!contact.is_fresh(50_000));
    /// contact.record_peer_contact(50_000, 1_500);
    /// assert_eq!(contact.age_ms(51_000), Some(2_500));
    /// assert!(contact.is_fresh(51_000));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store was reached at `now_ms`.
    pub fn record_contact(&self, now_ms: u64) {
        self.latest_ms_plus_one
            .fetch_max(now_ms + 1, Ordering::Relaxed);
    }

    /// Records that a peer reported a contact `age_ms` before `now_ms`.
    pub fn record_peer_contact(&self, now_ms: u64, age_ms: u64) {
        if let Some(contact_ms) = now_ms.checked_sub(age_ms) {
            self.record_contact(contact_ms);
        }
    }

    /// Returns the time since the last contact in milliseconds, or `None` if there was none.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let latest_ms_plus_one = self.latest_ms_plus_one.load(Ordering::Relaxed);
        latest_ms_plus_one
            .checked_sub(1)
            .map(|contact_ms| now_ms.saturating_sub(contact_ms))
    }

    /// Returns whether the last contact is less than [`MAX_FRESH_CONTACT_AGE_MS`] old.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < MAX_FRESH_CONTACT_AGE_MS)
    }
}
