//! Registration of this instance in the store under a lease, and reading of the other instances and
//! the routes.
//!
//! The store lets instances discover each other when all of them start at the same time. While they
//! run they exchange presence messages directly, so a missing or late entry does no harm.

use std::{sync::Arc, time::Duration};

use prost::Message;
use rand::Rng;
use slog::{Logger, info, warn};
use tokio::{sync::mpsc, time};

use crate::{
    control::backoff::Backoff,
    control::store::{
        Change, Entry, LeasedStore, LeasedWriteOutcome, PrefixChanges, RangeResponse, Revision,
        StoreEra, StoreError, StoreReply,
    },
    control::store_era::SharedStoreEra,
    flow::routes::{RouteTable, RouteVersion},
    membership::{
        directory::{LEASE_TTL_MS, REGISTERED_AGAIN_MS},
        evacuation_set::{EvacuationSet, EvacuationVersion, has_room},
        instance::Instance,
        rendezvous::name_hash,
    },
    observe::counters::{Counters, Event},
    proto::flow as wire,
};

/// Key prefix of the instance entries.
const INSTANCES_PREFIX: &str = "bamboowind/instances/";
/// Interval between two renewals, a third of the time to live.
const RENEW_INTERVAL_MS: u64 = 10_000;
/// Maximum random delay of the renewal after a restore of the store. Spreads the calls of all
/// instances.
const RESTORE_SPREAD_MS: u64 = 1_000;
/// Timeout of a watch.
const WATCH_WAIT_MS: u64 = 10_000;
/// Maximum time between two watches. Together with the notices of other processes, an evacuation is in
/// force within a second.
const MAX_WATCH_PAUSE_MS: u64 = 400;
/// Interval at which an agent checks whether it has to watch the routes itself.
const POLL_INTERVAL_MS: u64 = 500;
/// Minimum and maximum delay after a failed call. With this maximum, an entry that has expired is
/// back within two seconds after the store recovers.
const MIN_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1_500;

/// Maximum number of log lines about what could not be read in a route document.
const MAX_IGNORED_LINES: usize = 10;

/// An update from the store, or from another instance in the case of routes.
#[derive(Debug)]
pub enum ClusterUpdate {
    /// The store has responded.
    StoreReached,
    /// Instances registered in the store, in the era in which they were read.
    Instances(StoreReply<Vec<Instance>>),
    /// A route table.
    Routes(Arc<RouteTable>),
    /// Evacuated failure domains read from the store.
    Evacuations(EvacuationSet),
}

/// Location and format of what the operator writes to the store: the route document, and one key for
/// each evacuated failure domain.
pub trait RouteDocument: Clone + Send + Sync + 'static {
    /// Prefix of all keys that the operator writes.
    fn prefix(&self) -> &'static str;

    /// Name of the failure domain that a key evacuates while it exists; `None` if it is another key.
    fn evacuated_domain<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Key of the document in the store.
    fn key(&self) -> &'static str;

    /// Decodes the document into a route table. A route that cannot be read does not hide the others.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the document as a whole.
    fn decode(&self, document: &[u8]) -> Result<DecodedRoutes, String>;
}

/// A route table as decoded from a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodedRoutes {
    /// The routes that could be read.
    pub table: RouteTable,
    /// What could not be read, one line for each route or field that was ignored.
    pub ignored: Vec<String>,
}

impl From<RouteTable> for DecodedRoutes {
    fn from(table: RouteTable) -> Self {
        let ignored = Vec::new();
        Self { table, ignored }
    }
}

/// When a process watches the routes in the store.
#[derive(Clone, Debug)]
pub enum RouteWatch {
    /// At all times.
    Always,
    /// While the channel holds `true`, which means that no live balancer reaches the store.
    WhenNeeded(tokio::sync::watch::Receiver<bool>),
}

/// Tasks of a process that access the store.
#[derive(Clone, Debug)]
pub struct Registrar<S, D> {
    /// The store.
    pub store: S,
    /// The route document in the store.
    pub document: D,
    /// This instance, which is registered.
    pub local_instance: Instance,
    /// The newest era of the store that this process knows of.
    pub era: SharedStoreEra,
    /// Channel for the updates read from the store.
    pub update_tx: mpsc::Sender<ClusterUpdate>,
    /// Counts calls and failures.
    pub counters: Counters,
    /// Logger for store events.
    pub log: Logger,
}

