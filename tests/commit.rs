//! Every fault of the store at every call of a commit: what the operator is told is true, and
//! nothing reverts.

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

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The call is lost on its way and never takes effect.
    CallLost,
    /// The call takes effect and its answer is lost.
    ReplyLost,
    /// Another operator's change comes first.
    Race,
}

const FAULTS: [Fault; 4] = [Fault::None, Fault::CallLost, Fault::ReplyLost, Fault::Race];

/// A store that shows a scripted fault at each call, and none after the script.
#[derive(Clone)]
struct ScriptedStore {
    inner: MemoryStore,
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
            .expect("a script")
            .pop()
            .unwrap_or(Fault::None)
    }

    /// Another operator commits a change of their own.
    async fn race(&self) {
        let stored = self.inner.get(KEY).await.expect("a reading");
        let version = commit::policy_or_initial(&stored)
            .expect("a policy")
            .version;
        let rival = request(&format!("rival-{version}"), version, 99);
        let outcome = commit::commit(&self.inner, KEY, &rival, &start(&policy::initial())).await;
        assert!(matches!(outcome, CommitOutcome::Accepted(_)));
    }

    async fn apply<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let lost = || StoreError::Unavailable {
            reason: "scripted".to_owned(),
        };
        match self.next_fault() {
            Fault::None => call.await,
            Fault::CallLost => Err(lost()),
            Fault::ReplyLost => call.await.and_then(|_| Err(lost())),
            Fault::Race => {
                self.race().await;
                call.await
            }
        }
    }
}

impl Store for ScriptedStore {
    type Lease = <MemoryStore as Store>::Lease;

    async fn get(&self, key: &str) -> Result<VersionedValue, StoreError> {
        self.apply(self.inner.get(key)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<SwapOutcome, StoreError> {
        self.apply(self.inner.compare_and_swap(key, value, expected))
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

fn request(change_id: &str, base_version: u64, slots: u32) -> ChangeRequest {
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

fn start(initial: &Policy) -> CommitContext<'_> {
    CommitContext {
        initial,
        changed_at_ms: 1,
    }
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

/// Commits under a script and compares what the operator was told with what the store holds.
async fn check(script: &[Fault]) {
    let store = ScriptedStore::new(script);
    let initial = policy::initial();
    let outcome = commit::commit(&store, KEY, &request("own", 0, 7), &start(&initial)).await;
    let stored = store.inner.get(KEY).await.expect("a reading");
    let current = commit::policy_or_initial(&stored).expect("a policy");
    let times = current
        .history
        .iter()
        .filter(|change| change.change_id == "own")
        .count();
    assert!(times <= 1, "{script:?}: applied {times} times");
    match outcome {
        CommitOutcome::Accepted(_) => assert_eq!(times, 1, "{script:?}: accepted and not stored"),
        CommitOutcome::Unknown(_) => {}
        other => assert_eq!(times, 0, "{script:?}: {other:?} and yet stored"),
    }
    let versions: Vec<u64> = current
        .history
        .iter()
        .map(|change| change.version)
        .collect();
    assert!(
        versions.is_sorted_by(|one, next| one < next),
        "{script:?}: {versions:?}"
    );
}

#[test]
fn every_fault_at_every_call_and_every_pair_of_them() {
    let runtime = runtime();
    for position in 0..6 {
        for first in FAULTS {
            for second in FAULTS {
                let mut script = vec![Fault::None; position];
                script.extend([first, second]);
                runtime.block_on(check(&script));
            }
        }
    }
}

proptest! {
    #[test]
    fn any_series_of_faults(
        script in prop::collection::vec(prop::sample::select(FAULTS.to_vec()), 0..14),
    ) {
        runtime().block_on(check(&script));
    }
}

#[test]
fn the_same_request_may_be_repeated_until_it_is_certain() {
    runtime().block_on(async {
        let store = MemoryStore::new();
        let initial = policy::initial();
        store.set_faults(StoreFaults {
            lost_write_replies: 100,
            ..StoreFaults::default()
        });
        for _ in 0..3 {
            let request = request("own", 0, 7);
            let outcome = commit::commit(&store, KEY, &request, &start(&initial)).await;
            assert!(matches!(outcome, CommitOutcome::Accepted(policy) if policy.version == 1));
        }
    });
}

#[test]
fn a_lease_that_lapsed_while_its_holder_was_paused_is_lost() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let store = MemoryStore::new();
        let lease = store
            .acquire_lease("seat", "one", 20)
            .await
            .expect("an answer");
        let lease = lease.expect("a free seat");
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        let other = store
            .acquire_lease("seat", "two", 60_000)
            .await
            .expect("an answer");
        assert!(other.is_some());
        assert!(!store.renew_lease(&lease).await.expect("an answer"));
    });
}
