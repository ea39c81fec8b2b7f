//! Startup and shutdown of a balancer's tasks.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use kameo::actor::{ActorRef, Spawn};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinSet, time};

use super::{
    control::{ControlActor, ControlDependencies, Leave, PolicyChanged, Tick},
    dead_agents::DeadAgentRegistry,
    forward::Forwarder,
    gossip::Gossip,
    inner_receiver::InnerReceiver,
    responder::{Responder, ResponderError},
    service_socket::ServiceSocket,
};
use crate::{
    clock::{Clock, unix_ms},
    control::{
        consul_store::ConsulStore,
        policy,
        policy_sync::PolicyService,
        rpc_server,
        shared_policy::SharedPolicy,
        store::Store,
        store_contact::StoreContact,
        watcher::{WatchConfig, Watcher},
    },
    observe::counters::Counters,
    settings::{BalancerSettings, Settings, StoreSettings},
    wire::transport::{BatchSocket, InnerSocket},
};

/// Interval between the control actor's timer events.
const TICK_INTERVAL_MS: u64 = 250;
/// Capacity of the control actor's mailbox.
const CONTROL_MAILBOX_CAPACITY: usize = 1_024;
/// Maximum number of callers' packets in the control actor's mailbox.
const MAX_QUEUED_PACKETS: usize = 64;
/// Time for which a balancer that is shutting down still forwards packets in flight to it.
const LEAVE_GRACE_MS: u64 = 1_000;

/// Error while starting a balancer.
#[derive(Debug, Snafu)]
pub enum BalancerError {
    /// Binding a socket failed.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The responder could not be created.
    #[snafu(display("{source}"))]
    Responder {
        /// The underlying error.
        source: ResponderError,
    },
    /// The initial policy is invalid or cannot be read.
    #[snafu(display("{}: {reason}; run `bamboowind check` on it", path.display()))]
    InitialPolicy {
        /// Path of the policy file.
        path: PathBuf,
        /// Read error or first validation error.
        reason: String,
    },
}

/// A running balancer.
pub struct Balancer {
    control: ActorRef<ControlActor>,
    policy: SharedPolicy,
    counters: Counters,
    tasks: JoinSet<()>,
    log: Logger,
}

impl Balancer {
    /// Starts a balancer with the store from its settings, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`BalancerError`] if an address cannot be bound, TLS cannot be configured or the
    /// initial policy is invalid.
    pub async fn start(
        settings: &Settings,
        balancer: &BalancerSettings,
        log: Logger,
    ) -> Result<Self, BalancerError> {
        match &balancer.store {
            Some(store) => {
                let store = Some((ConsulStore::new(store), store.clone()));
                Self::start_with_store(settings, balancer, store, log).await
            }
            None => Self::start_with_store::<ConsulStore>(settings, balancer, None, log).await,
        }
    }

