//! Tests of the registrar during store outages, after the store has compacted its history and after
//! leases have expired. None of them may cause a storm of calls.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bamboowind::{
    control::store::{
        Change, Entry, LeasedStore, LeasedWriteOutcome, PrefixChanges, RangeResponse, Revision,
        StoreEra, StoreError, StoreReply,
    },
    control::store_era::SharedStoreEra,
    flow::routes::RouteTable,
    forward::registrar::{ClusterUpdate, DecodedRoutes, Registrar, RouteDocument, RouteWatch},
    membership::instance::{Instance, InstanceRole},
    observe::{counters::Counters, log::discard_logger},
    proto::flow as wire,
};
use prost::Message;
use tokio::{sync::mpsc, time};

/// Prefix of the keys of evacuated failure domains.
const EVACUATION_PREFIX: &str = "routes/evacuate/";

/// Contents of the store that a copy holds.
#[derive(Clone, Debug, Default)]
struct StoreCopy {
    revision: u64,
    routes: Option<Entry>,
    evacuated: Vec<Entry>,
    instances: Vec<(u64, Entry)>,
    leases: Vec<u64>,
}

#[derive(Debug)]
struct FakeStoreState {
    /// Incremented at each restore.
    era: u64,
    /// Whether every call fails.
    is_down: bool,
    /// Current revision of the store.
    revision: u64,
    /// Oldest revision from which a watch can start.
    oldest_revision: u64,
    routes: Option<Entry>,
    /// Keys of evacuated failure domains.
    evacuated: Vec<Entry>,
    /// Changes of these keys with their revisions, oldest first.
    history: Vec<(u64, Change)>,
    /// Whether watches that wait return no changes before their time is over.
    is_silent: bool,
    /// Whether the next range read of the operator's keys takes a second, during which a failure
    /// domain of this name is evacuated, whose key belongs to a page that has been read.
    evacuated_meanwhile: Option<&'static str>,
    /// Entries that each watch returns after the one of the routes.
    further_changes: Vec<Entry>,
    /// Instance entries with the lease that holds them.
    instances: Vec<(u64, Entry)>,
    /// Active leases.
    leases: Vec<u64>,
    /// Names of all calls so far, failed ones included.
    calls: Vec<&'static str>,
}

impl Default for FakeStoreState {
    fn default() -> Self {
        Self {
            era: 1,
            is_down: false,
            revision: 0,
            oldest_revision: 0,
            routes: None,
            evacuated: Vec::new(),
            history: Vec::new(),
            is_silent: false,
            evacuated_meanwhile: None,
            further_changes: Vec::new(),
            instances: Vec::new(),
            leases: Vec::new(),
            calls: Vec::new(),
        }
    }
}

/// In-memory store with leases and a history that can be compacted.
#[derive(Clone, Debug, Default)]
struct FakeStore {
    state: Arc<Mutex<FakeStoreState>>,
}

impl FakeStore {
    fn call<T>(
        &self,
        name: &'static str,
        operation: impl FnOnce(&mut FakeStoreState) -> T,
    ) -> Result<StoreReply<T>, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.calls.push(name);
        if state.is_down {
            let reason = "down".to_owned();
            return Err(StoreError::Unavailable { reason });
        }
        let era = StoreEra(state.era);
        Ok(StoreReply::new(era, operation(&mut state)))
    }

    fn set_routes(&self, version: u64) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.routes = Some(Entry {
            key: "routes".into(),
            value: version.to_string().into_bytes(),
            revision: Revision(state.revision),
        });
    }

    fn evacuate(&self, domain: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let entry = Entry {
            key: format!("{EVACUATION_PREFIX}{domain}").into(),
            value: Vec::new(),
            revision: Revision(state.revision),
        };
        state.evacuated.push(entry.clone());
        let change = (state.revision, Change::Written(entry));
        state.history.push(change);
    }

    fn return_to_service(&self, domain: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let key: Arc<str> = format!("{EVACUATION_PREFIX}{domain}").into();
        state.evacuated.retain(|entry| entry.key != key);
        let change = (state.revision, Change::Deleted(key));
        state.history.push(change);
    }

    fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        StoreCopy {
            revision: state.revision,
            routes: state.routes.clone(),
            evacuated: state.evacuated.clone(),
            instances: state.instances.clone(),
            leases: state.leases.clone(),
        }
    }

    /// Replaces the contents by those of an older copy. No call fails: a watch that waits goes on
    /// waiting.
    fn restore(&self, copy: StoreCopy) {
        self.update(|state| {
            state.era += 1;
            state.revision = copy.revision;
            state.routes = copy.routes;
            state.evacuated = copy.evacuated;
            state.history.clear();
            state.instances = copy.instances;
            state.leases = copy.leases;
        });
    }

    fn call_count(&self, name: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.calls.iter().filter(|call| **call == name).count()
    }

    fn update(&self, change: impl FnOnce(&mut FakeStoreState)) {
        change(&mut self.state.lock().unwrap());
    }
}

