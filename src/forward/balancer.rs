//! Decisions of a balancer on each packet of a caller.
//!
//! The table of flows is a cache: any packet may come to any balancer. A flow that is not in it
//! is looked up at the agents that keep its owner.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    decision::{Decision, Reason},
    notices::Notice,
    peering::Peering,
};
use crate::{
    flow::{
        packet::{FlowKey, HopMetadata, Lookup, PacketFormat, Segment},
        routes::RouteTable,
        table::FlowTable,
    },
    membership::{
        instance::{Instance, TargetState},
        rendezvous::{flow_hash, tag},
    },
    placement::{self, Request},
};

/// Time after the start in which a missing target is put down to missing knowledge.
const LEARNING_MS: u64 = 1_000;
/// Pause between two sweeps of the flow table.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Silence of an agent after which a copy of a SYN goes to another: a presence was lost.
const COPY_TRUST_MS: u64 = 250;

/// What happens to a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<R> {
    /// It goes to this address.
    Send(SocketAddrV4),
    /// The caller at this address gets a reset instead.
    Reset(SocketAddrV4, R),
    /// It is dropped.
    Drop,
}

/// The state of a balancer.
#[derive(Debug)]
pub struct BalancerCore<F> {
    /// The other instances.
    pub peering: Peering,
    format: F,
    own_tag: u16,
    routes: Arc<RouteTable>,
    flows: FlowTable,
    swept_at_ms: u64,
}

impl<F: PacketFormat> BalancerCore<F> {
    /// Makes a balancer that knows no routes.
    #[must_use]
    pub fn new(format: F, own: Instance, seeds: Vec<SocketAddrV4>, now_ms: u64) -> Self {
        Self {
            own_tag: tag(&own.name),
            peering: Peering::new(own, seeds, now_ms),
            format,
            routes: Arc::new(RouteTable::default()),
            flows: FlowTable::new(),
            swept_at_ms: now_ms,
        }
    }

    /// The routes in force.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Number of flows in the table.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes routes if they are newer.
    pub fn set_routes(&mut self, routes: Arc<RouteTable>) {
        if routes.version() > self.routes.version() {
            self.peering.decisions.push(Decision::Routes {
                version: routes.version(),
                previous: self.routes.version(),
                len: routes.len(),
            });
            self.routes = routes;
        }
    }