    /// Starts a balancer with the given store; with `None` the policy is never read from a store.
    ///
    /// # Errors
    ///
    /// Returns [`BalancerError`] if an address cannot be bound, TLS cannot be configured or the
    /// initial policy is invalid.
    pub async fn start_with_store<S: Store>(
        settings: &Settings,
        balancer: &BalancerSettings,
        store: Option<(S, StoreSettings)>,
        log: Logger,
    ) -> Result<Self, BalancerError> {
        let policy = match &balancer.initial_policy_file {
            Some(path) => SharedPolicy::with_initial(read_initial_policy(path)?),
            None => SharedPolicy::new(),
        };
        let counters = Counters::new();
        let inner_socket = bind(settings.inner_address)?;
        let inner = InnerSocket::new(Arc::new(inner_socket), settings.keys.clone());
        let service_sockets = bind_services(balancer)?;
        let listener = TcpListener::bind(settings.inner_address)
            .await
            .context(BindSnafu {
                address: settings.inner_address,
            })?;
        let dead_agents = DeadAgentRegistry::new();
        let store_contact = StoreContact::new();
        let clock = Clock::new();
        let deps = ControlDependencies {
            inner: inner.clone(),
            service_sockets: service_sockets.clone(),
            services: balancer.services.clone(),
            responder: Responder::new(&settings.keys).context(ResponderSnafu)?,
            dead_agents: dead_agents.clone(),
            gossip: Gossip::new(
                settings.inner_address,
                &settings.peers,
                Arc::clone(&settings.name),
                Arc::clone(&settings.failure_domain),
                unix_ms(),
                store_contact.clone(),
            ),
            policy: policy.clone(),
            counters: counters.clone(),
            clock,
            log: log.clone(),
        };
        let mailbox = kameo::mailbox::bounded(CONTROL_MAILBOX_CAPACITY);
        let control = ControlActor::spawn_with_mailbox(ControlActor::new(deps), mailbox);
        let packet_permits = Arc::new(Semaphore::new(MAX_QUEUED_PACKETS));
        let mut tasks = JoinSet::new();
        for socket in &service_sockets {
            let forwarder = Forwarder {
                service: socket.service,
                service_socket: Arc::clone(&socket.socket),
                inner: inner.clone(),
                control: control.clone(),
                packet_permits: Arc::clone(&packet_permits),
                dead_agents: dead_agents.clone(),
                counters: counters.clone(),
            };
            tasks.spawn(forwarder.run());
        }
        let receiver = InnerReceiver {
            inner,
            service_sockets,
            control: control.clone(),
            counters: counters.clone(),
        };
        tasks.spawn(receiver.run());
        let policy_service = PolicyService::new(policy.clone());
        tasks.spawn(rpc_server::serve(
            listener,
            settings.keys.clone(),
            policy_service,
        ));
        tasks.spawn(send_ticks(control.clone()));
        tasks.spawn(notify_policy_changes(control.clone(), policy.clone()));
        if let Some((store, store_settings)) = store {
            let watcher = Watcher {
                store,
                config: watch_config(settings, &store_settings),
                policy: policy.clone(),
                store_contact,
                clock,
                counters: counters.clone(),
                log: log.clone(),
            };
            tasks.spawn(watcher.run());
        }
        info!(log, "balancer started"; "inner_address" => %settings.inner_address,
            "services" => balancer.services.len());
        Ok(Self {
            control,
            policy,
            counters,
            tasks,
            log,
        })
    }

    /// The control actor, which owns the balancer's soft state.
    #[must_use]
    pub fn control(&self) -> &ActorRef<ControlActor> {
        &self.control
    }

    /// The current policy.
    #[must_use]
    pub fn policy(&self) -> &SharedPolicy {
        &self.policy
    }

    /// The event counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Shuts down gracefully: notifies the agents and the other balancers, and keeps forwarding
    /// packets for a grace period before stopping.
    pub async fn stop(mut self) {
        info!(self.log, "balancer stopping");
        if self.control.tell(Leave).await.is_err() {
            warn!(
                self.log,
                "control actor stopped before the balancer; other processes were not notified"
            );
        }
        time::sleep(Duration::from_millis(LEAVE_GRACE_MS)).await;
        self.abort().await;
    }

    /// Stops immediately, without notifying other processes.
    pub async fn abort(&mut self) {
        self.control.kill();
        self.tasks.shutdown().await;
    }
}

fn bind(address: SocketAddr) -> Result<BatchSocket, BalancerError> {
    BatchSocket::bind(address).context(BindSnafu { address })
}

fn bind_services(balancer: &BalancerSettings) -> Result<Vec<ServiceSocket>, BalancerError> {
    let sockets = balancer.services.iter().map(|service| {
        let socket = Arc::new(bind(service.address)?);
        Ok(ServiceSocket {
            service: service.number,
            socket,
        })
    });
    sockets.collect()
}

fn read_initial_policy(
    path: &std::path::Path,
) -> Result<crate::proto::policy::Policy, BalancerError> {
    let invalid = |reason: String| BalancerError::InitialPolicy {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
    policy::parse(&text).map_err(|errors| invalid(errors[0].to_string()))
}

/// Configuration of the store watcher.
fn watch_config(settings: &Settings, store: &StoreSettings) -> WatchConfig {
    WatchConfig {
        policy_key: Arc::clone(&store.policy_key),
        failure_domain: Arc::clone(&settings.failure_domain),
        holder: Arc::clone(&settings.name),
        max_watchers: store.watchers,
        lease_ttl_ms: store.lease_ttl_ms,
    }
}

/// Sends periodic timer events to the control actor until it stops.
async fn send_ticks(control: ActorRef<ControlActor>) {
    let mut interval = time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if control.tell(Tick).await.is_err() {
            return;
        }
    }
}

/// Notifies the control actor of each policy change until it stops.
async fn notify_policy_changes(control: ActorRef<ControlActor>, policy: SharedPolicy) {
    let mut changes = policy.subscribe();
    while changes.changed().await.is_ok() {
        if control.tell(PolicyChanged).await.is_err() {
            return;
        }
    }
}