impl LeasedStore for FakeStore {
    type Lease = u64;

    async fn read_range(
        &self,
        prefix: &str,
        _: bool,
    ) -> Result<StoreReply<RangeResponse>, StoreError> {
        if prefix != VersionDocument.prefix() {
            return self.call("range", |state| RangeResponse {
                entries: state.instances.iter().map(|(_, e)| e.clone()).collect(),
                store_revision: Revision(state.revision),
            });
        }
        let reply = self.call("read", |state| {
            let evacuated = state.evacuated.iter();
            RangeResponse {
                entries: evacuated.chain(&state.routes).cloned().collect(),
                store_revision: Revision(state.revision),
            }
        });
        let evacuated_meanwhile = self.state.lock().unwrap().evacuated_meanwhile.take();
        if let Some(domain) = evacuated_meanwhile {
            time::sleep(Duration::from_millis(500)).await;
            self.evacuate(domain);
            time::sleep(Duration::from_millis(500)).await;
        }
        reply
    }

    async fn watch_prefix(
        &self,
        _prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> Result<StoreReply<PrefixChanges>, StoreError> {
        let polls = wait_ms / 50;
        self.call("watch", |_| ())?;
        let reply = |state: &FakeStoreState, changes| {
            let era = StoreEra(state.era);
            Ok(StoreReply::new(era, changes))
        };
        for poll in 0..polls {
            {
                let state = self.state.lock().unwrap();
                if after.0 < state.oldest_revision {
                    return reply(&state, PrefixChanges::Compacted);
                }
                let routes = state.routes.iter().filter(|entry| entry.revision > after);
                let mut changes: Vec<_> = routes.cloned().map(Change::Written).collect();
                if !changes.is_empty() {
                    let further = state.further_changes.iter().cloned();
                    changes.extend(further.map(Change::Written));
                }
                let newer = state.history.iter().filter(|(at, _)| *at > after.0);
                changes.extend(newer.map(|(_, change)| change.clone()));
                let is_silent = state.is_silent;
                if !changes.is_empty() && (!is_silent || poll == 0) {
                    let changes = PrefixChanges::Changed {
                        revision: Revision(state.revision),
                        changes,
                    };
                    return reply(&state, changes);
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        let state = self.state.lock().unwrap();
        let changes = PrefixChanges::Changed {
            changes: Vec::new(),
            revision: if state.is_silent {
                after
            } else {
                Revision(state.revision)
            },
        };
        reply(&state, changes)
    }

    async fn create_lease(&self, _ttl_ms: u64) -> Result<StoreReply<u64>, StoreError> {
        self.call("lease", |state| {
            let lease = state.calls.len() as u64;
            state.leases.push(lease);
            lease
        })
    }

    async fn keep_lease_alive(&self, lease: u64) -> Result<StoreReply<bool>, StoreError> {
        self.call("keep", |state| state.leases.contains(&lease))
    }

    async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.call("end", |state| state.leases.retain(|held| *held != lease))?;
        Ok(())
    }

    async fn write_with_lease(
        &self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> Result<StoreReply<LeasedWriteOutcome>, StoreError> {
        let entry = Entry {
            key: key.into(),
            value: value.to_vec(),
            revision: Revision(1),
        };
        self.call("write", |state| {
            if !state.leases.contains(&lease) {
                return LeasedWriteOutcome::LeaseEnded;
            }
            state.instances.push((lease, entry));
            LeasedWriteOutcome::Written
        })
    }
}

/// Route document that consists of the version number of an empty route table.
#[derive(Clone, Debug)]
struct VersionDocument;

impl RouteDocument for VersionDocument {
    fn prefix(&self) -> &'static str {
        "routes"
    }

    fn evacuated_domain<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(EVACUATION_PREFIX)
    }

    fn key(&self) -> &'static str {
        "routes"
    }

    fn decode(&self, document: &[u8]) -> Result<DecodedRoutes, String> {
        let text = std::str::from_utf8(document).map_err(|error| error.to_string())?;
        let version = text.parse().map_err(|_| "not a number".to_owned())?;
        Ok(RouteTable::new(version, Vec::new()).into())
    }
}

fn registrar(
    store: &FakeStore,
) -> (
    Registrar<FakeStore, VersionDocument>,
    mpsc::Receiver<ClusterUpdate>,
) {
    let (learned, receiver) = mpsc::channel(1_000);
    let own = Instance {
        name: "balancer-1".into(),
        incarnation: 1,
        role: InstanceRole::Balancer,
        failure_domain: "a".into(),
        packet_address: "10.0.0.1:8000".parse().unwrap(),
        control_address: "10.0.0.1:7000".parse().unwrap(),
    };
    let registrar = Registrar {
        store: store.clone(),
        document: VersionDocument,
        local_instance: own,
        era: SharedStoreEra::new(),
        update_tx: learned,
        counters: Counters::new(),
        log: discard_logger(),
    };
    (registrar, receiver)
}

fn route_versions(receiver: &mut mpsc::Receiver<ClusterUpdate>) -> Vec<u64> {
    std::iter::from_fn(|| receiver.try_recv().ok())
        .filter_map(|learned| match learned {
            ClusterUpdate::Routes(routes) => Some(routes.version().number),
            ClusterUpdate::StoreReached
            | ClusterUpdate::Instances(_)
            | ClusterUpdate::Evacuations(_) => None,
        })
        .collect()
}

/// A balancer starts long after the last change of the routes, when the store has compacted that
/// part of its history. A watch from the revision of the entry would fail again and again.
#[tokio::test(start_paused = true)]
async fn a_start_after_compaction_causes_no_call_storm() {
    let store = FakeStore::default();
    store.set_routes(7);
    store.update(|state| {
        state.revision = 900;
        state.oldest_revision = 850;
    });
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(9)).await;
    assert_eq!(
        (store.call_count("read"), store.call_count("watch")),
        (1, 1)
    );
    assert_eq!(route_versions(&mut receiver), [7]);
    store.set_routes(9);
    time::sleep(Duration::from_millis(200)).await;
    assert_eq!(route_versions(&mut receiver), [9]);
}

