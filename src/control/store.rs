//! The platform's key-value store as this project sees it.

use std::{fmt, future::Future};

use snafu::Snafu;

/// Revision of a key; it changes with every write of the key.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// A value with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Revision of the key.
    pub revision: Revision,
    /// The value; `None` when the key does not exist.
    pub value: Option<Vec<u8>>,
}

/// Whether a compare-and-swap has taken place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped,
    /// The revision was another; nothing was written.
    Mismatch,
}

/// Why a call gave no answer. The call may have taken effect all the same.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The store cannot be reached, or its answer did not arrive.
    #[snafu(display("the store does not answer: {reason}; check that it runs and can be reached"))]
    Unavailable {
        /// What failed.
        reason: String,
    },
    /// The store's answer is not understood.
    #[snafu(display("the store's answer is not understood: {reason}; check the store's URL"))]
    Unexpected {
        /// What was wrong.
        reason: String,
    },
}

/// A key-value store with compare-and-swap, watches and leases.
pub trait Store: Clone + Send + Sync + 'static {
    /// A lease that its holder renews.
    type Lease: Clone + fmt::Debug + Send + Sync;

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn get(&self, key: &str) -> impl Future<Output = Result<Versioned, StoreError>> + Send;

    /// Writes a key if its revision is `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives; the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>> + Send;

    /// Waits until the key's revision differs from `seen`, or the watch times out.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn watch(
        &self,
        key: &str,
        seen: Revision,
    ) -> impl Future<Output = Result<Versioned, StoreError>> + Send;

    /// Tries to hold `key` under a lease; returns `None` when another holds it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn acquire_lease(
        &self,
        key: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<Option<Self::Lease>, StoreError>> + Send;

    /// Extends a lease; returns whether it was still held.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn renew_lease(
        &self,
        lease: &Self::Lease,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Gives a lease up.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn release_lease(
        &self,
        lease: &Self::Lease,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}
