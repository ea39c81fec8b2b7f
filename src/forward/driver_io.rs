//! Sockets, channels and background tasks shared by the drivers of balancers and agents.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use slog::{Logger, warn};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time,
};

use super::{
    agent::target::Heartbeat,
    evacuation::Evacuations,
    notices::{Notice, Outbox},
    registrar::{ClusterUpdate, Registrar, RouteDocument, RouteWatch, record_era},
    route_fetch,
    settings::ForwardSettings,
    socket::{BindError, MAX_BATCH, MAX_DATAGRAM_LEN, PacketSocket},
};
use crate::{
    control::{store::LeasedStore, store_era::SharedStoreEra},
    flow::routes::RouteTable,
    membership::instance::Instance,
    observe::counters::{Counters, Event},
};

/// Capacity of the command and update channels.
const QUEUE_LEN: usize = 64;
/// Timeout for revoking the lease in the store when a process stops.
const REVOKE_TIMEOUT_MS: u64 = 300;

/// Why a process cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A UDP address cannot be bound.
    #[snafu(display("{source}"))]
    Packets {
        /// The underlying error.
        source: BindError,
    },
    /// The TCP address that serves the route table cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Control {
        /// The address.
        address: SocketAddrV4,
        /// The underlying error.
        source: std::io::Error,
    },
}

/// A command to a driver from outside its event loop.
#[derive(Debug)]
pub enum Command {
    /// The target sent a heartbeat.
    Heartbeat(Heartbeat),
    /// The target incarnation with this identifier announced its exit.
    TargetExiting(Arc<str>),
    /// The process was asked to stop.
    Stop,
}

/// Sends commands to a running driver and reads its readiness.
#[derive(Clone, Debug)]
pub struct Handle {
    command_tx: mpsc::Sender<Command>,
    /// Whether the driver can forward packets; shared with the driver.
    is_ready: Arc<AtomicBool>,
    /// Names of the evacuated failure domains.
    evacuated_rx: watch::Receiver<Vec<Arc<str>>>,
}

impl Handle {
    /// Sends a command to the driver.
    pub async fn send(&self, command: Command) {
        // The receiver is closed only while the process exits.
        let _ = self.command_tx.send(command).await;
    }

    /// Names of the failure domains that get no new flows, as known to the driver.
    #[must_use]
    pub fn evacuated(&self) -> Vec<Arc<str>> {
        self.evacuated_rx.borrow().clone()
    }

    /// Whether the driver can forward packets.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}

/// Inputs and outputs of a driver.
#[derive(Debug)]
pub struct DriverIo<L> {
    /// Socket for the packets of flows.
    pub packet_socket: PacketSocket,
    /// Socket for notices.
    pub control_socket: PacketSocket,
    /// Commands from [`Handle`].
    pub commands: mpsc::Receiver<Command>,
    /// Updates from the store and from other instances.
    pub updates: mpsc::Receiver<ClusterUpdate>,
    /// Event counters of the process.
    pub counters: Counters,
    is_ready: Arc<AtomicBool>,
    /// The newest known era of the store, shared with the registrar.
    era: SharedStoreEra,
    /// Names of the evacuated failure domains, for the metrics.
    evacuated_tx: watch::Sender<Vec<Arc<str>>>,
    /// Route table served to other instances.
    routes_tx: watch::Sender<Arc<RouteTable>>,
    /// Whether this process has to watch the routes in the store itself.
    store_needed_tx: watch::Sender<bool>,
    /// Current lease of the instance entry; `None` before the first registration.
    lease_rx: watch::Receiver<Option<L>>,
    /// Sender of `updates`, for route fetches.
    update_tx: mpsc::Sender<ClusterUpdate>,
    /// The most recent route fetch; `None` before the first one.
    fetch_task: Option<tokio::task::JoinHandle<()>>,
}

impl<L: Copy + Send + Sync + 'static> DriverIo<L> {
    /// Binds the sockets and starts the background tasks.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] when an address cannot be bound.
    pub async fn start<S, D>(
        settings: &ForwardSettings,
        local_instance: &Instance,
        store: S,
        document: D,
        counters: Counters,
        log: &Logger,
    ) -> Result<(Self, Handle), StartError>
    where
        S: LeasedStore<Lease = L>,
        D: RouteDocument,
    {
        let packet_socket = PacketSocket::bind(settings.packet_address, counters.clone())
            .await
            .context(PacketsSnafu)?;
        let control_socket = PacketSocket::bind(settings.control_address, counters.clone())
            .await
            .context(PacketsSnafu)?;
        let address = settings.control_address;
        let listener = TcpListener::bind(address)
            .await
            .context(ControlSnafu { address })?;
        let (command_tx, commands) = mpsc::channel(QUEUE_LEN);
        let (update_tx, updates) = mpsc::channel(QUEUE_LEN);
        let (routes_tx, routes_rx) = watch::channel(Arc::new(RouteTable::default()));
        let (store_needed_tx, store_needed_rx) = watch::channel(false);
        let (lease_tx, lease_rx) = watch::channel(None);
        let (evacuated_tx, evacuated_rx) = watch::channel(Vec::new());
        tokio::spawn(route_fetch::serve(listener, routes_rx, log.clone()));
        let era = SharedStoreEra::new();
        let registrar = Registrar {
            store,
            document,
            local_instance: local_instance.clone(),
            era: era.clone(),
            update_tx: update_tx.clone(),
            counters: counters.clone(),
            log: log.clone(),
        };
        let route_watch = match settings.target {
            Some(_) => RouteWatch::WhenNeeded(store_needed_rx),
            None => RouteWatch::Always,
        };
        tokio::spawn(registrar.clone().maintain_registration(lease_tx));
        tokio::spawn(registrar.follow_routes(route_watch));
        let is_ready = Arc::new(AtomicBool::new(false));
        let handle = Handle {
            command_tx,
            is_ready: Arc::clone(&is_ready),
            evacuated_rx,
        };
        let io = Self {
            packet_socket,
            control_socket,
            commands,
            updates,
            counters,
            is_ready,
            era,
            evacuated_tx,
            routes_tx,
            store_needed_tx,
            lease_rx,
            update_tx,
            fetch_task: None,
        };
        Ok((io, handle))
    }