    /// Decides on a packet from the fabric and notes in it what the agent must know.
    pub fn caller_packet(&mut self, datagram: &mut [u8], now_ms: u64) -> Verdict<F::Reset> {
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
            self.note(datagram, Lookup::Known);
            return Verdict::Send(owner);
        }
        self.look_up(datagram, flow, now_ms)
    }

    fn note(&self, datagram: &mut [u8], lookup: Lookup) {
        let hop = HopMetadata {
            lookup,
            entry_tag: self.own_tag,
            ..HopMetadata::default()
        };
        self.format.write_hop_metadata(datagram, hop);
    }

    fn note_new(&self, datagram: &mut [u8], flow: FlowKey, service: &str) {
        let class = self.routes.class(flow.service);
        let hop = HopMetadata {
            entry_tag: self.own_tag,
            service_tag: tag(service),
            priority: class.priority,
            target_latency_ms: u16::try_from(class.target_latency_ms).unwrap_or(u16::MAX),
            ..HopMetadata::default()
        };
        self.format.write_hop_metadata(datagram, hop);
    }

    /// Gives a new flow to an agent. A copy of a SYN goes to the agent that has the one before,
    /// where it may wait for a slot, unless that agent has been silent since.
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
        let earlier = self.flows.owner(flow, now_ms);
        let directory = &self.peering.directory;
        let earlier = earlier.and_then(|owner| directory.by_packet_address(owner));
        if let Some(earlier) = earlier
            && earlier.is_alive(now_ms)
            && earlier.silent_ms(now_ms) <= COPY_TRUST_MS
        {
            let owner = earlier.instance.packet_address;
            self.note_new(datagram, flow, &service);
            return Verdict::Send(owner);
        }
        let request = Request {
            service: &service,
            failure_domain: &self.peering.own().failure_domain,
            excluded: earlier.map(|member| &*member.instance.name),
            hash,
            now_ms,
        };
        let unrestricted = Request {
            excluded: None,
            ..request
        };
        let chosen = placement::choose(directory, request)
            .or_else(|| placement::choose(directory, unrestricted));
        let Some(chosen) = chosen else {
            let is_learning = self.peering.uptime_ms(now_ms) < LEARNING_MS;
            return self.refuse(segment, flow, Reason::NoTarget, !is_learning);
        };
        let owner = chosen.instance.packet_address;
        let name = Arc::clone(&chosen.instance.name);
        let decision = Decision::Placed {
            flow,
            agent: Arc::clone(&name),
            copy: segment.acknowledged,
            running: chosen.load.running + chosen.placed_since_report,
            load_age_ms: chosen.load_age_ms(now_ms),
            route_version: self.routes.version(),
        };
        self.peering.decisions.push(decision);
        self.peering.directory.count_placed(&name);
        self.flows.insert(flow, owner, now_ms);
        self.note_new(datagram, flow, &service);
        Verdict::Send(owner)
    }

    fn refuse_unrouted(&mut self, segment: &Segment, flow: FlowKey) -> Verdict<F::Reset> {
        if self.routes.version() == 0 {
            return self.refuse(segment, flow, Reason::NoConfiguration, false);
        }
        self.refuse(segment, flow, Reason::NoRoute, true)
    }

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
                route_version: self.routes.version(),
            });
            return Verdict::Reset(flow.caller, self.format.reset(flow, segment.acknowledged));
        }
        self.peering
            .decisions
            .push(Decision::Dropped { flow, reason });
        Verdict::Drop
    }

    /// Sends a packet of an unknown flow to the agent that should know its owner.
    fn look_up(&mut self, datagram: &mut [u8], flow: FlowKey, now_ms: u64) -> Verdict<F::Reset> {
        let hash = flow_hash(flow);
        let directory = &self.peering.directory;
        let service = self.routes.service(flow.service, hash);
        let keeper =
            service.and_then(|service| directory.nth_in_flow_order(hash, &service, 0, now_ms));
        let Some(keeper) = keeper else {
            let reason = Reason::FlowNotFound;
            self.peering
                .decisions
                .push(Decision::Dropped { flow, reason });
            return Verdict::Drop;
        };
        let address = keeper.instance.packet_address;
        let agent = Arc::clone(&keeper.instance.name);
        let tried = 0;
        self.peering
            .decisions
            .push(Decision::LookedUp { flow, agent, tried });
        self.note(datagram, Lookup::Registry);
        Verdict::Send(address)
    }

    /// Takes a notice from another process.
    pub fn notice(&mut self, from: SocketAddrV4, notice: Notice, now_ms: u64) {
        let version = self.routes.version();
        match notice {
            Notice::Presence(presence, wants_members) => {
                self.peering
                    .hear(*presence, wants_members, version, None, now_ms);
            }
            Notice::Load(load) => self.peering.hear_load(from, &load, now_ms),
            Notice::FlowOwner { owner, flows } => {
                for flow in flows {
                    self.flows.insert(flow, owner, now_ms);
                    self.peering
                        .decisions
                        .push(Decision::OwnerLearned { flow, owner });
                }
            }
            // Only agents grant slots to each other.
            Notice::SlotRequest | Notice::SlotGrant => {}
            Notice::Members(instances) => {
                for instance in instances {
                    self.peering.learn(instance, version, None, now_ms);
                }
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) {
        self.peering.tick(self.routes.version(), None, now_ms);
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            self.flows
                .remove_idle(now_ms, self.routes.idle_timeout_ms());
        }
    }

    /// Whether packets are better decided on than left in the socket's buffer: a balancer that
    /// has just started learns the routes and the targets within some tens of milliseconds.
    #[must_use]
    pub fn takes_packets(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut ready = members.filter(|m| m.load.state == TargetState::Ready);
        let knows_target = ready.any(|member| member.is_alive(now_ms));
        self.routes.version() > 0 && knows_target || self.peering.uptime_ms(now_ms) >= LEARNING_MS
    }

    /// Whether packets can be forwarded.
    #[must_use]
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members();
        !self.peering.is_leaving()
            && self.routes.version() > 0
            && members.iter().any(|member| member.is_alive(now_ms))
    }
}