#[tokio::test(start_paused = true)]
async fn repeated_history_loss_is_retried_with_backoff() {
    let store = FakeStore::default();
    store.set_routes(1);
    store.update(|state| state.oldest_revision = 100);
    let (registrar, _receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(10)).await;
    assert!(
        store.call_count("read") < 25,
        "{} reads",
        store.call_count("read")
    );
}

#[tokio::test(start_paused = true)]
async fn an_instance_is_registered_again_within_two_seconds_of_store_recovery() {
    let store = FakeStore::default();
    let (registrar, _receiver) = registrar(&store);
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.maintain_registration(lease));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(store.state.lock().unwrap().instances.len(), 1);
    store.update(|state| {
        state.is_down = true;
        state.leases.clear();
        state.instances.clear();
    });
    time::sleep(Duration::from_secs(40)).await;
    let failed = store.call_count("keep") + store.call_count("lease");
    assert!(failed < 60, "{failed} calls to a store that is down");
    store.update(|state| state.is_down = false);
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.state.lock().unwrap().instances.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_idle_minute_needs_few_store_calls() {
    let store = FakeStore::default();
    store.set_routes(1);
    let (registrar, _receiver) = registrar(&store);
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.clone().maintain_registration(lease));
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_mins(1)).await;
    let state = store.state.lock().unwrap();
    insta::assert_snapshot!({
        let names = ["lease", "write", "range", "keep", "read", "watch"];
        let count = |name: &str| state.calls.iter().filter(|call| **call == name).count();
        names
            .map(|name| format!("{name} {}", count(name)))
            .join(", ")
    });
}

