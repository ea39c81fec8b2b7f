//! Actor that owns a balancer's soft state: the agent directory, the peer balancers and the
//! responses to packets that cannot be forwarded.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use bytes::BytesMut;
use kameo::{
    Actor,
    actor::ActorRef,
    message::{Context, Message},
};
use slog::{Logger, info, warn};
use tokio::sync::OwnedSemaphorePermit;

use super::{
    dead_agents::{self, DeadAgentRegistry, PROBE_AFTER_MS},
    directory::{AgentDirectory, AnnounceOutcome},
    gossip::Gossip,
    responder::{Responder, Response},
    service_socket::ServiceSocket,
    status::{Snapshot, target_status},
};
use crate::{
    clock::Clock,
    control::{policy_sync, shared_policy::SharedPolicy},
    observe::{
        counters::{Counters, Event},
        log::RateLimit,
    },
    proto::control::{AgentLost, Announce, AnnounceAck, DrainOrder, control::Body},
    settings::ServiceSettings,
    wire::{
        connection_id::Epoch,
        transport::{InnerSocket, new_transmit},
    },
};

/// Time after the balancer's start during which the first packet of a flow is dropped instead of
/// refused if no agent is available, because another balancer may already know one.
const WARM_UP_MS: u64 = 2_000;
/// Maximum number of warnings about callers and agents that are logged per second.
const WARNINGS_PER_SECOND: u32 = 5;

/// Dependencies of the control actor.
pub struct ControlDependencies {
    /// Socket to the agents and the other balancers.
    pub inner: InnerSocket,
    /// Sockets bound to the service addresses, sorted by service number.
    pub service_sockets: Vec<ServiceSocket>,
    /// Configured services, sorted by number.
    pub services: Vec<ServiceSettings>,
    /// Builds the responses to packets that are not forwarded.
    pub responder: Responder,
    /// Agent processes that are known to be dead.
    pub dead_agents: DeadAgentRegistry,
    /// Exchange of heartbeats with the other balancers.
    pub gossip: Gossip,
    /// Current policy.
    pub policy: SharedPolicy,
    /// Event counters.
    pub counters: Counters,
    /// Clock of the process.
    pub clock: Clock,
    /// Log of the balancer.
    pub log: Logger,
}

/// Soft state of a balancer, rebuilt from announcements and heartbeats within a second of a start.
#[derive(Actor)]
pub struct ControlActor {
    deps: ControlDependencies,
    directory: AgentDirectory,
    /// Buffer for responses to callers, reused between packets.
    response: Vec<u8>,
    warnings: RateLimit,
}

impl ControlActor {
    /// Creates the actor with an empty agent directory.
    #[must_use]
    pub fn new(deps: ControlDependencies) -> Self {
        Self {
            deps,
            directory: AgentDirectory::new(),
            response: Vec::new(),
            warnings: RateLimit::new(WARNINGS_PER_SECOND),
        }
    }

    fn service_socket(&self, service: u16) -> Option<&ServiceSocket> {
        let sockets = &self.deps.service_sockets;
        let index = sockets.binary_search_by_key(&service, |socket| socket.service);
        index.ok().map(|index| &sockets[index])
    }

    /// Logs a warning about a peer unless the rate limit is exceeded.
    fn warn(&mut self, message: &'static str, source: SocketAddr) {
        let now_ms = self.deps.clock.now_ms();
        if let Some(suppressed) = self.warnings.permit(now_ms) {
            warn!(self.deps.log, "{}", message; "source" => %source, "suppressed" => suppressed);
        }
    }

    /// Whether the announced service number and name match a configured service.
    fn is_known_service(&self, announce: &Announce) -> bool {
        let services = &self.deps.services;
        services.iter().any(|service| {
            u32::from(service.number) == announce.service_number
                && *service.name == *announce.service
        })
    }

    fn handle_announce(&mut self, source: SocketAddr, announce: Announce) {
        let now_ms = self.deps.clock.now_ms();
        let SocketAddr::V4(address) = source else {
            self.deps.counters.count(Event::AnnounceRefused);
            return;
        };
        if !self.is_known_service(&announce) {
            self.deps.counters.count(Event::AnnounceRefused);
            self.warn(
                "agent announced a service that is not in the settings",
                source,
            );
            return;
        }
        let (balancers, siblings) = if announce.wants_lists {
            let balancers = self.deps.gossip.shared_addresses(now_ms);
            (
                balancers,
                self.directory.siblings(now_ms, address, &announce),
            )
        } else {
            (Vec::new(), Vec::new())
        };
        let ack = AnnounceAck {
            sequence: announce.sequence,
            policy_version: self.deps.policy.version(),
            balancers,
            siblings,
        };
        self.deps.inner.send_control(source, Body::AnnounceAck(ack));
        let (name, state) = (announce.name.clone(), announce.state());
        match self.directory.record_announce(now_ms, address, announce) {
            AnnounceOutcome::Added | AnnounceOutcome::StateChanged => {
                info!(self.deps.log, "target announced"; "target" => name, "address" => %address,
                    "state" => state.as_str_name());
            }
            AnnounceOutcome::Updated | AnnounceOutcome::Stale => {}
        }
    }

