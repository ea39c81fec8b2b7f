//! Lookup of flows that the local target does not hold, and registration of those that it does.
//!
//! The owner of each flow is registered with the first live agents in the flow's rendezvous order,
//! its registry agents. A packet of an unknown flow is sent to the registered owner or, if there is
//! none, to one agent after another in rendezvous order.

use std::sync::Arc;

use super::{
    agent::{AgentCore, AgentVerdict},
    agent_syn::MAX_GRANT_HOPS,
    decision::{Decision, Reason, SearchGap},
};
use crate::{
    flow::packet::{FlowKey, HopMetadata, Lookup, MAX_UNASKED, PacketFormat, Segment},
    membership::{
        instance::{Instance, TargetState},
        rendezvous::{flow_hash, tag},
    },
};

/// Maximum number of agents that a packet of an unknown flow is sent to. A search that has asked so
/// many ends without a reset.
const MAX_SEARCH_HOPS: u8 = 64;
/// Number of registry agents per flow, so that the owner is still known when one is dead.
const OWNER_REPLICAS: usize = 2;
/// Time within which a target returns a packet of an unknown flow, with a margin for a busy
/// machine.
const PROBE_TIMEOUT_MS: u64 = 30;
/// Maximum number of kept packets of unknown flows.
const MAX_PROBES: usize = 256;
/// Interval between two registrations of all open flows with their registry agents.
const REREGISTER_INTERVAL_MS: u64 = 10_000;

/// A copy of a packet of an unknown flow that was sent to the target. The search continues with the
/// copy if the target resets the flow instead of returning the packet or, while the state of the
/// target is unknown, does not return it in time.
#[derive(Clone, Debug)]
pub struct ProbePacket {
    pub(super) flow: FlowKey,
    datagram: Vec<u8>,
    /// Time at which the packet was sent to the target.
    at_ms: u64,
}

