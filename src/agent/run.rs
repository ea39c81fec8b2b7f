//! Startup, draining and shutdown of an agent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quinn::Endpoint;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, sync::mpsc, task::JoinSet, time};

use super::{
    announcer,
    connection::serve,
    endpoint::{self, EndpointError},
    handover::{AgentService, SlotFinder},
    idempotency::IdempotencyRegistry,
    members::JOIN_DELAY_MS,
    request::RequestHandler,
    slots,
    socket::AgentSocket,
    state::{Identity, Shared},
    view::AgentView,
};
use crate::{
    clock::unix_ms,
    control::{peers::Peers, rpc_server, shared_policy::SharedPolicy},
    observe::{
        counters::{Counters, Event},
        metrics::{Metrics, MetricsError},
    },
    proto::control::AgentState,
    settings::{AgentSettings, Settings, TlsIdentity},
    wire::{
        connection_id::{Epoch, Route},
        key_ring::SharedKeyRing,
        transport::{BatchSocket, InnerSocket},
    },
};

/// Maximum number of received control messages that wait to be handled.
const CONTROL_QUEUE_LEN: usize = 1_024;
/// Time since the last acknowledgement after which a balancer is considered dead and replies are
/// sent through another one.
const BALANCER_TIMEOUT_MS: u64 = 1_500;
const DRAIN_POLL_MS: u64 = 20;
/// Time for claims of the last owned keys to arrive.
const CLAIM_GRACE_MS: u64 = 500;
/// Maximum time to wait for connections to finish closing.
const CLOSE_TIMEOUT_MS: u64 = 1_000;

/// Why an agent cannot start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The inner address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The inner address is not an IPv4 address.
    #[snafu(display(
        "inner_address {address} is not an IPv4 address; agents require IPv4, see docs/design"
    ))]
    NotIpv4 {
        /// The address.
        address: SocketAddr,
    },
    /// The QUIC endpoint cannot be set up.
    #[snafu(display("{source}"))]
    Endpoint {
        /// The underlying error.
        source: EndpointError,
    },
    /// Metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The underlying error.
        source: MetricsError,
    },
}

/// A running agent.
pub struct Agent {
    shared: Arc<Shared>,
    endpoint: Endpoint,
    inner: InnerSocket,
    tasks: JoinSet<()>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    ///
    /// Returns [`AgentError`] when an address cannot be bound or a library cannot be set up.
    pub async fn start(
        settings: &Settings,
        agent: &AgentSettings,
        log: Logger,
    ) -> Result<Self, AgentError> {
        let address = settings.inner_address;
        let SocketAddr::V4(route_address) = address else {
            return NotIpv4Snafu { address }.fail();
        };
        let epoch_ms = unix_ms();
        let route = Route {
            agent: route_address,
            service: agent.service_number,
            epoch: Epoch::from_ms(epoch_ms),
        };
        let identity = Identity::new(settings, agent, route, epoch_ms);
        let counters = Counters::new();
        let metrics = Metrics::new(&counters).context(MetricsSnafu)?;
        let peers = Peers::new(address, &settings.peers, BALANCER_TIMEOUT_MS);
        let shared = Shared::new(identity, peers, SharedPolicy::new(), counters, metrics, log);
        let socket = BatchSocket::bind(address).context(BindSnafu { address })?;
        let inner = InnerSocket::new(Arc::new(socket), settings.keys.clone());
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let (control, received) = mpsc::channel(CONTROL_QUEUE_LEN);
        let socket = AgentSocket::new(inner.clone(), Arc::clone(&shared), control);
        let endpoint =
            endpoint::open(socket, &settings.keys, route, &agent.tls).context(EndpointSnafu)?;
        let slots = slots::spawn(&shared);
        let registry = IdempotencyRegistry::new(Arc::clone(&shared), settings.keys.clone());
        let finder = SlotFinder::new(Arc::clone(&shared), settings.keys.clone());
        let service = AgentService::new(Arc::clone(&shared), slots.clone(), registry.clone());
        let handler = RequestHandler::new(Arc::clone(&shared), slots, registry, finder);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_connections(
            Arc::clone(&shared),
            endpoint.clone(),
            handler,
        ));
        tasks.spawn(announcer::run(Arc::clone(&shared), inner.clone(), received));
        tasks.spawn(rpc_server::serve(listener, settings.keys.clone(), service));
        info!(shared.log, "agent started"; "inner_address" => %address,
            "service" => %agent.service, "target_address" => %agent.target_address);
        Ok(Self {
            shared,
            endpoint,
            inner,
            tasks,
        })
    }

    /// A handle for the administration API.
    #[must_use]
    pub fn view(&self) -> AgentView {
        AgentView::new(Arc::clone(&self.shared))
    }

    /// Replaces the certificate for new connections.
    ///
    /// # Errors
    ///
    /// Returns `EndpointError` when TLS cannot be configured.
    pub fn set_tls(&self, keys: &SharedKeyRing, tls: &TlsIdentity) -> Result<(), EndpointError> {
        let config = endpoint::server_config(keys, tls)?;
        self.endpoint.set_server_config(Some(config));
        Ok(())
    }

    /// Starts or ends a drain without stopping the agent.
    pub fn set_draining(&self, is_draining: bool) {
        announcer::set_draining(&self.shared, is_draining);
    }

    /// Drains the agent for at most the policy's drain timeout and stops it.
    pub async fn stop(mut self) {
        let drain_timeout_ms = self.shared.limits().drain_timeout_ms;
        info!(self.shared.log, "agent draining"; "connections" => self.shared.connections(),
            "drain_timeout_ms" => drain_timeout_ms);
        self.set_draining(true);
        let owner_until =
            time::Instant::now() + Duration::from_millis(JOIN_DELAY_MS + CLAIM_GRACE_MS);
        let drained = time::timeout(
            Duration::from_millis(drain_timeout_ms),
            self.wait_until_drained(),
        )
        .await;
        if drained.is_err() {
            warn!(self.shared.log, "drain timeout expired; closing the remaining connections";
                "connections" => self.shared.connections());
        }
        // This agent owns keys that are created until then and must answer their claims.
        time::sleep_until(owner_until).await;
        self.shared.set_state(AgentState::Gone);
        announcer::announce_to_all(&self.shared, &self.inner);
        self.endpoint.close(0u32.into(), b"agent stopped");
        let idle = self.endpoint.wait_idle();
        // Packets that callers do not acknowledge within the timeout are given up.
        let _ = time::timeout(Duration::from_millis(CLOSE_TIMEOUT_MS), idle).await;
        info!(self.shared.log, "agent stopped");
        self.abort().await;
    }

    /// Cancels all tasks immediately, as if the process had been killed.
    pub async fn abort(&mut self) {
        self.tasks.shutdown().await;
    }

    /// Waits until no connection is open.
    async fn wait_until_drained(&self) {
        while self.shared.connections() > 0 {
            time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }
}

/// Accepts connections up to the connection limit while the agent accepts flows, and refuses
/// others.
async fn accept_connections(shared: Arc<Shared>, endpoint: Endpoint, handler: RequestHandler) {
    while let Some(incoming) = endpoint.accept().await {
        let is_full = shared.connections() >= shared.limits().connections;
        if is_full || shared.state() != AgentState::Accepting {
            shared.counters.count(Event::ConnectionRefused);
            incoming.refuse();
            continue;
        }
        tokio::spawn(serve(Arc::clone(&shared), handler.clone(), incoming));
    }
}
