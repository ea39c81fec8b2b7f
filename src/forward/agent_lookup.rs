//! Flows that an agent's target does not hold: told to their keepers, found, or denied by all.

use std::sync::Arc;

use super::{
    agent::{AgentCore, AgentVerdict},
    decision::{Decision, Reason},
};
use crate::{
    flow::packet::{FlowKey, HopMetadata, Lookup, PacketFormat, Segment},
    membership::{instance::TargetState, rendezvous::flow_hash},
};

/// Agents that a packet of an unknown flow is offered to at most; all of a service of today's
/// largest site, so that only a lost keeper makes the search long.
const MAX_WALK: u8 = 64;
/// Agents that keep the owner of each flow, so that one may be lost.
const KEEPERS: usize = 2;
/// Time in which a target hands a packet back, with room for a busy machine.
const TARGET_ANSWER_MS: u64 = 30;
/// Packets that a target has been asked about at most, while it is not known whether there is one.
const MAX_ASKED: usize = 256;
/// Pause between two repetitions of all open flows to their keepers.
const REPEAT_INTERVAL_MS: u64 = 10_000;

/// A packet of an unknown flow that was handed to a target which has not shown itself yet.
#[derive(Clone, Debug)]
pub struct AskedPacket {
    pub(super) flow: FlowKey,
    datagram: Vec<u8>,
    at_ms: u64,
}

impl<F: PacketFormat> AgentCore<F> {
    /// A packet of a flow that the target does not hold, as far as is known: the owner gets it,
    /// or the target is asked by handing it the packet. One that has ended could not hand it back.
    pub(super) fn unknown(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        if hop.lookup == Lookup::Registry
            && let Some(owner) = self.owners.owner(flow, now_ms)
            && owner != self.peering.own().packet_address
        {
            let hop = HopMetadata {
                lookup: Lookup::Registered,
                ..hop
            };
            self.format.write_hop_metadata(datagram, hop);
            return AgentVerdict::Instance(owner);
        }
        if self.target.has_ended(now_ms) {
            return self.walk(datagram, segment, hop, now_ms);
        }
        let is_known = self.target.state(now_ms) != TargetState::Unknown;
        if !is_known && self.asked.len() < MAX_ASKED {
            self.asked.push(AskedPacket {
                flow,
                datagram: datagram.to_vec(),
                at_ms: now_ms,
            });
        }
        AgentVerdict::Target
    }

    /// Continues the searches whose packets an unknown target has not handed back.
    pub(super) fn pass_unanswered(&mut self, now_ms: u64) {
        let is_over =
            |packet: &mut AskedPacket| now_ms.saturating_sub(packet.at_ms) >= TARGET_ANSWER_MS;
        let unanswered: Vec<_> = self.asked.extract_if(.., is_over).collect();
        if self.target.state(now_ms) != TargetState::Unknown && !self.target.has_ended(now_ms) {
            return;
        }
        for AskedPacket { mut datagram, .. } in unanswered {
            self.target.packet_unanswered();
            let Some(segment) = self.format.decode(&datagram) else {
                continue;
            };
            let hop = self.format.read_hop_metadata(&datagram);
            let verdict = self.walk(&mut datagram, &segment, hop, now_ms);
            self.released.push((datagram, verdict));
        }
    }

    /// Tells the balancer that took the packet where the flow is, if it had to look it up.
    pub(super) fn tell_entry(&mut self, flow: FlowKey, hop: HopMetadata) {
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
    pub(super) fn tell_keepers(&mut self, flow: FlowKey, now_ms: u64) {
        let Some(service) = self.service() else {
            return;
        };
        let own = self.peering.own().packet_address;
        let hash = flow_hash(flow);
        for rank in 0..KEEPERS {
            let directory = &self.peering.directory;
            let Some(keeper) = directory.nth_in_flow_order(hash, &service, rank, now_ms) else {
                return;
            };
            if !directory.is_local(keeper) {
                let address = keeper.instance.control_address;
                self.peering.outbox.push_owner(address, own, flow);
            }
        }
    }

    /// Offers a packet that the own target has handed back to the next agent in the flow's order.
    ///
    /// When every agent of the service has been asked, the flow has died with an earlier start of
    /// its target, and a caller that waits for an answer is told by a reset.
    pub(super) fn walk(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let hash = flow_hash(flow);
        let service = self.service();
        let directory = &self.peering.directory;
        // A balancer's cache or a keeper was wrong: the search begins at the head of the order.
        let (below, lookup) = match hop.lookup {
            Lookup::Known => (u64::MAX, Lookup::Registry),
            Lookup::Registered => (u64::MAX, Lookup::Search),
            Lookup::Registry | Lookup::Search => (directory.local_weight(hash), Lookup::Search),
        };
        let next = service.as_deref().and_then(|name| {
            let first = directory.next_in_flow_order(hash, name, below, now_ms)?;
            if directory.is_local(first.member) {
                directory.next_in_flow_order(hash, name, first.weight, now_ms)
            } else {
                Some(first)
            }
        });
        let awaited = service
            .as_deref()
            .and_then(|name| directory.awaited_agent(name, now_ms));
        let is_incomplete = hop.is_incomplete || awaited.is_some() || !self.knows_members;
        if is_incomplete && !hop.is_incomplete {
            let decision = Decision::SearchIncomplete {
                flow,
                awaited: awaited.map(|member| Arc::clone(&member.instance.name)),
                silent_ms: awaited.map_or(0, |member| member.silent_ms(now_ms)),
            };
            self.peering.decisions.push(decision);
        }
        let tried = hop.tried.saturating_add(1);
        if let Some(next) = next
            && tried <= MAX_WALK
        {
            let address = next.member.instance.packet_address;
            let agent = Arc::clone(&next.member.instance.name);
            let hop = HopMetadata {
                tried,
                lookup,
                is_incomplete,
                service_tag: 0,
                ..hop
            };
            self.format.write_hop_metadata(datagram, hop);
            self.peering
                .decisions
                .push(Decision::LookedUp { flow, agent, tried });
            return AgentVerdict::Instance(address);
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
            return AgentVerdict::Reset(flow.caller, reset);
        }
        self.peering
            .decisions
            .push(Decision::Dropped { flow, reason });
        AgentVerdict::Drop
    }

    /// Tells the keepers of all open flows again when the keepers may have changed.
    pub(super) fn repeat_flows(&mut self, now_ms: u64) {
        let epoch = self.peering.directory.generation();
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
}
