//! Decisions of an agent on the packets of balancers, other agents and its own target.
//!
//! The target knows which flows it holds and hands any other packet back. The agent keeps the
//! owners of the flows that hash to it, so that a balancer that does not know a flow can ask.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    agent_flows::{AgentFlow, AgentFlows, CallerPacket},
    balancer::Verdict,
    decision::{Decision, Reason},
    notices::Notice,
    peering::Peering,
    syn_queue::{Pace, SynQueue, WaitingSyn},
    target::{Change, Heartbeat, Target},
};
use crate::{
    flow::{
        packet::{FlowKey, Hop, Lookup, PacketFormat, Segment},
        table::FlowTable,
    },
    membership::{
        instance::{Instance, InstanceRole, TargetLoad, TargetState},
        rendezvous::{flow_hash, tag},
    },
    placement::{self, Candidate, Request},
};

/// Time after the start in which others are still being learned of.
const LEARNING_MS: u64 = 500;
/// Agents that a SYN is offered to at most.
const MAX_PLACEMENTS: u8 = 3;
/// Agents that a packet of an unknown flow is offered to at most.
const MAX_WALK: u8 = 16;
/// Agents that keep the owner of each flow, so that one may be lost.
const KEEPERS: usize = 2;
/// Shortest pause between two reports of the load.
const LOAD_INTERVAL_MS: u64 = 20;
/// Pause between two sweeps of the tables.
const SWEEP_INTERVAL_MS: u64 = 500;
/// Time for which an owner is kept without news; the owner repeats itself earlier.
const REGISTRATION_LIFE_MS: u64 = 60_000;
/// Pause between two repetitions of all open flows to their keepers.
const REPEAT_INTERVAL_MS: u64 = 10_000;
/// Requests beyond the slots that are admitted, as a part of the slots: a handshake takes some
/// seven milliseconds of forty.
const OVERCOMMIT_PERCENT: u32 = 25;
/// Part of the own cost at which another target is better by more than the hop is worth, percent.
const PASS_ON_PERCENT: u64 = 80;

/// Who sent a packet that an agent takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination {
    /// The target beside the agent.
    Target,
    /// Another instance.
    Instance(SocketAddrV4),
    /// A caller.
    Caller(SocketAddrV4),
}

/// What happens to a packet at an agent.
pub type AgentVerdict<R> = Result<Destination, Verdict<R>>;

/// The state of an agent.
#[derive(Debug)]
pub struct AgentCore<F: PacketFormat> {
    /// The other instances.
    pub peering: Peering,
    /// The target beside the agent.
    pub target: Target,
    format: F,
    flows: AgentFlows,
    owners: FlowTable,
    knows_members: bool,
    route_version: u64,
    idle_timeout_ms: u64,
    told_load: TargetLoad,
    told_load_at_ms: u64,
    told_epoch: u64,
    told_flows_at_ms: u64,
    swept_at_ms: u64,
    lost: Vec<(FlowKey, AgentFlow)>,
    waiting: SynQueue,
    released: Vec<(Vec<u8>, AgentVerdict<F::Reset>)>,
}

impl<F: PacketFormat> AgentCore<F> {
    /// Makes an agent that has not heard of its target yet.
    #[must_use]
    pub fn new(
        format: F,
        own: Instance,
        seeds: Vec<SocketAddrV4>,
        target: Target,
        now_ms: u64,
    ) -> Self {
        Self {
            peering: Peering::new(own, seeds, now_ms),
            target,
            format,
            flows: AgentFlows::new(),
            owners: FlowTable::new(),
            knows_members: false,
            route_version: 0,
            idle_timeout_ms: REGISTRATION_LIFE_MS,
            told_load: TargetLoad::default(),
            told_load_at_ms: now_ms,
            told_epoch: 0,
            told_flows_at_ms: now_ms,
            swept_at_ms: now_ms,
            lost: Vec::new(),
            waiting: SynQueue::new(),
            released: Vec::new(),
        }
    }