    /// Probes the agents whose announcements have stopped, to find out whether their processes
    /// are dead.
    fn probe_silent_agents(&self, now_ms: u64, control: &ActorRef<Self>) {
        let entries = self.directory.entries().iter();
        let silent = entries.filter(|entry| now_ms >= entry.received_at_ms + PROBE_AFTER_MS);
        for entry in silent {
            let dead = DeadAgentDetected {
                address: entry.address,
                epoch_ms: entry.announce.epoch_ms,
            };
            let control = control.clone();
            tokio::spawn(async move {
                if dead_agents::is_port_closed(dead.address).await {
                    // If the mailbox is full, the next probe sends the message again.
                    let _ = control.tell(dead).try_send();
                }
            });
        }
    }

    /// Handles a report from another balancer that an agent process is dead.
    fn handle_agent_lost(&mut self, lost: &AgentLost) {
        let port = u16::try_from(lost.port).unwrap_or_default();
        let address = SocketAddrV4::new(lost.ip.into(), port);
        self.directory.remove(address, lost.epoch_ms);
        self.deps
            .dead_agents
            .insert(address, Epoch::from_ms(lost.epoch_ms));
    }

    /// Sends a response to a caller and keeps its buffer for reuse. An empty response is not sent.
    fn send_response(&mut self, service: u16, caller: SocketAddr, response: Vec<u8>) {
        if let (Some(socket), false) = (self.service_socket(service), response.is_empty()) {
            // If the response is lost, the caller retransmits its packet and gets another one.
            let _ = socket
                .socket
                .try_send(&new_transmit(caller, &response, None));
        }
        self.response = response;
    }

    /// Fetches the policy from a peer that has a newer version.
    fn fetch_policy(&self, peer: SocketAddr, version: u64) {
        if version <= self.deps.policy.version() {
            return;
        }
        let keys = self.deps.inner.sealer().keys().clone();
        let (cell, log) = (self.deps.policy.clone(), self.deps.log.clone());
        tokio::spawn(async move {
            match policy_sync::fetch_if_newer(peer, keys, &cell).await {
                Ok(true) => {
                    info!(log, "policy updated"; "version" => cell.version(), "source" => %peer);
                }
                Ok(false) => {}
                Err(error) => warn!(log, "policy fetch failed"; "error" => %error),
            }
        });
    }
}

/// A packet from a caller that cannot be forwarded to an agent.
pub struct UnroutedPacket {
    /// Number of the service whose socket received the packet.
    pub service: u16,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The datagram.
    pub packet: BytesMut,
    /// Whether the packet belongs to a lost flow, that is, one whose agent process is dead.
    /// Otherwise it may be the first packet of a flow.
    pub is_lost_flow: bool,
    /// Permit that limits the number of queued packets; held until the packet has been handled.
    pub queue_permit: OwnedSemaphorePermit,
}

impl Message<UnroutedPacket> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, unrouted: UnroutedPacket, _: &mut Context<Self, ()>) {
        if unrouted.is_lost_flow {
            self.reset_flow(unrouted);
        } else {
            self.open_flow(unrouted);
        }
    }
}

impl ControlActor {
    /// Responds to the first packet of a flow with a Retry that names the chosen agent, or refuses
    /// the flow.
    fn open_flow(&mut self, first: UnroutedPacket) {
        let now_ms = self.deps.clock.now_ms();
        let route = self
            .directory
            .choose(now_ms, first.service, &mut rand::rng());
        if route.is_none() && now_ms < WARM_UP_MS {
            return;
        }
        let mut response = std::mem::take(&mut self.response);
        let responder = &mut self.deps.responder;
        match responder.respond_to_first(first.caller, first.packet, route, &mut response) {
            Response::Retry => self.deps.counters.count(Event::RetrySent),
            Response::Refusal => {
                self.deps.counters.count(Event::FlowRefused);
                self.warn("flow refused", first.caller);
            }
            Response::Other | Response::None => {}
        }
        self.send_response(first.service, first.caller, response);
    }

