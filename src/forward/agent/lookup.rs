//! Lookup of flows that the local target does not hold, and registration of those that it does.
//!
//! The owner of each flow is registered with the first live agents in the flow's rendezvous order,
//! its registry agents. A packet of an unknown flow is sent to the registered owner or, if there is
//! none, to one agent after another in rendezvous order.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    core::{AgentCore, AgentVerdict},
    probe::ProbePacket,
    syn::MAX_GRANT_HOPS,
};
use crate::{
    flow::packet::{FlowKey, HopMetadata, Lookup, PacketFormat, Segment},
    forward::{
        absence::{self, FlowAbsence, TargetAnswer},
        decision::{Decision, Reason, SearchGap},
        notices::OwnerEvidence,
    },
    membership::{instance::TargetState, rendezvous::flow_hash},
};

/// Number of registry agents per flow, so that the owner is still known when one is dead.
const OWNER_REPLICAS: usize = 2;
/// Time within which a target returns a packet of an unknown flow, with a margin for a busy
/// machine.
const PROBE_TIMEOUT_MS: u64 = 30;
/// Maximum number of kept packets of unknown flows.
const MAX_PROBES: usize = 256;
/// Interval between two registrations of all open flows with their registry agents.
pub(super) const REREGISTER_INTERVAL_MS: u64 = 10_000;

impl<F: PacketFormat> AgentCore<F> {
    /// Handles a packet of a flow that the target is not known to hold.
    ///
    /// If the packet was sent here for a lookup in the registry, it goes to the registered owner.
    /// Without one it goes to the target, which returns it if it does not hold the flow. A target
    /// that is unreachable cannot return packets, so the search continues without it.
    pub(super) fn handle_unknown_flow(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        if let Some((hop, address)) = self.owner_hop(flow, hop, now_ms) {
            self.format.write_hop_metadata(datagram, hop);
            return AgentVerdict::Instance(address);
        }
        let hop = self.check_arrival(flow, hop, now_ms);
        self.format.write_hop_metadata(datagram, hop);
        if self.target.is_unreachable(now_ms) {
            let answer = TargetAnswer::Unreachable;
            return self.continue_search(datagram, segment, hop, answer, now_ms);
        }
        if self.probes.len() < MAX_PROBES {
            self.probes.push(ProbePacket {
                flow,
                datagram: datagram.to_vec(),
                at_ms: now_ms,
            });
        }
        if segment.data_len > 0 {
            self.target.checks.record_sent(now_ms);
        }
        AgentVerdict::Target
    }

    /// Whether data of an unknown flow was sent to the target lately, and no FIN.
    pub(super) fn has_sent_only_data(&self, flow: FlowKey) -> bool {
        let probes = self.probes.iter().filter(|packet| packet.flow == flow);
        let mut segments = probes.filter_map(|packet| self.format.decode(&packet.datagram));
        let mut has_data = false;
        let has_fin = segments.any(|segment| {
            has_data |= segment.data_len > 0;
            segment.flags.fin
        });
        has_data && !has_fin
    }

    /// The owner of a flow as far as this agent knows it, and the hop metadata with which a packet is
    /// sent there; `None` if its search has gone on without this knowledge.
    ///
    /// A packet from a balancer may follow the SYN of its flow, which was redirected from agent to
    /// agent. Only an owner that has registered the flow itself proves by its denial that the flow
    /// is lost.
    fn owner_hop(
        &mut self,
        flow: FlowKey,
        hop: HopMetadata,
        now_ms: u64,
    ) -> Option<(HopMetadata, SocketAddrV4)> {
        let local_address = self.peering.local_instance().packet_address;
        let registered = self.flow_owners.owner(flow, now_ms);
        let recovered = self.recovered_owners.owner(flow, now_ms);
        let presumed = recovered.or_else(|| self.redirects.owner(flow, now_ms));
        let (lookup, tried, address) = match hop.lookup {
            Lookup::Known if hop.tried < MAX_GRANT_HOPS => {
                (Lookup::Known, hop.tried + 1, registered.or(presumed)?)
            }
            Lookup::Registry => match registered {
                Some(address) => (Lookup::Registered, hop.tried, address),
                None => (Lookup::Redirected, hop.tried, presumed?),
            },
            Lookup::Known | Lookup::Registered | Lookup::Search | Lookup::Redirected => {
                return None;
            }
        };
        let hop = HopMetadata {
            tried,
            lookup,
            ..hop
        };
        (address != local_address).then_some((hop, address))
    }

    /// Compares the view of the agent that has sent a packet of a search with the local one. Returns
    /// the hop metadata to send to the target.
    fn check_arrival(&mut self, flow: FlowKey, hop: HopMetadata, now_ms: u64) -> HopMetadata {
        let directory = &self.peering.directory;
        let hop = HopMetadata {
            view_generation: absence::view_generation(directory.generation()),
            ..hop
        };
        if hop.lookup != Lookup::Search || hop.is_incomplete {
            return hop;
        }
        let view = directory.search_view(flow_hash(flow), 0, now_ms);
        let Some(gap) = absence::gap_on_arrival(hop, &view) else {
            return hop;
        };
        self.record_gap(flow, gap);
        HopMetadata {
            is_incomplete: true,
            ..hop
        }
    }

