//! Interface to the platform's key-value store.

use std::{fmt, future::Future, sync::Arc};

use snafu::Snafu;

/// Revision of a key or of the store; increases with every write.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// Counter that the store increments each time it comes back from an older copy of its contents.
///
/// Revisions, leases and lists of entries are comparable only within one era. It starts at 1, and
/// is 0 if the store reports none.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Whether the store has been restored from a copy at any time.
    #[must_use]
    pub fn is_after_restore(self) -> bool {
        self.0 > 1
    }
}

/// Response of the store, together with the era in which it was given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreReply<T> {
    /// Era of the store.
    pub era: StoreEra,
    /// Content of the response.
    pub value: T,
}

impl<T> StoreReply<T> {
    /// Creates a response given in `era`.
    #[must_use]
    pub fn new(era: StoreEra, value: T) -> Self {
        Self { era, value }
    }
}

/// Value of a key together with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedValue {
    /// Revision of the last write, or [`Revision::ABSENT`].
    pub revision: Revision,
    /// The value, or `None` if the key does not exist.
    pub value: Option<Vec<u8>>,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was written.
    Swapped,
    /// The key has a different revision; nothing was written.
    Mismatch,
}

/// Failure of a store call. A failed write may still have taken effect.
///
/// The administration API returns the texts of these errors, so they are part of its interface.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The store cannot be reached, failed or did not respond.
    #[snafu(display("the store does not answer: {reason}; check that it runs and can be reached"))]
    Unavailable {
        /// Cause of the failure.
        reason: String,
    },
    /// The store's response, or the value in it, cannot be interpreted.
    #[snafu(display("the store's answer is not understood: {reason}; check the store's URL"))]
    Unexpected {
        /// What was unexpected.
        reason: String,
    },
}

/// A key-value store with compare-and-swap, watches and leases.
pub trait Store: Clone + Send + Sync + 'static {
    /// Handle to a lease.
    type Lease: Clone + fmt::Debug + Send + Sync;

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn get(&self, key: &str) -> impl Future<Output = Result<VersionedValue, StoreError>> + Send;

    /// Writes a key if its revision is `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond; the write may still have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> impl Future<Output = Result<SwapOutcome, StoreError>> + Send;

    /// Waits until the revision of the key differs from `last_seen` or the watch times out, and
    /// returns the current value.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn watch(
        &self,
        key: &str,
        last_seen: Revision,
    ) -> impl Future<Output = Result<VersionedValue, StoreError>> + Send;

    /// Acquires a lease on `key` for `holder`, which expires after `ttl_ms` unless renewed. Returns
    /// `None` if another holder has the lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn acquire_lease(
        &self,
        key: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<Option<Self::Lease>, StoreError>> + Send;

    /// Renews a lease. Returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn renew_lease(
        &self,
        lease: &Self::Lease,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Releases a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn release_lease(
        &self,
        lease: &Self::Lease,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// A key-value pair in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last write to the key.
    pub revision: Revision,
}

/// Result of reading all keys with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeResponse {
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
    /// Revision of the store at the start of the read. A range is read in pages, and the entries may
    /// include some later changes. Watches start from here, because the history at the revisions of
    /// the entries may have been compacted.
    pub store_revision: Revision,
}

/// Change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The entry was written.
    Written(Entry),
    /// The entry with this key was deleted.
    Deleted(Arc<str>),
}

/// Changes to the keys with a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PrefixChanges {
    /// Entries were written or deleted. The next watch continues after `revision`.
    Changed {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// Revision up to which changes are included.
        revision: Revision,
    },
    /// The history after the requested revision has been compacted, so all entries must be read
    /// again.
    Compacted,
}

/// Result of a write with a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasedWriteOutcome {
    /// The entry was written and is deleted when the lease ends.
    Written,
    /// The lease has expired or was revoked; nothing was written.
    LeaseEnded,
}

/// A key-value store with prefix watches, whose entries can be attached to leases.
pub trait LeasedStore: Clone + Send + Sync + 'static {
    /// Lease ID.
    type Lease: Copy + fmt::Debug + Send + Sync;

    /// Reads all entries whose key starts with `prefix`, and the store revision from which to watch
    /// them. With `allow_stale`, they may be a few
    /// seconds old.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn read_range(
        &self,
        prefix: &str,
        allow_stale: bool,
    ) -> impl Future<Output = Result<StoreReply<RangeResponse>, StoreError>> + Send;

    /// Waits until a key with `prefix` changes after revision `after`, or until `wait_ms`
    /// milliseconds have passed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn watch_prefix(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> impl Future<Output = Result<StoreReply<PrefixChanges>, StoreError>> + Send;

    /// Creates a lease that expires after `ttl_ms` milliseconds unless renewed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn create_lease(
        &self,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<StoreReply<Self::Lease>, StoreError>> + Send;

    /// Renews a lease. Returns `false` if it has ended.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn keep_lease_alive(
        &self,
        lease: Self::Lease,
    ) -> impl Future<Output = Result<StoreReply<bool>, StoreError>> + Send;

    /// Ends a lease and deletes its entries.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond.
    fn revoke_lease(
        &self,
        lease: Self::Lease,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes an entry that is deleted when the lease ends.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not respond; the write may still have taken effect.
    fn write_with_lease(
        &self,
        key: &str,
        value: &[u8],
        lease: Self::Lease,
    ) -> impl Future<Output = Result<StoreReply<LeasedWriteOutcome>, StoreError>> + Send;
}
