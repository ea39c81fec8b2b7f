//! A store in memory, with the faults of a real one, for the quickstart and the tests.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{sync::watch, time};

use super::store::{Revision, Store, StoreError, SwapOutcome, Versioned};

const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;

/// Faults that the store shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// No call is answered or takes effect.
    pub down: bool,
    /// Every call waits this long first, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect and whose answers are lost.
    pub lost_write_replies: u32,
}

#[derive(Debug)]
struct Entry {
    key: String,
    versioned: Versioned,
}

#[derive(Debug)]
struct HeldLease {
    key: String,
    id: u64,
    expires_at: Instant,
    ttl_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<Entry>,
    leases: Vec<HeldLease>,
    next_revision: u64,
    faults: StoreFaults,
    calls: u64,
}

/// A lease of the store in memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemoryLease {
    /// Number of the lease.
    pub id: u64,
}

/// A store in memory that can be told to fail.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changes: Arc<watch::Sender<u64>>,
    watch_timeout_ms: u64,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Makes an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            changes: Arc::new(watch::channel(0).0),
            watch_timeout_ms: DEFAULT_WATCH_TIMEOUT_MS,
        }
    }

    /// Sets how long a watch waits.
    #[must_use]
    pub fn with_watch_timeout_ms(mut self, watch_timeout_ms: u64) -> Self {
        self.watch_timeout_ms = watch_timeout_ms;
        self
    }

    /// Sets the faults that the store shows from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Number of calls that the store has taken, a waiting watch as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn begin(&self) -> Result<(), StoreError> {
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
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

    fn read(&self, key: &str) -> Versioned {
        self.lock().read(key)
    }

    fn swap(&self, key: &str, value: &[u8], expected: Revision) -> Result<SwapOutcome, StoreError> {
        let (outcome, is_lost) = {
            let mut state = self.lock();
            let outcome = state.swap(key, value, expected);
            let is_lost = state.faults.lost_write_replies > 0;
            state.faults.lost_write_replies = state.faults.lost_write_replies.saturating_sub(1);
            (outcome, is_lost)
        };
        self.changes.send_modify(|count| *count += 1);
        if is_lost {
            Err(unavailable("the answer was lost"))
        } else {
            Ok(outcome)
        }
    }
}

impl State {
    fn read(&self, key: &str) -> Versioned {
        let absent = Versioned {
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
        self.next_revision += 1;
        let versioned = Versioned {
            revision: Revision(self.next_revision),
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

    async fn get(&self, key: &str) -> Result<Versioned, StoreError> {
        self.begin().await?;
        Ok(self.read(key))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        self.begin().await?;
        self.swap(key, value, expected)
    }

    async fn watch(&self, key: &str, seen: Revision) -> Result<Versioned, StoreError> {
        self.begin().await?;
        let deadline = time::Instant::now() + Duration::from_millis(self.watch_timeout_ms);
        let mut changes = self.changes.subscribe();
        loop {
            let versioned = self.read(key);
            if versioned.revision != seen {
                return Ok(versioned);
            }
            if time::timeout_at(deadline, changes.changed()).await.is_err() {
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
        self.begin().await?;
        let mut state = self.lock();
        state.drop_expired_leases();
        if state.leases.iter().any(|lease| lease.key == key) {
            return Ok(None);
        }
        state.next_revision += 1;
        let id = state.next_revision;
        state.leases.push(HeldLease {
            key: key.to_owned(),
            id,
            expires_at: Instant::now() + Duration::from_millis(ttl_ms),
            ttl_ms,
        });
        Ok(Some(MemoryLease { id }))
    }

    async fn renew_lease(&self, lease: &MemoryLease) -> Result<bool, StoreError> {
        self.begin().await?;
        let mut state = self.lock();
        state.drop_expired_leases();
        let held = state.leases.iter_mut().find(|held| held.id == lease.id);
        if let Some(held) = held {
            held.expires_at = Instant::now() + Duration::from_millis(held.ttl_ms);
            return Ok(true);
        }
        Ok(false)
    }

    async fn release_lease(&self, lease: &MemoryLease) -> Result<(), StoreError> {
        self.begin().await?;
        self.lock().leases.retain(|held| held.id != lease.id);
        Ok(())
    }
}
