//! A process's part in the store: its own entry under a lease, the others' entries, the routes.
//!
//! The store is where processes find each other when they all start at once. While they run they
//! hear of each other directly, so an entry that is missing or late harms nobody.

use std::{sync::Arc, time::Duration};

use prost::Message;
use slog::{Logger, info, warn};
use tokio::{sync::mpsc, time};

use crate::{
    control::backoff::Backoff,
    control::store::{Changes, Entry, LeasedStore, LeasedWrite, StoreError},
    flow::routes::RouteTable,
    membership::instance::Instance,
    observe::counters::{Counters, Event},
    proto::flow as wire,
};

/// Prefix of the instances' entries.
const INSTANCES_PREFIX: &str = "bamboowind/instances/";
/// Lifetime of an entry without renewal; outlives the usual outages of a store.
const LEASE_TTL_MS: u64 = 30_000;
/// Pause between two renewals, a third of the lifetime.
const RENEW_INTERVAL_MS: u64 = 10_000;
/// Longest wait of a watch.
const WATCH_WAIT_MS: u64 = 10_000;
/// Pause between two looks whether an agent must ask the store itself.
const POLL_INTERVAL_MS: u64 = 500;
/// Shortest and longest pause after a failed call. The longest lets an entry that has lapsed come
/// back within two seconds of the store's return.
const MIN_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1_500;

/// What a process learns from the store.
#[derive(Debug)]
pub enum ClusterUpdate {
    /// The store has answered.
    StoreReached,
    /// Other instances.
    Instances(Vec<Instance>),
    /// Routes.
    Routes(Arc<RouteTable>),
}

/// Where the routes lie in the store, and how they are read.
pub trait RouteDocument: Clone + Send + Sync + 'static {
    /// Key of the document.
    fn key(&self) -> &'static str;

    /// Reads the document.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn decode(&self, document: &[u8]) -> Result<RouteTable, String>;
}

/// Whether a process watches the routes in the store.
#[derive(Clone, Debug)]
pub enum RouteWatch {
    /// It always does.
    Always,
    /// It does while it is told so, which is when no balancer reaches the store.
    WhenNeeded(tokio::sync::watch::Receiver<bool>),
}

/// A process's part in the store.
#[derive(Clone, Debug)]
pub struct Registrar<S, D> {
    /// The store.
    pub store: S,
    /// The routes in it.
    pub document: D,
    /// This instance.
    pub local_instance: Instance,
    /// Takes what is learned.
    pub update_tx: mpsc::Sender<ClusterUpdate>,
    /// Counts the calls.
    pub counters: Counters,
    /// Receives the events.
    pub log: Logger,
}