    fn record_gap(&mut self, flow: FlowKey, gap: SearchGap) {
        let decision = Decision::SearchIncomplete { flow, gap };
        self.peering.decisions.push(decision);
    }

    /// Continues the search for packets that a target in an unknown state has not returned in time.
    /// Unless no process listens at its address, the target may hold their flows and be busy, so these
    /// searches end without a reset.
    pub(super) fn resume_unreturned(&mut self, now_ms: u64) {
        let unanswered_timeout_ms = self.target.checks.unanswered_timeout_ms(now_ms);
        let timeout_ms = unanswered_timeout_ms.unwrap_or(PROBE_TIMEOUT_MS);
        let is_overdue =
            |packet: &mut ProbePacket| now_ms.saturating_sub(packet.at_ms) >= timeout_ms;
        let unreturned: Vec<_> = self.probes.extract_if(.., is_overdue).collect();
        if self.target.state(now_ms) != TargetState::Unknown && !self.target.is_unreachable(now_ms)
        {
            return;
        }
        let answer = if self.target.checks.shows_no_process(now_ms) {
            TargetAnswer::Unreachable
        } else {
            TargetAnswer::Silent
        };
        self.resume_search(unreturned, answer, now_ms);
    }

    /// Continues the search for the packets of a flow that the target has reset without being known
    /// to hold it. A target that has returned a SYN resets the data of its flow, although another
    /// target may have opened the flow.
    pub(super) fn resume_denied(&mut self, flow: FlowKey, now_ms: u64) {
        let is_denied = |packet: &mut ProbePacket| packet.flow == flow;
        let denied = self.probes.extract_if(.., is_denied).collect();
        self.resume_search(denied, TargetAnswer::Denied, now_ms);
    }

    /// Continues the search with copies of packets that the target has not returned.
    fn resume_search(&mut self, packets: Vec<ProbePacket>, answer: TargetAnswer, now_ms: u64) {
        for ProbePacket { mut datagram, .. } in packets {
            let Some(segment) = self.format.decode(&datagram) else {
                continue;
            };
            let hop = self.format.read_hop_metadata(&datagram);
            let verdict = self.continue_search(&mut datagram, &segment, hop, answer, now_ms);
            self.dispatched.push((datagram, verdict));
        }
    }

    /// Sends the owner of a flow to the balancer through which the packet entered, if that balancer
    /// had to look it up.
    pub(super) fn notify_entry_balancer(&mut self, flow: FlowKey, hop: HopMetadata) {
        if hop.lookup == Lookup::Known && hop.tried == 0 {
            return;
        }
        let local_address = self.peering.local_instance().packet_address;
        if let Some(entry) = self.peering.directory.by_tag(hop.entry_tag) {
            let address = entry.instance.control_address;
            let evidence = OwnerEvidence::Registered;
            self.peering
                .outbox
                .push_owner(address, local_address, flow, evidence);
        }
    }

    /// Registers a flow of the local target with its registry agents.
    pub(super) fn register_flow(&mut self, flow: FlowKey, evidence: OwnerEvidence, now_ms: u64) {
        let local_address = self.peering.local_instance().packet_address;
        self.send_owner(flow, local_address, evidence, now_ms);
    }

    /// Sends the owner of a flow to the flow's registry agents, except this one.
    pub(super) fn send_owner(
        &mut self,
        flow: FlowKey,
        owner: SocketAddrV4,
        evidence: OwnerEvidence,
        now_ms: u64,
    ) {
        let hash = flow_hash(flow);
        for rank in 0..OWNER_REPLICAS {
            let directory = &self.peering.directory;
            let Some(registry_agent) = directory.registry_agent(hash, rank, now_ms) else {
                return;
            };
            if !directory.is_local(registry_agent) {
                let address = registry_agent.instance.control_address;
                self.peering
                    .outbox
                    .push_owner(address, owner, flow, evidence);
            }
        }
    }

