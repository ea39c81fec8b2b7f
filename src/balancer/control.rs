//! The actor that holds a balancer's soft state: agents, other balancers and first packets.

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
    directory::{AnnounceOutcome, Directory},
    gossip::Gossip,
    lost::{self, DeathRegister, EXAMINE_AFTER_MS},
    outer_socket::OuterSocket,
    retry::{Answer, Responder},
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

/// Time after start in which a first packet that finds no agent is dropped instead of refused,
/// since another balancer may know one.
const WARM_UP_MS: u64 = 2_000;
const WARNINGS_PER_SECOND: u32 = 5;

/// What the actor is made of.
pub struct ControlParts {
    /// Link to agents and balancers.
    pub inner: InnerSocket,
    /// Sockets towards callers, sorted by service.
    pub outer: Vec<OuterSocket>,
    /// Services of the settings, sorted by number.
    pub services: Vec<ServiceSettings>,
    /// Answers first packets.
    pub responder: Responder,
    /// Agents that are known to be dead.
    pub deaths: DeathRegister,
    /// The other balancers.
    pub gossip: Gossip,
    /// The policy in force.
    pub policy: SharedPolicy,
    /// Counts what happens.
    pub counters: Counters,
    /// Clock of the process.
    pub clock: Clock,
    /// Receives the events.
    pub log: Logger,
}

/// Soft state of a balancer; it is rebuilt within a second after a start.
#[derive(Actor)]
pub struct Control {
    parts: ControlParts,
    directory: Directory,
    answer: Vec<u8>,
    warnings: RateLimit,
}

impl Control {
    /// Makes the actor's state.
    #[must_use]
    pub fn new(parts: ControlParts) -> Self {
        Self {
            parts,
            directory: Directory::new(),
            answer: Vec::new(),
            warnings: RateLimit::new(WARNINGS_PER_SECOND),
        }
    }

    fn outer(&self, service: u16) -> Option<&OuterSocket> {
        let outer = &self.parts.outer;
        let index = outer.binary_search_by_key(&service, |socket| socket.service);
        index.ok().map(|index| &outer[index])
    }

    fn warn(&mut self, what: &'static str, source: SocketAddr) {
        let now_ms = self.parts.clock.now_ms();
        if let Some(suppressed) = self.warnings.permit(now_ms) {
            warn!(self.parts.log, "{}", what; "source" => %source, "suppressed" => suppressed);
        }
    }

    fn is_known_service(&self, announce: &Announce) -> bool {
        let services = &self.parts.services;
        services.iter().any(|service| {
            u32::from(service.number) == announce.service_number
                && *service.name == *announce.service
        })
    }

    fn announced(&mut self, source: SocketAddr, announce: Announce) {
        let now_ms = self.parts.clock.now_ms();
        let SocketAddr::V4(address) = source else {
            self.parts.counters.count(Event::AnnounceRefused);
            return;
        };
        if !self.is_known_service(&announce) {
            self.parts.counters.count(Event::AnnounceRefused);
            self.warn(
                "announcement of a service that the settings do not have",
                source,
            );
            return;
        }
        let (balancers, siblings) = if announce.wants_lists {
            let balancers = self.parts.gossip.shared_addresses(now_ms);
            (
                balancers,
                self.directory.siblings(now_ms, address, &announce),
            )
        } else {
            (Vec::new(), Vec::new())
        };
        let ack = AnnounceAck {
            sequence: announce.sequence,
            policy_version: self.parts.policy.version(),
            balancers,
            siblings,
        };
        self.parts
            .inner
            .send_control(source, Body::AnnounceAck(ack));
        let (name, state) = (announce.name.clone(), announce.state());
        match self.directory.announce(now_ms, address, announce) {
            AnnounceOutcome::Added | AnnounceOutcome::StateChanged => {
                info!(self.parts.log, "target announced"; "target" => name, "address" => %address,
                    "state" => state.as_str_name());
            }
            AnnounceOutcome::Updated | AnnounceOutcome::Stale => {}
        }
    }