/// Next step of the search for the owner of a flow.
#[derive(Debug)]
struct SearchStep {
    /// The agent to ask next; `None` at the end of the rendezvous order.
    next: Option<Instance>,
    lookup: Lookup,
    /// See [`HopMetadata::tried`].
    tried: u8,
    /// See [`HopMetadata::unasked`].
    unasked: u8,
    /// Why the search is incomplete; `None` if all agents known here that may hold the flow have
    /// been asked or are still to be asked.
    gap: Option<SearchGap>,
}

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
        let hop = self.mark_other_service(datagram, flow, hop);
        if let Some(hop) = Self::owner_hop(hop)
            && let Some(owner) = self.flow_owners.owner(flow, now_ms)
            && owner != self.peering.local_instance().packet_address
        {
            self.format.write_hop_metadata(datagram, hop);
            return AgentVerdict::Instance(owner);
        }
        if self.target.is_unreachable(now_ms) {
            return self.continue_search(datagram, segment, hop, now_ms);
        }
        if self.probes.len() < MAX_PROBES {
            self.probes.push(ProbePacket {
                flow,
                datagram: datagram.to_vec(),
                at_ms: now_ms,
            });
        }
        AgentVerdict::Target
    }

    /// Hop metadata with which a packet is sent to the owner known to this agent; `None` if its
    /// search has gone on without this knowledge.
    ///
    /// A packet from a balancer may follow the SYN of its flow, which was redirected from agent to
    /// agent.
    fn owner_hop(hop: HopMetadata) -> Option<HopMetadata> {
        let (tried, lookup) = match hop.lookup {
            Lookup::Known if hop.tried < MAX_GRANT_HOPS => (hop.tried + 1, Lookup::Known),
            Lookup::Registry => (hop.tried, Lookup::Registered),
            Lookup::Known | Lookup::Registered | Lookup::Search => return None,
        };
        Some(HopMetadata {
            tried,
            lookup,
            ..hop
        })
    }

    /// Marks the search for a flow that was routed to another service as incomplete: it asks only
    /// agents of the local service.
    fn mark_other_service(
        &mut self,
        datagram: &mut [u8],
        flow: FlowKey,
        hop: HopMetadata,
    ) -> HopMetadata {
        let local_tag = self.target.service().map_or(0, |name| tag(name));
        if hop.service_tag == 0 || hop.service_tag == local_tag || hop.is_incomplete {
            return hop;
        }
        let gap = SearchGap::OtherService;
        self.peering
            .decisions
            .push(Decision::SearchIncomplete { flow, gap });
        let hop = HopMetadata {
            is_incomplete: true,
            ..hop
        };
        self.format.write_hop_metadata(datagram, hop);
        hop
    }

    /// Continues the search for packets that a target in an unknown state has not returned in time.
    /// The target may hold their flows and be busy, so these searches end without a reset.
    pub(super) fn resume_unreturned(&mut self, now_ms: u64) {
        let is_overdue =
            |packet: &mut ProbePacket| now_ms.saturating_sub(packet.at_ms) >= PROBE_TIMEOUT_MS;
        let unreturned: Vec<_> = self.probes.extract_if(.., is_overdue).collect();
        if self.target.state(now_ms) != TargetState::Unknown && !self.target.is_unreachable(now_ms)
        {
            return;
        }
        self.resume_search(unreturned, Some(&SearchGap::TargetSilent), now_ms);
    }

    /// Continues the search for the packets of a flow that the target has reset without being known
    /// to hold it. A target that has returned a SYN resets the data of its flow, although another
    /// target may have opened the flow.
    pub(super) fn resume_denied(&mut self, flow: FlowKey, now_ms: u64) {
        let is_denied = |packet: &mut ProbePacket| packet.flow == flow;
        let denied = self.probes.extract_if(.., is_denied).collect();
        self.resume_search(denied, None, now_ms);
    }

    /// Continues the search with copies of packets that the target has not returned. `gap` tells
    /// why the search is incomplete; `None` if the target has denied the flow.
    fn resume_search(&mut self, packets: Vec<ProbePacket>, gap: Option<&SearchGap>, now_ms: u64) {
        for ProbePacket {
            flow, mut datagram, ..
        } in packets
        {
            let Some(segment) = self.format.decode(&datagram) else {
                continue;
            };
            let mut hop = self.format.read_hop_metadata(&datagram);
            if let Some(gap) = gap.cloned() {
                self.peering
                    .decisions
                    .push(Decision::SearchIncomplete { flow, gap });
                hop.is_incomplete = true;
            }
            let verdict = self.continue_search(&mut datagram, &segment, hop, now_ms);
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
            self.peering.outbox.push_owner(address, local_address, flow);
        }
    }

    /// Registers a flow of the local target with its registry agents.
    pub(super) fn register_flow(&mut self, flow: FlowKey, now_ms: u64) {
        let Some(service) = self.service() else {
            return;
        };
        let local_address = self.peering.local_instance().packet_address;
        let hash = flow_hash(flow);
        for rank in 0..OWNER_REPLICAS {
            let directory = &self.peering.directory;
            let Some(registry_agent) = directory.registry_agent(hash, &service, rank, now_ms)
            else {
                return;
            };
            if !directory.is_local(registry_agent) {
                let address = registry_agent.instance.control_address;
                self.peering.outbox.push_owner(address, local_address, flow);
            }
        }
    }

    /// Sends a packet of a flow that the local target does not hold to the next agent in the flow's
    /// rendezvous order.
    ///
    /// A caller that waits for a response is sent a reset at the end of the order, because the flow
    /// was lost with a previous target incarnation. That is known only if every agent of the
    /// service has been asked, so each agent on the way compares the agents asked with those that
    /// it knows.
    pub(super) fn continue_search(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let hash = flow_hash(flow);
        let reason = Reason::FlowNotFound;
        let Some(service) = self.service() else {
            self.peering
                .decisions
                .push(Decision::Dropped { flow, reason });
            return AgentVerdict::Drop;
        };
        let registry_step = match hop.lookup {
            Lookup::Known => self.registry_step(hash, &service, hop, now_ms),
            Lookup::Registry | Lookup::Registered | Lookup::Search => None,
        };
        let SearchStep {
            next,
            lookup,
            tried,
            unasked,
            gap,
        } = registry_step.unwrap_or_else(|| self.search_step(hash, &service, hop, now_ms));
        let is_last = next.is_none();
        let is_incomplete = hop.is_incomplete || gap.is_some();
        if let Some(gap) = gap.filter(|_| !hop.is_incomplete) {
            self.peering
                .decisions
                .push(Decision::SearchIncomplete { flow, gap });
        }
        if let Some(next) = next
            && tried <= MAX_SEARCH_HOPS
        {
            let hop = HopMetadata {
                tried,
                lookup,
                is_incomplete,
                unasked,
                service_tag: 0,
                ..hop
            };
            self.format.write_hop_metadata(datagram, hop);
            self.peering.decisions.push(Decision::LookedUp {
                flow,
                agent: next.name,
                tried,
            });
            return AgentVerdict::Instance(next.packet_address);
        }
        let expects_response = segment.data_len > 0 && !segment.flags.rst;
        let is_reset = is_last && expects_response && !is_incomplete;
        self.peering.decisions.push(Decision::SearchEnded {
            flow,
            lookup: hop.lookup,
            tried: hop.tried,
            agents: self.peering.directory.live_agents(&service, now_ms),
            uptime_ms: self.peering.uptime_ms(now_ms),
            is_incomplete,
            is_reset,
        });
        if is_reset {
            self.peering.decisions.push(Decision::Refused {
                flow,
                reason,
                route_version: self.route_version,
                tried: hop.tried,
            });
            let reset = self.format.reset(flow, segment.acknowledged);
            return AgentVerdict::Reset(flow.caller, reset);
        }
        self.peering
            .decisions
            .push(Decision::Dropped { flow, reason });
        AgentVerdict::Drop
    }

    /// The step from a balancer's cached owner that does not hold the flow to a registry agent.
    /// `None` if there is none but this agent.
    fn registry_step(
        &self,
        hash: u64,
        service: &str,
        hop: HopMetadata,
        now_ms: u64,
    ) -> Option<SearchStep> {
        let directory = &self.peering.directory;
        let ranks = 0..OWNER_REPLICAS;
        let mut agents =
            ranks.filter_map(|rank| directory.registry_agent(hash, service, rank, now_ms));
        let agent = agents.find(|member| !directory.is_local(member))?;
        Some(SearchStep {
            next: Some(agent.instance.clone()),
            lookup: Lookup::Registry,
            tried: hop.tried.saturating_add(1),
            unasked: 0,
            gap: None,
        })
    }

    /// The next step of a search of the agents of `service`.
    fn search_step(&self, hash: u64, service: &str, hop: HopMetadata, now_ms: u64) -> SearchStep {
        let directory = &self.peering.directory;
        // A search starts at the top of the order, whichever agent a balancer took for the flow's
        // registry agent: balancers may know only some of the agents.
        let (below, tried) = if hop.lookup == Lookup::Search {
            let local_weight = directory.local_weight(hash);
            (local_weight, hop.tried.saturating_add(1))
        } else {
            (u64::MAX, 0)
        };
        let agent_below = |below| directory.next_in_flow_order(hash, service, below, now_ms);
        let (next, below, tried) = match agent_below(below) {
            Some(first) if directory.is_local(first.member) => {
                let tried = tried.saturating_add(1);
                (agent_below(first.weight), first.weight, tried)
            }
            first => (first, below, tried),
        };
        let known = directory.agents_below(hash, service, below, now_ms);
        let known = u8::try_from(known).unwrap_or(MAX_UNASKED).min(MAX_UNASKED);
        let (unasked, skipped) = if hop.lookup == Lookup::Search {
            let before = directory.agents_before_local(hash, service, now_ms);
            let unasked = known.max(hop.unasked.saturating_sub(1));
            (unasked, before > usize::from(hop.tried))
        } else {
            (known, false)
        };
        let awaited = directory.awaited_agent(service, now_ms);
        let gap = if !self.members_known {
            Some(SearchGap::InstancesUnknown)
        } else if skipped || next.is_none() && unasked > 0 {
            Some(SearchGap::AgentSkipped)
        } else {
            awaited.map(|member| SearchGap::AgentSilent {
                agent: Arc::clone(&member.instance.name),
                silent_ms: member.silent_ms(now_ms),
            })
        };
        SearchStep {
            next: next.map(|ranked| ranked.member.instance.clone()),
            lookup: Lookup::Search,
            tried,
            unasked,
            gap,
        }
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
            self.register_flow(flow, now_ms);
        }
    }
}
