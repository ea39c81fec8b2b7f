//! In-memory [`Store`] with fault injection, for the quickstart and the tests.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{sync::watch, time};

use super::store::{Revision, Store, StoreError, SwapOutcome, VersionedValue};

const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Fails every call without executing it.
    pub down: bool,
    /// Delay before each call is executed, in milliseconds.
    pub delay_ms: u64,
    /// Number of following writes that are executed but return an error.
    pub lost_write_replies: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    key: String,
    versioned: VersionedValue,
}

#[derive(Clone, Debug)]
struct ActiveLease {
    key: String,
    id: u64,
    expires_at: Instant,
    ttl_ms: u64,
}

/// Contents of a [`MemoryStore`] at one time.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// May contain expired leases.
    leases: Vec<ActiveLease>,
    /// Last number assigned to a revision or a lease.
    last_revision: u64,
}

#[derive(Debug, Default)]
struct State {
    contents: StoreCopy,
    faults: StoreFaults,
    call_count: u64,
}

/// A lease in a [`MemoryStore`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemoryLease {
    /// Unique lease ID.
    pub id: u64,
}

/// An in-memory store; clones share their contents.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    /// Incremented after each write; wakes the watches.
    write_counter: Arc<watch::Sender<u64>>,
    watch_timeout_ms: u64,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            write_counter: Arc::new(watch::channel(0).0),
            watch_timeout_ms: DEFAULT_WATCH_TIMEOUT_MS,
        }
    }

    /// Sets the longest time that a watch waits for a change.
    #[must_use]
    pub fn with_watch_timeout_ms(mut self, watch_timeout_ms: u64) -> Self {
        self.watch_timeout_ms = watch_timeout_ms;
        self
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Copies the contents.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        self.lock().contents.clone()
    }

    /// Replaces the contents by those of an older copy. What was written since is lost, and its
    /// revisions are assigned again.
    pub fn restore(&self, copy: StoreCopy) {
        self.lock().contents = copy;
        self.write_counter.send_modify(|count| *count += 1);
    }

    /// Number of calls received so far; a watch counts once however long it waits.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.lock().call_count
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the injected delay and outage.
    async fn begin_call(&self) -> Result<(), StoreError> {
        let faults = {
            let mut state = self.lock();
            state.call_count += 1;
            state.faults
        };
        if faults.delay_ms > 0 {
            time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.lock().faults.down {
            Err(unavailable("it is down"))
        } else {
            Ok(())
        }
    }

    fn read(&self, key: &str) -> VersionedValue {
        self.lock().contents.read(key)
    }

    fn swap(&self, key: &str, value: &[u8], expected: Revision) -> Result<SwapOutcome, StoreError> {
        let (outcome, lose_reply) = {
            let mut state = self.lock();
            let outcome = state.contents.swap(key, value, expected);
            let lose_reply = state.faults.lost_write_replies > 0;
            state.faults.lost_write_replies = state.faults.lost_write_replies.saturating_sub(1);
            (outcome, lose_reply)
        };
        self.write_counter.send_modify(|count| *count += 1);
        if lose_reply {
            Err(unavailable("the answer was lost"))
        } else {
            Ok(outcome)
        }
    }
}

impl StoreCopy {
    fn read(&self, key: &str) -> VersionedValue {
        let absent = VersionedValue {
            revision: Revision::ABSENT,
            value: None,
        };
        self.search(key)
            .map_or(absent, |index| self.entries[index].versioned.clone())
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }

    fn swap(&mut self, key: &str, value: &[u8], expected: Revision) -> SwapOutcome {
        if self.read(key).revision != expected {
            return SwapOutcome::Mismatch;
        }
        self.last_revision += 1;
        let versioned = VersionedValue {
            revision: Revision(self.last_revision),
            value: Some(value.to_vec()),
        };
        match self.search(key) {
            Ok(index) => self.entries[index].versioned = versioned,
            Err(index) => self.entries.insert(
                index,
                Entry {
                    key: key.to_owned(),
                    versioned,
                },
            ),
        }
        SwapOutcome::Swapped
    }

    fn drop_expired_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|lease| lease.expires_at > now);
    }
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
    }
}

impl Store for MemoryStore {
    type Lease = MemoryLease;

    async fn get(&self, key: &str) -> Result<VersionedValue, StoreError> {
        self.begin_call().await?;
        Ok(self.read(key))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        self.begin_call().await?;
        self.swap(key, value, expected)
    }

    async fn watch(&self, key: &str, last_seen: Revision) -> Result<VersionedValue, StoreError> {
        self.begin_call().await?;
        let deadline = time::Instant::now() + Duration::from_millis(self.watch_timeout_ms);
        let mut write_counter = self.write_counter.subscribe();
        loop {
            let versioned = self.read(key);
            if versioned.revision != last_seen {
                return Ok(versioned);
            }
            if time::timeout_at(deadline, write_counter.changed())
                .await
                .is_err()
            {
                return Ok(versioned);
            }
        }
    }

    async fn acquire_lease(
        &self,
        key: &str,
        _holder: &str,
        ttl_ms: u64,
    ) -> Result<Option<MemoryLease>, StoreError> {
        self.begin_call().await?;
        let contents = &mut self.lock().contents;
        contents.drop_expired_leases();
        if contents.leases.iter().any(|lease| lease.key == key) {
            return Ok(None);
        }
        contents.last_revision += 1;
        let id = contents.last_revision;
        contents.leases.push(ActiveLease {
            key: key.to_owned(),
            id,
            expires_at: Instant::now() + Duration::from_millis(ttl_ms),
            ttl_ms,
        });
        Ok(Some(MemoryLease { id }))
    }

    async fn renew_lease(&self, lease: &MemoryLease) -> Result<bool, StoreError> {
        self.begin_call().await?;
        let contents = &mut self.lock().contents;
        contents.drop_expired_leases();
        let held = contents.leases.iter_mut().find(|held| held.id == lease.id);
        if let Some(held) = held {
            held.expires_at = Instant::now() + Duration::from_millis(held.ttl_ms);
            return Ok(true);
        }
        Ok(false)
    }

    async fn release_lease(&self, lease: &MemoryLease) -> Result<(), StoreError> {
        self.begin_call().await?;
        self.lock()
            .contents
            .leases
            .retain(|held| held.id != lease.id);
        Ok(())
    }
}