    /// Sends a packet of a flow that the local target does not hold to the next agent in the flow's
    /// rendezvous order, or resets the flow if it is proved to be lost.
    pub(super) fn continue_search(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        answer: TargetAnswer,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let hash = flow_hash(flow);
        if let Some(absence) = FlowAbsence::from_registration(hop.lookup, answer)
            && !segment.flags.rst
        {
            return self.reset_flow(flow, segment.acknowledged, hop, absence);
        }
        if hop.lookup == Lookup::Known
            && let Some((agent, address)) = self.other_registry_agent(hash, now_ms)
        {
            let hop = HopMetadata {
                tried: hop.tried.saturating_add(1),
                lookup: Lookup::Registry,
                ..hop
            };
            return self.send_lookup(datagram, flow, hop, agent, address);
        }
        let directory = &self.peering.directory;
        // A search starts at the top of the order, not below an agent that a balancer took for the
        // flow's registry agent: balancers may know only some of the agents.
        let local_weight = directory.local_weight(hash);
        let (below_weight, mut tried) = if hop.lookup == Lookup::Search {
            (local_weight, hop.tried.saturating_add(1))
        } else {
            (u64::MAX, 0)
        };
        let mut view = directory.search_view(hash, below_weight, now_ms);
        if view.next.is_some_and(|member| directory.is_local(member)) {
            view = directory.search_view(hash, local_weight, now_ms);
            tried = tried.saturating_add(1);
        }
        let gap = absence::gap_after_answer(
            hop,
            answer,
            &view,
            directory.generation(),
            self.view_gap(now_ms),
            now_ms,
        );
        let is_incomplete = hop.is_incomplete || gap.is_some();
        let (agents, left_out_agents) = (view.agents, view.left_out);
        let absence = FlowAbsence::from_search(hop, &view, gap.as_ref());
        let next = view.next.map(|member| {
            let instance = &member.instance;
            (Arc::clone(&instance.name), instance.packet_address)
        });
        let view_digest = view.digest;
        if let Some(gap) = gap.filter(|_| !hop.is_incomplete) {
            self.record_gap(flow, gap);
        }
        if let Some((agent, address)) = next {
            let hop = HopMetadata {
                tried,
                lookup: Lookup::Search,
                is_incomplete,
                entry_tag: hop.entry_tag,
                view_digest,
                ..HopMetadata::default()
            };
            return self.send_lookup(datagram, flow, hop, agent, address);
        }
        let expects_response = segment.data_len > 0 && !segment.flags.rst;
        let absence = absence.filter(|_| expects_response);
        self.peering.decisions.push(Decision::SearchEnded {
            flow,
            lookup: hop.lookup,
            tried: hop.tried,
            agents,
            left_out_agents,
            uptime_ms: self.peering.uptime_ms(now_ms),
            is_incomplete,
            is_reset: absence.is_some(),
        });
        if let Some(absence) = absence {
            return self.reset_flow(flow, segment.acknowledged, hop, absence);
        }
        let reason = Reason::FlowNotFound;
        self.peering
            .decisions
            .push(Decision::Dropped { flow, reason });
        AgentVerdict::Drop
    }

    /// Sends a packet of an unknown flow to an agent that may hold the flow or know its owner.
    fn send_lookup(
        &mut self,
        datagram: &mut [u8],
        flow: FlowKey,
        hop: HopMetadata,
        agent: Arc<str>,
        address: SocketAddrV4,
    ) -> AgentVerdict<F::Reset> {
        self.format.write_hop_metadata(datagram, hop);
        let tried = hop.tried;
        self.peering
            .decisions
            .push(Decision::LookedUp { flow, agent, tried });
        AgentVerdict::Instance(address)
    }

    /// Resets an open flow that is proved to be lost. `sequence` is the acknowledgement number of
    /// the caller's most recent packet.
    pub(super) fn reset_flow(
        &mut self,
        flow: FlowKey,
        sequence: u32,
        hop: HopMetadata,
        absence: FlowAbsence,
    ) -> AgentVerdict<F::Reset> {
        self.peering.decisions.push(Decision::Refused {
            flow,
            reason: Reason::FlowLost(absence.into_ground()),
            route_version: self.route_version.number,
            tried: hop.tried,
        });
        AgentVerdict::Reset(flow.caller, self.format.reset(flow, sequence))
    }

    /// Name and packet address of the flow's first registry agent other than this one; `None` if
    /// there is none.
    fn other_registry_agent(&self, hash: u64, now_ms: u64) -> Option<(Arc<str>, SocketAddrV4)> {
        let directory = &self.peering.directory;
        let ranks = 0..OWNER_REPLICAS;
        let mut agents = ranks.filter_map(|rank| directory.registry_agent(hash, rank, now_ms));
        let agent = agents.find(|member| !directory.is_local(member))?;
        let instance = &agent.instance;
        Some((Arc::clone(&instance.name), instance.packet_address))
    }

    /// Registers all open flows again when the set of registry agents may have changed, and at a
    /// regular interval.
    pub(super) fn reregister_flows(&mut self, now_ms: u64) {
        let generation = self.peering.directory.generation();
        let is_old = now_ms.saturating_sub(self.flows_registered_at_ms) >= REREGISTER_INTERVAL_MS;
        if generation == self.registered_generation && !is_old {
            return;
        }
        self.registered_generation = generation;
        self.flows_registered_at_ms = now_ms;
        let open: Vec<_> = self.flows.open_flows().collect();
        for flow in open {
            self.register_flow(flow, OwnerEvidence::Registered, now_ms);
        }
        let recovered: Vec<_> = self.recovered_flows.iter().collect();
        for owned in recovered {
            self.register_flow(owned.flow, OwnerEvidence::Recovered, now_ms);
        }
    }
}