#[tokio::test(start_paused = true)]
async fn malformed_routes_and_instance_entries_are_ignored() {
    let store = FakeStore::default();
    store.set_routes(1);
    store.update(|state| {
        let routes = state.routes.as_mut().unwrap();
        routes.value = vec![0xff, 0xfe];
        let entry = Entry {
            key: "bamboowind/instances/x".into(),
            value: vec![1, 2, 3],
            revision: Revision(1),
        };
        state.instances.push((0, entry));
    });
    let (registrar, mut receiver) = registrar(&store);
    let counters = registrar.counters.clone();
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.clone().maintain_registration(lease));
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(route_versions(&mut receiver), [0; 0]);
    assert_eq!(
        counters.get(bamboowind::observe::counters::Event::IgnoredReport),
        2
    );
    store.set_routes(3);
    time::sleep(Duration::from_millis(100)).await;
    assert_eq!(route_versions(&mut receiver), [3]);
}

// What another writer has put beside the routes hides the change that was watched for.
#[tokio::test(start_paused = true)]
async fn a_malformed_change_beside_the_routes_does_not_hide_them() {
    let store = FakeStore::default();
    store.set_routes(1);
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_millis(100)).await;
    let entry = |key: &str, value: &[u8]| Entry {
        key: key.into(),
        value: value.to_vec(),
        revision: Revision(9),
    };
    store.update(|state| {
        state.further_changes = vec![entry("routes-of-others", b"77"), entry("", b"")];
    });
    store.set_routes(3);
    time::sleep(Duration::from_millis(200)).await;
    assert_eq!(route_versions(&mut receiver), [1, 3]);
}

// An entry under a foreign key makes its readers believe that the instance it names is registered, and
// one with long names makes a list of instances that does not fit into a datagram.
#[tokio::test(start_paused = true)]
async fn an_entry_that_names_another_instance_or_is_too_long_is_ignored() {
    let store = FakeStore::default();
    let entry = |key: &str, name: &str, failure_domain: &str| {
        let message = wire::Instance {
            name: name.into(),
            failure_domain: failure_domain.into(),
            role: wire::Role::Agent.into(),
            ip: 0x0a00_0002,
            packet_port: 8_000,
            control_port: 7_000,
            incarnation: 1,
        };
        Entry {
            key: format!("bamboowind/instances/{key}").into(),
            value: message.encode_to_vec(),
            revision: Revision(1),
        }
    };
    let long = "x".repeat(60_000);
    store.update(|state| {
        state.instances = vec![
            (0, entry("agent-1", "agent-1", "a")),
            (0, entry("odd", "agent-2", "a")),
            (0, entry("agent-3", "agent-3", &long)),
            (0, entry(&long, &long, "a")),
        ];
    });
    let (registrar, mut receiver) = registrar(&store);
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.maintain_registration(lease));
    time::sleep(Duration::from_secs(1)).await;
    let updates = std::iter::from_fn(|| receiver.try_recv().ok());
    let listed = updates.filter_map(|update| match update {
        ClusterUpdate::Instances(listing) => Some(listing.value),
        ClusterUpdate::StoreReached | ClusterUpdate::Routes(_) | ClusterUpdate::Evacuations(_) => {
            None
        }
    });
    let names: Vec<_> = listed.flatten().map(|i| i.name.to_string()).collect();
    assert_eq!(names, ["agent-1", "balancer-1"]);
}