    /// Responds to a packet of a lost flow so that the caller ends the flow.
    fn reset_flow(&mut self, lost: UnroutedPacket) {
        let mut response = std::mem::take(&mut self.response);
        let responder = &mut self.deps.responder;
        let kind = responder.respond_to_lost(lost.caller, lost.packet, &mut response);
        if kind != Response::None {
            self.deps.counters.count(Event::ResetSent);
        }
        self.send_response(lost.service, lost.caller, response);
    }
}

/// A probe has shown that an agent process is dead.
pub struct DeadAgentDetected {
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub epoch_ms: u64,
}

impl Message<DeadAgentDetected> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, dead: DeadAgentDetected, _: &mut Context<Self, ()>) {
        if !self.directory.remove(dead.address, dead.epoch_ms) {
            return;
        }
        self.deps
            .dead_agents
            .insert(dead.address, Epoch::from_ms(dead.epoch_ms));
        warn!(self.deps.log, "agent is dead"; "address" => %dead.address);
        let lost = AgentLost {
            ip: (*dead.address.ip()).into(),
            port: dead.address.port().into(),
            epoch_ms: dead.epoch_ms,
        };
        // Without this message, the other balancers keep assigning flows to the agent until they
        // detect its death themselves.
        self.deps
            .gossip
            .send_to_all(&self.deps.inner, &Body::AgentLost(lost));
    }
}

/// A control message from an agent or another balancer.
pub struct ControlMessage {
    /// Inner address of the sender.
    pub source: SocketAddr,
    /// Decoded body of the message.
    pub body: Body,
}

impl Message<ControlMessage> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ControlMessage, _: &mut Context<Self, ()>) {
        let now_ms = self.deps.clock.now_ms();
        match message.body {
            Body::Announce(announce) => self.handle_announce(message.source, announce),
            Body::Heartbeat(heartbeat) => {
                self.deps
                    .gossip
                    .handle_heartbeat(message.source, &heartbeat, now_ms);
                self.fetch_policy(message.source, heartbeat.policy_version);
            }
            Body::AgentLost(lost) => self.handle_agent_lost(&lost),
            Body::AnnounceAck(_) | Body::DrainOrder(_) => {
                self.deps.counters.count(Event::DroppedMalformed);
            }
        }
    }
}

/// Periodic timer event.
pub struct Tick;

impl Message<Tick> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let now_ms = self.deps.clock.now_ms();
        self.directory.expire(now_ms);
        self.probe_silent_agents(now_ms, context.actor_ref());
        let version = self.deps.policy.version();
        self.deps.gossip.tick(&self.deps.inner, version, now_ms);
    }
}

/// The policy has changed; the other balancers are notified immediately.
pub struct PolicyChanged;

impl Message<PolicyChanged> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: PolicyChanged, _: &mut Context<Self, ()>) {
        let now_ms = self.deps.clock.now_ms();
        let version = self.deps.policy.version();
        self.deps
            .gossip
            .policy_changed(&self.deps.inner, version, now_ms);
    }
}

/// Notifies the other balancers and the agents that this balancer is about to exit.
pub struct Leave;

impl Message<Leave> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let version = self.deps.policy.version();
        self.deps.gossip.broadcast_leave(&self.deps.inner, version);
        let agents = self.directory.entries().iter().map(|entry| entry.address);
        for agent in agents {
            self.deps
                .gossip
                .send_leave(&self.deps.inner, SocketAddr::V4(agent), version);
        }
    }
}

/// Requests a snapshot of the known targets and balancers.
pub struct TakeSnapshot;

impl Message<TakeSnapshot> for ControlActor {
    type Reply = Result<Snapshot, std::convert::Infallible>;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now_ms = self.deps.clock.now_ms();
        let entries = self.directory.entries().iter();
        Ok(Snapshot {
            targets: entries.map(|entry| target_status(entry, now_ms)).collect(),
            balancers: self.deps.gossip.live(now_ms),
        })
    }
}

/// Sends a drain order to the agents of a host. The reply is false if no agent of that host is
/// known.
pub struct SendDrainOrder {
    /// Name of the target's host.
    pub target: Arc<str>,
    /// True to drain the target, false to resume it.
    pub drain: bool,
}

impl Message<SendDrainOrder> for ControlActor {
    type Reply = bool;

    async fn handle(&mut self, order: SendDrainOrder, _: &mut Context<Self, bool>) -> bool {
        let entries = self.directory.entries().iter();
        let agents: Vec<_> = entries
            .filter(|entry| entry.name == order.target)
            .map(|entry| SocketAddr::V4(entry.address))
            .collect();
        for agent in &agents {
            let order = DrainOrder {
                name: order.target.to_string(),
                drain: order.drain,
            };
            self.deps
                .inner
                .send_control(*agent, Body::DrainOrder(order));
        }
        !agents.is_empty()
    }
}
