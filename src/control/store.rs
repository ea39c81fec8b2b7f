//! The platform's key-value store as this project sees it.

use std::{fmt, future::Future, sync::Arc};

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

/// An entry of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its key.
    pub key: Arc<str>,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: Revision,
}

/// An entry as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The entry; `None` if there is none.
    pub entry: Option<Entry>,
    /// Revision of the store at that time. A watch starts here and not at the entry's revision,
    /// whose history may be gone.
    pub store_revision: Revision,
}

/// What has changed below a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Changes {
    /// These entries were written; the watch goes on after `revision`.
    Written {
        /// The entries, oldest first.
        entries: Vec<Entry>,
        /// Revision up to which changes were told.
        revision: Revision,
    },
    /// The store has dropped the history since the asked revision: everything must be read again.
    HistoryLost,
}

/// What became of a write under a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasedWrite {
    /// The entry was written and lives as long as the lease.
    Written,
    /// The lease has ended; nothing was written.
    LeaseEnded,
}

/// A key-value store whose entries can live as long as a lease, with ranges and watches of
/// prefixes.
pub trait LeasedStore: Clone + Send + Sync + 'static {
    /// Names a lease.
    type Lease: Copy + fmt::Debug + Send + Sync;

    /// Reads one entry, with the revision from which a watch goes on.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn read(&self, key: &str) -> impl Future<Output = Result<Reading, StoreError>> + Send;

    /// Reads all entries below a prefix. With `may_be_stale` they may be seconds old.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn read_range(
        &self,
        prefix: &str,
        may_be_stale: bool,
    ) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;

    /// Waits until something below a prefix has changed after a revision, or a time has passed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn watch_prefix(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Makes a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn create_lease(
        &self,
        ttl_ms: u64,
    ) -> impl Future<Output = Result<Self::Lease, StoreError>> + Send;

    /// Renews a lease; returns whether it was still held.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn keep_lease(
        &self,
        lease: Self::Lease,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Ends a lease and removes its entries.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives.
    fn end_lease(&self, lease: Self::Lease) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes an entry that lives as long as a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer arrives; the write may have taken effect.
    fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: Self::Lease,
    ) -> impl Future<Output = Result<LeasedWrite, StoreError>> + Send;
}