    /// Takes the version and the idle time-out of newer routes.
    pub fn set_routes(&mut self, version: u64, idle_timeout_ms: u64) {
        if version > self.route_version {
            self.peering.decisions.push(Decision::Routes {
                version,
                previous: self.route_version,
                len: 0,
            });
            self.route_version = version;
            self.idle_timeout_ms = idle_timeout_ms;
        }
    }

    /// Version of the newest routes that the agent has.
    #[must_use]
    pub fn route_version(&self) -> u64 {
        self.route_version
    }

    /// Number of flows.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    fn service(&self) -> Option<Arc<str>> {
        self.target.current().map(|beat| Arc::clone(&beat.service))
    }

    fn capacity(&self) -> u32 {
        self.target.current().map_or(1, |beat| beat.capacity)
    }

    /// Requests that the target has, and SYNs that wait for it.
    fn busy(&self) -> u32 {
        self.flows.running() + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Requests that the target may have at once, those included whose callers have yet to send
    /// them: the slots would be idle during the handshake.
    fn admitted(&self) -> u32 {
        let capacity = self.capacity();
        capacity + (capacity * OVERCOMMIT_PERCENT).div_ceil(100)
    }

    fn pace(&self, now_ms: u64) -> Pace {
        let service_us = match self.flows.service_time_us(now_ms) {
            0 => placement::DEFAULT_SERVICE_TIME_US,
            known => u64::from(known),
        };
        Pace {
            capacity: self.capacity(),
            service_ms: service_us / 1_000,
        }
    }

    /// The target's load now.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> TargetLoad {
        TargetLoad {
            state: self.target.state(now_ms),
            service: self.service(),
            capacity: self.capacity(),
            running: self.busy(),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            service_time_us: self.flows.service_time_us(now_ms),
            cold_left_ms: u32::try_from(self.target.cold_left_ms(now_ms)).unwrap_or(u32::MAX),
        }
    }

    /// Decides on a packet from a balancer or another agent.
    pub fn inner_packet(&mut self, datagram: &mut [u8], now_ms: u64) -> AgentVerdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return Err(Verdict::Drop);
        };
        let hop = self.format.read_hop(datagram);
        let flow = segment.caller_flow();
        if segment.opens_flow() {
            return self.syn(datagram, &segment, hop, now_ms);
        }
        match self.flows.caller(flow, &segment, now_ms) {
            CallerPacket::Known => {
                self.tell_entry(flow, hop);
                Ok(Destination::Target)
            }
            CallerPacket::Opened => {
                self.tell_keepers(flow, now_ms);
                self.tell_entry(flow, hop);
                Ok(Destination::Target)
            }
            CallerPacket::Unknown => Ok(self.unknown(datagram, flow, hop, now_ms)),
        }
    }

    /// A packet of a flow that the target does not hold, as far as is known: the owner gets it,
    /// or the target is asked by handing it the packet.
    fn unknown(
        &mut self,
        datagram: &mut [u8],
        flow: FlowKey,
        hop: Hop,
        now_ms: u64,
    ) -> Destination {
        if hop.lookup == Lookup::Registry
            && let Some(owner) = self.owners.owner(flow, now_ms)
            && owner != self.peering.own().packet_address
        {
            let hop = Hop {
                lookup: Lookup::Registered,
                ..hop
            };
            self.format.write_hop(datagram, hop);
            return Destination::Instance(owner);
        }
        Destination::Target
    }

    /// Tells the balancer that took the packet where the flow is, if it had to look it up.
    fn tell_entry(&mut self, flow: FlowKey, hop: Hop) {
        if hop.lookup == Lookup::Known && hop.tried == 0 {
            return;
        }
        let own = self.peering.own().packet_address;
        if let Some(entry) = self.peering.directory.by_tag(hop.entry_tag) {
            let address = entry.instance.control_address;
            self.peering.outbox.push_owner(address, own, flow);
        }
    }

    /// Tells the flow's keepers that it is here.
    fn tell_keepers(&mut self, flow: FlowKey, now_ms: u64) {
        let Some(service) = self.service() else {
            return;
        };
        let own = self.peering.own().packet_address;
        let hash = flow_hash(flow);
        for rank in 0..KEEPERS {
            let directory = &self.peering.directory;
            let Some(keeper) = directory.in_flow_order(hash, &service, rank, now_ms) else {
                return;
            };
            if !directory.is_own(keeper) {
                let address = keeper.instance.control_address;
                self.peering.outbox.push_owner(address, own, flow);
            }
        }
    }

    fn syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: Hop,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let service = self.service();
        let is_ours = service
            .as_deref()
            .is_some_and(|name| tag(name) == hop.service_tag);
        if !is_ours || !self.target.takes_syn(now_ms) {
            return self.pass_on(datagram, segment, hop, false, now_ms);
        }
        if self.waiting.contains(flow) {
            return Err(Verdict::Drop);
        }
        if hop.tried == 0
            && self.busy() >= self.capacity()
            && self.is_better_elsewhere(flow, now_ms)
        {
            return self.pass_on(datagram, segment, hop, false, now_ms);
        }
        if !self.flows.contains(flow)
            && (!self.waiting.is_empty() || self.flows.running() >= self.admitted())
        {
            return self.wait(datagram, segment, hop, now_ms);
        }
        self.admit(flow, hop, now_ms);
        Ok(Destination::Target)
    }

    fn admit(&mut self, flow: FlowKey, hop: Hop, now_ms: u64) {
        self.flows.syn(flow, now_ms);
        self.target.syn_sent(now_ms);
        self.tell_entry(flow, hop);
    }

    /// Lets a SYN wait for a slot, or refuses it if none will be free in time.
    fn wait(
        &mut self,
        datagram: &[u8],
        segment: &Segment,
        hop: Hop,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let age_ms = self.format.attempt_age_ms(segment);
        let syn = WaitingSyn {
            flow: segment.caller_flow(),
            datagram: datagram.to_vec(),
            arrived_at_ms: now_ms,
            began_at_ms: now_ms.saturating_sub(age_ms),
            ends_at_ms: now_ms + F::ATTEMPT_MS.saturating_sub(age_ms),
            aim_ms: hop.target_latency_ms.into(),
            priority: hop.priority,
        };
        let pace = self.pace(now_ms);
        match self.waiting.push(syn, now_ms, pace) {
            Ok(()) => {
                self.peering.decisions.push(Decision::Waits {
                    flow: segment.caller_flow(),
                    running: self.flows.running(),
                    waiting: self.waiting.len(),
                });
                self.tell_entry(segment.caller_flow(), hop);
                Err(Verdict::Drop)
            }
            Err(_) => {
                let reason = Reason::NoSlotInTime {
                    waiting: self.waiting.len(),
                    service_ms: pace.service_ms,
                };
                Err(self.refuse(segment, segment.caller_flow(), reason))
            }
        }
    }

    /// Gives waiting SYNs to the target while it has slots, or to another target that has.
    pub fn release(&mut self, now_ms: u64) {
        self.flows.expire_openings(now_ms);
        let reason = Reason::AttemptEnded;
        let expired = self.waiting.expired(now_ms);
        let ended = expired.map(|syn| Decision::Dropped {
            flow: syn.flow,
            reason,
        });
        self.peering.decisions.extend(ended);
        while !self.waiting.is_empty() {
            let is_free = self.target.takes_syn(now_ms) && self.flows.running() < self.admitted();
            if !is_free && !self.is_free_elsewhere(now_ms) {
                return;
            }
            let pace = self.pace(now_ms);
            let Some(mut syn) = self.waiting.take(now_ms, pace) else {
                return;
            };
            let hop = self.format.read_hop(&syn.datagram);
            let may_move = hop.tried + 1 < MAX_PLACEMENTS;
            let verdict = match self.format.decode(&syn.datagram) {
                _ if is_free => {
                    self.peering.decisions.push(Decision::Admitted {
                        flow: syn.flow,
                        waited_ms: now_ms.saturating_sub(syn.arrived_at_ms),
                        running: self.flows.running(),
                    });
                    self.admit(syn.flow, hop, now_ms);
                    Ok(Destination::Target)
                }
                Some(segment) if may_move => {
                    self.pass_on(&mut syn.datagram, &segment, hop, false, now_ms)
                }
                Some(_) => {
                    self.waiting.put_back(syn);
                    return;
                }
                None => Err(Verdict::Drop),
            };
            self.released.push((syn.datagram, verdict));
        }
    }

    /// SYNs that have waited, with what happens to them now.
    pub fn released(&mut self) -> Vec<(Vec<u8>, AgentVerdict<F::Reset>)> {
        std::mem::take(&mut self.released)
    }

    /// Whether another target of the service has an unused slot.
    fn is_free_elsewhere(&self, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        self.peering.directory.members().iter().any(|member| {
            member.serves(&service)
                && !self.peering.directory.is_own(member)
                && member.load.state == TargetState::Ready
                && member.is_alive(now_ms)
                && member.load.running + member.placed_since_report < member.load.capacity
        })
    }

    fn is_better_elsewhere(&self, flow: FlowKey, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        let Some(other) = self.other_target(&service, flow, now_ms) else {
            return false;
        };
        let load = &other.load;
        let theirs = Candidate {
            capacity: load.capacity,
            running: load.running + other.placed_since_report,
            flows: load.flows,
            service_time_us: load.service_time_us,
            is_cold: load.cold_left_ms > 0,
            is_remote: other.instance.failure_domain != self.peering.own().failure_domain,
        };
        let load = self.load(now_ms);
        let ours = Candidate {
            capacity: load.capacity,
            running: load.running,
            flows: load.flows,
            service_time_us: load.service_time_us,
            is_cold: load.cold_left_ms > 0,
            is_remote: false,
        };
        let usual_us = u64::from(load.service_time_us.max(1));
        placement::cost_us(&theirs, usual_us) * 100
            < placement::cost_us(&ours, usual_us) * PASS_ON_PERCENT
    }

    fn other_target(
        &self,
        service: &str,
        flow: FlowKey,
        now_ms: u64,
    ) -> Option<&crate::membership::directory::Member> {
        let request = Request {
            service,
            failure_domain: &self.peering.own().failure_domain,
            excluded: Some(&self.peering.own().name),
            hash: flow_hash(flow),
            now_ms,
        };
        placement::choose(&self.peering.directory, request)
    }

    /// Service that a SYN was routed to.
    fn routed_service(&self, hop: Hop) -> Option<Arc<str>> {
        let own = self.service();
        if hop.service_tag == 0
            || own
                .as_deref()
                .is_some_and(|name| tag(name) == hop.service_tag)
        {
            return own;
        }
        let members = self.peering.directory.members().iter();
        let mut services = members.filter_map(|member| member.load.service.clone());
        services.find(|name| tag(name) == hop.service_tag)
    }

    /// Gives a SYN that the own target does not take to another agent, or refuses it.
    fn pass_on(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: Hop,
        is_returned: bool,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let service = self.routed_service(hop);
        let other = service
            .as_deref()
            .filter(|_| hop.tried + 1 < MAX_PLACEMENTS)
            .and_then(|service| self.other_target(service, flow, now_ms));
        let Some(other) = other else {
            return Err(self.refuse(segment, flow, Reason::AllTargetsRefused));
        };
        let address = other.instance.packet_address;
        let name = Arc::clone(&other.instance.name);
        let hop = Hop {
            tried: hop.tried + 1,
            service_tag: service.as_deref().map_or(0, tag),
            ..hop
        };
        self.format.write_hop(datagram, hop);
        self.peering.directory.count_placed(&name);
        self.peering.decisions.push(Decision::PassedOn {
            flow,
            agent: name,
            is_returned,
            running: self.busy(),
        });
        Ok(Destination::Instance(address))
    }

    fn refuse(&mut self, segment: &Segment, flow: FlowKey, reason: Reason) -> Verdict<F::Reset> {
        if !segment.is_first_syn() {
            self.peering
                .decisions
                .push(Decision::Dropped { flow, reason });
            return Verdict::Drop;
        }
        self.peering.decisions.push(Decision::Refused {
            flow,
            reason,
            route_version: 0,
        });
        Verdict::Reset(flow.caller, self.format.reset(flow, 0))
    }

    /// Decides on a packet that the target has sent.
    pub fn target_packet(&mut self, datagram: &mut [u8], now_ms: u64) -> AgentVerdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return Err(Verdict::Drop);
        };
        self.target.answered();
        if !segment.flags.returned {
            let flow = segment.target_flow();
            if self.flows.target(flow, &segment, now_ms) {
                self.tell_keepers(flow, now_ms);
            }
            return Ok(Destination::Caller(segment.destination));
        }
        let hop = self.format.read_hop(datagram);
        let flow = segment.caller_flow();
        self.flows.remove(flow, now_ms);
        if segment.opens_flow() {
            return self.pass_on(datagram, &segment, hop, true, now_ms);
        }
        self.walk(datagram, &segment, hop, now_ms)
    }

    /// Offers a packet that the own target has handed back to the next agent in the flow's order.
    ///
    /// When every agent of the service has been asked, the flow has died with an earlier start of
    /// its target, and a caller that waits for an answer is told by a reset.
    fn walk(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: Hop,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let hash = flow_hash(flow);
        let service = self.service();
        let directory = &self.peering.directory;
        // A balancer's cache or a keeper was wrong: the search begins at the head of the order.
        let (below, lookup) = match hop.lookup {
            Lookup::Known => (u64::MAX, Lookup::Registry),
            Lookup::Registered => (u64::MAX, Lookup::Walk),
            Lookup::Registry | Lookup::Walk => (directory.own_weight(hash), Lookup::Walk),
        };
        let next = service.as_deref().and_then(|name| {
            let first = directory.next_in_flow_order(hash, name, below, now_ms)?;
            if directory.is_own(first.member) {
                directory.next_in_flow_order(hash, name, first.weight, now_ms)
            } else {
                Some(first)
            }
        });
        let hears_all = service
            .as_deref()
            .is_some_and(|name| directory.hears_all_agents(name, now_ms));
        let is_incomplete = hop.is_incomplete || !hears_all || !self.knows_members;
        let tried = hop.tried.saturating_add(1);
        if let Some(next) = next
            && tried <= MAX_WALK
        {
            let address = next.member.instance.packet_address;
            let agent = Arc::clone(&next.member.instance.name);
            let hop = Hop {
                tried,
                lookup,
                is_incomplete,
                service_tag: 0,
                ..hop
            };
            self.format.write_hop(datagram, hop);
            self.peering
                .decisions
                .push(Decision::LookedUp { flow, agent, tried });
            return Ok(Destination::Instance(address));
        }
        let reason = Reason::FlowNotFound;
        let is_waiting = segment.data_len > 0 && !segment.flags.rst;
        if next.is_none() && is_waiting && !is_incomplete {
            self.peering.decisions.push(Decision::Refused {
                flow,
                reason,
                route_version: self.route_version,
            });
            let reset = self.format.reset(flow, segment.acknowledged);
            return Err(Verdict::Reset(flow.caller, reset));
        }
        self.peering
            .decisions
            .push(Decision::Dropped { flow, reason });
        Err(Verdict::Drop)
    }

    /// Notes that the store has told of all instances.
    pub fn members_read(&mut self) {
        self.knows_members = true;
    }

    /// Takes a heartbeat of the target. Returns whether it was taken.
    pub fn heartbeat(&mut self, beat: Heartbeat, now_ms: u64) -> bool {
        let (id, sequence) = (Arc::clone(&beat.id), beat.sequence);
        let before = self.target.state(now_ms);
        let change = self.target.heartbeat(beat, now_ms);
        self.flows.set_capacity(self.capacity());
        if change == Change::Restarted {
            self.lose_flows();
        }
        let state = self.target.state(now_ms);
        if matches!(change, Change::State | Change::Restarted) || before != state {
            self.peering.decisions.push(Decision::OwnTarget {
                target: id,
                state,
                sequence,
            });
            self.tell_now(now_ms);
        }
        change != Change::Late
    }

    /// The target says that it ends.
    pub fn target_ended(&mut self, id: &str, now_ms: u64) {
        if self.target.ended(id) {
            self.peering.decisions.push(Decision::OwnTarget {
                target: id.into(),
                state: TargetState::Draining,
                sequence: 0,
            });
            self.tell_now(now_ms);
        }
    }

    fn lose_flows(&mut self) {
        for (flow, entry) in self.flows.clear() {
            self.peering.decisions.push(Decision::FlowLost { flow });
            self.lost.push((flow, entry));
        }
    }

    /// Resets for callers whose flows ended with an earlier start of the target.
    pub fn resets(&mut self) -> Vec<(SocketAddrV4, F::Reset)> {
        let lost = std::mem::take(&mut self.lost).into_iter();
        lost.map(|(flow, entry)| {
            let reset = self.format.reset(flow, entry.caller_acknowledged());
            (flow.caller, reset)
        })
        .collect()
    }

    fn tell_now(&mut self, now_ms: u64) {
        let load = self.load(now_ms);
        self.told_load = load.clone();
        self.told_load_at_ms = now_ms;
        let version = self.route_version;
        self.peering.tell_all(version, Some(load), now_ms);
    }

    /// Takes a notice from another process.
    pub fn notice(&mut self, from: SocketAddrV4, notice: Notice, now_ms: u64) {
        let version = self.route_version;
        match notice {
            Notice::Presence(presence, wants_members) => {
                let load = Some(self.load(now_ms));
                self.peering
                    .hear(*presence, wants_members, version, load, now_ms);
            }
            Notice::Load(load) => self.peering.hear_load(from, load, now_ms),
            Notice::FlowOwner { owner, flows } => {
                for flow in flows {
                    self.owners.insert(flow, owner, now_ms);
                }
            }
            Notice::Members(instances) => {
                for instance in instances {
                    let load = Some(self.load(now_ms));
                    self.peering.learn(instance, version, load, now_ms);
                }
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) {
        let load = self.load(now_ms);
        let version = self.route_version;
        let own = self.peering.presence(version, Some(load.clone()), now_ms);
        self.peering.directory.set_own(own, now_ms);
        if load.state != self.told_load.state {
            if let Some(beat) = self.target.current() {
                self.peering.decisions.push(Decision::OwnTarget {
                    target: Arc::clone(&beat.id),
                    state: load.state,
                    sequence: beat.sequence,
                });
            }
            self.tell_now(now_ms);
        }
        self.peering.tick(version, Some(load.clone()), now_ms);
        let is_due = now_ms.saturating_sub(self.told_load_at_ms) >= LOAD_INTERVAL_MS;
        if is_due && load.running != self.told_load.running {
            self.peering.tell_load(&load, now_ms);
            self.told_load = load;
            self.told_load_at_ms = now_ms;
        }
        self.repeat_flows(now_ms);
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            self.flows.sweep(now_ms, self.idle_timeout_ms);
            self.owners.forget_idle(now_ms, REGISTRATION_LIFE_MS);
        }
    }

    /// Tells the keepers of all open flows again when the keepers may have changed.
    fn repeat_flows(&mut self, now_ms: u64) {
        let epoch = self.peering.directory.epoch();
        let is_old = now_ms.saturating_sub(self.told_flows_at_ms) >= REPEAT_INTERVAL_MS;
        if epoch == self.told_epoch && !is_old {
            return;
        }
        self.told_epoch = epoch;
        self.told_flows_at_ms = now_ms;
        let open: Vec<_> = self.flows.open().collect();
        for flow in open {
            self.tell_keepers(flow, now_ms);
        }
    }

    /// Whether packets are better decided on than left in the socket's buffer: an agent that has
    /// just started learns the others within some tens of milliseconds.
    #[must_use]
    pub fn takes_packets(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut agents = members.filter(|m| m.instance.role == InstanceRole::Agent);
        agents.any(|m| m.is_alive(now_ms) && !self.peering.directory.is_own(m))
            || self.peering.uptime_ms(now_ms) >= LEARNING_MS
    }

    /// Whether balancers are known, so that the target can be reached.
    #[must_use]
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut balancers = members.filter(|m| m.instance.role == InstanceRole::Balancer);
        balancers.any(|member| member.is_alive(now_ms))
    }
}
