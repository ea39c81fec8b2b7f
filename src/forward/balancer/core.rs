//! Packet handling of a balancer.
//!
//! The flow table is only a cache, because the packets of a flow may enter through any balancer.
//! The owner of a flow that is not in the table is looked up at a registry agent.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{
    flow::{
        packet::{FlowKey, HopMetadata, Lookup, PacketFormat, Segment},
        routes::RouteTable,
        table::FlowTable,
    },
    forward::{
        decision::{Decision, Reason},
        notices::Notice,
        peering::Peering,
    },
    membership::{
        directory::{Member, SUSPECT_AFTER_MS},
        instance::{Instance, TargetState},
        rendezvous::{flow_hash, tag},
    },
    placement::{self, PlacementRequest},
};

/// Time after startup during which other instances may still be undiscovered. A SYN without a
/// target is then dropped instead of answered with a reset.
const DISCOVERY_MS: u64 = 1_000;
/// Interval between two sweeps of the flow table.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Silence of an agent after which a retransmitted SYN is placed on another agent. It is longer
/// than the interval between presence messages, so at least one of them was lost.
const MAX_OWNER_SILENCE_MS: u64 = 250;

/// Time for which lookups are sent to the same registry agent; shorter than the time after which
/// callers retransmit.
const LOOKUP_TURN_MS: u64 = 150;

/// Outcome of the handling of a packet by a balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<R> {
    /// Send the packet to this address.
    Send(SocketAddrV4),
    /// Send this reset to the caller at this address instead of forwarding the packet.
    Reset(SocketAddrV4, R),
    /// Drop the packet.
    Drop,
}

/// State of a balancer, without sockets or a clock of its own.
#[derive(Debug)]
pub struct BalancerCore<F> {
    /// Membership state shared with agents.
    pub peering: Peering,
    format: F,
    /// Tag of this instance, written into packets so that agents can report flow owners back.
    local_tag: u16,
    /// The current route table.
    routes: Arc<RouteTable>,
    /// Cached owners of flows.
    flows: FlowTable,
    /// Time of the last sweep of the flow table.
    swept_at_ms: u64,
}

impl<F: PacketFormat> BalancerCore<F> {
    /// Creates a balancer without routes.
    #[must_use]
    pub fn new(format: F, local_instance: Instance, seeds: Vec<SocketAddrV4>, now_ms: u64) -> Self {
        Self {
            local_tag: tag(&local_instance.name),
            peering: Peering::new(local_instance, seeds, now_ms),
            format,
            routes: Arc::new(RouteTable::default()),
            flows: FlowTable::new(),
            swept_at_ms: now_ms,
        }
    }

    /// The current route table; its version is 0 before the first one arrives.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Number of flows in the flow table.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Replaces the route table if the given one is newer.
    pub fn set_routes(&mut self, routes: Arc<RouteTable>) {
        if routes.version() > self.routes.version() {
            self.peering.decisions.push(Decision::RoutesChanged {
                version: routes.version(),
                previous: self.routes.version(),
                len: routes.len(),
            });
            self.peering.limits_cold_targets = routes.limits_cold_targets();
            self.routes = routes;
        }
    }