    /// Sets whether the process is ready to forward packets.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Sets whether this process has to watch the routes in the store itself.
    pub fn set_store_needed(&self, is_needed: bool) {
        self.store_needed_tx.send_if_modified(|needed| {
            let is_changed = *needed != is_needed;
            *needed = is_needed;
            is_changed
        });
    }

    /// Makes the evacuated failure domains available to the metrics. Their era may show a restore of
    /// the store that this process has not noticed yet.
    pub fn publish_evacuations(&self, evacuations: &Evacuations, now_ms: u64, log: &Logger) {
        record_era(&self.era, evacuations.version().era, &self.counters, log);
        let names = evacuations.evacuated(now_ms);
        self.evacuated_tx.send_if_modified(|published| {
            let is_changed = *published != names;
            *published = names;
            is_changed
        });
    }

    /// Makes a newer route table available to other instances. Returns whether it was newer. Its
    /// era may show a restore of the store that this process has not noticed yet.
    pub fn publish_routes(&self, routes: &Arc<RouteTable>, log: &Logger) -> bool {
        record_era(&self.era, routes.version().era, &self.counters, log);
        self.routes_tx.send_if_modified(|current| {
            let is_newer = routes.version() > current.version();
            if is_newer {
                *current = Arc::clone(routes);
            }
            is_newer
        })
    }

    /// Fetches the route table of another instance, unless a fetch is still in progress.
    pub fn fetch_routes(&mut self, address: SocketAddrV4) {
        if self
            .fetch_task
            .as_ref()
            .is_some_and(|task| !task.is_finished())
        {
            return;
        }
        let update_tx = self.update_tx.clone();
        self.fetch_task = Some(tokio::spawn(async move {
            if let Some(routes) = route_fetch::fetch(address).await {
                // The receiver is closed only while the process exits.
                let _ = update_tx
                    .send(ClusterUpdate::Routes(Arc::new(routes)))
                    .await;
            }
        }));
    }

    /// Reads a batch of received notices. Counts and drops malformed ones.
    pub fn read_notices(
        &self,
        buffer: &mut [u8; MAX_DATAGRAM_LEN],
        mut handle: impl FnMut(SocketAddrV4, Notice),
    ) {
        for _ in 0..MAX_BATCH {
            let Some((len, from)) = self.control_socket.receive(buffer) else {
                return;
            };
            match Notice::decode(&buffer[..len]) {
                Some(notice) => handle(from, notice),
                None => self.counters.count(Event::DroppedNotice),
            }
        }
    }

    /// Sends all notices in the outbox.
    pub fn send_notices(&self, outbox: &mut Outbox) {
        // The encoding of the previous notice is reused, because the same notice is often sent to
        // many receivers in a row.
        let mut encoded: Option<(Notice, Vec<u8>)> = None;
        for (to, notice) in outbox.drain() {
            let bytes = match encoded.take() {
                Some((previous, bytes)) if previous == notice => bytes,
                _ => notice.encode(),
            };
            self.control_socket.send(&bytes, to);
            encoded = Some((notice, bytes));
        }
    }

    /// Revokes the lease, which removes this instance from the store. If the store does not answer
    /// in time, the entry stays until its lease expires.
    pub async fn deregister<S: LeasedStore<Lease = L>>(&self, store: &S, log: &Logger) {
        let Some(lease) = *self.lease_rx.borrow() else {
            return;
        };
        self.counters.count(Event::StoreCalled);
        let timeout = Duration::from_millis(REVOKE_TIMEOUT_MS);
        match time::timeout(timeout, store.revoke_lease(lease)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => warn!(log, "registration left to expire"; "error" => %error),
            Err(_) => warn!(log, "registration left to expire"; "error" => "no answer in time"),
        }
    }
}
