//! State shared by the tasks of an agent.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

use slog::Logger;
use tokio::sync::watch;

use crate::{
    clock::Clock,
    control::{
        peers::Peers,
        policy::{self, DEFAULT_OUTCOME_RETENTION_MS, EffectiveLimits, Scope},
        shared_policy::SharedPolicy,
    },
    observe::{counters::Counters, metrics::Metrics},
    proto::{control::AgentState, policy::Policy},
    settings::{AgentSettings, Settings},
    wire::connection_id::Route,
};

use super::{
    load::{Ewma, Utilisation},
    members::Members,
};

/// Identity of an agent process and the service and target that it serves.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    pub service: Arc<str>,
    pub service_number: u16,
    /// Route encoded in the agent's connection IDs.
    pub route: Route,
    pub target_address: SocketAddr,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub epoch_ms: u64,
}

impl Identity {
    pub fn new(settings: &Settings, agent: &AgentSettings, route: Route, epoch_ms: u64) -> Self {
        Self {
            name: Arc::clone(&settings.name),
            failure_domain: Arc::clone(&settings.failure_domain),
            service: Arc::clone(&agent.service),
            service_number: agent.service_number,
            route,
            target_address: agent.target_address,
            epoch_ms,
        }
    }
}

/// State shared by the tasks of an agent.
pub(crate) struct Shared {
    pub identity: Identity,
    pub policy: SharedPolicy,
    pub counters: Counters,
    pub metrics: Metrics,
    pub clock: Clock,
    pub log: Logger,
    /// The last seen policy and the limits computed from it.
    limits: Mutex<(Arc<Policy>, EffectiveLimits)>,
    state: watch::Sender<AgentState>,
    peers: Mutex<Peers>,
    /// Open connections of callers.
    connections: AtomicU32,
    /// Occupied slots.
    running: AtomicU32,
    /// Queued requests.
    queued: AtomicU32,
    /// Average service time of a request, in microseconds.
    latency_us: Mutex<Ewma>,
    members: Mutex<Members>,
    utilisation: Mutex<Utilisation>,
    /// Sequence number of the next announcement.
    announce_sequence: AtomicU64,
}

impl Shared {
    pub fn new(
        identity: Identity,
        peers: Peers,
        policy: SharedPolicy,
        counters: Counters,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Self> {
        let members = Members::new(identity.route.agent, DEFAULT_OUTCOME_RETENTION_MS);
        let current = policy.current();
        let limits = effective_limits(&identity, &current);
        Arc::new(Self {
            limits: Mutex::new((current, limits)),
            identity,
            policy,
            counters,
            metrics,
            clock: Clock::new(),
            log,
            state: watch::channel(AgentState::Joining).0,
            peers: Mutex::new(peers),
            connections: AtomicU32::new(0),
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            latency_us: Mutex::default(),
            members: Mutex::new(members),
            utilisation: Mutex::default(),
            announce_sequence: AtomicU64::new(1),
        })
    }

    /// Current limits, computed once per version of the policy.
    pub fn limits(&self) -> EffectiveLimits {
        let policy = self.policy.current();
        let mut cached = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&cached.0, &policy) {
            let limits = effective_limits(&self.identity, &policy);
            *cached = (policy, limits);
        }
        cached.1
    }

    pub fn state(&self) -> AgentState {
        *self.state.borrow()
    }

    /// Sets the state; returns whether it changed.
    pub fn set_state(&self, state: AgentState) -> bool {
        self.state.send_if_modified(|current| {
            let is_new = *current != state;
            *current = state;
            is_new
        })
    }

    pub fn watch_state(&self) -> watch::Receiver<AgentState> {
        self.state.subscribe()
    }

    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn next_announce_sequence(&self) -> u64 {
        self.announce_sequence.fetch_add(1, Ordering::Relaxed)
    }

    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    pub fn connection_opened(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    pub fn set_load(&self, running: u32, queued: u32) {
        self.running.store(running, Ordering::Relaxed);
        self.queued.store(queued, Ordering::Relaxed);
    }

    pub fn observe_utilisation(&self, slots: u32, elapsed_ms: u32) {
        let mut utilisation = self
            .utilisation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        utilisation.observe(self.running(), slots, elapsed_ms);
    }

    pub fn utilisation(&self) -> Utilisation {
        *self
            .utilisation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    pub fn queued(&self) -> u32 {
        self.queued.load(Ordering::Relaxed)
    }

    pub fn record_latency_us(&self, latency_us: u64) {
        let mut smoothed = self
            .latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        smoothed.add(latency_us);
    }

    pub fn latency_us(&self) -> u64 {
        self.latency_us
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .value()
    }
}

fn effective_limits(identity: &Identity, policy: &Policy) -> EffectiveLimits {
    let scope = Scope {
        service: &identity.service,
        failure_domain: &identity.failure_domain,
        host: &identity.name,
    };
    policy::effective_limits(policy, scope)
}
