//! Injects store faults at every call of a policy commit. The outcome that is reported to the
//! operator must match the stored policy, and the change must be applied at most once.

use bamboowind::{
    control::{
        commit::{self, CommitContext, CommitOutcome},
        memory_store::{MemoryStore, StoreFaults},
        policy,
        store::{Revision, Store, StoreError, SwapOutcome, VersionedValue},
    },
    proto::policy::{ChangeRequest, Limits, Policy},
};
use proptest::prelude::*;

const KEY: &str = "policy";

/// Fault injected into one call of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The request is lost and never takes effect.
    RequestLost,
    /// The request takes effect and its reply is lost.
    ReplyLost,
    /// Another operator commits a change before the call.
    ConcurrentCommit,
}

const FAULTS: [Fault; 4] = [
    Fault::None,
    Fault::RequestLost,
    Fault::ReplyLost,
    Fault::ConcurrentCommit,
];

/// A store that injects the scripted faults, one per call, and none after the end of the script.
#[derive(Clone)]
struct ScriptedStore {
    inner: MemoryStore,
    /// Faults of the coming calls; the next one is last.
    script: std::sync::Arc<std::sync::Mutex<Vec<Fault>>>,
}

impl ScriptedStore {
    fn new(script: &[Fault]) -> Self {
        let mut script = script.to_vec();
        script.reverse();
        Self {
            inner: MemoryStore::new(),
            script: std::sync::Arc::new(script.into()),
        }
    }

    fn next_fault(&self) -> Fault {
        self.script
            .lock()
            .expect("script lock is poisoned")
            .pop()
            .unwrap_or(Fault::None)
    }

    /// Commits a change of another operator, without faults.
    async fn commit_concurrently(&self) {
        let stored = self.inner.get(KEY).await.expect("failed to read the store");
        let version = commit::policy_or_initial(&stored)
            .expect("invalid policy")
            .version;
        let concurrent = change_request(&format!("concurrent-{version}"), version, 99);
        let outcome = commit::commit(
            &self.inner,
            KEY,
            &concurrent,
            &commit_context(&policy::initial()),
        )
        .await;
        assert!(matches!(outcome, CommitOutcome::Accepted(_)));
    }

    /// Makes a call of the store and injects the next fault of the script.
    async fn call_with_fault<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let unavailable = || StoreError::Unavailable {
            reason: "injected fault".to_owned(),
        };
        match self.next_fault() {
            Fault::None => call.await,
            Fault::RequestLost => Err(unavailable()),
            Fault::ReplyLost => call.await.and_then(|_| Err(unavailable())),
            Fault::ConcurrentCommit => {
                self.commit_concurrently().await;
                call.await
            }
        }
    }
}

impl Store for ScriptedStore {
    type Lease = <MemoryStore as Store>::Lease;

    async fn get(&self, key: &str) -> Result<VersionedValue, StoreError> {
        self.call_with_fault(self.inner.get(key)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        self.call_with_fault(self.inner.compare_and_swap(key, value, expected))
            .await
    }

    async fn watch(&self, key: &str, seen: Revision) -> Result<VersionedValue, StoreError> {
        self.inner.watch(key, seen).await
    }

    async fn acquire_lease(
        &self,
        key: &str,
        holder: &str,
        ttl_ms: u64,
    ) -> Result<Option<Self::Lease>, StoreError> {
        self.inner.acquire_lease(key, holder, ttl_ms).await
    }

    async fn renew_lease(&self, lease: &Self::Lease) -> Result<bool, StoreError> {
        self.inner.renew_lease(lease).await
    }

    async fn release_lease(&self, lease: &Self::Lease) -> Result<(), StoreError> {
        self.inner.release_lease(lease).await
    }
}

fn change_request(change_id: &str, base_version: u64, slots: u32) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.to_owned(),
        operator: "tester".to_owned(),
        base_version,
        set_defaults: Some(Limits {
            slots: Some(slots),
            ..Limits::default()
        }),
        ..ChangeRequest::default()
    }
}

fn commit_context(initial: &Policy) -> CommitContext<'_> {
    CommitContext {
        initial,
        known: initial,
        changed_at_ms: 1,
    }
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder
        .enable_all()
        .start_paused(true)
        .build()
        .expect("failed to build the runtime")
}

/// Commits a change under a script of faults and compares the outcome with the stored policy.
async fn check_commit(script: &[Fault]) {
    let store = ScriptedStore::new(script);
    let initial = policy::initial();
    let outcome = commit::commit(
        &store,
        KEY,
        &change_request("change-under-test", 0, 7),
        &commit_context(&initial),
    )
    .await;
    let stored = store
        .inner
        .get(KEY)
        .await
        .expect("failed to read the store");
    let current = commit::policy_or_initial(&stored).expect("invalid policy");
    let count = current
        .history
        .iter()
        .filter(|change| change.change_id == "change-under-test")
        .count();
    assert!(count <= 1, "{script:?}: applied {count} times");
    match outcome {
        CommitOutcome::Accepted(_) => assert_eq!(count, 1, "{script:?}: accepted but not stored"),
        CommitOutcome::Unknown(_) => {}
        other => assert_eq!(count, 0, "{script:?}: {other:?} but stored"),
    }
    let versions: Vec<u64> = current
        .history
        .iter()
        .map(|change| change.version)
        .collect();
    assert!(
        versions.is_sorted_by(|version, next| version < next),
        "{script:?}: {versions:?}"
    );
}

#[test]
fn single_faults_and_pairs_of_faults_at_every_call() {
    let runtime = runtime();
    for position in 0..6 {
        for first in FAULTS {
            for second in FAULTS {
                let mut script = vec![Fault::None; position];
                script.extend([first, second]);
                runtime.block_on(check_commit(&script));
            }
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_sequences_of_faults(
        script in prop::collection::vec(prop::sample::select(FAULTS.to_vec()), 0..14),
    ) {
        runtime().block_on(check_commit(&script));
    }
}

#[test]
fn repeated_change_request_is_applied_once() {
    runtime().block_on(async {
        let store = MemoryStore::new();
        let initial = policy::initial();
        store.set_faults(StoreFaults {
            lost_write_replies: 100,
            ..StoreFaults::default()
        });
        for _ in 0..3 {
            let request = change_request("change-under-test", 0, 7);
            let outcome = commit::commit(&store, KEY, &request, &commit_context(&initial)).await;
            assert!(matches!(outcome, CommitOutcome::Accepted(policy) if policy.version == 1));
        }
    });
}

#[test]
fn lease_that_expired_during_a_pause_of_its_holder_cannot_be_renewed() {
    let runtime = tokio::runtime::Runtime::new().expect("failed to build the runtime");
    runtime.block_on(async {
        let store = MemoryStore::new();
        let lease = store
            .acquire_lease("watcher", "one", 20)
            .await
            .expect("store call failed");
        let lease = lease.expect("lease is taken");
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        let second_lease = store
            .acquire_lease("watcher", "two", 60_000)
            .await
            .expect("store call failed");
        assert!(second_lease.is_some());
        assert!(!store.renew_lease(&lease).await.expect("store call failed"));
    });
}