    /// Looks whether the agents that have fallen silent are dead.
    fn examine_silent(&self, now_ms: u64, control: &ActorRef<Self>) {
        let entries = self.directory.entries().iter();
        let silent = entries.filter(|entry| now_ms >= entry.heard_at_ms + EXAMINE_AFTER_MS);
        for entry in silent {
            let died = Died {
                address: entry.address,
                epoch_ms: entry.announce.epoch_ms,
            };
            let control = control.clone();
            tokio::spawn(async move {
                if lost::is_refused(died.address).await {
                    // A message that finds no room is sent again after the next look.
                    let _ = control.tell(died).try_send();
                }
            });
        }
    }

    /// Takes another balancer's word that an agent's process has ended.
    fn heard_of_death(&mut self, lost: &AgentLost) {
        let port = u16::try_from(lost.port).unwrap_or_default();
        let address = SocketAddrV4::new(lost.ip.into(), port);
        self.directory.forget(address, lost.epoch_ms);
        self.parts
            .deaths
            .note(address, Epoch::from_ms(lost.epoch_ms));
    }

    /// Sends what the responder wrote for a caller.
    fn send_answer(&mut self, service: u16, caller: SocketAddr, answer: Vec<u8>) {
        if let (Some(outer), false) = (self.outer(service), answer.is_empty()) {
            // A lost answer is repeated when the caller repeats its packet.
            let _ = outer.socket.try_send(&new_transmit(caller, &answer, None));
        }
        self.answer = answer;
    }

    /// Fetches the policy from a peer that has a newer one.
    fn fetch_policy(&self, peer: SocketAddr, version: u64) {
        if version <= self.parts.policy.version() {
            return;
        }
        let keys = self.parts.inner.sealer().keys().clone();
        let (cell, log) = (self.parts.policy.clone(), self.parts.log.clone());
        tokio::spawn(async move {
            match policy_sync::fetch_if_newer(peer, keys, &cell).await {
                Ok(true) => {
                    info!(log, "policy in force"; "version" => cell.version(), "source" => %peer);
                }
                Ok(false) => {}
                Err(error) => warn!(log, "policy not fetched"; "error" => %error),
            }
        });
    }
}

/// A packet that no agent gets as it is.
pub struct UnroutedPacket {
    /// Number of the service.
    pub service: u16,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The datagram.
    pub packet: BytesMut,
    /// Whether it belongs to a flow whose agent is dead; otherwise it may open a flow.
    pub is_lost: bool,
    /// Its share of the room for packets that wait.
    pub room: OwnedSemaphorePermit,
}

impl Message<UnroutedPacket> for Control {
    type Reply = ();

    async fn handle(&mut self, unrouted: UnroutedPacket, _: &mut Context<Self, ()>) {
        if unrouted.is_lost {
            self.end_flow(unrouted);
        } else {
            self.open_flow(unrouted);
        }
    }
}

impl Control {
    /// Answers the first packet of a flow.
    fn open_flow(&mut self, first: UnroutedPacket) {
        let now_ms = self.parts.clock.now_ms();
        let route = self
            .directory
            .choose(now_ms, first.service, &mut rand::rng());
        if route.is_none() && now_ms < WARM_UP_MS {
            return;
        }
        let mut answer = std::mem::take(&mut self.answer);
        let responder = &mut self.parts.responder;
        match responder.answer_first(first.caller, first.packet, route, &mut answer) {
            Answer::Retry => self.parts.counters.count(Event::RetrySent),
            Answer::Refusal => {
                self.parts.counters.count(Event::FlowRefused);
                self.warn("flow refused", first.caller);
            }
            Answer::Other | Answer::Nothing => {}
        }
        self.send_answer(first.service, first.caller, answer);
    }

    /// Answers a packet of a flow whose agent is dead.
    fn end_flow(&mut self, lost: UnroutedPacket) {
        let mut answer = std::mem::take(&mut self.answer);
        let responder = &mut self.parts.responder;
        let kind = responder.answer_lost(lost.caller, lost.packet, &mut answer);
        if kind != Answer::Nothing {
            self.parts.counters.count(Event::ResetSent);
        }
        self.send_answer(lost.service, lost.caller, answer);
    }
}