/// Restores a store whose revisions then exceed those of the lost contents, with routes 8 among the
/// changes, while the registrar watches from the lost revision.
async fn restore_past_the_watched_revision(store: &FakeStore) {
    store.set_routes(5);
    store.update(|state| state.revision = 90);
    let copy = store.copy();
    store.update(|state| state.revision = 99);
    store.set_routes(7);
    time::sleep(Duration::from_secs(1)).await;
    store.restore(copy);
    store.set_routes(7);
    store.set_routes(8);
    store.update(|state| state.revision = 110);
}

// Once the store has counted past a revision again, a watch from it fails no longer.
#[tokio::test(start_paused = true)]
async fn a_change_before_the_watched_revision_of_a_lost_era_is_not_missed() {
    let store = FakeStore::default();
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    restore_past_the_watched_revision(&store).await;
    time::sleep(Duration::from_secs(12)).await;
    let versions = route_versions(&mut receiver);
    assert_eq!(versions.last(), Some(&8), "{versions:?}");
}

#[tokio::test(start_paused = true)]
async fn a_watch_of_a_lost_era_ends_when_another_call_shows_the_restore() {
    let store = FakeStore::default();
    let (registrar, mut receiver) = registrar(&store);
    let era = registrar.era.clone();
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    restore_past_the_watched_revision(&store).await;
    era.advance(StoreEra(2));
    time::sleep(Duration::from_secs(1)).await;
    let versions = route_versions(&mut receiver);
    assert_eq!(versions.last(), Some(&8), "{versions:?}");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_a_restored_store_lost_is_written_again_within_two_seconds() {
    let store = FakeStore::default();
    let copy = store.copy();
    let (registrar, _receiver) = registrar(&store);
    let era = registrar.era.clone();
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.maintain_registration(lease));
    time::sleep(Duration::from_secs(1)).await;
    store.restore(copy);
    era.advance(StoreEra(2));
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.state.lock().unwrap().instances.len(), 1);
}

// The copy was made between the creation of the lease and the write of the entry.
#[tokio::test(start_paused = true)]
async fn an_entry_that_is_missing_under_a_kept_lease_is_written_again() {
    let store = FakeStore::default();
    let (registrar, _receiver) = registrar(&store);
    let era = registrar.era.clone();
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.maintain_registration(lease));
    time::sleep(Duration::from_secs(1)).await;
    let copy = StoreCopy {
        instances: Vec::new(),
        ..store.copy()
    };
    store.restore(copy);
    era.advance(StoreEra(2));
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.state.lock().unwrap().instances.len(), 1);
}

// The first list of an instance that starts after a restore may lack others that are running.
#[tokio::test(start_paused = true)]
async fn an_instance_that_starts_after_a_restore_reads_the_list_again_when_all_are_registered() {
    let store = FakeStore::default();
    store.restore(store.copy());
    let (registrar, _receiver) = registrar(&store);
    let (lease, _lease_receiver) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.maintain_registration(lease));
    time::sleep(Duration::from_secs(4)).await;
    assert_eq!(store.call_count("range"), 2);
}

/// Sets of evacuated failure domains that the registrar has sent since the last call, with their
/// revisions.
fn evacuations(receiver: &mut mpsc::Receiver<ClusterUpdate>) -> Vec<(String, u64)> {
    std::iter::from_fn(|| receiver.try_recv().ok())
        .filter_map(|update| match update {
            ClusterUpdate::Evacuations(set) => {
                Some((set.names().join(","), set.version.revision.0))
            }
            _ => None,
        })
        .collect()
}

fn last_evacuated(receiver: &mut mpsc::Receiver<ClusterUpdate>) -> String {
    let sets = evacuations(receiver);
    sets.last().expect("a set was read").0.clone()
}

