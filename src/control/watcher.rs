//! Watches the policy in the store, from a limited number of balancers per failure domain.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use slog::{Logger, info, warn};
use tokio::time;

use super::{
    backoff::Backoff,
    commit::policy_or_initial,
    policy, recovery,
    shared_policy::SharedPolicy,
    store::{Revision, Store, StoreError, SwapOutcome, VersionedValue},
    store_contact::StoreContact,
};
use crate::{
    clock::{Clock, unix_ms},
    observe::counters::{Counters, Event},
    proto::policy::Policy,
};

/// Bounds of the delay after a failed call, in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 10_000;
/// Maximum random delay before the first call, in milliseconds. Spreads the calls of balancers that
/// start together.
const MAX_START_DELAY_MS: u64 = 500;
/// Maximum delay between checks for fresh contact with the store, in milliseconds.
const MAX_CONTACT_CHECK_INTERVAL_MS: u64 = 2_000;

/// Configuration of a [`Watcher`].
#[derive(Clone, Debug)]
pub struct WatchConfig {
    /// Store key of the policy; also the prefix of the lease keys.
    pub policy_key: Arc<str>,
    /// Failure domain of this balancer, to which `max_watchers` applies.
    pub failure_domain: Arc<str>,
    /// Name of this balancer, recorded as the holder of the lease.
    pub holder: Arc<str>,
    /// Maximum number of watchers in the failure domain.
    pub max_watchers: u32,
    /// Lifetime of a watcher lease without renewal, in milliseconds.
    pub lease_ttl_ms: u64,
}

/// Follows the policy in the store while no reachable peer does.
#[derive(Clone)]
pub struct Watcher<S> {
    /// Store that contains the policy.
    pub store: S,
    /// Key, lease and failure domain to use.
    pub config: WatchConfig,
    /// Current policy of this process.
    pub policy: SharedPolicy,
    /// Last contact with the store by this balancer or a peer.
    pub store_contact: StoreContact,
    /// Clock of the process.
    pub clock: Clock,
    /// Event counters.
    pub counters: Counters,
    /// Logger.
    pub log: Logger,
}

impl<S: Store> Watcher<S> {
    /// Watches the store whenever there is no fresh contact with it. Never returns.
    pub async fn run(self) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        let mut outage_logged = false;
        sleep_random(MAX_START_DELAY_MS).await;
        loop {
            while self.store_contact.is_fresh(self.clock.now_ms()) {
                sleep_random(MAX_CONTACT_CHECK_INTERVAL_MS).await;
            }
            match self.read_and_watch().await {
                Ok(()) => {
                    outage_logged = false;
                    backoff.reset();
                }
                Err(error) => {
                    if !outage_logged {
                        warn!(self.log, "store is unavailable"; "error" => %error,
                            "policy_version" => self.policy.version());
                        outage_logged = true;
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads the policy once, then watches it if a watcher lease is available.
    async fn read_and_watch(&self) -> Result<(), StoreError> {
        let stored = self
            .track_call(self.store.get(&self.config.policy_key))
            .await?;
        let last_seen = self.reconcile(&stored).await?;
        let Some(lease) = self.acquire_watcher_lease().await? else {
            return Ok(());
        };
        info!(self.log, "watching the policy in the store";
            "failure_domain" => %self.config.failure_domain);
        tokio::select! {
            result = self.renew_until_lost(&lease) => result,
            result = self.watch(last_seen) => result,
        }
    }

    /// Tries each watcher lease of the failure domain in turn.
    async fn acquire_watcher_lease(&self) -> Result<Option<S::Lease>, StoreError> {
        let config = &self.config;
        for index in 0..config.max_watchers {
            let key = format!(
                "{}/watchers/{}/{index}",
                config.policy_key, config.failure_domain
            );
            let acquire = self
                .store
                .acquire_lease(&key, &config.holder, config.lease_ttl_ms);
            let lease = self.track_call(acquire).await?;
            if lease.is_some() {
                return Ok(lease);
            }
        }
        Ok(None)
    }

    /// Returns when the lease has been lost.
    async fn renew_until_lost(&self, lease: &S::Lease) -> Result<(), StoreError> {
        loop {
            time::sleep(Duration::from_millis(self.config.lease_ttl_ms / 3)).await;
            if !self.track_call(self.store.renew_lease(lease)).await? {
                return Ok(());
            }
        }
    }

    async fn watch(&self, mut last_seen: Revision) -> Result<(), StoreError> {
        loop {
            let stored = self
                .track_call(self.store.watch(&self.config.policy_key, last_seen))
                .await?;
            last_seen = self.reconcile(&stored).await?;
        }
    }

    /// Replaces the current policy if the stored one is newer, and writes to the store what it has
    /// lost. Returns the revision to watch from.
    async fn reconcile(&self, stored: &VersionedValue) -> Result<Revision, StoreError> {
        let Some(policy) = policy_or_initial(stored) else {
            warn!(self.log, "stored policy is invalid; ignoring it");
            return Ok(stored.revision);
        };
        if self.policy.update_if_newer(policy.clone()) {
            info!(self.log, "policy updated"; "version" => policy.version, "source" => "store");
        }
        self.recover_lost_changes(&policy, stored.revision).await?;
        Ok(stored.revision)
    }

    /// Writes to the store what it has lost of the policy of this process. Another write in between
    /// makes this one fail; the next watch returns its result.
    async fn recover_lost_changes(
        &self,
        stored: &Policy,
        revision: Revision,
    ) -> Result<(), StoreError> {
        let local = self.policy.current();
        let Some(next) = recovery::policy_to_write(&local, stored, unix_ms()) else {
            return Ok(());
        };
        let value = policy::encode(&next);
        let key = &self.config.policy_key;
        let write = self.store.compare_and_swap(key, &value, revision);
        let outcome = self.track_call(write).await?;
        warn!(self.log, "store has lost policy changes"; "version" => local.version,
            "stored_version" => stored.version, "written_version" => next.version,
            "change_id" => &next.change_id, "is_written" => outcome == SwapOutcome::Swapped);
        if outcome == SwapOutcome::Swapped {
            self.counters.count(Event::PolicyRecovered);
            self.policy.update_if_newer(next);
        }
        Ok(())
    }

    /// Counts a store call and, if it succeeds, records the contact.
    async fn track_call<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.counters.count(Event::StoreCalled);
        let result = call.await;
        if result.is_ok() {
            self.store_contact.record_contact(self.clock.now_ms());
        }
        result
    }
}

/// Sleeps for a random time of at most `max_ms` milliseconds.
async fn sleep_random(max_ms: u64) {
    let delay_ms = rand::rng().random_range(0..=max_ms);
    time::sleep(Duration::from_millis(delay_ms)).await;
}
