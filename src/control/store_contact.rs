//! When any balancer that this one can hear has last reached the store.
//!
//! Heartbeats pass the age on, so that a balancer tries to become a watcher only when nobody whom
//! it can hear watches, and the store's calls do not grow with the balancers.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Age up to which a balancer leaves the store to others.
pub const CONTACT_FRESH_MS: u64 = 20_000;

/// The latest contact, by this process's clock.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    /// One more than the time in milliseconds, so that zero stands for never.
    latest: Arc<AtomicU64>,
}

impl StoreContact {
    /// Starts without a contact.
    ///
    /// ```
    /// use bamboowind::control::store_contact::StoreContact;
    ///
    /// let contact = StoreContact::new();
    /// assert!(!contact.is_fresh(50_000));
    /// contact.heard(50_000, 1_500);
    /// assert_eq!(contact.age_ms(51_000), Some(2_500));
    /// assert!(contact.is_fresh(51_000));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that this balancer has reached the store.
    pub fn reached(&self, now_ms: u64) {
        self.latest.fetch_max(now_ms + 1, Ordering::Relaxed);
    }

    /// Notes that another balancer knows of a contact `age_ms` ago.
    pub fn heard(&self, now_ms: u64, age_ms: u64) {
        if let Some(contact_ms) = now_ms.checked_sub(age_ms) {
            self.reached(contact_ms);
        }
    }

    /// Time since the latest contact; `None` when none is known.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let latest = self.latest.load(Ordering::Relaxed);
        latest
            .checked_sub(1)
            .map(|contact_ms| now_ms.saturating_sub(contact_ms))
    }

    /// Whether somebody reaches the store.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < CONTACT_FRESH_MS)
    }
}
