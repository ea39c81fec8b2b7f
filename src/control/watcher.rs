//! Follows the policy in the store, from a few balancers of each failure domain only.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use slog::{Logger, info, warn};
use tokio::time;

use super::{
    backoff::Backoff,
    commit::current_policy,
    policy_cell::PolicyCell,
    store::{Revision, Store, StoreError, Versioned},
    store_contact::StoreContact,
};
use crate::{
    clock::Clock,
    observe::counters::{Counters, Event},
};

/// Shortest and longest pause after a failed call.
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 10_000;
/// Time over which the first calls of balancers that start together are spread.
const START_JITTER_MS: u64 = 500;
/// Longest pause between two looks whether the store is left to others.
const IDLE_MS: u64 = 2_000;

/// Where and how the store is watched.
#[derive(Clone, Debug)]
pub struct WatchPlan {
    /// Key that holds the policy.
    pub policy_key: Arc<str>,
    /// Failure domain whose watcher seats are used.
    pub failure_domain: Arc<str>,
    /// Name of this balancer.
    pub holder: Arc<str>,
    /// Number of watcher seats.
    pub seats: u32,
    /// Lifetime of a seat's lease.
    pub lease_ttl_ms: u64,
}

/// What a watcher works with.
#[derive(Clone)]
pub struct Watcher<S> {
    /// The store.
    pub store: S,
    /// Where and how it is watched.
    pub plan: WatchPlan,
    /// Takes the policy.
    pub cell: PolicyCell,
    /// Says whether another balancer reaches the store.
    pub contact: StoreContact,
    /// Clock of the process.
    pub clock: Clock,
    /// Counts the calls.
    pub counters: Counters,
    /// Receives the events.
    pub log: Logger,
}

impl<S: Store> Watcher<S> {
    /// Watches the store whenever no balancer that this one can hear reaches it.
    pub async fn run(self) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        let mut is_reported = false;
        sleep_up_to(START_JITTER_MS).await;
        loop {
            while self.contact.is_fresh(self.clock.now_ms()) {
                sleep_up_to(IDLE_MS).await;
            }
            match self.follow().await {
                Ok(()) => {
                    is_reported = false;
                    backoff.reset();
                }
                Err(error) => {
                    if !is_reported {
                        warn!(self.log, "store is not available"; "error" => %error,
                            "policy_version" => self.cell.version());
                        is_reported = true;
                    }
                    backoff.wait().await;
                }
            }
        }
    }

    /// Reads the policy, and watches it if a watcher's seat is free.
    async fn follow(&self) -> Result<(), StoreError> {
        let stored = self.called(self.store.get(&self.plan.policy_key)).await?;
        let seen = self.offer(&stored);
        let Some(lease) = self.take_seat().await? else {
            return Ok(());
        };
        info!(self.log, "watching the store"; "failure_domain" => %self.plan.failure_domain);
        tokio::select! {
            result = self.keep_seat(&lease) => result,
            result = self.watch(seen) => result,
        }
    }

    async fn take_seat(&self) -> Result<Option<S::Lease>, StoreError> {
        let plan = &self.plan;
        for seat in 0..plan.seats {
            let key = format!(
                "{}/watchers/{}/{seat}",
                plan.policy_key, plan.failure_domain
            );
            let acquiring = self
                .store
                .acquire_lease(&key, &plan.holder, plan.lease_ttl_ms);
            let lease = self.called(acquiring).await?;
            if lease.is_some() {
                return Ok(lease);
            }
        }
        Ok(None)
    }

    /// Returns once the lease is lost.
    async fn keep_seat(&self, lease: &S::Lease) -> Result<(), StoreError> {
        loop {
            time::sleep(Duration::from_millis(self.plan.lease_ttl_ms / 3)).await;
            if !self.called(self.store.renew_lease(lease)).await? {
                return Ok(());
            }
        }
    }

    async fn watch(&self, mut seen: Revision) -> Result<(), StoreError> {
        loop {
            let stored = self
                .called(self.store.watch(&self.plan.policy_key, seen))
                .await?;
            seen = self.offer(&stored);
        }
    }

    /// Counts a call and notes that the store was reached if it was.
    async fn called<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.counters.count(Event::StoreCalled);
        let result = call.await;
        if result.is_ok() {
            self.contact.reached(self.clock.now_ms());
        }
        result
    }

    fn offer(&self, stored: &Versioned) -> Revision {
        match current_policy(stored) {
            Some(policy) => {
                let version = policy.version;
                if self.cell.offer(policy) {
                    info!(self.log, "policy in force"; "version" => version, "source" => "store");
                }
            }
            None => warn!(self.log, "stored policy has faults and is ignored"),
        }
        stored.revision
    }
}

async fn sleep_up_to(longest_ms: u64) {
    let pause_ms = rand::rng().random_range(0..=longest_ms);
    time::sleep(Duration::from_millis(pause_ms)).await;
}
