//! Starts a balancer's tasks and stops them again.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use kameo::actor::{ActorRef, Spawn};
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::Semaphore, task::JoinSet, time};

use super::{
    control::{Control, ControlParts, Leave, PolicyChanged, Tick},
    forward::Forwarder,
    gossip::Gossip,
    lost::DeathRegister,
    outer_socket::OuterSocket,
    retry::{Responder, RetryError},
    returns::Returns,
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

const TICK_INTERVAL_MS: u64 = 250;
/// Messages that wait at the control actor, and the part of them that may be callers' packets.
const MAX_WAITING_MESSAGES: usize = 1_024;
const MAX_WAITING_PACKETS: usize = 64;
/// Time in which a leaving balancer goes on forwarding what is under way to it.
const LEAVE_GRACE_MS: u64 = 1_000;

/// Why a balancer cannot start.
#[derive(Debug, Snafu)]
pub enum BalancerError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// TLS cannot be set up.
    #[snafu(display("{source}"))]
    Responder {
        /// The underlying error.
        source: RetryError,
    },
    /// The initial policy has faults or cannot be read.
    #[snafu(display("{}: {reason}; run `bamboowind check` on it", path.display()))]
    InitialPolicy {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
}

/// A running balancer.
pub struct Balancer {
    control: ActorRef<Control>,
    policy: SharedPolicy,
    counters: Counters,
    tasks: JoinSet<()>,
    log: Logger,
}

impl Balancer {
    /// Starts a balancer with the store of its settings.
    ///
    /// # Errors
    ///
    /// Returns [`BalancerError`] when an address cannot be bound or the initial policy has faults.
    pub async fn start(
        settings: &Settings,
        balancer: &BalancerSettings,
        log: Logger,
    ) -> Result<Self, BalancerError> {
        match &balancer.store {
            Some(store) => {
                let adapter = Some((ConsulStore::new(store), store.clone()));
                Self::start_with(settings, balancer, adapter, log).await
            }
            None => Self::start_with::<ConsulStore>(settings, balancer, None, log).await,
        }
    }

    /// Starts a balancer with another store.
    ///
    /// # Errors
    ///
    /// Returns [`BalancerError`] when an address cannot be bound or the initial policy has faults.
    pub async fn start_with<S: Store>(
        settings: &Settings,
        balancer: &BalancerSettings,
        store: Option<(S, StoreSettings)>,
        log: Logger,
    ) -> Result<Self, BalancerError> {
        let policy = match &balancer.initial_policy_file {
            Some(path) => SharedPolicy::with_initial(read_policy(path)?),
            None => SharedPolicy::new(),
        };
        let counters = Counters::new();
        let inner_socket = bind(settings.inner_address)?;
        let inner = InnerSocket::new(Arc::new(inner_socket), settings.keys.clone());
        let outer = bind_services(balancer)?;
        let listener = TcpListener::bind(settings.inner_address)
            .await
            .context(BindSnafu {
                address: settings.inner_address,
            })?;
        let deaths = DeathRegister::new();
        let contact = StoreContact::new();
        let clock = Clock::new();
        let parts = ControlParts {
            inner: inner.clone(),
            outer: outer.clone(),
            services: balancer.services.clone(),
            responder: Responder::new(&settings.keys).context(ResponderSnafu)?,
            deaths: deaths.clone(),
            gossip: Gossip::new(
                settings.inner_address,
                &settings.peers,
                Arc::clone(&settings.name),
                Arc::clone(&settings.failure_domain),
                unix_ms(),
                contact.clone(),
            ),
            policy: policy.clone(),
            counters: counters.clone(),
            clock,
            log: log.clone(),
        };
        let mailbox = kameo::mailbox::bounded(MAX_WAITING_MESSAGES);
        let control = Control::spawn_with_mailbox(Control::new(parts), mailbox);
        let packet_room = Arc::new(Semaphore::new(MAX_WAITING_PACKETS));
        let mut tasks = JoinSet::new();
        for socket in &outer {
            let forwarder = Forwarder {
                service: socket.service,
                outer: Arc::clone(&socket.socket),
                inner: inner.clone(),
                control: control.clone(),
                packet_room: Arc::clone(&packet_room),
                deaths: deaths.clone(),
                counters: counters.clone(),
            };
            tasks.spawn(forwarder.run());
        }
        let returns = Returns {
            inner,
            outer,
            control: control.clone(),
            counters: counters.clone(),
        };
        tasks.spawn(returns.run());
        let service = PolicyService::new(policy.clone());
        tasks.spawn(rpc_server::serve(listener, settings.keys.clone(), service));
        tasks.spawn(tick(control.clone()));
        tasks.spawn(push_policy(control.clone(), policy.clone()));
        if let Some((store, store_settings)) = store {
            let watcher = Watcher {
                store,
                config: watch_plan(settings, &store_settings),
                policy: policy.clone(),
                store_contact: contact,
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

    /// The actor that holds the soft state.
    #[must_use]
    pub fn control(&self) -> &ActorRef<Control> {
        &self.control
    }

    /// The policy in force.
    #[must_use]
    pub fn policy(&self) -> &SharedPolicy {
        &self.policy
    }

    /// The counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Leaves: tells everyone, goes on forwarding for a grace time, and stops.
    pub async fn stop(mut self) {
        info!(self.log, "balancer leaving");
        if self.control.tell(Leave).await.is_err() {
            warn!(self.log, "control actor has stopped before the balancer");
        }
        time::sleep(Duration::from_millis(LEAVE_GRACE_MS)).await;
        self.abort().await;
    }

    /// Stops at once, as if the process had been killed.
    pub async fn abort(&mut self) {
        self.control.kill();
        self.tasks.shutdown().await;
    }
}

fn bind(address: SocketAddr) -> Result<BatchSocket, BalancerError> {
    BatchSocket::bind(address).context(BindSnafu { address })
}

fn bind_services(balancer: &BalancerSettings) -> Result<Vec<OuterSocket>, BalancerError> {
    let sockets = balancer.services.iter().map(|service| {
        let socket = Arc::new(bind(service.address)?);
        Ok(OuterSocket {
            service: service.number,
            socket,
        })
    });
    sockets.collect()
}

fn read_policy(path: &std::path::Path) -> Result<crate::proto::policy::Policy, BalancerError> {
    let refuse = |reason: String| BalancerError::InitialPolicy {
        path: path.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|error| refuse(error.to_string()))?;
    policy::parse(&text).map_err(|faults| refuse(faults[0].to_string()))
}

fn watch_plan(settings: &Settings, store: &StoreSettings) -> WatchConfig {
    WatchConfig {
        policy_key: Arc::clone(&store.policy_key),
        failure_domain: Arc::clone(&settings.failure_domain),
        holder: Arc::clone(&settings.name),
        max_watchers: store.watchers,
        lease_ttl_ms: store.lease_ttl_ms,
    }
}

async fn tick(control: ActorRef<Control>) {
    let mut interval = time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if control.tell(Tick).await.is_err() {
            return;
        }
    }
}

async fn push_policy(control: ActorRef<Control>, policy: SharedPolicy) {
    let mut changes = policy.subscribe();
    while changes.changed().await.is_ok() {
        if control.tell(PolicyChanged).await.is_err() {
            return;
        }
    }
}