impl<S: LeasedStore, D: RouteDocument> Registrar<S, D> {
    /// Keeps this instance registered and reads the other instances, in an endless loop. The
    /// current lease is published on `lease_tx`.
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
            connectivity.mark_unreachable(&self.log, &error);
            backoff.wait().await;
        }
    }

    /// Registers this instance and renews its lease. Returns when the instance has to be registered
    /// again.
    async fn register(
        &self,
        lease_tx: &tokio::sync::watch::Sender<Option<S::Lease>>,
        connectivity: &mut StoreConnectivity,
        backoff: &mut Backoff,
    ) -> Result<(), StoreError> {
        let lease = self
            .call_store(self.store.create_lease(LEASE_TTL_MS))
            .await?
            .value;
        let key = format!("{INSTANCES_PREFIX}{}", self.local_instance.name);
        let value = self.local_instance.to_message().encode_to_vec();
        let written = self
            .call_store(self.store.write_with_lease(&key, &value, lease))
            .await?;
        if written.value == LeasedWriteOutcome::LeaseEnded {
            return Ok(());
        }
        lease_tx.send_replace(Some(lease));
        info!(self.log, "registered in the store"; "lease" => ?lease, "era" => written.era.0);
        connectivity.mark_reached(&self.log);
        backoff.reset();
        self.read_instances(false).await?;
        if written.era.is_after_restore() {
            // Other instances may still have to register again.
            time::sleep(Duration::from_millis(REGISTERED_AGAIN_MS)).await;
            self.read_instances(false).await?;
        }
        let mut era = written.era;
        loop {
            let is_restored = self.wait_for_renewal(era).await;
            let is_kept = loop {
                match self.call_store(self.store.keep_lease_alive(lease)).await {
                    Ok(reply) => break reply.value,
                    Err(error) => {
                        connectivity.mark_unreachable(&self.log, &error);
                        backoff.wait().await;
                    }
                }
            };
            connectivity.mark_reached(&self.log);
            backoff.reset();
            if !is_kept {
                info!(self.log, "lease expired; registering again"; "lease" => ?lease,
                    "era" => self.era.current().0);
                return Ok(());
            }
            // The copy may hold the lease without the entry.
            let is_listed = self.read_instances(!is_restored).await?;
            if !is_listed {
                info!(self.log, "entry is missing in the store; registering again";
                    "lease" => ?lease, "era" => self.era.current().0);
                return Ok(());
            }
            era = self.era.current();
        }
    }

    /// Waits until the lease is due for renewal: at once after a restore, which may have lost it.
    /// Returns whether the store has been restored since `era`.
    async fn wait_for_renewal(&self, era: StoreEra) -> bool {
        let interval = Duration::from_millis(RENEW_INTERVAL_MS);
        let restored = time::timeout(interval, self.restored_since(era)).await;
        if restored.is_ok() {
            let delay_ms = rand::rng().random_range(0..=RESTORE_SPREAD_MS);
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        restored.is_ok()
    }

    /// Reads all registered instances and sends them as an update. Malformed entries are skipped.
    /// Returns whether this instance is among them.
    async fn read_instances(&self, may_be_stale: bool) -> Result<bool, StoreError> {
        let reading = self.store.read_range(INSTANCES_PREFIX, may_be_stale);
        let StoreReply { era, value: range } = self.call_store(reading).await?;
        let entries = range.entries;
        info!(self.log, "instances read from the store"; "era" => era.0, "listed" => entries.len(),
            "may_be_stale" => may_be_stale);
        let name = &self.local_instance.name;
        let is_listed = entries
            .iter()
            .any(|entry| entry.key.strip_prefix(INSTANCES_PREFIX) == Some(name));
        let instances = entries.iter().filter_map(|entry| {
            let instance = decode_instance(entry);
            if instance.is_none() {
                self.counters.count(Event::IgnoredReport);
                warn!(self.log, "malformed instance entry ignored"; "key" => &*entry.key,
                    "revision" => entry.revision.0);
            }
            instance
        });
        let listing = StoreReply::new(era, instances.collect());
        self.send(ClusterUpdate::Instances(listing)).await;
        Ok(is_listed)
    }

    /// Follows changes of the routes, in an endless loop.
    pub async fn follow_routes(self, mut watch_mode: RouteWatch) {
        let mut backoff = Backoff::new(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        let mut connectivity = StoreConnectivity::new("routes");
        let mut last_document = None;
        loop {
            if let RouteWatch::WhenNeeded(needed) = &mut watch_mode {
                while !*needed.borrow() {
                    time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                }
            }
            if let Err(error) = self
                .watch_routes(
                    &watch_mode,
                    &mut last_document,
                    &mut connectivity,
                    &mut backoff,
                )
                .await
            {
                connectivity.mark_unreachable(&self.log, &error);
                backoff.wait().await;
            }
        }
    }

    /// Reads the routes and the evacuated failure domains and watches both. Returns when they have to
    /// be read again or the watch is no longer needed.
    async fn watch_routes(
        &self,
        watch_mode: &RouteWatch,
        last_document: &mut Option<(StoreEra, Revision)>,
        connectivity: &mut StoreConnectivity,
        backoff: &mut Backoff,
    ) -> Result<(), StoreError> {
        let known_era = self.era.current();
        let prefix = self.document.prefix();
        let reading = self.store.read_range(prefix, false);
        let StoreReply { era, value: range } = self.call_store(reading).await?;
        connectivity.mark_reached(&self.log);
        let RangeResponse {
            entries,
            store_revision: mut revision,
        } = range;
        let mut evacuated = Vec::new();
        let changes: Vec<_> = entries.into_iter().map(Change::Written).collect();
        self.apply_evacuations(&changes, &mut evacuated);
        self.send_evacuations(&evacuated, revision, era).await;
        self.handle_route_changes(&changes, era, last_document)
            .await;
        loop {
            if let RouteWatch::WhenNeeded(needed) = watch_mode
                && !*needed.borrow()
            {
                return Ok(());
            }
            let watching = self.store.watch_prefix(prefix, revision, WATCH_WAIT_MS);
            let reply = tokio::select! {
                reply = self.call_store(watching) => reply?,
                () = self.restored_since(known_era.max(era)) => {
                    backoff.wait().await;
                    return Ok(());
                }
            };
            // A revision has a meaning only within its era.
            if reply.era != era {
                backoff.wait().await;
                return Ok(());
            }
            match reply.value {
                PrefixChanges::Compacted => {
                    info!(self.log, "watched revision is compacted; rereading the routes";
                        "revision" => revision.0, "era" => reply.era.0);
                    backoff.wait().await;
                    return Ok(());
                }
                PrefixChanges::Changed {
                    changes,
                    revision: watched_revision,
                } => {
                    revision = watched_revision;
                    if self.apply_evacuations(&changes, &mut evacuated) {
                        self.send_evacuations(&evacuated, revision, era).await;
                    }
                    self.handle_route_changes(&changes, era, last_document)
                        .await;
                    if changes.is_empty() {
                        self.wait_between_watches().await;
                    }
                    if changes.iter().any(is_unreadable) {
                        info!(self.log, "malformed change; rereading what the operator wrote";
                            "revision" => revision.0, "era" => era.0);
                        backoff.wait().await;
                        return Ok(());
                    }
                }
            }
            backoff.reset();
        }
    }

    /// Sends the routes of the newest change that can be decoded as an update. A watch also returns
    /// changes of other keys with the same prefix. A document that was sent before is not sent again
    /// when it is reread.
    async fn handle_route_changes(
        &self,
        changes: &[Change],
        era: StoreEra,
        last_document: &mut Option<(StoreEra, Revision)>,
    ) {
        for change in changes.iter().rev() {
            let Change::Written(entry) = change else {
                continue;
            };
            // A change that cannot be read may have no key.
            let may_be_document = *entry.key == *self.document.key() || entry.key.is_empty();
            if may_be_document && *last_document == Some((era, entry.revision)) {
                return;
            }
            if may_be_document && self.handle_route_entry(entry, era).await {
                *last_document = Some((era, entry.revision));
                return;
            }
        }
    }

    /// Applies changes to the names of the evacuated failure domains. Returns whether any of them
    /// concerns these. The value of a key has no meaning, so it may be unreadable.
    fn apply_evacuations(&self, changes: &[Change], evacuated: &mut Vec<Arc<str>>) -> bool {
        let mut is_concerned = false;
        for change in changes {
            let (key, is_written) = match change {
                Change::Written(entry) => (&entry.key, true),
                Change::Deleted(key) => (key, false),
            };
            let Some(name) = self.document.evacuated_domain(key) else {
                continue;
            };
            is_concerned = true;
            evacuated.retain(|other| **other != *name);
            if !is_written {
                continue;
            }
            if name.is_empty() || !has_room(evacuated, name) {
                self.counters.count(Event::IgnoredReport);
                warn!(self.log, "evacuation of a failure domain ignored"; "key" => &**key,
                    "reason" => "no name, or names too long in total");
                continue;
            }
            evacuated.push(name.into());
        }
        is_concerned
    }

    async fn send_evacuations(&self, names: &[Arc<str>], revision: Revision, era: StoreEra) {
        // Revision 0 tells other instances that nothing is known.
        let version = EvacuationVersion::new(era, revision.max(Revision(1)));
        let set = EvacuationSet::new(names.to_vec(), version);
        self.send(ClusterUpdate::Evacuations(set)).await;
    }

    /// Waits between a watch that has ended without changes and the next one, which returns what has
    /// changed meanwhile. The time differs between processes, so that their watches do not end
    /// together: should the store leave waiting watches unanswered, the next one to be started learns
    /// of a change.
    async fn wait_between_watches(&self) {
        let pause_ms = name_hash(&self.local_instance.name) % MAX_WATCH_PAUSE_MS;
        time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Decodes the route document and sends the routes as an update. Returns `false` if the document
    /// is malformed and ignored.
    async fn handle_route_entry(&self, entry: &Entry, era: StoreEra) -> bool {
        match self.document.decode(&entry.value) {
            Ok(DecodedRoutes {
                table: routes,
                ignored,
            }) => {
                self.log_ignored(&ignored, routes.version());
                info!(self.log, "routes read from the store"; "version" => routes.version().number,
                    "revision" => entry.revision.0, "era" => era.0);
                let routes = Arc::new(routes.with_era(era));
                self.send(ClusterUpdate::Routes(routes)).await;
                true
            }
            Err(reason) => {
                self.counters.count(Event::IgnoredReport);
                warn!(self.log, "malformed route document ignored"; "key" => &*entry.key,
                    "revision" => entry.revision.0, "reason" => reason);
                false
            }
        }
    }

    /// Counts and logs what a document holds that could not be read.
    fn log_ignored(&self, ignored: &[String], version: RouteVersion) {
        for (index, reason) in ignored.iter().enumerate() {
            self.counters.count(Event::IgnoredReport);
            if index < MAX_IGNORED_LINES {
                warn!(self.log, "malformed route ignored"; "version" => version.number,
                    "reason" => reason, "ignored" => ignored.len());
            }
        }
    }

    /// Waits until an era newer than `era` is known.
    async fn restored_since(&self, era: StoreEra) {
        // Fails only if the sender is gone, which `self` holds.
        let _ = self.era.subscribe().wait_for(|known| *known > era).await;
    }

    async fn send(&self, update: ClusterUpdate) {
        // The receiver is closed only while the process exits.
        let _ = self.update_tx.send(update).await;
    }

    /// Runs a call of the store and counts it. A successful call is also sent as an update.
    async fn call_store<T>(
        &self,
        call: impl Future<Output = Result<StoreReply<T>, StoreError>>,
    ) -> Result<StoreReply<T>, StoreError> {
        self.counters.count(Event::StoreCalled);
        let result = call.await;
        match &result {
            Ok(reply) => {
                record_era(&self.era, reply.era, &self.counters, &self.log);
                self.send(ClusterUpdate::StoreReached).await;
            }
            Err(_) => self.counters.count(Event::StoreCallFailed),
        }
        result
    }
}

/// Whether a change could not be read as a whole, so that it may have been the deletion of a key or a
/// change of an unknown one.
fn is_unreadable(change: &Change) -> bool {
    matches!(change, Change::Written(entry) if entry.revision == Revision::ABSENT)
}

/// Records the era of a response or of a route table. Logs and counts that the store has been
/// restored from an older copy.
pub(super) fn record_era(known: &SharedStoreEra, era: StoreEra, counters: &Counters, log: &Logger) {
    if let Some(previous) = known.advance(era) {
        counters.count(Event::StoreRestored);
        warn!(log, "store restored from an older copy"; "era" => era.0,
            "previous_era" => previous.0);
    }
}

/// Decodes an instance entry; `None` if it is malformed or does not belong to the instance that it
/// names.
fn decode_instance(entry: &Entry) -> Option<Instance> {
    let message = wire::Instance::decode(&*entry.value).ok()?;
    let instance = Instance::from_message(&message)?;
    let is_own = entry.key.strip_prefix(INSTANCES_PREFIX) == Some(&*instance.name);
    is_own.then_some(instance)
}

/// Logs when the store becomes unreachable and when it is reachable again, once each.
#[derive(Debug)]
struct StoreConnectivity {
    /// What the store is used for; written to the log.
    purpose: &'static str,
    /// Whether the last call failed.
    is_unreachable: bool,
}

impl StoreConnectivity {
    fn new(purpose: &'static str) -> Self {
        Self {
            purpose,
            is_unreachable: false,
        }
    }

    fn mark_unreachable(&mut self, log: &Logger, error: &StoreError) {
        if !std::mem::replace(&mut self.is_unreachable, true) {
            warn!(log, "store unreachable"; "purpose" => self.purpose, "error" => %error);
        }
    }

    fn mark_reached(&mut self, log: &Logger) {
        if std::mem::replace(&mut self.is_unreachable, false) {
            info!(log, "store reachable again"; "purpose" => self.purpose);
        }
    }
}
