//! The store at its worst: outages, lost history, ended leases. No call storms follow.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bamboowind::{
    control::store::{Changes, Entry, LeasedStore, LeasedWrite, Reading, Revision, StoreError},
    flow::routes::RouteTable,
    forward::registrar::{Learned, Registrar, RouteDocument, RouteWatch},
    membership::instance::{Instance, InstanceRole},
    observe::{counters::Counters, log::discard_logger},
};
use tokio::{sync::mpsc, time};

#[derive(Debug, Default)]
struct State {
    is_down: bool,
    revision: u64,
    oldest_revision: u64,
    routes: Option<Entry>,
    instances: Vec<(u64, Entry)>,
    leases: Vec<u64>,
    calls: Vec<&'static str>,
}

/// A store with leases and a history that can be forgotten.
#[derive(Clone, Debug, Default)]
struct StandIn {
    state: Arc<Mutex<State>>,
}

impl StandIn {
    fn call<T>(
        &self,
        name: &'static str,
        act: impl FnOnce(&mut State) -> T,
    ) -> Result<T, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.calls.push(name);
        if state.is_down {
            let reason = "down".to_owned();
            return Err(StoreError::Unavailable { reason });
        }
        Ok(act(&mut state))
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

    fn calls(&self, name: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.calls.iter().filter(|call| **call == name).count()
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap());
    }
}

impl LeasedStore for StandIn {
    type Lease = u64;

    async fn read(&self, _key: &str) -> Result<Reading, StoreError> {
        self.call("read", |state| Reading {
            entry: state.routes.clone(),
            store_revision: Revision(state.revision),
        })
    }

    async fn read_range(&self, _: &str, _: bool) -> Result<Vec<Entry>, StoreError> {
        self.call("range", |state| {
            state
                .instances
                .iter()
                .map(|(_, entry)| entry.clone())
                .collect()
        })
    }

    async fn watch_prefix(
        &self,
        _prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> Result<Changes, StoreError> {
        let looks = wait_ms / 50;
        self.call("watch", |_| ())?;
        for _ in 0..looks {
            {
                let state = self.state.lock().unwrap();
                if after.0 < state.oldest_revision {
                    return Ok(Changes::HistoryLost);
                }
                if let Some(entry) = state.routes.clone()
                    && entry.revision > after
                {
                    return Ok(Changes::Written {
                        revision: entry.revision,
                        entries: vec![entry],
                    });
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        Ok(Changes::Written {
            entries: Vec::new(),
            revision: after,
        })
    }

    async fn create_lease(&self, _ttl_ms: u64) -> Result<u64, StoreError> {
        self.call("lease", |state| {
            let lease = state.calls.len() as u64;
            state.leases.push(lease);
            lease
        })
    }

    async fn keep_lease(&self, lease: u64) -> Result<bool, StoreError> {
        self.call("keep", |state| state.leases.contains(&lease))
    }

    async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.call("end", |state| state.leases.retain(|held| *held != lease))
    }

    async fn write_leased(
        &self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> Result<LeasedWrite, StoreError> {
        let entry = Entry {
            key: key.into(),
            value: value.to_vec(),
            revision: Revision(1),
        };
        self.call("write", |state| {
            if !state.leases.contains(&lease) {
                return LeasedWrite::LeaseEnded;
            }
            state.instances.push((lease, entry));
            LeasedWrite::Written
        })
    }
}

#[derive(Clone, Debug)]
struct Document;

impl RouteDocument for Document {
    fn key(&self) -> &'static str {
        "routes"
    }

    fn decode(&self, document: &[u8]) -> Result<RouteTable, String> {
        let text = std::str::from_utf8(document).map_err(|error| error.to_string())?;
        let version = text.parse().map_err(|_| "no number".to_owned())?;
        Ok(RouteTable::new(version, Vec::new()))
    }
}

fn registrar(store: &StandIn) -> (Registrar<StandIn, Document>, mpsc::Receiver<Learned>) {
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
        document: Document,
        own,
        learned,
        counters: Counters::new(),
        log: discard_logger(),
    };
    (registrar, receiver)
}

fn versions(receiver: &mut mpsc::Receiver<Learned>) -> Vec<u64> {
    std::iter::from_fn(|| receiver.try_recv().ok())
        .filter_map(|learned| match learned {
            Learned::Routes(routes) => Some(routes.version()),
            Learned::Reached | Learned::Instances(_) => None,
        })
        .collect()
}

/// A balancer that starts long after the last change, whose history is gone by then.
#[tokio::test(start_paused = true)]
async fn a_start_after_the_history_is_gone_watches_without_a_storm() {
    let store = StandIn::default();
    store.set_routes(7);
    store.update(|state| {
        state.revision = 900;
        state.oldest_revision = 850;
    });
    let (registrar, mut receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(9)).await;
    assert_eq!((store.calls("read"), store.calls("watch")), (1, 1));
    assert_eq!(versions(&mut receiver), [7]);
    store.set_routes(9);
    time::sleep(Duration::from_millis(200)).await;
    assert_eq!(versions(&mut receiver), [9]);
}

#[tokio::test(start_paused = true)]
async fn a_history_that_is_lost_again_and_again_is_read_with_pauses() {
    let store = StandIn::default();
    store.set_routes(1);
    store.update(|state| state.oldest_revision = 100);
    let (registrar, _receiver) = registrar(&store);
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(10)).await;
    assert!(store.calls("read") < 25, "{} reads", store.calls("read"));
}

#[tokio::test(start_paused = true)]
async fn an_entry_is_back_within_two_seconds_of_the_return_of_the_store() {
    let store = StandIn::default();
    let (registrar, _receiver) = registrar(&store);
    let (lease, _held) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.keep_entry(lease));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(store.state.lock().unwrap().instances.len(), 1);
    store.update(|state| {
        state.is_down = true;
        state.leases.clear();
        state.instances.clear();
    });
    time::sleep(Duration::from_secs(40)).await;
    let failed = store.calls("keep") + store.calls("lease");
    assert!(failed < 60, "{failed} calls to a store that is down");
    store.update(|state| state.is_down = false);
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(store.state.lock().unwrap().instances.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_quiet_minute_costs_few_calls() {
    let store = StandIn::default();
    store.set_routes(1);
    let (registrar, _receiver) = registrar(&store);
    let (lease, _held) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.clone().keep_entry(lease));
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
async fn unreadable_routes_and_entries_are_ignored() {
    let store = StandIn::default();
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
    let (lease, _held) = tokio::sync::watch::channel(None);
    tokio::spawn(registrar.clone().keep_entry(lease));
    tokio::spawn(registrar.follow_routes(RouteWatch::Always));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(versions(&mut receiver), [0; 0]);
    assert_eq!(
        counters.get(bamboowind::observe::counters::Event::IgnoredReport),
        2
    );
    store.set_routes(3);
    time::sleep(Duration::from_millis(100)).await;
    assert_eq!(versions(&mut receiver), [3]);
}