// A deletion that is not reported keeps a failure domain out of service for ever.
#[tokio::test(start_paused = true)]
async fn evacuations_of_several_domains_are_followed_one_by_one() {
    let store = FakeStore::default();
    store.set_routes(1);
    store.evacuate("b");
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    store.evacuate("c");
    time::sleep(Duration::from_secs(1)).await;
    store.return_to_service("b");
    time::sleep(Duration::from_secs(1)).await;
    store.set_routes(2);
    time::sleep(Duration::from_secs(1)).await;
    let sets = evacuations(&mut receiver);
    let sets: Vec<_> = sets.iter().map(|(names, at)| (&**names, *at)).collect();
    assert_eq!(sets, [("b", 2), ("b,c", 3), ("c", 4)]);
}

// A domain that is evacuated and returned between two replies of a watch is in service.
#[tokio::test(start_paused = true)]
async fn the_last_of_several_changes_of_a_key_counts() {
    let store = FakeStore::default();
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    store.evacuate("b");
    store.return_to_service("b");
    store.return_to_service("c");
    store.evacuate("c");
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(last_evacuated(&mut receiver), "c");
}

// Without the discarded part of the history, a watch would wait for the next change of another key.
#[tokio::test(start_paused = true)]
async fn an_evacuation_in_a_discarded_part_of_the_history_is_learned_within_a_second() {
    let store = FakeStore::default();
    store.set_routes(1);
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    store.evacuate("b");
    store.update(|state| {
        state.revision += 50;
        state.oldest_revision = state.revision;
        state.history.clear();
    });
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(last_evacuated(&mut receiver), "b");
}

// The key belongs to a page that was read before it was written. A watch from the revision at the end
// of the read would miss it.
#[tokio::test(start_paused = true)]
async fn an_evacuation_between_two_pages_of_the_read_is_not_missed() {
    let store = FakeStore::default();
    store.set_routes(1);
    store.update(|state| state.evacuated_meanwhile = Some("b"));
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(last_evacuated(&mut receiver), "b");
}

// What is evacuated cannot be told from a change without a readable key, and the change is not repeated.
#[tokio::test(start_paused = true)]
async fn a_change_without_a_readable_key_leads_to_a_new_read() {
    let store = FakeStore::default();
    store.set_routes(1);
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    store.evacuate("b");
    store.update(|state| {
        for (_, change) in &mut state.history {
            *change = Change::Written(Entry {
                key: "".into(),
                value: Vec::new(),
                revision: Revision::ABSENT,
            });
        }
    });
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(last_evacuated(&mut receiver), "b");
    assert_eq!(store.call_count("read"), 2);
}

// The names travel in each presence message, which has to fit into a datagram.
#[tokio::test(start_paused = true)]
async fn keys_without_a_name_or_with_too_long_ones_are_ignored() {
    let store = FakeStore::default();
    for domain in ["", &"x".repeat(256), "b"] {
        store.evacuate(domain);
    }
    let (registrar, mut receiver) = registrar(&store);
    let counters = registrar.counters.clone();
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(last_evacuated(&mut receiver), "b");
    let ignored = bamboowind::observe::counters::Event::IgnoredReport;
    assert_eq!(counters.get(ignored), 2);
}

// The watches of processes that have started together would all end at the same time. Should the store
// leave them unanswered, nobody would learn of an evacuation for ten seconds.
#[tokio::test(start_paused = true)]
async fn some_process_learns_of_an_evacuation_in_time_while_watches_are_silent() {
    let store = FakeStore::default();
    store.set_routes(1);
    store.update(|state| state.is_silent = true);
    let mut receivers = Vec::new();
    for number in 0..18 {
        let (mut registrar, receiver) = registrar(&store);
        registrar.local_instance.name = format!("balancer-{number}").into();
        tokio::spawn(registrar.follow_routes(RouteWatch::Always));
        receivers.push(receiver);
    }
    time::sleep(Duration::from_secs(301)).await;
    for receiver in &mut receivers {
        evacuations(receiver);
    }
    store.evacuate("b");
    time::sleep(Duration::from_secs(3)).await;
    let sets = receivers.iter_mut().flat_map(evacuations);
    assert!(sets.count() > 0, "no process has learned of the evacuation");
}