    /// Handles a packet from the fabric. Writes the hop metadata that the agent needs into a packet
    /// that is forwarded.
    pub fn handle_caller_packet(&mut self, datagram: &mut [u8], now_ms: u64) -> Verdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return Verdict::Drop;
        };
        if segment.flags.returned {
            return Verdict::Drop;
        }
        let flow = segment.caller_flow();
        if segment.opens_flow() {
            return self.place(datagram, &segment, flow, now_ms);
        }
        if let Some(owner) = self.flows.owner(flow, now_ms) {
            self.write_lookup_hop(datagram, Lookup::Known);
            return Verdict::Send(owner);
        }
        self.look_up(datagram, flow, now_ms)
    }

    /// Writes the hop metadata of a packet of an existing flow.
    fn write_lookup_hop(&self, datagram: &mut [u8], lookup: Lookup) {
        let hop = HopMetadata {
            lookup,
            entry_tag: self.local_tag,
            ..HopMetadata::default()
        };
        self.format.write_hop_metadata(datagram, hop);
    }

    /// Writes the hop metadata of a SYN, with the service and the request class of its route.
    fn write_new_flow_hop(&self, datagram: &mut [u8], flow: FlowKey, service: &str) {
        let class = self.routes.class(flow.service);
        let hop = HopMetadata {
            entry_tag: self.local_tag,
            service_tag: tag(service),
            priority: class.priority,
            target_latency_ms: u16::try_from(class.target_latency_ms).unwrap_or(u16::MAX),
            ..HopMetadata::default()
        };
        self.format.write_hop_metadata(datagram, hop);
    }

    /// Places a new flow on an agent. A retransmitted SYN goes to the agent that received the
    /// previous one, where that may be queued, unless the agent has been silent since.
    fn place(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        flow: FlowKey,
        now_ms: u64,
    ) -> Verdict<F::Reset> {
        let hash = flow_hash(flow);
        let Some(service) = self.routes.service(flow.service, hash) else {
            return self.refuse_unrouted(segment, flow);
        };
        let previous = self.flows.owner(flow, now_ms);
        let directory = &self.peering.directory;
        let previous = previous.and_then(|owner| directory.by_packet_address(owner));
        if let Some(previous) = previous
            && previous.is_staying(now_ms)
            && !directory.is_evacuated(previous)
            && previous.silent_ms(now_ms) <= MAX_OWNER_SILENCE_MS
        {
            let owner = previous.instance.packet_address;
            self.write_new_flow_hop(datagram, flow, &service);
            return Verdict::Send(owner);
        }
        let request = PlacementRequest {
            service: &service,
            failure_domain: &self.peering.local_instance().failure_domain,
            excluded: previous.map(|member| &*member.instance.name),
            hash,
            now_ms,
        };
        let unrestricted = PlacementRequest {
            excluded: None,
            ..request
        };
        let chosen = placement::choose(directory, request)
            .or_else(|| placement::choose(directory, unrestricted));
        let Some(chosen) = chosen else {
            let is_discovering = self.peering.uptime_ms(now_ms) < DISCOVERY_MS;
            if directory.has_evacuated_target(&service, now_ms) {
                // A copy of the SYN may have opened the flow before the evacuation.
                let may_reset = !is_discovering && previous.is_none();
                return self.refuse(segment, flow, Reason::DomainEvacuated, may_reset);
            }
            return self.refuse(segment, flow, Reason::NoTarget, !is_discovering);
        };
        let owner = chosen.instance.packet_address;
        let name = Arc::clone(&chosen.instance.name);
        let decision = Decision::Placed {
            flow,
            agent: Arc::clone(&name),
            copy: segment.acknowledged,
            running: chosen.expected_running(),
            load_age_ms: chosen.load_age_ms(now_ms),
            route_version: self.routes.version().number,
        };
        self.peering.decisions.push(decision);
        self.peering.directory.count_placed(&name);
        self.flows.insert(flow, owner, now_ms);
        self.write_new_flow_hop(datagram, flow, &service);
        Verdict::Send(owner)
    }

    /// Refuses a SYN that matches no route, or drops it if there is no route table yet.
    fn refuse_unrouted(&mut self, segment: &Segment, flow: FlowKey) -> Verdict<F::Reset> {
        if self.routes.version().number == 0 {
            return self.refuse(segment, flow, Reason::NoConfiguration, false);
        }
        self.refuse(segment, flow, Reason::NoRoute, true)
    }

    /// Answers a first SYN with a reset if `may_reset`, and drops any other packet.
    fn refuse(
        &mut self,
        segment: &Segment,
        flow: FlowKey,
        reason: Reason,
        may_reset: bool,
    ) -> Verdict<F::Reset> {
        if may_reset && segment.is_first_syn() {
            self.peering.decisions.push(Decision::Refused {
                flow,
                reason,
                route_version: self.routes.version().number,
                tried: 0,
            });
            return Verdict::Reset(flow.caller, self.format.reset(flow, segment.acknowledged));
        }
        self.peering
            .decisions
            .push(Decision::Dropped { flow, reason });
        Verdict::Drop
    }

    /// Sends a packet of an unknown flow to the flow's first registry agent. The flow may belong to
    /// any service, but a flow whose route was removed is not forwarded.
    fn look_up(&mut self, datagram: &mut [u8], flow: FlowKey, now_ms: u64) -> Verdict<F::Reset> {
        let hash = flow_hash(flow);
        let directory = &self.peering.directory;
        let has_route = !self.routes.backends(flow.service).is_empty();
        let first = directory.registry_agent(hash, 0, now_ms);
        // An agent that does not report its load here may be dead for seconds before it is
        // suspected, so retransmissions alternate between it and the second registry agent.
        let is_second_turn = now_ms / LOOKUP_TURN_MS % 2 == 1;
        let is_doubtful = |member: &Member| member.silent_ms(now_ms) >= SUSPECT_AFTER_MS;
        let registry_agent = match first {
            Some(member) if is_second_turn && is_doubtful(member) => {
                directory.registry_agent(hash, 1, now_ms).or(first)
            }
            _ => first,
        };
        // While all agents are leaving, none of them stores owners, but they still forward.
        let registry_agent =
            registry_agent.or_else(|| directory.search_view(hash, u64::MAX, now_ms).next);
        let Some(registry_agent) = registry_agent.filter(|_| has_route) else {
            let reason = Reason::FlowNotFound;
            self.peering
                .decisions
                .push(Decision::Dropped { flow, reason });
            return Verdict::Drop;
        };
        let address = registry_agent.instance.packet_address;
        let agent = Arc::clone(&registry_agent.instance.name);
        let tried = 0;
        self.peering
            .decisions
            .push(Decision::LookedUp { flow, agent, tried });
        self.write_lookup_hop(datagram, Lookup::Registry);
        Verdict::Send(address)
    }

    /// Handles a notice from another instance.
    pub fn handle_notice(&mut self, from: SocketAddrV4, notice: Notice, now_ms: u64) {
        let version = self.routes.version();
        match notice {
            Notice::Presence(presence, wants_members) => {
                self.peering
                    .handle_presence(*presence, wants_members, version, None, now_ms);
            }
            Notice::Load(load) => self.peering.handle_load(from, &load, now_ms),
            Notice::FlowOwner { owner, flows, .. } => {
                for flow in flows {
                    self.flows.insert(flow, owner, now_ms);
                    self.peering
                        .decisions
                        .push(Decision::OwnerLearned { flow, owner });
                }
            }
            // Slots are granted between agents only.
            Notice::SlotRequest | Notice::SlotGrant => {}
            Notice::Members(list) => self
                .peering
                .handle_members(from, &list, version, None, now_ms),
        }
    }

    /// Runs the periodic work: presence messages and sweeps.
    pub fn tick(&mut self, now_ms: u64) {
        self.peering.tick(self.routes.version(), None, now_ms);
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            self.flows
                .remove_idle(now_ms, self.routes.idle_timeout_ms());
        }
    }

    /// Whether packets should be read from the socket yet. A freshly started balancer leaves them
    /// in the socket buffer, because it receives the routes and the evacuated failure domains and
    /// discovers the targets within some tens of milliseconds.
    #[must_use]
    pub fn accepts_packets(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut ready = members.filter(|m| m.load.state == TargetState::Ready);
        let knows_target = ready.any(|member| member.is_staying(now_ms));
        self.routes.version().number > 0 && knows_target && self.peering.evacuations.is_known()
            || self.peering.uptime_ms(now_ms) >= DISCOVERY_MS
    }

    /// Whether the balancer has routes, knows a live instance and is not leaving, so that it can
    /// forward packets.
    #[must_use]
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members();
        !self.peering.is_leaving()
            && self.routes.version().number > 0
            && members.iter().any(|member| member.is_staying(now_ms))
    }
}
