//! Follows the policy in the store, from a few balancers of each failure domain only.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use slog::{Logger, info, warn};
use tokio::time;

use super::{
    commit::current_policy,
    policy_cell::PolicyCell,
    store::{Revision, Store, StoreError, Versioned},
};

/// Shortest and longest pause after a failed call.
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 5_000;

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

/// Reads the policy once, then watches it whenever this balancer holds a watcher's seat.
pub async fn run<S: Store>(store: S, plan: WatchPlan, cell: PolicyCell, log: Logger) {
    let mut backoff = Backoff::new();
    let mut is_reported = false;
    loop {
        match follow(&store, &plan, &cell, &log).await {
            Ok(()) => {
                is_reported = false;
                backoff.reset();
            }
            Err(error) => {
                if !is_reported {
                    warn!(log, "store is not available"; "error" => %error,
                        "policy_version" => cell.version());
                    is_reported = true;
                }
                backoff.wait().await;
            }
        }
    }
}

async fn follow<S: Store>(
    store: &S,
    plan: &WatchPlan,
    cell: &PolicyCell,
    log: &Logger,
) -> Result<(), StoreError> {
    let stored = store.get(&plan.policy_key).await?;
    let seen = offer(&stored, cell, log);
    let Some(lease) = take_seat(store, plan).await? else {
        let pause_ms = rand::rng().random_range(plan.lease_ttl_ms / 2..=plan.lease_ttl_ms);
        time::sleep(Duration::from_millis(pause_ms)).await;
        return Ok(());
    };
    info!(log, "watching the store"; "failure_domain" => %plan.failure_domain);
    tokio::select! {
        result = keep_seat(store, &lease, plan.lease_ttl_ms) => result,
        result = watch(store, plan, cell, seen, log) => result,
    }
}

async fn take_seat<S: Store>(store: &S, plan: &WatchPlan) -> Result<Option<S::Lease>, StoreError> {
    for seat in 0..plan.seats {
        let key = format!(
            "{}/watchers/{}/{seat}",
            plan.policy_key, plan.failure_domain
        );
        let lease = store
            .acquire_lease(&key, &plan.holder, plan.lease_ttl_ms)
            .await?;
        if lease.is_some() {
            return Ok(lease);
        }
    }
    Ok(None)
}

/// Returns once the lease is lost.
async fn keep_seat<S: Store>(store: &S, lease: &S::Lease, ttl_ms: u64) -> Result<(), StoreError> {
    loop {
        time::sleep(Duration::from_millis(ttl_ms / 3)).await;
        if !store.renew_lease(lease).await? {
            return Ok(());
        }
    }
}

async fn watch<S: Store>(
    store: &S,
    plan: &WatchPlan,
    cell: &PolicyCell,
    mut seen: Revision,
    log: &Logger,
) -> Result<(), StoreError> {
    loop {
        let stored = store.watch(&plan.policy_key, seen).await?;
        seen = offer(&stored, cell, log);
    }
}

fn offer(stored: &Versioned, cell: &PolicyCell, log: &Logger) -> Revision {
    match current_policy(stored) {
        Some(policy) => {
            let version = policy.version;
            if cell.offer(policy) {
                info!(log, "policy in force"; "version" => version, "source" => "store");
            }
        }
        None => warn!(log, "stored policy has faults and is ignored"),
    }
    stored.revision
}

/// Pauses that double, with jitter.
struct Backoff {
    next_ms: u64,
}

impl Backoff {
    fn new() -> Self {
        Self {
            next_ms: MIN_BACKOFF_MS,
        }
    }

    fn reset(&mut self) {
        self.next_ms = MIN_BACKOFF_MS;
    }

    async fn wait(&mut self) {
        let pause_ms = rand::rng().random_range(self.next_ms / 2..=self.next_ms);
        time::sleep(Duration::from_millis(pause_ms)).await;
        self.next_ms = (self.next_ms * 2).min(MAX_BACKOFF_MS);
    }
}