/// An agent's process has ended.
pub struct Died {
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub epoch_ms: u64,
}

impl Message<Died> for Control {
    type Reply = ();

    async fn handle(&mut self, died: Died, _: &mut Context<Self, ()>) {
        if !self.directory.forget(died.address, died.epoch_ms) {
            return;
        }
        self.parts
            .deaths
            .note(died.address, Epoch::from_ms(died.epoch_ms));
        warn!(self.parts.log, "target lost"; "address" => %died.address);
        let lost = AgentLost {
            ip: (*died.address.ip()).into(),
            port: died.address.port().into(),
            epoch_ms: died.epoch_ms,
        };
        // The others would go on choosing the agent until they notice by themselves.
        self.parts
            .gossip
            .send_to_all(&self.parts.inner, &Body::AgentLost(lost));
    }
}

/// A control message from another process.
pub struct ControlMessage {
    /// Inner address of the other process.
    pub source: SocketAddr,
    /// The message.
    pub body: Body,
}

impl Message<ControlMessage> for Control {
    type Reply = ();

    async fn handle(&mut self, message: ControlMessage, _: &mut Context<Self, ()>) {
        let now_ms = self.parts.clock.now_ms();
        match message.body {
            Body::Announce(announce) => self.announced(message.source, announce),
            Body::Heartbeat(heartbeat) => {
                self.parts.gossip.heard(message.source, &heartbeat, now_ms);
                self.fetch_policy(message.source, heartbeat.policy_version);
            }
            Body::AgentLost(lost) => self.heard_of_death(&lost),
            Body::AnnounceAck(_) | Body::DrainOrder(_) => {
                self.parts.counters.count(Event::DroppedMalformed);
            }
        }
    }
}

/// The passing of time.
pub struct Tick;

impl Message<Tick> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let now_ms = self.parts.clock.now_ms();
        self.directory.expire(now_ms);
        self.examine_silent(now_ms, context.actor_ref());
        let version = self.parts.policy.version();
        self.parts.gossip.tick(&self.parts.inner, version, now_ms);
    }
}

/// The policy has changed; the other balancers are told at once.
pub struct PolicyChanged;

impl Message<PolicyChanged> for Control {
    type Reply = ();

    async fn handle(&mut self, _: PolicyChanged, _: &mut Context<Self, ()>) {
        let now_ms = self.parts.clock.now_ms();
        let version = self.parts.policy.version();
        self.parts
            .gossip
            .policy_changed(&self.parts.inner, version, now_ms);
    }
}

/// Says goodbye to the other balancers.
pub struct Leave;

impl Message<Leave> for Control {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let version = self.parts.policy.version();
        self.parts.gossip.send_goodbye(&self.parts.inner, version);
        let agents = self.directory.entries().iter().map(|entry| entry.address);
        for agent in agents {
            self.parts
                .gossip
                .send_goodbye_to(&self.parts.inner, SocketAddr::V4(agent), version);
        }
    }
}

/// Asks for what the balancer knows.
pub struct TakeSnapshot;

impl Message<TakeSnapshot> for Control {
    type Reply = Result<Snapshot, std::convert::Infallible>;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now_ms = self.parts.clock.now_ms();
        let entries = self.directory.entries().iter();
        Ok(Snapshot {
            targets: entries.map(|entry| target_status(entry, now_ms)).collect(),
            balancers: self.parts.gossip.live(now_ms),
        })
    }
}

/// Sends a drain order to a target.
pub struct OrderDrain {
    /// Name of the host.
    pub target: Arc<str>,
    /// True to drain, false to resume.
    pub drain: bool,
}

impl Message<OrderDrain> for Control {
    type Reply = bool;

    async fn handle(&mut self, order: OrderDrain, _: &mut Context<Self, bool>) -> bool {
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
            self.parts
                .inner
                .send_control(*agent, Body::DrainOrder(order));
        }
        !agents.is_empty()
    }
}