impl<S: LeasedStore, D: RouteDocument> Registrar<S, D> {
    /// Keeps the own entry and learns of the others, for ever.
    pub async fn maintain_registration(
        self,
        lease_tx: tokio::sync::watch::Sender<Option<S::Lease>>,
    ) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        let mut connectivity = StoreConnectivity::new("entry");
        loop {
            let result = self
                .register(&lease_tx, &mut connectivity, &mut backoff)
                .await;
            let error = match result {
                Ok(()) => continue,
                Err(error) => error,
            };
            connectivity.mark_lost(&self.log, &error);
            backoff.wait().await;
        }
    }

    /// Registers and renews; returns when the entry must be written anew.
    async fn register(
        &self,
        lease_tx: &tokio::sync::watch::Sender<Option<S::Lease>>,
        connectivity: &mut StoreConnectivity,
        backoff: &mut Backoff,
    ) -> Result<(), StoreError> {
        let lease = self
            .call_store(self.store.create_lease(LEASE_TTL_MS))
            .await?;
        let key = format!("{INSTANCES_PREFIX}{}", self.local_instance.name);
        let value = self.local_instance.to_message().encode_to_vec();
        let written = self
            .call_store(self.store.write_leased(&key, &value, lease))
            .await?;
        if written == LeasedWrite::LeaseEnded {
            return Ok(());
        }
        lease_tx.send_replace(Some(lease));
        connectivity.mark_reached(&self.log);
        backoff.reset();
        self.read_instances(false).await?;
        loop {
            time::sleep(Duration::from_millis(RENEW_INTERVAL_MS)).await;
            let is_kept = loop {
                match self.call_store(self.store.keep_lease(lease)).await {
                    Ok(is_kept) => break is_kept,
                    Err(error) => {
                        connectivity.mark_lost(&self.log, &error);
                        backoff.wait().await;
                    }
                }
            };
            connectivity.mark_reached(&self.log);
            backoff.reset();
            if !is_kept {
                info!(self.log, "lease has ended; registering again"; "lease" => ?lease);
                return Ok(());
            }
            self.read_instances(true).await?;
        }
    }

    async fn read_instances(&self, may_be_stale: bool) -> Result<(), StoreError> {
        let reading = self.store.read_range(INSTANCES_PREFIX, may_be_stale);
        let entries = self.call_store(reading).await?;
        let instances = entries.iter().filter_map(|entry| {
            let message = wire::Instance::decode(&*entry.value).ok();
            let instance = message.as_ref().and_then(Instance::from_message);
            if instance.is_none() {
                self.counters.count(Event::IgnoredReport);
                warn!(self.log, "entry ignored"; "key" => &*entry.key,
                    "revision" => entry.revision.0);
            }
            instance
        });
        self.send_update(ClusterUpdate::Instances(instances.collect()))
            .await;
        Ok(())
    }

    /// Follows the routes, for ever.
    pub async fn follow_routes(self, mut watch_mode: RouteWatch) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        let mut connectivity = StoreConnectivity::new("routes");
        loop {
            if let RouteWatch::WhenNeeded(needed) = &mut watch_mode {
                while !*needed.borrow() {
                    time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                }
            }
            if let Err(error) = self
                .watch_routes(&watch_mode, &mut connectivity, &mut backoff)
                .await
            {
                connectivity.mark_lost(&self.log, &error);
                backoff.wait().await;
            }
        }
    }

    async fn watch_routes(
        &self,
        watch_mode: &RouteWatch,
        connectivity: &mut StoreConnectivity,
        backoff: &mut Backoff,
    ) -> Result<(), StoreError> {
        let reading = self
            .call_store(self.store.read(self.document.key()))
            .await?;
        connectivity.mark_reached(&self.log);
        let mut revision = reading.store_revision;
        if let Some(entry) = reading.entry {
            self.handle_route_entry(&entry).await;
        }
        loop {
            if let RouteWatch::WhenNeeded(needed) = watch_mode
                && !*needed.borrow()
            {
                return Ok(());
            }
            let watching = self
                .store
                .watch_prefix(self.document.key(), revision, WATCH_WAIT_MS);
            match self.call_store(watching).await? {
                Changes::HistoryLost => {
                    info!(self.log, "history of the store is lost; reading the routes again";
                        "revision" => revision.0);
                    backoff.wait().await;
                    return Ok(());
                }
                Changes::Written {
                    entries,
                    revision: watched_revision,
                } => {
                    revision = watched_revision;
                    if let Some(entry) = entries.last() {
                        self.handle_route_entry(entry).await;
                    }
                }
            }
            backoff.reset();
        }
    }

    async fn handle_route_entry(&self, entry: &Entry) {
        match self.document.decode(&entry.value) {
            Ok(routes) => {
                self.send_update(ClusterUpdate::Routes(Arc::new(routes)))
                    .await
            }
            Err(reason) => {
                self.counters.count(Event::IgnoredReport);
                warn!(self.log, "routes ignored"; "key" => &*entry.key,
                    "revision" => entry.revision.0, "reason" => reason);
            }
        }
    }

    async fn send_update(&self, update: ClusterUpdate) {
        // The receiver is gone only while the process exits.
        let _ = self.update_tx.send(update).await;
    }

    async fn call_store<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.counters.count(Event::StoreCalled);
        let result = call.await;
        match &result {
            Ok(_) => self.send_update(ClusterUpdate::StoreReached).await,
            Err(_) => self.counters.count(Event::StoreCallFailed),
        }
        result
    }
}

/// Logs when the store is lost and regained, once each.
#[derive(Debug)]
struct StoreConnectivity {
    purpose: &'static str,
    is_lost: bool,
}

impl StoreConnectivity {
    fn new(purpose: &'static str) -> Self {
        Self {
            purpose,
            is_lost: false,
        }
    }

    fn mark_lost(&mut self, log: &Logger, error: &StoreError) {
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(log, "store lost"; "purpose" => self.purpose, "error" => %error);
        }
    }

    fn mark_reached(&mut self, log: &Logger) {
        if std::mem::replace(&mut self.is_lost, false) {
            info!(log, "store regained"; "purpose" => self.purpose);
        }
    }
}
